package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const ms = time.Millisecond

func config() cresspass.Config {
	return cresspass.Config{Seed: 1, Gateways: 1, Tick: 5 * ms, MayCancel: true, MayComeBack: true,
		MaxAttempts: 3,
		MaxComeBack: time.Second, KindNames: []string{"std"}, KindCores: []float64{4},
		Rules: cresspass.Rules{AnswerGrace: 50 * ms, DrainGrace: time.Second, OrderRest: 200 * ms},
		Classes: []cresspass.Class{
			{Name: "safe", Aim: 500 * ms, Deadline: 2 * time.Second, Worth: 1},
			{Name: "keyed", Aim: 500 * ms, Deadline: 2 * time.Second, Worth: 1, Effect: cresspass.Keyed,
				Window: time.Second, InOrder: true},
			{Name: "unsafe", Aim: 500 * ms, Deadline: 2 * time.Second, Worth: 1, Effect: cresspass.Unsafe},
		}}
}

func engines(n int) cresspass.Event {
	ev := cresspass.Event{Type: cresspass.EngineList, Listing: cresspass.ListFull}
	for i := range n {
		ev.Engines = append(ev.Engines, cresspass.EngineInfo{ID: cresspass.EngineID(fmt.Sprint("e", i)),
			Kind: "std"})
	}
	return ev
}

// What a shell may see of a query, whatever comes in whatever order.
type seen struct {
	class    string
	deadline time.Duration
	ends     int // Refuse, Fail, or an attempt that finished it
	gone     bool
	next     int
	out      map[int]cresspass.EngineID // started, no outcome reported
	stopped  map[int]bool
	doubt    bool
	begun    map[int]time.Duration // when each attempt was started
	ranAt    time.Duration         // the first of those that may have run was
	last     int                   // attempt whose outcome came in this batch, plus 1
}

// The contract of Core under any events: attempts are numbered in turn, one end for each query, nothing
// started after it, an end by the deadline, stops only of what runs and once, no unsafe attempt after a
// doubtful one.
func TestCoreContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		core, err := NewCore(config(), now)
		if err != nil {
			t.Fatal(err)
		}
		all := map[cresspass.QueryID]*seen{}
		var ids []cresspass.QueryID
		apply := func(out []Output) {
			for _, o := range out {
				q := all[o.Query]
				switch o.Type {
				case Start:
					if q.ends > 0 || q.gone || o.Attempt != q.next {
						t.Fatalf("query %d (%+v): started attempt %d", o.Query, q, o.Attempt)
					}
					if q.class == "unsafe" && q.doubt {
						t.Fatalf("unsafe query %d: started again after a doubt", o.Query)
					}
					// What is written within Within comes inside the client's time, and inside the window of
					// what may have run before.
					if o.Within <= 0 || now+o.Within > q.deadline {
						t.Fatalf("query %d, deadline %v: to begin within %v from %v", o.Query, q.deadline,
							o.Within, now)
					}
					if q.class == "keyed" && q.doubt && now+o.Within >= q.ranAt+time.Second {
						t.Fatalf("keyed query %d, first ran at %v: again within %v from %v", o.Query, q.ranAt,
							o.Within, now)
					}
					q.next++
					q.out[o.Attempt], q.begun[o.Attempt] = o.Engine, now
				case Stop:
					// One whose outcome came later in the same batch may still be named.
					if _, ok := q.out[o.Attempt]; !ok && q.last != o.Attempt+1 || q.stopped[o.Attempt] {
						t.Fatalf("query %d: stop of attempt %d, which does not run or was stopped", o.Query,
							o.Attempt)
					}
					q.stopped[o.Attempt] = true
				case Refuse, Fail:
					if q.ends++; q.ends > 1 || q.gone {
						t.Fatalf("query %d: a second end, or one for a client that is gone: %+v", o.Query, q)
					}
					if o.Type == Refuse && q.class == "unsafe" && (q.doubt || len(q.out) > 0) {
						t.Fatalf("unsafe query %d refused though it may have run", o.Query)
					}
				}
			}
		}
		apply(core.Step(now, []cresspass.Event{engines(3)}))
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
					all[id] = &seen{class: class, deadline: now + left, out: map[int]cresspass.EngineID{},
						stopped: map[int]bool{}, begun: map[int]time.Duration{}}
					events = append(events, cresspass.Event{Type: cresspass.QueryTaken, Query: id,
						Class: class, Key: "k", TimeLeft: left})
					continue
				}
				id := rapid.SampledFrom(ids).Draw(t, "query")
				q := all[id]
				switch {
				case kind == 4 && q.ends == 0 && !q.gone:
					q.gone = true
					ev := cresspass.Event{Type: cresspass.ClientGone, Query: id}
					if rapid.Bool().Draw(t, "cancel") {
						ev.Outcome = cresspass.Cancelled
					}
					events = append(events, ev)
				case kind == 5: // what nobody asked for
					events = append(events, cresspass.Event{Type: cresspass.AttemptDone, Query: id,
						Attempt: 9, Engine: "e0"},
						cresspass.Event{Type: cresspass.Progress, Query: id + 1000,
							Note: cresspass.NoteShareDone, Value: 2})
				case len(q.out) > 0:
					n := 0
					for n = range q.out {
						break
					}
					o := rapid.SampledFrom([]cresspass.Outcome{cresspass.OK, cresspass.OK, cresspass.Failed,
						cresspass.Full,
						cresspass.Reset, cresspass.ConnectFailed}).Draw(t, "outcome")
					if q.stopped[n] {
						o = cresspass.Cancelled
					}
					ev := cresspass.Event{Type: cresspass.AttemptDone, Query: id, Attempt: n,
						Engine: q.out[n], Outcome: o, Took: 30 * ms}
					if o == cresspass.OK && q.ends == 0 && !q.gone {
						ev.Finished = true
						q.ends++
					}
					if !o.NeverRan() && (!q.doubt || q.begun[n] < q.ranAt) {
						q.doubt, q.ranAt = true, q.begun[n]
					}
					delete(q.out, n)
					q.last = n + 1
					events = append(events, ev)
				}
			}
			apply(core.Step(now, events))
			for _, q := range all {
				q.last = 0
			}
		}
		for range 200 { // let all timers fire
			now += 20 * ms
			apply(core.Step(now, nil))
		}
		for id, q := range all {
			if q.ends == 0 && !q.gone {
				t.Fatalf("query %d, deadline long past, has no end: %+v", id, q)
			}
			for n, e := range q.out { // late outcomes of what was never reported
				core.Step(now, []cresspass.Event{{Type: cresspass.AttemptDone, Query: id, Attempt: n,
					Engine: e, Outcome: cresspass.Reset}})
			}
		}
		if st := core.Stats(); st.Open != 0 || st.Running != 0 || st.Overdue != 0 || len(core.queries) != 0 ||
			st.Taken != st.Served+st.Refused+st.Failed+st.Gone {
			t.Fatalf("books do not close: %+v, %d queries kept", st, len(core.queries))
		}
	})
}

