package cresspass

import (
	"math"
	"time"
)

const (
	loadReportGain     = 0.2                    // gain of a kind's load, per report
	loadReportHalfLife = 500 * time.Millisecond // of a report, decaying towards the kind's average
	maxReportedLoad    = 16.0                   // bound of reported threads per core and of x0
)

// The names of the load report values that are used.
const (
	loadReportConcurrent = "concurrent" // queries that run on the engine
	loadReportMemory     = "x0"         // granted memory over the engine's memory
)

// applyLoadReport applies an engine's report of the queries that it runs and the memory that it granted,
// unless peers report load. It sets the threads of other gateways in the engine's mix. Engines of one kind
// that report seldom are assumed to have the same load. Reports are late, noisy and possibly wrong, so they
// are clipped and decay.
func (g *Gateway) applyLoadReport(e *engine, values []float64) {
	if g.pressure.peersReport(g.now) || len(values) != len(g.cfg.LoadReportFields) {
		return
	}
	threads := -1.0
	for i, name := range g.cfg.LoadReportFields {
		switch v := values[i]; {
		case math.IsNaN(v) || v < 0:
		case name == loadReportConcurrent: // our own queries show how many threads a query has
			threads = math.Max(0, v-e.queryCount()) * g.meanThreadsPerQuery(e.kind)
		case name == loadReportMemory:
			e.grantedMemory = math.Min(v, maxReportedLoad)
			e.kind.grantedMemory += loadReportGain * (e.grantedMemory - e.kind.grantedMemory)
		}
	}
	if threads < 0 {
		return
	}
	threads = math.Min(threads, maxReportedLoad*e.kind.cores)
	e.kind.reportedLoad += loadReportGain * (threads/e.kind.cores - e.kind.reportedLoad)
	g.pressure.threadsPerCore, g.pressure.loadReportAt = g.meanKindLoad(), g.now
	g.integrateMix(e)
	*e.othersThreads(), e.loadKnownAt = threads*g.unobservedShare(e), g.now
}

// meanThreadsPerQuery returns the mean threads of our queries that ran on engines of a kind, weighted by
// their running time. It counts an additional second of one thread, so it is 1 if none ran.
func (g *Gateway) meanThreadsPerQuery(k *kind) float64 {
	queries, threads := 1.0, 1.0
	for _, e := range g.engineList {
		if e.kind != k {
			continue
		}
		for j, c := range g.classList {
			queries, threads = queries+e.runningSeconds[j], threads+e.runningSeconds[j]*c.threads
		}
	}
	return threads / queries
}

// meanKindLoad returns the mean reported load of the active engines' kinds, weighted by cores, in threads per
// core.
func (g *Gateway) meanKindLoad() float64 {
	if g.cores == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range g.engineList {
		if e.active {
			sum += e.kind.reportedLoad * e.kind.cores
		}
	}
	return sum / g.cores
}

// loadDecay holds the factors by which values of engines decay in one tick.
type loadDecay struct {
	slowness, latency, recentSends, others float64
	freshFor                               time.Duration // after a report, others' load stays for this time
}

func (g *Gateway) newLoadDecay() loadDecay {
	d := loadDecay{
		slowness: decayFactor(slownessHalfLife), latency: decayFactor(latencyHalfLife),
		recentSends: decayFactor(peerReportInterval), others: decayFactor(peerLoadHalfLife),
		freshFor: peerLoadHalfLife,
	}
	if g.pressure.loadReportAt > g.pressure.peerLoadAt {
		// Other gateways act on load reports too, so a report is soon out of date.
		d.freshFor, d.others = 0, decayFactor(loadReportHalfLife)
	}
	return d
}

// decayKindLoads decays the load of the fleet and of its kinds by one tick.
func (g *Gateway) decayKindLoads() {
	g.pressure.threadsPerCore *= decayFactor(peerLoadHalfLife)
	keep := decayFactor(kindLoadHalfLife)
	for _, k := range g.kinds { // in any order, as kinds are independent
		k.reportedLoad, k.grantedMemory = k.reportedLoad*keep, k.grantedMemory*keep
	}
}

// decayLoad decays the values of an engine by one tick. Without reports the engine's load moves to that of
// its kind: if it moved to zero, the engine would come to look free.
func (g *Gateway) decayLoad(e *engine, d loadDecay) {
	e.logSlowness, e.limiter.logLatency = e.logSlowness*d.slowness, e.limiter.logLatency*d.latency
	others := e.othersThreads()
	decayed := e.recentSends * (1 - d.recentSends)
	e.recentSends, *others = e.recentSends-decayed, math.Max(0, *others-decayed)
	if g.now-e.loadKnownAt > d.freshFor {
		*others += (1 - d.others) * (e.kind.reportedLoad*g.unobservedShare(e)*e.kind.cores - *others)
		e.grantedMemory += (1 - d.others) * (e.kind.grantedMemory - e.grantedMemory)
	}
}
