package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const ms = time.Millisecond

func testConfig() cresspass.Config {
	return cresspass.Config{
		Seed:              1,
		GatewayCount:      1,
		BatchInterval:     5 * ms,
		MayCancel:         true,
		MaySendRetryAfter: true,
		MaxAttempts:       3,
		MaxRetryAfter:     time.Second,
		KindNames:         []string{"std"},
		KindCores:         []float64{4},
		Rules: cresspass.Rules{
			AnswerGrace:      50 * ms,
			DrainGrace:       time.Second,
			OrderSettleDelay: 200 * ms,
		},
		Classes: []cresspass.Class{
			{Name: "safe", LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
			{
				Name:                "keyed",
				LatencyObjective:    500 * ms,
				Deadline:            2 * time.Second,
				PriorityWeight:      1,
				Effect:              cresspass.IdempotentWithKey,
				DeduplicationWindow: time.Second,
				OrderedByKey:        true,
			},
			{
				Name:             "unsafe",
				LatencyObjective: 500 * ms,
				Deadline:         2 * time.Second,
				PriorityWeight:   1,
				Effect:           cresspass.NotIdempotent,
			},
		},
	}
}

func engineList(n int) cresspass.Event {
	ev := cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListComplete}
	for i := range n {
		ev.Engines = append(ev.Engines, cresspass.EngineInfo{ID: cresspass.EngineID(fmt.Sprint("e", i)),
			Kind: "std"})
	}
	return ev
}

// What a shell may see of a query, whatever comes in whatever order.
type observedQuery struct {
	class          string
	deadline       time.Duration
	ends           int // Refuse, Fail, or an attempt that finished it
	clientGone     bool
	nextAttempt    int
	running        map[int]cresspass.EngineID // started, no outcome reported
	stopped        map[int]bool
	mayHaveRun     bool
	startedAt      map[int]time.Duration // when each attempt was started
	firstRunAt     time.Duration         // the first of those that may have run was
	endedThisBatch int                   // attempt whose outcome came in this batch, plus 1
}

// The contract of Core under any events: attempts are numbered in turn, one end for each query, nothing
// started after it, an end by the deadline, stops only of what runs and once, no unsafe attempt after a
// doubtful one.
func TestCoreContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		core, err := NewCore(testConfig(), now)
		if err != nil {
			t.Fatal(err)
		}
		all := map[cresspass.QueryID]*observedQuery{}
		var ids []cresspass.QueryID
		apply := func(out []Output) {
			for _, o := range out {
				q := all[o.Query]
				switch o.Type {
				case StartAttempt:
					if q.ends > 0 || q.clientGone || o.Attempt != q.nextAttempt {
						t.Fatalf("query %d (%+v): started attempt %d", o.Query, q, o.Attempt)
					}
					if q.class == "unsafe" && q.mayHaveRun {
						t.Fatalf("unsafe query %d: started again after a doubt", o.Query)
					}
					// What is written within Within comes inside the client's time, and inside the window of
					// what may have run before.
					if o.StartWithin <= 0 || now+o.StartWithin > q.deadline {
						t.Fatalf("query %d, deadline %v: to begin within %v from %v", o.Query, q.deadline,
							o.StartWithin, now)
					}
					if q.class == "keyed" && q.mayHaveRun && now+o.StartWithin >= q.firstRunAt+time.Second {
						t.Fatalf(
							"keyed query %d, first ran at %v: again within %v from %v",
							o.Query,
							q.firstRunAt,
							o.StartWithin,
							now,
						)
					}
					q.nextAttempt++
					q.running[o.Attempt], q.startedAt[o.Attempt] = o.Engine, now
				case StopAttempt:
					// One whose outcome came later in the same batch may still be named.
					if _, ok := q.running[o.Attempt]; !ok && q.endedThisBatch != o.Attempt+1 ||
						q.stopped[o.Attempt] {
						t.Fatalf("query %d: stop of attempt %d, which does not run or was stopped", o.Query,
							o.Attempt)
					}
					q.stopped[o.Attempt] = true
				case RejectQuery, FailQuery:
					if q.ends++; q.ends > 1 || q.clientGone {
						t.Fatalf("query %d: a second end, or one for a client that is gone: %+v", o.Query, q)
					}
					if o.Type == RejectQuery && q.class == "unsafe" && (q.mayHaveRun || len(q.running) > 0) {
						t.Fatalf("unsafe query %d refused though it may have run", o.Query)
					}
				}
			}
		}
		apply(core.Step(now, []cresspass.Event{engineList(3)}))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 7, 60, 400, 1500}).Draw(t, "pass")) * ms
			var events []cresspass.Event
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				kind := rapid.IntRange(0, 9).Draw(t, "kind")
				if kind < 4 || len(ids) == 0 {
					id := cresspass.QueryID(len(ids) + 1)
					class := rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(t, "class")
					left := time.Duration(rapid.SampledFrom([]int{3, 100, 1000, 2000}).Draw(t, "left")) * ms
					ids = append(ids, id)
					all[id] = &observedQuery{
						class:     class,
						deadline:  now + left,
						running:   map[int]cresspass.EngineID{},
						stopped:   map[int]bool{},
						startedAt: map[int]time.Duration{},
					}
					events = append(events, cresspass.Event{Type: cresspass.QueryArrived, Query: id,
						Class: class, Key: "k", RemainingDeadline: left})
					continue
				}
				id := rapid.SampledFrom(ids).Draw(t, "query")
				q := all[id]
				switch {
				case kind == 4 && q.ends == 0 && !q.clientGone:
					q.clientGone = true
					ev := cresspass.Event{Type: cresspass.QueryAbandoned, Query: id}
					if rapid.Bool().Draw(t, "cancel") {
						ev.Outcome = cresspass.OutcomeCancelled
					}
					events = append(events, ev)
				case kind == 5: // what nobody asked for
					events = append(events, cresspass.Event{Type: cresspass.AttemptDone, Query: id,
						Attempt: 9, Engine: "e0"},
						cresspass.Event{Type: cresspass.ProgressReported, Query: id + 1000,
							Note: cresspass.NoteFractionDone, Value: 2})
				case len(q.running) > 0:
					n := 0
					for n = range q.running {
						break
					}
					o := rapid.SampledFrom([]cresspass.Outcome{cresspass.OutcomeOK, cresspass.OutcomeOK, cresspass.OutcomeFailed,
						cresspass.OutcomeRejected,
						cresspass.OutcomeConnectionReset, cresspass.OutcomeConnectFailed}).
						Draw(t, "outcome")
					if q.stopped[n] {
						o = cresspass.OutcomeCancelled
					}
					ev := cresspass.Event{Type: cresspass.AttemptDone, Query: id, Attempt: n,
						Engine: q.running[n], Outcome: o, Elapsed: 30 * ms}
					if o == cresspass.OutcomeOK && q.ends == 0 && !q.clientGone {
						ev.QueryFinished = true
						q.ends++
					}
					if !o.NeverRan() && (!q.mayHaveRun || q.startedAt[n] < q.firstRunAt) {
						q.mayHaveRun, q.firstRunAt = true, q.startedAt[n]
					}
					delete(q.running, n)
					q.endedThisBatch = n + 1
					events = append(events, ev)
				}
			}
			apply(core.Step(now, events))
			for _, q := range all {
				q.endedThisBatch = 0
			}
		}
		for range 200 { // let all timers fire
			now += 20 * ms
			apply(core.Step(now, nil))
		}
		for id, q := range all {
			if q.ends == 0 && !q.clientGone {
				t.Fatalf("query %d, deadline long past, has no end: %+v", id, q)
			}
			for n, e := range q.running { // late outcomes of what was never reported
				core.Step(now, []cresspass.Event{{Type: cresspass.AttemptDone, Query: id, Attempt: n,
					Engine: e, Outcome: cresspass.OutcomeConnectionReset}})
			}
		}
		if st := core.Stats(); st.Open != 0 || st.Running != 0 || st.Overdue != 0 || len(core.queries) != 0 ||
			st.Arrived != st.Served+st.Rejected+st.Failed+st.Abandoned {
			t.Fatalf("books do not close: %+v, %d queries kept", st, len(core.queries))
		}
	})
}

