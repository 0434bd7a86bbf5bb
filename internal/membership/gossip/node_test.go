package gossip

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

// start is the time at which the nodes of these tests start.
const start = 24 * time.Hour

func newTestNode(name string, incarnation uint64, bootstrapTimeout time.Duration) *Node {
	store := observation.New(name, observation.DefaultLimits())
	n := New(Config{
		Name:             name,
		Incarnation:      incarnation,
		OrdinalClaim:     ordinal.Unassigned,
		BytesPerSecond:   20000,
		Validation:       validation.DefaultLimits(2),
		BootstrapTimeout: bootstrapTimeout,
		Ordinals: ordinal.Limits{
			SettleTime: time.Second,
			LossGrace:  5 * time.Second,
			LeaveGrace: time.Second,
			MinCount:   1,
		},
	}, store, start)
	n.SetEngines(map[cresspass.EngineID]float64{"e1": 8, "e2": 8})
	return n
}

// deliver passes the packets of one node to another, and returns the sender's other actions.
func deliver(now time.Duration, from, to *Node) (others []Action) {
	for _, a := range from.Ready() {
		if a.Type == SendPacket && a.To == to.config.Name {
			to.HandlePacket(now, a.Data)
		} else if a.Type != SendPacket {
			others = append(others, a)
		}
	}
	return others
}

// introduce passes each node's metadata to all others.
func introduce(now time.Duration, nodes ...*Node) {
	for _, a := range nodes {
		for _, b := range nodes {
			if a != b {
				a.MemberAlive(now, b.Self())
			}
		}
	}
}

// pairReadyAt is the time up to which newTestPair has run its nodes; they have their ordinals by then.
const pairReadyAt = start + 2*time.Second

// newTestPair returns two nodes with ordinals that know each other.
func newTestPair() (a, b *Node) {
	now := pairReadyAt
	a, b = newTestNode("a", 1, 0), newTestNode("b", 5, 0)
	introduce(start, a, b)
	a.Tick(now)
	b.Tick(now)
	introduce(now, a, b) // with their ordinals
	a.Ready()
	b.Ready()
	return a, b
}

// A packet is accepted once, from members only, and from a member's latest incarnation only. Malformed
// packets are counted.
func TestPacketAcceptance(t *testing.T) {
	now := pairReadyAt
	a, b := newTestPair()
	a.SendMessage(now, AllPeers, []byte{3, 0, 0, 1})
	actions := a.Ready()
	if len(actions) != 1 || actions[0].To != "b" {
		t.Fatalf("%+v", actions)
	}
	packet := actions[0].Data
	for range 2 {
		b.HandlePacket(now, packet)
	}
	if got := b.Ready(); len(got) != 1 || got[0].Type != DeliverMessage || got[0].From != a.Self().Claim {
		t.Errorf("a packet received twice: %+v", got)
	}
	earlier := append([]byte(nil), packet...)
	earlier[9]-- // the last byte of the packet's incarnation
	b.HandlePacket(now, earlier)
	b.HandlePacket(now, packet[:9])
	newTestNode("x", 1, 0).HandlePacket(now, packet)
	if st := b.Stats(); st.PacketsReplayed != 2 || st.PacketsMalformed != 1 || len(b.Ready()) > 0 {
		t.Errorf("%+v", st)
	}
	a.MemberAlive(now, ordinal.Member{Name: "a", Incarnation: 1})
	if len(deliver(now, a, b)) > 0 {
		t.Error("our own metadata, echoed, has consequences")
	}
}

// Packets that exceed the rate are not sent.
func TestSendRate(t *testing.T) {
	now := pairReadyAt
	a, _ := newTestPair()
	for range 200 {
		a.SendMessage(now, AllPeers, make([]byte, 255))
	}
	if st := a.Stats(); st.PacketsRateLimited == 0 || st.BytesSent > 25000 {
		t.Errorf("the rate does not hold: %+v", st)
	}
}

