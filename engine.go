package cresspass

import (
	"slices"
	"sort"
	"time"
)

// kind is what engines of one kind of machine have in common.
type kind struct {
	cores, memoryMB float64
	reportedLoad    float64     // threads a core, as peers or engines report
	grantedMemory   float64     // over memory, as engines report
	weights         [][]float64 // per class: time a running query of each class adds, over base, per core
}

// engine is what a gateway knows of an engine.
type engine struct {
	EngineInfo
	kind          *kind
	tag           uint16        // stands for its ID in messages
	active        bool          // on the present list and neither draining nor removed
	inactiveSince time.Duration // when it was first listed as draining or removed
	lastSeenAt    time.Duration // last sign of life
	knownSince    time.Duration

	running        []*attempt
	runningCount   []float64     // this gateway's running queries per class; last: threads of other gateways
	runningSeconds []float64     // its integral, in seconds
	integratedAt   time.Duration // when runningCount was last added to runningSeconds
	ownThreads     float64       // threads of this gateway's running attempts
	sessions       float64       // sticky sessions of this gateway

	ownWeights        [][]float64 // deviation from the kind's weights
	logSlowness       float64     // logarithm of the fast-moving slowness
	excessLogSlowness float64     // beyond the median at the last tick

	limiter   threadLimiter
	outlier   outlierState
	slowStart slowStartState

	loadKnownAt   time.Duration // when others' threads were last reported
	recentSends   float64       // threads of others announced as just sent; they fade into sums
	grantedMemory float64       // over memory, as reported

	succeeded, failed           int     // answers, and failures or lost answers, since the last peer report
	aggregateLoad               float64 // threads of all gateways, while this one aggregates
	succeededTotal, failedTotal float64 // of all gateways, decaying, while it is
}

func (g *Gateway) handleEngineList(ev *Event) {
	if ev.ListType == ListFailed {
		g.listPollAt = g.now + listPollRetryDelay
		return
	}
	if ev.ListType != ListIncremental {
		for _, e := range g.engineList {
			e.active = false
		}
	}
	for i := range ev.Engines {
		g.updateEngine(&ev.Engines[i])
	}
	g.pruneEngines()
	g.cores = 0
	for _, e := range g.engineList {
		if e.active {
			g.cores += e.kind.cores
		}
	}
}

// updateEngine takes in one entry of an engine list.
func (g *Gateway) updateEngine(info *EngineInfo) {
	e := g.engines[info.ID]
	if e == nil {
		e = g.addEngine(info)
	} else if info.StartedAt > e.StartedAt || info.Kind != e.Kind {
		g.resetEngine(e, info) // its process or machine is new: nothing learnt of the old one holds
	}
	if info.State != EngineActive && (e.State == EngineActive || e.inactiveSince == 0) {
		e.inactiveSince = g.now
	}
	e.EngineInfo = *info
	e.active = info.State == EngineActive
}

// addEngine enters an engine never seen before.
func (g *Gateway) addEngine(info *EngineInfo) *engine {
	classes := len(g.classList)
	e := &engine{
		tag:          EngineTag(info.ID),
		runningCount: make([]float64, classes+1), runningSeconds: make([]float64, classes+1),
	}
	g.engines[info.ID], g.enginesByTag[e.tag] = e, e
	at := sort.Search(len(g.engineList), func(i int) bool { return g.engineList[i].ID >= info.ID })
	g.engineList = slices.Insert(g.engineList, at, e)
	g.resetEngine(e, info)
	return e
}

// resetEngine makes an engine as good as new: its own weights are zero, so that its kind's average stands.
func (g *Gateway) resetEngine(e *engine, info *EngineInfo) {
	k := g.kinds[info.Kind]
	if k == nil {
		k = &kind{cores: 1, weights: g.newWeights(initialOthersWeight)}
		g.kinds[info.Kind] = k
	}
	e.kind, e.ownWeights = k, g.newWeights(0)
	e.logSlowness, e.excessLogSlowness = 0, 0
	e.limiter.reset(g.initialThreadLimit(e))
	e.outlier = outlierState{}
	e.slowStart.resetSlots(g.random.Float64())
	e.lastSeenAt, e.knownSince = g.now, g.now
}

// pruneEngines drops engines that left the list and run nothing. One in slow start stays, with what it was
// sent.
func (g *Gateway) pruneEngines() {
	g.engineList = slices.DeleteFunc(g.engineList, func(e *engine) bool {
		if e.active || e.State == EngineDraining || len(e.running) > 0 || g.rampFraction(e) < 1 {
			return false
		}
		delete(g.engines, e.ID)
		if g.enginesByTag[e.tag] == e {
			delete(g.enginesByTag, e.tag)
		}
		return true
	})
}

// integrateMix brings the integral of an engine's running queries up to the present.
func (g *Gateway) integrateMix(e *engine) {
	for j, n := range e.runningCount {
		e.runningSeconds[j] += n * (g.now - e.integratedAt).Seconds()
	}
	e.integratedAt = g.now
}

// othersThreads is the place where an engine's mix counts the threads of other gateways.
func (e *engine) othersThreads() *float64 { return &e.runningCount[len(e.runningCount)-1] }

// queryCount is the number of our queries that run on an engine.
func (e *engine) queryCount() (sum float64) {
	for _, n := range e.runningCount[:len(e.runningCount)-1] {
		sum += n
	}
	return sum
}

// sessionCount is how many sticky sessions an engine has, those that are being opened counted in.
func (e *engine) sessionCount() float64 {
	n := e.sessions
	for _, a := range e.running {
		if a.query.opensSession {
			n++
		}
	}
	return n
}
