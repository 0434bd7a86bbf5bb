package cresspass

import (
	"slices"
	"sort"
	"time"
)

// kind holds what all engines of one machine kind share.
type kind struct {
	cores, memoryMB float64
	reportedLoad    float64 // threads per core, as peers or engines report
	grantedMemory   float64 // granted memory over an engine's memory, as engines report
	// weights[i][j] is the time that one running query of class j per core adds to a query of class i, as a
	// multiple of its base. The last column is for threads of other gateways.
	weights [][]float64
}

// engine holds what a gateway knows about one engine.
type engine struct {
	EngineInfo
	kind          *kind
	tag           uint16        // identifies the engine in peer messages
	active        bool          // on the current list, neither draining nor removed
	inactiveSince time.Duration // when its current draining or removed period began
	lastSeenAt    time.Duration // of its last note, answer, rejection or failure; at first knownSince
	knownSince    time.Duration // when the engine was added or last reset

	running        []*attempt
	runningCount   []float64     // own running queries per class; last: see othersThreads
	runningSeconds []float64     // integral of runningCount over time, in seconds
	integratedAt   time.Duration // until when runningSeconds includes runningCount
	ownThreads     float64       // threads of this gateway's running attempts
	sessions       float64       // open sticky sessions of this gateway

	ownWeights        [][]float64 // the engine's deviation from the kind's weights
	logSlowness       float64     // logarithm of recent times over those by weights and fleet slowness
	excessLogSlowness float64     // logSlowness less the median, at the last tick

	limiter   threadLimiter
	outlier   outlierState
	slowStart slowStartState

	loadKnownAt   time.Duration // when other gateways' threads were last reported
	recentSends   float64       // threads of others' announced sends; decays, as sums come to include them
	grantedMemory float64       // granted memory over the engine's memory, as reported

	succeeded, failed           int     // answers; failures and lost answers; since the last peer report
	aggregateLoad               float64 // threads of all gateways, while this gateway is aggregator
	succeededTotal, failedTotal float64 // of all gateways, decaying, while this gateway is aggregator
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

// updateEngine applies one entry of an engine list.
func (g *Gateway) updateEngine(info *EngineInfo) {
	e := g.engines[info.ID]
	if e == nil {
		e = g.addEngine(info)
	} else if info.StartedAt > e.StartedAt || info.Kind != e.Kind {
		g.resetEngine(e, info) // new process or machine: learnt values do not apply
	}
	if info.State != EngineActive && (e.State == EngineActive || e.inactiveSince == 0) {
		e.inactiveSince = g.now
	}
	e.EngineInfo = *info
	e.active = info.State == EngineActive
}

// addEngine adds an engine that is not known yet.
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

// resetEngine forgets what was learnt about an engine. The engine's own weights become zero, so its kind's
// weights apply. Its running attempts, its known load and its slow start sends stay.
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

// pruneEngines drops engines that left the list and run no attempts. An engine in slow start is kept, because
// the work that it was sent still counts.
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

// integrateMix updates runningSeconds to the current time. It must run before runningCount changes.
func (g *Gateway) integrateMix(e *engine) {
	for j, n := range e.runningCount {
		e.runningSeconds[j] += n * (g.now - e.integratedAt).Seconds()
	}
	e.integratedAt = g.now
}

// othersThreads returns the entry of runningCount for other gateways: their known threads on the engine,
// times unobservedShare.
func (e *engine) othersThreads() *float64 { return &e.runningCount[len(e.runningCount)-1] }

// queryCount returns the number of this gateway's queries that run on the engine.
func (e *engine) queryCount() (sum float64) {
	for _, n := range e.runningCount[:len(e.runningCount)-1] {
		sum += n
	}
	return sum
}

// sessionCount returns this gateway's sticky sessions on the engine, including those being opened.
func (e *engine) sessionCount() float64 {
	n := e.sessions
	for _, a := range e.running {
		if a.query.opensSession {
			n++
		}
	}
	return n
}
