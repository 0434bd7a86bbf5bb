// Package cresspass decides, for one gateway that sees only its own traffic, when and on which engine
// each query runs. The design is Q-Cop (Tozer 2009) with a bound on running threads; docs/design.md
// tells what was kept and what was stretched. The types, events and actions stand in types.go.
package cresspass

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Tuned values. Shares and ratios have no unit; gains are the part of an error taken up per outcome.
const (
	tickInterval       = 50 * time.Millisecond // pace of the periodic look at what is running
	replyMarginBatches = 2                     // final answers leave this many batch ticks before the deadline
	listPollRetryDelay = 500 * time.Millisecond

	// The fit.
	baseGain            = 0.04 // least gain of a class's base; higher while it has seen few outcomes
	kindGain            = 0.10 // gain of a kind's average weights
	engineGain          = 0.05 // gain of an engine's own deviation from its kind
	meanWorkGain        = 0.05 // gain of a class's mean work
	firstAttemptShare   = 0.98 // a try that may last less than this share of the longest seen is a later one
	minBaseShare        = 0.02 // least base, in parts of the aim: below, travel and handshakes rule the time
	maxErrorRatio       = 4.0  // an outcome counts as at most this many times its estimate
	maxWeight           = 4.0  // a query adds at most this many times its own threads' share of an engine
	initialOthersWeight = 0.25 // weight of a thread of other gateways, over base and per core, before any outcome
	slownessGain        = 0.12 // gain of an engine's slowness, much faster than the weights
	fleetSlownessGain   = 0.08 // gain of the fleet's slowness, fed by every outcome
	firstOverdueRatio   = 2.0  // a running query this many times over its estimate counts as a lower bound
	presumedLostRatio   = 4.0  // one so many times over, its answer is taken for lost

	// Pressure and margin.
	slownessHalfLife         = 40 * time.Second // of slowness: at full size an engine gives an outcome every 10 s or so
	calmSlowness             = 2.0              // slowness of the fleet that is no pressure, where threads are untold
	targetThreadsPerCore     = 1.3              // told threads a core over the fleet that the margin aims at
	marginGain               = 0.5              // part of the pressure's logarithm that the margin takes up a second
	minPressure              = 0.25             // less pressure lets the margin fall no faster
	maxMargin                = 8.0
	maxIdleMargin            = 2.0 // a query with a wider margin than this has no claim to an idle engine
	fairSizeRatio            = 0.7 // part of its class's mean work from which a query's margin grows in an overload
	overloadedOneIn          = 3   // one engine in this many under pressure is an overload of the fleet
	pressureLatencyRatio     = 2.0 // latency over best from which the thread bound binds
	calmLatencyRatio         = 1.5 // latency over best under which it widens
	latencyGain              = 0.15
	rejectionPressureTime    = time.Second // an engine that turned work away is under pressure for so long
	threadLimitStep          = 1.0         // threads added for each bound's worth of outcomes near best
	threadLimitEnforcedRatio = 2.0         // from this many times its start it binds always...
	maxThreadLimitPerCore    = 1.5         // ...unless calm outcomes have widened it, to this many threads a core
	threadLimitUsedShare     = 0.5         // it widens only while this share of it is in use
	threadLimitCutFactor     = 0.9         // the bound shrinks to this share, at most once a typical latency
	fleetThreadLimitRatio    = 8.0         // under pressure ours over all engines stay under so many of our parts
	balanceWeight            = 1.0         // an estimate counts as this much more where we fill our part of the cores
	tieBreakSpread           = 1.0         // estimates this close, as a share, are alike: chance decides among them
	minIdleSessionThreads    = 0.05        // threads that a session at rest counts as at least, when one is placed
	sessionBalancePower      = 2.0         // an engine with more sessions than its part costs this power of the excess
	quotaBurstSeconds        = 2.0         // seconds of a tenant's share that may come at once...
	quotaMinBurst            = 8.0         // ...and this many queries more: a small part of a share comes in clumps

	// What peers tell.
	peerReportInterval     = 500 * time.Millisecond // pace of reports to the hub
	minAnnouncedWork       = 1.0                    // thread seconds from which a sent query is told at once
	aggregatorTermLength   = 5 * time.Second        // how long a gateway is the hub
	peerLoadHalfLife       = 2 * time.Second        // of what was told
	minPeerFailuresToEject = 3.0                    // failures and lost answers that may call an engine sick
	peerOutcomeRetention   = 0.8                    // part of the evidence kept each time sums are told

	// What engines report.
	loadReportGain     = 0.2                    // gain of a kind's crowding, fed by every report
	loadProbeCount     = 3                      // engines probed before a long query is placed...
	loadProbeWait      = 25 * time.Millisecond  // ...which waits so long for their reports
	loadReportHalfLife = 500 * time.Millisecond // of a report, towards what the kind reports on average
	pagingPower        = 2.5                    // at twice its memory a paging engine is some six times slower
	kindLoadHalfLife   = 10 * time.Second       // of a kind's crowding while nothing is reported
	maxReportedLoad    = 16.0                   // a report counts as at most so many threads a core

	// Health.
	failureRateGain          = 0.2  // gain of an engine's share of failed attempts
	ejectFailureRate         = 0.4  // share of failures from which an engine is sick
	ejectConsecutiveFailures = 3    // failures in a row from which it is sick
	failureCostWeight        = 4.0  // an estimate grows by this times the failure share...
	finalFailureCostFactor   = 16.0 // ...or this, where a failure would be the last
	silenceEstimateRatio     = 3.0  // an attempt this far over its estimate, nothing heard since, is a sign of silence
	minSilence               = 700 * time.Millisecond
	silentAttemptsToEject    = 2 // attempts that must show silence
	probationSuccessesNeeded = 2 // answered trials after which an engine is well again
	baseEjectionTime         = time.Second
	maxEjectionTime          = 5 * time.Second
	slowStartBudgetShare     = 0.5  // part of the cold budget used, for chance and mistaken work
	slowStartSigmas          = 5.0  // between the mean of what goes by turns and the budget
	slowStartMaxSize         = 3.0  // of the smallest class's mean work: no larger query goes by a turn
	capacityCPUShare         = 0.85 // a capacity is the rate at which cores are this busy
	badPlanRatio             = 2.5  // a projected run this many times over its estimate is a bad plan
	overdueCancelRatio       = 3.0  // so is one so far over it of which nothing is heard; or its answer is lost
	retryAdvantageRatio      = 1.3  // what is left must exceed a fresh run's estimate by this ratio
	maxEarlyCancels          = 2    // a query that is long every time is just long
	unknownCostSpread        = 2.0  // limits of bad plans are so much wider without a told cost
	initialGrantFactor       = 1.25 // memory granted over the estimate, adapted by class
	grantIncrease            = 0.06
	grantDecrease            = 0.01
	topPriority              = 3

	snapshotHalfLife = 10 * time.Minute // of what an earlier gateway had learnt
)

