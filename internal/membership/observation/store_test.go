package observation

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func healthKey(engine string) Key { return Key{Engine: engine, Property: Health} }

// Receiving reports one by one leaves the same records as joining all of them.
func TestReceiveMatchesJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawRecords(t, "all")
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		s := New("me", Limits{Observers: limit, Hops: 9})
		s.SetEngines([]string{"e"})
		own := rapid.Bool().Draw(t, "own")
		if own {
			s.Observe(time.Hour, healthKey("e"), 1)
		}
		var reported []Record
		for _, r := range all {
			value := math.Min(r.Value, 1)
			s.Receive(time.Hour, "v", []Observation{{Key: healthKey("e"), Observer: r.Observer,
				Age: 5 - r.ObservedAt, Seq: r.Seq, Value: value, Hops: r.Hops}})
			reported = append(reported, Record{Observer: r.Observer, ObservedAt: time.Hour - 5 + r.ObservedAt,
				Seq: r.Seq, Value: value, Hops: r.Hops + 1, ReportedBy: "v", rank: observerRank(r.Observer)})
		}
		got := s.engines["e"][healthKey("e")]
		if own {
			got = got[1:]
		}
		want := join(reported, nil, limit)
		if !reflect.DeepEqual(append([]Record{}, got...), append([]Record{}, want...)) {
			t.Fatalf("%v, want %v", got, want)
		}
	})
}

// Any number of peers does not outweigh an observation made here. A failed attempt discards the reports
// before it. No report adds an engine. Invalid reports are rejected.
func TestLocalEvidenceOutweighsReports(t *testing.T) {
	s := New("me", DefaultLimits())
	s.SetEngines([]string{"e1", "e2", "e3", "e4"})
	now := time.Hour
	receive := func(engine string, property Property, value float64, age time.Duration, peers int) {
		for i := range peers {
			s.Receive(now, fmt.Sprint("p", i), []Observation{{Key: Key{Engine: engine, Property: property},
				Observer: fmt.Sprint("p", i), Age: age, Seq: 1, Value: value}})
		}
	}
	s.Observe(now, healthKey("e1"), Unhealthy) // our attempt failed; all others report that it is healthy
	receive("e1", Health, Healthy, time.Second, 5)
	if a := s.Assess(now, healthKey("e1")); !a.Local || a.Value != 0 {
		t.Errorf("a dead engine reported as healthy: %+v", a)
	}
	now += 20 * time.Second // our evidence has expired; older observations of peers stay discarded
	receive("e1", Health, Healthy, 21*time.Second, 5)
	if a := s.Assess(now, healthKey("e1")); a.Known {
		t.Errorf("disproved reports count: %+v", a)
	}
	receive("e1", Health, Healthy, time.Second, 3)
	if a := s.Assess(now, healthKey("e1")); a.Local || a.Value != 1 || a.Confidence < 0.5 {
		t.Errorf("three that agree: %+v", a)
	}
	s.Observe(now, healthKey("e2"), Healthy)
	receive("e2", Health, Unhealthy, 0, 5)
	receive("e3", Health, Unhealthy, 0, 1)
	if engines := s.EnginesToAvoid(now); engines != nil {
		t.Errorf("avoided against evidence here, or for one peer: %v", engines)
	}
	for i := range 5 { // one peer that names five other observers counts once
		s.Receive(now, "liar", []Observation{{Key: healthKey("e3"), Observer: fmt.Sprint("p", i), Seq: 9}})
	}
	if engines := s.EnginesToAvoid(now); engines != nil {
		t.Errorf("avoided for one peer under five names: %v", engines)
	}
	now += time.Second // the observers' own later reports replace those attributed to them
	receive("e3", Health, Unhealthy, 0, 3)
	if engines := s.EnginesToAvoid(now); !reflect.DeepEqual(engines, []string{"e3"}) {
		t.Errorf("three report that it is dead: %v", engines)
	}
	receive("e1", Health, Unhealthy, 0, 5)
	receive("e4", Health, Unhealthy, 0, 5)
	if engines := s.EnginesToAvoid(now); engines != nil {
		t.Errorf("all reported as dead: %v are avoided", engines)
	}
	s.Receive(now, "p", []Observation{
		{Key: healthKey("e9"), Observer: "p", Value: 1},
		{Key: healthKey("e1"), Observer: "me", Value: 1},
		{Key: healthKey("e1"), Observer: "p", Value: math.NaN()},
		{Key: healthKey("e1"), Observer: "p", Value: 2},
		{Key: Key{Engine: "e1", Property: 200}, Observer: "p", Value: 1},
		{Key: healthKey("e1"), Observer: "p", Age: -1},
		{Key: healthKey("e1"), Observer: "p", Age: time.Hour},
		{Key: healthKey("e1"), Observer: "p", Hops: 12},
		{Key: Key{Engine: "e1", Property: Load}, Observer: "p", Value: math.Inf(1)},
	})
	if r := s.Rejected(); r.InvalidValue != 4 || r.UnknownEngine != 1 || r.OwnObservation != 1 ||
		r.Expired < 2 || r.TooManyHops != 1 {
		t.Errorf("rejected %+v", r)
	}
	if s.SetEngines([]string{"e2"}); len(s.engines) != 2 || len(s.lastFailure) != 0 {
		t.Errorf("%v %v are left of engines that are gone", s.engines, s.lastFailure)
	}
}

