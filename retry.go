package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	firstOverdueRatio  = 2.0  // a running query this many times over its estimate counts as a lower bound
	presumedLostRatio  = 4.0  // one so many times over, its answer is presumed lost
	overdueStep        = 2.0  // each time it counts, its next ratio is so many times higher
	badPlanRatio       = 2.5  // a projected run this many times over its estimate is a bad plan
	overdueCancelRatio = 3.0  // so is one so far over it of which nothing is heard; or its answer is lost
	retryAdvantage     = 1.3  // what is left must exceed a fresh run's estimate by this ratio
	maxEarlyCancels    = 2    // a query that is long every time is just long
	unknownCostSpread  = 2.0  // limits of bad plans are so much wider without a cost estimate
	minFractionDone    = 1e-3 // a smaller one counts as this
)

// retryBudget is rule 7: retries are limited by the queries that arrived in the same window.
type retryBudget struct {
	arrivals, retries []time.Duration
}

func (b *retryBudget) arrived(now time.Duration) { b.arrivals = append(b.arrivals, now) }

func (b *retryBudget) retried(now time.Duration) { b.retries = append(b.retries, now) }

// allowsOneMore reports whether a retry is within the budget. Queries are counted over a little less than
// the window and retries over a little more, so that no reading of its edges breaks the rule.
func (b *retryBudget) allowsOneMore(r *Rules, now, margin time.Duration) bool {
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
	return g.retryBudget.allowsOneMore(&g.cfg.Rules, g.now, g.replyMargin())
}

// mayAttempt checks, for every send, what concerns the query alone: rule 1 (nothing after its end), the
// effects of a repeat (rule 2) and the retry budget (rule 7).
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

// mayRepeat reports whether a query may run again after the attempts that may have run.
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

// mayCancelForRetry reports whether an attempt may be cancelled so that its query is sent again.
func (g *Gateway) mayCancelForRetry(a *attempt) bool {
	return !a.query.done && !a.cancelled && a.query.earlyCancels < maxEarlyCancels && g.mayAttempt(a.query)
}

func (g *Gateway) cancelForRetry(a *attempt) {
	a.query.earlyCancels++
	g.cancelAttempt(a)
}

// hasBadPlan reports whether an attempt that ran for some time, of some projected total, is to be cancelled
// and its query sent again.
func (g *Gateway) hasBadPlan(a *attempt, ran, total float64) bool {
	q := a.query
	return g.mayCancelForRetry(a) && q.class.Effect == Idempotent &&
		total > badPlanRatio*q.estimateSpread*a.estimate &&
		total-ran > retryAdvantage*q.estimateSpread*a.estimate
}

// reviewAttempts looks at the attempts that run on an engine: overdue ones show its slowness, some are
// cancelled to be retried. It returns how many show that the engine is silent.
func (g *Gateway) reviewAttempts(e *engine, census *fleetCensus) (silent int) {
	for _, a := range e.running {
		if a.query.stickyEngine != "" {
			census.busySessions++
		}
		age := (g.now - a.sentAt).Seconds()
		g.reviewOverdue(a, age)
		if g.isOverdueForRetry(a, age) {
			g.cancelForRetry(a)
		}
		unheard := e.lastSeenAt < a.sentAt+g.cfg.ProgressInterval && g.now-e.lastSeenAt > minSilence
		if age > silenceEstimateRatio*a.estimate && unheard {
			silent++
		}
	}
	return silent
}

// reviewOverdue takes in that an attempt has come to another multiple of its estimate. A lost answer shows
// nothing of slowness; where progress notes show what runs, no answer is presumed lost for that.
func (g *Gateway) reviewOverdue(a *attempt, age float64) {
	lost := a.presumedLost && g.cfg.ProgressInterval == 0
	if age <= a.overdueRatio*a.estimate || a.cancelled || lost {
		return
	}
	g.learnOverdue(a)
	a.overdueRatio *= overdueStep
	if a.overdueRatio > presumedLostRatio && !a.presumedLost {
		// A lost answer would hold its capacity until the client gives up.
		g.releaseThreads(a)
		a.presumedLost = true
		a.engine.failed++
	}
}

// isOverdueForRetry reports whether an attempt is to be cancelled and its query sent again: it is far past
// what the estimate is now, and no note shows that it runs. Its answer was lost, or it has a bad plan;
// either way a fresh attempt should end first, as long as one fits. Where engines are only slow this
// doubles the work.
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

// leavesTimeToRepeat reports whether repeats of an attempt are still dropped once its query may be sent
// again.
func (g *Gateway) leavesTimeToRepeat(a *attempt) bool {
	window := a.query.class.DeduplicationWindow - g.cfg.Rules.OrderSettleDelay - tickInterval
	return g.now-a.sentAt <= window
}
