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

const s = time.Second

func one(name string, born uint64, wait time.Duration) *Talker {
	store := observation.New(name, observation.DefaultLimits())
	t := New(Config{Name: name, Born: born, Claim: -1, Rate: 20000, Believe: validation.DefaultLimits(2),
		Wait:     wait,
		Ordinals: ordinal.Limits{Still: s, Grace: 5 * s, Left: s, Least: 1}}, store, 24*time.Hour)
	t.Roster(map[cresspass.EngineID]float64{"e1": 8, "e2": 8})
	return t
}

// pass hands on what one says to another, and returns its other outputs.
func pass(now time.Duration, from, to *Talker) (others []Output) {
	for _, o := range from.Ready() {
		if o.Type == Send && o.To == to.cfg.Name {
			to.Packet(now, o.Data)
		} else if o.Type != Send {
			others = append(others, o)
		}
	}
	return others
}

func meet(now time.Duration, all ...*Talker) {
	for _, a := range all {
		for _, b := range all {
			if a != b {
				a.Alive(now, b.Self())
			}
		}
	}
}

// A packet is taken once, of members only, of the member's last life only; what cannot be read is counted;
// nothing is said beyond the rate.
func TestPackets(t *testing.T) {
	now := 24 * time.Hour
	a, b := one("a", 1, 0), one("b", 5, 0)
	meet(now, a, b)
	now += 2 * s
	a.Tick(now)
	b.Tick(now)
	meet(now, a, b) // with their ordinals
	a.Ready()
	a.Tell(now, -1, []byte{3, 0, 0, 1})
	out := a.Ready()
	if len(out) != 1 || out[0].To != "b" {
		t.Fatalf("%+v", out)
	}
	packet := out[0].Data
	b.Ready()
	for range 2 {
		b.Packet(now, packet)
	}
	if got := b.Ready(); len(got) != 1 || got[0].Type != Message || got[0].From != a.Self().Claim {
		t.Errorf("a message said twice: %+v", got)
	}
	life := append([]byte(nil), packet...)
	life[9]-- // born
	b.Packet(now, life)
	b.Packet(now, packet[:9])
	one("x", 1, 0).Packet(now, packet)
	if st := b.Stats(); st.Old != 2 || st.Unread != 1 || len(b.Ready()) > 0 {
		t.Errorf("%+v", st)
	}
	for range 200 {
		a.Tell(now, -1, make([]byte, 255))
	}
	if st := a.Stats(); st.Held == 0 || st.Bytes > 25000 {
		t.Errorf("the rate does not hold: %+v", st)
	}
	a.Alive(now, ordinal.Member{Name: "a", Born: 1})
	if len(pass(now, a, b)) > 0 {
		t.Error("our own word come back")
	}
	for i := range 5 {
		a.Alive(now, ordinal.Member{Name: fmt.Sprint("m", i), Born: 1, Claim: -1})
	}
	warn := func(from string, born uint64) bool {
		b := header{kind: kindTwin, born: 1, seq: 1, name: from}.append(binary.BigEndian.AppendUint64(nil,
			born))
		a.Packet(now, b)
		return a.Stats().Yielded
	}
	if warn("m0", 9) || warn("m0", 10) || warn("m1", 1) || warn("m1", 9) {
		t.Error("two that say so, of six, silence one")
	}
	a.Alive(now, ordinal.Member{Name: "a", Born: 2})
	yields := 0
	for _, o := range a.Ready() {
		if o.Type == Yield {
			yields++
		}
	}
	a.Tell(now, -1, []byte{3})
	a.Tick(now + s)
	if out := a.Ready(); yields != 1 || len(out) > 0 {
		t.Errorf("a younger one has the name: yields %d times, then says %+v", yields, out)
	}
}

func figuresOf(v float64) map[string]float64 {
	return map[string]float64{"c/x/scale": v, "c/x/work": v}
}

