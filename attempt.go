package cresspass

import (
	"math"
	"slices"
	"time"
)

// send is the one place where queries are sent.
func (g *Gateway) send(q *query, e *engine) {
	if !g.mayAttempt(q) || !g.isNextForKey(q) || !g.mayUse(q, e) || len(q.inFlight) > 0 && !g.cfg.MayHedge {
		return
	}
	g.integrateMix(e)
	a := &attempt{
		query:          q,
		engine:         e,
		number:         q.attemptCount,
		sentAt:         g.now,
		base:           g.baseTime(q),
		estimate:       g.estimate(q, e),
		runningSeconds: append([]float64(nil), e.runningSeconds...),
		overdueRatio:   firstOverdueRatio,
	}
	g.setResources(a)
	g.emit(Action{Type: Send, Query: q.id, Engine: e.ID, StartWithin: g.slowStartSendLimit(e)})
	g.announceSend(a)
	g.chargeSlowStart(q, e)
	g.attemptStarted(a)
}

func (g *Gateway) cancelAttempt(a *attempt) {
	if g.cfg.MayCancel && !a.cancelled {
		a.cancelled = true
		g.emit(Action{Type: Cancel, Query: a.query.id, Attempt: a.number})
	}
}

func (g *Gateway) handleAttemptDone(ev *Event) {
	a := g.attempts[attemptKey{ev.Query, ev.Attempt}]
	if a == nil {
		return
	}
	g.attemptEnded(a)
	q, e := a.query, a.engine
	if q.orderKey != nil && leavesOrderOpen(ev.Outcome) {
		q.orderKey.settlesAt = max(q.orderKey.settlesAt, g.now+g.cfg.Rules.OrderSettleDelay)
	}
	if !ev.Outcome.NeverRan() && (q.firstMaybeRan == nil || a.sentAt < q.firstMaybeRan.sentAt) {
		q.firstMaybeRan = a
	}
	if ev.HasLoadReport {
		g.applyLoadReport(e, ev.LoadReport)
	}
	switch ev.Outcome {
	case OutcomeOK:
		e.succeeded++
		e.lastHeardAt = g.now
		e.outlier.recordSuccess()
		g.learn(a, ev.Elapsed.Seconds())
		if ev.ActualCost > 0 && !q.hasCostEstimate { // its aim was a guess
			q.class.meanWork += meanWorkGain * (ev.ActualCost.Seconds() - q.class.meanWork)
		}
		g.adaptGrant(a, ev.ActualMemoryMB)
	case OutcomeRejected:
		e.lastHeardAt = g.now
		e.limiter.recordRejection(g.now, e.ownThreads)
	case OutcomeFailed, OutcomeConnectionReset, OutcomeConnectFailed:
		e.failed++
		e.lastHeardAt = g.now
		e.outlier.recordFailure(g.now)
	}
	if ev.QueryFinished && !q.done {
		g.removeQuery(q)
	}
	switch q.previousEngine = e; {
	case q.done || len(q.inFlight) > 0 || q.queued:
	case ev.Outcome == OutcomeNotStarted:
		g.rejectOrFail(q, ReasonNotStarted)
	case !g.mayAttempt(q):
		g.rejectOrFail(q, ReasonNoRetryAllowed)
	default:
		g.enqueue(q)
	}
}

// handleProgress reads a note on a running attempt. A bad plan is drawn anew for each attempt, so one that is
// far behind is called off where a fresh run should end well before it.
func (g *Gateway) handleProgress(ev *Event) {
	a := g.attempts[attemptKey{ev.Query, ev.Attempt}]
	if a == nil {
		return
	}
	a.notedAt = g.now
	switch a.engine.lastHeardAt = g.now; ev.Note {
	case NoteSpilled:
		a.spilled = true
	case NoteFractionDone:
		ran := (g.now - a.sentAt).Seconds()
		total := ran / math.Max(ev.Value, minFractionDone)
		if g.hasBadPlan(a, ran, total) {
			g.cancelForRetry(a)
		}
	}
}

type attempt struct {
	query           *query
	engine          *engine
	number          int
	sentAt, notedAt time.Duration // sent; last note of it
	base, estimate  float64       // seconds
	grantMB         float64
	runningSeconds  []float64 // the engine's integral of the mix when it was sent
	overdueRatio    float64   // next multiple of the estimate at which it counts as overdue

	cancelled, spilled, presumedLost bool
}

// attemptKey names an attempt as events do.
type attemptKey struct {
	query  QueryID
	number int
}

// attemptStarted keeps the books of an attempt being sent, end those of one that got its outcome.
func (g *Gateway) attemptStarted(a *attempt) {
	q, e := a.query, a.engine
	if q.attemptCount > 0 {
		g.retryBudget.retried(g.now)
	}
	q.attemptCount++
	q.inFlight = append(q.inFlight, a)
	if q.orderKey != nil {
		q.orderKey.running++
	}
	e.running = append(e.running, a)
	e.runningCount[q.class.index]++
	e.ownThreads += q.class.threads
	g.ownThreads += q.class.threads
	g.attempts[attemptKey{q.id, a.number}] = a
}

func (g *Gateway) attemptEnded(a *attempt) {
	q, e := a.query, a.engine
	delete(g.attempts, attemptKey{q.id, a.number})
	g.releaseThreads(a)
	if q.orderKey != nil {
		q.orderKey.running--
	}
	same := func(v *attempt) bool { return v == a }
	e.running, q.inFlight = slices.DeleteFunc(e.running, same), slices.DeleteFunc(q.inFlight, same)
}

// releaseThreads takes an attempt from what counts as running.
func (g *Gateway) releaseThreads(a *attempt) {
	if a.presumedLost {
		return
	}
	g.integrateMix(a.engine)
	a.engine.runningCount[a.query.class.index]--
	a.engine.ownThreads -= a.query.class.threads
	g.ownThreads -= a.query.class.threads
}
