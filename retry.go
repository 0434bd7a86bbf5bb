package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	firstOverdueRatio  = 2.0  // a running query is overdue from this multiple of its estimate
	presumedLostRatio  = 4.0  // beyond this multiple its answer is presumed lost
	overdueStep        = 2.0  // each time an attempt is overdue, its next ratio is this times higher
	badPlanRatio       = 2.5  // a projected run of this multiple of its estimate is a bad plan
	overdueCancelRatio = 3.0  // without notes, a run of this multiple has a bad plan or a lost answer
	retryAdvantage     = 1.3  // the remaining run must exceed the estimate of a new one by this factor
	maxEarlyCancels    = 2    // per query: a query that is slow every time is simply long
	unknownCostSpread  = 2.0  // factor on the limits of a bad plan without a cost estimate
	minFractionDone    = 1e-3 // a smaller fraction counts as this
)

// retryBudget enforces rule 7: the queries that arrive in a window limit the retries in it.
type retryBudget struct {
	arrivals, retries []time.Duration
}

func (b *retryBudget) recordArrival(now time.Duration) { b.arrivals = append(b.arrivals, now) }

func (b *retryBudget) recordRetry(now time.Duration) { b.retries = append(b.retries, now) }

// allowsRetry reports whether one more retry is within the budget. Arrivals are counted over the window
// less a margin and retries over the window plus a margin, so the rule holds whether or not events at the
// window's edges count.
func (b *retryBudget) allowsRetry(r *Rules, now, margin time.Duration) bool {
	if !r.HasRetryBudget {
		b.arrivals, b.retries = b.arrivals[:0], b.retries[:0]
		return true
	}
	from := now - r.RetryBudgetWindow
	b.arrivals = slices.DeleteFunc(b.arrivals, func(at time.Duration) bool { return at <= from+margin })
	b.retries = slices.DeleteFunc(b.retries, func(at time.Duration) bool { return at < from-margin })
	return float64(len(b.retries)+1) <= r.RetryBudgetFree+r.RetryBudgetRatio*float64(len(b.arrivals))
}

func (g *Gateway) hasRetryBudget() bool {
	return g.retryBudget.allowsRetry(&g.cfg.Rules, g.now, g.replyMargin())
}

// mayAttempt reports whether a query may be sent, as far as that does not depend on the engine: rule 1
// (nothing after its end), the effects of a repeat (rule 2) and the retry budget (rule 7). It also enforces
// MaxAttempts, and a single attempt for a query of a sticky session. Every send checks mayAttempt.
func (g *Gateway) mayAttempt(q *query) bool {
	if q.done || g.now >= q.deadline {
		return false
	}
	if g.cfg.MaxAttempts > 0 && q.attemptCount >= g.cfg.MaxAttempts {
		return false
	}
	if q.stickyEngine != "" && q.attemptCount > 0 {
		return false
	}
	if !g.mayRepeat(q) {
		return false
	}
	return q.attemptCount == 0 || g.hasRetryBudget()
}

// mayRepeat reports whether a query may run again, given that earlier attempts may have run.
func (g *Gateway) mayRepeat(q *query) bool {
	if q.firstMaybeRan == nil {
		return true
	}
	switch q.class.Effect {
	case NotIdempotent:
		return false
	case IdempotentWithKey:
		return g.now-q.firstMaybeRan.sentAt <= q.class.DeduplicationWindow-g.replyMargin()
	default:
		return true
	}
}

// mayCancelForRetry reports whether an attempt may be cancelled in order to retry its query.
func (g *Gateway) mayCancelForRetry(a *attempt) bool {
	return !a.query.done && !a.cancelled && a.query.earlyCancels < maxEarlyCancels && g.mayAttempt(a.query)
}

func (g *Gateway) cancelForRetry(a *attempt) {
	a.query.earlyCancels++
	g.cancelAttempt(a)
}

// hasBadPlan reports whether an attempt should be cancelled and its query retried, because its projected
// total time shows a bad plan. It returns false if the query's class is not Idempotent. ran, the time so far,
// and total, the projected time, are in seconds.
func (g *Gateway) hasBadPlan(a *attempt, ran, total float64) bool {
	q := a.query
	return g.mayCancelForRetry(a) && q.class.Effect == Idempotent &&
		total > badPlanRatio*q.estimateSpread*a.estimate &&
		total-ran > retryAdvantage*q.estimateSpread*a.estimate
}

// reviewAttempts reviews the attempts that run on an engine: overdue ones update its slowness, and some are
// cancelled in order to retry their queries. It returns how many show that the engine does not respond.
func (g *Gateway) reviewAttempts(e *engine, counts *fleetCounts) (silent int) {
	for _, a := range e.running {
		if a.query.stickyEngine != "" {
			counts.busySessions++
		}
		age := (g.now - a.sentAt).Seconds()
		g.reviewOverdue(a, age)
		if g.isOverdueForRetry(a, age) {
			g.cancelForRetry(a)
		}
		engineSilent := e.lastSeenAt < a.sentAt+g.cfg.ProgressInterval && g.now-e.lastSeenAt > minSilence
		if age > silenceEstimateRatio*a.estimate && engineSilent {
			silent++
		}
	}
	return silent
}

// reviewOverdue updates the model if an attempt has reached its next overdue ratio. An attempt presumed lost
// no longer counts, as a lost answer shows nothing about slowness. Where engines send progress notes, the
// attempt still counts. age is in seconds.
func (g *Gateway) reviewOverdue(a *attempt, age float64) {
	lost := a.presumedLost && g.cfg.ProgressInterval == 0
	if age <= a.overdueRatio*a.estimate || a.cancelled || lost {
		return
	}
	g.learnOverdue(a)
	a.overdueRatio *= overdueStep
	if a.overdueRatio > presumedLostRatio && !a.presumedLost {
		// Otherwise a lost answer would occupy its threads until the client gives up.
		g.releaseThreads(a)
		a.presumedLost = true
		a.engine.failed++
	}
}

// isOverdueForRetry reports whether an attempt should be cancelled and its query retried: the attempt is far
// over its current estimate, and no recent progress note shows that it runs. Its answer was lost, or it has a
// bad plan. Either way a new attempt should end first, provided that it fits the remaining time. If engines
// are only slow, the retry doubles the work. age is in seconds.
func (g *Gateway) isOverdueForRetry(a *attempt, age float64) bool {
	q := a.query
	switch {
	case !g.mayCancelForRetry(a) || q.class.Effect == NotIdempotent:
		return false
	case q.class.Effect == IdempotentWithKey && !g.leavesTimeToRepeat(a):
		return false
	case g.cfg.ProgressInterval > 0 && g.now-max(a.sentAt, a.notedAt) < 2*g.cfg.ProgressInterval+tickInterval:
		return false
	}
	est := math.Max(a.estimate, g.estimate(q, a.engine))
	return age > overdueCancelRatio*q.estimateSpread*est && est < g.remainingTime(q)
}

// leavesTimeToRepeat reports whether repeats of an attempt will still be dropped when its query can be sent
// again.
func (g *Gateway) leavesTimeToRepeat(a *attempt) bool {
	window := a.query.class.DeduplicationWindow - g.cfg.Rules.OrderSettleDelay - tickInterval
	return g.now-a.sentAt <= window
}