func (g *Gateway) replyMargin() time.Duration {
	return replyMarginBatches * max(g.cfg.BatchInterval, time.Millisecond)
}

// Engine view and health.

// pollEngineList subscribes to the engine list. Renewing well inside the rule's time keeps the list from
// being deemed told to us while we have not seen it.
func (g *Gateway) pollEngineList() {
	g.emit(Action{Type: SubscribeEngineList, Enabled: true})
	g.listPollAt = g.now + max(g.cfg.Rules.EngineListPollInterval/2, listPollRetryDelay)
}

// recordHealth takes in whether an attempt was answered. Failures are evidence about the engine, never about
// interference, so they stay out of the fit.
func (g *Gateway) recordHealth(e *engine, ok bool) {
	if ok {
		e.failureRate -= failureRateGain * e.failureRate
		e.consecutiveFailures = 0
		if e.ejected && e.onProbation {
			if e.probationSuccesses++; e.probationSuccesses >= probationSuccessesNeeded {
				e.ejected, e.onProbation, e.ejectionTime, e.failureRate = false, false, 0, 0
			}
		}
		return
	}
	e.failureRate += failureRateGain * (1 - e.failureRate)
	e.consecutiveFailures++
	if e.ejected && e.onProbation ||
		!e.ejected &&
			(e.consecutiveFailures >= ejectConsecutiveFailures || e.failureRate >= ejectFailureRate) {
		g.eject(e)
	}
}

// eject keeps queries from an engine for a while, longer each time it fails its trials.
func (g *Gateway) eject(e *engine) {
	e.ejected, e.onProbation, e.checkingHealth, e.probationSuccesses = true, false, false, 0
	e.ejectionTime = min(max(baseEjectionTime, e.ejectionTime*2), maxEjectionTime)
	e.ejectedUntil = g.now + e.ejectionTime
}

func (g *Gateway) handleHealthCheck(ev *Event) {
	e := g.engines[ev.Engine]
	if e != nil && ev.HasLoadReport {
		g.applyLoadReport(e, ev.LoadReport)
	}
	if e != nil && e.checkingHealth {
		if e.checkingHealth, e.onProbation = false, ev.Outcome == OutcomeOK; !e.onProbation {
			g.eject(e)
		}
	}
}

// tick looks at what is running: silent engines, overdue queries, the fleet's median slowness.
func (g *Gateway) tick() {
	g.setTimer(tickInterval, 0)
	g.fleetLogSlowness *= decayFactor(slownessHalfLife)
	g.hasRetryBudget() // forgets what has left its window, also while nothing is tried again
	if g.cfg.PollEngineList && g.now >= g.listPollAt {
		g.pollEngineList()
	}
	g.gossip()
	g.scratch = g.scratch[:0]
	g.fleetLoad *= decayFactor(peerLoadHalfLife)
	keepCrowd := decayFactor(kindLoadHalfLife)
	for _, k := range g.kinds { // in any order
		k.reportedLoad, k.grantedMemory = k.reportedLoad*keepCrowd, k.grantedMemory*keepCrowd
	}
	keepSlow, keepRecent, keepNews := decayFactor(
		slownessHalfLife,
	), decayFactor(
		peerReportInterval,
	), decayFactor(
		peerLoadHalfLife,
	)
	fresh := peerLoadHalfLife
	if g.loadReportAt > g.peerLoadAt { // others act on the same report, so it is soon no longer true
		fresh, keepNews = 0, decayFactor(loadReportHalfLife)
	}
	sick, pressed, all := 0, 0, 0
	sat, busy := 0.0, 0.0
	for _, e := range g.engineList {
		sat += e.sessions
		e.logSlowness, e.logLatency = e.logSlowness*keepSlow, e.logLatency*keepCrowd
		g.integrateMix(e)
		g.advanceSlowStartSlot(e)
		others, less := &e.runningCount[len(g.classList)], e.recentSends*(1-keepRecent)
		e.recentSends, *others = e.recentSends-less, math.Max(0, *others-less)
		// Danger: an engine of which nothing is told would look free; it is taken to be like its kind.
		if g.now-e.loadKnownAt > fresh {
			*others += (1 - keepNews) * (e.kind.reportedLoad*g.unobservedShare(e)*e.kind.cores - *others)
			e.grantedMemory += (1 - keepNews) * (e.kind.grantedMemory - e.grantedMemory)
		}
		silent := 0
		for _, a := range e.running {
			if a.query.stickyEngine != "" {
				busy++
			}
			age := (g.now - a.sentAt).Seconds()
			// Danger: a slow engine answers nothing for long, so its slowness would go unseen. But a lost
			// answer tells nothing of slowness; where notes show what runs, none is taken for that.
			if age > a.overdueRatio*a.estimate && !a.cancelled &&
				!(a.presumedLost && g.cfg.ProgressInterval == 0) {
				seen := math.Log(a.overdueRatio * a.estimate / a.base)
				e.logSlowness += slownessGain * math.Max(
					0,
					math.Min(seen, 2*math.Log(maxErrorRatio))-g.logSlowness(e),
				)
				if g.now-g.loadReportAt > peerLoadHalfLife { // reports show a crowd; what is overdue may be lost
					g.learnFleetSlowness(seen - e.logSlowness)
				}
				e.logLatency += latencyGain * math.Max(
					0,
					math.Min(seen, 2*math.Log(maxErrorRatio))-e.logLatency,
				)
				a.overdueRatio *= firstOverdueRatio
				if a.overdueRatio > presumedLostRatio && !a.presumedLost {
					// Danger: a lost answer would hold its room until the client gives up.
					g.releaseThreads(a)
					a.presumedLost = true
					e.failed++
				}
			}
			if g.isOverdue(a, age) {
				g.cancelForRetry(a)
			}
			if age > silenceEstimateRatio*a.estimate && e.lastHeardAt < a.sentAt+g.cfg.ProgressInterval &&
				g.now-e.lastHeardAt > minSilence {
				silent++
			}
		}
		if !e.active {
			continue
		}
		if !e.ejected {
			g.scratch = append(g.scratch, e.logSlowness)
		}
		if all++; e.logLatency > math.Log(pressureLatencyRatio) &&
			e.ownThreads >= threadLimitUsedShare*g.initialThreadLimit(e) {
			pressed++
		}
		if silent >= silentAttemptsToEject && !e.ejected {
			g.eject(e)
			for _, a := range e.running { // what may lawfully run elsewhere is called off
				if !a.query.done && a.query.class.Effect != NotIdempotent && g.mayAttempt(a.query) {
					g.cancelAttempt(a)
				}
			}
		}
		if e.ejected {
			sick++
			if g.now >= e.ejectedUntil && !e.onProbation && !e.checkingHealth {
				if e.checkingHealth = g.cfg.MayCheckHealth; e.checkingHealth {
					g.emit(Action{Type: CheckHealth, Engine: e.ID})
				} else {
					e.onProbation = true
				}
			}
		}
	}
	if sat > 0 {
		g.sessionActivity += (1 - keepCrowd) * (busy/sat - g.sessionActivity)
	}
	if sort.Float64s(g.scratch); len(g.scratch) > 0 {
		g.medianLogSlowness = g.scratch[len(g.scratch)/2]
	}
	for _, e := range g.engineList {
		// Danger: with many outcomes a tick, slowness as it is now and a median of before chase one another.
		e.excessLogSlowness = e.logSlowness - g.medianLogSlowness
	}
	// Danger: all engines in trouble together is not one sick engine; shunning them all serves nobody.
	g.mostEjected = sick*2 > all
	g.pressure = math.Exp(g.fleetLogSlowness) / calmSlowness
	step := -1.0 // without news the margin falls back: slowness alone may be no overload, and stay
	if g.now-max(g.peerLoadAt, g.loadReportAt) < peerLoadHalfLife {
		g.pressure = g.fleetLoad / targetThreadsPerCore
	}
	if g.now-g.peerLoadAt < peerLoadHalfLife {
		step = math.Log(math.Max(g.pressure, minPressure))
	}
	g.margin = min(max(g.margin*math.Exp(step*marginGain*tickInterval.Seconds()), 1), maxMargin)
	g.overloaded = g.pressure > 1 || pressed*overloadedOneIn > all
}

