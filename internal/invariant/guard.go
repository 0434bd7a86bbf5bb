package invariant

import (
	"sync"
	"time"

	"cresspass"
)

// Guard combines a Ledger and a Counter and is safe for concurrent use. Requests are accepted, sent, retried
// and answered only through it; an action that it does not allow must not be carried out. Its lock is the
// last in the lock order: no other lock is taken while it is held.
type Guard struct {
	counter *Counter
	trace   func(requestID string) string // returns the events of a request for the log; may be nil

	mu     sync.Mutex
	ledger *Ledger
}

// NewGuard returns a Guard of a dispatcher that does not serve yet. trace returns the events of a request for
// the log; it may be nil.
func NewGuard(rules Rules, counter *Counter, trace func(requestID string) string) *Guard {
	return &Guard{counter: counter, trace: trace, ledger: NewLedger(rules)}
}

// Record counts the result of a check and reports whether the action is allowed. requestID is the request's
// name in the log. If an invariant was violated, the trace of the request is logged too.
func (g *Guard) Record(result Result, requestID string) bool {
	if result.Kind == Violated && g.trace != nil {
		g.counter.LogTrace(requestID, g.trace(requestID))
	}
	return g.counter.Record(result, requestID)
}

// SetServing records whether the dispatcher serves, which it does from its start to its end.
func (g *Guard) SetServing(serving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetServing(serving)
}

// Accept records a request that arrived. If it returns false, the request must be rejected at once.
func (g *Guard) Accept(request Request, requestID string) bool {
	g.mu.Lock()
	result := g.ledger.Accept(time.Now(), request)
	g.mu.Unlock()
	return g.Record(result, requestID)
}

// Complete records the end of a request; served means that the request is answered with its result. If
// Complete returns false, no answer may be sent.
func (g *Guard) Complete(id cresspass.QueryID, served bool, requestID string) bool {
	g.mu.Lock()
	result := g.ledger.Complete(id, served)
	g.mu.Unlock()
	return g.Record(result, requestID)
}

// BeginAttempt checks whether an attempt may be sent now, and records it if so.
func (g *Guard) BeginAttempt(id cresspass.QueryID, attempt int, target Target, requestID string) Result {
	g.mu.Lock()
	result := g.ledger.BeginAttempt(time.Now(), id, attempt, target)
	g.mu.Unlock()
	g.Record(result, requestID)
	return result
}

// EndAttempt records the outcome of an attempt.
func (g *Guard) EndAttempt(id cresspass.QueryID, attempt int, outcome cresspass.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.EndAttempt(id, attempt, outcome.NeverRan())
}
