package cresspass

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	tickInterval       = 50 * time.Millisecond  // pace of the periodic look at what is running
	tickLabel          = 0                      // of the tick's timer; queries have their ID plus one
	replyMarginBatches = 2                      // final answers leave this many batches before the deadline
	listPollRetryDelay = 500 * time.Millisecond // after a failed poll; and the least pace of polls
)

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg        Config
	now        time.Duration
	actions    []Action // of the present call of Handle
	random     *rand.Rand
	mixBuffer  []float64 // reused by averageMix, to allocate nothing for an outcome
	started    bool
	listPollAt time.Duration
	shutdownAt time.Duration // no answer may be given later; 0: no shutdown is scheduled

	classes      map[string]*class
	classList    []*class // in the order of the settings
	kinds        map[string]*kind
	engines      map[EngineID]*engine
	enginesByTag map[uint16]*engine
	engineList   []*engine // all engines known, by ID
	queries      map[QueryID]*query
	attempts     map[attemptKey]*attempt
	queue        deadlineQueue
	keyOrder     keyOrder
	tenants      map[string]*tokenBucket
	retryBudget  retryBudget
	gossip       gossipState
	pressure     loadPressure

	gatewayCount      float64
	cores             float64   // of all active engines
	ownThreads        float64   // of this gateway's running attempts, on all engines
	sessionActivity   float64   // share of their time in which sticky sessions run something
	fleetLogSlowness  float64   // of which an engine's own slowness is a deviation
	slownesses        []float64 // logarithms, of the active engines that are not ejected, at the last tick
	medianLogSlowness float64   // of these
	mostEjected       bool      // so many engines look ejected that the fault is the fleet's
}

// New returns a gateway with the given settings, or an error naming the setting that contradicts itself.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg: cfg, classes: map[string]*class{}, kinds: map[string]*kind{},
		engines: map[EngineID]*engine{}, enginesByTag: map[uint16]*engine{},
		queries: map[QueryID]*query{}, attempts: map[attemptKey]*attempt{},
		keyOrder: keyOrder{keys: map[string]*orderKey{}}, tenants: map[string]*tokenBucket{},
		gossip:       gossipState{reports: map[int]receivedReport{}},
		gatewayCount: math.Max(1, float64(cfg.GatewayCount)),
		pressure:     newLoadPressure(),
		random:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Ordinal))),
	}
	for i, c := range cfg.Classes {
		k := newClass(&cfg, i)
		g.classes[c.Name] = k
		g.classList = append(g.classList, k)
	}
	for i, name := range cfg.KindNames {
		g.kinds[name] = &kind{
			cores: valueOr(cfg.KindCores, i, 1), memoryMB: valueOr(cfg.KindMemoryMB, i, 0),
			weights: g.newWeights(initialOthersWeight),
		}
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

func (g *Gateway) handleEvent(ev *Event) {
	switch ev.Type {
	case EngineListReceived:
		g.handleEngineList(ev)
	case QueryArrived:
		g.handleArrival(ev)
	case TimerFired:
		g.handleTimer(ev.Label)
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
	case ResponseStarted: // no decision rests on it
	}
}

func (g *Gateway) handleTimer(label uint64) {
	if label == tickLabel {
		g.tick()
		return
	}
	if q := g.queries[queryOfLabel(label)]; q != nil && g.now >= q.deadline-g.replyMargin() {
		g.rejectOrFail(q, ReasonDeadline)
	}
}

// tick is the periodic look at what is running. Its steps draw on one another, so their order counts.
func (g *Gateway) tick() {
	g.setTimer(tickInterval, tickLabel)
	g.fleetLogSlowness *= decayFactor(slownessHalfLife)
	g.hasRetryBudget() // drops what has left its window, also while nothing is retried
	g.pollEngineList()
	g.gossipRound()
	g.decayKindLoads()
	census := g.reviewEngines()
	g.updateSessionActivity(census)
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

// reviewEngines brings each engine's state up to the present and looks for overdue attempts and outliers.
func (g *Gateway) reviewEngines() (census fleetCensus) {
	g.slownesses = g.slownesses[:0]
	decay := g.newLoadDecay()
	for _, e := range g.engineList {
		census.sessions += e.sessions
		g.integrateMix(e)
		g.advanceSlowStartSlot(e)
		g.decayLoad(e, decay)
		silent := g.reviewAttempts(e, &census)
		if !e.active {
			continue
		}
		census.active++
		if !e.outlier.ejected {
			g.slownesses = append(g.slownesses, e.logSlowness)
		}
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
	return census
}

func (g *Gateway) updateSessionActivity(census fleetCensus) {
	if census.sessions > 0 {
		gain := 1 - decayFactor(kindLoadHalfLife)
		g.sessionActivity += gain * (census.busySessions/census.sessions - g.sessionActivity)
	}
}

// pollEngineList subscribes to the engine list where it must be polled. It renews well inside the rule's
// time: otherwise a list that this gateway has not seen would count as known to it.
func (g *Gateway) pollEngineList() {
	if !g.cfg.PollEngineList || g.now < g.listPollAt {
		return
	}
	g.emit(Action{Type: SubscribeEngineList, Enabled: true})
	g.listPollAt = g.now + max(g.cfg.Rules.EngineListPollInterval/2, listPollRetryDelay)
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) setTimer(in time.Duration, label uint64) {
	g.emit(Action{Type: SetTimer, Wait: max(in, time.Microsecond), Label: label})
}

// replyMargin is how long before its deadline a query gets its final answer.
func (g *Gateway) replyMargin() time.Duration {
	return replyMarginBatches * max(g.cfg.BatchInterval, time.Millisecond)
}

// queryLabel is the label of a query's timers; queryOfLabel is its reverse.
func queryLabel(id QueryID) uint64 { return uint64(id) + 1 }

func queryOfLabel(label uint64) QueryID { return QueryID(label - 1) }

// decayFactor is the share of a value that is left after a tick, given its half-life.
func decayFactor(halfLife time.Duration) float64 {
	return math.Exp2(-tickInterval.Seconds() / halfLife.Seconds())
}