// One peer in five is Byzantine. For any values that it reports, the assessment lies within the values that
// the honest peers report.
func TestAssessBoundsOneByzantineOfFive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("me", DefaultLimits())
		s.SetEngines([]string{"e"})
		key := Key{Engine: "e", Property: Load}
		least, most := math.Inf(1), math.Inf(-1)
		for i := range 4 {
			value := rapid.Float64Range(1, 8).Draw(t, "honest")
			least, most = min(least, value), max(most, value)
			s.Receive(time.Hour, fmt.Sprint("p", i), []Observation{{Key: key, Observer: fmt.Sprint("p", i),
				Seq: 1, Value: value,
				Age: time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond}})
		}
		s.Receive(time.Hour, "liar", []Observation{{Key: key, Observer: "liar", Seq: 1 << 60,
			Value: rapid.Float64().Draw(t, "lie")}})
		if a := s.Assess(time.Hour, key); !a.Known || a.Value < least || a.Value > most {
			t.Fatalf("honest ones report %g to %g, the assessment is %+v", least, most, a)
		}
	})
}

// By digests and answers alone, exchanged in any order, all stores reach the same conclusions, and then have
// no more observations to send.
func TestAntiEntropy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members, engineCount = 8, 6
		var engines []string
		for i := range engineCount {
			engines = append(engines, fmt.Sprint("e", i))
		}
		var stores []*Store
		now := time.Hour
		for i := range members {
			s := New(fmt.Sprint("m", i), Limits{Observers: members, ModelParameters: 8, Hops: members})
			s.SetEngines(engines)
			for range rapid.IntRange(0, 6).Draw(t, "observed") {
				s.Observe(now, Key{Engine: rapid.SampledFrom(engines).Draw(t, "engine"), Property: Uptime},
					float64(rapid.IntRange(1, 9).Draw(t, "value")))
			}
			stores = append(stores, s)
		}
		for range members { // rounds: each member with its next neighbor, and some at random
			for i, s := range stores {
				for _, peer := range []*Store{stores[(i+1)%members],
					stores[rapid.IntRange(0, members-1).Draw(t, "with")]} {
					s.Receive(now, peer.self, peer.AnswerDigest(now, s.Digest(now), 1000))
					peer.Receive(now, s.self, s.AnswerDigest(now, peer.Digest(now), 1000))
				}
			}
		}
		for _, s := range stores[1:] {
			if s.Digest(now) != stores[0].Digest(now) {
				t.Fatal("two members have different digests")
			}
			if left := s.AnswerDigest(now, stores[0].Digest(now), 1000); len(left) > 0 {
				t.Fatalf("%d observations are sent again", len(left))
			}
		}
	})
}