// decayFactor is the share of a value kept from tick to tick, given its half-life.
func decayFactor(half time.Duration) float64 {
	return math.Exp2(-tickInterval.Seconds() / half.Seconds())
}

// unobservedShare is how much of an engine our queries leave in the dark: near 1 where our part of its cores
// is small.
func (g *Gateway) unobservedShare(e *engine) float64 {
	return math.Pow(1+e.kind.cores/g.gatewayCount, -2)
}

// logSlowness is the logarithm by which an engine, and as far as that is hidden the fleet, is slower than
// Est.
func (g *Gateway) logSlowness(e *engine) float64 {
	return e.logSlowness + g.unobservedShare(e)*g.fleetLogSlowness
}

// clipError limits an error, in logarithms, to what one outcome may count for.
func clipError(miss float64) float64 {
	return min(max(miss, -math.Log(maxErrorRatio)), math.Log(maxErrorRatio))
}

// learnFleetSlowness takes in what an attempt tells of the fleet's slowness: when it ends in good time, else
// each time it becomes overdue.
func (g *Gateway) learnFleetSlowness(ratio float64) {
	g.fleetLogSlowness += fleetSlownessGain * clipError(ratio-g.fleetLogSlowness)
}

// Mix model.

func (g *Gateway) baseTime(q *query) float64 { return q.rawBase * q.class.baseScale }

// pagingFactor is how many times slower a query is for want of memory, where engines report what they
// granted. Danger: in an engine that pages nothing ends, so no outcome shows it, and all it holds keeps its
// memory.
func (g *Gateway) pagingFactor(q *query, e *engine) float64 {
	if e.kind.memoryMB <= 0 || e.grantedMemory <= 0 || g.cfg.OnMemoryShortage != ShortagePages {
		return 1
	}
	return math.Pow(math.Max(1, e.grantedMemory+q.memoryMB/e.kind.memoryMB), pagingPower)
}

// estimate is Est(i) in seconds for a newcomer, itself counted in.
func (g *Gateway) estimate(q *query, e *engine) float64 {
	i := q.class.index
	e.runningCount[i]++
	est := g.baseTime(
		q,
	) * (1 + e.interference(i, e.runningCount)) * math.Exp(
		g.logSlowness(e),
	) / g.rampFraction(
		e,
	) * g.pagingFactor(
		q,
		e,
	)
	e.runningCount[i]--
	if q.class.bulkLoad {
		// Danger: a load stands still while another holds its tables there.
		for _, a := range e.running {
			if a.query.class.bulkLoad && a.query.tableGroup == q.tableGroup {
				est += math.Max(0, a.estimate-(g.now-a.sentAt).Seconds())
			}
		}
	}
	return est
}

// learn corrects the fit by an answered attempt: the class's base, the weights by the mix it met, and,
// faster, the engine's slowness. Only slowness beyond the fleet's median is kept from the weights.
func (g *Gateway) learn(a *attempt, took float64) {
	c, e := a.query.class, a.engine
	if took <= 0 || a.base <= 0 {
		return
	}
	x, norm := g.averageMix(a, took)
	// Danger: a base of a millisecond makes every pause of the network look like a lost answer or a bad plan.
	took = math.Max(took, minBaseShare*c.LatencyObjective.Seconds())
	want := 1 + e.interference(c.index, x)
	seen := took * g.rampFraction(e) / a.base
	// Errors are taken in logarithms and clipped: queries are widely spread, and one runaway must not
	// move the weights. Base and weights share the error, else they drift apart.
	miss := clipError(math.Log(seen/want) - e.excessLogSlowness)
	used := 0.0
	for j, v := range x {
		threads := 1.0
		if j < len(g.classList) {
			threads = g.classList[j].threads
			used += v * threads
		}
		step := miss * want / norm * v / e.kind.cores
		most := maxWeight * threads
		e.kind.weights[c.index][j] = min(max(e.kind.weights[c.index][j]+kindGain*step, 0), most)
		e.ownWeights[c.index][j] = min(max(e.ownWeights[c.index][j]+engineGain*step, -most), most)
	}
	// The base is the unloaded time, so only outcomes that met little of ours correct it.
	if light := 1 - (used-c.threads)/g.initialThreadLimit(e); light > 0 {
		c.outcomesSeen += light
		c.baseScale *= math.Exp(light * math.Max(baseGain, 1/(c.outcomesSeen+2)) * miss)
	}
	e.logSlowness += slownessGain * (clipError(math.Log(seen/want)-g.unobservedShare(e)*g.fleetLogSlowness) - e.logSlowness)
	if a.overdueRatio == firstOverdueRatio {
		g.learnFleetSlowness(math.Log(seen/want) - e.logSlowness)
	}
	g.adaptThreadLimit(
		e,
		c,
		min(max(math.Log(seen), -math.Log(maxErrorRatio)), 2*math.Log(maxErrorRatio)),
		took,
	)
}

