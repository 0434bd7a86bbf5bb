package cresspass

import (
	"testing"
	"time"
)

func TestIdleEnginePreferred(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"), standardEngine("e3"))
	used := map[EngineID]bool{}
	for id := range QueryID(3) {
		wantActions(t, h.submit(id+1, "short", ""), Send)
		used[h.lastActions[0].Engine] = true
	}
	if len(used) != 3 {
		t.Errorf("three queries went to %d engines, want 3", len(used))
	}
}

// TestNearTiesSpread: while all weights are zero, estimates are nearly equal. Queries must spread evenly
// nevertheless.
func TestNearTiesSpread(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	h.g.engines["e2"].logSlowness = 0.1
	for id := range QueryID(6) {
		h.submit(id+1, "short", "")
	}
	if n1, n2 := h.g.engines["e1"].ownThreads, h.g.engines["e2"].ownThreads; n1 != 3 || n2 != 3 {
		t.Errorf("threads %v and %v, want 3 and 3", n1, n2)
	}
}

// TestStickyEngine: a query of a session is sent only to the engine of that session, and only once. While
// that engine drains, the query is sent only within the drain grace.
func TestStickyEngine(t *testing.T) {
	cfg := singleClassConfig()
	cfg.Rules.DrainGrace = time.Second
	stickyQuery := func(id QueryID, e EngineID) Event {
		return Event{
			Type:              QueryArrived,
			Query:             id,
			Class:             "short",
			RemainingDeadline: 5 * time.Second,
			HasCostEstimate:   true,
			CostEstimate:      200 * ms,
			StickyEngine:      e,
		}
	}
	h := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"))
	for id := range QueryID(6) {
		wantActions(t, h.advance(ms, stickyQuery(id+1, "e2")), Send)
		if h.lastActions[0].Engine != "e2" {
			t.Fatalf("sent to %s, want e2", h.lastActions[0].Engine)
		}
	}
	sent := h.lastActions[0]
	if got := h.advance(10*ms, attemptDoneEvent(sent, 0, OutcomeConnectionReset, 10*ms)); len(got) != 1 ||
		got[0].Type == Send {
		t.Errorf("after a connection reset: %+v, want one action that is no Send", got)
	}
	drain := Event{
		Type:     EngineListReceived,
		ListType: ListIncremental,
		Engines:  []EngineInfo{{ID: "e2", Kind: "std", State: EngineDraining}},
	}
	h.advance(ms, drain)
	wantActions(t, h.advance(500*ms, stickyQuery(11, "e2")), Send)
	for _, a := range h.advance(600*ms, stickyQuery(12, "e2")) {
		if a.Type == Send {
			t.Error("sent to a draining engine after the grace")
		}
	}
}

// TestLongQueryProbesLoadFirst: an overloaded engine answers no query, so only a load probe shows its load
// (register, big-2).
func TestLongQueryProbesLoadFirst(t *testing.T) {
	h := newHarness(t, loadReportConfig("concurrent"), standardEngines(5)...)
	long := Event{
		Type:              QueryArrived,
		Query:             1,
		Class:             "short",
		RemainingDeadline: 10 * time.Second,
		HasCostEstimate:   true,
		CostEstimate:      1500 * ms,
	}
	got := append([]Action(nil), h.advance(0, long)...)
	wantActions(t, got, CheckHealth, CheckHealth, CheckHealth)
	probed := map[EngineID]bool{}
	var answers []Event
	for i, a := range got {
		probed[a.Engine] = true
		answers = append(
			answers,
			healthCheckWithReport(a.Engine, float64(100*min(i, 1))),
		) // only the first has no load
	}
	h.advance(2*ms, answers...)
	got = h.advance(loadProbeWait, Event{Type: TimerFired, Label: 2})
	if len(got) != 1 || got[0].Type != Send || len(probed) != 3 {
		t.Fatalf("after the reports of %d engines, want 3: %+v, want one Send", len(probed), got)
	}
	for i, ev := range answers {
		if i > 0 && ev.Engine == got[0].Engine {
			t.Errorf("sent to %s, which reports 100 queries", ev.Engine)
		}
	}
	short := Event{
		Type:              QueryArrived,
		Query:             2,
		Class:             "short",
		RemainingDeadline: 10 * time.Second,
		HasCostEstimate:   true,
		CostEstimate:      100 * ms,
	}
	wantActions(t, h.advance(ms, short), Send)
}

func TestManyGatewaysSpreadLikeViews(t *testing.T) {
	used := map[EngineID]int{}
	for i := range 50 {
		cfg := largeFleetConfig()
		cfg.Ordinal = i
		h := newHarness(t, cfg, standardEngines(10)...)
		for _, a := range h.submit(1, "short", "") {
			if a.Type == Send {
				used[a.Engine]++
			}
		}
	}
	if len(used) < 8 {
		t.Errorf("50 gateways with the same view used %d of 10 engines, want at least 8: %v", len(used), used)
	}
}
