package cresspass

import "time"

const (
	failureRateGain          = 0.2                    // gain of an engine's share of failed attempts
	ejectFailureRate         = 0.4                    // share of failures from which an engine is ejected
	ejectConsecutiveFailures = 3                      // failures in a row from which it is ejected
	silenceEstimateRatio     = 3.0                    // an unheard attempt so far over its estimate
	minSilence               = 700 * time.Millisecond // a shorter pause is no silence
	silentAttemptsToEject    = 2                      // attempts that must show silence
	probationSuccessesNeeded = 2                      // answers after which an ejected engine is back
	baseEjectionTime         = time.Second            // doubled with each ejection in a row...
	maxEjectionTime          = 5 * time.Second        // ...up to this
)

// outlierState detects an engine that fails, ejects it for a while, and lets it back by way of a probation,
// during which it gets one attempt at a time.
type outlierState struct {
	failureRate         float64 // recent share of failed attempts
	consecutiveFailures int
	ejected             bool
	checkingHealth      bool // a health check is under way
	onProbation         bool
	probationSuccesses  int
	ejectedUntil        time.Duration
	ejectionTime        time.Duration // doubles with each ejection in a row
}

// recordSuccess and recordFailure take in whether an attempt was answered. Failures are evidence about the
// engine, never about interference, so they stay out of the fit.
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

// eject keeps queries from an engine for a while, longer each time it fails its probation.
func (o *outlierState) eject(now time.Duration) {
	o.ejected, o.onProbation, o.checkingHealth, o.probationSuccesses = true, false, false, 0
	o.ejectionTime = min(max(baseEjectionTime, o.ejectionTime*2), maxEjectionTime)
	o.ejectedUntil = now + o.ejectionTime
}

// avoidsOutlier reports whether a query is kept from an ejected engine: unless so many are that it is no
// outlier, or the query is the one attempt of its probation.
func (g *Gateway) avoidsOutlier(q *query, e *engine) bool {
	if !e.outlier.ejected || g.mostEjected {
		return false
	}
	return !e.outlier.onProbation || len(e.running) > 0 || q.class.Effect == NotIdempotent
}

// ejectSilent ejects an engine that answers nothing, and cancels what may run elsewhere.
func (g *Gateway) ejectSilent(e *engine) {
	e.outlier.eject(g.now)
	for _, a := range e.running {
		if !a.query.done && a.query.class.Effect != NotIdempotent && g.mayAttempt(a.query) {
			g.cancelAttempt(a)
		}
	}
}

// retryEjected checks the health of an engine whose ejection is over, or puts it on probation at once where
// no health checks are possible.
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

// handleReportedDown takes other gateways' report that an engine is dead, where nothing was seen of it
// here. The report may be old or a lie, so it costs the engine one health check, no more.
func (g *Gateway) handleReportedDown(e *engine) {
	if e != nil && e.lastSeenAt == e.knownSince && !e.outlier.ejected && len(e.running) == 0 {
		e.outlier.eject(g.now)
	}
}
