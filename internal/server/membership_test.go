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
func TestDispatchersGossip(t *testing.T) {
	r := startEngines(t, 2)
	seeds := ""
	var all []*server.Server
	for i := range 3 {
		s, err := r.StartDispatcher(baseSettings+fmt.Sprintf(`
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
			seeds = fmt.Sprintf("%q", s.Membership().Addr())
		}
		all = append(all, s)
	}
	if _, err := r.StartDispatcher(baseSettings+fmt.Sprintf("peers {\n  listen = %q\n  keys = [%q]\n}\n",
		// nothing of it is left: goleak looks
		all[0].Membership().Addr(), strings.Repeat("07", 32)), nil); err == nil {
		t.Fatal("an address in use, and it started")
	}
	eventually(t, "they know one another", func() bool {
		for _, s := range all {
			if s.Membership().Stats().Members != 3 {
				return false
			}
		}
		return true
	})
	r.Engines[0].SetFaults(standin.Faults{Full: true})
	c := connect(t, all[0], "")
	observationArrived := func() (known bool) {
		all[2].Membership().WithStore(func(now time.Duration, k *observation.Store) {
			o := k.Assess(
				now,
				observation.Key{Engine: r.Engines[1].Entry.Address, Property: observation.Health},
			)
			known = o.Known && !o.Local && o.Value == 1
		})
		return known
	}
	eventually(t, "messages and news come across", func() bool {
		for range 20 {
			c.Exec(context.Background(), "select 1 /*work_ms='20',cost_ms='400'*/")
		}
		return observationArrived() && all[0].Membership().Stats().PacketsSent > 0 &&
			all[2].Membership().Stats().PacketsAccepted > 0
	})
}

// A dispatcher that begins asks one that has learnt, and begins by that; one with a name that is taken has
// it, and the elder falls silent and serves on; one that leaves is no longer counted, and the module goes
// on with those left.
func TestNewMemberLearnsFromPeers(t *testing.T) {
	r := startEngines(t, 2)
	log := &lockedBuffer{}
	start := func(name, seeds string) *server.Server {
		s, err := r.StartDispatcher(baseSettings+fmt.Sprintf(`
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
	established := start("old", "")
	c := connect(t, established, "")
	for range 30 {
		if _, err := c.Exec(context.Background(), "select 1 /*work_ms='5'*/"); err != nil {
			t.Fatal(err)
		}
	}
	seeds := fmt.Sprintf("%q", established.Membership().Addr())
	eventually(t, "it has learnt", func() (known bool) {
		established.Membership().
			WithStore(func(now time.Duration, k *observation.Store) { known = len(k.OwnModelParameters(now)) > 0 })
		return known
	})
	newMember := start("young", seeds)
	if n := newMember.Membership().ReportingPeers(); n != 1 ||
		!strings.Contains(log.String(), "took over what was learnt") {
		t.Errorf("%d voices:\n%s", n, log)
	}
	eventually(t, "both count two", func() bool {
		return strings.Count(log.String(), "count=2") == 2
	})
	duplicate := start("young", seeds)
	eventually(
		t,
		"the elder of one name is silent",
		func() bool { return newMember.Membership().Stats().NameYielded },
	)
	if _, err := connect(t, newMember, "").Exec(context.Background(), "select 1"); err != nil {
		t.Errorf("silent, and it does not serve: %v", err)
	}
	if duplicate.Membership().Stats().NameYielded {
		t.Error("both are silent")
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
