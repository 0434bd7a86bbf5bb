package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	maxIdleMargin         = 2.0                   // a query of a wider margin has no claim to an idle engine
	quietEngineRetry      = baseEjectionTime      // while nothing runs, one unheard of for so long is tried
	fairSizeRatio         = 0.7                   // part of the mean work from which a margin grows
	largeQueryPower       = 2.0                   // of the size over it
	balanceWeight         = 1.0                   // an estimate counts as so much more where our part is full
	tieBreakSpread        = 1.0                   // estimates so close, as a share, are alike: chance decides
	minIdleSessionThreads = 0.05                  // threads that an idle session counts as at least
	sessionBalancePower   = 2.0                   // of the excess of sessions by which a cost grows
	failureCostWeight     = 4.0                   // a cost grows by this times the failure rate...
	finalFailureWeight    = 16.0                  // ...or by this, where a failure would be the last
	previousEngineCost    = 16.0                  // times that the engine of the last attempt costs more
	loadProbeCount        = 3                     // engines probed before a long query is placed...
	loadProbeWait         = 25 * time.Millisecond // ...which waits so long for their reports
)

// mayUse checks what concerns a query on one engine: drains (rule 3), placement (rule 6), the group that
// drops repeats (rule 2) and slow start (rule 4).
func (g *Gateway) mayUse(q *query, e *engine) bool {
	if q.stickyEngine != "" {
		// A session's statements go where it is, on a draining engine within the grace.
		graceOver := g.now >= e.inactiveSince+g.cfg.Rules.DrainGrace-g.replyMargin()
		if e.ID != q.stickyEngine || !e.active && graceOver {
			return false
		}
	}
	if !e.active && (q.stickyEngine == "" || e.State != EngineDraining) {
		return false
	}
	c := q.class
	if len(c.AllowedKinds) > 0 && !slices.Contains(c.AllowedKinds, e.Kind) ||
		len(c.AllowedZones) > 0 && !slices.Contains(c.AllowedZones, e.Zone) {
		return false
	}
	return q.isDeduplicatedBy(e) && g.hasSlowStartCapacity(e, q)
}

// isDeduplicatedBy reports whether an engine drops a repeat of what may have run already, as far as it
// must.
func (q *query) isDeduplicatedBy(e *engine) bool {
	first, c := q.firstMaybeRan, q.class
	if first == nil || first.engine == e {
		return true
	}
	if c.Effect != IdempotentWithKey || c.DeduplicationScope == ScopeAll {
		return true
	}
	sameZone := first.engine.Zone == e.Zone
	return sameZone && (c.DeduplicationScope != ScopeCell || first.engine.Cell == e.Cell)
}

// probeLoad asks a few engines that a long query may use for a load report, where neither peers nor our own
// queries show how full they are; the query waits for the reports. Without it a jammed engine, which
// answers no query and so reports nothing, looks as free as it was when last heard of.
func (g *Gateway) probeLoad(q *query) {
	reports := g.cfg.MayCheckHealth && slices.Contains(g.cfg.LoadReportFields, loadReportConcurrent)
	if !reports || g.pressure.peersReport(g.now) || g.baseTime(q)*q.class.threads < minAnnouncedWork {
		return
	}
	probed := 0
	for _, i := range g.random.Perm(len(g.engineList)) {
		e := g.engineList[i]
		hidden := e.kind.cores/g.gatewayCount < q.class.threads
		if probed < loadProbeCount && g.mayUse(q, e) && !e.outlier.ejected && hidden {
			g.emit(Action{Type: CheckHealth, Engine: e.ID})
			probed++
		}
	}
	if probed > 0 {
		q.awaitReportsUntil = g.now + loadProbeWait
		g.setTimer(loadProbeWait, queryLabel(q.id))
	}
}

// placement is one choice of an engine for a query.
type placement struct {
	query        *query
	remaining    float64 // seconds that the estimate must fit in
	loadMargin   float64 // by which a time that grows with load must fit
	sizeMargin   float64 // by which the estimate of a large query must fit
	chance       float64 // drawn once, for all engines
	openSessions float64 // sticky sessions of the active engines, where the query opens one
}

func (g *Gateway) newPlacement(q *query) placement {
	p := placement{
		query: q, remaining: g.remainingTime(q), sizeMargin: 1, chance: g.random.Float64(),
		loadMargin: g.pressure.margin * math.Max(1, g.pressure.level),
	}
	for _, e := range g.engineList {
		if q.opensSession && e.active {
			p.openSessions += e.sessionCount()
		}
	}
	if g.pressure.overloaded && q.hasCostEstimate {
		// In an overload a few very long queries would take the capacity of many; each earns no more than
		// one.
		size := g.baseTime(q) * q.class.threads / q.class.meanWork
		p.sizeMargin = math.Pow(math.Max(1, size/fairSizeRatio), largeQueryPower)
	}
	return p
}

