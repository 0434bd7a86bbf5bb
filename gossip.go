package cresspass

import (
	"maps"
	"math"
	"slices"
	"time"
)

// At full size one gateway's queries show nearly nothing of an engine, so gateways report to an aggregator,
// a duty that goes round, what they run where and how it ended; the aggregator broadcasts the sums. What is
// lost or stale decays, and decisions then rest on what a gateway sees itself.

const (
	peerReportInterval     = 500 * time.Millisecond // pace of reports to the aggregator
	minAnnouncedWork       = 1.0                    // thread seconds from which a send is announced
	aggregatorTermLength   = 5 * time.Second        // how long a gateway is the aggregator
	aggregatorWarmUpRounds = 2                      // rounds of reports before it broadcasts...
	roundsPerBroadcast     = 2                      // ...in one round of so many
	peerReportLifetime     = 2 * peerReportInterval
	peerLoadHalfLife       = 2 * time.Second  // of what peers report
	minPeerFailuresToEject = 3.0              // failures and lost answers that may call for an ejection
	peerOutcomeRetention   = 0.8              // part of the outcomes kept with each broadcast
	kindLoadHalfLife       = 10 * time.Second // of a kind's load while nothing is reported
)

// gossipState is a gateway's part in gossip.
type gossipState struct {
	nextAt      time.Duration // of the next round
	clockOffset time.Duration // how far the gateways' common clock is ahead of ours
	toForward   []PeerLoad    // announced sends to pass on with the next tick
	reports     map[int]receivedReport
	rounds      int // since this gateway last became aggregator; 0: it is none
}

// receivedReport is what a peer reported of what it runs.
type receivedReport struct {
	at      time.Duration
	entries []PeerLoad
}

// aggregatorTerm is the number of the present term, by the clock that all gateways share.
func (g *Gateway) aggregatorTerm() time.Duration {
	return (g.now + g.gossip.clockOffset) / aggregatorTermLength
}

// aggregator returns the gateway that aggregates in a term.
func (g *Gateway) aggregator(term time.Duration) int { return aggregatorOf(term, g.cfg.GatewayCount) }

func aggregatorOf(term time.Duration, gateways int) int {
	const multiplier = 0x9e3779b97f4a7c15 // of Fibonacci hashing
	return int(uint64(term) * multiplier >> 33 % uint64(gateways))
}

// MayAggregate reports whether a gateway may broadcast what it aggregated, at a time of their common clock,
// where clocks differ by less than the pace of reports.
func MayAggregate(ordinal, gateways int, clock time.Duration) bool {
	last := (clock+peerReportInterval)/aggregatorTermLength + 1
	for term := (clock - peerReportInterval) / aggregatorTermLength; term <= last; term++ {
		if aggregatorOf(term, max(gateways, 1)) == ordinal {
			return true
		}
	}
	return false
}

// gossipRound forwards announced sends at each tick and, at its pace, reports what this gateway runs. The
// aggregator broadcasts what was reported to it.
func (g *Gateway) gossipRound() {
	s := &g.gossip
	if len(s.toForward) > 0 { // a batch of a tick costs far less than a message to all for each query
		g.sendToPeer(allPeers, PeerForwardedSends, s.toForward)
		s.toForward = s.toForward[:0]
	}
	if !g.cfg.MayGossip || g.cfg.GatewayCount < 2 || g.now < s.nextAt {
		return
	}
	s.nextAt = g.now + peerReportInterval
	own := g.ownReport()
	// An aggregator may be dead, so the one of the next term aggregates and broadcasts as well.
	rounds := 0
	for term := g.aggregatorTerm(); term <= g.aggregatorTerm()+1; term++ {
		if to := g.aggregator(term); to == g.cfg.Ordinal {
			rounds = s.rounds + 1
		} else {
			g.sendToPeer(to, PeerLoadReport, own)
		}
	}
	if s.rounds = rounds; rounds == 0 {
		clear(s.reports)
		return
	}
	g.collectReport(g.cfg.Ordinal, own)
	// One that has only begun knows few of its peers, and would broadcast a calm that is none.
	if rounds > aggregatorWarmUpRounds && rounds%roundsPerBroadcast == 0 {
		g.broadcastAggregate()
	}
}

// ownReport is what this gateway runs on each engine, and how attempts ended since the last report.
func (g *Gateway) ownReport() (own []PeerLoad) {
	for _, e := range g.engineList {
		if e.ownThreads > 0 || e.succeeded+e.failed > 0 {
			own = append(own, PeerLoad{e.tag, e.ownThreads, e.succeeded, e.failed})
			e.succeeded, e.failed = 0, 0
		}
	}
	return own
}

// announceSend reports a sent query of much work at once: sums come too late for what outlasts them, and
// gateways would fill the same engines.
func (g *Gateway) announceSend(a *attempt) {
	threads := a.query.class.threads
	if !g.cfg.MayGossip || g.gatewayCount <= 1 || a.base*threads < minAnnouncedWork {
		return
	}
	entry := []PeerLoad{{Tag: a.engine.tag, Threads: threads}}
	if to := g.aggregator(g.aggregatorTerm()); to != g.cfg.Ordinal {
		g.sendToPeer(to, PeerSendNotice, entry)
	} else {
		g.gossip.toForward = append(g.gossip.toForward, entry...)
	}
}

