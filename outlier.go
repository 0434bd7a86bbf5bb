package cresspass

import "time"

const (
	failureRateGain          = 0.2                    // gain of an engine's share of failed attempts
	ejectFailureRate         = 0.4                    // an engine is ejected from this share of failures
	ejectConsecutiveFailures = 3                      // ...or from this many consecutive failures
	silenceEstimateRatio     = 3.0                    // multiple of the estimate beyond which silence counts
	minSilence               = 700 * time.Millisecond // a shorter pause of the engine is not silence
	silentAttemptsToEject    = 2                      // attempts that must show silence for an ejection
	probationSuccessesNeeded = 2                      // answers on probation that end an ejection
	baseEjectionTime         = time.Second            // doubled with each ejection in a row...
	maxEjectionTime          = 5 * time.Second        // ...up to this
)

// outlierState detects an engine that fails and ejects it for a while. The engine returns after a probation,
// in which it gets one attempt at a time.
type outlierState struct {
	failureRate         float64 // recent share of failed attempts
	consecutiveFailures int
	ejected             bool
	checkingHealth      bool // a health check is in progress
	onProbation         bool
	probationSuccesses  int
	ejectedUntil        time.Duration
	ejectionTime        time.Duration // of the last ejection; doubles with each further one in a row
}

// recordSuccess and recordFailure record the result of an attempt. Failures are evidence about the engine,
// not about interference, so they do not update the weights.
func (o *outlierState) recordSuccess() {
	o.failureRate -= failureRateGain * o.failureRate
	o.consecutiveFailures = 0
	if !o.ejected || !o.onProbation {
		return
	}
	if o.probationSuccesses++; o.probationSuccesses >= probationSuccessesNeeded {
		o.ejected, o.onProbation, o.ejectionTime, o.failureRate = false, false, 0, 0
	}
}

func (o *outlierState) recordFailure(now time.Duration) {
	o.failureRate += failureRateGain * (1 - o.failureRate)
	o.consecutiveFailures++
	failing := o.consecutiveFailures >= ejectConsecutiveFailures || o.failureRate >= ejectFailureRate
	if o.ejected && o.onProbation || !o.ejected && failing {
		o.eject(now)
	}
}

// eject keeps queries from an engine for a while. The time doubles with each ejection in a row.
func (o *outlierState) eject(now time.Duration) {
	o.ejected, o.onProbation, o.checkingHealth, o.probationSuccesses = true, false, false, 0
	o.ejectionTime = min(max(baseEjectionTime, o.ejectionTime*2), maxEjectionTime)
	o.ejectedUntil = now + o.ejectionTime
}

// avoidsOutlier reports whether a query must not go to an engine because it is ejected. If most engines are
// ejected, none is an outlier and all may be used. An engine on probation may get one attempt at a time, of a
// query that can be repeated.
func (g *Gateway) avoidsOutlier(q *query, e *engine) bool {
	if !e.outlier.ejected || g.mostEjected {
		return false
	}
	return !e.outlier.onProbation || len(e.running) > 0 || q.class.Effect == NotIdempotent
}

// ejectSilent ejects an engine that does not respond, and cancels its attempts whose queries can be retried.
func (g *Gateway) ejectSilent(e *engine) {
	e.outlier.eject(g.now)
	for _, a := range e.running {
		if !a.query.done && a.query.class.Effect != NotIdempotent && g.mayAttempt(a.query) {
			g.cancelAttempt(a)
		}
	}
}

// retryEjected starts a health check of an engine whose ejection time is over. If health checks are not
// allowed it puts the engine on probation at once.
func (g *Gateway) retryEjected(e *engine) {
	o := &e.outlier
	if g.now < o.ejectedUntil || o.onProbation || o.checkingHealth {
		return
	}
	if o.checkingHealth = g.cfg.MayCheckHealth; o.checkingHealth {
		g.emit(Action{Type: CheckHealth, Engine: e.ID})
	} else {
		o.onProbation = true
	}
}

func (g *Gateway) handleHealthCheck(ev *Event) {
	e := g.engines[ev.Engine]
	if e == nil {
		return
	}
	if ev.HasLoadReport {
		g.applyLoadReport(e, ev.LoadReport)
	}
	if !e.outlier.checkingHealth {
		return
	}
	e.outlier.checkingHealth, e.outlier.onProbation = false, ev.Outcome == OutcomeOK
	if !e.outlier.onProbation {
		e.outlier.eject(g.now)
	}
}

// handleReportedDown handles other gateways' report that an engine is down. The report counts only if this
// gateway has had no response from the engine and runs no attempt on it. The report may be old or false, so
// it causes no more than one ejection, which a health check and a probation can end like any other.
func (g *Gateway) handleReportedDown(e *engine) {
	if e != nil && e.lastSeenAt == e.knownSince && !e.outlier.ejected && len(e.running) == 0 {
		e.outlier.eject(g.now)
	}
}
