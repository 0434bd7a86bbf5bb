package cresspass

import (
	"math"
	"time"
)

const (
	pressureLatencyRatio     = 2.0 // latency over best from which the thread bound binds
	calmLatencyRatio         = 1.5 // latency over best under which it widens
	latencyGain              = 0.15
	rejectionPressureTime    = time.Second // an engine that turned work away is under pressure for so long
	threadLimitStep          = 1.0         // threads added for each bound's worth of outcomes near best
	threadLimitEnforcedRatio = 2.0         // from this many times its start it binds always...
	maxThreadLimitPerCore    = 1.5         // ...unless calm outcomes have widened it, to this many threads a core
	threadLimitUsedShare     = 0.5         // it widens only while this share of it is in use
	threadLimitCutFactor     = 0.9         // the bound shrinks to this share, at most once a typical latency
	fleetThreadLimitRatio    = 8.0         // under pressure ours over all engines stay under so many of our parts
)

// fairShare is our part of all cores: where gateways outnumber cores, bounds of one thread an engine never
// bind.
func (g *Gateway) fairShare() float64 { return math.Max(1, g.cores/g.gatewayCount) }

func (g *Gateway) initialThreadLimit(e *engine) float64 {
	return math.Max(1, e.kind.cores/g.gatewayCount)
}

// atThreadLimit reports whether the thread bound keeps the next query from an engine: only under pressure.
// Danger: latency shows pressure late, and while other engines are bound, all queries pour into one that
// looks calm. So an engine filled with threadLimitEnforcedRatio times our part of its cores is under
// pressure as well.
func (g *Gateway) atThreadLimit(e *engine) bool {
	pressed := e.logLatency > math.Log(pressureLatencyRatio) || g.now < e.rejectingUntil ||
		e.ownThreads >= threadLimitEnforcedRatio*g.initialThreadLimit(e)
	return pressed && e.ownThreads >= e.threadLimit || g.now < e.rejectingUntil && e.ownThreads == 0
}

// adaptThreadLimit widens the bound near the best latency and cuts it as latency grows.
func (g *Gateway) adaptThreadLimit(e *engine, c *class, ratio, took float64) {
	e.logLatency += latencyGain * (ratio - e.logLatency)
	latency := math.Exp(e.logLatency)
	switch {
	case latency < calmLatencyRatio && !g.overloaded:
		if e.ownThreads >= threadLimitUsedShare*e.threadLimit { // a bound that is not felt needs no widening
			e.threadLimit = math.Min(
				e.threadLimit+threadLimitStep*c.threads/e.threadLimit,
				math.Max(maxThreadLimitPerCore*e.kind.cores, 1),
			)
		}
	case latency > pressureLatencyRatio && g.now > e.limitCutAt:
		e.threadLimit = math.Max(
			g.initialThreadLimit(e),
			math.Min(e.threadLimit, e.ownThreads+c.threads)*threadLimitCutFactor,
		)
		e.limitCutAt = g.now + time.Duration(took*float64(time.Second))
	}
}
