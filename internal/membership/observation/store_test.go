package observation

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawRecords(t *rapid.T, name string) []Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		observer := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "observer")
		return Record{Observer: observer, rank: observerRank(observer),
			ObservedAt: time.Duration(rapid.IntRange(0, 5).Draw(t, "at")),
			Seq: uint64(
				rapid.IntRange(0, 2).Draw(t, "seq"),
			), Value: float64(rapid.IntRange(0, 2).Draw(t,
				"value")),
			Hops: uint8(rapid.IntRange(0, 2).Draw(t, "hops"))}
	}), 0, 6).Draw(t, name)
}

// join merges two sets of records of one fact: of each observer the freshest, and of the observers so many,
// by a rank that no record changes. It is commutative, associative and idempotent. Danger: were the
// freshest kept, those that lie twice a second would drive out those that tell the truth now and then.
func join(a, b []Record, most int) []Record {
	all := append(append(make([]Record, 0, len(a)+len(b)), a...), b...)
	sort.Slice(all, func(i, j int) bool {
		if x, y := all[i].Observer, all[j].Observer; x != y {
			if rx, ry := observerRank(x), observerRank(y); rx != ry {
				return rx < ry
			}
			return x < y
		}
		return all[i].supersedes(&all[j])
	})
	n := 0
	for i := range all {
		known := false
		for j := range n {
			known = known || all[j].Observer == all[i].Observer
		}
		if !known && n < most {
			all[n] = all[i]
			n++
		}
	}
	return all[:n]
}

// Merging is commutative, associative and idempotent, so that loss, order and doubling do not matter.
func TestJoinIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 4).Draw(t, "most")
		join := func(a, b []Record) []Record { return join(a, b, most) }
		x, y, z := join(
			drawRecords(t, "x"),
			nil,
		), join(
			drawRecords(t, "y"),
			nil,
		), join(
			drawRecords(t, "z"),
			nil,
		)
		for what, pair := range map[string][2][]Record{
			"commutative": {join(x, y), join(y, x)},
			"associative": {join(join(x, y), z), join(x, join(y, z))},
			"idempotent":  {join(x, x), x},
			"absorbing":   {join(join(x, y), y), join(x, y)},
		} {
			if !reflect.DeepEqual(append([]Record{}, pair[0]...), append([]Record{}, pair[1]...)) {
				t.Fatalf("not %s: %v and %v", what, pair[0], pair[1])
			}
		}
	})
}

// What is heard one by one comes to what join makes of all.
func TestReceiveMatchesJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawRecords(t, "all")
		most := rapid.IntRange(1, 4).Draw(t, "most")
		s := New("me", Limits{Observers: most, Hops: 9})
		s.SetEngines([]string{"e"})
		own := rapid.Bool().Draw(t, "seen")
		if own {
			s.Observe(time.Hour, healthKey("e"), 1)
		}
		var heard []Record
		for _, r := range all {
			v := math.Min(r.Value, 1)
			s.Receive(
				time.Hour,
				"v",
				[]Observation{{Key: healthKey("e"), Observer: r.Observer, Age: 5 - r.ObservedAt,
					Seq: r.Seq, Value: v,
					Hops: r.Hops}},
			)
			heard = append(
				heard,
				Record{Observer: r.Observer, ObservedAt: time.Hour - 5 + r.ObservedAt, Seq: r.Seq, Value: v,
					Hops: r.Hops + 1, ReportedBy: "v", rank: observerRank(r.Observer)},
			)
		}
		got := s.engines["e"][healthKey("e")]
		if own {
			got = got[1:]
		}
		if want := join(heard, nil, most); !reflect.DeepEqual(append([]Record{}, got...), append([]Record{},
			want...)) {
			t.Fatalf("%v, want %v", got, want)
		}
	})
}

func healthKey(e string) Key { return Key{Engine: e, Property: Health} }

