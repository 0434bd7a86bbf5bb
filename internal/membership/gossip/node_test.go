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

const second = time.Second

func newTestNode(name string, born uint64, wait time.Duration) *Node {
	store := observation.New(name, observation.DefaultLimits())
	t := New(
		Config{
			Name:             name,
			Incarnation:      born,
			OrdinalClaim:     -1,
			BytesPerSecond:   20000,
			Validation:       validation.DefaultLimits(2),
			BootstrapTimeout: wait,
			Ordinals: ordinal.Limits{
				SettleTime: second,
				LossGrace:  5 * second,
				LeaveGrace: second,
				MinCount:   1,
			},
		},
		store,
		24*time.Hour,
	)
	t.SetEngines(map[cresspass.EngineID]float64{"e1": 8, "e2": 8})
	return t
}

// deliver hands on what one says to another, and returns its other outputs.
func deliver(now time.Duration, from, to *Node) (others []Action) {
	for _, o := range from.Ready() {
		if o.Type == SendPacket && o.To == to.config.Name {
			to.HandlePacket(now, o.Data)
		} else if o.Type != SendPacket {
			others = append(others, o)
		}
	}
	return others
}

func introduce(now time.Duration, all ...*Node) {
	for _, a := range all {
		for _, b := range all {
			if a != b {
				a.MemberAlive(now, b.Self())
			}
		}
	}
}

// A packet is taken once, of members only, of the member's last life only; what cannot be read is counted;
// nothing is said beyond the rate.
func TestPacketAcceptance(t *testing.T) {
	now := 24 * time.Hour
	a, b := newTestNode("a", 1, 0), newTestNode("b", 5, 0)
	introduce(now, a, b)
	now += 2 * second
	a.Tick(now)
	b.Tick(now)
	introduce(now, a, b) // with their ordinals
	a.Ready()
	a.SendMessage(now, -1, []byte{3, 0, 0, 1})
	out := a.Ready()
	if len(out) != 1 || out[0].To != "b" {
		t.Fatalf("%+v", out)
	}
	packet := out[0].Data
	b.Ready()
	for range 2 {
		b.HandlePacket(now, packet)
	}
	if got := b.Ready(); len(got) != 1 || got[0].Type != DeliverMessage || got[0].From != a.Self().Claim {
		t.Errorf("a message said twice: %+v", got)
	}
	life := append([]byte(nil), packet...)
	life[9]-- // born
	b.HandlePacket(now, life)
	b.HandlePacket(now, packet[:9])
	newTestNode("x", 1, 0).HandlePacket(now, packet)
	if st := b.Stats(); st.PacketsReplayed != 2 || st.PacketsMalformed != 1 || len(b.Ready()) > 0 {
		t.Errorf("%+v", st)
	}
	for range 200 {
		a.SendMessage(now, -1, make([]byte, 255))
	}
	if st := a.Stats(); st.PacketsRateLimited == 0 || st.BytesSent > 25000 {
		t.Errorf("the rate does not hold: %+v", st)
	}
	a.MemberAlive(now, ordinal.Member{Name: "a", Incarnation: 1})
	if len(deliver(now, a, b)) > 0 {
		t.Error("our own word come back")
	}
	for i := range 5 {
		a.MemberAlive(now, ordinal.Member{Name: fmt.Sprint("m", i), Incarnation: 1, Claim: -1})
	}
	warn := func(from string, born uint64) bool {
		b := header{
			kind:        kindNameConflict,
			incarnation: 1,
			seq:         1,
			name:        from,
		}.append(
			binary.BigEndian.AppendUint64(nil,
				born),
		)
		a.HandlePacket(now, b)
		return a.Stats().NameYielded
	}
	if warn("m0", 9) || warn("m0", 10) || warn("m1", 1) || warn("m1", 9) {
		t.Error("two that say so, of six, silence one")
	}
	a.MemberAlive(now, ordinal.Member{Name: "a", Incarnation: 2})
	yields := 0
	for _, o := range a.Ready() {
		if o.Type == YieldName {
			yields++
		}
	}
	a.SendMessage(now, -1, []byte{3})
	a.Tick(now + second)
	if out := a.Ready(); yields != 1 || len(out) > 0 {
		t.Errorf("a younger one has the name: yields %d times, then says %+v", yields, out)
	}
}

