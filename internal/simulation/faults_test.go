package simulation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Under random combinations of faults, each client gets one answer within its deadline, no query is sent to a
// drained engine after the grace, no engine collapses while it warms up, and retries stay within their
// budget. Two runs of a seed have the same numbers of requests and events.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := smallFleet(rapid.Uint64().Draw(t, "seed"), GossipMode(rapid.IntRange(0, 2).Draw(t, "gossip")), 0)
		c.Restarts = nil
		c.Length = 12 * time.Second
		setSlowStart(&c, 10*time.Second, 3)
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			c.Faults = append(c.Faults, Fault{Kind: rapid.SampledFrom(FaultKinds()).Draw(t, "kind"),
				At:         time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond,
				For:        time.Duration(rapid.IntRange(1000, 5000).Draw(t, "for")) * time.Millisecond,
				Engines:    []int{rapid.IntRange(0, 2).Draw(t, "engine")},
				Dispatcher: rapid.IntRange(0, 4).Draw(t, "dispatcher"),
				Size:       0.3})
		}
		f, err := NewFleet(c)
		if err != nil {
			t.Fatal(err)
		}
		got := f.Run()
		if got.Violations.Total() > 0 {
			t.Fatalf("violations %+v with faults %+v", got.Violations, c.Faults)
		}
		again, _ := NewFleet(c)
		if b := again.Run(); len(b.Requests) != len(got.Requests) || b.Events != got.Events {
			t.Fatalf("two runs of one seed: %d requests and %d events, then %d and %d", len(got.Requests),
				got.Events, len(b.Requests), b.Events)
		}
	})
}

// All policies run. Under overload, the oracle serves about as large a share in time as any other, or more.
func TestPolicies(t *testing.T) {
	served := map[string]float64{}
	for _, p := range Policies {
		c := smallFleet(1, NoGossip, 0)
		c.Restarts, c.Policy, c.Length = nil, p, 40*time.Second
		for i := range c.Traffic {
			c.Traffic[i].Rate *= 1.3
		}
		f, err := NewFleet(c)
		if err != nil {
			t.Fatal(err)
		}
		s := f.Run().Between(10*time.Second, 30*time.Second, nil)
		served[p] = s.Served * (1 - s.Late)
	}
	for p, v := range served {
		if p != "oracle" && v > served["oracle"]+0.02 {
			t.Errorf("%q serves %.3f in time, the oracle %.3f", p, v, served["oracle"])
		}
	}
	c := smallFleet(1, NoGossip, 0)
	c.Policy = "best"
	if _, err := NewFleet(c); err == nil {
		t.Error("no error for an unknown policy")
	}
}

// A newly started engine looks empty to all dispatchers, so without slow start they overload it. With the
// module the engine does not collapse, also if a tenth of the dispatchers has nine tenths of the clients.
// With a plain policy it does, which shows that the simulation detects the fault.
func TestNewEngineIsNotFlooded(t *testing.T) {
	listDelay := time.Duration(0)
	simulate := func(policy string, imbalance float64) *Result {
		c := smallFleet(2, GossipOnly, 0)
		c.ListDelay = listDelay
		c.Restarts, c.Policy, c.Imbalance, c.Dispatchers, c.Length = nil, policy, imbalance, 20,
			40*time.Second
		setSlowStart(&c, 15*time.Second, 2)
		for i := range c.Traffic {
			c.Traffic[i].Rate *= 0.75
		}
		c.Faults = []Fault{{Kind: "crash", At: 8 * time.Second, For: 3 * time.Second, Engines: []int{0}}}
		f, err := NewFleet(c)
		if err != nil {
			t.Fatal(err)
		}
		return f.Run()
	}
	for _, imbalance := range []float64{0, 0.9} {
		r := simulate("", imbalance)
		if r.Violations.Total() > 0 {
			t.Errorf("share of the busiest tenth %g: violations %+v", imbalance, r.Violations)
		}
		s := r.Between(0, 30*time.Second, nil)
		if busy := r.Between(0, 30*time.Second, []int{0, 1}); imbalance > 0 &&
			float64(busy.Requests) < 0.8*float64(s.Requests) {
			t.Errorf("%d of %d requests at the busiest tenth, want at least 80%%", busy.Requests, s.Requests)
		}
		if s.Served < 0.5 {
			t.Errorf("share of the busiest tenth %g: fewer than half of the requests served: %+v",
				imbalance, s)
		}
	}
	v := simulate("least-connections", 0).Violations
	if v.InformedCollapses == 0 || v.UninformedCollapses > 0 {
		t.Errorf("with a plain policy, want only informed collapses of the cold engine: %+v", v)
	}
	listDelay = time.Minute // no dispatcher knows of the engine's start before the day is over
	v = simulate("least-connections", 0).Violations
	if v.InformedCollapses > 0 || v.UninformedCollapses == 0 {
		t.Errorf("want only uninformed collapses, as no dispatcher knew of the start: %+v", v)
	}
}

// setSlowStart configures the same slow start in the module's rules and in all machines, starting at 0.3 of
// the capacity and with an overload window of a second.
func setSlowStart(c *Config, duration time.Duration, overloadFactor float64) {
	r := &c.Module.Rules
	r.SlowStartFrom, r.SlowStartDuration = 0.3, duration
	r.SlowStartOverloadFactor, r.SlowStartWindow = overloadFactor, time.Second
	for i := range c.Engines {
		m := &c.Engines[i].Machine
		m.SlowStartFrom, m.SlowStartDuration = r.SlowStartFrom, r.SlowStartDuration
		m.SlowStartOverloadFactor, m.SlowStartWindow = r.SlowStartOverloadFactor, r.SlowStartWindow
	}
}
