package platform

import (
	"cresspass"
	"cresspass/internal/backend/computenode"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/invariant"
)

// requestGuard is the only way to admit, send, retry, answer and close: it adapts an invariant.Guard to this
// package's requests and attempts. It is for any number of goroutines; the guard's lock is taken last.
type requestGuard struct {
	counter *invariant.Counter
	events  *eventlog.Log
	guard   *invariant.Guard
}

func newRequestGuard(cfg *cresspass.Config, counter *invariant.Counter, events *eventlog.Log) *requestGuard {
	return &requestGuard{counter: counter, events: events,
		guard: invariant.NewGuard(invariant.RulesFromConfig(cfg), counter, events.Trace)}
}

// setServing says whether requests may be admitted.
func (g *requestGuard) setServing(serving bool) { g.guard.SetServing(serving) }

// admit records a request that was read. Where it returns false, the request must be rejected.
func (g *requestGuard) admit(request *thriftserver.Request, key string) bool {
	g.events.Add(requestEvent(eventlog.RequestReceived, request.Ticket, request.Class))
	return g.guard.Accept(invariant.Request{ID: request.ID, Class: request.Class, OrderingKey: key,
		Deadline: request.Deadline}, request.Ticket)
}

// complete records a request's only end. Where it returns false, nothing may be answered.
func (g *requestGuard) complete(request *thriftserver.Request, served bool) bool {
	return g.guard.Complete(request.ID, served, request.Ticket)
}

// beginAttempt asks whether an attempt may be sent now, and says how it ends if not.
func (g *requestGuard) beginAttempt(a *attempt) (why computenode.EventType, verdict invariant.Result) {
	v := g.guard.BeginAttempt(a.request.ID, a.number, a.service.watcher.placement(a.engine, a.addr),
		a.request.Ticket)
	if v.OK() || v.Name == invariant.RetriedOverBudget && mutantEnabled(mutantNoBudgetRecheck) {
		return 0, invariant.Result{}
	}
	switch v.Name {
	case invariant.SentAfterDeadline, invariant.SentToDraining, invariant.RetriedAfterWindow:
		return computenode.Withheld, v // another compute node may take it, or it is rejected
	}
	return computenode.NotNeeded, v // no other compute node helps
}

// endAttempt records an attempt's end.
func (g *requestGuard) endAttempt(a *attempt, outcome cresspass.Outcome) {
	g.guard.EndAttempt(a.request.ID, a.number, outcome)
}

// mayClose asks whether a client's connection may be closed, by the requests that are open on it.
func (g *requestGuard) mayClose(open []*thriftserver.Request, why closeReason) bool {
	if len(open) == 0 {
		return true
	}
	return g.guard.Record(invariant.Result{Kind: invariant.Violated, Name: invariant.ClosedInFlight,
		Detail: string(why)}, open[0].Ticket)
}
