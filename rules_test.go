package cresspass

import (
	"fmt"
	"testing"
	"time"
)

func TestRule1FinalAnswerBeforeDeadline(t *testing.T) {
	h := newHarness(t, allRulesConfig()) // no engine is known, so the query is queued
	wantActions(t, h.submit(1, "short", ""))
	wantActions(t, h.advance(5*time.Second-10*ms, Event{Type: TimerFired, Label: 2}), Reject)
	wantActions(t, h.advance(ms, Event{Type: TimerFired, Label: 2}))
	wantActions(
		t,
		h.advance(
			ms,
			Event{
				Type:     EngineListReceived,
				ListType: ListComplete,
				Engines:  []EngineInfo{standardEngine("e1")},
			},
		),
	)
}

// TestRule1AnswersBeforeShutdown: a gateway with a scheduled shutdown answers all queries before it, also
// those that arrive in the meantime.
func TestRule1AnswersBeforeShutdown(t *testing.T) {
	h := newHarness(t, allRulesConfig(), standardEngine("e1"))
	wantActions(t, h.submit(1, "short", ""), Send)
	sent := h.lastActions[0]
	h.advance(ms, Event{Type: ShutdownScheduled, RemainingDeadline: time.Second})
	wantActions(t, h.advance(400*ms, Event{Type: EngineListReceived, ListType: ListComplete}))
	wantActions(t, h.submit(2, "short", "")) // no engine is left: it is queued while it can still fit
	wantActions(
		t,
		h.advance(590*ms, Event{Type: TimerFired, Label: 2}, Event{Type: TimerFired, Label: 3}),
		Reject,
		Cancel,
		Reject,
	)
	wantActions(t, h.advance(ms, attemptDoneEvent(sent, 0, OutcomeCancelled, ms)))
	wantActions(
		t,
		h.advance(20*ms, Event{Type: QueryArrived, Query: 3, Class: "short", RemainingDeadline: time.Second}),
		Reject,
	)
}

func TestRule1NothingAfterQueryAbandoned(t *testing.T) {
	h := newHarness(t, allRulesConfig())
	wantActions(t, h.submit(1, "short", ""))
	wantActions(t, h.advance(ms, Event{Type: QueryAbandoned, Query: 1}))
	wantActions(
		t,
		h.advance(
			ms,
			Event{
				Type:     EngineListReceived,
				ListType: ListComplete,
				Engines:  []EngineInfo{standardEngine("e1")},
			},
		),
	)
	wantActions(t, h.submit(2, "short", ""), Send)
	sent := h.lastActions[0]
	h.advance(ms, Event{Type: QueryAbandoned, Query: 2})
	wantActions(t, h.advance(ms, attemptDoneEvent(sent, 0, OutcomeConnectionReset, ms)))
}

func TestRule1NoRemainingDeadline(t *testing.T) {
	h := newHarness(t, allRulesConfig(), standardEngine("e1"))
	for i, left := range []time.Duration{0, -time.Second} {
		wantActions(
			t,
			h.advance(
				0,
				Event{Type: QueryArrived, Query: QueryID(i + 1), Class: "short", RemainingDeadline: left},
			),
			Reject,
		)
	}
}

func TestRule2Retries(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		after   time.Duration
		want    ActionType
	}{
		{"short", OutcomeConnectionReset, ms, Send}, {"short", OutcomeFailed, 100 * ms, Send}, {"once",
			OutcomeRejected, ms, Send},
		{"once", OutcomeConnectFailed, ms, Send}, {"once", OutcomeConnectionReset, ms, Fail}, {"once",
			OutcomeFailed, ms, Fail},
		{"once", OutcomeTimedOut, ms, Fail}, {"load", OutcomeConnectionReset, ms, Send}, {"load",
			OutcomeConnectionReset, 3100 * ms, Reject},
		{"cell", OutcomeConnectionReset, 7 * time.Second, Fail}, {"short", OutcomeNotStarted, ms, Reject},
	} {
		t.Run(fmt.Sprint(c.class, c.outcome, c.after), func(t *testing.T) {
			h := newHarness(t, allRulesConfig(), standardEngine("e1"), standardEngine("e2"))
			wantActions(t, h.submit(1, c.class, ""), Send)
			wantActions(
				t,
				h.advance(c.after, attemptDoneEvent(h.lastActions[0], 0, c.outcome, c.after)),
				c.want,
			)
		})
	}
}

func TestRule2StaysInTheCell(t *testing.T) {
	e1, e2, e3 := standardEngine("e1"), standardEngine("e2"), standardEngine("e3")
	e1.Cell, e2.Cell, e3.Cell = 1, 2, 1
	h := newHarness(t, allRulesConfig(), e1, e2, e3)
	wantActions(t, h.submit(1, "cell", ""), Send)
	first := h.lastActions[0]
	wantActions(t, h.advance(ms, attemptDoneEvent(first, 0, OutcomeConnectionReset, ms)), Send)
	if cell := h.g.engines[h.lastActions[0].Engine].Cell; cell != h.g.engines[first.Engine].Cell {
		t.Errorf("retried in cell %d, outside the cell of the first attempt", cell)
	}
}

