package cresspass

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// singleClassConfig has one safe class with estimates and one kind, and no optional rule.
func singleClassConfig() Config {
	return Config{
		GatewayCount:     2,
		BatchInterval:    5 * ms,
		MayCancel:        true,
		ProgressInterval: 2 * time.Second,
		MaxAttempts:      4,
		Classes: []Class{
			{
				Name:             "short",
				LatencyObjective: 2 * time.Second,
				ObjectiveStretch: 1,
				Deadline:         10 * time.Second,
				PriorityWeight:   1,
			},
		},
		KindNames: []string{"std"},
		KindCores: []float64{8},
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*Config)
	}{
		{"no class", func(c *Config) { c.Classes = nil }},
		{"zero deadline", func(c *Config) { c.Classes[0].Deadline = 0 }},
		{"unequal lists", func(c *Config) { c.KindCores = []float64{8, 8} }},
		{"NaN", func(c *Config) { c.KindCores[0] = math.NaN() }},
		{"no cores", func(c *Config) { c.KindCores[0] = 0 }},
	} {
		cfg := singleClassConfig()
		c.spoil(&cfg)
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: no error", c.name)
		}
	}
}

func TestIdleEnginePreferred(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"), standardEngine("e3"))
	used := map[EngineID]bool{}
	for id := range QueryID(3) {
		wantActions(t, b.submit(id+1, "short", ""), Send)
		used[b.lastActions[0].Engine] = true
	}
	if len(used) != 3 {
		t.Errorf("three queries went to %d engines", len(used))
	}
}

// TestNearTiesSpread: while all weights are zero, estimates are alike; queries must spread all the same.
func TestNearTiesSpread(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	b.g.engines["e2"].logSlowness = 0.1
	for id := range QueryID(6) {
		b.submit(id+1, "short", "")
	}
	if n1, n2 := b.g.engines["e1"].ownThreads, b.g.engines["e2"].ownThreads; n1 != 3 || n2 != 3 {
		t.Errorf("threads %v and %v, want 3 and 3", n1, n2)
	}
}

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
		b.now += 600 * ms // three times the estimate, in company of four
		for _, a := range sent {
			b.advance(0, attemptDoneEvent(a, 0, OutcomeOK, 600*ms))
		}
	}
	if w := b.g.kinds["std"].weights[0][0]; w <= 0.1 {
		t.Errorf("weight %v after 800 slow outcomes in company", w)
	}
}

// TestOneRunawayDoesNotMoveTheFit: a bad plan says nothing of interference.
func TestOneRunawayDoesNotMoveTheFit(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"))
	b.submit(1, "short", "")
	b.now += 8 * time.Second
	b.advance(0, attemptDoneEvent(b.lastActions[0], 0, OutcomeOK, 8*time.Second))
	if w := b.g.kinds["std"].weights[0][0]; w > 0.05 {
		t.Errorf("one outcome of 40 times its base moved the weight to %v", w)
	}
}

// TestTimeOutsStayOutOfTheFit: lost answers are evidence of health, not of interference.
func TestTimeOutsStayOutOfTheFit(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"))
	for id := range QueryID(20) {
		if got := b.submit(id+1, "short", ""); len(got) == 1 && got[0].Type == Send {
			b.advance(0, attemptDoneEvent(got[0], 0, OutcomeTimedOut, 10*time.Second))
		}
	}
	e := b.g.engines["e1"]
	if w := e.kind.weights[0][0] + e.ownWeights[0][0]; w != 0 || e.logSlowness != 0 {
		t.Errorf("weight %v, slowness %v after time-outs alone", w, e.logSlowness)
	}
}

// TestRestartedGatewayDoesNotFlood: an empty fit thinks everything fits; the capped bound must hold it.
func TestRestartedGatewayDoesNotFlood(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"))
	for id := range QueryID(100) {
		b.submit(id+1, "short", "")
	}
	if n, most := b.g.engines["e1"].ownThreads, threadLimitEnforcedRatio*8/2; n > most {
		t.Errorf("%v threads at once, want at most %v", n, most)
	}
}

