package cresspass

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	tickInterval       = 50 * time.Millisecond  // interval of the review of engines and attempts
	tickLabel          = 0                      // timer label of the tick; a query's is its ID plus 1
	replyMarginBatches = 2                      // batch intervals between the last answer and the deadline
	listPollRetryDelay = 500 * time.Millisecond // after a failed poll; also the least poll interval
)

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg        Config
	now        time.Duration
	actions    []Action // of the current call of Handle
	random     *rand.Rand
	mixBuffer  []float64 // reused by averageMix, so that an outcome allocates nothing
	started    bool
	listPollAt time.Duration
	shutdownAt time.Duration // no answer may be sent later; 0: no shutdown is scheduled

	classes      map[string]*class
	classList    []*class // in the order of the settings
	kinds        map[string]*kind
	engines      map[EngineID]*engine
	enginesByTag map[uint16]*engine
	engineList   []*engine // all known engines, sorted by ID
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
	ownThreads        float64   // threads of this gateway's running attempts, on all engines
	sessionActivity   float64   // share of sticky sessions that run a query, averaged over time
	fleetLogSlowness  float64   // an engine's own logSlowness is a deviation from it
	slownesses        []float64 // logSlowness of active engines that are not ejected, at the last tick
	medianLogSlowness float64   // median of slownesses
	mostEjected       bool      // over half of the active engines are ejected: a fault of the fleet
}

// New returns a gateway with the given settings. The error is that of Config.Validate.
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

// Handle processes the events since the last call, in order, and appends the resulting actions to actions.
// now is the time on the gateway's clock; if it is before that of the last call, that one is used again. The
// gateway keeps neither slice.
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
	case ResponseStarted: // not used in decisions
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

// tick is the periodic review of engines and attempts. Its steps use each other's results, so their order
// matters.
func (g *Gateway) tick() {
	g.setTimer(tickInterval, tickLabel)
	g.fleetLogSlowness *= decayFactor(slownessHalfLife)
	g.hasRetryBudget() // drops entries outside the window, also while nothing is retried
	g.pollEngineList()
	g.gossipRound()
	g.decayKindLoads()
	counts := g.reviewEngines()
	g.updateSessionActivity(counts)
	g.updateExcessSlowness()
	// If most engines fail at once, none of them is an outlier, and no client gains if all are ejected.
	g.mostEjected = counts.ejected*2 > counts.active
	g.pressure.update(g.now, g.fleetLogSlowness, counts)
}

// fleetCounts holds what a tick counts over all engines.
type fleetCounts struct {
	active, ejected, underPressure int     // numbers of active engines
	sessions, busySessions         float64 // sticky sessions; attempts that run in such a session
}

// reviewEngines updates each engine's state to the current time and detects overdue attempts and outliers.
func (g *Gateway) reviewEngines() (counts fleetCounts) {
	g.slownesses = g.slownesses[:0]
	decay := g.newLoadDecay()
	for _, e := range g.engineList {
		counts.sessions += e.sessions
		g.integrateMix(e)
		g.advanceSlowStartSlot(e)
		g.decayLoad(e, decay)
		silent := g.reviewAttempts(e, &counts)
		if !e.active {
			continue
		}
		counts.active++
		if !e.outlier.ejected {
			g.slownesses = append(g.slownesses, e.logSlowness)
		}
		if g.isUnderPressure(e) {
			counts.underPressure++
		}
		if silent >= silentAttemptsToEject && !e.outlier.ejected {
			g.ejectSilent(e)
		}
		if e.outlier.ejected {
			counts.ejected++
			g.retryEjected(e)
		}
	}
	return counts
}

func (g *Gateway) updateSessionActivity(counts fleetCounts) {
	if counts.sessions > 0 {
		gain := 1 - decayFactor(kindLoadHalfLife)
		g.sessionActivity += gain * (counts.busySessions/counts.sessions - g.sessionActivity)
	}
}

// pollEngineList renews the engine list subscription where the list must be polled. It does so every half
// EngineListPollInterval, but not more often than every listPollRetryDelay: after EngineListPollInterval
// the rules count a list as known even if the gateway has not seen it.
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

// replyMargin returns how long before its deadline a query gets its final answer at the latest.
func (g *Gateway) replyMargin() time.Duration {
	return replyMarginBatches * max(g.cfg.BatchInterval, time.Millisecond)
}

// queryLabel returns the label of a query's timers; queryOfLabel is its inverse.
func queryLabel(id QueryID) uint64 { return uint64(id) + 1 }

func queryOfLabel(label uint64) QueryID { return QueryID(label - 1) }

// TimerQuery returns the query that a timer belongs to, given the label of its SetTimer action. Once the
// query has ended the timer has no effect and may be dropped. ok is false if the timer belongs to no query.
func (g *Gateway) TimerQuery(label uint64) (id QueryID, ok bool) { return TimerQuery(label) }

// TimerQuery is Gateway.TimerQuery for a gateway in another process.
func TimerQuery(label uint64) (id QueryID, ok bool) { return queryOfLabel(label), label != tickLabel }

// decayFactor returns the share of a value that remains after one tick, given its half-life.
func decayFactor(halfLife time.Duration) float64 {
	return math.Exp2(-tickInterval.Seconds() / halfLife.Seconds())
}
