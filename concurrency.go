package cresspass

import (
	"math"
	"time"
)

const (
	pressureLatencyRatio     = 2.0              // latency over best from which the thread limit binds
	calmLatencyRatio         = 1.5              // latency over best under which it widens
	latencyGain              = 0.15             // of an engine's latency, fed by every outcome
	latencyHalfLife          = kindLoadHalfLife // of latency, while no outcome feeds it
	rejectionPressureTime    = time.Second      // an engine that rejected work is under pressure for so long
	threadLimitStep          = 1.0              // threads added for each limit's worth of outcomes near best
	threadLimitEnforcedRatio = 2.0              // from this many times its start it binds always...
	maxThreadLimitPerCore    = 1.5              // ...unless calm outcomes have widened it, to so many a core
	threadLimitUsedShare     = 0.5              // it widens only while this share of it is in use
	threadLimitCutFactor     = 0.9              // it is cut to this share, at most once a typical latency
	fleetThreadLimitRatio    = 8.0              // under pressure ours on all engines stay under so many parts
)

// threadLimiter limits the threads that this gateway runs on one engine while that is under pressure: the
// limit widens near the best latency and is cut as latency grows.
type threadLimiter struct {
	limit          float64
	logLatency     float64       // logarithm of the recent latency over the best
	cutAt          time.Duration // no further cut before it
	rejectingUntil time.Duration // under pressure until then: it rejected work
}

// reset starts the limiter anew for an engine whose process or machine is new.
func (l *threadLimiter) reset(limit float64) { l.limit, l.logLatency = limit, 0 }

// recordRejection takes in that the engine rejected an attempt.
func (l *threadLimiter) recordRejection(now time.Duration, ownThreads float64) {
	l.rejectingUntil = now + rejectionPressureTime
	l.limit = math.Max(1, ownThreads*threadLimitCutFactor)
}

// fairShare is our part of all cores: where gateways outnumber cores, limits of one thread an engine never
// bind.
func (g *Gateway) fairShare() float64 { return math.Max(1, g.cores/g.gatewayCount) }

// initialThreadLimit is our part of an engine's cores. No cut goes below it.
func (g *Gateway) initialThreadLimit(e *engine) float64 {
	return math.Max(1, e.kind.cores/g.gatewayCount)
}

// fleetThreadsFull reports whether ours run all that they may over all engines: under pressure only.
func (g *Gateway) fleetThreadsFull() bool {
	return g.pressure.level > 1 && g.ownThreads >= fleetThreadLimitRatio*g.fairShare()
}

// isUnderPressure reports whether an engine whose cores we use is slow.
func (g *Gateway) isUnderPressure(e *engine) bool {
	return e.limiter.logLatency > math.Log(pressureLatencyRatio) &&
		e.ownThreads >= threadLimitUsedShare*g.initialThreadLimit(e)
}

// atThreadLimit reports whether the thread limit keeps the next query from an engine: only under pressure.
// Latency shows pressure late, and while other engines are at their limits all queries pour into one that
// looks calm. So an engine filled with threadLimitEnforcedRatio times our part of its cores is under
// pressure as well.
func (g *Gateway) atThreadLimit(e *engine) bool {
	l := &e.limiter
	rejecting := g.now < l.rejectingUntil
	pressed := l.logLatency > math.Log(pressureLatencyRatio) || rejecting ||
		e.ownThreads >= threadLimitEnforcedRatio*g.initialThreadLimit(e)
	return pressed && e.ownThreads >= l.limit || rejecting && e.ownThreads == 0
}

// adaptThreadLimit widens the limit near the best latency and cuts it as latency grows.
func (g *Gateway) adaptThreadLimit(e *engine, c *class, logLatency, took float64) {
	l := &e.limiter
	l.logLatency += latencyGain * (logLatency - l.logLatency)
	latency := math.Exp(l.logLatency)
	switch {
	case latency < calmLatencyRatio && !g.pressure.overloaded:
		if e.ownThreads >= threadLimitUsedShare*l.limit { // a limit that is not felt needs no widening
			most := math.Max(maxThreadLimitPerCore*e.kind.cores, 1)
			l.limit = math.Min(l.limit+threadLimitStep*c.threads/l.limit, most)
		}
	case latency > pressureLatencyRatio && g.now > l.cutAt:
		used := math.Min(l.limit, e.ownThreads+c.threads)
		l.limit = math.Max(g.initialThreadLimit(e), used*threadLimitCutFactor)
		l.cutAt = g.now + time.Duration(took*float64(time.Second))
	}
}