// handleReportedDown takes others' word that an engine is dead, where nothing was seen of it here. Danger:
// the word may be old or a lie, so it costs the engine one probe, no more.
func (g *Gateway) handleReportedDown(e *engine) {
	if e != nil && e.lastHeardAt == e.knownSince && !e.ejected && len(e.running) == 0 {
		g.eject(e)
	}
}

// handleMembership has all shares follow the number of gateways. Danger: bounds that were widened as one of
// few would together be far too wide for many, and would shrink only as engines crowd.
func (g *Gateway) handleMembership(ordinal int, count float64) {
	if !(count >= 1 && count < math.MaxInt32) || ordinal < 0 || float64(ordinal) >= count {
		return
	}
	if ordinal != g.cfg.Ordinal ||
		count != g.gatewayCount { // reports are by ordinals, which may be others' now
		clear(g.peerReports)
		g.aggregationRounds = 0
	}
	fewer := math.Min(1, g.gatewayCount/count)
	g.cfg.Ordinal, g.cfg.GatewayCount, g.gatewayCount = ordinal, int(count), count
	for _, e := range g.engineList {
		e.threadLimit = math.Max(e.threadLimit*fewer, g.initialThreadLimit(e))
	}
	for _, t := range g.cfg.Tenants {
		g.tenants[t.Name].rate = t.QuotaPerSecond / count
	}
}

// Evidence of peers. At full size one gateway's queries tell nearly nothing of an engine, so gateways report
// to a hub, a part that goes round, what they run where and how it ended; the hub tells all the sums. What is
// lost or stale fades, and decisions then rest on what a gateway sees itself.

// aggregatorTerm is the number of the present turn, by the clock that all gateways share.
func (g *Gateway) aggregatorTerm() time.Duration {
	return (g.now + g.clockOffset) / aggregatorTermLength
}

// aggregator returns the gateway that gathers in a turn.
func (g *Gateway) aggregator(turn time.Duration) int { return aggregatorOf(turn, g.cfg.GatewayCount) }

func aggregatorOf(turn time.Duration, gateways int) int {
	return int(uint64(turn) * 0x9e3779b97f4a7c15 >> 33 % uint64(gateways))
}

// MayAggregate reports whether a gateway may tell others what it gathered, at a time of their common clock,
// where clocks differ by less than the pace of reports.
func MayAggregate(ordinal, gateways int, clock time.Duration) bool {
	for turn := (clock - peerReportInterval) / aggregatorTermLength; turn <= (clock+peerReportInterval)/aggregatorTermLength+1; turn++ {
		if aggregatorOf(turn, max(gateways, 1)) == ordinal {
			return true
		}
	}
	return false
}

func (g *Gateway) gossip() {
	if len(g.toForward) > 0 { // a batch of a tick costs far less than a message to all for each query
		g.sendToPeer(-1, peerForwardedSends, g.toForward)
		g.toForward = g.toForward[:0]
	}
	if !g.cfg.MayGossip || g.cfg.GatewayCount < 2 || g.now < g.gossipAt {
		return
	}
	g.gossipAt = g.now + peerReportInterval
	var own []peerEntry
	for _, e := range g.engineList {
		if e.ownThreads > 0 || e.succeeded+e.failed > 0 {
			own = append(own, peerEntry{e.tag, e.ownThreads, e.succeeded, e.failed})
			e.succeeded, e.failed = 0, 0
		}
	}
	// Danger: a hub may be dead, so the one of the next turn gathers and tells as well.
	gathers := 0
	for turn := g.aggregatorTerm(); turn <= g.aggregatorTerm()+1; turn++ {
		if h := g.aggregator(turn); h == g.cfg.Ordinal {
			gathers = g.aggregationRounds + 1
		} else {
			g.sendToPeer(h, peerLoadReport, own)
		}
	}
	if g.aggregationRounds = gathers; gathers == 0 {
		clear(g.peerReports)
		return
	}
	g.collectReport(g.cfg.Ordinal, own)
	// Danger: a hub that has only begun knows few of its peers, and would tell of a calm that is none.
	if gathers > 2 && gathers%2 == 0 {
		g.broadcastAggregate()
	}
}

// broadcastAggregate passes on the sums of the reports, to this gateway too.
// Danger: an engine that fails at once, or whose attempts are taken for lost, looks empty and would draw
// all, so its load counts for more, and as the most where little good comes from it. What befalls all alike,
// as answers lost on the way, is no engine's fault, and would pass for an overload.
func (g *Gateway) broadcastAggregate() {
	good, bad := 0.0, 0.0
	for _, e := range g.engineList {
		e.aggregateLoad = 0
		good, bad = good+e.succeededTotal, bad+e.failedTotal
	}
	for _, r := range g.peerReports {
		for _, n := range r.entries {
			if e := g.enginesByTag[n.tag]; e != nil && g.now-r.at < 2*peerReportInterval {
				e.aggregateLoad += n.load
			}
		}
	}
	var sums []peerEntry
	for _, e := range g.engineList {
		worse := math.Max(0, e.failedTotal/(e.failedTotal+e.succeededTotal+1)-bad/(bad+good+1))
		load := math.Min(e.aggregateLoad*(1+failureCostWeight*worse), maxPeerLoad-1)
		if bad < good && e.failedTotal > math.Max(minPeerFailuresToEject, e.succeededTotal) {
			load = maxPeerLoad
		}
		if e.active {
			sums = append(sums, peerEntry{tag: e.tag, load: load})
		}
		e.succeededTotal, e.failedTotal = e.succeededTotal*peerOutcomeRetention, e.failedTotal*peerOutcomeRetention
	}
	g.sendToPeer(-1, peerAggregate, sums)
	g.applyPeerLoads(peerAggregate, sums)
}

// applyPeerLoads takes in loads: sums replace what was known, sent queries add to it until the sums hold
// them.
func (g *Gateway) applyPeerLoads(m peerMessageType, entries []peerEntry) {
	threads, cores := 0.0, 0.0
	for _, n := range entries {
		e := g.enginesByTag[n.tag]
		if e == nil {
			continue
		}
		g.integrateMix(e)
		others := &e.runningCount[len(g.classList)]
		if m != peerAggregate {
			e.recentSends += n.load * g.unobservedShare(e)
			*others += n.load * g.unobservedShare(e)
			continue
		}
		if n.load < maxPeerLoad {
			threads, cores = threads+n.load, cores+e.kind.cores
		}
		*others, e.loadKnownAt = math.Max(0, n.load-e.ownThreads)*g.unobservedShare(e)+e.recentSends, g.now
	}
	if cores > 0 {
		g.fleetLoad, g.peerLoadAt = threads/cores, g.now
		for _, k := range g.kinds {
			k.reportedLoad = g.fleetLoad
		}
	}
}

