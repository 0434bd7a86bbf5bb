package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	maxIdleMargin          = 2.0                   // a query with a wider margin than this has no claim to an idle engine
	fairSizeRatio          = 0.7                   // part of its class's mean work from which a query's margin grows in an overload
	balanceWeight          = 1.0                   // an estimate counts as this much more where we fill our part of the cores
	tieBreakSpread         = 1.0                   // estimates this close, as a share, are alike: chance decides among them
	minIdleSessionThreads  = 0.05                  // threads that a session at rest counts as at least, when one is placed
	sessionBalancePower    = 2.0                   // an engine with more sessions than its part costs this power of the excess
	loadProbeCount         = 3                     // engines probed before a long query is placed...
	loadProbeWait          = 25 * time.Millisecond // ...which waits so long for their reports
	failureCostWeight      = 4.0                   // an estimate grows by this times the failure share...
	finalFailureCostFactor = 16.0                  // ...or this, where a failure would be the last
)

// probeLoad probes a few engines that a long query may use, where neither peers nor our own queries show how
// full they are; the query waits for the reports. Danger: a jammed engine answers no query, so it reports
// nothing of itself, and one that fills up looks as free as it was when last heard of.
func (g *Gateway) probeLoad(q *query) {
	reports := g.cfg.MayCheckHealth && slices.Contains(g.cfg.LoadReportFields, "concurrent")
	if !reports || g.now-g.pressure.peerLoadAt < peerLoadHalfLife || g.baseTime(q)*q.class.threads < minAnnouncedWork {
		return
	}
	asked := 0
	for _, i := range g.random.Perm(len(g.engineList)) {
		e := g.engineList[i]
		if asked < loadProbeCount && g.mayUse(q, e) && !e.outlier.ejected &&
			e.kind.cores/g.gatewayCount < q.class.threads {
			g.emit(Action{Type: CheckHealth, Engine: e.ID})
			asked++
		}
	}
	if asked > 0 {
		q.awaitReportsUntil = g.now + loadProbeWait
		g.setTimer(loadProbeWait, uint64(q.id)+1)
	}
}

