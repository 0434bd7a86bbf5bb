package cresspass

import (
	"testing"
	"time"
)

// TestRestartedGatewayDoesNotFlood: without learnt weights every query seems to fit, so only the thread limit
// holds a restarted gateway back.
func TestRestartedGatewayDoesNotFlood(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"))
	for id := range QueryID(100) {
		h.submit(id+1, "short", "")
	}
	if n, most := h.g.engines["e1"].ownThreads, threadLimitEnforcedRatio*8/2; n > most {
		t.Errorf("%v threads at once, want at most %v", n, most)
	}
}

// TestRecoversFromPessimisticEstimates: after a short period of very slow answers a gateway must not reject
// everything forever. It would run nothing then, so no outcome would correct its estimates.
func TestRecoversFromPessimisticEstimates(t *testing.T) {
	cfg := Config{
		Seed:          1,
		GatewayCount:  1,
		BatchInterval: 5 * ms,
		MayCancel:     true,
		KindNames:     []string{"std"},
		KindCores:     []float64{64},
		Classes: []Class{
			{Name: "q", LatencyObjective: time.Second, Deadline: 30 * time.Second, PriorityWeight: 1},
		},
	}
	h := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"))
	id := QueryID(0)
	submit := func() []Action {
		id++
		return h.advance(
			0,
			Event{
				Type:              QueryArrived,
				Query:             id,
				Class:             "q",
				RemainingDeadline: 30 * time.Second,
				HasCostEstimate:   true,
				CostEstimate:      20 * ms,
			},
		)
	}
	for range 40 { // waves of 32 queries that take 400 ms each
		var sent []Action
		for range 32 {
			for _, a := range submit() {
				if a.Type == Send {
					sent = append(sent, a)
				}
			}
		}
		for range 8 {
			h.advance(50*ms, Event{Type: TimerFired})
		}
		for _, a := range sent {
			h.advance(0, attemptDoneEvent(a, 0, OutcomeOK, 400*ms))
		}
	}
	served, submitted := 0, 0
	for i := range 2000 { // then the engines are fast again
		if i%5 == 0 {
			h.advance(10*ms, Event{Type: TimerFired})
		} else {
			h.advance(10 * ms)
		}
		for _, a := range submit() {
			if a.Type == Send {
				h.advance(ms, attemptDoneEvent(a, 0, OutcomeOK, ms))
				served++
			}
		}
		submitted++
	}
	if served < submitted/2 {
		t.Errorf("served %d of %d submitted in 20 s after the slow period, want half", served, submitted)
	}
}

// TestNoOverloadOfIdleEngines: engines that were slow once and then got no queries must not count as an
// overload of the fleet. Their latency decays, and an engine whose cores this gateway hardly uses is not
// under pressure (a recorded day of montreal-est rejected a tenth).
func TestNoOverloadOfIdleEngines(t *testing.T) {
	cfg := Config{
		Seed:          1,
		GatewayCount:  1,
		BatchInterval: 5 * ms,
		KindNames:     []string{"std"},
		KindCores:     []float64{8},
		Classes: []Class{
			{
				Name:             "q",
				LatencyObjective: time.Second,
				ObjectiveStretch: 1,
				Deadline:         10 * time.Second,
				PriorityWeight:   1,
			},
		},
	}
	h := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"), standardEngine("e3"))
	for _, e := range h.g.engineList {
		e.limiter.logLatency = 1.4 // four times the best
	}
	if h.advance(50*ms, Event{Type: TimerFired}); h.g.pressure.overloaded {
		t.Error("idle engines count as an overload")
	}
	for _, e := range h.g.engineList {
		e.ownThreads = 6
	}
	if h.advance(50*ms, Event{Type: TimerFired}); !h.g.pressure.overloaded {
		t.Error("slow engines with most of their cores in use do not count as an overload")
	}
	for range 400 {
		h.advance(50*ms, Event{Type: TimerFired})
	}
	if h.g.pressure.overloaded || h.g.engineList[0].limiter.logLatency > 0.4 {
		t.Errorf(
			"after 20 s without an answer: log latency %.2f, overloaded %v",
			h.g.engineList[0].limiter.logLatency,
			h.g.pressure.overloaded,
		)
	}
}

// TestLostAnswersAreNoPressureWhereEnginesReport: attempts that were overdue because their answers were lost
// counted as an overload, though the engines were half used (register, big-1).
func TestLostAnswersAreNoPressureWhereEnginesReport(t *testing.T) {
	h := newHarness(t, loadReportConfig("concurrent"), standardEngines(3)...)
	for id := range QueryID(30) {
		h.submit(id+1, "short", "") // none of them is ever answered
		for range 10 {
			h.advance(
				50*ms,
				Event{Type: TimerFired},
				healthCheckWithReport("e00", 4),
				healthCheckWithReport("e01", 4),
				healthCheckWithReport("e02", 4),
			)
		}
	}
	if h.g.pressure.level > 1 || h.g.fleetLogSlowness > 0.5 {
		t.Errorf(
			"level %.2f, slowness %.2f though engines report half a thread per core",
			h.g.pressure.level,
			h.g.fleetLogSlowness,
		)
	}
}

// TestUseOfCoresGivesNoPressure: load_share, the share of the cores in use, never exceeds one. So it does not
// show load beyond the cores, and must not replace the level that follows from slowness (Montreal grown).
func TestUseOfCoresGivesNoPressure(t *testing.T) {
	h := newHarness(t, loadReportConfig("load_share"), standardEngines(3)...)
	h.g.fleetLogSlowness = 3 // outcomes show a fleet twenty times slower than its bases
	h.advance(
		50*ms,
		healthCheckWithReport("e00", 1),
		healthCheckWithReport("e01", 1),
		healthCheckWithReport("e02", 1),
		Event{Type: TimerFired},
	)
	if h.g.pressure.level < 1 {
		t.Errorf("level %.2f with all cores in use, want at least 1", h.g.pressure.level)
	}
}
