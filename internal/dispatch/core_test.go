package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const ms = time.Millisecond

// The classes of testConfig, and the deduplication window of the second.
const (
	idempotentClass    = "safe"
	keyedClass         = "keyed"
	notIdempotentClass = "unsafe"
	keyedWindow        = time.Second
)

func testConfig() cresspass.Config {
	return cresspass.Config{Seed: 1, GatewayCount: 1, BatchInterval: 5 * ms, MayCancel: true,
		MaySendRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: time.Second, KindNames: []string{"std"},
		KindCores: []float64{4},
		Rules: cresspass.Rules{AnswerGrace: 50 * ms, DrainGrace: time.Second,
			OrderSettleDelay: 200 * ms},
		Classes: []cresspass.Class{
			{Name: idempotentClass, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: keyedClass, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1,
				Effect: cresspass.IdempotentWithKey, DeduplicationWindow: keyedWindow, OrderedByKey: true},
			{Name: notIdempotentClass, LatencyObjective: 500 * ms, Deadline: 2 * time.Second,
				PriorityWeight: 1, Effect: cresspass.NotIdempotent},
		}}
}

func engineList(n int) cresspass.Event {
	event := cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListComplete}
	for i := range n {
		event.Engines = append(event.Engines, cresspass.EngineInfo{
			ID: cresspass.EngineID(fmt.Sprint("e", i)), Kind: "std"})
	}
	return event
}

// observedQuery is what a shell sees of a query, whatever events come in whatever order.
type observedQuery struct {
	class          string
	deadline       time.Duration
	ends           int // rejections, failures, and attempts that finished it
	clientGone     bool
	nextAttempt    int
	running        map[int]cresspass.EngineID // started, no outcome reported
	stopped        map[int]bool
	mayHaveRun     bool
	startedAt      map[int]time.Duration // of each attempt
	firstRunAt     time.Duration         // when the first was started of those that may have run
	endedThisBatch int                   // attempt whose outcome came in this batch, plus 1
}

// contractChecker drives a Core with drawn events, and checks each output against what a shell may see.
type contractChecker struct {
	*rapid.T
	core    *Core
	now     time.Duration
	queries map[cresspass.QueryID]*observedQuery
	ids     []cresspass.QueryID
}

// TestCoreContract: the contract of Core under any events. Attempts are numbered in turn; each query has one
// end, by its deadline, and nothing is started after it; an attempt is stopped only while it runs, and once;
// a query that is not idempotent is not started again once it may have run.
func TestCoreContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core, err := NewCore(testConfig(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		c := &contractChecker{T: t, core: core, now: time.Hour,
			queries: map[cresspass.QueryID]*observedQuery{}}
		c.step([]cresspass.Event{engineList(3)})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now += time.Duration(rapid.SampledFrom([]int{0, 1, 7, 60, 400, 1500}).Draw(t, "pass")) * ms
			var events []cresspass.Event
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				events = append(events, c.drawEvents()...)
			}
			c.step(events)
			for _, q := range c.queries {
				q.endedThisBatch = 0
			}
		}
		for range 200 { // let all timers fire
			c.now += 20 * ms
			c.step(nil)
		}
		c.checkEnd()
	})
}

// step has the core take events, and checks its outputs.
func (c *contractChecker) step(events []cresspass.Event) {
	for _, o := range c.core.Step(c.now, events) {
		q := c.queries[o.Query]
		switch o.Type {
		case StartAttempt:
			c.checkStart(o, q)
		case StopAttempt:
			// One whose outcome came later in the same batch may still be named.
			_, running := q.running[o.Attempt]
			if !running && q.endedThisBatch != o.Attempt+1 || q.stopped[o.Attempt] {
				c.Fatalf("query %d: stop of attempt %d, which does not run or was stopped", o.Query,
					o.Attempt)
			}
			q.stopped[o.Attempt] = true
		case RejectQuery, FailQuery:
			if q.ends++; q.ends > 1 || q.clientGone {
				c.Fatalf("query %d: a second end, or one for a client that is gone: %+v", o.Query, q)
			}
			mayHaveRun := q.mayHaveRun || len(q.running) > 0
			if o.Type == RejectQuery && q.class == notIdempotentClass && mayHaveRun {
				c.Fatalf("query %d, not idempotent, rejected though it may have run", o.Query)
			}
		}
	}
}

func (c *contractChecker) checkStart(o Output, q *observedQuery) {
	if q.ends > 0 || q.clientGone || o.Attempt != q.nextAttempt {
		c.Fatalf("query %d (%+v): started attempt %d", o.Query, q, o.Attempt)
	}
	if q.class == notIdempotentClass && q.mayHaveRun {
		c.Fatalf("query %d, not idempotent: retried though it may have run", o.Query)
	}
	// What is sent within StartWithin comes before the deadline, and inside the deduplication window of what
	// may have run before.
	if o.StartWithin <= 0 || c.now+o.StartWithin > q.deadline {
		c.Fatalf("query %d, deadline %v: to start within %v from %v", o.Query, q.deadline, o.StartWithin,
			c.now)
	}
	if q.class == keyedClass && q.mayHaveRun && c.now+o.StartWithin >= q.firstRunAt+keyedWindow {
		c.Fatalf("query %d, with a key, first ran at %v: retried within %v from %v", o.Query, q.firstRunAt,
			o.StartWithin, c.now)
	}
	q.nextAttempt++
	q.running[o.Attempt], q.startedAt[o.Attempt] = o.Engine, c.now
}

