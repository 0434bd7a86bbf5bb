package platform

import (
	"cresspass"
	"cresspass/internal/backend/computenode"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/invariant"
)

// acts is the one way to take, send, repeat, answer and close: an invariant.Guard in the words of this front.
type acts struct {
	counter *invariant.Counter
	events  *eventlog.Log
	guard   *invariant.Guard
}

func newActs(cfg *cresspass.Config, counter *invariant.Counter, events *eventlog.Log) *acts {
	return &acts{counter: counter, events: events,
		guard: invariant.NewGuard(invariant.RulesOf(cfg), counter, events.Story)}
}

// serve opens the books, or closes them.
func (g *acts) serve(on bool) { g.guard.Serve(on) }

// take enters a request that came. Where it returns false, the request is to be refused.
func (g *acts) take(q *thriftserver.Request, key string) bool {
	g.events.Add(eventlog.Event{What: eventlog.Taken, Request: q.Ticket, Attempt: -1, Why: q.Class})
	return g.guard.Take(invariant.Request{ID: q.ID, Class: q.Class, Key: key, Until: q.Until}, q.Ticket)
}

// end enters a request's one end. Where it returns false, nothing may be answered.
func (g *acts) end(q *thriftserver.Request, served bool) bool {
	return g.guard.Answer(q.ID, served, q.Ticket)
}

// begin asks whether an attempt may be written now, and says how it ends if not.
func (g *acts) begin(a *attempt) (why computenode.EventType, verdict invariant.Verdict) {
	v := g.guard.Begin(a.q.ID, a.number, a.s.watch.place(a.engine, a.addr), a.q.Ticket)
	if v.OK() || v.Name == invariant.RepeatedOverBudget && mutated(noBudgetAtBegin) {
		return 0, invariant.Verdict{}
	}
	switch v.Name {
	case invariant.SentTooLate, invariant.SentToDrained, invariant.RepeatedLate:
		return computenode.Withheld, v // it may go elsewhere, or be refused
	}
	return computenode.Unwanted, v // no other compute node helps
}

// done enters an attempt's end.
func (g *acts) done(a *attempt, outcome cresspass.Outcome) { g.guard.Done(a.q.ID, a.number, outcome) }

// mayClose asks whether we may close a connection, by the requests that are open on it.
func (g *acts) mayClose(open []*thriftserver.Request, why closeReason) bool {
	if len(open) == 0 {
		return true
	}
	return g.guard.Judge(invariant.Verdict{Kind: invariant.Violated, Name: invariant.ClosedWithOpen,
		Detail: string(why)}, open[0].Ticket)
}
