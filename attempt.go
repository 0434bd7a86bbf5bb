package cresspass

import (
	"math"
	"slices"
	"time"
)

// attempt is one send of a query to an engine.
type attempt struct {
	query          *query
	engine         *engine
	number         int
	sentAt         time.Duration
	notedAt        time.Duration // time of the last progress note; 0: none yet
	base, estimate float64       // seconds, both as of sentAt
	grantMB        float64
	runningSeconds []float64 // copy of the engine's runningSeconds as of sentAt
	overdueRatio   float64   // next multiple of the estimate at which the attempt counts as overdue

	cancelled, spilled, presumedLost bool
}

// attemptKey identifies an attempt, as events do.
type attemptKey struct {
	query  QueryID
	number int
}

// send sends a query to an engine if the safety rules allow it. No other code sends queries.
func (g *Gateway) send(q *query, e *engine) {
	hedged := len(q.inFlight) > 0
	if !g.mayAttempt(q) || !g.isNextForKey(q) || !g.mayUse(q, e) || hedged && !g.cfg.MayHedge {
		return
	}
	g.integrateMix(e)
	a := &attempt{
		query: q, engine: e, number: q.attemptCount, sentAt: g.now,
		base: g.baseTime(q), estimate: g.estimate(q, e),
		runningSeconds: append([]float64(nil), e.runningSeconds...), overdueRatio: firstOverdueRatio,
	}
	g.setResources(a)
	g.emit(Action{Type: Send, Query: q.id, Engine: e.ID, StartWithin: g.slowStartSendLimit(e)})
	g.announceSend(a)
	g.chargeSlowStart(q, e)
	g.attemptStarted(a)
}

// attemptStarted adds an attempt that is being sent to the state; attemptEnded removes one that got its
// outcome.
func (g *Gateway) attemptStarted(a *attempt) {
	q, e := a.query, a.engine
	if q.attemptCount > 0 {
		g.retryBudget.recordRetry(g.now)
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
	same := func(other *attempt) bool { return other == a }
	e.running, q.inFlight = slices.DeleteFunc(e.running, same), slices.DeleteFunc(q.inFlight, same)
}

// releaseThreads removes an attempt from the running counts. It does nothing for an attempt presumed lost,
// which was removed from them at that time.
func (g *Gateway) releaseThreads(a *attempt) {
	if a.presumedLost {
		return
	}
	g.integrateMix(a.engine)
	a.engine.runningCount[a.query.class.index]--
	a.engine.ownThreads -= a.query.class.threads
	g.ownThreads -= a.query.class.threads
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
	q := a.query
	if q.orderKey != nil && mayStillRun(ev.Outcome) {
		q.orderKey.settlesAt = max(q.orderKey.settlesAt, g.now+g.cfg.Rules.OrderSettleDelay)
	}
	if !ev.Outcome.NeverRan() && (q.firstMaybeRan == nil || a.sentAt < q.firstMaybeRan.sentAt) {
		q.firstMaybeRan = a
	}
	if ev.HasLoadReport {
		g.applyLoadReport(a.engine, ev.LoadReport)
	}
	g.learnOutcome(a, ev)
	if ev.QueryFinished && !q.done {
		g.removeQuery(q)
	}
	q.previousEngine = a.engine
	g.afterAttempt(q, ev.Outcome)
}

// learnOutcome updates the attempt's engine and class from its outcome.
func (g *Gateway) learnOutcome(a *attempt, ev *Event) {
	e := a.engine
	switch ev.Outcome {
	case OutcomeOK:
		e.succeeded++
		e.lastSeenAt = g.now
		e.outlier.recordSuccess()
		g.learn(a, ev.Elapsed.Seconds())
		if c := a.query.class; ev.ActualCost > 0 && !a.query.hasCostEstimate { // the query's work was a guess
			c.meanWork += meanWorkGain * (ev.ActualCost.Seconds() - c.meanWork)
		}
		g.adaptGrant(a, ev.ActualMemoryMB)
	case OutcomeRejected:
		e.lastSeenAt = g.now
		e.limiter.recordRejection(g.now, e.ownThreads)
	case OutcomeFailed, OutcomeConnectionReset, OutcomeConnectFailed:
		e.failed++
		e.lastSeenAt = g.now
		e.outlier.recordFailure(g.now)
	case OutcomeTimedOut, OutcomeNotStarted, OutcomeCancelled: // no evidence about the engine
	}
}

// afterAttempt queues a query again, or ends it, once none of its attempts is running.
func (g *Gateway) afterAttempt(q *query, outcome Outcome) {
	switch {
	case q.done || len(q.inFlight) > 0 || q.queued:
	case outcome == OutcomeNotStarted:
		g.rejectOrFail(q, ReasonNotStarted)
	case !g.mayAttempt(q):
		g.rejectOrFail(q, ReasonNoRetryAllowed)
	default:
		g.queue.push(q)
	}
}

// handleProgress handles a progress note on a running attempt. Each attempt gets a new query plan. So if the
// note shows a bad plan and a new attempt is expected to end well before this one, this one is cancelled.
func (g *Gateway) handleProgress(ev *Event) {
	a := g.attempts[attemptKey{ev.Query, ev.Attempt}]
	if a == nil {
		return
	}
	a.notedAt, a.engine.lastSeenAt = g.now, g.now
	switch ev.Note {
	case NoteSpilled:
		a.spilled = true
	case NoteFractionDone:
		ran := (g.now - a.sentAt).Seconds()
		total := ran / math.Max(ev.Value, minFractionDone)
		if g.hasBadPlan(a, ran, total) {
			g.cancelForRetry(a)
		}
	case NoteBlocked: // not used in decisions
	}
}
