package cresspass

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"
)

func TestPeerMessagesReadBackAsWritten(t *testing.T) {
	var entries []peerEntry
	for i := range 200 {
		entries = append(
			entries,
			peerEntry{tag: uint16(i * 311), load: float64(i), succeeded: i % 16, failed: i % 7},
		)
	}
	for _, m := range []peerMessageType{peerLoadReport, peerAggregate, peerSendNotice, peerForwardedSends} {
		var got []peerEntry
		for _, data := range encodePeerMessage(m, entries) {
			if len(data) > maxPeerMessageBytes {
				t.Errorf("type %d: message of %d bytes", m, len(data))
			}
			kind, part := decodePeerMessage(data)
			if kind != m {
				t.Errorf("type %d read as %d", m, kind)
			}
			got = append(got, part...)
		}
		for i, e := range entries {
			if m != peerLoadReport {
				e.succeeded, e.failed = 0, 0
			}
			if got[i] != e {
				t.Fatalf("type %d, entry %d: got %v, want %v", m, i, got[i], e)
			}
		}
	}
}

func FuzzDecodePeer(f *testing.F) {
	f.Add([]byte{1, 0, 5, 3, 0x21})
	f.Add([]byte{2, 1, 2, 255, 9})
	f.Add([]byte{3})
	f.Add([]byte{77, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, entries := decodePeerMessage(data)
		for _, e := range entries {
			if e.load < 0 || e.load > maxPeerLoad || e.succeeded > maxPeerCount || e.failed > maxPeerCount {
				t.Errorf("entry out of its clip: %v", e)
			}
		}
		if m != 0 && len(encodePeerMessage(m, entries)) == 1 &&
			!bytes.HasPrefix(data, encodePeerMessage(m, entries)[0]) {
			t.Errorf("%v does not write back", data)
		}
	})
}

// largeFleetConfig is one of many gateways on few engines, with peers.
func largeFleetConfig() Config {
	cfg := singleClassConfig()
	cfg.GatewayCount, cfg.MayGossip, cfg.Seed = 200, true, 7
	return cfg
}

func standardEngines(n int) (list []EngineInfo) {
	for i := range n {
		list = append(list, standardEngine(fmt.Sprintf("e%02d", i)))
	}
	return list
}

func TestManyGatewaysSpreadLikeViews(t *testing.T) {
	used := map[EngineID]int{}
	for i := range 50 {
		cfg := largeFleetConfig()
		cfg.Ordinal = i
		b := newHarness(t, cfg, standardEngines(10)...)
		for _, a := range b.submit(1, "short", "") {
			if a.Type == Send {
				used[a.Engine]++
			}
		}
	}
	if len(used) < 8 {
		t.Errorf("50 gateways with like views used %d of 10 engines: %v", len(used), used)
	}
}

func TestUnfittingQueryIsRejectedOnIdleEngines(t *testing.T) {
	refused := 0
	for i := range 20 {
		cfg := largeFleetConfig()
		cfg.Ordinal = i
		b := newHarness(t, cfg, standardEngines(10)...)
		b.g.fleetLogSlowness = 3 // twenty times slower than the base
		for _, a := range b.submit(1, "short", "") {
			if a.Type == Reject {
				refused++
			}
		}
	}
	if refused < 15 {
		t.Errorf("%d of 20 queries that cannot fit were refused", refused)
	}
}

