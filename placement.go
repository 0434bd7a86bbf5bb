package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	maxIdleMargin         = 2.0                   // above this sizeMargin a query must fit an idle engine too
	unseenEngineRetryTime = baseEjectionTime      // if we run nothing, an engine unseen this long is tried
	fairSizeRatio         = 0.7                   // share of the mean work from which sizeMargin grows
	largeQueryPower       = 2.0                   // power of the size over fairSizeRatio in sizeMargin
	balanceWeight         = 1.0                   // added to the cost factor when our share is full
	tieBreakSpread        = 1.0                   // random share of a cost, which decides near-ties
	minIdleSessionThreads = 0.05                  // least share of a query's threads, per idle session
	sessionBalancePower   = 2.0                   // a cost grows with this power of sessions over fair share
	failureCostWeight     = 4.0                   // a cost grows by this times the failure rate...
	finalFailureWeight    = 16.0                  // ...or by this, if the query must not be repeated
	previousEngineCost    = 16.0                  // cost factor of the engine of the previous attempt
	loadProbeCount        = 3                     // engines probed before a long query is placed
	loadProbeWait         = 25 * time.Millisecond // how long the query waits for their load reports
)

// mayUse reports whether the rules that depend on the engine allow a query there: drains (rule 3), placement
// (rule 6), the group that drops repeats (rule 2) and slow start (rule 4).
func (g *Gateway) mayUse(q *query, e *engine) bool {
	if q.stickyEngine != "" {
		// A session's queries go only to its engine, and once that drains only within the drain grace.
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

// isDeduplicatedBy reports whether the query may be sent to an engine as far as deduplication goes: if an
// attempt may have run and repeats must be dropped, the engine has to be in the group that drops them.
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

// probeLoad requests load reports from a few engines that a long query may use, if neither peers nor our own
// queries show their load. The query waits loadProbeWait for the reports. Without the probes an overloaded
// engine, which answers no query and so reports nothing, would look as free as in its last report.
func (g *Gateway) probeLoad(q *query) {
	reports := g.cfg.MayCheckHealth && slices.Contains(g.cfg.LoadReportFields, loadReportConcurrent)
	if !reports || g.pressure.peersReport(g.now) || g.baseTime(q)*q.class.threads < minAnnouncedWork {
		return
	}
	probed := 0
	for _, i := range g.random.Perm(len(g.engineList)) {
		e := g.engineList[i]
		mostlyUnobserved := e.kind.cores/g.gatewayCount < q.class.threads
		if probed < loadProbeCount && g.mayUse(q, e) && !e.outlier.ejected && mostlyUnobserved {
			g.emit(Action{Type: CheckHealth, Engine: e.ID})
			probed++
		}
	}
	if probed > 0 {
		q.awaitReportsUntil = g.now + loadProbeWait
		g.setTimer(loadProbeWait, queryLabel(q.id))
	}
}

// placement holds the values that one choice of an engine for a query is based on.
type placement struct {
	query        *query
	remaining    float64 // time that the estimate must fit in, in seconds
	loadMargin   float64 // safety factor on the time that grows with load
	sizeMargin   float64 // safety factor on the estimate of a large query
	chance       float64 // random number, drawn once for all engines
	openSessions float64 // sticky sessions on active engines, if the query opens one
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
		// In an overload a few very long queries would take the capacity of many others. A very long query
		// earns no more than one of the others.
		size := g.baseTime(q) * q.class.threads / q.class.meanWork
		p.sizeMargin = math.Pow(math.Max(1, size/fairSizeRatio), largeQueryPower)
	}
	return p
}

// chooseEngine returns the engine with the lowest cost among those on which the query fits its remaining
// time. Engines that run none of our queries come first. Engines in blocked keep their capacity for queries
// with earlier deadlines; chooseEngine adds those on which the query fits but our threads have reached a
// limit. If best is nil, wait reports whether the query stays queued; otherwise the query is ended.
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
	// If clients are spread unevenly over gateways, our share of a quota is a guess. So a query over quota
	// may wait, except in an overload.
	overQuota := q.overQuota && g.pressure.overloaded
	return best, wait && !overQuota || !usable && g.baseTime(q) <= p.remaining
}

