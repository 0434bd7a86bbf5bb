package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	firstOverdueRatio   = 2.0 // a running query this many times over its estimate counts as a lower bound
	presumedLostRatio   = 4.0 // one so many times over, its answer is taken for lost
	badPlanRatio        = 2.5 // a projected run this many times over its estimate is a bad plan
	overdueCancelRatio  = 3.0 // so is one so far over it of which nothing is heard; or its answer is lost
	retryAdvantageRatio = 1.3 // what is left must exceed a fresh run's estimate by this ratio
	maxEarlyCancels     = 2   // a query that is long every time is just long
	unknownCostSpread   = 2.0 // limits of bad plans are so much wider without a told cost
)

// mayAttempt guards, for every send, what concerns the query alone: rule 1 (nothing after its end), the
// effects of a repeat (rule 2) and the budget of further attempts (rule 7).
func (g *Gateway) mayAttempt(q *query) bool {
	if q.done || g.now >= q.deadline || g.cfg.MaxAttempts > 0 && q.attemptCount >= g.cfg.MaxAttempts ||
		q.stickyEngine != "" && q.attemptCount > 0 {
		return false
	}
	if q.firstMaybeRan != nil {
		if q.class.Effect == NotIdempotent ||
			q.class.Effect == IdempotentWithKey &&
				g.now-q.firstMaybeRan.sentAt > q.class.DeduplicationWindow-g.replyMargin() {
			return false
		}
	}
	return q.attemptCount == 0 || g.hasRetryBudget()
}

// hasRetryBudget is rule 7. Queries are counted over a little less than the window and attempts over a
// little more, so that no reading of its edges breaks it.
func (g *Gateway) hasRetryBudget() bool {
	r := &g.cfg.Rules
	if !r.HasRetryBudget {
		g.arrivals, g.retries = g.arrivals[:0], g.retries[:0]
		return true
	}
	from := g.now - r.RetryBudgetWindow
	g.arrivals = slices.DeleteFunc(
		g.arrivals,
		func(at time.Duration) bool { return at <= from+g.replyMargin() },
	)
	g.retries = slices.DeleteFunc(g.retries, func(at time.Duration) bool { return at < from-g.replyMargin() })
	return float64(len(g.retries)+1) <= r.RetryBudgetFree+r.RetryBudgetRatio*float64(len(g.arrivals))
}

// mayCancelForRetry reports whether an attempt may be called off so that its query is sent again.
func (g *Gateway) mayCancelForRetry(a *attempt) bool {
	return !a.query.done && !a.cancelled && a.query.earlyCancels < maxEarlyCancels && g.mayAttempt(a.query)
}

func (g *Gateway) cancelForRetry(a *attempt) {
	a.query.earlyCancels++
	g.cancelAttempt(a)
}

// isOverdue reports whether an attempt is to be called off and its query sent again: it is far past what Est
// says now, and no note shows that it runs. Its answer was lost, or it has a bad plan; either way a fresh
// attempt should end first, as long as one fits. Danger: where engines are only slow this doubles the work.
func (g *Gateway) isOverdue(a *attempt, age float64) bool {
	q := a.query
	switch {
	case !g.mayCancelForRetry(a) || q.class.Effect == NotIdempotent:
		return false
	case q.class.Effect == IdempotentWithKey && g.now-a.sentAt > q.class.DeduplicationWindow-g.cfg.Rules.OrderSettleDelay-tickInterval:
		return false
	case g.cfg.ProgressInterval > 0 && g.now-max(a.sentAt, a.notedAt) < 2*g.cfg.ProgressInterval+tickInterval:
		return false
	}
	est := math.Max(a.estimate, g.estimate(q, a.engine))
	return age > overdueCancelRatio*q.estimateSpread*est && est < g.remainingTime(q)
}