// As the count changes in service all parts follow at once: what a cold engine may be sent, bounds that were
// widened as one of few, tenants' quotas; and gateways whose clocks began apart take one hub.
func TestSharesFollowMembership(t *testing.T) {
	cfg := singleClassConfig()
	cfg.MayGossip, cfg.GatewayCount, cfg.Tenants = true, 2, []Tenant{{Name: "t", QuotaPerSecond: 100}}
	b := newHarness(t, cfg, standardEngines(3)...)
	count := func(ordinal int, n float64, clock time.Duration) {
		b.advance(ms, Event{Type: MembershipChanged, Peer: ordinal, Value: n, Elapsed: clock})
	}
	e := b.g.engineList[0]
	e.threadLimit = 12
	if count(1, 6, 0); e.threadLimit != 4 || b.g.tenants["t"].rate != 100.0/6 || b.g.cfg.Ordinal != 1 {
		t.Errorf(
			"of 2 to 6: bound %g, quota %g, ordinal %d",
			e.threadLimit,
			b.g.tenants["t"].rate,
			b.g.cfg.Ordinal,
		)
	}
	if count(0, 2, 0); e.threadLimit != 4 || b.g.tenants["t"].rate != 50 || b.g.gatewayCount != 2 {
		t.Errorf("of 6 to 2: bound %g, quota %g", e.threadLimit, b.g.tenants["t"].rate)
	}
	for _, bad := range []Event{{Peer: 2, Value: 2}, {Peer: -1, Value: 3}, {Value: 0.5}, {Value: math.NaN()}} {
		bad.Type = MembershipChanged
		if b.advance(ms, bad); b.g.gatewayCount != 2 || b.g.cfg.Ordinal != 0 {
			t.Errorf("%+v was taken", bad)
		}
	}
	cfg.GatewayCount = 50
	one, other := newHarness(t, cfg, standardEngines(3)...), newHarness(t, cfg, standardEngines(3)...)
	other.now += 37 * time.Minute
	apart := 0
	for i := range 40 {
		clock := time.Duration(i) * aggregatorTermLength
		one.advance(ms, Event{Type: MembershipChanged, Value: 50, Elapsed: clock})
		other.advance(ms, Event{Type: MembershipChanged, Value: 50, Elapsed: clock + 100*ms})
		if one.g.aggregator(one.g.aggregatorTerm()) != other.g.aggregator(other.g.aggregatorTerm()) {
			apart++
		}
	}
	if apart > 0 {
		t.Errorf("%d of 40 turns had two hubs", apart)
	}
}

// An engine that others tell to be dead is not tried before a probe; one that was heard here is.
func TestEngineReportedDown(t *testing.T) {
	cfg := singleClassConfig()
	cfg.MayCheckHealth, cfg.MayGossip = true, true
	b := newHarness(t, cfg, standardEngines(2)...)
	b.advance(
		ms,
		Event{Type: EngineReportedDown, Engine: "e00"},
		Event{Type: EngineReportedDown, Engine: "nobody"},
	)
	if !b.g.engines["e00"].ejected || b.g.engines["e01"].ejected {
		t.Error("others' word was not taken")
	}
	probed := false
	for range 30 {
		for _, a := range b.advance(50*ms, Event{Type: TimerFired}) {
			probed = probed || a.Type == CheckHealth && a.Engine == "e00"
		}
	}
	if !probed {
		t.Error("it was never probed")
	}
	b.g.engines["e01"].lastHeardAt = b.now
	if b.advance(ms, Event{Type: EngineReportedDown, Engine: "e01"}); b.g.engines["e01"].ejected {
		t.Error("others' word stands against what was seen here")
	}
}

// deliverAggregate tells a gateway of loads on engines, as a hub would.
func deliverAggregate(b *harness, loads map[EngineID]float64) {
	var entries []peerEntry
	for _, e := range b.g.engineList {
		entries = append(entries, peerEntry{tag: e.tag, load: loads[e.ID]})
	}
	for _, data := range encodePeerMessage(peerAggregate, entries) {
		b.advance(0, Event{Type: PeerMessageReceived, Peer: 3, Data: data})
	}
}

func TestPeerLoadDivertsQueries(t *testing.T) {
	for i := range 20 {
		cfg := largeFleetConfig()
		cfg.Ordinal = i
		b := newHarness(t, cfg, standardEngines(2)...)
		deliverAggregate(b, map[EngineID]float64{"e00": 100})
		for _, a := range b.submit(1, "short", "") {
			if a.Type == Send && a.Engine == "e00" {
				t.Errorf("gateway %d sent to the engine told to run 100 threads on 8 cores", i)
			}
		}
	}
}

