package cresspass

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestSlowStartSlotsStayInBudget: 1 to 300 gateways send to one engine in slow start, with even and uneven
// traffic and with gateways that restart. Together they must use the engine within its first 4 s and must not
// exceed the budget of rule 4 in any window.
func TestSlowStartSlotsStayInBudget(t *testing.T) {
	for _, c := range []struct {
		gateways int
		busy     int // one gateway in this many has traffic
		restart  bool
	}{{1, 1, false}, {30, 1, false}, {300, 1, false}, {300, 5, false}, {300, 1, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			cfg := singleClassConfig()
			cfg.GatewayCount, cfg.ProgressInterval = c.gateways, 0
			cfg.Rules = Rules{
				SlowStartFrom:           0.3,
				SlowStartDuration:       15 * time.Second,
				SlowStartOverloadFactor: 2.5,
				SlowStartWindow:         2 * time.Second,
			}
			e := standardEngine("e1")
			e.StartedAt = time.Hour
			start := func(i int, seed uint64) *harness {
				own := cfg
				own.Ordinal, own.Seed = i, seed
				return newHarness(t, own, e)
			}
			var all []*harness
			for i := range c.gateways {
				all = append(all, start(i, 1))
			}
			const cost = 0.15
			var sent []time.Duration
			id := QueryID(0)
			for step := range 280 {
				now := time.Hour + time.Duration(step)*50*ms
				for i, h := range all {
					if c.restart && step == 100 && i%2 == 0 {
						h = start(i, 2)
						all[i] = h
					}
					h.now = now
					events := []Event{{Type: TimerFired}}
					if i%c.busy == 0 {
						id++
						events = append(
							events,
							Event{
								Type:              QueryArrived,
								Query:             id,
								Class:             "short",
								RemainingDeadline: 10 * time.Second,
								HasCostEstimate:   true,
								CostEstimate:      time.Duration(cost * float64(time.Second)),
							},
						)
					}
					for _, a := range h.advance(0, events...) {
						if a.Type == Send {
							sent = append(sent, now)
							h.advance(0, attemptDoneEvent(a, 0, OutcomeOK, 150*ms))
						}
					}
				}
			}
			if len(sent) == 0 {
				t.Fatal("nothing was sent to the engine in slow start")
			}
			worst := 0.0
			for i, from := range sent {
				age := (from - time.Hour).Seconds()
				n := 0
				for _, at := range sent[i:] {
					if at < from+cfg.Rules.SlowStartWindow {
						n++
					}
				}
				budget := 2.5 * 8 * capacityCPUShare * (0.3 + 0.7*age/15) * 2
				worst = math.Max(worst, float64(n)*cost/budget)
			}
			if worst > 1 {
				t.Errorf("a window reached %.0f%% of the budget", 100*worst)
			}
			if first := sent[0] - time.Hour; first > 4*time.Second {
				t.Errorf("first query sent after %v, want at most 4 s", first)
			}
		})
	}
}
