package cresspass

import (
	"maps"
	"math"
	"slices"
	"time"
)

// In a full-size fleet, one gateway's own queries show almost nothing of an engine's load. So gateways report
// what they run on which engine, and how attempts ended, to an aggregator, a role that rotates among them.
// The aggregator broadcasts the sums. If messages are lost or stale, the values decay and decisions rest on
// what the gateway sees itself.

const (
	peerReportInterval     = 500 * time.Millisecond // interval of reports to the aggregator
	minAnnouncedWork       = 1.0                    // thread seconds from which a send is announced
	aggregatorTermLength   = 5 * time.Second        // how long a gateway remains aggregator
	aggregatorWarmUpRounds = 2                      // rounds of reports before it broadcasts...
	roundsPerBroadcast     = 2                      // ...then it broadcasts in one round of this many
	peerReportLifetime     = 2 * peerReportInterval
	peerLoadHalfLife       = 2 * time.Second  // of load that peers report
	minPeerFailuresToEject = 3.0              // an engine with more failures may be broadcast as failing
	peerOutcomeRetention   = 0.8              // share of the outcome counts kept at each broadcast
	kindLoadHalfLife       = 10 * time.Second // of a kind's load
)

// gossipState is a gateway's state of the gossip protocol.
type gossipState struct {
	nextAt      time.Duration // when the next round is due
	clockOffset time.Duration // the gateways' shared clock minus ours
	toForward   []PeerLoad    // announced sends to forward at the next tick
	reports     map[int]receivedReport
	rounds      int // rounds as aggregator of this or the next term; 0: not aggregator of either
}

// receivedReport is a peer's latest report.
type receivedReport struct {
	at      time.Duration
	entries []PeerLoad
}

// aggregatorTerm returns the number of the current term, by the clock that all gateways share.
func (g *Gateway) aggregatorTerm() time.Duration {
	return (g.now + g.gossip.clockOffset) / aggregatorTermLength
}

// aggregator returns the ordinal of the aggregator in a term.
func (g *Gateway) aggregator(term time.Duration) int { return aggregatorOf(term, g.cfg.GatewayCount) }

func aggregatorOf(term time.Duration, gateways int) int {
	const multiplier = 0x9e3779b97f4a7c15 // of Fibonacci hashing: 2^64 over the golden ratio
	return int(uint64(term) * multiplier >> 33 % uint64(gateways))
}

// MayAggregate reports whether the gateway with this ordinal may broadcast aggregates at a time of the
// gateways' shared clock. It allows for clocks that differ by up to the report interval.
func MayAggregate(ordinal, gateways int, clock time.Duration) bool {
	last := (clock+peerReportInterval)/aggregatorTermLength + 1
	for term := (clock - peerReportInterval) / aggregatorTermLength; term <= last; term++ {
		if aggregatorOf(term, max(gateways, 1)) == ordinal {
			return true
		}
	}
	return false
}

// gossipRound forwards announced sends at each tick. Every peerReportInterval it reports what this gateway
// runs and, on the aggregator, broadcasts the sums.
func (g *Gateway) gossipRound() {
	s := &g.gossip
	if len(s.toForward) > 0 { // a batch per tick costs far less than one broadcast per query
		g.sendToPeer(allPeers, PeerForwardedSends, s.toForward)
		s.toForward = s.toForward[:0]
	}
	if !g.cfg.MayGossip || g.cfg.GatewayCount < 2 || g.now < s.nextAt {
		return
	}
	s.nextAt = g.now + peerReportInterval
	own := g.ownReport()
	// The aggregator may be down, so the aggregator of the next term aggregates and broadcasts too.
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
	// A new aggregator has reports of few peers, and would broadcast loads that are too low.
	if rounds > aggregatorWarmUpRounds && rounds%roundsPerBroadcast == 0 {
		g.broadcastAggregate()
	}
}

// ownReport returns the threads that this gateway runs on each engine, and how many attempts succeeded and
// failed since the last report. It resets these two counts.
func (g *Gateway) ownReport() (own []PeerLoad) {
	for _, e := range g.engineList {
		if e.ownThreads > 0 || e.succeeded+e.failed > 0 {
			own = append(own, PeerLoad{e.tag, e.ownThreads, e.succeeded, e.failed})
			e.succeeded, e.failed = 0, 0
		}
	}
	return own
}

// announceSend reports the send of a large query without waiting for the next report. Sums would show the
// send too late, and meanwhile other gateways would fill the same engine.
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

// allPeers as Action.Peer addresses all other gateways.
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

// collectReport stores a report, of a peer or our own, and adds its outcomes to the totals.
func (g *Gateway) collectReport(peer int, entries []PeerLoad) {
	g.gossip.reports[peer] = receivedReport{g.now, entries}
	for _, entry := range entries {
		if e := g.enginesByTag[entry.Tag]; e != nil {
			e.succeededTotal += float64(entry.Succeeded)
			e.failedTotal += float64(entry.Failed)
		}
	}
}

// broadcastAggregate sends the sums of the reports to all peers and applies them to this gateway.
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

// sumReports adds up the loads of the reports that are not too old. The order is fixed: the last bit of a
// floating-point sum depends on it, and the same events must yield the same actions.
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

// loadToBroadcast returns an engine's load as the aggregate reports it, in threads. An engine whose attempts
// fail immediately or are presumed lost looks empty and would attract all queries. So failures raise its
// load, to maxPeerLoad if most of its attempts fail while most of the fleet's succeed. Failures that affect
// all engines alike, such as answers lost in the network, are no engine's fault and would look like an
// overload, so only those above the fleet's rate raise the load.
func (e *engine) loadToBroadcast(fleetSucceeded, fleetFailed float64) float64 {
	own := e.failedTotal / (e.failedTotal + e.succeededTotal + 1)
	excess := math.Max(0, own-fleetFailed/(fleetFailed+fleetSucceeded+1))
	if fleetFailed < fleetSucceeded && e.failedTotal > math.Max(minPeerFailuresToEject, e.succeededTotal) {
		return maxPeerLoad
	}
	return math.Min(e.aggregateLoad*(1+failureCostWeight*excess), maxPeerLoad-1)
}

// applySends adds the threads of announced sends to the known load of their engines. What was added decays,
// as the sums come to include these sends.
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

// applyAggregate replaces the known load of other gateways by the sums of an aggregate.
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
	g.pressure.threadsPerCore, g.pressure.peerLoadAt = threads/cores, g.now
	for _, k := range g.kinds {
		k.reportedLoad = g.pressure.threadsPerCore
	}
}