func TestQueuedQueriesLeaveEarliestDeadlineFirst(t *testing.T) {
	cfg := singleClassConfig()
	cfg.Classes = append(
		cfg.Classes,
		Class{Name: "long", LatencyObjective: 9 * time.Second, Deadline: 30 * time.Second},
	)
	b := newHarness(t, cfg)
	b.submit(1, "long", "")
	b.submit(2, "short", "")
	got := b.advance(
		ms,
		Event{Type: EngineListReceived, ListType: ListComplete, Engines: []EngineInfo{standardEngine("e1")}},
	)
	wantActions(t, got, Send, Send)
	if got[0].Query != 2 {
		t.Errorf("query %d left first", got[0].Query)
	}
}

// TestLateRetriesAreRejected: a client's later try whose aim has passed only keeps an overload alive.
func TestLateRetriesAreRejected(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"))
	wantActions(t, b.submit(1, "short", ""), Send)
	late := Event{
		Type:              QueryArrived,
		Query:             2,
		Class:             "short",
		RemainingDeadline: 5 * time.Second,
		HasCostEstimate:   true,
		CostEstimate:      200 * ms,
	}
	late.IsRetry = true
	wantActions(t, b.advance(ms, late), Reject)
}

// TestShortFirstAttemptsAreServed: a short wait alone is no sign of a repeat (incident id68ae1).
func TestShortFirstAttemptsAreServed(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"))
	wantActions(t, b.submit(1, "short", ""), Send)
	wantActions(
		t,
		b.advance(ms, Event{Type: QueryArrived, Query: 2, Class: "short", RemainingDeadline: 5 * time.Second,
			HasCostEstimate: true, CostEstimate: 200 * ms}),
		Send,
	)
}

