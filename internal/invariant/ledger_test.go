package invariant

import (
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

var (
	t0         = time.Unix(1000, 0)
	openTarget = Target{Engine: "a", Kind: "k", Zone: "z", Accepting: true}
)

func testRules() Rules {
	return Rules{Classes: []cresspass.Class{{Name: "safe"}, {Name: "unsafe", Effect: cresspass.NotIdempotent},
		{
			Name:                "keyed",
			Effect:              cresspass.IdempotentWithKey,
			DeduplicationWindow: time.Second,
		}, {Name: "turn", OrderedByKey: true},
		{Name: "bound", AllowedZones: []string{"y"}}}}
}

// TestEachInvariant: each act that a rule forbids is stopped under its name, and counts as a defect only
// where it was never lawful.
func TestEachInvariant(t *testing.T) {
	away := openTarget
	away.Accepting = false
	for name, c := range map[string]struct {
		class string
		act   func(l *Ledger) Result
		want  Name
		kind  Kind
	}{
		"first": {"unsafe", func(l *Ledger) Result { return l.BeginAttempt(t0, 1, 0, openTarget) }, "", Allowed},
		"after its answer": {"safe", func(l *Ledger) Result {
			l.Complete(1, true)
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentAfterEnd, Stale},
		"too late": {"safe", func(l *Ledger) Result {
			return l.BeginAttempt(t0.Add(10*time.Second), 1, 0, openTarget)
		}, SentAfterDeadline, Stale},
		"drained": {"safe", func(l *Ledger) Result { return l.BeginAttempt(t0, 1, 0, away) }, SentToDraining, Stale},
		"elsewhere": {"bound", func(l *Ledger) Result {
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentToIneligible, Violated},
		"beside": {"safe", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			return l.BeginAttempt(t0, 1, 1, openTarget)
		}, RetriedConcurrently, Violated},
		"unsafe, never ran": {"unsafe", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			l.EndAttempt(1, 0, true)
			return l.BeginAttempt(t0, 1, 1, openTarget)
		}, "", Allowed},
		"unsafe, ran": {"unsafe", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			l.EndAttempt(1, 0, false)
			return l.BeginAttempt(t0, 1, 1, openTarget)
		}, RetriedNonIdempotent, Violated},
		"window over": {"keyed", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			l.EndAttempt(1, 0, false)
			return l.BeginAttempt(t0.Add(1001*time.Millisecond), 1, 1, openTarget)
		}, RetriedAfterWindow, Stale},
		"in turn": {"turn", func(l *Ledger) Result {
			l.Accept(t0, Request{ID: 2, Class: "turn", OrderingKey: "x", Deadline: t0.Add(time.Minute)})
			l.BeginAttempt(t0, 2, 0, openTarget)
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentOutOfOrder, Violated},
		"answered": {"safe", func(l *Ledger) Result {
			l.Complete(1, true)
			return l.Complete(1, true)
		}, AnsweredTwice, Violated},
		"ended": {"safe", func(l *Ledger) Result {
			l.SetServing(false)
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentWhileNotServing, Violated},
	} {
		l := NewLedger(testRules())
		l.SetServing(true)
		l.Accept(t0, Request{ID: 1, Class: c.class, OrderingKey: "x", Deadline: t0.Add(5 * time.Second)})
		counter := NewCounter(slog.New(slog.DiscardHandler))
		v := c.act(l)
		allowed := counter.Record(v, "r")
		if v.Name != c.want || v.Kind != c.kind || allowed != (c.kind == Allowed) ||
			len(counter.Violations()) > 0 != (c.kind == Violated) {
			t.Errorf("%s: %+v, allowed %v", name, v, allowed)
		}
	}
	l := NewLedger(testRules())
	if v := l.Accept(t0, Request{ID: 1}); v.Name != AcceptedWhileNotServing {
		t.Errorf("before the start: %+v", v)
	}
}

// TestRetryBudgetOverAnyWindow: however requests and attempts come, in no span of the look-back do further
// attempts pass what the requests of that span that were served allow, read with edges that differ by the
// slack.
func TestRetryBudgetOverAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudget{Enabled: true, Free: float64(rapid.IntRange(0, 3).Draw(t, "free")),
			Ratio: rapid.Float64Range(0, 1).Draw(t, "share"), Window: 100 * time.Millisecond,
			ClockSkew: 2 * time.Millisecond}
		l := NewLedger(Rules{Classes: testRules().Classes, RetryBudget: budget})
		l.SetServing(true)
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
			l.Accept(now, Request{ID: id, Class: "safe", Deadline: now.Add(time.Hour)})
			at := now
			for n := range rapid.IntRange(1, 4).Draw(t, "attempts") {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pass")) * time.Millisecond)
				if v := l.BeginAttempt(now, id, n, openTarget); !v.OK() {
					break
				}
				l.EndAttempt(id, n, false)
				if n == 0 {
					continue
				}
				further = append(further, now)
				for _, edge := range []time.Duration{-budget.ClockSkew + 1, 0, budget.ClockSkew - 1} {
					from := now.Add(-budget.Window + edge)
					allowed := budget.Free + budget.Ratio*count(taken, from)
					if got := count(further, from); got > allowed {
						t.Fatalf("%v further attempts, %v allowed", got, allowed)
					}
				}
			}
			served := rapid.Bool().Draw(t, "served")
			if l.Complete(id, served); served {
				taken = append(taken, at)
			}
		}
		if l.Len() != 0 {
			t.Fatalf("%d requests stay in the books", l.Len())
		}
	})
}

// TestRetryBudgetForgets: what is kept for the budget is bounded by its look-back, also where nothing is
// ever sent again.
func TestRetryBudgetForgets(t *testing.T) {
	rules := testRules()
	rules.RetryBudget = RetryBudget{Enabled: true, Ratio: 0.1, Window: time.Second}
	l := NewLedger(rules)
	l.SetServing(true)
	for i := range 5000 {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		id := cresspass.QueryID(i + 1)
		l.Accept(now, Request{ID: id, Class: "safe", Deadline: now.Add(time.Second)})
		l.Complete(id, true)
	}
	if n := len(l.servedRequests); n > 1000 {
		t.Errorf("%d requests are kept of the last second's 100", n)
	}
}