func parametersOf(v float64) map[string]float64 {
	return map[string]float64{"c/x/scale": v, "c/x/work": v}
}

// One that begins takes the median of five, whatever one of them lies; it does not wait for those that know
// nothing, nor for ever; an answer that was not asked for is none; and those asked answer so many at a
// time.
func TestBootstrap(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []float64 // that others have learnt; 0: nothing, below 0: does not answer
		want   float64
		within time.Duration
		voices int
	}{
		{"five", []float64{2, 2.1, 2.2, 2.3, 2.4}, 2.2, 300 * time.Millisecond, 5},
		{"a liar of five", []float64{2, 2.1, 2.2, 2.3, 1e4}, 2.2, 300 * time.Millisecond, 5},
		{"a liar of five with what cannot be", []float64{2, 2.1, 2.2, 2.3, math.NaN()}, 2.1,
			300 * time.Millisecond, 5},
		{"newcomers ask newcomers", []float64{0, 0, 0, 0, 0}, 0, 600 * time.Millisecond, 0},
		{"two know", []float64{0, 0, 3, 3, 0}, 3, 600 * time.Millisecond, 2},
		{"none answers", []float64{-1, -1, -1}, 0, second + 50*time.Millisecond, 0},
		{"some do not", []float64{-1, -1, 4, 4, 4, -1, -1}, 4, second + 50*time.Millisecond, 3},
		{"alone", nil, 0, second + 50*time.Millisecond, 0},
	} {
		now := 24 * time.Hour
		n := newTestNode("new", 1, second)
		var others []*Node
		for i, v := range c.values {
			o := newTestNode(fmt.Sprint("o", i), 1, 0)
			if v != 0 {
				o.RecordModelState(now, parametersOf(v))
			}
			if math.IsNaN(v) { // what cannot be is not even told; by hand, then
				o.RecordModelState(now, parametersOf(1))
			}
			n.MemberAlive(now, o.Self())
			o.MemberAlive(now, n.Self())
			others = append(others, o)
		}
		begun, voices := time.Duration(0), -1
		for ; begun == 0 && now < 24*time.Hour+5*second; now += 50 * time.Millisecond {
			n.Tick(now)
			for _, out := range n.Ready() {
				for i, o := range others {
					if out.Type == SendPacket && out.To == o.config.Name && c.values[i] >= 0 ||
						math.IsNaN(c.values[i]) {
						if out.Type == SendPacket && out.To == o.config.Name {
							o.HandlePacket(now, out.Data)
						}
					}
				}
				if out.Type == CompleteBootstrap {
					begun, voices = now-24*time.Hour, out.ReportingPeers
				}
			}
			for i, o := range others {
				for _, out := range o.Ready() {
					if out.Type != SendPacket {
						continue
					}
					if math.IsNaN(c.values[i]) {
						h, data, _ := readHeader(out.Data)
						if h.kind == kindBootstrapReply {
							all, _ := DecodeObservations(data[2:])
							for k := range all {
								all[k].Value = c.values[i]
							}
							out.Data = h.append(
								append(append([]byte{}, data[:2]...), EncodeObservations(all)[0]...),
							)
						}
					}
					n.HandlePacket(now, out.Data)
				}
			}
		}
		b, known := n.Store().InitialParameter(now, "c/x/scale")
		if begun == 0 || begun > c.within || voices != c.voices || known != (c.want > 0) ||
			math.Abs(b.Value-c.want) > 1e-9 {
			t.Errorf("%s: begun after %v with %d voices, %+v, %v", c.name, begun, voices, b, known)
		}
		if len(others) > 0 { // too late: what was learnt here stands
			before := b
			others[0].RecordModelState(now, parametersOf(77))
			others[0].answerBootstrap(now, "new")
			deliver(now, others[0], n)
			if b, _ := n.Store().InitialParameter(now, "c/x/scale"); b.Value != before.Value {
				t.Errorf("%s: an answer come late was taken: %+v", c.name, b)
			}
		}
	}
	flooded := newTestNode("old", 1, 0)
	flooded.RecordModelState(24*time.Hour, parametersOf(1))
	for i := range 100 {
		flooded.answerBootstrap(24*time.Hour, fmt.Sprint("n", i))
	}
	if st := flooded.Stats(); st.BootstrapsAnswered != bootstrapReplyBurst ||
		st.BootstrapsDeclined != 100-bootstrapReplyBurst {
		t.Errorf("a flood of joins: %+v", st)
	}
}