// Reports of a name conflict by two of six members do not stop a node's gossip. A later process with the
// node's name stops it permanently, and the node yields its name only once.
func TestYieldName(t *testing.T) {
	now := pairReadyAt
	a, _ := newTestPair()
	for i := range 5 {
		m := ordinal.Member{Name: fmt.Sprint("m", i), Incarnation: 1, Claim: ordinal.Unassigned}
		a.MemberAlive(now, m)
	}
	reportConflict := func(from string, incarnation uint64) (yielded bool) {
		packet := header{kind: kindNameConflict, incarnation: 1, seq: 1, name: from}.encode(
			binary.BigEndian.AppendUint64(nil, incarnation))
		a.HandlePacket(now, packet)
		return a.Stats().NameYielded
	}
	if reportConflict("m0", 9) || reportConflict("m0", 10) || reportConflict("m1", 1) ||
		reportConflict("m1", 9) {
		t.Error("reports by two of six members stop a node's gossip")
	}
	a.MemberAlive(now, ordinal.Member{Name: "a", Incarnation: 2})
	yields := 0
	for _, action := range a.Ready() {
		if action.Type == YieldName {
			yields++
		}
	}
	a.SendMessage(now, AllPeers, []byte{3})
	a.Tick(now + time.Second)
	if actions := a.Ready(); yields != 1 || len(actions) > 0 {
		t.Errorf("a later process has the name: yields %d times, then does %+v", yields, actions)
	}
}

// The quorum for a conflict is three members, or half of the other members, rounded up, if that is fewer.
// Reports expire, and those of members that are gone do not count.
func TestConflictTracker(t *testing.T) {
	membersOf := func(count int) map[string]ordinal.Member {
		members := map[string]ordinal.Member{}
		for i := range count {
			members[fmt.Sprint("m", i)] = ordinal.Member{}
		}
		return members
	}
	for _, c := range []struct{ members, want int }{{1, 1}, {2, 1}, {3, 2}, {4, 2}, {5, 3}, {100, 3}} {
		tracker, members := newConflictTracker(), membersOf(c.members)
		got := 0
		for reported := false; !reported; got++ {
			reported = tracker.report(start, fmt.Sprint("m", got), members)
		}
		if got != c.want {
			t.Errorf("of %d members it takes %d reports, want %d", c.members, got, c.want)
		}
	}
	tracker, members := newConflictTracker(), membersOf(9)
	tracker.report(start, "m0", members)
	tracker.report(start, "gone", members)
	tracker.report(start+conflictReportTTL, "m1", members)
	if tracker.report(start+conflictReportTTL, "m2", members) {
		t.Error("an expired report, or one of no member, counts")
	}
	if !tracker.shouldNotify(start, "m0") || tracker.shouldNotify(start+time.Second, "m0") ||
		!tracker.shouldNotify(start+time.Second, "m1") ||
		!tracker.shouldNotify(start+conflictNoticeInterval, "m0") {
		t.Error("notices are not sent once per interval and member")
	}
}

// One peer that is wrong about an engine, or whose report is minutes old, has no effect. When three peers
// agree that the engine is down, the node reports it once. A response to this node outweighs the peers.
func TestReportEngineDown(t *testing.T) {
	now := start
	n := newTestNode("a", 1, 0)
	receive := func(from, engine string, value float64, age time.Duration) {
		n.Store().Receive(now, from, []observation.Observation{{
			Key:      observation.Key{Engine: engine, Property: observation.Health},
			Observer: from, Seq: 1, Value: value, Age: age}})
	}
	reportedDown := func() (engines []string) {
		now += engineCheckInterval
		n.Tick(now)
		for _, a := range n.Ready() {
			if a.Type == ReportEngineDown {
				engines = append(engines, a.Engine)
			}
		}
		return engines
	}
	receive("wrong", "e1", 0, 0)
	receive("stale", "e1", 0, 3*time.Minute)
	if got := reportedDown(); got != nil {
		t.Errorf("one peer that is wrong, and one whose report is minutes old: %v", got)
	}
	for i := range 3 {
		receive(fmt.Sprint("p", i), "e1", 0, 0)
	}
	if got := reportedDown(); !reflect.DeepEqual(got, []string{"e1"}) {
		t.Errorf("three agree: %v", got)
	}
	if got := reportedDown(); got != nil {
		t.Errorf("reported again: %v", got)
	}
	n.RecordAttempt(now, "e1", true, -1)
	health := func() float64 { return n.Store().Assess(now, observation.Key{Engine: "e1"}).Value }
	if got := reportedDown(); got != nil || health() != 1 {
		t.Errorf("it answered here: %v", got)
	}
}

