package cresspass

import (
	"math"
	"time"
)

const (
	loadReportGain     = 0.2                    // gain of a kind's crowding, fed by every report
	loadReportHalfLife = 500 * time.Millisecond // of a report, towards what the kind reports on average
	maxReportedLoad    = 16.0                   // a report counts as at most so many threads a core
)

// applyLoadReport takes in what an engine tells of the queries it holds, where no peer tells of them: the
// place of unseen threads in Est is filled from it, and like engines of which little is heard are taken to
// be alike. Danger: reports are late, noisy and perhaps wrong, so they are clipped, and fade.
func (g *Gateway) applyLoadReport(e *engine, values []float64) {
	if g.now-g.peerLoadAt < peerLoadHalfLife || len(values) != len(g.cfg.LoadReportFields) {
		return
	}
	threads := -1.0
	for i, name := range g.cfg.LoadReportFields {
		switch v := values[i]; {
		case math.IsNaN(v) || v < 0:
		case name == "concurrent": // queries, of which ours show how many threads each has
			threads = math.Max(0, v-e.queryCount()) * g.meanThreadsPerQuery(e.kind)
		case name == "x0": // share of its memory that is granted
			e.grantedMemory = math.Min(v, maxReportedLoad)
			e.kind.grantedMemory += loadReportGain * (e.grantedMemory - e.kind.grantedMemory)
		}
	}
	if threads < 0 {
		return
	}
	threads = math.Min(threads, maxReportedLoad*e.kind.cores)
	e.kind.reportedLoad += loadReportGain * (threads/e.kind.cores - e.kind.reportedLoad)
	g.fleetLoad, g.loadReportAt = g.meanKindLoad(), g.now
	g.integrateMix(e)
	e.runningCount[len(g.classList)], e.loadKnownAt = threads*g.unobservedShare(e), g.now
}

// meanThreadsPerQuery is the mean number of threads of our queries that ran on engines of a kind.
func (g *Gateway) meanThreadsPerQuery(k *kind) float64 {
	queries, threads := 1.0, 1.0
	for _, e := range g.engineList {
		if e.kind == k {
			for j, c := range g.classList {
				queries, threads = queries+e.runningSeconds[j], threads+e.runningSeconds[j]*c.threads
			}
		}
	}
	return threads / queries
}

// meanKindLoad is the kinds' crowding over all engines on the list, by their cores.
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
