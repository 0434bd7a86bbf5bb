package cresspass

import (
	"math"
	"time"
)

const (
	loadReportGain     = 0.2                    // gain of a kind's load, fed by every report
	loadReportHalfLife = 500 * time.Millisecond // of a report, towards what the kind reports on average
	maxReportedLoad    = 16.0                   // a report counts as at most so many threads a core
)

// The names of the values in a load report that are used.
const (
	loadReportConcurrent = "concurrent" // queries that the engine runs
	loadReportMemory     = "x0"         // memory granted over its memory
)

// applyLoadReport takes in what an engine reports of the queries it runs, where no peer reports them: the
// place of unseen threads in the estimate is filled from it, and like engines of which little is heard are
// taken to be alike. Reports are late, noisy and perhaps wrong, so they are clipped, and decay.
func (g *Gateway) applyLoadReport(e *engine, values []float64) {
	if g.pressure.peersReport(g.now) || len(values) != len(g.cfg.LoadReportFields) {
		return
	}
	threads := -1.0
	for i, name := range g.cfg.LoadReportFields {
		switch v := values[i]; {
		case math.IsNaN(v) || v < 0:
		case name == loadReportConcurrent: // ours show how many threads a query has
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
	g.pressure.threadsACore, g.pressure.loadReportAt = g.meanKindLoad(), g.now
	g.integrateMix(e)
	*e.othersThreads(), e.loadKnownAt = threads*g.unobservedShare(e), g.now
}

// meanThreadsPerQuery is the mean number of threads of our queries that ran on engines of a kind.
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

// meanKindLoad is the kinds' load over all active engines, by their cores.
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

// loadDecay is how what is known of engines decays in a tick.
type loadDecay struct {
	slowness, latency, recentSends, others float64
	freshFor                               time.Duration // others' load stands for so long
}

func (g *Gateway) newLoadDecay() loadDecay {
	d := loadDecay{
		slowness: decayFactor(slownessHalfLife), latency: decayFactor(latencyHalfLife),
		recentSends: decayFactor(peerReportInterval), others: decayFactor(peerLoadHalfLife),
		freshFor: peerLoadHalfLife,
	}
	if g.pressure.loadReportAt > g.pressure.peerLoadAt { // others act on it too, so it soon ceases to hold
		d.freshFor, d.others = 0, decayFactor(loadReportHalfLife)
	}
	return d
}

// decayKindLoads lets what is known of the fleet and its kinds decay.
func (g *Gateway) decayKindLoads() {
	g.pressure.threadsACore *= decayFactor(peerLoadHalfLife)
	keep := decayFactor(kindLoadHalfLife)
	for _, k := range g.kinds { // in any order: they are independent
		k.reportedLoad, k.grantedMemory = k.reportedLoad*keep, k.grantedMemory*keep
	}
}

// decayLoad lets what is known of an engine decay. One of which nothing is reported would come to look
// free, so its load drifts to that of its kind instead.
func (g *Gateway) decayLoad(e *engine, d loadDecay) {
	e.logSlowness, e.limiter.logLatency = e.logSlowness*d.slowness, e.limiter.logLatency*d.latency
	others := e.othersThreads()
	faded := e.recentSends * (1 - d.recentSends)
	e.recentSends, *others = e.recentSends-faded, math.Max(0, *others-faded)
	if g.now-e.loadKnownAt > d.freshFor {
		*others += (1 - d.others) * (e.kind.reportedLoad*g.unobservedShare(e)*e.kind.cores - *others)
		e.grantedMemory += (1 - d.others) * (e.kind.grantedMemory - e.grantedMemory)
	}
}
