package server_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"cresspass/internal/membership/observation"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

// Three dispatchers that may talk: the module's messages come across, and what one has seen of an engine the
// others have heard.
func TestDispatchersTalk(t *testing.T) {
	r := engines(t, 2)
	seeds := ""
	var all []*server.Server
	for i := range 3 {
		s, err := r.Dispatch(settings+fmt.Sprintf(`
ordinal  = %d
gateways = 3
peers {
  listen = "127.0.0.1:0"
  seeds  = [%s]
  keys   = [%q]
}
`, i, seeds, strings.Repeat("07", 32)), nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		if i == 0 {
			seeds = fmt.Sprintf("%q", s.Peers().Addr())
		}
		all = append(all, s)
	}
	if _, err := r.Dispatch(settings+fmt.Sprintf("peers {\n  listen = %q\n  keys = [%q]\n}\n",
		// nothing of it is left: goleak looks
		all[0].Peers().Addr(), strings.Repeat("07", 32)), nil); err == nil {
		t.Fatal("an address in use, and it started")
	}
	eventually(t, "they know one another", func() bool {
		for _, s := range all {
			if s.Peers().Stats().Members != 3 {
				return false
			}
		}
		return true
	})
	r.Engines[0].Set(standin.Faults{Full: true})
	c := connect(t, all[0], "")
	heard := func() (known bool) {
		all[2].Peers().With(func(now time.Duration, k *observation.Store) {
			o := k.Opinion(now, observation.Key{Engine: r.Engines[1].Entry.Address, Fact: observation.Health})
			known = o.Known && !o.Own && o.Value == 1
		})
		return known
	}
	eventually(t, "messages and news come across", func() bool {
		for range 20 {
			c.Exec(context.Background(), "select 1 /*work_ms='20',cost_ms='400'*/")
		}
		return heard() && all[0].Peers().Stats().Sent > 0 && all[2].Peers().Stats().Taken > 0
	})
}

// A dispatcher that begins asks one that has learnt, and begins by that; one with a name that is taken has
// it, and the elder falls silent and serves on; one that leaves is no longer counted, and the module goes
// on with those left.
func TestNewcomer(t *testing.T) {
	r := engines(t, 2)
	log := &logged{}
	start := func(name, seeds string) *server.Server {
		s, err := r.Dispatch(settings+fmt.Sprintf(`
state_every = "100ms"
peers {
  listen = "127.0.0.1:0"
  name   = %q
  seeds  = [%s]
  keys   = [%q]
  wait   = "1s"
}
`, name, seeds, strings.Repeat("07", 32)), slog.New(slog.NewTextHandler(log, nil)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	old := start("old", "")
	c := connect(t, old, "")
	for range 30 {
		if _, err := c.Exec(context.Background(), "select 1 /*work_ms='5'*/"); err != nil {
			t.Fatal(err)
		}
	}
	seeds := fmt.Sprintf("%q", old.Peers().Addr())
	eventually(t, "it has learnt", func() (known bool) {
		old.Peers().With(func(now time.Duration, k *observation.Store) { known = len(k.Learnt(now)) > 0 })
		return known
	})
	young := start("young", seeds)
	if n := young.Peers().Voices(); n != 1 || !strings.Contains(log.String(), "took over what was learnt") {
		t.Errorf("%d voices:\n%s", n, log)
	}
	eventually(t, "both count two", func() bool {
		return strings.Count(log.String(), "count=2") == 2
	})
	twin := start("young", seeds)
	eventually(t, "the elder of one name is silent", func() bool { return young.Peers().Stats().Yielded })
	if _, err := connect(t, young, "").Exec(context.Background(), "select 1"); err != nil {
		t.Errorf("silent, and it does not serve: %v", err)
	}
	if twin.Peers().Stats().Yielded {
		t.Error("both are silent")
	}
}

type logged struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
