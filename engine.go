package cresspass

import (
	"slices"
	"sort"
	"time"
)

// sessionCount is how many are kept on an engine, those that are being opened counted in.
func (g *Gateway) sessionCount(e *engine) float64 {
	n := e.sessions
	for _, a := range e.running {
		if a.query.opensSession {
			n++
		}
	}
	return n
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
		info := &ev.Engines[i]
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
	g.pruneEngines()
	g.cores = 0
	for _, e := range g.engineList {
		if e.active {
			g.cores += e.kind.cores
		}
	}
}

// queryCount is the number of our queries that run on an engine.
func (e *engine) queryCount() (sum float64) {
	for _, n := range e.runningCount[:len(e.runningCount)-1] {
		sum += n
	}
	return sum
}

type kind struct {
	cores, memoryMB             float64     // memory in MB
	reportedLoad, grantedMemory float64     // threads a core, and memory granted over memory, as told or reported
	weights                     [][]float64 // per class: time a running query of each class adds, over base, per core
}

type engine struct {
	EngineInfo
	kind       *kind
	tag        uint16 // stands for its ID in messages
	active     bool   // on the present list and neither draining nor gone
	ownWeights [][]float64
	running    []*attempt

	runningCount, runningSeconds []float64     // this gateway's running queries per class; their integral in seconds
	ownThreads                   float64       // threads running
	logSlowness                  float64       // log of the fast-moving slowness
	excessLogSlowness            float64       // slowness beyond the fleet's median at the last tick
	sessions                     float64       // of this gateway, that are kept there
	inactiveSince                time.Duration // when it was told to drain or be gone
	integratedAt                 time.Duration // when runningSeconds was last changed
	loadKnownAt                  time.Duration // when others' threads were last told
	grantedMemory                float64       // memory granted over memory, as reported
	recentSends                  float64       // threads told as just sent, fading into the sums
	aggregateLoad                float64       // threads of all gateways, while this one is a hub
	succeededTotal, failedTotal  float64       // the same of all gateways, fading, while this one is a hub
	succeeded, failed            int           // answers, and failures or lost answers, since the last digest

	outlier                 outlierState
	lastHeardAt, knownSince time.Duration // last sign of life; beginning of what is known of it
	slowStart               slowStartState
	limiter                 threadLimiter
}

// integrateMix brings the integral of an engine's mix up to now.
func (g *Gateway) integrateMix(e *engine) {
	for j, n := range e.runningCount {
		e.runningSeconds[j] += n * (g.now - e.integratedAt).Seconds()
	}
	e.integratedAt = g.now
}

// resetEngine makes an engine as good as new: its own weights zero, so that its kind's average stands.
func (g *Gateway) resetEngine(e *engine, info *EngineInfo) {
	k := g.kinds[info.Kind]
	if k == nil {
		k = &kind{cores: 1, weights: g.newWeights(initialOthersWeight)}
		g.kinds[info.Kind] = k
	}
	e.kind, e.ownWeights, e.logSlowness, e.excessLogSlowness = k, g.newWeights(0), 0, 0
	e.limiter.reset(g.initialThreadLimit(e))
	e.outlier = outlierState{}
	e.lastHeardAt, e.knownSince = g.now, g.now
	e.slowStart.resetSlots(g.random.Float64())
}

// addEngine makes room for an engine never seen before.
func (g *Gateway) addEngine(info *EngineInfo) *engine {
	e := &engine{tag: EngineTag(info.ID)}
	e.runningCount, e.runningSeconds = make(
		[]float64,
		len(g.classList)+1,
	), make(
		[]float64,
		len(g.classList)+1,
	)
	g.engines[info.ID], g.enginesByTag[e.tag] = e, e
	at := sort.Search(len(g.engineList), func(i int) bool { return g.engineList[i].ID >= info.ID })
	g.engineList = slices.Insert(g.engineList, at, e)
	g.resetEngine(e, info)
	return e
}

// pruneEngines drops engines that left the list and run nothing; a cold one stays, with what it was sent.
func (g *Gateway) pruneEngines() {
	g.engineList = slices.DeleteFunc(g.engineList, func(e *engine) bool {
		gone := !e.active && e.State != EngineDraining && len(e.running) == 0 && g.rampFraction(e) >= 1
		if gone {
			delete(g.engines, e.ID)
			if g.enginesByTag[e.tag] == e {
				delete(g.enginesByTag, e.tag)
			}
		}
		return gone
	})
}

// othersThreads is the place where an engine's mix counts the threads of other gateways.
func (e *engine) othersThreads() *float64 { return &e.runningCount[len(e.runningCount)-1] }
