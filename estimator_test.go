package cresspass

import (
	"math"
	"testing"
	"time"
)

func TestWeightsLearnFromTheMix(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	b.g.engines["e2"].active = false
	for i := range 200 {
		id := QueryID(10 * (i + 1))
		var sent []Action
		for j := range QueryID(4) {
			b.submit(id+j, "short", "")
			sent = append(sent, b.lastActions[0])
		}
		b.now += 600 * ms // three times the estimate, with four queries running
		for _, a := range sent {
			b.advance(0, attemptDoneEvent(a, 0, OutcomeOK, 600*ms))
		}
	}
	if w := b.g.kinds["std"].weights[0][0]; w <= 0.1 {
		t.Errorf("weight %v after 800 slow outcomes with four queries running, want above 0.1", w)
	}
}

// TestOneRunawayDoesNotMoveTheFit: a bad plan is no evidence of interference, so one extremely slow answer
// must hardly move the weights.
func TestOneRunawayDoesNotMoveTheFit(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"))
	b.submit(1, "short", "")
	b.now += 8 * time.Second
	b.advance(0, attemptDoneEvent(b.lastActions[0], 0, OutcomeOK, 8*time.Second))
	if w := b.g.kinds["std"].weights[0][0]; w > 0.05 {
		t.Errorf("one outcome of 40 times its base moved the weight to %v, want at most 0.05", w)
	}
}

// TestTimeOutsStayOutOfTheFit: lost answers are evidence about an engine's health, not about interference.
func TestTimeOutsStayOutOfTheFit(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"))
	for id := range QueryID(20) {
		if got := b.submit(id+1, "short", ""); len(got) == 1 && got[0].Type == Send {
			b.advance(0, attemptDoneEvent(got[0], 0, OutcomeTimedOut, 10*time.Second))
		}
	}
	e := b.g.engines["e1"]
	if w := e.kind.weights[0][0] + e.ownWeights[0][0]; w != 0 || e.logSlowness != 0 {
		t.Errorf("weight %v, slowness %v after timeouts alone, want 0", w, e.logSlowness)
	}
}

func TestLostAnswersAddNoSlowness(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ProgressInterval = 0
	b := newHarness(t, cfg, standardEngine("e1"))
	b.submit(1, "short", "")
	e := b.g.engineList[0]
	var early float64
	for i := range 180 {
		e.lastSeenAt = b.now // other answers arrive
		b.advance(50*ms, Event{Type: TimerFired})
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
// whatever the answers reported (Tallinn).
func TestMeanWorkComesFromAnswers(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ReportsCost = true
	b := newHarness(t, cfg, standardEngine("e1"))
	for id := range QueryID(200) {
		b.advance(
			0,
			Event{Type: QueryArrived, Query: id + 1, Class: "short", RemainingDeadline: 10 * time.Second},
		)
		done := attemptDoneEvent(b.lastActions[0], 0, OutcomeOK, 200*ms)
		done.ActualCost = 200 * ms
		b.advance(200*ms, done)
	}
	if got := b.g.classList[0].meanWork; math.Abs(got-0.2) > 0.05 {
		t.Errorf("mean work %.2f s after 200 answers of 0.2 s, want 0.15 to 0.25 s", got)
	}
}

// TestEngineThatChangesKindIsReset: another machine may reuse an address, with no start time or an older one.
func TestEngineThatChangesKindIsReset(t *testing.T) {
	big := EngineInfo{ID: "e1", Kind: "big", Zone: "b", StartedAt: time.Minute}
	b := newHarness(t, allRulesConfig(), big)
	old := standardEngine("e1")
	old.StartedAt = time.Second
	b.advance(ms, Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{old}})
	if e := b.g.engines["e1"]; e.kind.cores != 8 {
		t.Errorf("engine has %v cores after its kind changed, want 8", e.kind.cores)
	}
	wantActions(t, b.submit(1, "bound", "")) // no engine of its kind is left
	wantActions(t, b.submit(2, "short", ""), Send)
}
