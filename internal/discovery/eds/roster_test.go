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

func sample() *List {
	return &List{Version: "7", At: time.UnixMilli(1700000000000).UTC(), Engines: []Engine{
		{Address: "127.0.0.1:7001", State: On, Kind: "std", Zone: "a", Cell: 2, Size: 1.5,
			Started: time.UnixMilli(1700000000123).UTC()},
		{Address: "127.0.0.1:7002", State: Draining, Kind: "big", Zone: "b"},
		{Address: "127.0.0.1:7003", State: Gone}}}
}

// A kept list is read back whole, or, cut at any byte or with any bit turned, not at all.
func TestKeptListWholeOrNotAtAll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := Save(path, sample()); err != nil {
		t.Fatal(err)
	}
	l, err := Load(path)
	if err != nil || !reflect.DeepEqual(l, sample()) {
		t.Fatalf("read back %+v, %v", l, err)
	}
	whole, _ := os.ReadFile(path)
	for n := range whole {
		for _, b := range [][]byte{whole[:n], append(append(append([]byte{}, whole[:n]...),
			whole[n]^(1<<(n%8))), whole[n+1:]...)} {
			os.WriteFile(path, b, 0o600)
			if _, err := Load(path); !errors.Is(err, ErrDamaged) {
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
	s := NewEDS("127.0.0.1:1", "engines", "n", nil)
	response := func(l *List, service string) *discoveryv3.DiscoveryResponse {
		a, err := Assignment(service, l)
		if err != nil {
			t.Fatal(err)
		}
		any, _ := anypb.New(a)
		return &discoveryv3.DiscoveryResponse{VersionInfo: "7", TypeUrl: TypeURL,
			Resources: []*anypb.Any{any}}
	}
	l, err := s.read(response(sample(), "engines"))
	if err != nil {
		t.Fatal(err)
	}
	for i, e := range l.Engines {
		want := sample().Engines[i]
		if !e.Started.Equal(want.Started) {
			t.Errorf("start %v, want %v", e.Started, want.Started)
		}
		e.Started = want.Started
		if e != want {
			t.Errorf("engine %+v, want %+v", e, want)
		}
	}
	twice := sample()
	twice.Engines[1].Address = twice.Engines[0].Address
	if _, err := s.read(response(twice, "engines")); err == nil {
		t.Error("an engine named twice was believed")
	}
	if _, err := s.read(response(sample(), "others")); err == nil {
		t.Error("another service's list was believed")
	}
	odd := response(sample(), "engines")
	odd.Resources[0].Value = odd.Resources[0].Value[:len(odd.Resources[0].Value)/2]
	if _, err := s.read(odd); err == nil {
		t.Error("half a resource was believed")
	}
	now := 24 * time.Hour
	started := l.Engines[0].Started
	clock := starttime.New(starttime.Every, started.Add(3*time.Second), now)
	clock.See(now, "told at once", started.Add(3*time.Second))
	infos := l.Infos(now, clock)
	if infos[0].Started != now-3*time.Second || infos[1].Started != 0 {
		t.Errorf("starts %v, %v", infos[0].Started, infos[1].Started)
	}
	if again := l.Infos(now+time.Second, clock); again[0].Started != infos[0].Started {
		t.Errorf("told again: %v, then %v", infos[0].Started, again[0].Started)
	}
	clock = starttime.New(starttime.Every, started.Add(-time.Hour), now)
	if ahead := l.Infos(now, clock); ahead[0].Started != now {
		t.Errorf("a start in the future counts as %v, want now", ahead[0].Started)
	}
}
