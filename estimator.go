package cresspass

import "math"

// A gain is the share of an error that one outcome corrects.
const (
	baseGain            = 0.04 // least gain of a class's base; it is higher after few outcomes
	kindGain            = 0.10 // gain of a kind's weights
	engineGain          = 0.05 // gain of an engine's own deviation from its kind
	minBaseShare        = 0.02 // least base, as a share of the objective: below, network time dominates
	maxErrorRatio       = 4.0  // an outcome counts as at most this many times its estimate, or 1/this
	maxWeight           = 4.0  // a query adds at most this many times its threads' share of an engine
	initialOthersWeight = 0.25 // initial weight of other gateways' threads, over base and per core
	slownessGain        = 0.12 // gain of an engine's slowness; it adapts faster than the weights
	fleetSlownessGain   = 0.08 // gain of the fleet's slowness, which every outcome updates
)

var maxLogError = math.Log(maxErrorRatio)

// newWeights returns weights of zero, except in the last column, which is set to others. That column is for
// the threads of other gateways, all classes together. This gateway knows these only from reports and does
// not see them run, so their weight in a kind does not start at zero.
func (g *Gateway) newWeights(others float64) [][]float64 {
	w := make([][]float64, len(g.classList))
	for i := range w {
		w[i] = make([]float64, len(g.classList)+1)
		w[i][len(g.classList)] = others
	}
	return w
}

// interference returns the time that running queries add to a query of class i, as a multiple of its base.
// counts has the layout of runningCount.
func (e *engine) interference(i int, counts []float64) float64 {
	sum := 0.0
	for j, n := range counts {
		sum += math.Max(0, e.kind.weights[i][j]+e.ownWeights[i][j]) * n / e.kind.cores
	}
	return sum
}

// baseTime returns a query's expected time on an unloaded engine, in seconds.
func (g *Gateway) baseTime(q *query) float64 { return q.rawBase * q.class.baseScale }

// estimate returns Est(i) of a query on an engine, in seconds, with the query itself counted as running.
func (g *Gateway) estimate(q *query, e *engine) float64 {
	i := q.class.index
	e.runningCount[i]++
	est := g.baseTime(q) * (1 + e.interference(i, e.runningCount)) * math.Exp(g.logSlowness(e)) /
		g.rampFraction(e) * g.pagingFactor(q, e)
	e.runningCount[i]--
	if q.class.bulkLoad {
		est = g.addBulkLoadWait(est, q, e)
	}
	return est
}

// addBulkLoadWait adds to a bulk load's estimate how long it waits for this gateway's other bulk loads on the
// engine that lock the same table group.
func (g *Gateway) addBulkLoadWait(est float64, q *query, e *engine) float64 {
	for _, a := range e.running {
		if a.query.class.bulkLoad && a.query.tableGroup == q.tableGroup {
			est += math.Max(0, a.estimate-(g.now-a.sentAt).Seconds())
		}
	}
	return est
}

// averageMix returns the average mix of running queries during an attempt, and norm: one plus the squared
// length of the vector mix/cores. took is in seconds. mix is valid until the next call.
func (g *Gateway) averageMix(a *attempt, took float64) (mix []float64, norm float64) {
	mix, norm = g.mixBuffer[:0], 1
	for j := range a.engine.runningSeconds {
		v := (a.engine.runningSeconds[j] - a.runningSeconds[j]) / took
		mix = append(mix, v)
		norm += v * v / (a.engine.kind.cores * a.engine.kind.cores)
	}
	g.mixBuffer = mix
	return mix, norm
}

