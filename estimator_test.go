package cresspass

import (
	"math"
	"testing"
	"time"
)

func TestWeightsLearnFromTheMix(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	h.g.engines["e2"].active = false
	for i := range 200 {
		id := QueryID(10 * (i + 1))
		var sent []Action
		for j := range QueryID(4) {
			h.submit(id+j, "short", "")
			sent = append(sent, h.lastActions[0])
		}
		h.now += 600 * ms // three times the estimate, with four queries running
		for _, a := range sent {
			h.advance(0, attemptDoneEvent(a, 0, OutcomeOK, 600*ms))
		}
	}
	if w := h.g.kinds["std"].weights[0][0]; w <= 0.1 {
		t.Errorf("weight %v after 800 slow outcomes with four queries running, want above 0.1", w)
	}
}

// TestOneRunawayDoesNotMoveTheFit: a bad plan is no evidence of interference, so one extremely slow answer
// must hardly move the weights.
func TestOneRunawayDoesNotMoveTheFit(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"))
	h.submit(1, "short", "")
	h.now += 8 * time.Second
	h.advance(0, attemptDoneEvent(h.lastActions[0], 0, OutcomeOK, 8*time.Second))
	if w := h.g.kinds["std"].weights[0][0]; w > 0.05 {
		t.Errorf("one outcome of 40 times its base moved the weight to %v, want at most 0.05", w)
	}
}

// TestTimeOutsStayOutOfTheFit: lost answers are evidence about an engine's health, not about interference.
func TestTimeOutsStayOutOfTheFit(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"))
	for id := range QueryID(20) {
		if got := h.submit(id+1, "short", ""); len(got) == 1 && got[0].Type == Send {
			h.advance(0, attemptDoneEvent(got[0], 0, OutcomeTimedOut, 10*time.Second))
		}
	}
	e := h.g.engines["e1"]
	if w := e.kind.weights[0][0] + e.ownWeights[0][0]; w != 0 || e.logSlowness != 0 {
		t.Errorf("weight %v, slowness %v after timeouts alone, want 0", w, e.logSlowness)
	}
}

func TestLostAnswersAddNoSlowness(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ProgressInterval = 0
	h := newHarness(t, cfg, standardEngine("e1"))
	h.submit(1, "short", "")
	e := h.g.engineList[0]
	var early float64
	for i := range 180 {
		e.lastSeenAt = h.now // as if other answers arrived
		h.advance(50*ms, Event{Type: TimerFired})
		if i == 40 {
			early = e.logSlowness
		}
	}
	if early == 0 || e.logSlowness > early {
		t.Errorf("slowness %v once overdue, %v after nine seconds without the answer, want no increase",
			early, e.logSlowness)
	}
}

// TestMeanWorkComesFromAnswers: without cost estimates a class's mean work remained at its latency objective,
// regardless of the costs that answers reported (Tallinn).
func TestMeanWorkComesFromAnswers(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ReportsCost = true
	h := newHarness(t, cfg, standardEngine("e1"))
	for id := range QueryID(200) {
		h.advance(
			0,
			Event{Type: QueryArrived, Query: id + 1, Class: "short", RemainingDeadline: 10 * time.Second},
		)
		done := attemptDoneEvent(h.lastActions[0], 0, OutcomeOK, 200*ms)
		done.ActualCost = 200 * ms
		h.advance(200*ms, done)
	}
	if got := h.g.classList[0].meanWork; math.Abs(got-0.2) > 0.05 {
		t.Errorf("mean work %.2f s after 200 answers of 0.2 s, want 0.15 to 0.25 s", got)
	}
}

// TestEngineThatChangesKindIsReset: another machine may reuse an address, with no start time or an older one.
func TestEngineThatChangesKindIsReset(t *testing.T) {
	big := EngineInfo{ID: "e1", Kind: "big", Zone: "b", StartedAt: time.Minute}
	h := newHarness(t, allRulesConfig(), big)
	old := standardEngine("e1")
	old.StartedAt = time.Second
	h.advance(ms, Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{old}})
	if e := h.g.engines["e1"]; e.kind.cores != 8 {
		t.Errorf("engine has %v cores after its kind changed, want 8", e.kind.cores)
	}
	wantActions(t, h.submit(1, "bound", "")) // no engine of its kind is left
	wantActions(t, h.submit(2, "short", ""), Send)
}
