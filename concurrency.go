package cresspass

import (
	"math"
	"time"
)

const (
	pressureLatencyRatio     = 2.0              // latency over best above which the thread limit is enforced
	lowLatencyRatio          = 1.5              // latency over best below which the limit is raised
	latencyGain              = 0.15             // gain of an engine's latency, per answer
	latencyHalfLife          = kindLoadHalfLife // of latency, decaying towards the best
	rejectionPressureTime    = time.Second      // how long an engine that rejected work is under pressure
	threadLimitStep          = 1.0              // threads added per limit's worth of outcomes near best
	threadLimitEnforcedRatio = 2.0              // at this multiple of our share of cores it is enforced
	maxThreadLimitPerCore    = 1.5              // low latency raises the limit to at most this per core
	threadLimitUsedShare     = 0.5              // the limit is raised only while this share of it is in use
	threadLimitCutFactor     = 0.9              // a cut is to this share, at most once per answer time
	fleetThreadLimitRatio    = 8.0              // under pressure: most threads of ours, in fair shares
)

// threadLimiter limits the threads that this gateway runs on one engine while the engine is under pressure.
// The limit is raised near the best latency and cut as latency grows.
type threadLimiter struct {
	limit          float64
	logLatency     float64       // logarithm of the recent latency over the best
	cutAt          time.Duration // no further cut until then
	rejectingUntil time.Duration // under pressure until then, because it rejected work
}

// reset sets the limiter to its initial state, for an engine whose process or machine is new.
func (l *threadLimiter) reset(limit float64) { l.limit, l.logLatency = limit, 0 }

// recordRejection puts the engine under pressure and cuts its limit after it rejected an attempt.
func (l *threadLimiter) recordRejection(now time.Duration, ownThreads float64) {
	l.rejectingUntil = now + rejectionPressureTime
	l.limit = math.Max(1, ownThreads*threadLimitCutFactor)
}

// fairShare returns our share of all cores, at least 1. If gateways outnumber cores, limits of one thread per
// engine never take effect.
func (g *Gateway) fairShare() float64 { return math.Max(1, g.cores/g.gatewayCount) }

// initialThreadLimit returns our share of an engine's cores, at least 1. Cuts for latency do not go below it.
func (g *Gateway) initialThreadLimit(e *engine) float64 {
	return math.Max(1, e.kind.cores/g.gatewayCount)
}

// fleetThreadsFull reports whether our threads on all engines have reached their limit. It applies only under
// pressure.
func (g *Gateway) fleetThreadsFull() bool {
	return g.pressure.level > 1 && g.ownThreads >= fleetThreadLimitRatio*g.fairShare()
}

// isUnderPressure reports whether an engine is slow while we use a good part of our share of it.
func (g *Gateway) isUnderPressure(e *engine) bool {
	return e.limiter.logLatency > math.Log(pressureLatencyRatio) &&
		e.ownThreads >= threadLimitUsedShare*g.initialThreadLimit(e)
}

// atThreadLimit reports whether the thread limit keeps further queries from an engine. It is enforced only
// under pressure. Latency shows pressure late, and while other engines are at their limits, all queries go
// to one that still looks unloaded. So an engine that runs threadLimitEnforcedRatio times our share of its
// cores counts as under pressure too.
func (g *Gateway) atThreadLimit(e *engine) bool {
	l := &e.limiter
	rejecting := g.now < l.rejectingUntil
	enforced := l.logLatency > math.Log(pressureLatencyRatio) || rejecting ||
		e.ownThreads >= threadLimitEnforcedRatio*g.initialThreadLimit(e)
	return enforced && e.ownThreads >= l.limit || rejecting && e.ownThreads == 0
}

// adaptThreadLimit raises the limit near the best latency and cuts it as latency grows. took is the time of
// the answered attempt, in seconds.
func (g *Gateway) adaptThreadLimit(e *engine, c *class, logLatency, took float64) {
	l := &e.limiter
	l.logLatency += latencyGain * (logLatency - l.logLatency)
	latency := math.Exp(l.logLatency)
	switch {
	case latency < lowLatencyRatio && !g.pressure.overloaded:
		if e.ownThreads >= threadLimitUsedShare*l.limit { // an unused limit is not raised
			maxLimit := math.Max(maxThreadLimitPerCore*e.kind.cores, 1)
			l.limit = math.Min(l.limit+threadLimitStep*c.threads/l.limit, maxLimit)
		}
	case latency > pressureLatencyRatio && g.now > l.cutAt:
		used := math.Min(l.limit, e.ownThreads+c.threads)
		l.limit = math.Max(g.initialThreadLimit(e), used*threadLimitCutFactor)
		l.cutAt = g.now + time.Duration(took*float64(time.Second))
	}
}
