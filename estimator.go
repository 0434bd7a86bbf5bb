package cresspass

import "math"

// Gains are the part of an error that is taken up per outcome.
const (
	baseGain            = 0.04 // least gain of a class's base; higher while it has seen few outcomes
	kindGain            = 0.10 // gain of a kind's average weights
	engineGain          = 0.05 // gain of an engine's own deviation from its kind
	minBaseShare        = 0.02 // least base, in parts of the objective: below, the network rules the time
	maxErrorRatio       = 4.0  // an outcome counts as at most this many times its estimate
	maxWeight           = 4.0  // a query adds at most this many times its own threads' share of an engine
	initialOthersWeight = 0.25 // weight of a thread of others, over base and per core, before any outcome
	slownessGain        = 0.12 // gain of an engine's slowness, much faster than the weights
	fleetSlownessGain   = 0.08 // gain of the fleet's slowness, fed by every outcome
)

var maxLogError = math.Log(maxErrorRatio)

// newWeights returns zero weights. The last column is for the threads of other gateways, all classes
// together: no gateway sees them run, so where they are reported their weight does not start at zero.
func (g *Gateway) newWeights(others float64) [][]float64 {
	w := make([][]float64, len(g.classList))
	for i := range w {
		w[i] = make([]float64, len(g.classList)+1)
		w[i][len(g.classList)] = others
	}
	return w
}

// interference is what running queries add to the time of a query of class i, over its base.
func (e *engine) interference(i int, counts []float64) float64 {
	sum := 0.0
	for j, n := range counts {
		sum += math.Max(0, e.kind.weights[i][j]+e.ownWeights[i][j]) * n / e.kind.cores
	}
	return sum
}

// baseTime is a query's time on an unloaded engine, in seconds.
func (g *Gateway) baseTime(q *query) float64 { return q.rawBase * q.class.baseScale }

// estimate is Est(i) in seconds for a newcomer, itself counted in.
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

// addBulkLoadWait adds to an estimate how long a bulk load stands still while others hold its tables there.
func (g *Gateway) addBulkLoadWait(est float64, q *query, e *engine) float64 {
	for _, a := range e.running {
		if a.query.class.bulkLoad && a.query.tableGroup == q.tableGroup {
			est += math.Max(0, a.estimate-(g.now-a.sentAt).Seconds())
		}
	}
	return est
}

// averageMix returns the average mix that an attempt met, and its length over cores, squared, plus one.
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

// learn corrects the fit by an answered attempt: the class's base, the weights by the mix it met, and,
// faster, the engine's slowness. Only slowness beyond the fleet's median is kept from the weights.
func (g *Gateway) learn(a *attempt, took float64) {
	c, e := a.query.class, a.engine
	if took <= 0 || a.base <= 0 {
		return
	}
	mix, norm := g.averageMix(a, took)
	// With a base of a millisecond every pause of the network would look like a lost answer or a bad plan.
	took = math.Max(took, minBaseShare*c.LatencyObjective.Seconds())
	expected := 1 + e.interference(c.index, mix)
	observed := took * g.rampFraction(e) / a.base
	logRatio := math.Log(observed / expected)
	// Errors are taken in logarithms and clipped: queries are widely spread, and one runaway must not
	// move the weights. Base and weights share the error, else they drift apart.
	miss := clipError(logRatio - e.excessLogSlowness)
	ownThreads := g.learnWeights(e, c, mix, miss*expected/norm)
	// The base is the unloaded time, so only outcomes that met little of ours correct it.
	if light := 1 - (ownThreads-c.threads)/g.initialThreadLimit(e); light > 0 {
		c.outcomesSeen += light
		c.baseScale *= math.Exp(light * math.Max(baseGain, 1/(c.outcomesSeen+2)) * miss)
	}
	ownRatio := clipError(logRatio - g.unobservedShare(e)*g.fleetLogSlowness)
	e.logSlowness += slownessGain * (ownRatio - e.logSlowness)
	if a.overdueRatio == firstOverdueRatio { // else its slowness was learnt while it ran
		g.learnFleetSlowness(logRatio - e.logSlowness)
	}
	g.adaptThreadLimit(e, c, min(max(math.Log(observed), -maxLogError), 2*maxLogError), took)
}

// learnWeights moves the weights of a class on an engine, and on its kind, along the mix that an attempt
// met. It returns the threads of ours in that mix.
func (g *Gateway) learnWeights(e *engine, c *class, mix []float64, step float64) (ownThreads float64) {
	for j, n := range mix {
		threads := 1.0
		if j < len(g.classList) {
			threads = g.classList[j].threads
			ownThreads += n * threads
		}
		change := step * n / e.kind.cores
		most := maxWeight * threads
		kindWeight, ownWeight := &e.kind.weights[c.index][j], &e.ownWeights[c.index][j]
		*kindWeight = min(max(*kindWeight+kindGain*change, 0), most)
		*ownWeight = min(max(*ownWeight+engineGain*change, -most), most)
	}
	return ownThreads
}

// learnOverdue takes in that a running attempt has come so far over its estimate. A slow engine answers
// nothing for long, so without this its slowness would go unseen.
func (g *Gateway) learnOverdue(a *attempt) {
	e := a.engine
	observed := math.Log(a.overdueRatio * a.estimate / a.base)
	clipped := math.Min(observed, 2*maxLogError)
	e.logSlowness += slownessGain * math.Max(0, clipped-g.logSlowness(e))
	// Load reports show load by themselves, and what is overdue then may be lost.
	if g.now-g.pressure.loadReportAt > peerLoadHalfLife {
		g.learnFleetSlowness(observed - e.logSlowness)
	}
	e.limiter.logLatency += latencyGain * math.Max(0, clipped-e.limiter.logLatency)
}

// learnFleetSlowness takes in what an attempt shows of the fleet's slowness: when it ends in good time,
// else each time it becomes overdue.
func (g *Gateway) learnFleetSlowness(logRatio float64) {
	g.fleetLogSlowness += fleetSlownessGain * clipError(logRatio-g.fleetLogSlowness)
}

// unobservedShare is how much of an engine our own queries do not show: near 1 where our part of its cores
// is small.
func (g *Gateway) unobservedShare(e *engine) float64 {
	return math.Pow(1+e.kind.cores/g.gatewayCount, -2)
}

// logSlowness is the logarithm by which an engine, and as far as that is unobserved the fleet, is slower
// than Est.
func (g *Gateway) logSlowness(e *engine) float64 {
	return e.logSlowness + g.unobservedShare(e)*g.fleetLogSlowness
}

// clipError limits an error, in logarithms, to what one outcome may count for.
func clipError(miss float64) float64 { return min(max(miss, -maxLogError), maxLogError) }

// expectedWork is what a query is taken to need, in thread seconds: its class's mean, or more where it is
// known.
func (g *Gateway) expectedWork(q *query) float64 {
	if q.hasCostEstimate {
		return math.Max(q.class.meanWork, g.baseTime(q)*q.class.threads)
	}
	return q.class.meanWork
}

// smallestMeanWork is the least mean work of a class.
func (g *Gateway) smallestMeanWork() float64 {
	work := math.Inf(1)
	for _, c := range g.classList {
		work = math.Min(work, c.meanWork)
	}
	return work
}