// Encoded observations are decoded unchanged, and arbitrary bytes are decoded or rejected without a panic.
func TestObservationEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in, out []observation.Observation
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			in = append(in, observation.Observation{
				Key: observation.Key{
					Engine:    rapid.StringN(0, 20, 60).Draw(t, "engine"),
					Property:  observation.Property(rapid.Byte().Draw(t, "property")),
					Parameter: rapid.StringN(0, 9, 60).Draw(t, "parameter"),
				},
				Observer: "o",
				Seq:      rapid.Uint64().Draw(t, "seq"),
				Value:    rapid.Float64().Draw(t, "value"),
				Age:      time.Duration(rapid.Uint32().Draw(t, "ms")) * time.Millisecond,
				Hops:     3,
			})
		}
		for _, piece := range EncodeObservations(in) {
			h := header{kind: kindObservations, incarnation: 7, seq: rapid.Uint64().Draw(t, "number"),
				clock: 5 * time.Second, name: "me"}
			packet := h.encode(piece)
			read, data, ok := readHeader(packet)
			decoded, err := DecodeObservations(data)
			if len(packet) > MaxPacketSize || !ok || read != h || err != nil {
				t.Fatalf("%d bytes, %+v, %v", len(packet), read, err)
			}
			out = append(out, decoded...)
		}
		if !reflect.DeepEqual(in, out) {
			t.Fatalf("%v was decoded as %v", in, out)
		}
		n := newTestNode("any", 1, time.Second)
		n.MemberAlive(start, ordinal.Member{Name: "p", Incarnation: 1, Claim: 1})
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "any")
		n.HandlePacket(start, raw)
		kind := packetKind(rapid.IntRange(0, 9).Draw(t, "kind"))
		n.HandlePacket(start, header{kind: kind, incarnation: 1, seq: 1, name: "p"}.encode(raw))
	})
}

// parametersOf returns two parameters of a class.
func parametersOf(value float64) map[string]float64 {
	return map[string]float64{"c/x/scale": value, "c/x/work": value}
}

// silentPeer takes, in TestBootstrap, the place of the value that a peer has learnt: the peer does not
// answer.
const silentPeer = -1