// A query of which the module lost sight still ends, as a failure that is counted as a defect.
func TestOverdueQueryEnds(t *testing.T) {
	core, err := NewCore(config(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	core.Step(time.Hour, []cresspass.Event{{Type: cresspass.QueryTaken, Query: 1, Class: "safe",
		TimeLeft: time.Second}})
	core.gateway, err = cresspass.New(config()) // a module that knows nothing of it
	if err != nil {
		t.Fatal(err)
	}
	out := core.Step(time.Hour+1100*ms, nil)
	if st := core.Stats(); len(out) == 0 || out[0].Type != Fail || st.Overdue != 1 || st.Open != 0 {
		t.Errorf("outputs %+v, books %+v", out, st)
	}
}

// TestPace: a loop steps once a tick while steps are short, takes a third of the core while they are long,
// and is never away for long.
func TestPace(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{0: ms, ms / 10: ms, 2 * ms: 6 * ms,
		time.Second: stepMost} {
		if got := pace(ms, took); got != want {
			t.Errorf("a step of %v: %v, want %v", took, got, want)
		}
	}
}

// TestPacedLoopStepsOnceATick: however many events come one by one, a paced loop takes them in few steps.
func TestPacedLoopStepsOnceATick(t *testing.T) {
	steps := &counter{}
	core := NewCoreWith(steps, config(), 0)
	l := NewLoop(core, Monotonic(), func(*Output) {})
	l.Paced(5 * time.Millisecond)
	go l.Run()
	begun := time.Now()
	for range 200 {
		l.Post(cresspass.Event{Type: cresspass.TimerDue, Label: 9})
		time.Sleep(100 * time.Microsecond)
	}
	l.Ask(func(*Core) {})
	most := int64(time.Since(begun)/(5*time.Millisecond)) + 3
	l.Close()
	if steps.events != 200 || steps.steps > most {
		t.Errorf("%d events in %d steps, at most %d", steps.events, steps.steps, most)
	}
}

// counter is a decider that only counts.
type counter struct{ steps, events int64 }

func (c *counter) Handle(_ time.Duration, events []cresspass.Event, a []cresspass.Action) []cresspass.Action {
	c.steps++
	c.events += int64(len(events))
	return a
}
func (c *counter) Snapshot() []byte                    { return nil }
func (c *counter) Restore([]byte, time.Duration) error { return nil }