// learn updates the model from an answered attempt: the class's base, the weights of the mix it ran in and,
// faster, the engine's slowness. Only slowness beyond the fleet's median is kept out of the weights. took is
// in seconds.
func (g *Gateway) learn(a *attempt, took float64) {
	c, e := a.query.class, a.engine
	if took <= 0 || a.base <= 0 {
		return
	}
	mix, norm := g.averageMix(a, took)
	// With a base of a millisecond, every network delay would look like a lost answer or a bad plan.
	took = math.Max(took, minBaseShare*c.LatencyObjective.Seconds())
	expected := 1 + e.interference(c.index, mix)
	observed := took * g.rampFraction(e) / a.base
	logRatio := math.Log(observed / expected)
	// Errors are logarithmic and clipped: the times of queries vary widely, and one runaway query must not
	// move the weights. Base and weights share one error, else they drift apart.
	logError := clipError(logRatio - e.excessLogSlowness)
	ownThreads := g.learnWeights(e, c, mix, logError*expected/norm)
	// The base is the unloaded time, so only outcomes with few other queries of ours running correct it.
	if lowLoadShare := 1 - (ownThreads-c.threads)/g.initialThreadLimit(e); lowLoadShare > 0 {
		c.outcomesSeen += lowLoadShare
		c.baseScale *= math.Exp(lowLoadShare * math.Max(baseGain, 1/(c.outcomesSeen+2)) * logError)
	}
	ownRatio := clipError(logRatio - g.unobservedShare(e)*g.fleetLogSlowness)
	e.logSlowness += slownessGain * (ownRatio - e.logSlowness)
	if a.overdueRatio == firstOverdueRatio { // else learnOverdue has counted the attempt already
		g.learnFleetSlowness(logRatio - e.logSlowness)
	}
	g.adaptThreadLimit(e, c, min(max(math.Log(observed), -maxLogError), 2*maxLogError), took)
}

// learnWeights moves the weights of a class, for an engine and for its kind, along the mix that an attempt
// ran in. It returns the number of our threads in that mix.
func (g *Gateway) learnWeights(e *engine, c *class, mix []float64, step float64) (ownThreads float64) {
	for j, n := range mix {
		threads := 1.0
		if j < len(g.classList) {
			threads = g.classList[j].threads
			ownThreads += n * threads
		}
		change := step * n / e.kind.cores
		maxAbs := maxWeight * threads
		kindWeight, ownWeight := &e.kind.weights[c.index][j], &e.ownWeights[c.index][j]
		*kindWeight = min(max(*kindWeight+kindGain*change, 0), maxAbs)
		*ownWeight = min(max(*ownWeight+engineGain*change, -maxAbs), maxAbs)
	}
	return ownThreads
}

// learnOverdue updates the model from a running attempt that has reached its overdueRatio. A slow engine
// answers nothing for a long time, so its slowness would otherwise go unnoticed.
func (g *Gateway) learnOverdue(a *attempt) {
	e := a.engine
	observed := math.Log(a.overdueRatio * a.estimate / a.base)
	clipped := math.Min(observed, 2*maxLogError)
	e.logSlowness += slownessGain * math.Max(0, clipped-g.logSlowness(e))
	// Load reports show load directly. Where engines send them, an overdue attempt may be a lost answer.
	if g.now-g.pressure.loadReportAt > peerLoadHalfLife {
		g.learnFleetSlowness(observed - e.logSlowness)
	}
	e.limiter.logLatency += latencyGain * math.Max(0, clipped-e.limiter.logLatency)
}

// learnFleetSlowness updates the fleet's slowness from an attempt. learn calls it if the attempt ends before
// it is overdue; learnOverdue calls it each time the attempt reaches its overdueRatio, unless engines report
// load.
func (g *Gateway) learnFleetSlowness(logRatio float64) {
	g.fleetLogSlowness += fleetSlownessGain * clipError(logRatio-g.fleetLogSlowness)
}

// unobservedShare returns how much of an engine's load our own queries do not show, as a share below 1. The
// result is near 1 if our share of the engine's cores is small.
func (g *Gateway) unobservedShare(e *engine) float64 {
	return math.Pow(1+e.kind.cores/g.gatewayCount, -2)
}

// logSlowness returns the logarithm of how much slower an engine is than its weights predict. The fleet's
// slowness is weighted with the engine's unobservedShare.
func (g *Gateway) logSlowness(e *engine) float64 {
	return e.logSlowness + g.unobservedShare(e)*g.fleetLogSlowness
}

// clipError limits a logarithmic error to what one outcome may count for: maxLogError in either direction.
func clipError(logError float64) float64 { return min(max(logError, -maxLogError), maxLogError) }

// expectedWork returns the work that slow start counts for a query, in thread seconds: the mean work of its
// class or, if that is higher, the work according to its cost estimate.
func (g *Gateway) expectedWork(q *query) float64 {
	if q.hasCostEstimate {
		return math.Max(q.class.meanWork, g.baseTime(q)*q.class.threads)
	}
	return q.class.meanWork
}

// smallestMeanWork returns the smallest mean work of all classes, in thread seconds.
func (g *Gateway) smallestMeanWork() float64 {
	work := math.Inf(1)
	for _, c := range g.classList {
		work = math.Min(work, c.meanWork)
	}
	return work
}
