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
	story   func(request string) string // what is known of a request, for a violation; nil: nothing

	mu     sync.Mutex
	ledger *Ledger
}

// NewGuard returns the Guard of a dispatcher that does not serve yet. story may be nil.
func NewGuard(rules Rules, counter *Counter, story func(request string) string) *Guard {
	return &Guard{counter: counter, story: story, ledger: NewLedger(rules)}
}

// budgetSlack is how far the platform's clocks may be from ours, in ticks of the module, where it counts
// further attempts.
const budgetSlack = 4

// RulesOf are the rules in a module's settings.
func RulesOf(cfg *cresspass.Config) Rules {
	r := &cfg.Rules
	return Rules{Classes: cfg.Classes, MayDuplicate: cfg.MayDuplicate, Budget: Budget{On: r.HasBudget,
		Free: r.BudgetFree, Share: r.BudgetShare, LookBack: r.BudgetLookBack,
		Slack: budgetSlack * max(cfg.Tick, time.Millisecond)}}
}

// Judge counts a verdict on an act for a request, by the name that it has in the log, and reports whether the
// act may be done. The story of one that was never lawful goes to the log.
func (g *Guard) Judge(v Verdict, request string) bool {
	if v.Kind == Violated && g.story != nil {
		g.counter.Story(request, g.story(request))
	}
	return g.counter.Count(v, request)
}

// Serve opens the books, or closes them at the dispatcher's end.
func (g *Guard) Serve(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Serve(on)
}

// Take enters a request that came. Where it returns false, the request is to be refused at once.
func (g *Guard) Take(r Request, name string) bool {
	g.mu.Lock()
	v := g.ledger.Take(time.Now(), r)
	g.mu.Unlock()
	return g.Judge(v, name)
}

// Answer enters a request's one end. Where it returns false, nothing may be answered. served: with its
// result.
func (g *Guard) Answer(id cresspass.QueryID, served bool, name string) bool {
	g.mu.Lock()
	v := g.ledger.Answer(id, served)
	g.mu.Unlock()
	return g.Judge(v, name)
}

// Begin asks whether an attempt may be written now.
func (g *Guard) Begin(id cresspass.QueryID, attempt int, at Place, name string) Verdict {
	g.mu.Lock()
	v := g.ledger.Begin(time.Now(), id, attempt, at)
	g.mu.Unlock()
	g.Judge(v, name)
	return v
}

// Done enters an attempt's end.
func (g *Guard) Done(id cresspass.QueryID, attempt int, outcome cresspass.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Done(id, attempt, outcome.NeverRan())
}
