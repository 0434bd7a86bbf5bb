package cresspass

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	tickInterval       = 50 * time.Millisecond // pace of the periodic look at what is running
	replyMarginBatches = 2                     // final answers leave this many batch ticks before the deadline
	listPollRetryDelay = 500 * time.Millisecond
)

func (g *Gateway) replyMargin() time.Duration {
	return replyMarginBatches * max(g.cfg.BatchInterval, time.Millisecond)
}

// pollEngineList subscribes to the engine list. Renewing well inside the rule's time keeps the list from
// being deemed told to us while we have not seen it.
func (g *Gateway) pollEngineList() {
	g.emit(Action{Type: SubscribeEngineList, Enabled: true})
	g.listPollAt = g.now + max(g.cfg.Rules.EngineListPollInterval/2, listPollRetryDelay)
}

// tick looks at what is running: silent engines, overdue queries, the fleet's median slowness.
func (g *Gateway) tick() {
	g.setTimer(tickInterval, 0)
	g.fleetLogSlowness *= decayFactor(slownessHalfLife)
	g.hasRetryBudget() // forgets what has left its window, also while nothing is tried again
	if g.cfg.PollEngineList && g.now >= g.listPollAt {
		g.pollEngineList()
	}
	g.gossipRound()
	g.decayKindLoads()
	g.scratch = g.scratch[:0]
	decay := g.newLoadDecay()
	var census fleetCensus
	for _, e := range g.engineList {
		census.sessions += e.sessions
		g.integrateMix(e)
		g.advanceSlowStartSlot(e)
		g.decayLoad(e, decay)
		silent := g.reviewAttempts(e, &census)
		if !e.active {
			continue
		}
		if !e.outlier.ejected {
			g.scratch = append(g.scratch, e.logSlowness)
		}
		census.active++
		if g.isUnderPressure(e) {
			census.underPressure++
		}
		if silent >= silentAttemptsToEject && !e.outlier.ejected {
			g.ejectSilent(e)
		}
		if e.outlier.ejected {
			census.ejected++
			g.retryEjected(e)
		}
	}
	if census.sessions > 0 {
		g.sessionActivity += (1 - decayFactor(kindLoadHalfLife)) * (census.busySessions/census.sessions - g.sessionActivity)
	}
	g.updateExcessSlowness()
	// All engines failing together is no outlier among them; ejecting them all would serve nobody.
	g.mostEjected = census.ejected*2 > census.active
	g.pressure.update(g.now, g.fleetLogSlowness, census)
}

// fleetCensus is what a tick counts over the engines.
type fleetCensus struct {
	active, ejected, underPressure int     // engines
	sessions, busySessions         float64 // sticky sessions, and attempts that run for them
}

// decayFactor is the share of a value kept from tick to tick, given its half-life.
func decayFactor(half time.Duration) float64 {
	return math.Exp2(-tickInterval.Seconds() / half.Seconds())
}

// New returns a gateway with the given settings, or an error naming the setting that contradicts itself.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, classes: map[string]*class{}, kinds: map[string]*kind{},
		engines: map[EngineID]*engine{}, enginesByTag: map[uint16]*engine{},
		queries: map[QueryID]*query{}, attempts: map[attemptKey]*attempt{},
		keyOrder: keyOrder{keys: map[string]*orderKey{}}, tenants: map[string]*tokenBucket{},
		gossip: gossipState{reports: map[int]receivedReport{}}, pressure: newLoadPressure(),
		gatewayCount: math.Max(1, float64(cfg.GatewayCount)),
		random:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Ordinal)))}
	for i, c := range cfg.Classes {
		k := &class{
			Class:       c,
			index:       i,
			threads:     valueOr(cfg.ClassThreads, i, 1),
			baseScale:   1,
			grantFactor: initialGrantFactor,
		}
		k.bulkLoad = valueOr(cfg.ClassIsBulkLoad, i, false)
		k.meanWork = c.LatencyObjective.Seconds() * k.threads
		g.classes[c.Name] = k
		g.classList = append(g.classList, k)
	}
	for i, name := range cfg.KindNames {
		g.kinds[name] = &kind{cores: valueOr(cfg.KindCores, i, 1), memoryMB: valueOr(cfg.KindMemoryMB, i, 0),
			weights: g.newWeights(initialOthersWeight)}
	}
	for _, t := range cfg.Tenants {
		g.tenants[t.Name] = &tokenBucket{tokens: quotaMinBurst, rate: t.QuotaPerSecond / g.gatewayCount}
	}
	return g, nil
}

// Handle takes the clock and what has happened since the last call, in order, and appends to actions
// what is to be done. The gateway keeps neither slice.
func (g *Gateway) Handle(now time.Duration, events []Event, actions []Action) []Action {
	g.now, g.actions = max(now, g.now), actions
	if !g.started {
		g.started = true
		g.tick()
	}
	for i := range events {
		g.handleEvent(&events[i])
	}
	g.dequeue()
	out := g.actions
	g.actions = nil
	return out
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg             Config
	now             time.Duration
	actions         []Action
	classes         map[string]*class
	classList       []*class
	kinds           map[string]*kind
	engines         map[EngineID]*engine
	engineList      []*engine // all engines known, by ID
	sessionActivity float64   // share of their time in which kept sessions run something
	enginesByTag    map[uint16]*engine
	queries         map[QueryID]*query
	attempts        map[attemptKey]*attempt
	queue           []*query // earliest deadline first
	keyOrder        keyOrder
	tenants         map[string]*tokenBucket
	scratch         []float64
	random          *rand.Rand
	listPollAt      time.Duration
	shutdownAt      time.Duration // no answer may be given later; 0: none told
	started         bool

	gatewayCount      float64
	fleetLogSlowness  float64 // log of the fleet's slowness, of which an engine's own is a deviation
	ownThreads        float64 // ours running on all engines
	cores             float64 // told cores of all engines on the list
	medianLogSlowness float64 // of the engines' slowness
	mostEjected       bool    // so many engines are sick that it is the fleet
	pressure          loadPressure
	gossip            gossipState
	retryBudget       retryBudget
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) setTimer(in time.Duration, label uint64) {
	g.emit(Action{Type: SetTimer, Wait: max(in, time.Microsecond), Label: label})
}

func (g *Gateway) handleEvent(ev *Event) {
	switch ev.Type {
	case EngineListReceived:
		g.handleEngineList(ev)
	case QueryArrived:
		g.handleArrival(ev)
	case TimerFired:
		if ev.Label == 0 {
			g.tick()
		} else if q := g.queries[QueryID(ev.Label-1)]; q != nil && g.now >= q.deadline-g.replyMargin() {
			g.rejectOrFail(q, ReasonDeadline)
		}
	case HealthCheckDone:
		g.handleHealthCheck(ev)
	case PeerMessageReceived:
		g.handlePeerMessage(ev)
	case AttemptDone:
		g.handleAttemptDone(ev)
	case ProgressReported:
		g.handleProgress(ev)
	case MembershipChanged:
		g.handleMembership(ev.Peer, ev.Value)
		g.gossip.clockOffset = ev.Elapsed - g.now
	case EngineReportedDown:
		g.handleReportedDown(g.engines[ev.Engine])
	case ShutdownScheduled:
		g.handleShutdown(ev.RemainingDeadline)
	case SessionCountChanged:
		if e := g.engines[ev.Engine]; e != nil {
			e.sessions = math.Max(0, e.sessions+ev.Value)
		}
	case QueryAbandoned:
		if q := g.queries[ev.Query]; q != nil {
			g.removeQuery(q)
		}
	}
}