// A peer that is wrong about an engine, or whose view is minutes old, changes nothing; three that agree
// have the module told, once; and what was seen here stands.
func TestReportEngineDown(t *testing.T) {
	now := 24 * time.Hour
	a := newTestNode("a", 1, 0)
	say := func(from, engine string, v float64, age time.Duration) {
		a.Store().Receive(now, from, []observation.Observation{{Key: observation.Key{Engine: engine,
			Property: observation.Health},
			Observer: from, Seq: 1, Value: v, Age: age}})
	}
	downs := func() (out []string) {
		now += engineCheckInterval
		a.Tick(now)
		for _, o := range a.Ready() {
			if o.Type == ReportEngineDown {
				out = append(out, o.Engine)
			}
		}
		return out
	}
	say("wrong", "e1", 0, 0)
	say("stale", "e1", 0, 3*time.Minute)
	if got := downs(); got != nil {
		t.Errorf("one that is wrong, and one that is minutes old: %v", got)
	}
	for i := range 3 {
		say(fmt.Sprint("p", i), "e1", 0, 0)
	}
	if got := downs(); !reflect.DeepEqual(got, []string{"e1"}) {
		t.Errorf("three agree: %v", got)
	}
	if got := downs(); got != nil {
		t.Errorf("told again: %v", got)
	}
	a.RecordAttempt(now, "e1", true, -1)
	if got := downs(); got != nil || a.Store().Assess(now, observation.Key{Engine: "e1"}).Value != 1 {
		t.Errorf("it answered here: %v", got)
	}
}

// Records come out as they went in, and any bytes are read or refused.
func TestObservationEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in, out []observation.Observation
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			in = append(
				in,
				observation.Observation{Key: observation.Key{Engine: rapid.StringN(0, 20, 60).Draw(t,
					"engine"),
					Property: observation.Property(
						rapid.Byte().Draw(t, "fact"),
					), Parameter: rapid.StringN(0, 9, 60).Draw(t,
						"class")},
					Observer: "o", Seq: rapid.Uint64().Draw(t, "seq"), Value: rapid.Float64().Draw(t, "value"),
					Age: time.Duration(rapid.Uint32().Draw(t, "ms")) * time.Millisecond, Hops: 3},
			)
		}
		for _, p := range EncodeObservations(in) {
			h := header{
				kind:        kindObservations,
				incarnation: 7,
				seq:         rapid.Uint64().Draw(t, "number"),
				clock:       5 * second,
				name:        "me",
			}
			b := h.append(p)
			again, data, ok := readHeader(b)
			all, err := DecodeObservations(data)
			if len(b) > MaxPacketSize || !ok || again != h || err != nil {
				t.Fatalf("%d bytes, %+v, %v", len(b), again, err)
			}
			out = append(out, all...)
		}
		if !reflect.DeepEqual(in, out) {
			t.Fatalf("%v came out as %v", in, out)
		}
		b := newTestNode("any", 1, second)
		b.MemberAlive(24*time.Hour, ordinal.Member{Name: "p", Incarnation: 1, Claim: 1})
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "any")
		b.HandlePacket(24*time.Hour, raw)
		k := packetKind(rapid.IntRange(0, 9).Draw(t, "kind"))
		b.HandlePacket(24*time.Hour, header{kind: k, incarnation: 1, seq: 1, name: "p"}.append(raw))
	})
}
