package cresspass

import (
	"math"
	"time"
)

const (
	peerReportInterval     = 500 * time.Millisecond // pace of reports to the hub
	minAnnouncedWork       = 1.0                    // thread seconds from which a sent query is told at once
	aggregatorTermLength   = 5 * time.Second        // how long a gateway is the hub
	peerLoadHalfLife       = 2 * time.Second        // of what was told
	minPeerFailuresToEject = 3.0                    // failures and lost answers that may call an engine sick
	peerOutcomeRetention   = 0.8                    // part of the evidence kept each time sums are told
	kindLoadHalfLife       = 10 * time.Second       // of a kind's crowding while nothing is reported
)

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
		g.sendToPeer(-1, PeerForwardedSends, g.toForward)
		g.toForward = g.toForward[:0]
	}
	if !g.cfg.MayGossip || g.cfg.GatewayCount < 2 || g.now < g.gossipAt {
		return
	}
	g.gossipAt = g.now + peerReportInterval
	var own []PeerLoad
	for _, e := range g.engineList {
		if e.ownThreads > 0 || e.succeeded+e.failed > 0 {
			own = append(own, PeerLoad{e.tag, e.ownThreads, e.succeeded, e.failed})
			e.succeeded, e.failed = 0, 0
		}
	}
	// Danger: a hub may be dead, so the one of the next turn gathers and tells as well.
	gathers := 0
	for turn := g.aggregatorTerm(); turn <= g.aggregatorTerm()+1; turn++ {
		if h := g.aggregator(turn); h == g.cfg.Ordinal {
			gathers = g.aggregationRounds + 1
		} else {
			g.sendToPeer(h, PeerLoadReport, own)
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
			if e := g.enginesByTag[n.Tag]; e != nil && g.now-r.at < 2*peerReportInterval {
				e.aggregateLoad += n.Threads
			}
		}
	}
	var sums []PeerLoad
	for _, e := range g.engineList {
		worse := math.Max(0, e.failedTotal/(e.failedTotal+e.succeededTotal+1)-bad/(bad+good+1))
		load := math.Min(e.aggregateLoad*(1+failureCostWeight*worse), maxPeerLoad-1)
		if bad < good && e.failedTotal > math.Max(minPeerFailuresToEject, e.succeededTotal) {
			load = maxPeerLoad
		}
		if e.active {
			sums = append(sums, PeerLoad{Tag: e.tag, Threads: load})
		}
		e.succeededTotal, e.failedTotal = e.succeededTotal*peerOutcomeRetention, e.failedTotal*peerOutcomeRetention
	}
	g.sendToPeer(-1, PeerAggregate, sums)
	g.applyPeerLoads(PeerAggregate, sums)
}

// applyPeerLoads takes in loads: sums replace what was known, sent queries add to it until the sums hold
// them.
func (g *Gateway) applyPeerLoads(m PeerMessageType, entries []PeerLoad) {
	threads, cores := 0.0, 0.0
	for _, n := range entries {
		e := g.enginesByTag[n.Tag]
		if e == nil {
			continue
		}
		g.integrateMix(e)
		others := &e.runningCount[len(g.classList)]
		if m != PeerAggregate {
			e.recentSends += n.Threads * g.unobservedShare(e)
			*others += n.Threads * g.unobservedShare(e)
			continue
		}
		if n.Threads < maxPeerLoad {
			threads, cores = threads+n.Threads, cores+e.kind.cores
		}
		*others, e.loadKnownAt = math.Max(0, n.Threads-e.ownThreads)*g.unobservedShare(e)+e.recentSends, g.now
	}
	if cores > 0 {
		g.fleetLoad, g.peerLoadAt = threads/cores, g.now
		for _, k := range g.kinds {
			k.reportedLoad = g.fleetLoad
		}
	}
}

func (g *Gateway) handlePeerMessage(ev *Event) {
	m, entries := DecodePeerMessage(ev.Data)
	switch {
	case ev.Peer < 0 || ev.Peer >= g.cfg.GatewayCount:
	case m == PeerLoadReport:
		g.collectReport(ev.Peer, entries)
	case m == PeerSendNotice:
		g.toForward = append(g.toForward, entries...)
		fallthrough
	case m == PeerForwardedSends || m == PeerAggregate:
		g.applyPeerLoads(m, entries)
	}
}

// collectReport takes in a report.
func (g *Gateway) collectReport(peer int, entries []PeerLoad) {
	g.peerReports[peer] = receivedReport{g.now, entries}
	for _, n := range entries {
		if e := g.enginesByTag[n.Tag]; e != nil {
			e.succeededTotal += float64(n.Succeeded)
			e.failedTotal += float64(n.Failed)
		}
	}
}

// receivedReport is what a peer told of what it runs.
type receivedReport struct {
	at      time.Duration
	entries []PeerLoad
}

func (g *Gateway) sendToPeer(peer int, m PeerMessageType, entries []PeerLoad) {
	for _, data := range encodePeerMessage(m, entries) {
		g.emit(Action{Type: SendToPeer, Peer: peer, Data: data})
	}
}
