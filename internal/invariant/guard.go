package invariant

import (
	"sync"
	"time"

	"cresspass"
)

// Guard is a Ledger and a Counter for any number of goroutines: requests are accepted, sent, retried and
// answered through it alone. An act that it does not allow must not be done. Its lock is taken last: no other
// lock is taken while it is held.
type Guard struct {
	counter *Counter
	trace   func(requestID string) string // the events of a request, for the log; may be nil

	mu     sync.Mutex
	ledger *Ledger
}

// NewGuard returns the Guard of a dispatcher that does not serve yet. trace may be nil.
func NewGuard(rules Rules, counter *Counter, trace func(requestID string) string) *Guard {
	return &Guard{counter: counter, trace: trace, ledger: NewLedger(rules)}
}

// Record counts the result of a check on an act for a request, named as in the log, and reports whether the
// act is allowed. The trace of a request of which an invariant was violated goes to the log.
func (g *Guard) Record(result Result, requestID string) bool {
	if result.Kind == Violated && g.trace != nil {
		g.counter.LogTrace(requestID, g.trace(requestID))
	}
	return g.counter.Record(result, requestID)
}

// SetServing tells whether the dispatcher serves: from its start to its end.
func (g *Guard) SetServing(serving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetServing(serving)
}

// Accept enters a request that arrived. If it returns false, the request is to be rejected at once.
func (g *Guard) Accept(request Request, requestID string) bool {
	g.mu.Lock()
	result := g.ledger.Accept(time.Now(), request)
	g.mu.Unlock()
	return g.Record(result, requestID)
}

// Complete enters a request's end; served tells that it has its result. If it returns false, nothing may be
// answered.
func (g *Guard) Complete(id cresspass.QueryID, served bool, requestID string) bool {
	g.mu.Lock()
	result := g.ledger.Complete(id, served)
	g.mu.Unlock()
	return g.Record(result, requestID)
}

// BeginAttempt asks whether an attempt may be sent now, and enters it if so.
func (g *Guard) BeginAttempt(id cresspass.QueryID, attempt int, target Target, requestID string) Result {
	g.mu.Lock()
	result := g.ledger.BeginAttempt(time.Now(), id, attempt, target)
	g.mu.Unlock()
	g.Record(result, requestID)
	return result
}

// EndAttempt enters an attempt's outcome.
func (g *Guard) EndAttempt(id cresspass.QueryID, attempt int, outcome cresspass.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.EndAttempt(id, attempt, outcome.NeverRan())
}
