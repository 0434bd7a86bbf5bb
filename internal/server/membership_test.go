package server_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"cresspass/internal/membership/observation"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

// TestDispatchersGossip checks that messages of the module arrive among three dispatchers of a fleet, and
// that what one dispatcher has observed of an engine reaches the others. A dispatcher whose gossip address is
// in use does not start.
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
		// The failed start must leave no goroutine behind, which goleak checks.
		all[0].Membership().Addr(), strings.Repeat("07", 32)), nil); err == nil {
		t.Fatal("a dispatcher started though its gossip address is in use")
	}
	eventually(t, "all are members", func() bool {
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
	eventually(t, "messages and observations arrive", func() bool {
		for range 20 {
			// Any outcome of the query is an observation.
			_, _ = c.Exec(context.Background(), "select 1 /*work_ms='20',cost_ms='400'*/")
		}
		return observationArrived() && all[0].Membership().Stats().PacketsSent > 0 &&
			all[2].Membership().Stats().PacketsAccepted > 0
	})
}

// TestNewMemberLearnsFromPeers checks that a new dispatcher starts with what a peer has learned. If two
// processes have the same name, the later one keeps it, and the earlier one stops gossiping but still serves.
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
	eventually(t, "it has learned", func() (known bool) {
		established.Membership().WithStore(func(now time.Duration, k *observation.Store) {
			known = len(k.OwnModelParameters(now)) > 0
		})
		return known
	})
	newMember := start("young", seeds)
	if n := newMember.Membership().ReportingPeers(); n != 1 ||
		!strings.Contains(log.String(), "learned state restored") {
		t.Errorf("%d reporting peers:\n%s", n, log)
	}
	eventually(t, "both count two members", func() bool {
		return strings.Count(log.String(), "count=2") == 2
	})
	duplicate := start("young", seeds)
	eventually(t, "the earlier process has yielded the name", func() bool {
		return newMember.Membership().Stats().NameYielded
	})
	if _, err := connect(t, newMember, "").Exec(context.Background(), "select 1"); err != nil {
		t.Errorf("the process that has yielded the name does not serve: %v", err)
	}
	if duplicate.Membership().Stats().NameYielded {
		t.Error("both processes have yielded the name")
	}
}
