package cresspass

import (
	"time"
)

const (
	failureRateGain          = 0.2 // gain of an engine's share of failed attempts
	ejectFailureRate         = 0.4 // share of failures from which an engine is sick
	ejectConsecutiveFailures = 3   // failures in a row from which it is sick
	silenceEstimateRatio     = 3.0 // an attempt this far over its estimate, nothing heard since, is a sign of silence
	minSilence               = 700 * time.Millisecond
	silentAttemptsToEject    = 2 // attempts that must show silence
	probationSuccessesNeeded = 2 // answered trials after which an engine is well again
	baseEjectionTime         = time.Second
	maxEjectionTime          = 5 * time.Second
)

// recordHealth takes in whether an attempt was answered. Failures are evidence about the engine, never about
// interference, so they stay out of the fit.
func (g *Gateway) recordHealth(e *engine, ok bool) {
	if ok {
		e.failureRate -= failureRateGain * e.failureRate
		e.consecutiveFailures = 0
		if e.ejected && e.onProbation {
			if e.probationSuccesses++; e.probationSuccesses >= probationSuccessesNeeded {
				e.ejected, e.onProbation, e.ejectionTime, e.failureRate = false, false, 0, 0
			}
		}
		return
	}
	e.failureRate += failureRateGain * (1 - e.failureRate)
	e.consecutiveFailures++
	if e.ejected && e.onProbation ||
		!e.ejected &&
			(e.consecutiveFailures >= ejectConsecutiveFailures || e.failureRate >= ejectFailureRate) {
		g.eject(e)
	}
}

// eject keeps queries from an engine for a while, longer each time it fails its trials.
func (g *Gateway) eject(e *engine) {
	e.ejected, e.onProbation, e.checkingHealth, e.probationSuccesses = true, false, false, 0
	e.ejectionTime = min(max(baseEjectionTime, e.ejectionTime*2), maxEjectionTime)
	e.ejectedUntil = g.now + e.ejectionTime
}

func (g *Gateway) handleHealthCheck(ev *Event) {
	e := g.engines[ev.Engine]
	if e != nil && ev.HasLoadReport {
		g.applyLoadReport(e, ev.LoadReport)
	}
	if e != nil && e.checkingHealth {
		if e.checkingHealth, e.onProbation = false, ev.Outcome == OutcomeOK; !e.onProbation {
			g.eject(e)
		}
	}
}

// handleReportedDown takes others' word that an engine is dead, where nothing was seen of it here. Danger:
// the word may be old or a lie, so it costs the engine one probe, no more.
func (g *Gateway) handleReportedDown(e *engine) {
	if e != nil && e.lastHeardAt == e.knownSince && !e.ejected && len(e.running) == 0 {
		g.eject(e)
	}
}
