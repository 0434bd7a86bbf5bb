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

// sampleList has an engine in each state.
func sampleList() *List {
	return &List{Version: "7", ReceivedAt: time.UnixMilli(1700000000000).UTC(), Engines: []Engine{
		{Address: "127.0.0.1:7001", State: StateActive, Kind: "std", Zone: "a", Cell: 2, Size: 1.5,
			Started: time.UnixMilli(1700000000123).UTC()},
		{Address: "127.0.0.1:7002", State: StateDraining, Kind: "big", Zone: "b"},
		{Address: "127.0.0.1:7003", State: StateRemoved}}}
}

// A cached list is read back completely or, truncated at any byte or with any bit flipped, not at all.
func TestCachedListIsCompleteOrRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := SaveCache(path, sampleList()); err != nil {
		t.Fatal(err)
	}
	l, err := LoadCache(path)
	if err != nil || !reflect.DeepEqual(l, sampleList()) {
		t.Fatalf("read back %+v, %v", l, err)
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
				t.Fatalf("%d of %d bytes: %v", len(data), len(intact), err)
			}
			if _, err := os.Stat(path); !os.IsNotExist(err) {
				t.Fatalf("a damaged list was left in place: %v", err)
			}
		}
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*.new-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// What NewAssignment writes, the client reads; a response with anything wrong is rejected completely.
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
			t.Errorf("start %v, want %v", e.Started, want.Started)
		}
		e.Started = want.Started
		if e != want {
			t.Errorf("engine %+v, want %+v", e, want)
		}
	}
	twice := sampleList()
	twice.Engines[1].Address = twice.Engines[0].Address
	if _, err := c.parseResponse(response(twice, "engines")); err == nil {
		t.Error("an engine named twice was accepted")
	}
	if _, err := c.parseResponse(response(sampleList(), "others")); err == nil {
		t.Error("another service's list was accepted")
	}
	truncated := response(sampleList(), "engines")
	value := truncated.Resources[0].Value
	truncated.Resources[0].Value = value[:len(value)/2]
	if _, err := c.parseResponse(truncated); err == nil {
		t.Error("half a resource was accepted")
	}
}

// Start times are converted to the module's clock, the same each time that a start is listed.
func TestEngineInfos(t *testing.T) {
	l := sampleList()
	now := 24 * time.Hour
	started := l.Engines[0].Started
	clock := starttime.New(starttime.AllStarts, started.Add(3*time.Second), now)
	clock.Observe(now, "started just now", started.Add(3*time.Second))
	infos := l.EngineInfos(now, clock)
	if infos[0].StartedAt != now-3*time.Second || infos[1].StartedAt != 0 {
		t.Errorf("starts %v, %v", infos[0].StartedAt, infos[1].StartedAt)
	}
	if again := l.EngineInfos(now+time.Second, clock); again[0].StartedAt != infos[0].StartedAt {
		t.Errorf("listed again: start %v, then %v", infos[0].StartedAt, again[0].StartedAt)
	}
	clock = starttime.New(starttime.AllStarts, started.Add(-time.Hour), now)
	if ahead := l.EngineInfos(now, clock); ahead[0].StartedAt != now {
		t.Errorf("a start in the future counts as %v, want now", ahead[0].StartedAt)
	}
}