// What was seen here stands against any number of voices; a failed attempt ends what was heard before it; no
// list adds an engine; what cannot be is dropped.
func TestLocalEvidenceOutweighsReports(t *testing.T) {
	s := New("me", DefaultLimits())
	s.SetEngines([]string{"e1", "e2", "e3", "e4"})
	now := time.Hour
	say := func(engine string, f Property, v float64, age time.Duration, voices int) {
		for i := range voices {
			s.Receive(now, fmt.Sprint("p", i), []Observation{{Key: Key{Engine: engine, Property: f},
				Observer: fmt.Sprint("p", i), Age: age,
				Seq:   1,
				Value: v}})
		}
	}
	s.Observe(now, healthKey("e1"), 0) // our attempt failed; all others say that it is well
	say("e1", Health, 1, time.Second, 5)
	if o := s.Assess(now, healthKey("e1")); !o.Local || o.Value != 0 {
		t.Errorf("a dead engine told as well: %+v", o)
	}
	now += 20 * time.Second // our evidence is past its life; what they saw before it is not taken up again
	say("e1", Health, 1, 21*time.Second, 5)
	if o := s.Assess(now, healthKey("e1")); o.Known {
		t.Errorf("disproved hearsay counts: %+v", o)
	}
	say("e1", Health, 1, time.Second, 3)
	if o := s.Assess(now, healthKey("e1")); o.Local || o.Value != 1 || o.Confidence < 0.5 {
		t.Errorf("three that agree: %+v", o)
	}
	s.Observe(now, healthKey("e2"), 1)
	say("e2", Health, 0, 0, 5)
	say("e3", Health, 0, 0, 1)
	if a := s.EnginesToAvoid(now); a != nil {
		t.Errorf("avoided against our own eyes, or for one voice: %v", a)
	}
	for i := range 5 { // one that says what five others are said to have seen is one voice
		s.Receive(now, "liar", []Observation{{Key: healthKey("e3"), Observer: fmt.Sprint("p", i), Seq: 9}})
	}
	if a := s.EnginesToAvoid(now); a != nil {
		t.Errorf("avoided for one voice in five names: %v", a)
	}
	now += time.Second // their own fresher word takes the place of what was put into their mouths
	say("e3", Health, 0, 0, 3)
	if a := s.EnginesToAvoid(now); !reflect.DeepEqual(a, []string{"e3"}) {
		t.Errorf("three say that it is dead: %v", a)
	}
	say("e1", Health, 0, 0, 5)
	say("e4", Health, 0, 0, 5)
	if a := s.EnginesToAvoid(now); a != nil {
		t.Errorf("all told as dead: %v are avoided", a)
	}
	s.Receive(
		now,
		"p",
		[]Observation{{Key: healthKey("e9"), Observer: "p", Value: 1}, {Key: healthKey("e1"), Observer: "me",
			Value: 1},
			{
				Key:      healthKey("e1"),
				Observer: "p",
				Value:    math.NaN(),
			}, {Key: healthKey("e1"), Observer: "p", Value: 2},
			{
				Key:      Key{Engine: "e1", Property: 200},
				Observer: "p",
				Value:    1,
			}, {Key: healthKey("e1"), Observer: "p",
				Age: -1},
			{
				Key:      healthKey("e1"),
				Observer: "p",
				Age:      time.Hour,
			}, {Key: healthKey("e1"), Observer: "p", Hops: 12},
			{Key: Key{Engine: "e1", Property: Load}, Observer: "p", Value: math.Inf(1)}},
	)
	if d := s.Rejected(); d.InvalidValue != 4 || d.UnknownEngine != 1 || d.OwnObservation != 1 ||
		d.Expired < 2 ||
		d.TooManyHops != 1 {
		t.Errorf("dropped %+v", d)
	}
	if s.SetEngines([]string{"e2"}); len(s.engines) != 2 || len(s.lastFailure) != 0 {
		t.Errorf("%v %v are left of engines that are gone", s.engines, s.lastFailure)
	}
}

// One in five lies, whatever it says: the opinion lies within what the honest ones said.
func TestAssessBoundsOneByzantineOfFive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("me", DefaultLimits())
		s.SetEngines([]string{"e"})
		k := Key{Engine: "e", Property: Load}
		least, most := math.Inf(1), math.Inf(-1)
		for i := range 4 {
			v := rapid.Float64Range(1, 8).Draw(t, "honest")
			least, most = min(least, v), max(most, v)
			s.Receive(
				time.Hour,
				fmt.Sprint("p", i),
				[]Observation{{Key: k, Observer: fmt.Sprint("p", i), Seq: 1,
					Value: v,
					Age:   time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond}},
			)
		}
		s.Receive(time.Hour, "liar", []Observation{{Key: k, Observer: "liar", Seq: 1 << 60,
			Value: rapid.Float64().Draw(t,
				"lie")}})
		if o := s.Assess(time.Hour, k); !o.Known || o.Value < least || o.Value > most {
			t.Fatalf("honest ones say %g to %g, the opinion is %+v", least, most, o)
		}
	})
}

// By digests and answers alone all stores come to hold the same, in whatever order they meet, and then have
// nothing more to tell.
func TestAntiEntropy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members, engines = 8, 6
		var names []string
		for i := range engines {
			names = append(names, fmt.Sprint("e", i))
		}
		var all []*Store
		now := time.Hour
		for i := range members {
			s := New(fmt.Sprint("m", i), Limits{Observers: members, ModelParameters: 8, Hops: members})
			s.SetEngines(names)
			for range rapid.IntRange(0, 6).Draw(t, "seen") {
				s.Observe(now, Key{Engine: rapid.SampledFrom(names).Draw(t, "engine"), Property: Uptime},
					float64(rapid.IntRange(1, 9).Draw(t, "value")))
			}
			all = append(all, s)
		}
		for range members { // rounds: each with the next around, and some by chance
			for i, s := range all {
				for _, o := range []*Store{all[(i+1)%members],
					all[rapid.IntRange(0, members-1).Draw(t, "with")]} {
					s.Receive(now, o.self, o.AnswerDigest(now, s.Digest(now), 1000))
					o.Receive(now, s.self, s.AnswerDigest(now, o.Digest(now), 1000))
				}
			}
		}
		for _, s := range all[1:] {
			if s.Digest(now) != all[0].Digest(now) {
				t.Fatal("two members hold different things")
			}
			if left := s.AnswerDigest(now, all[0].Digest(now), 1000); len(left) > 0 {
				t.Fatalf("%d records are told again", len(left))
			}
		}
	})
}
