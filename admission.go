package cresspass

import (
	"math"
	"slices"
	"sort"
	"time"
)

// handleArrival takes a client's query and lines it up; release decides in the same call.
func (g *Gateway) handleArrival(ev *Event) {
	c := g.classes[ev.Class]
	if g.queries[ev.Query] != nil {
		return
	}
	if c == nil {
		g.emit(Action{Type: Fail, Query: ev.Query}) // a class never told: nothing is known of what it may do
		return
	}
	q := &query{
		id:             ev.Query,
		class:          c,
		stickyEngine:   ev.StickyEngine,
		opensSession:   ev.OpensSession,
		tableGroup:     ev.TableGroup,
		arrivedAt:      g.now,
		deadline:       g.now + ev.RemainingDeadline,
		memoryMB:       ev.MemoryEstimateMB,
		rawBase:        c.LatencyObjective.Seconds(),
		estimateSpread: unknownCostSpread,
	}
	if ev.HasCostEstimate && ev.CostEstimate > 0 {
		q.rawBase, q.hasCostEstimate, q.estimateSpread = ev.CostEstimate.Seconds()/c.threads, true, 1
	}
	// Danger: a refused client comes again, its aim counts from its first try, and work for answers that can
	// earn nothing keeps an overload alive. The wait it has left tells what has passed, but only on a marked
	// repeat: hurried clients give their first tries short waits too, and must not be refused for it.
	c.longestDeadline = max(c.longestDeadline, ev.RemainingDeadline)
	if ev.IsRetry && float64(ev.RemainingDeadline) < firstAttemptShare*float64(c.longestDeadline) {
		q.priorWait = max(0, c.Deadline-ev.RemainingDeadline)
	}
	q.rawBase = math.Max(q.rawBase, minBaseShare*c.LatencyObjective.Seconds())
	if q.hasCostEstimate || !g.cfg.ReportsCost {
		c.meanWork += meanWorkGain * (q.rawBase*math.Max(1, c.baseScale)*c.threads - c.meanWork)
	}
	g.queries[q.id] = q
	if !ev.AddsNoRetryBudget {
		g.retryBudget.arrived(g.now)
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
	g.enqueue(q)
	g.probeLoad(q)
	if left := q.deadline - g.now; left <= g.replyMargin() {
		g.rejectOrFail(q, ReasonDeadline)
	} else {
		g.setTimer(left-g.replyMargin(), uint64(q.id)+1)
	}
}

// remainingTime is the time an estimate must fit in, in seconds: until the client gives up, or until the aim,
// where that comes first.
func (g *Gateway) remainingTime(q *query) float64 {
	left := (q.deadline - g.now - g.replyMargin()).Seconds()
	aim := q.class.LatencyObjective.Seconds() + q.class.ObjectiveStretch*g.baseTime(
		q,
	) - (g.now - q.arrivedAt + q.priorWait).Seconds()
	return math.Min(left, aim)
}

// dequeue lets held queries and newcomers leave, earliest deadline first, and refuses what no longer fits.
func (g *Gateway) dequeue() {
	if len(g.queue) == 0 {
		return
	}
	blocked := map[*engine]bool{}
	line := g.queue
	g.queue = nil
	for _, q := range line {
		q.queued = false
		var e *engine
		wait, why := false, ReasonNoEngineFits
		switch {
		case !g.mayAttempt(q):
			why = ReasonNoRetryAllowed
		case g.now < q.awaitReportsUntil:
			wait = true
		case g.isNextForKey(q):
			e, wait = g.chooseEngine(q, blocked)
		default:
			wait = g.baseTime(q) <= g.remainingTime(q)
		}
		switch {
		case e != nil:
			g.send(q, e)
		case wait:
			g.enqueue(q)
		default:
			g.rejectOrFail(q, why)
		}
	}
}

// rejectOrFail is the one place where queries end by our hand (rules 1 and 2): refused where trying again is
// known to be harmless, else failed.
func (g *Gateway) rejectOrFail(q *query, why Reason) {
	if q.done {
		return
	}
	answer := Action{Type: Fail, Query: q.id, Reason: why}
	ran := q.firstMaybeRan != nil || len(q.inFlight) > 0
	if q.class.Effect == Idempotent || !ran ||
		q.class.Effect == IdempotentWithKey && q.class.DeduplicationScope == ScopeAll {
		answer.Type = Reject
		if g.cfg.MaySendRetryAfter {
			answer.Wait = g.cfg.MaxRetryAfter // refused work that comes back soon keeps an overload alive
		}
	}
	g.emit(answer)
	for _, a := range q.inFlight {
		g.cancelAttempt(a)
	}
	g.removeQuery(q)
}

// handleShutdown brings all deadlines forward to a time after which this gateway answers nobody.
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
			g.setTimer(max(0, left-g.replyMargin()), uint64(id)+1)
		}
	}
}

func (g *Gateway) enqueue(q *query) {
	at := sort.Search(len(g.queue), func(i int) bool {
		h := g.queue[i]
		return h.deadline > q.deadline || h.deadline == q.deadline && h.id > q.id
	})
	g.queue = slices.Insert(g.queue, at, q)
	q.queued = true
}
