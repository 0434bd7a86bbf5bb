package cresspass

import (
	"math"
	"time"
)

const (
	pressureLatencyRatio     = 2.0              // latency over base above which the thread limit is enforced
	lowLatencyRatio          = 1.5              // latency over base below which the limit is raised
	latencyGain              = 0.15             // gain of an engine's latency, per answer or overdue attempt
	latencyHalfLife          = kindLoadHalfLife // of latency, decaying towards the base
	rejectionPressureTime    = time.Second      // how long an engine that rejected work is under pressure
	threadLimitStep          = 1.0              // threads added per limit's worth of low-latency answers
	threadLimitEnforcedRatio = 2.0              // own threads over our share of cores that enforce the limit
	maxThreadLimitPerCore    = 1.5              // low latency raises the limit to at most this per core
	threadLimitUsedShare     = 0.5              // least share in use for a raise and for isUnderPressure
	threadLimitCutFactor     = 0.9              // a cut is to this share of the threads in use
	fleetThreadLimitRatio    = 8.0              // under pressure: limit on all our threads, in fair shares
)

// threadLimiter limits the threads that this gateway runs on one engine while the engine is under pressure.
// The limit is raised while latency is near the base, the time on an unloaded engine, and cut as latency
// grows.
type threadLimiter struct {
	limit          float64
	logLatency     float64       // logarithm of the recent latency over the base
	cutAt          time.Duration // no further cut for latency until then
	rejectingUntil time.Duration // under pressure until then, because it rejected work
}

// reset sets the limit and forgets the latency, for an engine whose process or machine is new.
func (l *threadLimiter) reset(limit float64) { l.limit, l.logLatency = limit, 0 }

// recordRejection records that the engine rejected an attempt: it cuts the limit and keeps the engine under
// pressure for rejectionPressureTime. ownThreads is the number of our threads on the engine.
func (l *threadLimiter) recordRejection(now time.Duration, ownThreads float64) {
	l.rejectingUntil = now + rejectionPressureTime
	l.limit = math.Max(1, ownThreads*threadLimitCutFactor)
}

// fairShare returns our share of all cores, at least 1. fleetThreadsFull limits our threads on all engines by
// it, because the limit of each engine is at least one thread, which never takes effect if gateways outnumber
// cores.
func (g *Gateway) fairShare() float64 { return math.Max(1, g.cores/g.gatewayCount) }

// initialThreadLimit returns our share of an engine's cores, at least 1. Cuts for latency do not lower the
// limit further.
func (g *Gateway) initialThreadLimit(e *engine) float64 {
	return math.Max(1, e.kind.cores/g.gatewayCount)
}

// fleetThreadsFull reports whether our threads on all engines together have reached their limit. The limit
// applies only while the pressure's level is above 1.
func (g *Gateway) fleetThreadsFull() bool {
	return g.pressure.level > 1 && g.ownThreads >= fleetThreadLimitRatio*g.fairShare()
}

// isUnderPressure reports whether an engine is slow while we use at least threadLimitUsedShare of our share
// of its cores.
func (g *Gateway) isUnderPressure(e *engine) bool {
	return e.limiter.logLatency > math.Log(pressureLatencyRatio) &&
		e.ownThreads >= threadLimitUsedShare*g.initialThreadLimit(e)
}

// atThreadLimit reports whether the thread limit keeps further queries from an engine. The limit is enforced
// only under pressure. Latency shows pressure late, and while other engines are at their limits, all queries
// go to an engine that still looks unloaded. So an engine on which our threads reach threadLimitEnforcedRatio
// times our share of its cores counts as under pressure too. An engine that rejected work within
// rejectionPressureTime gets nothing more from a gateway that runs nothing on it.
func (g *Gateway) atThreadLimit(e *engine) bool {
	l := &e.limiter
	rejecting := g.now < l.rejectingUntil
	enforced := l.logLatency > math.Log(pressureLatencyRatio) || rejecting ||
		e.ownThreads >= threadLimitEnforcedRatio*g.initialThreadLimit(e)
	return enforced && e.ownThreads >= l.limit || rejecting && e.ownThreads == 0
}

// adaptThreadLimit raises the limit while latency is near the base and there is no overload, and cuts it, at
// most once per took, while latency is high. logLatency is the logarithm of the answered attempt's latency
// over its base, took its time in seconds.
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
