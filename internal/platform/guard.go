package platform

import (
	"cresspass"
	"cresspass/internal/backend/computenode"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/invariant"
)

// requestGuard is the one way to take, send, repeat, answer and close: an invariant.Guard in the words of
// this front.
type requestGuard struct {
	counter *invariant.Counter
	events  *eventlog.Log
	guard   *invariant.Guard
}

func newRequestGuard(cfg *cresspass.Config, counter *invariant.Counter, events *eventlog.Log) *requestGuard {
	return &requestGuard{counter: counter, events: events,
		guard: invariant.NewGuard(invariant.RulesFromConfig(cfg), counter, events.Trace)}
}

// setServing opens the books, or closes them.
func (g *requestGuard) setServing(on bool) { g.guard.SetServing(on) }

// admit enters a request that came. Where it returns false, the request is to be refused.
func (g *requestGuard) admit(q *thriftserver.Request, key string) bool {
	g.events.Add(
		eventlog.Event{Kind: eventlog.RequestReceived, RequestID: q.Ticket, Attempt: -1, Reason: q.Class},
	)
	return g.guard.Accept(
		invariant.Request{ID: q.ID, Class: q.Class, OrderingKey: key, Deadline: q.Deadline},
		q.Ticket,
	)
}

// complete enters a request's one end. Where it returns false, nothing may be answered.
func (g *requestGuard) complete(q *thriftserver.Request, served bool) bool {
	return g.guard.Complete(q.ID, served, q.Ticket)
}

// beginAttempt asks whether an attempt may be written now, and says how it ends if not.
func (g *requestGuard) beginAttempt(a *attempt) (why computenode.EventType, verdict invariant.Result) {
	v := g.guard.BeginAttempt(
		a.request.ID,
		a.number,
		a.service.watcher.place(a.engine, a.addr),
		a.request.Ticket,
	)
	if v.OK() || v.Name == invariant.RetriedOverBudget && mutated(noBudgetAtBegin) {
		return 0, invariant.Result{}
	}
	switch v.Name {
	case invariant.SentAfterDeadline, invariant.SentToDraining, invariant.RetriedAfterWindow:
		return computenode.Withheld, v // it may go elsewhere, or be refused
	}
	return computenode.NotNeeded, v // no other compute node helps
}

// endAttempt enters an attempt's end.
func (g *requestGuard) endAttempt(a *attempt, outcome cresspass.Outcome) {
	g.guard.EndAttempt(a.request.ID, a.number, outcome)
}

// mayClose asks whether we may close a connection, by the requests that are open on it.
func (g *requestGuard) mayClose(open []*thriftserver.Request, why closeReason) bool {
	if len(open) == 0 {
		return true
	}
	return g.guard.Record(invariant.Result{Kind: invariant.Violated, Name: invariant.ClosedInFlight,
		Detail: string(why)}, open[0].Ticket)
}
