package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const ms = time.Millisecond

// Classes of testConfig, and the deduplication window of keyedClass.
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

// observedQuery is the state of a query as a shell sees it, independent of the order of events.
type observedQuery struct {
	class          string
	deadline       time.Duration
	ends           int // rejections, failures, and attempts that finished the query
	clientGone     bool
	nextAttempt    int
	running        map[int]cresspass.EngineID // attempts that were started and have no reported outcome
	stopped        map[int]bool
	mayHaveRun     bool
	startedAt      map[int]time.Duration // start times of attempts
	firstRunAt     time.Duration         // start time of the first attempt that may have run
	endedThisBatch int                   // 1 + number of the attempt with an outcome in this batch; 0: none
}

// contractChecker drives a Core with random events and checks each output against the contract of Core.
type contractChecker struct {
	*rapid.T
	core    *Core
	now     time.Duration
	queries map[cresspass.QueryID]*observedQuery
	ids     []cresspass.QueryID
}

// TestCoreContract checks the contract of Core under random events. Attempts are numbered consecutively. Each
// query ends once, by its deadline, and no attempt of it starts afterwards. An attempt is stopped only while
// it runs, and at most once. A query that is not idempotent is not retried once it may have run.
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
		for range 200 { // until all timers have fired
			c.now += 20 * ms
			c.step(nil)
		}
		c.checkEnd()
	})
}

// step lets the core handle events and checks its outputs.
func (c *contractChecker) step(events []cresspass.Event) {
	for _, o := range c.core.Step(c.now, events) {
		q := c.queries[o.Query]
		switch o.Type {
		case StartAttempt:
			c.checkStart(o, q)
		case StopAttempt:
			// The stop may name an attempt whose outcome comes later in the same batch.
			_, running := q.running[o.Attempt]
			if !running && q.endedThisBatch != o.Attempt+1 || q.stopped[o.Attempt] {
				c.Fatalf("query %d: stopped attempt %d, which is not running or already stopped", o.Query,
					o.Attempt)
			}
			q.stopped[o.Attempt] = true
		case RejectQuery, FailQuery:
			if q.ends++; q.ends > 1 || q.clientGone {
				c.Fatalf("query %d: ended a second time, or after its client was gone: %+v", o.Query, q)
			}
			mayHaveRun := q.mayHaveRun || len(q.running) > 0
			if o.Type == RejectQuery && q.class == notIdempotentClass && mayHaveRun {
				c.Fatalf("query %d, not idempotent: rejected though it may have run", o.Query)
			}
		}
	}
}

// checkStart checks that an attempt may start now, and records it.
func (c *contractChecker) checkStart(o Output, q *observedQuery) {
	if q.ends > 0 || q.clientGone || o.Attempt != q.nextAttempt {
		c.Fatalf("query %d (%+v): started attempt %d after its end or out of sequence", o.Query, q, o.Attempt)
	}
	if q.class == notIdempotentClass && q.mayHaveRun {
		c.Fatalf("query %d, not idempotent: retried though it may have run", o.Query)
	}
	// An attempt that is sent within StartWithin is sent before the query's deadline, and within the
	// deduplication window of earlier attempts that may have run.
	if o.StartWithin <= 0 || c.now+o.StartWithin > q.deadline {
		c.Fatalf("query %d, deadline %v: attempt may start within %v from %v", o.Query, q.deadline,
			o.StartWithin, c.now)
	}
	if q.class == keyedClass && q.mayHaveRun && c.now+o.StartWithin >= q.firstRunAt+keyedWindow {
		c.Fatalf("query %d, keyed, first ran at %v: retry may start within %v from %v", o.Query, q.firstRunAt,
			o.StartWithin, c.now)
	}
	q.nextAttempt++
	q.running[o.Attempt], q.startedAt[o.Attempt] = o.Engine, c.now
}

// drawEvents draws the next events. Of ten draws four are an arrival, one is a client that leaves, one is
// events of an unknown attempt and an unknown query, and the others are the outcome of an attempt.
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

