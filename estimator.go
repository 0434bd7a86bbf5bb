package cresspass

import (
	"math"
)

const (
	baseGain            = 0.04 // least gain of a class's base; higher while it has seen few outcomes
	kindGain            = 0.10 // gain of a kind's average weights
	engineGain          = 0.05 // gain of an engine's own deviation from its kind
	minBaseShare        = 0.02 // least base, in parts of the aim: below, travel and handshakes rule the time
	maxErrorRatio       = 4.0  // an outcome counts as at most this many times its estimate
	maxWeight           = 4.0  // a query adds at most this many times its own threads' share of an engine
	initialOthersWeight = 0.25 // weight of a thread of other gateways, over base and per core, before any outcome
	slownessGain        = 0.12 // gain of an engine's slowness, much faster than the weights
	fleetSlownessGain   = 0.08 // gain of the fleet's slowness, fed by every outcome
)

// unobservedShare is how much of an engine our queries leave in the dark: near 1 where our part of its cores
// is small.
func (g *Gateway) unobservedShare(e *engine) float64 {
	return math.Pow(1+e.kind.cores/g.gatewayCount, -2)
}

// logSlowness is the logarithm by which an engine, and as far as that is hidden the fleet, is slower than
// Est.
func (g *Gateway) logSlowness(e *engine) float64 {
	return e.logSlowness + g.unobservedShare(e)*g.fleetLogSlowness
}

// clipError limits an error, in logarithms, to what one outcome may count for.
func clipError(miss float64) float64 {
	return min(max(miss, -math.Log(maxErrorRatio)), math.Log(maxErrorRatio))
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

// learnFleetSlowness takes in what an attempt tells of the fleet's slowness: when it ends in good time, else
// each time it becomes overdue.
func (g *Gateway) learnFleetSlowness(ratio float64) {
	g.fleetLogSlowness += fleetSlownessGain * clipError(ratio-g.fleetLogSlowness)
}

func (g *Gateway) baseTime(q *query) float64 { return q.rawBase * q.class.baseScale }

// estimate is Est(i) in seconds for a newcomer, itself counted in.
func (g *Gateway) estimate(q *query, e *engine) float64 {
	i := q.class.index
	e.runningCount[i]++
	est := g.baseTime(
		q,
	) * (1 + e.interference(i, e.runningCount)) * math.Exp(
		g.logSlowness(e),
	) / g.rampFraction(
		e,
	) * g.pagingFactor(
		q,
		e,
	)
	e.runningCount[i]--
	if q.class.bulkLoad {
		// Danger: a load stands still while another holds its tables there.
		for _, a := range e.running {
			if a.query.class.bulkLoad && a.query.tableGroup == q.tableGroup {
				est += math.Max(0, a.estimate-(g.now-a.sentAt).Seconds())
			}
		}
	}
	return est
}

// learn corrects the fit by an answered attempt: the class's base, the weights by the mix it met, and,
// faster, the engine's slowness. Only slowness beyond the fleet's median is kept from the weights.
func (g *Gateway) learn(a *attempt, took float64) {
	c, e := a.query.class, a.engine
	if took <= 0 || a.base <= 0 {
		return
	}
	x, norm := g.averageMix(a, took)
	// Danger: a base of a millisecond makes every pause of the network look like a lost answer or a bad plan.
	took = math.Max(took, minBaseShare*c.LatencyObjective.Seconds())
	want := 1 + e.interference(c.index, x)
	seen := took * g.rampFraction(e) / a.base
	// Errors are taken in logarithms and clipped: queries are widely spread, and one runaway must not
	// move the weights. Base and weights share the error, else they drift apart.
	miss := clipError(math.Log(seen/want) - e.excessLogSlowness)
	used := 0.0
	for j, v := range x {
		threads := 1.0
		if j < len(g.classList) {
			threads = g.classList[j].threads
			used += v * threads
		}
		step := miss * want / norm * v / e.kind.cores
		most := maxWeight * threads
		e.kind.weights[c.index][j] = min(max(e.kind.weights[c.index][j]+kindGain*step, 0), most)
		e.ownWeights[c.index][j] = min(max(e.ownWeights[c.index][j]+engineGain*step, -most), most)
	}
	// The base is the unloaded time, so only outcomes that met little of ours correct it.
	if light := 1 - (used-c.threads)/g.initialThreadLimit(e); light > 0 {
		c.outcomesSeen += light
		c.baseScale *= math.Exp(light * math.Max(baseGain, 1/(c.outcomesSeen+2)) * miss)
	}
	e.logSlowness += slownessGain * (clipError(math.Log(seen/want)-g.unobservedShare(e)*g.fleetLogSlowness) - e.logSlowness)
	if a.overdueRatio == firstOverdueRatio {
		g.learnFleetSlowness(math.Log(seen/want) - e.logSlowness)
	}
	g.adaptThreadLimit(
		e,
		c,
		min(max(math.Log(seen), -math.Log(maxErrorRatio)), 2*math.Log(maxErrorRatio)),
		took,
	)
}

// expectedWork is what a query is taken to need, in thread seconds: its class's mean, or more where it is
// told.
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

// interference is what the running queries of this gateway add to a query's time, over its base.
func (e *engine) interference(i int, n []float64) float64 {
	sum := 0.0
	for j, v := range n {
		sum += math.Max(0, e.kind.weights[i][j]+e.ownWeights[i][j]) * v / e.kind.cores
	}
	return sum
}

var maxLogError = math.Log(maxErrorRatio)

// newWeights returns zero weights. The last column is for the threads of other gateways, all classes
// together: no gateway sees them run, so where they are told their weight does not start at zero.
func (g *Gateway) newWeights(others float64) [][]float64 {
	w := make([][]float64, len(g.classList))
	for i := range w {
		w[i] = make([]float64, len(g.classList)+1)
		w[i][len(g.classList)] = others
	}
	return w
}

// averageMix returns the average mix that an attempt met, and its length over cores, squared, plus one.
func (g *Gateway) averageMix(a *attempt, took float64) (mix []float64, norm float64) {
	mix, norm = g.scratch[:0], 1
	for j := range a.engine.runningSeconds {
		v := (a.engine.runningSeconds[j] - a.runningSeconds[j]) / took
		mix = append(mix, v)
		norm += v * v / (a.engine.kind.cores * a.engine.kind.cores)
	}
	g.scratch = mix
	return mix, norm
}