func TestRule3NothingToADrainingEngine(t *testing.T) {
	e := standardEngine("e1")
	h := newHarness(t, allRulesConfig(), e)
	e.State = EngineDraining
	h.advance(ms, Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{e}})
	wantActions(t, h.submit(1, "short", ""))
	h.advance(ms, Event{Type: EngineListReceived, ListType: ListComplete})
	wantActions(t, h.submit(2, "short", ""))
}

func TestRule4WarmingEngineGetsItsShareOnly(t *testing.T) {
	cfg := allRulesConfig()
	e := standardEngine("e1")
	e.StartedAt = time.Hour - time.Second
	h := newHarness(t, cfg, e)
	sent := 0
	for i := range 200 {
		for _, a := range h.submit(QueryID(i+1), "short", "") {
			if a.Type == Send {
				sent++
				h.advance(
					0,
					attemptDoneEvent(a, 0, OutcomeOK, 10*ms),
				) // idle again at once: mayTryIdle must not bypass slow start
			}
		}
	}
	window := cfg.Rules.SlowStartWindow.Seconds()
	budget := cfg.Rules.SlowStartOverloadFactor * cfg.Rules.SlowStartFrom * 8 * capacityCPUShare * window / 2
	if work := float64(sent) * 0.2; sent == 0 || work > budget {
		t.Errorf("sent %d queries, %.1f s of work, want some within a budget of %.1f s", sent, work, budget)
	}
}

// TestRule4SlowStartSendExpires: a send to an engine in slow start must start within half of the window. For
// a send to a warm engine, only the query's deadline limits the start.
func TestRule4SlowStartSendExpires(t *testing.T) {
	cfg := allRulesConfig()
	cold, warm := standardEngine("e1"), standardEngine("e2")
	cold.StartedAt = time.Hour - time.Second
	h := newHarness(t, cfg, cold, warm)
	seen := map[EngineID]bool{}
	for i := range 50 {
		for _, a := range h.submit(QueryID(i+1), "short", "") {
			if a.Type != Send {
				continue
			}
			seen[a.Engine] = true
			want := time.Duration(0)
			if a.Engine == cold.ID {
				want = cfg.Rules.SlowStartWindow / 2
			}
			if a.StartWithin != want {
				t.Fatalf("send to %s has StartWithin %v, want %v", a.Engine, a.StartWithin, want)
			}
		}
	}
	if len(seen) != 2 {
		t.Errorf("queries were sent to %v only, want both engines", seen)
	}
}

func TestRule5OneAtATimeAndSettles(t *testing.T) {
	h := newHarness(t, allRulesConfig(), standardEngine("e1"), standardEngine("e2"))
	wantActions(t, h.submit(1, "load", "k"), Send)
	first := h.lastActions[0]
	wantActions(t, h.submit(2, "load", "k"))
	wantActions(t, h.submit(3, "load", "other"), Send)
	wantActions(
		t,
		h.advance(ms, Event{Type: QueryAbandoned, Query: 1}),
	) // the query has ended, but its attempt has no outcome yet
	wantActions(t, h.advance(ms, attemptDoneEvent(first, 0, OutcomeConnectionReset, ms)))
	wantActions(t, h.advance(499*ms, Event{Type: TimerFired}))
	wantActions(t, h.advance(2*ms, Event{Type: TimerFired}), Send)
}

func TestRule6PlacementWhenEngineRemoved(t *testing.T) {
	big := EngineInfo{ID: "e2", Kind: "big", Zone: "b"}
	h := newHarness(t, allRulesConfig(), standardEngine("e1"), EngineInfo{ID: "e3", Kind: "big", Zone: "a"},
		EngineInfo{ID: "e4", Kind: "std", Zone: "b"}, big)
	wantActions(t, h.submit(1, "bound", ""), Send)
	if h.lastActions[0].Engine != "e2" {
		t.Errorf("sent to %s, want e2", h.lastActions[0].Engine)
	}
	big.State = EngineRemoved
	h.advance(ms, Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{big}})
	wantActions(t, h.submit(2, "bound", ""))
}

func TestRule7RetryBudget(t *testing.T) {
	var engines []EngineInfo // many, as an engine that rejected work is under pressure for a while
	for i := range 20 {
		engines = append(engines, standardEngine(fmt.Sprintf("e%02d", i)))
	}
	h := newHarness(t, allRulesConfig(), engines...)
	retries := 0
	for i := range 10 {
		h.submit(QueryID(i+1), "short", "")
		a := h.lastActions[0]
		for _, again := range h.advance(0, attemptDoneEvent(a, 0, OutcomeRejected, 0)) {
			if again.Type == Send {
				retries++
				h.advance(0, attemptDoneEvent(again, 1, OutcomeOK, 100*ms))
			}
		}
	}
	if retries == 0 || retries > 2+10/5 {
		t.Errorf("%d retries for 10 queries, want 1 to 4", retries)
	}
}
