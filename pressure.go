package cresspass

import (
	"math"
	"sort"
	"time"
)

const (
	slownessHalfLife     = 40 * time.Second // a full-size fleet has an outcome per engine every 10 s or so
	fullLoadSlowness     = 2.0              // fleet slowness at which level is 1, without load reports
	targetThreadsPerCore = 1.3              // reported fleet load at which level is 1: the margin's target
	marginGain           = 0.5              // share of log(level) added to log(margin) per second
	minPressure          = 0.25             // lower levels do not make the margin fall faster
	maxMargin            = 8.0              // more would reject all but the shortest queries
	overloadedOneIn      = 3                // more than one engine in this many under pressure: an overload
)

// loadPressure holds how the fleet's load compares to its capacity, and the safety factor that estimates
// need because of it.
type loadPressure struct {
	level          float64       // load over capacity; above 1: too much
	margin         float64       // factor by which estimates must fit; grows while peers report level above 1
	overloaded     bool          // level is above 1, or many engines are under pressure
	threadsPerCore float64       // of the whole fleet, as reported
	peerLoadAt     time.Duration // when peers last reported load
	loadReportAt   time.Duration // when engines last reported load
}

func newLoadPressure() loadPressure {
	return loadPressure{margin: 1, peerLoadAt: -peerLoadHalfLife, loadReportAt: -peerLoadHalfLife}
}

// peersReport reports whether peers have reported load recently.
func (p *loadPressure) peersReport(now time.Duration) bool {
	return now-p.peerLoadAt < peerLoadHalfLife
}

// update computes level, margin and overloaded from the fleet's slowness, reported load and the engines'
// state.
func (p *loadPressure) update(now time.Duration, fleetLogSlowness float64, counts fleetCounts) {
	p.level = math.Exp(fleetLogSlowness) / fullLoadSlowness
	if now-max(p.peerLoadAt, p.loadReportAt) < peerLoadHalfLife {
		p.level = p.threadsPerCore / targetThreadsPerCore
	}
	step := -1.0 // without peers' reports the margin falls: lasting slowness may be no overload
	if p.peersReport(now) {
		step = math.Log(math.Max(p.level, minPressure))
	}
	p.margin = min(max(p.margin*math.Exp(step*marginGain*tickInterval.Seconds()), 1), maxMargin)
	p.overloaded = p.level > 1 || counts.underPressure*overloadedOneIn > counts.active
}

// updateExcessSlowness sets how much slower each engine is than the median. The median and the slownesses are
// of the same tick: with many outcomes per tick, comparing current slowness with an earlier median would be
// unstable.
func (g *Gateway) updateExcessSlowness() {
	if sort.Float64s(g.slownesses); len(g.slownesses) > 0 {
		g.medianLogSlowness = g.slownesses[len(g.slownesses)/2]
	}
	for _, e := range g.engineList {
		e.excessLogSlowness = e.logSlowness - g.medianLogSlowness
	}
}