// A query of which the module lost sight still ends, as a failure that is counted as a defect.
func TestOverdueQueryEnds(t *testing.T) {
	core, err := NewCore(testConfig(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	core.Step(time.Hour, []cresspass.Event{{Type: cresspass.QueryArrived, Query: 1, Class: "safe",
		RemainingDeadline: time.Second}})
	core.decider, err = cresspass.New(testConfig()) // a module that knows nothing of it
	if err != nil {
		t.Fatal(err)
	}
	out := core.Step(time.Hour+1100*ms, nil)
	if st := core.Stats(); len(out) == 0 || out[0].Type != FailQuery || st.Overdue != 1 || st.Open != 0 {
		t.Errorf("outputs %+v, books %+v", out, st)
	}
}

// TestStepInterval: a loop steps once a tick while steps are short, takes a third of the core while they are
// long, and is never away for long.
func TestStepInterval(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{0: ms, ms / 10: ms, 2 * ms: 6 * ms,
		time.Second: maxStepInterval} {
		if got := stepInterval(ms, took); got != want {
			t.Errorf("a step of %v: %v, want %v", took, got, want)
		}
	}
}

// TestLoopStepsOncePerInterval: however many events come one by one, a paced loop takes them in few steps.
func TestLoopStepsOncePerInterval(t *testing.T) {
	steps := &countingDecider{}
	core := NewCoreWithDecider(steps, testConfig(), 0)
	l := NewLoop(core, NewMonotonicClock(), func(*Output) {})
	l.SetMinStepInterval(5 * time.Millisecond)
	go l.Run()
	begun := time.Now()
	for range 200 {
		l.Post(cresspass.Event{Type: cresspass.TimerFired, Label: 9})
		time.Sleep(100 * time.Microsecond)
	}
	l.Inspect(func(*Core) {})
	most := int64(time.Since(begun)/(5*time.Millisecond)) + 3
	l.Close()
	if steps.events != 200 || steps.steps > most {
		t.Errorf("%d events in %d steps, at most %d", steps.events, steps.steps, most)
	}
}

// countingDecider is a decider that only counts.
type countingDecider struct{ steps, events int64 }

func (c *countingDecider) Handle(
	_ time.Duration,
	events []cresspass.Event,
	a []cresspass.Action,
) []cresspass.Action {
	c.steps++
	c.events += int64(len(events))
	return a
}
func (c *countingDecider) Snapshot() []byte                    { return nil }
func (c *countingDecider) Restore([]byte, time.Duration) error { return nil }
