package platform

import (
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/computenode"
	"cresspass/internal/eventlog"
	"cresspass/internal/invariant"
	"cresspass/internal/thriftfront"
)

// acts is the one way to take, send, repeat, answer and close: the shell of an invariant.Ledger. Its lock is
// taken last of all.
type acts struct {
	counter *invariant.Counter
	events  *eventlog.Log

	mu     sync.Mutex
	ledger *invariant.Ledger
}

// budgetSlack is how far the platform's clocks may be from ours, in ticks of the module, where it counts
// further attempts.
const budgetSlack = 4

func newActs(cfg *cresspass.Config, counter *invariant.Counter, events *eventlog.Log) *acts {
	r := &cfg.Rules
	budget := invariant.Budget{On: r.HasBudget, Free: r.BudgetFree, Share: r.BudgetShare,
		LookBack: r.BudgetLookBack, Slack: budgetSlack * max(cfg.Tick, time.Millisecond)}
	rules := invariant.Rules{Classes: cfg.Classes, MayDuplicate: cfg.MayDuplicate, Budget: budget}
	return &acts{counter: counter, events: events, ledger: invariant.NewLedger(rules)}
}

// serve opens the books, or closes them.
func (g *acts) serve(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Serve(on)
}

// judge counts a verdict on a request. It reports whether the act may be done; where it was never lawful, the
// request's story goes to the log.
func (g *acts) judge(v invariant.Verdict, request string) bool {
	if v.Kind == invariant.Violated {
		g.counter.Story(request, g.events.Story(request))
	}
	return g.counter.Count(v, request)
}

// take enters a request that came.
func (g *acts) take(q *thriftfront.Request, key string) bool {
	g.mu.Lock()
	v := g.ledger.Take(time.Now(), invariant.Request{ID: q.ID, Class: q.Class, Key: key, Until: q.Until})
	g.mu.Unlock()
	g.events.Add(eventlog.Event{What: eventlog.Taken, Request: q.Ticket, Attempt: -1, Why: q.Class})
	return g.judge(v, q.Ticket)
}

// end enters a request's one end. served: with its result.
func (g *acts) end(q *thriftfront.Request, served bool) {
	g.mu.Lock()
	v := g.ledger.Answer(q.ID, served)
	g.mu.Unlock()
	g.judge(v, q.Ticket)
}

// begin asks whether an attempt may be written now, and says how it ends if not.
func (g *acts) begin(a *attempt) (why computenode.EventType, verdict invariant.Verdict) {
	at := a.s.watch.place(a.engine, a.addr)
	g.mu.Lock()
	v := g.ledger.Begin(time.Now(), a.q.ID, a.number, at)
	g.mu.Unlock()
	if g.judge(v, a.q.Ticket) || v.Name == invariant.RepeatedOverBudget && mutated(noBudgetAtBegin) {
		return 0, invariant.Verdict{}
	}
	switch v.Name {
	case invariant.SentTooLate, invariant.SentToDrained, invariant.RepeatedLate:
		return computenode.Withheld, v // it may go elsewhere, or be refused
	}
	return computenode.Unwanted, v // no other compute node helps
}

// done enters an attempt's end.
func (g *acts) done(a *attempt, outcome cresspass.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Done(a.q.ID, a.number, outcome.NeverRan())
}

// mayClose asks whether we may close a connection, by the requests that are open on it.
func (g *acts) mayClose(open []*thriftfront.Request, why closeReason) bool {
	if len(open) == 0 {
		return true
	}
	return g.judge(invariant.Verdict{Kind: invariant.Violated, Name: invariant.ClosedWithOpen,
		Detail: string(why)}, open[0].Ticket)
}
