package simulation

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/simulation/baseline"
)

// smallFleet configures a short day of a small fleet.
func smallFleet(seed uint64, mode GossipMode, byzantine int) Config {
	c := HalfRestart(seed, mode, byzantine, 0.33)
	c.Dispatchers, c.Engines = 5, c.Engines[:3]
	for i := range c.Traffic {
		c.Traffic[i].Rate *= 0.3
	}
	c.Restarts = []Restart{
		{At: 8 * time.Second, After: time.Second, Dispatchers: []int{2, 3}, WithoutState: true},
	}
	c.Length = 16 * time.Second
	return c
}

// A seed gives the same result on any number of cores and while other simulations run, and each client gets
// one answer within its deadline.
func TestFleetIsDeterministic(t *testing.T) {
	run := func(i int) (*Result, error) {
		c := smallFleet(uint64(1+i/2), GossipAndBootstrap, 1)
		c.Dispatchers, c.Workers = 2*minParallelOwners, 1+3*(i%2)
		f, err := NewFleet(c)
		if err != nil {
			return nil, err
		}
		return f.Run(), nil
	}
	all, err := Parallel(4, run)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(all[0], all[1]) || !reflect.DeepEqual(all[2], all[3]) {
		t.Error("two runs of the same seed have different results")
	}
	if reflect.DeepEqual(all[0], all[2]) || len(all[0].Requests) < 200 {
		t.Errorf("two seeds have the same result, or too few requests: %d, want at least 200",
			len(all[0].Requests))
	}
	f, err := NewFleet(smallFleet(1, GossipAndBootstrap, 1))
	if err != nil {
		t.Fatal(err)
	}
	served := 0
	for _, a := range f.Run().Requests {
		class := f.cfg.class(f.cfg.Traffic[a.Class].Class)
		if a.Elapsed > class.Deadline+f.cfg.Module.Rules.AnswerGrace {
			t.Errorf("%+v was answered after its deadline of %v", a, class.Deadline)
		}
		if a.Outcome == Served {
			served++
		}
	}
	requests, s := len(f.result.Requests), f.result.Stats[1]
	if served < requests/2 || s.PacketsSent == 0 || s.PacketsAccepted == 0 {
		t.Errorf("%d of %d requests served, gossip %+v", served, requests, s)
	}
	machine := smallFleet(1, NoGossip, 0).Engines[0].Machine
	if _, err := NewFleet(Config{Dispatchers: 1, Engines: UniformEngines(1, "none", machine)}); err == nil {
		t.Error("no error for an unknown engine kind")
	}
}

// Err returns the first error of creating a decider at a restart.
func TestDeciderErrorAtRestart(t *testing.T) {
	c := smallFleet(1, NoGossip, 0)
	failed := errors.New("no decider")
	made := 0
	c.Decide = func(cfg *cresspass.Config, _ time.Duration) (dispatch.Decider, error) {
		if made++; made > c.Dispatchers {
			return nil, fmt.Errorf("%d: %w", made, failed)
		}
		return baseline.New("round-robin", 0, *cfg)
	}
	f, err := NewFleet(c)
	if err != nil {
		t.Fatal(err)
	}
	if f.Run(); !errors.Is(f.Err(), failed) || f.Err().Error() != "6: no decider" {
		t.Errorf("Err() = %v, want the error of the sixth decider", f.Err())
	}
}

// With costs estimated at a third of their true values, restarted dispatchers that bootstrap from the model
// state of others serve at least as many queries in time as those that start cold, also with four Byzantine
// dispatchers of twenty.
func TestBootstrapAgainstColdStarts(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical test: the race detector sees the same concurrent code in other tests")
	}
	n, err := CompareNewcomers([]Arm{{"cold", GossipOnly, 0}, {"newcomers", GossipAndBootstrap, 0},
		{"newcomers, Byzantine", GossipAndBootstrap, 4}}, 2, 0.33)
	if err != nil {
		t.Fatal(err)
	}
	for arm := 1; arm < len(n.Arms); arm++ {
		d := EstimateMean(Differences(n.Samples(arm, 0, 0), n.Samples(0, 0, 0)))
		if d.Mean < 0 {
			t.Errorf("%s: %.1f points fewer served in time in the first ten seconds than after a cold start",
				n.Arms[arm].Name, -100*d.Mean)
		}
	}
}
