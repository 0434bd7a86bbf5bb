package invariant

import (
	"log/slog"
	"testing"
	"time"

	"cresspass"
)

var (
	t0         = time.Unix(1000, 0)
	openTarget = Target{Engine: "a", Kind: "k", Zone: "z", Accepting: true}
)

func testRules() Rules {
	return Rules{Classes: []cresspass.Class{
		{Name: "idempotent"},
		{Name: "not idempotent", Effect: cresspass.NotIdempotent},
		{Name: "keyed", Effect: cresspass.IdempotentWithKey, DeduplicationWindow: time.Second},
		{Name: "ordered", OrderedByKey: true},
		{Name: "one zone", AllowedZones: []string{"y"}},
	}}
}

// TestEachInvariant checks that each forbidden action is prevented under the name of its invariant, and that
// it counts as a violation only if it was never allowed.
func TestEachInvariant(t *testing.T) {
	draining := openTarget
	draining.Accepting = false
	for name, c := range map[string]struct {
		class  string
		action func(l *Ledger) Result
		want   Name
		kind   Kind
	}{
		"first attempt": {"not idempotent", func(l *Ledger) Result {
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, "", Allowed},
		"sent after final answer": {"idempotent", func(l *Ledger) Result {
			l.Complete(1, true)
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentAfterEnd, Stale},
		"sent after deadline": {"idempotent", func(l *Ledger) Result {
			return l.BeginAttempt(t0.Add(10*time.Second), 1, 0, openTarget)
		}, SentAfterDeadline, Stale},
		"sent to a draining engine": {"idempotent", func(l *Ledger) Result {
			return l.BeginAttempt(t0, 1, 0, draining)
		}, SentToDraining, Stale},
		"sent to another zone": {"one zone", func(l *Ledger) Result {
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentToIneligible, Violated},
		"second attempt in flight": {"idempotent", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			return l.BeginAttempt(t0, 1, 1, openTarget)
		}, RetriedConcurrently, Violated},
		"not idempotent, never ran": {"not idempotent", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			l.EndAttempt(1, 0, true)
			return l.BeginAttempt(t0, 1, 1, openTarget)
		}, "", Allowed},
		"not idempotent, ran": {"not idempotent", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			l.EndAttempt(1, 0, false)
			return l.BeginAttempt(t0, 1, 1, openTarget)
		}, RetriedNonIdempotent, Violated},
		"deduplication window over": {"keyed", func(l *Ledger) Result {
			l.BeginAttempt(t0, 1, 0, openTarget)
			l.EndAttempt(1, 0, false)
			return l.BeginAttempt(t0.Add(1001*time.Millisecond), 1, 1, openTarget)
		}, RetriedAfterWindow, Stale},
		"ordering key in flight": {"ordered", func(l *Ledger) Result {
			l.Accept(t0, Request{ID: 2, Class: "ordered", OrderingKey: "x", Deadline: t0.Add(time.Minute)})
			l.BeginAttempt(t0, 2, 0, openTarget)
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentOutOfOrder, Violated},
		"answered twice": {"idempotent", func(l *Ledger) Result {
			l.Complete(1, true)
			return l.Complete(1, true)
		}, AnsweredTwice, Violated},
		"not serving": {"idempotent", func(l *Ledger) Result {
			l.SetServing(false)
			return l.BeginAttempt(t0, 1, 0, openTarget)
		}, SentWhileNotServing, Violated},
	} {
		l := NewLedger(testRules())
		l.SetServing(true)
		l.Accept(t0, Request{ID: 1, Class: c.class, OrderingKey: "x", Deadline: t0.Add(5 * time.Second)})
		counter := NewCounter(slog.New(slog.DiscardHandler))
		result := c.action(l)
		allowed := counter.Record(result, "r")
		if result.Name != c.want || result.Kind != c.kind || allowed != (c.kind == Allowed) ||
			len(counter.Violations()) > 0 != (c.kind == Violated) ||
			len(counter.Withheld()) > 0 != (c.kind == Stale) {
			t.Errorf("%s: result %+v, allowed %v", name, result, allowed)
		}
	}
	l := NewLedger(testRules())
	if result := l.Accept(t0, Request{ID: 1}); result.Name != AcceptedWhileNotServing {
		t.Errorf("request accepted before the start: result %+v, want AcceptedWhileNotServing", result)
	}
}