// chooseEngine picks the engine with the lowest cost among those whose estimate fits the remaining time; an
// engine that runs none of ours comes first. Engines in blocked keep their capacity for queries with
// earlier deadlines. Where there is no engine, wait says whether the query may be queued or is to be
// rejected.
func (g *Gateway) chooseEngine(q *query, blocked map[*engine]bool) (best *engine, wait bool) {
	p := g.newPlacement(q)
	var bestCost float64
	var bestIdle, usable bool
	for _, e := range g.engineList {
		if !g.mayUse(q, e) || g.avoidsOutlier(q, e) {
			continue
		}
		usable = true
		if g.sessionsFull(q, e) {
			continue
		}
		est := g.estimate(q, e)
		if !g.fits(&p, e, est) {
			continue
		}
		wait = true
		if g.fleetThreadsFull() || blocked[e] || g.atThreadLimit(e) {
			blocked[e] = true
			continue
		}
		cost, idle := g.placementCost(&p, e, est)
		if best == nil || idle && !bestIdle || idle == bestIdle && cost < bestCost {
			best, bestCost, bestIdle = e, cost, idle
		}
	}
	// Where clients are spread unevenly over gateways our part of a quota is a guess, so it counts in an
	// overload only.
	overQuota := q.overQuota && g.pressure.overloaded
	return best, wait && !overQuota || !usable && g.baseTime(q) <= p.remaining
}

// sessionsFull reports whether a query would open a session on an engine that has as many as it may have.
func (g *Gateway) sessionsFull(q *query, e *engine) bool {
	most := g.cfg.MaxSessionsPerEngine
	return q.opensSession && most > 0 && e.sessionCount() >= float64(most)
}

// fits reports whether a query of some estimate on an engine is expected to end in its remaining time, or
// may go there all the same.
func (g *Gateway) fits(p *placement, e *engine, est float64) bool {
	late := est*p.sizeMargin*g.loadGuard(p, e) > p.remaining
	return !late || g.mayTryIdle(p, e)
}

// mayTryIdle reports whether a query that does not fit may still go to an engine that runs none of ours:
// always where our part of its cores holds the query, else by that part's chance.
func (g *Gateway) mayTryIdle(p *placement, e *engine) bool {
	q := p.query
	// A gateway that runs nothing learns nothing, and what it last believed of an engine would hold for
	// ever.
	quiet := g.ownThreads == 0 && g.now-e.lastSeenAt > quietEngineRetry
	idle := e.ownThreads == 0 && (p.sizeMargin <= maxIdleMargin || quiet)
	return idle && p.chance < e.kind.cores/g.gatewayCount/q.class.threads &&
		(p.remaining > 0 || q.class.LateAnswerValue > 0)
}

// loadGuard is the factor by which a query's time on an engine is taken to grow with the threads a core
// there. Weights learn of load late, and never while nothing ends, so a query is admitted by this time. It
// does not choose by it: reported loads are old, and by a steep choice all gateways would take the same
// engine. Slow start limits what an engine gets by itself and needs no guard.
func (g *Gateway) loadGuard(p *placement, e *engine) float64 {
	if g.rampFraction(e) < 1 {
		return 1
	}
	load := (e.ownThreads + *e.othersThreads()) / e.kind.cores
	expected := 1 + e.interference(p.query.class.index, e.runningCount)
	return p.loadMargin * math.Pow(math.Max(1, load/expected), g.unobservedShare(e))
}

// placementCost is what decides among the engines on which a query fits; idle ones come first.
func (g *Gateway) placementCost(p *placement, e *engine, est float64) (cost float64, idle bool) {
	q := p.query
	idle = e.ownThreads == 0
	sessionThreads := 0.0
	if q.opensSession {
		// An engine full of idle sessions looks free, and would draw those that come as well. A session
		// runs again, as often as others do, and it cannot move.
		sessions := e.sessionCount()
		sessionThreads = sessions * math.Max(minIdleSessionThreads, g.sessionActivity) * q.class.threads
		idle = idle && sessionThreads == 0
		fair := p.openSessions*e.kind.cores/g.cores + 1
		est *= math.Pow(math.Max(1, (sessions+1)/fair), sessionBalancePower)
	}
	failureWeight := failureCostWeight
	if q.class.Effect == NotIdempotent {
		failureWeight = finalFailureWeight
	}
	// While weights are small the engine that looks fastest would draw everything, so threads of ours over
	// our part of the cores keep near-ties apart.
	threads := e.ownThreads + q.class.threads + sessionThreads
	balance := 1 + balanceWeight*threads/g.initialThreadLimit(e)
	cost = est * (1 + failureWeight*e.outlier.failureRate) * balance
	if e == q.previousEngine { // only where there is no other
		cost, idle = cost*previousEngineCost, false
	}
	// Without chance many gateways with like views would all pick the same engine.
	cost *= 1 + g.unobservedShare(e)*tieBreakSpread/q.class.threads*g.random.Float64()
	return cost, idle
}