func TestStalePeerLoadDecays(t *testing.T) {
	b := newHarness(t, largeFleetConfig(), standardEngines(3)...)
	deliverAggregate(b, map[EngineID]float64{"e00": 200, "e01": 200, "e02": 200})
	for range 2400 {
		b.advance(50*ms, Event{Type: TimerFired})
	}
	if got := b.g.estimate(&query{class: b.g.classList[0], rawBase: 0.1}, b.g.engineList[0]); got > 0.2 {
		t.Errorf("two minutes after the last news Est is still %.2f s for a base of 0.1 s", got)
	}
}

func TestAggregatorBroadcastsLoadsAndEjections(t *testing.T) {
	cfg := largeFleetConfig()
	b := newHarness(t, cfg, standardEngines(4)...)
	turn := b.now / aggregatorTermLength
	for b.g.aggregator(turn) != cfg.Ordinal { // until its turn comes
		turn++
	}
	b.now = turn * aggregatorTermLength
	bad, fine := engineTag("e00"), engineTag("e01")
	var told []peerEntry
	for range 60 {
		for peer := 1; peer < 6; peer++ {
			for _, data := range encodePeerMessage(peerLoadReport, []peerEntry{{bad, 0, 0, 3}, {fine, 2, 5, 0}}) {
				b.advance(0, Event{Type: PeerMessageReceived, Peer: peer, Data: data})
			}
		}
		for _, a := range b.advance(50*ms, Event{Type: TimerFired}) {
			if a.Type == SendToPeer && a.Peer == -1 {
				if m, entries := decodePeerMessage(a.Data); m == peerAggregate {
					told = entries
				}
			}
		}
	}
	for _, e := range told {
		switch {
		case e.tag == bad && e.load != maxPeerLoad:
			t.Errorf("an engine that only fails is told with load %v", e.load)
		case e.tag == fine && (e.load < 10 || e.load == maxPeerLoad):
			t.Errorf("five gateways with two threads each are told as %v", e.load)
		}
	}
	if len(told) != 4 {
		t.Errorf("sums of %d engines, want 4", len(told))
	}
}

func TestLostAttemptReleasesItsThreads(t *testing.T) {
	b := newHarness(t, largeFleetConfig(), standardEngines(1)...)
	b.submit(1, "short", "")
	e := b.g.engineList[0]
	if e.ownThreads != 1 {
		t.Fatalf("%v threads running after a send", e.ownThreads)
	}
	for range 180 { // nine seconds, with others' answers arriving
		e.lastHeardAt = b.now
		b.advance(50*ms, Event{Type: TimerFired})
	}
	if e.ownThreads != 0 || b.g.ownThreads != 0 {
		t.Errorf("an attempt long overdue still holds %v threads", e.ownThreads)
	}
}

func TestForgedPeerMessagesAreClipped(t *testing.T) {
	b := newHarness(t, largeFleetConfig(), standardEngines(3)...)
	for _, peer := range []int{-1, 0, 3, 200, 1 << 30} {
		for _, data := range [][]byte{nil, {0}, {1}, {2, 1}, {3, 1, 2}, {9, 9, 9, 9}, bytes.Repeat([]byte{2, 255, 255}, 300)} {
			b.advance(0, Event{Type: PeerMessageReceived, Peer: peer, Data: data})
		}
	}
	if got := b.submit(1, "short", ""); len(got) == 0 || got[0].Type != Send {
		t.Errorf("after odd messages a query gets %v", got)
	}
}

func BenchmarkQuery(b *testing.B) {
	g, err := New(largeFleetConfig())
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	out := g.Handle(
		now,
		[]Event{{Type: EngineListReceived, ListType: ListComplete, Engines: standardEngines(40)}},
		nil,
	)
	for i := range b.N {
		now += 300 * ms
		out = g.Handle(
			now,
			[]Event{
				{
					Type:              QueryArrived,
					Query:             QueryID(i + 1),
					Class:             "short",
					RemainingDeadline: 10 * time.Second,
					HasCostEstimate:   true,
					CostEstimate:      100 * ms,
				},
			},
			out[:0],
		)
		for _, a := range out {
			if a.Type == Send {
				g.Handle(
					now,
					[]Event{
						{
							Type:          AttemptDone,
							Query:         a.Query,
							Engine:        a.Engine,
							Elapsed:       100 * ms,
							QueryFinished: true,
						},
					},
					nil,
				)
			}
		}
	}
}