// applyLoadReport takes in what an engine tells of the queries it holds, where no peer tells of them: the
// place of unseen threads in Est is filled from it, and like engines of which little is heard are taken to
// be alike. Danger: reports are late, noisy and perhaps wrong, so they are clipped, and fade.
func (g *Gateway) applyLoadReport(e *engine, values []float64) {
	if g.now-g.peerLoadAt < peerLoadHalfLife || len(values) != len(g.cfg.LoadReportFields) {
		return
	}
	threads := -1.0
	for i, name := range g.cfg.LoadReportFields {
		switch v := values[i]; {
		case math.IsNaN(v) || v < 0:
		case name == "concurrent": // queries, of which ours show how many threads each has
			threads = math.Max(0, v-e.queryCount()) * g.meanThreadsPerQuery(e.kind)
		case name == "x0": // share of its memory that is granted
			e.grantedMemory = math.Min(v, maxReportedLoad)
			e.kind.grantedMemory += loadReportGain * (e.grantedMemory - e.kind.grantedMemory)
		}
	}
	if threads < 0 {
		return
	}
	threads = math.Min(threads, maxReportedLoad*e.kind.cores)
	e.kind.reportedLoad += loadReportGain * (threads/e.kind.cores - e.kind.reportedLoad)
	g.fleetLoad, g.loadReportAt = g.meanKindLoad(), g.now
	g.integrateMix(e)
	e.runningCount[len(g.classList)], e.loadKnownAt = threads*g.unobservedShare(e), g.now
}

// Admission and choice.

// handleArrival takes a client's query and lines it up; release decides in the same call.
func (g *Gateway) handleArrival(ev *Event) {
	c := g.classes[ev.Class]
	if g.queries[ev.Query] != nil {
		return
	}
	if c == nil {
		g.emit(Action{Type: Fail, Query: ev.Query}) // a class never told: nothing is known of what it may do
		return
	}
	q := &query{
		id:             ev.Query,
		class:          c,
		stickyEngine:   ev.StickyEngine,
		opensSession:   ev.OpensSession,
		tableGroup:     ev.TableGroup,
		arrivedAt:      g.now,
		deadline:       g.now + ev.RemainingDeadline,
		memoryMB:       ev.MemoryEstimateMB,
		rawBase:        c.LatencyObjective.Seconds(),
		estimateSpread: unknownCostSpread,
	}
	if ev.HasCostEstimate && ev.CostEstimate > 0 {
		q.rawBase, q.hasCostEstimate, q.estimateSpread = ev.CostEstimate.Seconds()/c.threads, true, 1
	}
	// Danger: a refused client comes again, its aim counts from its first try, and work for answers that can
	// earn nothing keeps an overload alive. The wait it has left tells what has passed, but only on a marked
	// repeat: hurried clients give their first tries short waits too, and must not be refused for it.
	c.longestDeadline = max(c.longestDeadline, ev.RemainingDeadline)
	if ev.IsRetry && float64(ev.RemainingDeadline) < firstAttemptShare*float64(c.longestDeadline) {
		q.priorWait = max(0, c.Deadline-ev.RemainingDeadline)
	}
	q.rawBase = math.Max(q.rawBase, minBaseShare*c.LatencyObjective.Seconds())
	if q.hasCostEstimate || !g.cfg.ReportsCost {
		c.meanWork += meanWorkGain * (q.rawBase*math.Max(1, c.baseScale)*c.threads - c.meanWork)
	}
	g.queries[q.id] = q
	if !ev.AddsNoRetryBudget {
		g.arrivals = append(g.arrivals, g.now)
	}
	if b := g.tenants[ev.Tenant]; b != nil && b.rate > 0 {
		q.overQuota = !b.take(g.now, quotaMinBurst+b.rate*quotaBurstSeconds)
	}
	if c.OrderedByKey && ev.Key != "" {
		g.enqueueByKey(q, ev.Key)
	}
	if g.shutdownAt > 0 {
		q.deadline = min(q.deadline, g.shutdownAt)
	}
	g.enqueue(q)
	g.probeLoad(q)
	if left := q.deadline - g.now; left <= g.replyMargin() {
		g.rejectOrFail(q, ReasonDeadline)
	} else {
		g.setTimer(left-g.replyMargin(), uint64(q.id)+1)
	}
}

