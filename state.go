package cresspass

// State of a gateway: what it holds of classes, engines, queries and peers. Decisions are in gateway.go.

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

type class struct {
	Class
	index           int
	threads         float64
	bulkLoad        bool
	baseScale       float64       // unloaded time over the told estimate (or over the aim where none is told)
	outcomesSeen    float64       // outcomes that have corrected it
	meanWork        float64       // mean work of a query, in thread seconds
	grantFactor     float64       // memory granted over the told estimate
	longestDeadline time.Duration // longest wait of a try seen
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
	ownThreads, threadLimit      float64       // threads running; threads this gateway may run under pressure
	logSlowness, logLatency      float64       // logs: fast-moving slowness; recent latency over best
	excessLogSlowness            float64       // slowness beyond the fleet's median at the last tick
	sessions                     float64       // of this gateway, that are kept there
	inactiveSince                time.Duration // when it was told to drain or be gone
	integratedAt, limitCutAt     time.Duration // when area and bound were last changed
	rejectingUntil               time.Duration // under pressure until then: it turned work away
	loadKnownAt                  time.Duration // when others' threads were last told
	grantedMemory                float64       // memory granted over memory, as reported
	recentSends                  float64       // threads told as just sent, fading into the sums
	aggregateLoad                float64       // threads of all gateways, while this one is a hub
	succeededTotal, failedTotal  float64       // the same of all gateways, fading, while this one is a hub
	succeeded, failed            int           // answers, and failures or lost answers, since the last digest

	failureRate                             float64       // recent share of failed attempts
	consecutiveFailures, probationSuccesses int           // failures in a row; trials answered since it fell sick
	lastHeardAt, knownSince                 time.Duration // last sign of life; beginning of what is known of it
	ejected, checkingHealth                 bool
	onProbation                             bool // open to one trial query at a time
	ejectedUntil, ejectionTime              time.Duration
	slowStartSends                          []slowStartSend
	slotProgress                            float64 // part of the period of a cold engine's turns that has passed
	slotEndsAt                              time.Duration
}

type slowStartSend struct {
	at   time.Duration
	work float64
}

type attempt struct {
	query           *query
	engine          *engine
	number          int
	sentAt, notedAt time.Duration // sent; last note of it
	base, estimate  float64       // seconds
	grantMB         float64
	runningSeconds  []float64 // the engine's integral of the mix when it was sent
	overdueRatio    float64   // next multiple of the estimate at which it counts as overdue

	cancelled, spilled, presumedLost bool
}

// attemptKey names an attempt as events do.
type attemptKey struct {
	query  QueryID
	number int
}

type query struct {
	id             QueryID
	class          *class
	tableGroup     float64
	orderKey       *orderKey
	inFlight       []*attempt
	previousEngine *engine  // where its last attempt ended
	firstMaybeRan  *attempt // earliest attempt that may have run
	stickyEngine   EngineID // the one engine that may run it; "": any
	opensSession   bool     // a session is opened by it

	deadline, arrivedAt, priorWait           time.Duration // waited: what the client had waited in earlier tries
	awaitReportsUntil                        time.Duration // held until then for reports that were asked for
	estimateSpread                           float64       // how much further over Est it may be than a query of told cost
	rawBase, memoryMB                        float64       // told estimate over threads, or the aim, in seconds; told MB
	attemptCount, earlyCancels               int
	overQuota, hasCostEstimate, queued, done bool // over: beyond its tenant's share; told: its cost was estimated
}

type orderKey struct {
	waiting   []*query
	running   int
	settlesAt time.Duration
}

type tokenBucket struct {
	tokens, rate float64
	updatedAt    time.Duration
}