// allPeers is the recipient of a broadcast.
const allPeers = -1

func (g *Gateway) sendToPeer(peer int, m PeerMessageType, entries []PeerLoad) {
	for _, data := range encodePeerMessage(m, entries) {
		g.emit(Action{Type: SendToPeer, Peer: peer, Data: data})
	}
}

func (g *Gateway) handlePeerMessage(ev *Event) {
	if ev.Peer < 0 || ev.Peer >= g.cfg.GatewayCount {
		return
	}
	m, entries := DecodePeerMessage(ev.Data)
	switch m {
	case PeerLoadReport:
		g.collectReport(ev.Peer, entries)
	case PeerSendNotice:
		g.gossip.toForward = append(g.gossip.toForward, entries...)
		g.applySends(entries)
	case PeerForwardedSends:
		g.applySends(entries)
	case PeerAggregate:
		g.applyAggregate(entries)
	}
}

// collectReport takes in a peer's report, or our own.
func (g *Gateway) collectReport(peer int, entries []PeerLoad) {
	g.gossip.reports[peer] = receivedReport{g.now, entries}
	for _, entry := range entries {
		if e := g.enginesByTag[entry.Tag]; e != nil {
			e.succeededTotal += float64(entry.Succeeded)
			e.failedTotal += float64(entry.Failed)
		}
	}
}

// broadcastAggregate passes on the sums of the reports, to this gateway too.
func (g *Gateway) broadcastAggregate() {
	fleetSucceeded, fleetFailed := 0.0, 0.0
	for _, e := range g.engineList {
		e.aggregateLoad = 0
		fleetSucceeded, fleetFailed = fleetSucceeded+e.succeededTotal, fleetFailed+e.failedTotal
	}
	g.sumReports()
	var sums []PeerLoad
	for _, e := range g.engineList {
		if load := e.loadToBroadcast(fleetSucceeded, fleetFailed); e.active {
			sums = append(sums, PeerLoad{Tag: e.tag, Threads: load})
		}
		e.succeededTotal *= peerOutcomeRetention
		e.failedTotal *= peerOutcomeRetention
	}
	g.sendToPeer(allPeers, PeerAggregate, sums)
	g.applyAggregate(sums)
}

// sumReports adds up the loads of the reports that are not too old. Their order is fixed, as the sum of
// fractions depends on it in its last bit, and the same events have to give the same actions.
func (g *Gateway) sumReports() {
	for _, peer := range slices.Sorted(maps.Keys(g.gossip.reports)) {
		r := g.gossip.reports[peer]
		if g.now-r.at >= peerReportLifetime {
			continue
		}
		for _, entry := range r.entries {
			if e := g.enginesByTag[entry.Tag]; e != nil {
				e.aggregateLoad += entry.Threads
			}
		}
	}
}

// loadToBroadcast is the load of an engine as others are to see it. One that fails at once, or whose
// attempts are presumed lost, looks empty and would draw all, so its load counts for more, and as the most
// where few attempts succeed. What affects all engines alike, as answers lost on the way, is no engine's
// fault, and would pass for an overload, so only failures beyond the fleet's count.
func (e *engine) loadToBroadcast(fleetSucceeded, fleetFailed float64) float64 {
	own := e.failedTotal / (e.failedTotal + e.succeededTotal + 1)
	excess := math.Max(0, own-fleetFailed/(fleetFailed+fleetSucceeded+1))
	if fleetFailed < fleetSucceeded && e.failedTotal > math.Max(minPeerFailuresToEject, e.succeededTotal) {
		return maxPeerLoad
	}
	return math.Min(e.aggregateLoad*(1+failureCostWeight*excess), maxPeerLoad-1)
}

// applySends takes in announced sends: they add to an engine's known load until the sums hold them.
func (g *Gateway) applySends(entries []PeerLoad) {
	for _, entry := range entries {
		e := g.enginesByTag[entry.Tag]
		if e == nil {
			continue
		}
		g.integrateMix(e)
		seen := entry.Threads * g.unobservedShare(e)
		e.recentSends += seen
		*e.othersThreads() += seen
	}
}

// applyAggregate takes in sums: they replace what was known of others' load.
func (g *Gateway) applyAggregate(entries []PeerLoad) {
	threads, cores := 0.0, 0.0
	for _, entry := range entries {
		e := g.enginesByTag[entry.Tag]
		if e == nil {
			continue
		}
		g.integrateMix(e)
		if entry.Threads < maxPeerLoad {
			threads, cores = threads+entry.Threads, cores+e.kind.cores
		}
		*e.othersThreads() = math.Max(0, entry.Threads-e.ownThreads)*g.unobservedShare(e) + e.recentSends
		e.loadKnownAt = g.now
	}
	if cores <= 0 {
		return
	}
	g.pressure.threadsACore, g.pressure.peerLoadAt = threads/cores, g.now
	for _, k := range g.kinds {
		k.reportedLoad = g.pressure.threadsACore
	}
}
