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
		engines: map[EngineID]*engine{}, byTag: map[uint16]*engine{},
		queries: map[QueryID]*query{}, attempts: map[attemptKey]*attempt{},
		keys: map[string]*orderKey{}, tenants: map[string]*bucket{}, reports: map[int]report{},
		gateways: math.Max(1, float64(cfg.Gateways)),
		margin:   1, toldAt: -newsHalfLife, reportedAt: -newsHalfLife,
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Ordinal)))}
	for i, c := range cfg.Classes {
		k := &class{Class: c, index: i, threads: told(cfg.ClassThreads, i, 1), scale: 1, grant: grantStart}
		k.loads = told(cfg.ClassLoads, i, false)
		k.work = c.Aim.Seconds() * k.threads
		g.classes[c.Name] = k
		g.order = append(g.order, k)
	}
	for i, name := range cfg.KindNames {
		g.kinds[name] = &kind{cores: told(cfg.KindCores, i, 1), memory: told(cfg.KindMemoryMB, i, 0),
			weights: g.newWeights(othersStart)}
	}
	for _, t := range cfg.Tenants {
		g.tenants[t.Name] = &bucket{level: quotaLeast, rate: t.Quota / g.gateways}
	}
	return g, nil
}

// Handle takes the clock and what has happened since the last call, in order, and appends to actions
// what is to be done. The gateway keeps neither slice.
func (g *Gateway) Handle(now time.Duration, events []Event, actions []Action) []Action {
	g.now, g.out = max(now, g.now), actions
	if !g.started {
		g.started = true
		g.watch()
	}
	for i := range events {
		g.take(&events[i])
	}
	g.release()
	out := g.out
	g.out = nil
	return out
}

func (g *Gateway) listed(ev *Event) {
	if ev.Listing == ListFailed {
		g.askAt = g.now + askRetry
		return
	}
	if ev.Listing != ListChanges {
		for _, e := range g.list {
			e.known = false
		}
	}
	for i := range ev.Engines {
		info := &ev.Engines[i]
		e := g.engines[info.ID]
		if e == nil {
			e = g.enlist(info)
		} else if info.Started > e.Started || info.Kind != e.Kind {
			g.reset(e, info) // its process or machine is new: nothing learnt of the old one holds
		}
		if info.State != EngineOn && (e.State == EngineOn || e.offAt == 0) {
			e.offAt = g.now
		}
		e.EngineInfo = *info
		e.known = info.State == EngineOn
	}
	g.forgetGone()
	g.cores = 0
	for _, e := range g.list {
		if e.known {
			g.cores += e.kind.cores
		}
	}
}

// ending brings all deadlines forward to a time after which this gateway answers nobody.
func (g *Gateway) ending(left time.Duration) {
	g.endsAt = g.now + max(left, 1)
	ids := make([]QueryID, 0, len(g.queries))
	for id := range g.queries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if q := g.queries[id]; q.deadline > g.endsAt {
			q.deadline = g.endsAt
			g.timer(max(0, left-g.expiry()), uint64(id)+1)
		}
	}
}

func (g *Gateway) peerTold(ev *Event) {
	m, entries := decodePeer(ev.Data)
	switch {
	case ev.Peer < 0 || ev.Peer >= g.cfg.Gateways:
	case m == peerReport:
		g.gather(ev.Peer, entries)
	case m == peerSent:
		g.relay = append(g.relay, entries...)
		fallthrough
	case m == peerRelay || m == peerSums:
		g.told(m, entries)
	}
}

// gather takes in a report.
func (g *Gateway) gather(peer int, entries []peerEntry) {
	g.reports[peer] = report{g.now, entries}
	for _, n := range entries {
		if e := g.byTag[n.tag]; e != nil {
			e.goodSum += float64(n.good)
			e.badSum += float64(n.bad)
		}
	}
}

// threadsEach is the mean number of threads of our queries that ran on engines of a kind.
func (g *Gateway) threadsEach(k *kind) float64 {
	queries, threads := 1.0, 1.0
	for _, e := range g.list {
		if e.kind == k {
			for j, c := range g.order {
				queries, threads = queries+e.area[j], threads+e.area[j]*c.threads
			}
		}
	}
	return threads / queries
}

// smallest is the least mean work of a class.
func (g *Gateway) smallest() float64 {
	work := math.Inf(1)
	for _, c := range g.order {
		work = math.Min(work, c.work)
	}
	return work
}

// mix is what the running queries of this gateway add to a query's time, over its base.
func (e *engine) mix(i int, n []float64) float64 {
	sum := 0.0
	for j, v := range n {
		sum += math.Max(0, e.kind.weights[i][j]+e.own[i][j]) * v / e.kind.cores
	}
	return sum
}

// queries is the number of our queries that run on an engine.
func (e *engine) queries() (sum float64) {
	for _, n := range e.count[:len(e.count)-1] {
		sum += n
	}
	return sum
}

// meanCrowd is the kinds' crowding over all engines on the list, by their cores.
func (g *Gateway) meanCrowd() float64 {
	if g.cores == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range g.list {
		if e.known {
			sum += e.kind.crowd * e.kind.cores
		}
	}
	return sum / g.cores
}
