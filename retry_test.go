package cresspass

import (
	"testing"
	"time"
)

// TestBadPlanIsCancelledAndRetried: an attempt that a progress note shows far behind is cancelled, as a new
// attempt gets a new query plan.
func TestBadPlanIsCancelledAndRetried(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	h.submit(1, "short", "")
	first := h.lastActions[0]
	note := Event{Type: ProgressReported, Query: 1, Engine: first.Engine, Note: NoteFractionDone, Value: 0.1}
	wantActions(t, h.advance(2*time.Second, note), Cancel)
	wantActions(t, h.advance(ms, attemptDoneEvent(first, 0, OutcomeCancelled, 2*time.Second)), Send)
}

// TestLostAnswerIsRetried: a query whose answer never arrives must be retried on another engine. A tenth to a
// third of answers were lost (Wellington, big-2).
func TestLostAnswerIsRetried(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ProgressInterval = 0
	h := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"))
	h.submit(1, "short", "")
	first := h.lastActions[0]
	var got []Action
	for range 20 {
		h.g.engines[first.Engine].lastSeenAt = h.now // answers of other queries arrive
		if got = h.advance(50*ms, Event{Type: TimerFired}); len(got) > 0 {
			break
		}
	}
	wantActions(t, got, Cancel)
	wantActions(t, h.advance(0, attemptDoneEvent(first, 0, OutcomeCancelled, 700*ms)), Send)
	if h.lastActions[0].Engine == first.Engine {
		t.Errorf("retried on %s, where the answer was lost", first.Engine)
	}
}

// TestLongQueryOfUnknownCostIsNoBadPlan: queries that were only long were cancelled as bad plans, so their
// work was done three times (Tallinn, big-1).
func TestLongQueryOfUnknownCostIsNoBadPlan(t *testing.T) {
	for _, known := range []bool{true, false} {
		h := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
		h.g.classList[0].baseScale = 0.1
		ev := Event{Type: QueryArrived, Query: 1, Class: "short", RemainingDeadline: 10 * time.Second}
		if ev.HasCostEstimate = known; known {
			ev.CostEstimate = 2 * time.Second
		}
		wantActions(t, h.advance(0, ev), Send)
		note := Event{
			Type:   ProgressReported,
			Query:  1,
			Engine: h.lastActions[0].Engine,
			Note:   NoteFractionDone,
			Value:  0.25,
		}
		if got := h.advance(200*ms, note); known {
			wantActions(t, got, Cancel) // 0.8 s for an estimate of 0.2 s
		} else {
			wantActions(t, got)
		}
	}
}

func TestLostAttemptReleasesItsThreads(t *testing.T) {
	h := newHarness(t, largeFleetConfig(), standardEngines(1)...)
	h.submit(1, "short", "")
	e := h.g.engineList[0]
	if e.ownThreads != 1 {
		t.Fatalf("%v threads running after a send, want 1", e.ownThreads)
	}
	for range 180 { // nine seconds in which other answers arrive
		e.lastSeenAt = h.now
		h.advance(50*ms, Event{Type: TimerFired})
	}
	if e.ownThreads != 0 || h.g.ownThreads != 0 {
		t.Errorf("an attempt long overdue still counts %v threads", e.ownThreads)
	}
}

// TestRetryBudgetWindow: arrivals count for the window less the margin, retries for the window plus the
// margin.
func TestRetryBudgetWindow(t *testing.T) {
	rules := &Rules{
		HasRetryBudget: true, RetryBudgetFree: 1, RetryBudgetRatio: 0.5, RetryBudgetWindow: time.Second,
	}
	var b retryBudget
	if !b.allowsRetry(rules, time.Hour, 10*ms) {
		t.Error("the free retry is not allowed")
	}
	b.recordRetry(time.Hour)
	if b.allowsRetry(rules, time.Hour, 10*ms) {
		t.Error("a second retry without queries is allowed")
	}
	b.recordArrival(time.Hour)
	b.recordArrival(time.Hour)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {980 * ms, true}, {995 * ms, false}, {1005 * ms, false}, {1015 * ms, true}} {
		if got := b.allowsRetry(rules, time.Hour+c.after, 10*ms); got != c.want {
			t.Errorf("%v later: allowed %v, want %v", c.after, got, c.want)
		}
	}
}