// receivedReport is what a peer told of what it runs.
type receivedReport struct {
	at      time.Duration
	entries []peerEntry
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
	orderKeys       map[string]*orderKey
	tenants         map[string]*tokenBucket
	scratch         []float64
	random          *rand.Rand
	listPollAt      time.Duration
	shutdownAt      time.Duration // no answer may be given later; 0: none told
	started         bool

	gatewayCount             float64
	fleetLogSlowness         float64 // log of the fleet's slowness, of which an engine's own is a deviation
	ownThreads               float64 // ours running on all engines
	cores                    float64 // told cores of all engines on the list
	fleetLoad                float64 // threads a core over the whole fleet, as told
	peerReports              map[int]receivedReport
	gossipAt                 time.Duration
	clockOffset              time.Duration // how far the gateways' common clock is ahead of ours
	toForward                []peerEntry   // entries of sent queries to pass on
	aggregationRounds        int           // reports sent since this gateway last became a hub; 0: it is none
	medianLogSlowness        float64       // of the engines' slowness
	orderKeySweepAt          int           // number of order keys at which those with nothing left are forgotten
	mostEjected              bool          // so many engines are sick that it is the fleet
	overloaded               bool          // the fleet is under pressure
	pressure                 float64
	margin                   float64
	peerLoadAt, loadReportAt time.Duration   // when peers, and engines, last told of load
	arrivals, retries        []time.Duration // times of queries taken and of further attempts (rule 7)
}

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

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) setTimer(in time.Duration, label uint64) {
	g.emit(Action{Type: SetTimer, Wait: max(in, time.Microsecond), Label: label})
}

// integrateMix brings the integral of an engine's mix up to now.
func (g *Gateway) integrateMix(e *engine) {
	for j, n := range e.runningCount {
		e.runningSeconds[j] += n * (g.now - e.integratedAt).Seconds()
	}
	e.integratedAt = g.now
}

func (g *Gateway) enqueue(q *query) {
	at := sort.Search(len(g.queue), func(i int) bool {
		h := g.queue[i]
		return h.deadline > q.deadline || h.deadline == q.deadline && h.id > q.id
	})
	g.queue = slices.Insert(g.queue, at, q)
	q.queued = true
}

func (g *Gateway) removeQuery(q *query) {
	q.done = true
	delete(g.queries, q.id)
	if q.queued {
		g.queue = slices.DeleteFunc(g.queue, func(h *query) bool { return h == q })
		q.queued = false
	}
	if k := q.orderKey; k != nil {
		k.waiting = slices.DeleteFunc(k.waiting, func(h *query) bool { return h == q })
	}
}

func (g *Gateway) sendToPeer(peer int, m peerMessageType, entries []peerEntry) {
	for _, data := range encodePeerMessage(m, entries) {
		g.emit(Action{Type: SendToPeer, Peer: peer, Data: data})
	}
}

// attemptStarted keeps the books of an attempt being sent, end those of one that got its outcome.
func (g *Gateway) attemptStarted(a *attempt) {
	q, e := a.query, a.engine
	if q.attemptCount > 0 {
		g.retries = append(g.retries, g.now)
	}
	q.attemptCount++
	q.inFlight = append(q.inFlight, a)
	if q.orderKey != nil {
		q.orderKey.running++
	}
	e.running = append(e.running, a)
	e.runningCount[q.class.index]++
	e.ownThreads += q.class.threads
	g.ownThreads += q.class.threads
	g.attempts[attemptKey{q.id, a.number}] = a
}

func (g *Gateway) attemptEnded(a *attempt) {
	q, e := a.query, a.engine
	delete(g.attempts, attemptKey{q.id, a.number})
	g.releaseThreads(a)
	if q.orderKey != nil {
		q.orderKey.running--
	}
	same := func(v *attempt) bool { return v == a }
	e.running, q.inFlight = slices.DeleteFunc(e.running, same), slices.DeleteFunc(q.inFlight, same)
}

// resetEngine makes an engine as good as new: its own weights zero, so that its kind's average stands.
func (g *Gateway) resetEngine(e *engine, info *EngineInfo) {
	k := g.kinds[info.Kind]
	if k == nil {
		k = &kind{cores: 1, weights: g.newWeights(initialOthersWeight)}
		g.kinds[info.Kind] = k
	}
	e.kind, e.ownWeights, e.logLatency, e.logSlowness, e.excessLogSlowness, e.failureRate, e.consecutiveFailures = k, g.newWeights(
		0,
	), 0, 0, 0, 0, 0
	e.threadLimit = g.initialThreadLimit(e)
	e.ejected, e.checkingHealth, e.onProbation, e.ejectionTime = false, false, false, 0
	e.lastHeardAt, e.knownSince = g.now, g.now
	e.slotProgress, e.slotEndsAt = g.random.Float64(), 0
}

