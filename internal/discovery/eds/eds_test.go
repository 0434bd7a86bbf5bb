package eds

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"cresspass/internal/discovery/starttime"
)

// sampleList returns a list with an engine in each state.
func sampleList() *List {
	return &List{Version: "7", ReceivedAt: time.UnixMilli(1700000000000).UTC(), Engines: []Engine{
		{Address: "127.0.0.1:7001", State: StateActive, Kind: "std", Zone: "a", Cell: 2, Size: 1.5,
			Started: time.UnixMilli(1700000000123).UTC()},
		{Address: "127.0.0.1:7002", State: StateDraining, Kind: "big", Zone: "b"},
		{Address: "127.0.0.1:7003", State: StateRemoved}}}
}

// TestCachedListIsCompleteOrRejected checks that a cached list is read back completely, and that a cache file
// that is truncated at any byte, or has a bit flipped in any byte, is rejected and renamed.
func TestCachedListIsCompleteOrRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := SaveCache(path, sampleList()); err != nil {
		t.Fatal(err)
	}
	l, err := LoadCache(path)
	if err != nil || !reflect.DeepEqual(l, sampleList()) {
		t.Fatalf("LoadCache returned %+v, %v, want the saved list", l, err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range intact {
		flipped := slices.Clone(intact)
		flipped[n] ^= 1 << (n % 8)
		for _, data := range [][]byte{intact[:n], flipped} {
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := LoadCache(path); !errors.Is(err, ErrCacheDamaged) {
				t.Fatalf("damaged file of %d bytes, intact %d: error %v, want ErrCacheDamaged", len(data),
					len(intact), err)
			}
			if _, err := os.Stat(path); !os.IsNotExist(err) {
				t.Fatalf("the damaged file was not renamed: %v", err)
			}
		}
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*.new-*")); len(left) > 0 {
		t.Errorf("temporary files are left: %v", left)
	}
}

// TestDiscoveryResponses checks that the client reads the resource that NewAssignment returns, and that it
// rejects a response completely if any part of it is wrong.
func TestDiscoveryResponses(t *testing.T) {
	c := NewClient("127.0.0.1:1", "engines", "node", nil)
	response := func(l *List, service string) *discoveryv3.DiscoveryResponse {
		assignment, err := NewAssignment(service, l)
		if err != nil {
			t.Fatal(err)
		}
		resource, err := anypb.New(assignment)
		if err != nil {
			t.Fatal(err)
		}
		return &discoveryv3.DiscoveryResponse{VersionInfo: "7", TypeUrl: TypeURL,
			Resources: []*anypb.Any{resource}}
	}
	l, err := c.parseResponse(response(sampleList(), "engines"))
	if err != nil {
		t.Fatal(err)
	}
	for i, e := range l.Engines {
		want := sampleList().Engines[i]
		if !e.Started.Equal(want.Started) {
			t.Errorf("start time %v, want %v", e.Started, want.Started)
		}
		e.Started = want.Started
		if e != want {
			t.Errorf("engine %+v, want %+v", e, want)
		}
	}
	twice := sampleList()
	twice.Engines[1].Address = twice.Engines[0].Address
	if _, err := c.parseResponse(response(twice, "engines")); err == nil {
		t.Error("a list that names an engine twice was accepted")
	}
	if _, err := c.parseResponse(response(sampleList(), "others")); err == nil {
		t.Error("the list of another service was accepted")
	}
	truncated := response(sampleList(), "engines")
	value := truncated.Resources[0].Value
	truncated.Resources[0].Value = value[:len(value)/2]
	if _, err := c.parseResponse(truncated); err == nil {
		t.Error("a truncated resource was accepted")
	}
}

// TestEngineInfos checks that start times are converted to the module's clock, and that the same start time
// is converted to the same value each time it is listed.
func TestEngineInfos(t *testing.T) {
	l := sampleList()
	now := 24 * time.Hour
	started := l.Engines[0].Started
	clock := starttime.New(starttime.AllStarts, started.Add(3*time.Second), now)
	clock.Observe(now, "started just now", started.Add(3*time.Second))
	infos := l.EngineInfos(now, clock)
	if infos[0].StartedAt != now-3*time.Second || infos[1].StartedAt != 0 {
		t.Errorf("start times %v, %v, want 3 s ago and none", infos[0].StartedAt, infos[1].StartedAt)
	}
	if again := l.EngineInfos(now+time.Second, clock); again[0].StartedAt != infos[0].StartedAt {
		t.Errorf("start time %v, then %v when listed again", infos[0].StartedAt, again[0].StartedAt)
	}
	clock = starttime.New(starttime.AllStarts, started.Add(-time.Hour), now)
	if ahead := l.EngineInfos(now, clock); ahead[0].StartedAt != now {
		t.Errorf("a start time in the future is converted to %v, want now", ahead[0].StartedAt)
	}
}