// probeLoad probes a few engines that a long query may use, where neither peers nor our own queries show how
// full they are; the query waits for the reports. Danger: a jammed engine answers no query, so it reports
// nothing of itself, and one that fills up looks as free as it was when last heard of.
func (g *Gateway) probeLoad(q *query) {
	reports := g.cfg.MayCheckHealth && slices.Contains(g.cfg.LoadReportFields, "concurrent")
	if !reports || g.now-g.peerLoadAt < peerLoadHalfLife || g.baseTime(q)*q.class.threads < minAnnouncedWork {
		return
	}
	asked := 0
	for _, i := range g.random.Perm(len(g.engineList)) {
		e := g.engineList[i]
		if asked < loadProbeCount && g.mayUse(q, e) && !e.ejected &&
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

// remainingTime is the time an estimate must fit in, in seconds: until the client gives up, or until the aim,
// where that comes first.
func (g *Gateway) remainingTime(q *query) float64 {
	left := (q.deadline - g.now - g.replyMargin()).Seconds()
	aim := q.class.LatencyObjective.Seconds() + q.class.ObjectiveStretch*g.baseTime(
		q,
	) - (g.now - q.arrivedAt + q.priorWait).Seconds()
	return math.Min(left, aim)
}

// chooseEngine picks the engine with the lowest estimate that fits the time left; an engine holding none of
// ours comes first. Engines in blocked keep their room for queries with earlier deadlines. Where there
// is no engine, wait tells whether the query may be held or is to be refused.
func (g *Gateway) chooseEngine(q *query, blocked map[*engine]bool) (best *engine, wait bool) {
	var bestCost float64
	var bestIdle, usable bool
	left := g.remainingTime(q)
	caution := g.margin * math.Max(1, g.pressure)
	try := g.random.Float64()
	margin, opened := 1.0, 0.0
	for _, e := range g.engineList {
		if q.opensSession && e.active {
			opened += g.sessionCount(e)
		}
	}
	if g.overloaded && q.hasCostEstimate {
		// Danger: in an overload a few very long queries take the room of many; each earns no more than one.
		size := g.baseTime(q) * q.class.threads / q.class.meanWork
		margin = math.Pow(math.Max(1, size/fairSizeRatio), 2)
	}
	// An engine that runs none of ours takes the next; where our part of it is smaller, by a chance only.
	for _, e := range g.engineList {
		if !g.mayUse(q, e) {
			continue
		}
		if e.ejected && !g.mostEjected &&
			(!e.onProbation || len(e.running) > 0 || q.class.Effect == NotIdempotent) {
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
		if full := g.pressure > 1 && g.ownThreads >= fleetThreadLimitRatio*g.fairShare(); full ||
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
		cost := est * (1 + weight*e.failureRate) * (1 + balanceWeight*(e.ownThreads+q.class.threads+sits)/g.initialThreadLimit(e))
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
	return best, wait && !(q.overQuota && g.overloaded) || !usable && g.baseTime(q) <= left
}

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

// Restore takes over what an earlier gateway had learnt, as Snapshot gave it, the less the older it is: bases
// and weights drift to their starting values. What does not fit is left out; an error takes nothing.
func (g *Gateway) Restore(data []byte, age time.Duration) error {
	l, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	keep := math.Exp2(-max(0, age).Seconds() / snapshotHalfLife.Seconds())
	toward := func(start, was float64) float64 { return start + keep*(was-start) }
	for _, was := range l.Classes {
		if c := g.classes[was.Name]; c != nil {
			c.baseScale = math.Exp(keep * math.Log(was.Scale))
			c.outcomesSeen, c.meanWork, c.grantFactor = keep*was.Seen, toward(
				c.meanWork,
				was.Work,
			), toward(
				c.grantFactor,
				was.Grant,
			)
		}
	}
	for name, was := range l.Kinds {
		k := g.kinds[name]
		for i := range was {
			for j := range was[i] {
				if k != nil && l.matchesClasses(g) && j < len(k.weights[i]) {
					k.weights[i][j] = toward(k.weights[i][j], was[i][j])
				}
			}
		}
	}
	return nil
}

// Thread bound and hold queue.

// fairShare is our part of all cores: where gateways outnumber cores, bounds of one thread an engine never
// bind.
func (g *Gateway) fairShare() float64 { return math.Max(1, g.cores/g.gatewayCount) }

func (g *Gateway) initialThreadLimit(e *engine) float64 {
	return math.Max(1, e.kind.cores/g.gatewayCount)
}

// atThreadLimit reports whether the thread bound keeps the next query from an engine: only under pressure.
// Danger: latency shows pressure late, and while other engines are bound, all queries pour into one that
// looks calm. So an engine filled with threadLimitEnforcedRatio times our part of its cores is under
// pressure as well.
func (g *Gateway) atThreadLimit(e *engine) bool {
	pressed := e.logLatency > math.Log(pressureLatencyRatio) || g.now < e.rejectingUntil ||
		e.ownThreads >= threadLimitEnforcedRatio*g.initialThreadLimit(e)
	return pressed && e.ownThreads >= e.threadLimit || g.now < e.rejectingUntil && e.ownThreads == 0
}

// adaptThreadLimit widens the bound near the best latency and cuts it as latency grows.
func (g *Gateway) adaptThreadLimit(e *engine, c *class, ratio, took float64) {
	e.logLatency += latencyGain * (ratio - e.logLatency)
	latency := math.Exp(e.logLatency)
	switch {
	case latency < calmLatencyRatio && !g.overloaded:
		if e.ownThreads >= threadLimitUsedShare*e.threadLimit { // a bound that is not felt needs no widening
			e.threadLimit = math.Min(
				e.threadLimit+threadLimitStep*c.threads/e.threadLimit,
				math.Max(maxThreadLimitPerCore*e.kind.cores, 1),
			)
		}
	case latency > pressureLatencyRatio && g.now > e.limitCutAt:
		e.threadLimit = math.Max(
			g.initialThreadLimit(e),
			math.Min(e.threadLimit, e.ownThreads+c.threads)*threadLimitCutFactor,
		)
		e.limitCutAt = g.now + time.Duration(took*float64(time.Second))
	}
}

// dequeue lets held queries and newcomers leave, earliest deadline first, and refuses what no longer fits.
func (g *Gateway) dequeue() {
	if len(g.queue) == 0 {
		return
	}
	blocked := map[*engine]bool{}
	line := g.queue
	g.queue = nil
	for _, q := range line {
		q.queued = false
		var e *engine
		wait, why := false, ReasonNoEngineFits
		switch {
		case !g.mayAttempt(q):
			why = ReasonNoRetryAllowed
		case g.now < q.awaitReportsUntil:
			wait = true
		case g.isNextForKey(q):
			e, wait = g.chooseEngine(q, blocked)
		default:
			wait = g.baseTime(q) <= g.remainingTime(q)
		}
		switch {
		case e != nil:
			g.send(q, e)
		case wait:
			g.enqueue(q)
		default:
			g.rejectOrFail(q, why)
		}
	}
}

// Attempts and rule guards.

// mayAttempt guards, for every send, what concerns the query alone: rule 1 (nothing after its end), the
// effects of a repeat (rule 2) and the budget of further attempts (rule 7).
func (g *Gateway) mayAttempt(q *query) bool {
	if q.done || g.now >= q.deadline || g.cfg.MaxAttempts > 0 && q.attemptCount >= g.cfg.MaxAttempts ||
		q.stickyEngine != "" && q.attemptCount > 0 {
		return false
	}
	if q.firstMaybeRan != nil {
		if q.class.Effect == NotIdempotent ||
			q.class.Effect == IdempotentWithKey &&
				g.now-q.firstMaybeRan.sentAt > q.class.DeduplicationWindow-g.replyMargin() {
			return false
		}
	}
	return q.attemptCount == 0 || g.hasRetryBudget()
}

// hasRetryBudget is rule 7. Queries are counted over a little less than the window and attempts over a
// little more, so that no reading of its edges breaks it.
func (g *Gateway) hasRetryBudget() bool {
	r := &g.cfg.Rules
	if !r.HasRetryBudget {
		g.arrivals, g.retries = g.arrivals[:0], g.retries[:0]
		return true
	}
	from := g.now - r.RetryBudgetWindow
	g.arrivals = slices.DeleteFunc(
		g.arrivals,
		func(at time.Duration) bool { return at <= from+g.replyMargin() },
	)
	g.retries = slices.DeleteFunc(g.retries, func(at time.Duration) bool { return at < from-g.replyMargin() })
	return float64(len(g.retries)+1) <= r.RetryBudgetFree+r.RetryBudgetRatio*float64(len(g.arrivals))
}

// isNextForKey is rule 5: only the first of a key's line, with nothing of the key running and its rest over.
func (g *Gateway) isNextForKey(q *query) bool {
	k := q.orderKey
	return k == nil ||
		k.waiting[0] == q && g.now >= k.settlesAt && (k.running == 0 || k.running == len(q.inFlight))
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

// hasSlowStartCapacity is rule 4: this gateway's part of what a cold engine may be sent in any window.
// Danger: where many gateways share it, the part is under one query, and an engine would idle until it is
// warm. Small queries then go by turns: each gateway may send one a period, so long that all together send
// what is allowed. Turns start at random and lapse unused, so that they neither add up nor meet.
func (g *Gateway) hasSlowStartCapacity(e *engine, q *query) bool {
	r := &g.cfg.Rules
	if g.rampFraction(e) >= 1 || r.SlowStartOverloadFactor <= 0 || r.SlowStartWindow <= 0 {
		e.slowStartSends = e.slowStartSends[:0]
		return true
	}
	work := g.expectedWork(q)
	from := g.now - r.SlowStartWindow - g.replyMargin()
	e.slowStartSends = slices.DeleteFunc(e.slowStartSends, func(s slowStartSend) bool { return s.at < from })
	sum := work
	for _, s := range e.slowStartSends {
		sum += s.work
	}
	return sum <= slowStartBudgetShare*g.slowStartBudget(e, r.SlowStartFrom)/g.gatewayCount ||
		g.now < e.slotEndsAt && work <= slowStartMaxSize*g.smallestMeanWork()
}

// slowStartBudget is what all gateways together may send an engine of some warmth in a window.
func (g *Gateway) slowStartBudget(e *engine, warmth float64) float64 {
	r := &g.cfg.Rules
	return r.SlowStartOverloadFactor * e.kind.cores * capacityCPUShare * warmth * r.SlowStartWindow.Seconds()
}

// advanceSlowStartSlot counts the periods of a cold engine's turns. They are so long that the mean of what
// is sent in a window stays under the budget by slowStartSigmas standard deviations, sizes spreading as
// widely as their mean.
func (g *Gateway) advanceSlowStartSlot(e *engine) {
	if g.rampFraction(e) >= 1 || g.cfg.Rules.SlowStartOverloadFactor <= 0 {
		return
	}
	r := &g.cfg.Rules
	work := g.smallestMeanWork()
	if work <= slowStartBudgetShare*g.slowStartBudget(e, r.SlowStartFrom)/g.gatewayCount {
		return
	}
	grown := math.Pow(
		(g.rampFraction(e)-r.SlowStartFrom)/(1-r.SlowStartFrom),
		2,
	) // how it warms is not told: late, then
	budget := g.slowStartBudget(e, r.SlowStartFrom+(1-r.SlowStartFrom)*grown)
	k := slowStartSigmas * math.Sqrt(2*work/budget)
	share := math.Pow((math.Sqrt(k*k+4)-k)/2, 2) // where share + k*sqrt(share) = 1
	windows := tickInterval.Seconds() / r.SlowStartWindow.Seconds()
	if e.slotProgress += windows * share * budget / (work * g.gatewayCount); e.slotProgress >= 1 {
		e.slotProgress--
		e.slotEndsAt = g.now + r.SlowStartWindow/2
	}
}

// expectedWork is what a query is taken to need, in thread seconds: its class's mean, or more where it is
// told.
func (g *Gateway) expectedWork(q *query) float64 {
	if q.hasCostEstimate {
		return math.Max(q.class.meanWork, g.baseTime(q)*q.class.threads)
	}
	return q.class.meanWork
}

// send is the one place where queries are sent.
func (g *Gateway) send(q *query, e *engine) {
	if !g.mayAttempt(q) || !g.isNextForKey(q) || !g.mayUse(q, e) || len(q.inFlight) > 0 && !g.cfg.MayHedge {
		return
	}
	g.integrateMix(e)
	a := &attempt{
		query:          q,
		engine:         e,
		number:         q.attemptCount,
		sentAt:         g.now,
		base:           g.baseTime(q),
		estimate:       g.estimate(q, e),
		runningSeconds: append([]float64(nil), e.runningSeconds...),
		overdueRatio:   firstOverdueRatio,
	}
	g.setResources(a)
	send := Action{Type: Send, Query: q.id, Engine: e.ID}
	if g.rampFraction(e) < 1 && g.cfg.Rules.SlowStartOverloadFactor > 0 {
		// Danger: a ration is for a moment. Sends that wait for a connection would come to a cold engine
		// together with those of a later ration.
		send.StartWithin = g.cfg.Rules.SlowStartWindow / 2
	}
	g.emit(send)
	// Danger: sums come too late for what outlasts them, and gateways would fill the same engines.
	if g.cfg.MayGossip && g.gatewayCount > 1 && a.base*q.class.threads >= minAnnouncedWork {
		entry := []peerEntry{{tag: e.tag, load: q.class.threads}}
		if h := g.aggregator(g.aggregatorTerm()); h != g.cfg.Ordinal {
			g.sendToPeer(h, peerSendNotice, entry)
		} else {
			g.toForward = append(g.toForward, entry...)
		}
	}
	if g.rampFraction(e) < 1 {
		e.slowStartSends = append(e.slowStartSends, slowStartSend{g.now, g.expectedWork(q)})
		e.slotEndsAt = 0
	}
	g.attemptStarted(a)
}

func (g *Gateway) cancelAttempt(a *attempt) {
	if g.cfg.MayCancel && !a.cancelled {
		a.cancelled = true
		g.emit(Action{Type: Cancel, Query: a.query.id, Attempt: a.number})
	}
}

// rejectOrFail is the one place where queries end by our hand (rules 1 and 2): refused where trying again is
// known to be harmless, else failed.
func (g *Gateway) rejectOrFail(q *query, why Reason) {
	if q.done {
		return
	}
	answer := Action{Type: Fail, Query: q.id, Reason: why}
	ran := q.firstMaybeRan != nil || len(q.inFlight) > 0
	if q.class.Effect == Idempotent || !ran ||
		q.class.Effect == IdempotentWithKey && q.class.DeduplicationScope == ScopeAll {
		answer.Type = Reject
		if g.cfg.MaySendRetryAfter {
			answer.Wait = g.cfg.MaxRetryAfter // refused work that comes back soon keeps an overload alive
		}
	}
	g.emit(answer)
	for _, a := range q.inFlight {
		g.cancelAttempt(a)
	}
	g.removeQuery(q)
}

func (g *Gateway) handleAttemptDone(ev *Event) {
	a := g.attempts[attemptKey{ev.Query, ev.Attempt}]
	if a == nil {
		return
	}
	g.attemptEnded(a)
	q, e := a.query, a.engine
	if q.orderKey != nil &&
		(ev.Outcome == OutcomeTimedOut || ev.Outcome == OutcomeConnectionReset || ev.Outcome == OutcomeCancelled) {
		q.orderKey.settlesAt = max(q.orderKey.settlesAt, g.now+g.cfg.Rules.OrderSettleDelay)
	}
	if !ev.Outcome.NeverRan() && (q.firstMaybeRan == nil || a.sentAt < q.firstMaybeRan.sentAt) {
		q.firstMaybeRan = a
	}
	if ev.HasLoadReport {
		g.applyLoadReport(e, ev.LoadReport)
	}
	switch ev.Outcome {
	case OutcomeOK:
		e.succeeded++
		e.lastHeardAt = g.now
		g.recordHealth(e, true)
		g.learn(a, ev.Elapsed.Seconds())
		if ev.ActualCost > 0 && !q.hasCostEstimate { // its aim was a guess
			q.class.meanWork += meanWorkGain * (ev.ActualCost.Seconds() - q.class.meanWork)
		}
		g.adaptGrant(a, ev.ActualMemoryMB)
	case OutcomeRejected:
		e.lastHeardAt, e.rejectingUntil = g.now, g.now+rejectionPressureTime
		e.threadLimit = math.Max(1, e.ownThreads*threadLimitCutFactor)
	case OutcomeFailed, OutcomeConnectionReset, OutcomeConnectFailed:
		e.failed++
		e.lastHeardAt = g.now
		g.recordHealth(e, false)
	}
	if ev.QueryFinished && !q.done {
		g.removeQuery(q)
	}
	switch q.previousEngine = e; {
	case q.done || len(q.inFlight) > 0 || q.queued:
	case ev.Outcome == OutcomeNotStarted:
		g.rejectOrFail(q, ReasonNotStarted)
	case !g.mayAttempt(q):
		g.rejectOrFail(q, ReasonNoRetryAllowed)
	default:
		g.enqueue(q)
	}
}

// mayCancelForRetry reports whether an attempt may be called off so that its query is sent again.
func (g *Gateway) mayCancelForRetry(a *attempt) bool {
	return !a.query.done && !a.cancelled && a.query.earlyCancels < maxEarlyCancels && g.mayAttempt(a.query)
}

func (g *Gateway) cancelForRetry(a *attempt) {
	a.query.earlyCancels++
	g.cancelAttempt(a)
}

// isOverdue reports whether an attempt is to be called off and its query sent again: it is far past what Est
// says now, and no note shows that it runs. Its answer was lost, or it has a bad plan; either way a fresh
// attempt should end first, as long as one fits. Danger: where engines are only slow this doubles the work.
func (g *Gateway) isOverdue(a *attempt, age float64) bool {
	q := a.query
	switch {
	case !g.mayCancelForRetry(a) || q.class.Effect == NotIdempotent:
		return false
	case q.class.Effect == IdempotentWithKey && g.now-a.sentAt > q.class.DeduplicationWindow-g.cfg.Rules.OrderSettleDelay-tickInterval:
		return false
	case g.cfg.ProgressInterval > 0 && g.now-max(a.sentAt, a.notedAt) < 2*g.cfg.ProgressInterval+tickInterval:
		return false
	}
	est := math.Max(a.estimate, g.estimate(q, a.engine))
	return age > overdueCancelRatio*q.estimateSpread*est && est < g.remainingTime(q)
}

// handleProgress reads a note on a running attempt. A bad plan is drawn anew for each attempt, so one that is
// far behind is called off where a fresh run should end well before it.
func (g *Gateway) handleProgress(ev *Event) {
	a := g.attempts[attemptKey{ev.Query, ev.Attempt}]
	if a == nil {
		return
	}
	a.notedAt = g.now
	switch a.engine.lastHeardAt = g.now; ev.Note {
	case NoteSpilled:
		a.spilled = true
	case NoteFractionDone:
		q := a.query
		ran := (g.now - a.sentAt).Seconds()
		total := ran / math.Max(ev.Value, 1e-3)
		if g.mayCancelForRetry(a) && q.class.Effect == Idempotent &&
			total > badPlanRatio*q.estimateSpread*a.estimate &&
			total-ran > retryAdvantageRatio*q.estimateSpread*a.estimate {
			g.cancelForRetry(a)
		}
	}
}

// Memory grants and priority.

// setResources names memory and priority for the attempt about to be sent, where the settings heed them.
func (g *Gateway) setResources(a *attempt) {
	q := a.query
	t := Action{Type: SetResources, Query: q.id, Priority: 1}
	if g.cfg.AcceptsPriority { // classes rank by worth for each second of work
		t.Priority = topPriority
		for _, c := range g.classList {
			if c.PriorityWeight/c.meanWork > q.class.PriorityWeight/q.class.meanWork {
				t.Priority = max(t.Priority-1, 1)
			}
		}
	}
	most := g.cfg.MaxGrantShare * a.engine.kind.memoryMB
	switch {
	case !g.cfg.AcceptsMemoryGrants:
	case g.cfg.OnMemoryShortage == ShortagePages:
		t.MemoryGrantMB = most // only memory in use counts there, so a generous grant costs nothing
	case q.memoryMB > 0:
		t.MemoryGrantMB = q.memoryMB * q.class.grantFactor
		if most > 0 {
			t.MemoryGrantMB = math.Min(t.MemoryGrantMB, most)
		}
	}
	if a.grantMB = t.MemoryGrantMB; g.cfg.AcceptsMemoryGrants || g.cfg.AcceptsPriority {
		g.emit(t)
	}
}

// adaptGrant steers a class's grant so that few of its queries spill. Danger: where neither notes nor costs
// are told nothing ever raises a grant; were it cut, all of its class would spill more and more.
func (g *Gateway) adaptGrant(a *attempt, needed float64) {
	switch {
	case a.grantMB <= 0 || a.query.memoryMB <= 0:
	case a.spilled || needed > a.grantMB:
		a.query.class.grantFactor *= 1 + grantIncrease
	case needed > 0 || g.cfg.ProgressInterval > 0:
		a.query.class.grantFactor *= 1 - grantDecrease
	}
}