// addEngine makes room for an engine never seen before.
func (g *Gateway) addEngine(info *EngineInfo) *engine {
	e := &engine{tag: engineTag(info.ID)}
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

// enqueueByKey puts a query at the end of its key's line.
func (g *Gateway) enqueueByKey(q *query, key string) {
	k := g.orderKeys[key]
	if k == nil {
		if len(
			g.orderKeys,
		) >= g.orderKeySweepAt { // keys with nothing left are forgotten, at a cost that does not grow
			for name, old := range g.orderKeys {
				if len(old.waiting) == 0 && old.running == 0 && g.now >= old.settlesAt {
					delete(g.orderKeys, name)
				}
			}
			g.orderKeySweepAt = 2*len(g.orderKeys) + 64
		}
		k = &orderKey{}
		g.orderKeys[key] = k
	}
	k.waiting = append(k.waiting, q)
	q.orderKey = k
}

// take reports whether a bucket that holds at most burst had one left.
func (b *tokenBucket) take(now time.Duration, burst float64) bool {
	b.tokens = min(burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
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
		g.clockOffset = ev.Elapsed - g.now
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

// rampFraction is the share of its capacity a started engine has at least.
func (g *Gateway) rampFraction(e *engine) float64 {
	age, r := g.now-e.StartedAt, &g.cfg.Rules
	if e.StartedAt <= 0 || r.SlowStartDuration <= 0 || age >= r.SlowStartDuration || r.SlowStartFrom <= 0 {
		return 1
	}
	return r.SlowStartFrom + (1-r.SlowStartFrom)*math.Max(0, age.Seconds())/r.SlowStartDuration.Seconds()
}

// releaseThreads takes an attempt from what counts as running.
func (g *Gateway) releaseThreads(a *attempt) {
	if a.presumedLost {
		return
	}
	g.integrateMix(a.engine)
	a.engine.runningCount[a.query.class.index]--
	a.engine.ownThreads -= a.query.class.threads
	g.ownThreads -= a.query.class.threads
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

// snapshot is the form of what a gateway has learnt of classes and kinds.
type snapshot struct {
	Version int                    `json:"version"`
	Classes []snapshotClass        `json:"classes"`
	Kinds   map[string][][]float64 `json:"kinds"`
}

type snapshotClass struct {
	Name  string  `json:"name"`
	Scale float64 `json:"scale"`
	Seen  float64 `json:"seen"`
	Work  float64 `json:"work"`
	Grant float64 `json:"grant"`
}

// snapshotVersion is that of the form.
const snapshotVersion = 1

// Snapshot returns what the gateway has learnt, for Restore of a later one.
func (g *Gateway) Snapshot() []byte {
	l := snapshot{Version: snapshotVersion, Kinds: map[string][][]float64{}}
	for _, c := range g.classList {
		l.Classes = append(
			l.Classes,
			snapshotClass{c.Name, c.baseScale, c.outcomesSeen, c.meanWork, c.grantFactor},
		)
	}
	for name, k := range g.kinds {
		l.Kinds[name] = k.weights
	}
	data, _ := json.Marshal(l) // finite numbers and names cannot fail
	return data
}

// decodeSnapshot reads a snapshot, or says why it is none.
func decodeSnapshot(data []byte) (*snapshot, error) {
	var l snapshot
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("cresspass: snapshot: %w", err)
	}
	if l.Version != snapshotVersion {
		return nil, fmt.Errorf("cresspass: snapshot: version %d, want %d", l.Version, snapshotVersion)
	}
	for _, c := range l.Classes {
		for _, v := range []float64{c.Scale, c.Work, c.Grant} {
			if !(v > 0 && v < math.MaxFloat32) {
				return nil, fmt.Errorf("cresspass: snapshot: class %q: value %v", c.Name, v)
			}
		}
		if !(c.Seen >= 0 && c.Seen < math.MaxFloat32) {
			return nil, fmt.Errorf("cresspass: snapshot: class %q: seen %v", c.Name, c.Seen)
		}
	}
	for name, rows := range l.Kinds {
		for _, row := range rows {
			for _, v := range row {
				if !(v >= 0 && v < math.MaxFloat32) || len(rows) != len(l.Classes) ||
					len(row) != len(rows)+1 {
					return nil, fmt.Errorf("cresspass: snapshot: kind %q: weights", name)
				}
			}
		}
	}
	return &l, nil
}

// matchesClasses reports whether a snapshot's classes are the gateway's, in their order: its weights are
// told by number.
func (l *snapshot) matchesClasses(g *Gateway) bool {
	return slices.EqualFunc(
		l.Classes,
		g.classList,
		func(a snapshotClass, c *class) bool { return a.Name == c.Name },
	)
}