// drawEvents draws what happens next: four times in ten an arrival, once a client that goes, once events
// of what is unknown, and else an outcome.
func (c *contractChecker) drawEvents() []cresspass.Event {
	kind := rapid.IntRange(0, 9).Draw(c.T, "kind")
	if kind < 4 || len(c.ids) == 0 {
		return []cresspass.Event{c.drawArrival()}
	}
	id := rapid.SampledFrom(c.ids).Draw(c.T, "query")
	q := c.queries[id]
	switch {
	case kind == 4 && q.ends == 0 && !q.clientGone:
		q.clientGone = true
		event := cresspass.Event{Type: cresspass.QueryAbandoned, Query: id}
		if rapid.Bool().Draw(c.T, "cancel") {
			event.Outcome = cresspass.OutcomeCancelled
		}
		return []cresspass.Event{event}
	case kind == 5: // events of an unknown attempt and an unknown query
		return []cresspass.Event{
			{Type: cresspass.AttemptDone, Query: id, Attempt: 9, Engine: "e0"},
			{Type: cresspass.ProgressReported, Query: id + 1000, Note: cresspass.NoteFractionDone, Value: 2},
		}
	case len(q.running) > 0:
		return []cresspass.Event{c.drawOutcome(id, q)}
	}
	return nil
}

func (c *contractChecker) drawArrival() cresspass.Event {
	id := cresspass.QueryID(len(c.ids) + 1)
	classes := []string{idempotentClass, keyedClass, notIdempotentClass}
	class := rapid.SampledFrom(classes).Draw(c.T, "class")
	left := time.Duration(rapid.SampledFrom([]int{3, 100, 1000, 2000}).Draw(c.T, "left")) * ms
	c.ids = append(c.ids, id)
	c.queries[id] = &observedQuery{class: class, deadline: c.now + left,
		running: map[int]cresspass.EngineID{}, stopped: map[int]bool{}, startedAt: map[int]time.Duration{}}
	return cresspass.Event{Type: cresspass.QueryArrived, Query: id, Class: class, Key: "k",
		RemainingDeadline: left}
}

// drawOutcome ends one of a query's running attempts.
func (c *contractChecker) drawOutcome(id cresspass.QueryID, q *observedQuery) cresspass.Event {
	number := 0
	for number = range q.running {
		break
	}
	outcome := rapid.SampledFrom([]cresspass.Outcome{cresspass.OutcomeOK, cresspass.OutcomeOK,
		cresspass.OutcomeFailed, cresspass.OutcomeRejected, cresspass.OutcomeConnectionReset,
		cresspass.OutcomeConnectFailed}).Draw(c.T, "outcome")
	if q.stopped[number] {
		outcome = cresspass.OutcomeCancelled
	}
	event := cresspass.Event{Type: cresspass.AttemptDone, Query: id, Attempt: number,
		Engine: q.running[number], Outcome: outcome, Elapsed: 30 * ms}
	if outcome == cresspass.OutcomeOK && q.ends == 0 && !q.clientGone {
		event.QueryFinished = true
		q.ends++
	}
	if !outcome.NeverRan() && (!q.mayHaveRun || q.startedAt[number] < q.firstRunAt) {
		q.mayHaveRun, q.firstRunAt = true, q.startedAt[number]
	}
	delete(q.running, number)
	q.endedThisBatch = number + 1
	return event
}

// checkEnd checks that all queries have ended and nothing is left of them.
func (c *contractChecker) checkEnd() {
	for id, q := range c.queries {
		if q.ends == 0 && !q.clientGone {
			c.Fatalf("query %d, deadline long past, has no end: %+v", id, q)
		}
		for number, engine := range q.running { // late outcomes of what was never reported
			c.core.Step(c.now, []cresspass.Event{{Type: cresspass.AttemptDone, Query: id, Attempt: number,
				Engine: engine, Outcome: cresspass.OutcomeConnectionReset}})
		}
	}
	if st := c.core.Stats(); st.Open != 0 || st.Running != 0 || st.Overdue != 0 ||
		len(c.core.queries) != 0 || st.Arrived != st.Served+st.Rejected+st.Failed+st.Abandoned {
		c.Fatalf("counts do not add up: %+v, %d queries left", st, len(c.core.queries))
	}
}

// TestOverdueQueryEnds: a query that the decision module lost still ends, as a failure that is counted as a
// defect.
func TestOverdueQueryEnds(t *testing.T) {
	core, err := NewCore(testConfig(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	core.Step(time.Hour, []cresspass.Event{{Type: cresspass.QueryArrived, Query: 1, Class: idempotentClass,
		RemainingDeadline: time.Second}})
	core.decider, err = cresspass.New(testConfig()) // one that knows nothing of it
	if err != nil {
		t.Fatal(err)
	}
	out := core.Step(time.Hour+1100*ms, nil)
	if st := core.Stats(); len(out) == 0 || out[0].Type != FailQuery || st.Overdue != 1 || st.Open != 0 {
		t.Errorf("outputs %+v, counts %+v", out, st)
	}
}