// sessionsFull reports whether a query would open a session on an engine that has the maximum already.
func (g *Gateway) sessionsFull(q *query, e *engine) bool {
	maxSessions := g.cfg.MaxSessionsPerEngine
	return q.opensSession && maxSessions > 0 && e.sessionCount() >= float64(maxSessions)
}

// fits reports whether a query with estimate est on an engine is expected to end in its remaining time, or
// may be sent there anyway.
func (g *Gateway) fits(p *placement, e *engine, est float64) bool {
	late := est*p.sizeMargin*g.loadGuard(p, e) > p.remaining
	return !late || g.mayTryIdle(p, e)
}

// mayTryIdle reports whether a query that does not fit may still go to an engine that runs none of ours. It
// may if our share of the engine's cores is at least the query's threads, else with a probability of that
// share over the threads. It may not if its remaining time is over and late answers have no value, nor if
// sizeMargin exceeds maxIdleMargin, unless this gateway runs nothing and has not seen the engine for
// unseenEngineRetryTime.
func (g *Gateway) mayTryIdle(p *placement, e *engine) bool {
	q := p.query
	// A gateway that runs nothing learns nothing, so a wrong estimate of an engine would never be corrected.
	retryUnseen := g.ownThreads == 0 && g.now-e.lastSeenAt > unseenEngineRetryTime
	idle := e.ownThreads == 0 && (p.sizeMargin <= maxIdleMargin || retryUnseen)
	return idle && p.chance < e.kind.cores/g.gatewayCount/q.class.threads &&
		(p.remaining > 0 || q.class.LateAnswerValue > 0)
}

// loadGuard returns the factor by which a query's time on an engine is assumed to grow with the threads per
// core there. Weights learn of load late, and not at all while nothing ends, so admission uses this factor.
// The choice among engines does not use it: reported loads are old, and a cost that grows steeply with them
// would make all gateways choose the same engine. For an engine in slow start the factor is 1, because slow
// start already limits what the engine gets.
func (g *Gateway) loadGuard(p *placement, e *engine) float64 {
	if g.rampFraction(e) < 1 {
		return 1
	}
	load := (e.ownThreads + *e.othersThreads()) / e.kind.cores
	expected := 1 + e.interference(p.query.class.index, e.runningCount)
	return p.loadMargin * math.Pow(math.Max(1, load/expected), g.unobservedShare(e))
}

// placementCost returns the cost by which engines that a query fits on are compared. idle reports whether the
// engine runs none of our queries and, for a query that opens a session, holds none of our sessions;
// chooseEngine prefers such engines.
func (g *Gateway) placementCost(p *placement, e *engine, est float64) (cost float64, idle bool) {
	q := p.query
	idle = e.ownThreads == 0
	sessionThreads := 0.0
	if q.opensSession {
		// An engine full of idle sessions looks free and would attract new sessions too. A session cannot
		// move, and it will run queries again, as often as other sessions do.
		sessions := e.sessionCount()
		sessionThreads = sessions * math.Max(minIdleSessionThreads, g.sessionActivity) * q.class.threads
		idle = idle && sessionThreads == 0
		fairSessions := p.openSessions*e.kind.cores/g.cores + 1
		est *= math.Pow(math.Max(1, (sessions+1)/fairSessions), sessionBalancePower)
	}
	failureWeight := failureCostWeight
	if q.class.Effect == NotIdempotent {
		failureWeight = finalFailureWeight
	}
	// While weights are small, the engine that looks slightly faster would get all queries. So the cost grows
	// with our threads on the engine, divided by our share of its cores.
	threads := e.ownThreads + q.class.threads + sessionThreads
	balance := 1 + balanceWeight*threads/g.initialThreadLimit(e)
	cost = est * (1 + failureWeight*e.outlier.failureRate) * balance
	if e == q.previousEngine { // chosen only if all others cost much more
		cost, idle = cost*previousEngineCost, false
	}
	// Without randomness, gateways with similar information would all choose the same engine.
	cost *= 1 + g.unobservedShare(e)*tieBreakSpread/q.class.threads*g.random.Float64()
	return cost, idle
}
