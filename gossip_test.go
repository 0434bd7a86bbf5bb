package cresspass

import (
	"bytes"
	"testing"
)

// TestFleetWideFailuresAddNoLoad: answers lost on all engines alike are no engine's fault, but were broadcast
// as four times the load (Wellington, big-2).
func TestFleetWideFailuresAddNoLoad(t *testing.T) {
	h := newHarness(t, largeFleetConfig(), standardEngines(4)...)
	for _, e := range h.g.engineList {
		e.succeededTotal, e.failedTotal = 70, 30
	}
	h.g.gossip.reports[1] = uniformPeerReport(h, 8)
	h.g.broadcastAggregate()
	for _, e := range h.g.engineList {
		if load := e.runningCount[len(h.g.classList)] / h.g.unobservedShare(e); load > 9 {
			t.Errorf("8 threads on %s are broadcast as %.1f, want at most 9", e.ID, load)
		}
	}
}

// TestFailingEngineIsReportedAsFuller: failures of one engine alone still raise its broadcast load.
func TestFailingEngineIsReportedAsFuller(t *testing.T) {
	h := newHarness(t, largeFleetConfig(), standardEngines(4)...)
	for _, e := range h.g.engineList {
		e.succeededTotal = 100
	}
	failing := h.g.engineList[0]
	failing.succeededTotal, failing.failedTotal = 60, 40
	h.g.gossip.reports[1] = uniformPeerReport(h, 8)
	h.g.broadcastAggregate()
	if load := failing.runningCount[len(h.g.classList)] / h.g.unobservedShare(failing); load < 12 {
		t.Errorf("8 threads on an engine that fails two in five are broadcast as %.1f, want 12 or more", load)
	}
}

// TestSumsDoNotDependOnMapOrder: the order in which reports are added must not depend on map order, because
// floating-point sums would then differ from run to run.
func TestSumsDoNotDependOnMapOrder(t *testing.T) {
	h := newHarness(t, largeFleetConfig(), standardEngines(1)...)
	for peer := range 40 {
		h.g.gossip.reports[peer] = uniformPeerReport(h, 0.1+float64(peer)/7)
	}
	e := h.g.engineList[0]
	h.g.sumReports()
	first := e.aggregateLoad
	for range 200 {
		e.aggregateLoad = 0
		if h.g.sumReports(); e.aggregateLoad != first {
			t.Fatalf("sums %v and %v of the same reports, want equal", first, e.aggregateLoad)
		}
	}
}

// uniformPeerReport returns a peer's report of the same load on all engines.
func uniformPeerReport(h *harness, load float64) receivedReport {
	r := receivedReport{at: h.now}
	for _, e := range h.g.engineList {
		r.entries = append(r.entries, PeerLoad{Tag: e.tag, Threads: load})
	}
	return r
}

// deliverAggregate delivers an aggregator's broadcast with the given loads; engines without one have load 0.
func deliverAggregate(h *harness, loads map[EngineID]float64) {
	var entries []PeerLoad
	for _, e := range h.g.engineList {
		entries = append(entries, PeerLoad{Tag: e.tag, Threads: loads[e.ID]})
	}
	for _, data := range encodePeerMessage(PeerAggregate, entries) {
		h.advance(0, Event{Type: PeerMessageReceived, Peer: 3, Data: data})
	}
}

func TestPeerLoadDivertsQueries(t *testing.T) {
	for i := range 20 {
		cfg := largeFleetConfig()
		cfg.Ordinal = i
		h := newHarness(t, cfg, standardEngines(2)...)
		deliverAggregate(h, map[EngineID]float64{"e00": 100})
		for _, a := range h.submit(1, "short", "") {
			if a.Type == Send && a.Engine == "e00" {
				t.Errorf("gateway %d sent to the engine that is reported to run 100 threads on 8 cores", i)
			}
		}
	}
}

func TestStalePeerLoadDecays(t *testing.T) {
	h := newHarness(t, largeFleetConfig(), standardEngines(3)...)
	deliverAggregate(h, map[EngineID]float64{"e00": 200, "e01": 200, "e02": 200})
	for range 2400 {
		h.advance(50*ms, Event{Type: TimerFired})
	}
	if got := h.g.estimate(&query{class: h.g.classList[0], rawBase: 0.1}, h.g.engineList[0]); got > 0.2 {
		t.Errorf("two minutes after the last report Est is %.2f s for a base of 0.1 s, want up to 0.2 s", got)
	}
}

func TestAggregatorBroadcastsLoadsAndEjections(t *testing.T) {
	cfg := largeFleetConfig()
	h := newHarness(t, cfg, standardEngines(4)...)
	term := h.now / aggregatorTermLength
	for h.g.aggregator(term) != cfg.Ordinal { // until a term in which it is aggregator
		term++
	}
	h.now = term * aggregatorTermLength
	failing, healthy := EngineTag("e00"), EngineTag("e01")
	var broadcast []PeerLoad
	for range 60 {
		for peer := 1; peer < 6; peer++ {
			for _, data := range encodePeerMessage(PeerLoadReport, []PeerLoad{{failing, 0, 0, 3},
				{healthy, 2, 5, 0}}) {
				h.advance(0, Event{Type: PeerMessageReceived, Peer: peer, Data: data})
			}
		}
		for _, a := range h.advance(50*ms, Event{Type: TimerFired}) {
			if a.Type == SendToPeer && a.Peer == -1 {
				if m, entries := DecodePeerMessage(a.Data); m == PeerAggregate {
					broadcast = entries
				}
			}
		}
	}
	for _, e := range broadcast {
		switch {
		case e.Tag == failing && e.Threads != maxPeerLoad:
			t.Errorf("an engine that only fails is broadcast with load %v, want 255", e.Threads)
		case e.Tag == healthy && (e.Threads < 10 || e.Threads == maxPeerLoad):
			t.Errorf("five gateways with two threads each are broadcast as %v, want 10 to 254", e.Threads)
		}
	}
	if len(broadcast) != 4 {
		t.Errorf("aggregate of %d engines, want 4", len(broadcast))
	}
}

func TestForgedPeerMessagesAreClipped(t *testing.T) {
	h := newHarness(t, largeFleetConfig(), standardEngines(3)...)
	for _, peer := range []int{-1, 0, 3, 200, 1 << 30} {
		for _, data := range [][]byte{nil, {0}, {1}, {2, 1}, {3, 1, 2}, {9, 9, 9, 9}, bytes.Repeat([]byte{2,
			255, 255}, 300)} {
			h.advance(0, Event{Type: PeerMessageReceived, Peer: peer, Data: data})
		}
	}
	if got := h.submit(1, "short", ""); len(got) == 0 || got[0].Type != Send {
		t.Errorf("after forged messages a query gets %v, want it sent", got)
	}
}