// drawArrival draws the class and the deadline of a new query.
func (c *contractChecker) drawArrival() cresspass.Event {
	id := cresspass.QueryID(len(c.ids) + 1)
	classes := []string{idempotentClass, keyedClass, notIdempotentClass}
	class := rapid.SampledFrom(classes).Draw(c.T, "class")
	remaining := time.Duration(rapid.SampledFrom([]int{3, 100, 1000, 2000}).Draw(c.T, "left")) * ms
	c.ids = append(c.ids, id)
	c.queries[id] = &observedQuery{class: class, deadline: c.now + remaining,
		running: map[int]cresspass.EngineID{}, stopped: map[int]bool{}, startedAt: map[int]time.Duration{}}
	return cresspass.Event{Type: cresspass.QueryArrived, Query: id, Class: class, Key: "k",
		RemainingDeadline: remaining}
}

// drawOutcome draws the outcome of one of a query's running attempts.
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

// checkEnd checks that all queries have ended and that the core has no state of them left.
func (c *contractChecker) checkEnd() {
	for id, q := range c.queries {
		if q.ends == 0 && !q.clientGone {
			c.Fatalf("query %d has not ended though its deadline is long past: %+v", id, q)
		}
		for number, engine := range q.running { // late outcomes of attempts without a reported outcome
			c.core.Step(c.now, []cresspass.Event{{Type: cresspass.AttemptDone, Query: id, Attempt: number,
				Engine: engine, Outcome: cresspass.OutcomeConnectionReset}})
		}
	}
	if st := c.core.Stats(); st.Open != 0 || st.Running != 0 || st.Overdue != 0 ||
		len(c.core.queries) != 0 || st.Arrived != st.Served+st.Rejected+st.Failed+st.Abandoned {
		c.Fatalf("counts do not add up: %+v, %d queries left", st, len(c.core.queries))
	}
}

// TestOverdueQueryEnds checks that a query that the decision module has lost still ends: it fails and is
// counted as overdue.
func TestOverdueQueryEnds(t *testing.T) {
	core, err := NewCore(testConfig(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	core.Step(time.Hour, []cresspass.Event{{Type: cresspass.QueryArrived, Query: 1, Class: idempotentClass,
		RemainingDeadline: time.Second}})
	core.decider, err = cresspass.New(testConfig()) // does not know the query
	if err != nil {
		t.Fatal(err)
	}
	out := core.Step(time.Hour+1100*ms, nil)
	if st := core.Stats(); len(out) == 0 || out[0].Type != FailQuery || st.Overdue != 1 || st.Open != 0 {
		t.Errorf("outputs %+v, counts %+v", out, st)
	}
}

// TestTimersOfCancelledQueriesEnd guards against memory that grows with queries that were cancelled long
// before their deadline: their timers were kept until then.
func TestTimersOfCancelledQueriesEnd(t *testing.T) {
	const queries = 1000
	core, err := NewCore(testConfig(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	core.Step(now, []cresspass.Event{engineList(1)})
	before := core.Stats().Timers
	for id := cresspass.QueryID(1); id <= queries; id++ {
		core.Step(now, []cresspass.Event{
			{Type: cresspass.QueryArrived, Query: id, Class: idempotentClass, RemainingDeadline: time.Hour},
			{Type: cresspass.QueryAbandoned, Query: id, Outcome: cresspass.OutcomeCancelled}})
	}
	for range 2 * maxTimerDelay / (20 * ms) {
		now += 20 * ms
		core.Step(now, nil)
	}
	if left := core.Stats().Timers; left > before+1 {
		t.Errorf("%d timers are left of %d cancelled queries, %d were there before", left, queries, before)
	}
}

// TestLongTimerFiresOnce checks that a query whose deadline is far away is ended then, neither earlier nor
// twice.
func TestLongTimerFiresOnce(t *testing.T) {
	const deadline = 5*maxTimerDelay + 300*ms
	core, err := NewCore(testConfig(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	var ends []time.Duration
	events := []cresspass.Event{engineList(1), {Type: cresspass.QueryArrived, Query: 1,
		Class: idempotentClass, RemainingDeadline: deadline}}
	for passed := time.Duration(0); passed < 2*deadline; passed += 10 * ms {
		for _, output := range core.Step(time.Hour+passed, events) {
			if output.Type == RejectQuery || output.Type == FailQuery {
				ends = append(ends, passed)
			}
		}
		events = nil
	}
	if len(ends) != 1 || ends[0] < deadline-200*ms || ends[0] > deadline+testConfig().Rules.AnswerGrace {
		t.Errorf("a query with a deadline of %v ended after %v", deadline, ends)
	}
}
