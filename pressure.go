package cresspass

import (
	"math"
	"sort"
	"time"
)

const (
	slownessHalfLife     = 40 * time.Second // at full size an engine gives an outcome every 10 s or so
	calmSlowness         = 2.0              // of the fleet, that is no pressure, where load is not reported
	targetThreadsPerCore = 1.3              // over the fleet, that the margin aims at
	marginGain           = 0.5              // part of the level's logarithm that the margin takes up a second
	minPressure          = 0.25             // less pressure lets the margin fall no faster
	maxMargin            = 8.0              // more would reject all but the shortest queries
	overloadedOneIn      = 3                // one engine in so many under pressure is an overload
)

// loadPressure says how the fleet's load compares to what it bears, and how wide a margin estimates need
// for it.
type loadPressure struct {
	level        float64       // over 1: more than it bears
	margin       float64       // by which estimates must fit; grows while the level stays over 1
	overloaded   bool          // the level is over 1, or many engines are under pressure
	threadsACore float64       // over the whole fleet, as reported
	peerLoadAt   time.Duration // when peers last reported load
	loadReportAt time.Duration // when engines last reported load
}

func newLoadPressure() loadPressure {
	return loadPressure{margin: 1, peerLoadAt: -peerLoadHalfLife, loadReportAt: -peerLoadHalfLife}
}

// peersReport reports whether peers have reported load of late.
func (p *loadPressure) peersReport(now time.Duration) bool {
	return now-p.peerLoadAt < peerLoadHalfLife
}

// update computes level, margin and overload from the fleet's slowness, reported load and the engines'
// state.
func (p *loadPressure) update(now time.Duration, fleetLogSlowness float64, census fleetCensus) {
	p.level = math.Exp(fleetLogSlowness) / calmSlowness
	if now-max(p.peerLoadAt, p.loadReportAt) < peerLoadHalfLife {
		p.level = p.threadsACore / targetThreadsPerCore
	}
	step := -1.0 // without reports the margin falls back: slowness alone may be no overload, and stay
	if p.peersReport(now) {
		step = math.Log(math.Max(p.level, minPressure))
	}
	p.margin = min(max(p.margin*math.Exp(step*marginGain*tickInterval.Seconds()), 1), maxMargin)
	p.overloaded = p.level > 1 || census.underPressure*overloadedOneIn > census.active
}

// updateExcessSlowness sets what each engine is slower than the median. Median and slowness are of the same
// tick: with many outcomes a tick, slowness as it is now and a median of before would chase one another.
func (g *Gateway) updateExcessSlowness() {
	if sort.Float64s(g.slownesses); len(g.slownesses) > 0 {
		g.medianLogSlowness = g.slownesses[len(g.slownesses)/2]
	}
	for _, e := range g.engineList {
		e.excessLogSlowness = e.logSlowness - g.medianLogSlowness
	}
}
