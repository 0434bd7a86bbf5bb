package invariant

import (
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

var (
	t0   = time.Unix(1000, 0)
	here = Place{Engine: "a", Kind: "k", Zone: "z", Takes: true}
)

func rules() Rules {
	return Rules{Classes: []cresspass.Class{{Name: "safe"}, {Name: "unsafe", Effect: cresspass.Unsafe},
		{Name: "keyed", Effect: cresspass.Keyed, Window: time.Second}, {Name: "turn", InOrder: true},
		{Name: "bound", Zones: []string{"y"}}}}
}

// TestActs: each act that a rule forbids is stopped under its name, and counts as a defect only where it was
// never lawful.
func TestActs(t *testing.T) {
	away := here
	away.Takes = false
	for name, c := range map[string]struct {
		class string
		act   func(l *Ledger) Verdict
		want  Name
		kind  Kind
	}{
		"first": {"unsafe", func(l *Ledger) Verdict { return l.Begin(t0, 1, 0, here) }, "", Allowed},
		"after its answer": {"safe", func(l *Ledger) Verdict {
			l.Answer(1, true)
			return l.Begin(t0, 1, 0, here)
		}, SentAfterEnd, Stale},
		"too late": {"safe", func(l *Ledger) Verdict {
			return l.Begin(t0.Add(10*time.Second), 1, 0, here)
		}, SentTooLate, Stale},
		"drained": {"safe", func(l *Ledger) Verdict { return l.Begin(t0, 1, 0, away) }, SentToDrained, Stale},
		"elsewhere": {"bound", func(l *Ledger) Verdict {
			return l.Begin(t0, 1, 0, here)
		}, SentWrongPlace, Violated},
		"beside": {"safe", func(l *Ledger) Verdict {
			l.Begin(t0, 1, 0, here)
			return l.Begin(t0, 1, 1, here)
		}, RepeatedBeside, Violated},
		"unsafe, never ran": {"unsafe", func(l *Ledger) Verdict {
			l.Begin(t0, 1, 0, here)
			l.Done(1, 0, true)
			return l.Begin(t0, 1, 1, here)
		}, "", Allowed},
		"unsafe, ran": {"unsafe", func(l *Ledger) Verdict {
			l.Begin(t0, 1, 0, here)
			l.Done(1, 0, false)
			return l.Begin(t0, 1, 1, here)
		}, RepeatedUnsafe, Violated},
		"window over": {"keyed", func(l *Ledger) Verdict {
			l.Begin(t0, 1, 0, here)
			l.Done(1, 0, false)
			return l.Begin(t0.Add(1001*time.Millisecond), 1, 1, here)
		}, RepeatedLate, Stale},
		"in turn": {"turn", func(l *Ledger) Verdict {
			l.Take(t0, Request{ID: 2, Class: "turn", Key: "x", Until: t0.Add(time.Minute)})
			l.Begin(t0, 2, 0, here)
			return l.Begin(t0, 1, 0, here)
		}, SentOutOfOrder, Violated},
		"answered": {"safe", func(l *Ledger) Verdict {
			l.Answer(1, true)
			return l.Answer(1, true)
		}, AnsweredTwice, Violated},
		"ended": {"safe", func(l *Ledger) Verdict {
			l.Serve(false)
			return l.Begin(t0, 1, 0, here)
		}, SentOutsideLife, Violated},
	} {
		l := NewLedger(rules())
		l.Serve(true)
		l.Take(t0, Request{ID: 1, Class: c.class, Key: "x", Until: t0.Add(5 * time.Second)})
		counter := NewCounter(slog.New(slog.DiscardHandler))
		v := c.act(l)
		allowed := counter.Count(v, "r")
		if v.Name != c.want || v.Kind != c.kind || allowed != (c.kind == Allowed) ||
			len(counter.Violations()) > 0 != (c.kind == Violated) {
			t.Errorf("%s: %+v, allowed %v", name, v, allowed)
		}
	}
	l := NewLedger(rules())
	if v := l.Take(t0, Request{ID: 1}); v.Name != TakenOutsideLife {
		t.Errorf("before the start: %+v", v)
	}
}

// TestBudgetOverAnySpan: however requests and attempts come, in no span of the look-back do further attempts
// pass what the requests of that span that were served allow, read with edges that differ by the slack.
func TestBudgetOverAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := Budget{On: true, Free: float64(rapid.IntRange(0, 3).Draw(t, "free")),
			Share: rapid.Float64Range(0, 1).Draw(t, "share"), LookBack: 100 * time.Millisecond,
			Slack: 2 * time.Millisecond}
		l := NewLedger(Rules{Classes: rules().Classes, Budget: budget})
		l.Serve(true)
		var taken, further []time.Time
		now := t0
		count := func(times []time.Time, from time.Time) (n float64) {
			for _, at := range times {
				if at.After(from) {
					n++
				}
			}
			return n
		}
		for id := range cresspass.QueryID(100) {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pass")) * time.Millisecond)
			l.Take(now, Request{ID: id, Class: "safe", Until: now.Add(time.Hour)})
			at := now
			for n := range rapid.IntRange(1, 4).Draw(t, "attempts") {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pass")) * time.Millisecond)
				if v := l.Begin(now, id, n, here); !v.OK() {
					break
				}
				l.Done(id, n, false)
				if n == 0 {
					continue
				}
				further = append(further, now)
				for _, edge := range []time.Duration{-budget.Slack + 1, 0, budget.Slack - 1} {
					from := now.Add(-budget.LookBack + edge)
					allowed := budget.Free + budget.Share*count(taken, from)
					if got := count(further, from); got > allowed {
						t.Fatalf("%v further attempts, %v allowed", got, allowed)
					}
				}
			}
			served := rapid.Bool().Draw(t, "served")
			if l.Answer(id, served); served {
				taken = append(taken, at)
			}
		}
		if l.Len() != 0 {
			t.Fatalf("%d requests stay in the books", l.Len())
		}
	})
}

// TestBudgetForgets: what is kept for the budget is bounded by its look-back, also where nothing is ever sent
// again.
func TestBudgetForgets(t *testing.T) {
	rules := rules()
	rules.Budget = Budget{On: true, Share: 0.1, LookBack: time.Second}
	l := NewLedger(rules)
	l.Serve(true)
	for i := range 5000 {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		id := cresspass.QueryID(i + 1)
		l.Take(now, Request{ID: id, Class: "safe", Until: now.Add(time.Second)})
		l.Answer(id, true)
	}
	if n := len(l.served); n > 1000 {
		t.Errorf("%d requests are kept of the last second's 100", n)
	}
}
