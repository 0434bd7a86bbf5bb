package eds

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"cresspass/internal/discovery/starttime"
)

func sampleList() *List {
	return &List{Version: "7", ReceivedAt: time.UnixMilli(1700000000000).UTC(), Engines: []Engine{
		{Address: "127.0.0.1:7001", State: StateActive, Kind: "std", Zone: "a", Cell: 2, Size: 1.5,
			Started: time.UnixMilli(1700000000123).UTC()},
		{Address: "127.0.0.1:7002", State: StateDraining, Kind: "big", Zone: "b"},
		{Address: "127.0.0.1:7003", State: StateRemoved}}}
}

// A kept list is read back whole, or, cut at any byte or with any bit turned, not at all.
func TestCachedListIsCompleteOrRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := SaveCache(path, sampleList()); err != nil {
		t.Fatal(err)
	}
	l, err := LoadCache(path)
	if err != nil || !reflect.DeepEqual(l, sampleList()) {
		t.Fatalf("read back %+v, %v", l, err)
	}
	whole, _ := os.ReadFile(path)
	for n := range whole {
		for _, b := range [][]byte{whole[:n], append(append(append([]byte{}, whole[:n]...),
			whole[n]^(1<<(n%8))), whole[n+1:]...)} {
			os.WriteFile(path, b, 0o600)
			if _, err := LoadCache(path); !errors.Is(err, ErrCacheDamaged) {
				t.Fatalf("%d of %d bytes: %v", len(b), len(whole), err)
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

// What Assignment writes, the subscriber reads; a response with anything wrong is refused whole.
func TestDiscoveryResponses(t *testing.T) {
	s := NewClient("127.0.0.1:1", "engines", "n", nil)
	response := func(l *List, service string) *discoveryv3.DiscoveryResponse {
		a, err := NewAssignment(service, l)
		if err != nil {
			t.Fatal(err)
		}
		any, _ := anypb.New(a)
		return &discoveryv3.DiscoveryResponse{VersionInfo: "7", TypeUrl: TypeURL,
			Resources: []*anypb.Any{any}}
	}
	l, err := s.parseResponse(response(sampleList(), "engines"))
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
	if _, err := s.parseResponse(response(twice, "engines")); err == nil {
		t.Error("an engine named twice was believed")
	}
	if _, err := s.parseResponse(response(sampleList(), "others")); err == nil {
		t.Error("another service's list was believed")
	}
	odd := response(sampleList(), "engines")
	odd.Resources[0].Value = odd.Resources[0].Value[:len(odd.Resources[0].Value)/2]
	if _, err := s.parseResponse(odd); err == nil {
		t.Error("half a resource was believed")
	}
	now := 24 * time.Hour
	started := l.Engines[0].Started
	clock := starttime.New(starttime.AllStarts, started.Add(3*time.Second), now)
	clock.Observe(now, "told at once", started.Add(3*time.Second))
	infos := l.EngineInfos(now, clock)
	if infos[0].StartedAt != now-3*time.Second || infos[1].StartedAt != 0 {
		t.Errorf("starts %v, %v", infos[0].StartedAt, infos[1].StartedAt)
	}
	if again := l.EngineInfos(now+time.Second, clock); again[0].StartedAt != infos[0].StartedAt {
		t.Errorf("told again: %v, then %v", infos[0].StartedAt, again[0].StartedAt)
	}
	clock = starttime.New(starttime.AllStarts, started.Add(-time.Hour), now)
	if ahead := l.EngineInfos(now, clock); ahead[0].StartedAt != now {
		t.Errorf("a start in the future counts as %v, want now", ahead[0].StartedAt)
	}
}