// A starting node takes the median of five peers, for any value that one Byzantine peer sends. It does not
// wait for peers that have no model state, waits at most its BootstrapTimeout, and ignores answers that
// arrive later.
func TestBootstrap(t *testing.T) {
	for _, c := range []struct {
		name      string
		learnt    []float64 // by each peer; 0: nothing; NaN: forged on the way, as no honest node sends NaN
		want      float64
		within    time.Duration
		reporting int
	}{
		{"five", []float64{2, 2.1, 2.2, 2.3, 2.4}, 2.2, 300 * time.Millisecond, 5},
		{"one Byzantine peer of five", []float64{2, 2.1, 2.2, 2.3, 1e4}, 2.2, 300 * time.Millisecond, 5},
		{"one Byzantine peer of five with an invalid value", []float64{2, 2.1, 2.2, 2.3, math.NaN()}, 2.1,
			300 * time.Millisecond, 5},
		{"starting nodes ask starting nodes", []float64{0, 0, 0, 0, 0}, 0, 600 * time.Millisecond, 0},
		{"two know", []float64{0, 0, 3, 3, 0}, 3, 600 * time.Millisecond, 2},
		{"none answers", []float64{silentPeer, silentPeer, silentPeer}, 0,
			time.Second + 50*time.Millisecond, 0},
		{"some do not", []float64{silentPeer, silentPeer, 4, 4, 4, silentPeer, silentPeer}, 4,
			time.Second + 50*time.Millisecond, 3},
		{"alone", nil, 0, time.Second + 50*time.Millisecond, 0},
	} {
		n := newTestNode("new", 1, time.Second)
		peers := newTestPeers(n, c.learnt)
		now, took, reporting := runBootstrap(n, peers, c.learnt)
		p, known := n.Store().InitialParameter(now, "c/x/scale")
		if took == 0 || took > c.within || reporting != c.reporting || known != (c.want > 0) ||
			math.Abs(p.Value-c.want) > 1e-9 {
			t.Errorf("%s: done after %v with %d peers, %+v, %v", c.name, took, reporting, p, known)
		}
		if len(peers) > 0 { // a late answer does not change the value that was taken over
			before := p
			peers[0].RecordModelState(now, parametersOf(77))
			peers[0].answerBootstrap(now, "new")
			deliver(now, peers[0], n)
			if p, _ := n.Store().InitialParameter(now, "c/x/scale"); p.Value != before.Value {
				t.Errorf("%s: a late answer was taken: %+v", c.name, p)
			}
		}
	}
}

// newTestPeers returns peers of a starting node, one for each value that a peer has learnt.
func newTestPeers(n *Node, learnt []float64) (peers []*Node) {
	for i, value := range learnt {
		peer := newTestNode(fmt.Sprint("o", i), 1, 0)
		if value != 0 {
			peer.RecordModelState(start, parametersOf(value))
		}
		if math.IsNaN(value) { // its answer is forged on the way
			peer.RecordModelState(start, parametersOf(1))
		}
		n.MemberAlive(start, peer.Self())
		peer.MemberAlive(start, n.Self())
		peers = append(peers, peer)
	}
	return peers
}

// runBootstrap carries packets between a starting node and its peers until it completes its bootstrap, or
// for 5 s. took is 0 if the bootstrap did not complete.
func runBootstrap(n *Node, peers []*Node, learnt []float64) (now, took time.Duration, reporting int) {
	reporting = -1
	for now = start; took == 0 && now < start+5*time.Second; now += 50 * time.Millisecond {
		n.Tick(now)
		for _, a := range n.Ready() {
			for i, peer := range peers {
				if a.Type == SendPacket && a.To == peer.config.Name && learnt[i] != silentPeer {
					peer.HandlePacket(now, a.Data)
				}
			}
			if a.Type == CompleteBootstrap {
				took, reporting = now-start, a.ReportingPeers
			}
		}
		for i, peer := range peers {
			for _, a := range peer.Ready() {
				if a.Type != SendPacket {
					continue
				}
				if math.IsNaN(learnt[i]) {
					a.Data = forgeReply(a.Data, learnt[i])
				}
				n.HandlePacket(now, a.Data)
			}
		}
	}
	return now, took, reporting
}

// forgeReply replaces all values of a bootstrap reply. It returns other packets unchanged.
func forgeReply(packet []byte, value float64) []byte {
	h, data, _ := readHeader(packet)
	if h.kind != kindBootstrapReply {
		return packet
	}
	observations, _ := DecodeObservations(data[replyPartSize:])
	for i := range observations {
		observations[i].Value = value
	}
	return h.encode(append(append([]byte{}, data[:replyPartSize]...), EncodeObservations(observations)[0]...))
}

// A node answers a bounded number of bootstrap requests at a time.
func TestBootstrapFlood(t *testing.T) {
	n := newTestNode("old", 1, 0)
	n.RecordModelState(start, parametersOf(1))
	for i := range 100 {
		n.answerBootstrap(start, fmt.Sprint("n", i))
	}
	st := n.Stats()
	if st.BootstrapsAnswered != bootstrapReplyBurst || st.BootstrapsDeclined != 100-bootstrapReplyBurst {
		t.Errorf("a flood of joins: %+v", st)
	}
}
