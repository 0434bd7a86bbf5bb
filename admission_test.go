package cresspass

import (
	"testing"
	"time"
)

func TestQueuedQueriesLeaveEarliestDeadlineFirst(t *testing.T) {
	cfg := singleClassConfig()
	cfg.Classes = append(
		cfg.Classes,
		Class{Name: "long", LatencyObjective: 9 * time.Second, Deadline: 30 * time.Second},
	)
	h := newHarness(t, cfg)
	h.submit(1, "long", "")
	h.submit(2, "short", "")
	got := h.advance(
		ms,
		Event{Type: EngineListReceived, ListType: ListComplete, Engines: []EngineInfo{standardEngine("e1")}},
	)
	wantActions(t, got, Send, Send)
	if got[0].Query != 2 {
		t.Errorf("query %d was sent first, want query 2", got[0].Query)
	}
}

// TestLateRetriesAreRejected: a client's retry whose latency objective has passed would only prolong an
// overload.
func TestLateRetriesAreRejected(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"))
	wantActions(t, h.submit(1, "short", ""), Send)
	late := Event{
		Type:              QueryArrived,
		Query:             2,
		Class:             "short",
		RemainingDeadline: 5 * time.Second,
		HasCostEstimate:   true,
		CostEstimate:      200 * ms,
	}
	late.IsRetry = true
	wantActions(t, h.advance(ms, late), Reject)
}

// TestShortFirstAttemptsAreServed: a short deadline alone does not show that a request is a retry (incident
// id68ae1).
func TestShortFirstAttemptsAreServed(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"))
	wantActions(t, h.submit(1, "short", ""), Send)
	wantActions(
		t,
		h.advance(ms, Event{Type: QueryArrived, Query: 2, Class: "short", RemainingDeadline: 5 * time.Second,
			HasCostEstimate: true, CostEstimate: 200 * ms}),
		Send,
	)
}

// TestLongQueriesYieldInAnOverload: a very long query earns no more than each of the many that it displaces,
// so an overload rejects it.
func TestLongQueriesYieldInAnOverload(t *testing.T) {
	for _, overload := range []bool{false, true} {
		h := newHarness(t, singleClassConfig(), standardEngine("e1"))
		for id := range QueryID(60) { // lets the class's mean work converge
			h.submit(id+1, "short", "")
			h.advance(0, attemptDoneEvent(h.lastActions[0], 0, OutcomeOK, 200*ms))
		}
		h.g.pressure.overloaded = overload
		got := h.advance(
			ms,
			Event{Type: QueryArrived, Query: 99, Class: "short", RemainingDeadline: 10 * time.Second,
				HasCostEstimate: true, CostEstimate: 3 * time.Second},
		)
		if overload {
			wantActions(t, got, Reject)
		} else {
			wantActions(t, got, Send)
		}
	}
}

// TestOverQuotaQueuesUnlessOverloaded: if clients are spread unevenly, this gateway's share of a quota is a
// guess. So a query over quota is rejected only in an overload, and otherwise queued like any other query
// (Quebec, a rolling restart).
func TestOverQuotaQueuesUnlessOverloaded(t *testing.T) {
	for _, overload := range []bool{false, true} {
		cfg := singleClassConfig()
		cfg.Tenants = []Tenant{{Name: "t", QuotaPerSecond: 0.1}}
		h := newHarness(t, cfg, standardEngine("e1"))
		for id := range QueryID(10) { // fills the engine up to its thread limit
			h.submit(id+1, "short", "")
		}
		h.g.pressure.overloaded = overload
		*h.g.tenants["t"] = tokenBucket{rate: 0.05, updatedAt: h.now} // used up
		ev := Event{
			Type:              QueryArrived,
			Query:             99,
			Class:             "short",
			Tenant:            "t",
			RemainingDeadline: 10 * time.Second,
			HasCostEstimate:   true,
			CostEstimate:      100 * ms,
		}
		if got := h.advance(0, ev); overload {
			wantActions(t, got, Reject)
		} else {
			wantActions(t, got)
		}
	}
}

// TestCrowdedEngineAdmitsByItsThreads: weights start small and learn nothing while no query ends, so a full
// engine must be recognised by the number of other gateways' threads (Tallinn, big-1).
func TestCrowdedEngineAdmitsByItsThreads(t *testing.T) {
	for _, c := range []struct {
		threads float64
		want    ActionType
	}{{0, Send}, {160, Reject}} {
		h := newHarness(t, largeFleetConfig(), standardEngines(1)...)
		e := h.g.engineList[0]
		e.runningCount[len(h.g.classList)], e.loadKnownAt = c.threads, h.now
		got := h.advance(
			0,
			Event{Type: QueryArrived, Query: 1, Class: "short", RemainingDeadline: 10 * time.Second,
				HasCostEstimate: true, CostEstimate: 250 * ms},
		)
		wantActions(t, got, c.want)
	}
}

func TestUnfittingQueryIsRejectedOnIdleEngines(t *testing.T) {
	rejected := 0
	for i := range 20 {
		cfg := largeFleetConfig()
		cfg.Ordinal = i
		h := newHarness(t, cfg, standardEngines(10)...)
		h.g.fleetLogSlowness = 3 // twenty times slower than the base
		for _, a := range h.submit(1, "short", "") {
			if a.Type == Reject {
				rejected++
			}
		}
	}
	if rejected < 15 {
		t.Errorf("%d of 20 queries that cannot fit were rejected, want at least 15", rejected)
	}
}
