package cresspass

import (
	"math"
	"slices"
	"sort"
	"time"
)

// deadlineQueue holds the queries that wait for an engine, sorted by deadline and then by ID.
type deadlineQueue []*query

func (w *deadlineQueue) push(q *query) {
	at := sort.Search(len(*w), func(i int) bool {
		other := (*w)[i]
		return other.deadline > q.deadline || other.deadline == q.deadline && other.id > q.id
	})
	*w = slices.Insert(*w, at, q)
	q.queued = true
}

func (w *deadlineQueue) remove(q *query) {
	*w = slices.DeleteFunc(*w, func(other *query) bool { return other == q })
	q.queued = false
}

// handleArrival queues a new query. dequeue decides on it in the same call of Handle.
func (g *Gateway) handleArrival(ev *Event) {
	if g.queries[ev.Query] != nil {
		return
	}
	c := g.classes[ev.Class]
	if c == nil { // not in the settings: whether it may be repeated is unknown
		g.emit(Action{Type: Fail, Query: ev.Query})
		return
	}
	q := g.newQuery(c, ev)
	g.queries[q.id] = q
	if !ev.AddsNoRetryBudget {
		g.retryBudget.recordArrival(g.now)
	}
	if b := g.tenants[ev.Tenant]; b != nil && b.rate > 0 {
		q.overQuota = !b.take(g.now, quotaMinBurst+b.rate*quotaBurstSeconds)
	}
	if c.OrderedByKey && ev.Key != "" {
		g.keyOrder.enqueue(q, ev.Key, g.now)
	}
	if g.shutdownAt > 0 {
		q.deadline = min(q.deadline, g.shutdownAt)
	}
	g.queue.push(q)
	g.probeLoad(q)
	if left := q.deadline - g.now; left <= g.replyMargin() {
		g.rejectOrFail(q, ReasonDeadline)
	} else {
		g.setTimer(left-g.replyMargin(), queryLabel(q.id))
	}
}

// remainingTime returns the time within which a query should end, in seconds: until replyMargin before its
// deadline or until its latency objective, whichever is earlier. The objective counts from the client's first
// request. The result may be negative.
func (g *Gateway) remainingTime(q *query) float64 {
	deadline := (q.deadline - g.now - g.replyMargin()).Seconds()
	waited := (g.now - q.arrivedAt + q.priorWait).Seconds()
	objective := q.class.LatencyObjective.Seconds() + q.class.ObjectiveStretch*g.baseTime(q) - waited
	return math.Min(deadline, objective)
}

// dequeue decides on all queued queries, earliest deadline first: each is sent, stays queued or is ended.
func (g *Gateway) dequeue() {
	if len(g.queue) == 0 {
		return
	}
	blocked := map[*engine]bool{}
	waiting := g.queue
	g.queue = nil
	for _, q := range waiting {
		q.queued = false
		e, wait, reason := g.decide(q, blocked)
		switch {
		case e != nil:
			g.send(q, e)
		case wait:
			g.queue.push(q)
		default:
			g.rejectOrFail(q, reason)
		}
	}
}

// decide returns the engine to send a query to now, or nil. If e is nil, the query stays queued if wait is
// true, and is ended for reason if wait is false. blocked holds the engines that keep their capacity for
// queries decided earlier in the same call of dequeue.
func (g *Gateway) decide(q *query, blocked map[*engine]bool) (e *engine, wait bool, reason Reason) {
	switch {
	case !g.mayAttempt(q):
		return nil, false, ReasonNoRetryAllowed
	case g.now < q.awaitReportsUntil:
		return nil, true, ""
	case !g.isNextForKey(q):
		return nil, g.baseTime(q) <= g.remainingTime(q), ReasonNoEngineFits
	}
	e, wait = g.chooseEngine(q, blocked)
	return e, wait, ReasonNoEngineFits
}

// rejectOrFail ends a query without a result (rules 1 and 2): with Reject if a repeat is known to be
// harmless, else with Fail. All such answers come from here, except that handleArrival fails queries of an
// unknown class.
func (g *Gateway) rejectOrFail(q *query, reason Reason) {
	if q.done {
		return
	}
	answer := Action{Type: Fail, Query: q.id, Reason: reason}
	if g.mayReject(q) {
		answer.Type = Reject
		if g.cfg.MaySendRetryAfter {
			answer.Wait = g.cfg.MaxRetryAfter // an early retry of rejected work prolongs an overload
		}
	}
	g.emit(answer)
	for _, a := range q.inFlight {
		g.cancelAttempt(a)
	}
	g.removeQuery(q)
}

// mayReject reports whether a repeat of the query by its client is known to be harmless.
func (g *Gateway) mayReject(q *query) bool {
	maybeRan := q.firstMaybeRan != nil || len(q.inFlight) > 0
	switch q.class.Effect {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return !maybeRan || q.class.DeduplicationScope == ScopeAll
	default:
		return !maybeRan
	}
}

// handleShutdown moves all later deadlines to the time of the shutdown, after which the gateway answers no
// query.
func (g *Gateway) handleShutdown(left time.Duration) {
	g.shutdownAt = g.now + max(left, 1)
	ids := make([]QueryID, 0, len(g.queries))
	for id := range g.queries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if q := g.queries[id]; q.deadline > g.shutdownAt {
			q.deadline = g.shutdownAt
			g.setTimer(max(0, left-g.replyMargin()), queryLabel(id))
		}
	}
}
