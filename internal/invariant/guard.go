package invariant

import (
	"sync"
	"time"

	"cresspass"
)

// Guard is the one way to take, send, repeat and answer: a Ledger and a Counter for any number of goroutines.
// Its lock is taken last of all. An act that it does not allow must not be done.
type Guard struct {
	counter *Counter
	trace   func(request string) string // what is known of a request, for a violation; nil: nothing

	mu     sync.Mutex
	ledger *Ledger
}

// NewGuard returns the Guard of a dispatcher that does not serve yet. story may be nil.
func NewGuard(rules Rules, counter *Counter, trace func(request string) string) *Guard {
	return &Guard{counter: counter, trace: trace, ledger: NewLedger(rules)}
}

// clockSkewTicks is how far the platform's clocks may be from ours, in ticks of the module, where it counts
// further attempts.
const clockSkewTicks = 4

// RulesFromConfig are the rules in a module's settings.
func RulesFromConfig(cfg *cresspass.Config) Rules {
	moduleRules := &cfg.Rules
	return Rules{
		Classes:  cfg.Classes,
		MayHedge: cfg.MayHedge,
		RetryBudget: RetryBudget{Enabled: moduleRules.HasRetryBudget,
			Free: moduleRules.RetryBudgetFree, Ratio: moduleRules.RetryBudgetRatio, Window: moduleRules.RetryBudgetWindow,
			ClockSkew: clockSkewTicks * max(cfg.BatchInterval, time.Millisecond)},
	}
}

// Record counts a verdict on an act for a request, by the name that it has in the log, and reports whether
// the act may be done. The story of one that was never lawful goes to the log.
func (g *Guard) Record(v Result, request string) bool {
	if v.Kind == Violated && g.trace != nil {
		g.counter.LogTrace(request, g.trace(request))
	}
	return g.counter.Record(v, request)
}

// SetServing opens the books, or closes them at the dispatcher's end.
func (g *Guard) SetServing(serving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetServing(serving)
}

// Accept enters a request that came. Where it returns false, the request is to be refused at once.
func (g *Guard) Accept(r Request, name string) bool {
	g.mu.Lock()
	v := g.ledger.Accept(time.Now(), r)
	g.mu.Unlock()
	return g.Record(v, name)
}

// Complete enters a request's one end. Where it returns false, nothing may be answered. served: with its
// result.
func (g *Guard) Complete(id cresspass.QueryID, served bool, name string) bool {
	g.mu.Lock()
	v := g.ledger.Complete(id, served)
	g.mu.Unlock()
	return g.Record(v, name)
}

// BeginAttempt asks whether an attempt may be written now.
func (g *Guard) BeginAttempt(id cresspass.QueryID, attempt int, at Target, name string) Result {
	g.mu.Lock()
	v := g.ledger.BeginAttempt(time.Now(), id, attempt, at)
	g.mu.Unlock()
	g.Record(v, name)
	return v
}

// EndAttempt enters an attempt's end.
func (g *Guard) EndAttempt(id cresspass.QueryID, attempt int, outcome cresspass.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.EndAttempt(id, attempt, outcome.NeverRan())
}
