package cresspass

// The way in: a gateway's start, the events it takes and the books they change. What is decided on them is in
// gateway.go.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// New returns a gateway with the given settings, or an error naming the setting that contradicts itself.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, classes: map[string]*class{}, kinds: map[string]*kind{},
		engines: map[EngineID]*engine{}, enginesByTag: map[uint16]*engine{},
		queries: map[QueryID]*query{}, attempts: map[attemptKey]*attempt{},
		orderKeys: map[string]*orderKey{}, tenants: map[string]*tokenBucket{}, peerReports: map[int]receivedReport{},
		gatewayCount: math.Max(1, float64(cfg.GatewayCount)),
		margin:       1, peerLoadAt: -peerLoadHalfLife, loadReportAt: -peerLoadHalfLife,
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Ordinal)))}
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

// handleShutdown brings all deadlines forward to a time after which this gateway answers nobody.
func (g *Gateway) handleShutdown(left time.Duration) {
	g.shutdownAt = g.now + max(left, 1)
	ids := make([]QueryID, 0, len(g.queries))
	for id := range g.queries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if q := g.queries[id]; q.deadline > g.shutdownAt {
			q.deadline = g.shutdownAt
			g.setTimer(max(0, left-g.replyMargin()), uint64(id)+1)
		}
	}
}

func (g *Gateway) handlePeerMessage(ev *Event) {
	m, entries := decodePeerMessage(ev.Data)
	switch {
	case ev.Peer < 0 || ev.Peer >= g.cfg.GatewayCount:
	case m == peerLoadReport:
		g.collectReport(ev.Peer, entries)
	case m == peerSendNotice:
		g.toForward = append(g.toForward, entries...)
		fallthrough
	case m == peerForwardedSends || m == peerAggregate:
		g.applyPeerLoads(m, entries)
	}
}

// collectReport takes in a report.
func (g *Gateway) collectReport(peer int, entries []peerEntry) {
	g.peerReports[peer] = receivedReport{g.now, entries}
	for _, n := range entries {
		if e := g.enginesByTag[n.tag]; e != nil {
			e.succeededTotal += float64(n.succeeded)
			e.failedTotal += float64(n.failed)
		}
	}
}

// meanThreadsPerQuery is the mean number of threads of our queries that ran on engines of a kind.
func (g *Gateway) meanThreadsPerQuery(k *kind) float64 {
	queries, threads := 1.0, 1.0
	for _, e := range g.engineList {
		if e.kind == k {
			for j, c := range g.classList {
				queries, threads = queries+e.runningSeconds[j], threads+e.runningSeconds[j]*c.threads
			}
		}
	}
	return threads / queries
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

// queryCount is the number of our queries that run on an engine.
func (e *engine) queryCount() (sum float64) {
	for _, n := range e.runningCount[:len(e.runningCount)-1] {
		sum += n
	}
	return sum
}

// meanKindLoad is the kinds' crowding over all engines on the list, by their cores.
func (g *Gateway) meanKindLoad() float64 {
	if g.cores == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range g.engineList {
		if e.active {
			sum += e.kind.reportedLoad * e.kind.cores
		}
	}
	return sum / g.cores
}