// One that begins takes the median of five, whatever one of them lies; it does not wait for those that know
// nothing, nor for ever; an answer that was not asked for is none; and those asked answer so many at a
// time.
func TestNewcomer(t *testing.T) {
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
		{"none answers", []float64{-1, -1, -1}, 0, s + 50*time.Millisecond, 0},
		{"some do not", []float64{-1, -1, 4, 4, 4, -1, -1}, 4, s + 50*time.Millisecond, 3},
		{"alone", nil, 0, s + 50*time.Millisecond, 0},
	} {
		now := 24 * time.Hour
		n := one("new", 1, s)
		var others []*Talker
		for i, v := range c.values {
			o := one(fmt.Sprint("o", i), 1, 0)
			if v != 0 {
				o.Learnt(now, figuresOf(v))
			}
			if math.IsNaN(v) { // what cannot be is not even told; by hand, then
				o.Learnt(now, figuresOf(1))
			}
			n.Alive(now, o.Self())
			o.Alive(now, n.Self())
			others = append(others, o)
		}
		begun, voices := time.Duration(0), -1
		for ; begun == 0 && now < 24*time.Hour+5*s; now += 50 * time.Millisecond {
			n.Tick(now)
			for _, out := range n.Ready() {
				for i, o := range others {
					if out.Type == Send && out.To == o.cfg.Name && c.values[i] >= 0 ||
						math.IsNaN(c.values[i]) {
						if out.Type == Send && out.To == o.cfg.Name {
							o.Packet(now, out.Data)
						}
					}
				}
				if out.Type == Begun {
					begun, voices = now-24*time.Hour, out.Voices
				}
			}
			for i, o := range others {
				for _, out := range o.Ready() {
					if out.Type != Send {
						continue
					}
					if math.IsNaN(c.values[i]) {
						h, data, _ := readHeader(out.Data)
						if h.kind == kindLearnt {
							all, _ := Decode(data[2:])
							for k := range all {
								all[k].Value = c.values[i]
							}
							out.Data = h.append(append(append([]byte{}, data[:2]...), Encode(all)[0]...))
						}
					}
					n.Packet(now, out.Data)
				}
			}
		}
		b, known := n.Store().Begin(now, "c/x/scale")
		if begun == 0 || begun > c.within || voices != c.voices || known != (c.want > 0) ||
			math.Abs(b.Value-c.want) > 1e-9 {
			t.Errorf("%s: begun after %v with %d voices, %+v, %v", c.name, begun, voices, b, known)
		}
		if len(others) > 0 { // too late: what was learnt here stands
			before := b
			others[0].Learnt(now, figuresOf(77))
			others[0].answer(now, "new")
			pass(now, others[0], n)
			if b, _ := n.Store().Begin(now, "c/x/scale"); b.Value != before.Value {
				t.Errorf("%s: an answer come late was taken: %+v", c.name, b)
			}
		}
	}
	flooded := one("old", 1, 0)
	flooded.Learnt(24*time.Hour, figuresOf(1))
	for i := range 100 {
		flooded.answer(24*time.Hour, fmt.Sprint("n", i))
	}
	if st := flooded.Stats(); st.Answers != answersMost || st.Unanswered != 100-answersMost {
		t.Errorf("a flood of joins: %+v", st)
	}
}

// A peer that is wrong about an engine, or whose view is minutes old, changes nothing; three that agree
// have the module told, once; and what was seen here stands.
func TestDown(t *testing.T) {
	now := 24 * time.Hour
	a := one("a", 1, 0)
	say := func(from, engine string, v float64, age time.Duration) {
		a.Store().Hear(now, from, []observation.Told{{Key: observation.Key{Engine: engine,
			Fact: observation.Health},
			Observer: from, Seq: 1, Value: v, Age: age}})
	}
	downs := func() (out []string) {
		now += downEvery
		a.Tick(now)
		for _, o := range a.Ready() {
			if o.Type == Down {
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
	a.Saw(now, "e1", true, -1)
	if got := downs(); got != nil || a.Store().Opinion(now, observation.Key{Engine: "e1"}).Value != 1 {
		t.Errorf("it answered here: %v", got)
	}
}

// Records come out as they went in, and any bytes are read or refused.
func TestForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in, out []observation.Told
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			in = append(in, observation.Told{Key: observation.Key{Engine: rapid.StringN(0, 20, 60).Draw(t,
				"engine"),
				Fact: observation.Fact(rapid.Byte().Draw(t, "fact")), Class: rapid.StringN(0, 9, 60).Draw(t,
					"class")},
				Observer: "o", Seq: rapid.Uint64().Draw(t, "seq"), Value: rapid.Float64().Draw(t, "value"),
				Age: time.Duration(rapid.Uint32().Draw(t, "ms")) * time.Millisecond, Hops: 3})
		}
		for _, p := range Encode(in) {
			h := header{kind: kindFacts, born: 7, seq: rapid.Uint64().Draw(t, "number"), clock: 5 * s,
				name: "me"}
			b := h.append(p)
			again, data, ok := readHeader(b)
			all, err := Decode(data)
			if len(b) > MostPacket || !ok || again != h || err != nil {
				t.Fatalf("%d bytes, %+v, %v", len(b), again, err)
			}
			out = append(out, all...)
		}
		if !reflect.DeepEqual(in, out) {
			t.Fatalf("%v came out as %v", in, out)
		}
		b := one("any", 1, s)
		b.Alive(24*time.Hour, ordinal.Member{Name: "p", Born: 1, Claim: 1})
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "any")
		b.Packet(24*time.Hour, raw)
		k := kind(rapid.IntRange(0, 9).Draw(t, "kind"))
		b.Packet(24*time.Hour, header{kind: k, born: 1, seq: 1, name: "p"}.append(raw))
	})
}
