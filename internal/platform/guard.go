package platform

import (
	"cresspass"
	"cresspass/internal/backend/computenode"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/invariant"
)

// requestGuard is the only way to admit, send, retry and answer requests and to close client connections: it
// adapts an invariant.Guard to this package's requests and attempts. It is safe for concurrent use; the
// guard's lock is taken last.
type requestGuard struct {
	counter *invariant.Counter
	events  *eventlog.Log
	guard   *invariant.Guard
}

func newRequestGuard(cfg *cresspass.Config, counter *invariant.Counter, events *eventlog.Log) *requestGuard {
	return &requestGuard{counter: counter, events: events,
		guard: invariant.NewGuard(invariant.RulesFromConfig(cfg), counter, events.Trace)}
}

// setServing sets whether requests may be admitted.
func (g *requestGuard) setServing(serving bool) { g.guard.SetServing(serving) }

// admit records a request that was read. If it returns false, the request must be rejected.
func (g *requestGuard) admit(request *thriftserver.Request, key string) bool {
	g.events.Add(requestEvent(eventlog.RequestReceived, request.Ticket, request.Class))
	return g.guard.Accept(invariant.Request{ID: request.ID, Class: request.Class, OrderingKey: key,
		Deadline: request.Deadline}, request.Ticket)
}

// complete records the end of a request, which may end only once. If it returns false, no answer may be
// written.
func (g *requestGuard) complete(request *thriftserver.Request, served bool) bool {
	return g.guard.Complete(request.ID, served, request.Ticket)
}

// beginAttempt checks whether an attempt may be sent now. If not, it returns the event that ends the attempt
// and the verdict that forbids it.
func (g *requestGuard) beginAttempt(a *attempt) (eventType computenode.EventType, verdict invariant.Result) {
	v := g.guard.BeginAttempt(a.request.ID, a.number, a.service.watcher.placement(a.engine, a.addr),
		a.request.Ticket)
	if v.OK() || v.Name == invariant.RetriedOverBudget && mutantEnabled(mutantNoBudgetRecheck) {
		return 0, invariant.Result{}
	}
	switch v.Name {
	case invariant.SentAfterDeadline, invariant.SentToDraining, invariant.RetriedAfterWindow:
		return computenode.Withheld, v // another compute node may take the query, or it is rejected
	}
	return computenode.NotNeeded, v // another compute node would not help
}

// endAttempt records the outcome of an attempt.
func (g *requestGuard) endAttempt(a *attempt, outcome cresspass.Outcome) {
	g.guard.EndAttempt(a.request.ID, a.number, outcome)
}

// mayClose reports whether a client's connection may be closed, given the requests that are open on it.
// Closing it with an open request is recorded as a violation.
func (g *requestGuard) mayClose(open []*thriftserver.Request, reason closeReason) bool {
	if len(open) == 0 {
		return true
	}
	return g.guard.Record(invariant.Result{Kind: invariant.Violated, Name: invariant.ClosedInFlight,
		Detail: string(reason)}, open[0].Ticket)
}
