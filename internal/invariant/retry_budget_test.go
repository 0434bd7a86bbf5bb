package invariant

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

// TestRetryBudgetOverAnyWindow checks that for random requests and attempts, no window has more retries than
// the requests served in it allow, even by a clock that differs by less than ClockSkew.
func TestRetryBudgetOverAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudget{Enabled: true, Free: float64(rapid.IntRange(0, 3).Draw(t, "free")),
			Ratio: rapid.Float64Range(0, 1).Draw(t, "share"), Window: 100 * time.Millisecond,
			ClockSkew: 2 * time.Millisecond}
		l := NewLedger(Rules{Classes: testRules().Classes, RetryBudget: budget})
		l.SetServing(true)
		var accepted, retries []time.Time
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
			l.Accept(now, Request{ID: id, Class: "idempotent", Deadline: now.Add(time.Hour)})
			acceptedAt := now
			for n := range rapid.IntRange(1, 4).Draw(t, "attempts") {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pass")) * time.Millisecond)
				if result := l.BeginAttempt(now, id, n, openTarget); !result.OK() {
					break
				}
				l.EndAttempt(id, n, false)
				if n == 0 {
					continue
				}
				retries = append(retries, now)
				for _, edge := range []time.Duration{-budget.ClockSkew + 1, 0, budget.ClockSkew - 1} {
					from := now.Add(-budget.Window + edge)
					allowed := budget.Free + budget.Ratio*count(accepted, from)
					if got := count(retries, from); got > allowed {
						t.Fatalf("%v retries in a window, at most %v are allowed", got, allowed)
					}
				}
			}
			served := rapid.Bool().Draw(t, "served")
			if l.Complete(id, served); served {
				accepted = append(accepted, acceptedAt)
			}
		}
		if l.Len() != 0 {
			t.Fatalf("%d requests are still recorded, want none", l.Len())
		}
	})
}

// TestRetryBudgetForgets checks that the number of served requests kept for the budget is limited by its
// window, even if nothing is ever retried.
func TestRetryBudgetForgets(t *testing.T) {
	rules := testRules()
	rules.RetryBudget = RetryBudget{Enabled: true, Ratio: 0.1, Window: time.Second}
	l := NewLedger(rules)
	l.SetServing(true)
	for i := range 5000 {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		id := cresspass.QueryID(i + 1)
		l.Accept(now, Request{ID: id, Class: "idempotent", Deadline: now.Add(time.Second)})
		l.Complete(id, true)
	}
	if n := len(l.retryUsage.served); n > 1000 {
		t.Errorf("%d served requests are kept, but only 100 are in the window", n)
	}
}