// TestLongQueriesYieldInAnOverload: one very long query earns no more than one of the many it displaces.
func TestLongQueriesYieldInAnOverload(t *testing.T) {
	for _, overload := range []bool{false, true} {
		b := newHarness(t, singleClassConfig(), standardEngine("e1"))
		for id := range QueryID(60) { // settles the class's mean work
			b.submit(id+1, "short", "")
			b.advance(0, attemptDoneEvent(b.lastActions[0], 0, OutcomeOK, 200*ms))
		}
		b.g.overloaded = overload
		got := b.advance(
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

// TestOverQuotaQueuesUnlessOverloaded: this gateway's part of a quota is a guess where fronts are uneven, so
// a query beyond it is refused only in an overload, else held like any other (Quebec, a rolling restart).
func TestOverQuotaQueuesUnlessOverloaded(t *testing.T) {
	for _, overload := range []bool{false, true} {
		cfg := singleClassConfig()
		cfg.Tenants = []Tenant{{Name: "t", QuotaPerSecond: 0.1}}
		b := newHarness(t, cfg, standardEngine("e1"))
		for id := range QueryID(10) { // fills the engine up to the bound's cap
			b.submit(id+1, "short", "")
		}
		b.g.overloaded = overload
		*b.g.tenants["t"] = tokenBucket{rate: 0.05, updatedAt: b.now} // used up
		ev := Event{
			Type:              QueryArrived,
			Query:             99,
			Class:             "short",
			Tenant:            "t",
			RemainingDeadline: 10 * time.Second,
			HasCostEstimate:   true,
			CostEstimate:      100 * ms,
		}
		if got := b.advance(0, ev); overload {
			wantActions(t, got, Reject)
		} else {
			wantActions(t, got)
		}
	}
}

// TestBadPlanIsCancelledAndRetried: a note shows an attempt far behind, and a fresh one draws its plan anew.
func TestBadPlanIsCancelledAndRetried(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	b.submit(1, "short", "")
	first := b.lastActions[0]
	note := Event{Type: ProgressReported, Query: 1, Engine: first.Engine, Note: NoteFractionDone, Value: 0.1}
	wantActions(t, b.advance(2*time.Second, note), Cancel)
	wantActions(t, b.advance(ms, attemptDoneEvent(first, 0, OutcomeCancelled, 2*time.Second)), Send)
}

// TestSilentEngineIsEjected: an engine that takes work and answers nothing gets no more, and its queries
// move.
func TestSilentEngineIsEjected(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	for id := range QueryID(4) {
		b.submit(id+1, "short", "")
	}
	cancels := 0
	for range 60 {
		for _, a := range b.advance(50*ms, Event{Type: TimerFired}) {
			if a.Type == Cancel {
				cancels++
			}
		}
		if e := b.g.engines["e1"]; e.ejected {
			break
		}
	}
	if !b.g.engines["e1"].ejected || cancels < 2 {
		t.Errorf("sick %v, %d attempts called off", b.g.engines["e1"].ejected, cancels)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []Action {
		b := newHarness(
			t,
			singleClassConfig(),
			standardEngine("e1"),
			standardEngine("e2"),
			standardEngine("e3"),
		)
		var all []Action
		for id := range QueryID(50) {
			all = append(all, b.submit(id+1, "short", "")...)
			all = append(all, b.advance(20*ms, Event{Type: TimerFired})...)
		}
		return all
	}
	first, second := play(), play()
	if len(first) != len(second) {
		t.Fatalf("%d actions, then %d", len(first), len(second))
	}
	for i := range first {
		if first[i].Query != second[i].Query || first[i].Engine != second[i].Engine ||
			first[i].Type != second[i].Type {
			t.Fatalf("action %d: %+v, then %+v", i, first[i], second[i])
		}
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
		e.lastHeardAt = b.now // other answers arrive
		b.advance(50*ms, Event{Type: TimerFired})
		if i == 40 {
			early = e.logSlowness
		}
	}
	if early == 0 || e.logSlowness > early {
		t.Errorf("slowness %v once overdue, %v after nine seconds without the answer", early, e.logSlowness)
	}
}

func TestStateStaysBounded(t *testing.T) {
	cfg := allRulesConfig()
	b := newHarness(t, cfg, standardEngine("e0"))
	id := QueryID(0)
	for i := range 3000 {
		old, fresh := standardEngine(fmt.Sprintf("e%d", i)), standardEngine(fmt.Sprintf("e%d", i+1))
		old.State = EngineRemoved
		b.advance(
			100*ms,
			Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{fresh, old}},
		)
		id++
		for _, a := range b.submit(id, "load", fmt.Sprintf("key%d", i)) {
			if a.Type == Send {
				b.advance(100*ms, attemptDoneEvent(a, 0, OutcomeOK, 100*ms))
			}
		}
	}
	g := b.g
	if len(g.engineList) > 2 || len(g.engines) > 2 || len(g.enginesByTag) > 2 {
		t.Errorf(
			"%d engines kept, %d by name, %d by tag",
			len(g.engineList),
			len(g.engines),
			len(g.enginesByTag),
		)
	}
	if len(g.orderKeys) > 200 || len(g.queries) > 10 || len(g.attempts) > 10 {
		t.Errorf("%d keys, %d queries, %d attempts kept", len(g.orderKeys), len(g.queries), len(g.attempts))
	}
}

// A moment of very slow answers must not leave a gateway that refuses all for ever: it runs nothing then, so
// no outcome would ever correct what it believes.
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
	b := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"))
	id := QueryID(0)
	ask := func() []Action {
		id++
		return b.advance(
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
			for _, a := range ask() {
				if a.Type == Send {
					sent = append(sent, a)
				}
			}
		}
		for range 8 {
			b.advance(50*ms, Event{Type: TimerFired})
		}
		for _, a := range sent {
			b.advance(0, attemptDoneEvent(a, 0, OutcomeOK, 400*ms))
		}
	}
	served, asked := 0, 0
	for i := range 2000 { // then the engines are as quick as ever
		if i%5 == 0 {
			b.advance(10*ms, Event{Type: TimerFired})
		} else {
			b.advance(10 * ms)
		}
		for _, a := range ask() {
			if a.Type == Send {
				b.advance(ms, attemptDoneEvent(a, 0, OutcomeOK, ms))
				served++
			}
		}
		asked++
	}
	if served < asked/2 {
		t.Errorf("served %d of %d asked over 20 s after the jam", served, asked)
	}
}

// A query whose session is kept on one engine goes there or nowhere, once, and on a draining engine only
// within the grace.
func TestStickyEngine(t *testing.T) {
	cfg := singleClassConfig()
	cfg.Rules.DrainGrace = time.Second
	only := func(id QueryID, e EngineID) Event {
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
	b := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"))
	for id := range QueryID(6) {
		wantActions(t, b.advance(ms, only(id+1, "e2")), Send)
		if b.lastActions[0].Engine != "e2" {
			t.Fatalf("sent to %s", b.lastActions[0].Engine)
		}
	}
	sent := b.lastActions[0]
	if got := b.advance(10*ms, attemptDoneEvent(sent, 0, OutcomeConnectionReset, 10*ms)); len(got) != 1 ||
		got[0].Type == Send {
		t.Errorf("after a reset: %+v", got)
	}
	drain := Event{
		Type:     EngineListReceived,
		ListType: ListIncremental,
		Engines:  []EngineInfo{{ID: "e2", Kind: "std", State: EngineDraining}},
	}
	b.advance(ms, drain)
	wantActions(t, b.advance(500*ms, only(11, "e2")), Send)
	for _, a := range b.advance(600*ms, only(12, "e2")) {
		if a.Type == Send {
			t.Error("sent to a draining engine past the grace")
		}
	}
}

// Engines that looked slow once, and then got nothing, are no overload of the fleet: what is seen of them
// fades, and an engine of whose cores we use little is not under our pressure (a recorded day of
// montreal-est refused a tenth).
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
	b := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"), standardEngine("e3"))
	for _, e := range b.g.engineList {
		e.logLatency = 1.4 // four times the best
	}
	if b.advance(50*ms, Event{Type: TimerFired}); b.g.overloaded {
		t.Error("idle engines count as an overload")
	}
	for _, e := range b.g.engineList {
		e.ownThreads = 6
	}
	if b.advance(50*ms, Event{Type: TimerFired}); !b.g.overloaded {
		t.Error("slow engines with most of their cores in use count as none")
	}
	for range 400 {
		b.advance(50*ms, Event{Type: TimerFired})
	}
	if b.g.overloaded || b.g.engineList[0].logLatency > 0.4 {
		t.Errorf(
			"20 s without an answer: latency %.2f, pressed %v",
			b.g.engineList[0].logLatency,
			b.g.overloaded,
		)
	}
}

// TestGrantShrinksOnlyOnEvidence: a class's grant is cut only where the settings or the answers have
// something tell of spills; short queries are cut too, as the longer ones of their class tell.
func TestGrantShrinksOnlyOnEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		notes  time.Duration
		took   time.Duration
		needed float64
		cut    bool
	}{
		"nothing is told":      {took: 3 * time.Second},
		"ended before a note":  {notes: 2 * time.Second, took: 600 * ms, cut: true},
		"a note would be here": {notes: 2 * time.Second, took: 3 * time.Second, cut: true},
		"costs are told":       {took: 600 * ms, needed: 50, cut: true},
	} {
		cfg := singleClassConfig()
		cfg.ProgressInterval, cfg.AcceptsMemoryGrants = c.notes, true
		b := newHarness(t, cfg, standardEngine("e1"))
		for id := range QueryID(50) {
			b.advance(
				0,
				Event{Type: QueryArrived, Query: id + 1, Class: "short", RemainingDeadline: 9 * time.Second,
					MemoryEstimateMB: 100},
			)
			var sent Action
			for _, a := range b.lastActions {
				if a.Type == Send {
					sent = a
				}
			}
			b.now += c.took
			done := attemptDoneEvent(sent, 0, OutcomeOK, c.took)
			done.ActualMemoryMB = c.needed
			b.advance(0, done)
		}
		if got := b.g.classes["short"].grantFactor; (got < initialGrantFactor) != c.cut ||
			got > initialGrantFactor {
			t.Errorf("%s: grant %v, started at %v", name, got, initialGrantFactor)
		}
	}
}