// chooseEngine picks the engine with the lowest estimate that fits the time left; an engine holding none of
// ours comes first. Engines in blocked keep their room for queries with earlier deadlines. Where there
// is no engine, wait tells whether the query may be held or is to be refused.
func (g *Gateway) chooseEngine(q *query, blocked map[*engine]bool) (best *engine, wait bool) {
	var bestCost float64
	var bestIdle, usable bool
	left := g.remainingTime(q)
	caution := g.pressure.margin * math.Max(1, g.pressure.level)
	try := g.random.Float64()
	margin, opened := 1.0, 0.0
	for _, e := range g.engineList {
		if q.opensSession && e.active {
			opened += g.sessionCount(e)
		}
	}
	if g.pressure.overloaded && q.hasCostEstimate {
		// Danger: in an overload a few very long queries take the room of many; each earns no more than one.
		size := g.baseTime(q) * q.class.threads / q.class.meanWork
		margin = math.Pow(math.Max(1, size/fairSizeRatio), 2)
	}
	// An engine that runs none of ours takes the next; where our part of it is smaller, by a chance only.
	for _, e := range g.engineList {
		if !g.mayUse(q, e) {
			continue
		}
		if g.avoidsOutlier(q, e) {
			continue
		}
		usable = true
		if q.opensSession && g.cfg.MaxSessionsPerEngine > 0 &&
			g.sessionCount(e) >= float64(g.cfg.MaxSessionsPerEngine) {
			continue
		}
		idle := e.ownThreads == 0
		est := g.estimate(q, e)
		// Danger: a gateway that runs nothing learns nothing, and what it last believed would hold for ever.
		mute := g.ownThreads == 0 && g.now-e.lastHeardAt > baseEjectionTime
		trial := idle && (margin <= maxIdleMargin || mute) &&
			try < e.kind.cores/g.gatewayCount/q.class.threads
		// Danger: weights learn of a crowd late, and never while nothing ends. Cores are shared, so a query
		// is let in by a time that grows as threads a core do; it does not choose by it, as told loads are
		// old and a steep choice herds. A cold engine's intake is rationed and needs no guard.
		guard := 1.0
		if g.rampFraction(e) >= 1 {
			fill := (e.ownThreads + e.runningCount[len(g.classList)]) / e.kind.cores
			guard = caution * math.Pow(
				math.Max(1, fill/(1+e.interference(q.class.index, e.runningCount))),
				g.unobservedShare(e),
			)
		}
		if est*margin*guard > left && !(trial && (left > 0 || q.class.LateAnswerValue > 0)) {
			continue
		}
		wait = true
		if full := g.pressure.level > 1 && g.ownThreads >= fleetThreadLimitRatio*g.fairShare(); full ||
			blocked[e] ||
			g.atThreadLimit(e) {
			blocked[e] = true
			continue
		}
		weight := failureCostWeight
		if q.class.Effect == NotIdempotent {
			weight = finalFailureCostFactor
		}
		// Danger: while weights are small the engine that looks fastest would draw everything. Threads of
		// ours over our part of the cores keep near-ties apart.
		sits := 0.0
		if q.opensSession {
			// Danger: an engine full of sessions at rest looks free, and would draw those that come as well.
			// A session runs again, as often as others do, and it cannot move.
			sits = g.sessionCount(e) * math.Max(minIdleSessionThreads, g.sessionActivity) * q.class.threads
			idle = idle && sits == 0
			est *= math.Pow(
				math.Max(1, (g.sessionCount(e)+1)/(opened*e.kind.cores/g.cores+1)),
				sessionBalancePower,
			)
		}
		cost := est * (1 + weight*e.outlier.failureRate) * (1 + balanceWeight*(e.ownThreads+q.class.threads+sits)/g.initialThreadLimit(e))
		if e == q.previousEngine { // only where there is no other
			cost, idle = cost*finalFailureCostFactor, false
		}
		// Danger: many gateways with like views would all pick the same engine.
		cost *= 1 + g.unobservedShare(e)*tieBreakSpread/q.class.threads*g.random.Float64()
		if best == nil || idle && !bestIdle || idle == bestIdle && cost < bestCost {
			best, bestCost, bestIdle = e, cost, idle
		}
	}
	// Danger: where fronts are uneven our part of a quota is a guess; it counts in an overload only.
	return best, wait && !(q.overQuota && g.pressure.overloaded) || !usable && g.baseTime(q) <= left
}

// mayUse guards what concerns a query on one engine: the group that drops repeats (rule 2), drains
// (rule 3), cold engines (rule 4) and placement (rule 6).
func (g *Gateway) mayUse(q *query, e *engine) bool {
	c := q.class
	if q.stickyEngine != "" &&
		(e.ID != q.stickyEngine || g.now >= e.inactiveSince+g.cfg.Rules.DrainGrace-g.replyMargin() && !e.active) {
		return false // a session's statements go where it is kept, on a draining engine within the grace
	}
	if !e.active && (q.stickyEngine == "" || e.State != EngineDraining) ||
		len(c.AllowedKinds) > 0 && !slices.Contains(c.AllowedKinds, e.Kind) ||
		len(c.AllowedZones) > 0 && !slices.Contains(c.AllowedZones, e.Zone) {
		return false
	}
	if d := q.firstMaybeRan; d != nil && c.Effect == IdempotentWithKey && c.DeduplicationScope != ScopeAll &&
		d.engine != e {
		if d.engine.Zone != e.Zone || c.DeduplicationScope == ScopeCell && d.engine.Cell != e.Cell {
			return false
		}
	}
	return g.hasSlowStartCapacity(e, q)
}
