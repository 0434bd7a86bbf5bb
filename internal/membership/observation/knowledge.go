// Package observation decides what a dispatcher makes of what others tell of engines. Facts are records, one
// for each observer, with the time of the evidence; what was seen here is never outweighed by what was heard.
// It does no I/O and reads no clock: times are the dispatcher's own, and what travels between dispatchers are
// ages.
package observation

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"cresspass/internal/membership/modelstate"
)

// Fact is what a record is about.
type Fact uint8

// The facts.
const (
	Health Fact = iota // 1: answers, 0: does not
	Load               // threads that run
	Warmth             // seconds since its start
	Weight             // a learnt figure of classes and kinds, of no engine; see package figures
	facts
)

// terms are how long evidence of a fact counts, how fast it fades, and what values can be.
var terms = [facts]struct {
	life, half  time.Duration
	least, most float64
	near        float64 // values so near to one another agree: a share, at least of 1
}{
	Health: {10 * time.Second, 4 * time.Second, 0, 1, 0},
	Load:   {3 * time.Second, time.Second, 0, 4096, 0.5},
	Warmth: {time.Hour, 30 * time.Minute, 0, 1e8, 0.1},
	Weight: {2 * time.Hour, 10 * time.Minute, 0, 1e12, 0.5},
}

// Key names a fact of an engine. Of a Weight, Class is the figure's name, and Engine is "".
type Key struct {
	Engine string
	Fact   Fact
	Class  string
}

// Record is one observer's evidence.
type Record struct {
	Observer string
	At       time.Duration // of the evidence, by the holder's clock
	Seq      uint64        // of the observer's records
	Value    float64
	Hops     uint8  // dispatchers that it came through; 0: seen here
	Via      string // who told it; "": seen here
	rank     uint32 // of Observer
}

// fresher is a total order of records: by evidence, then by what must differ where that is alike. All merging
// rests on it.
func (r *Record) fresher(o *Record) bool {
	switch {
	case r.At != o.At:
		return r.At > o.At
	case r.Seq != o.Seq:
		return r.Seq > o.Seq
	case r.Hops != o.Hops:
		return r.Hops < o.Hops
	case r.Observer != o.Observer:
		return r.Observer < o.Observer
	case r.Via != o.Via:
		return r.Via < o.Via
	}
	return r.Value < o.Value
}

// FNV-1a, as hash/fnv has it, without its allocations: members hash all that they know once a second.
const (
	start32, prime32 = uint32(2166136261), 16777619
	start64, prime64 = uint64(14695981039346656037), 1099511628211
)

func hash32(h uint32, text string) uint32 {
	for i := range len(text) {
		h = (h ^ uint32(text[i])) * prime32
	}
	return h
}

func hash64(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime64
	}
	return h
}

// rank is an observer's place among those that are kept.
func rank(observer string) uint32 { return hash32(start32, observer) * 0x9e3779b1 }

// Told is a record as it travels: by its age, not by a clock.
type Told struct {
	Key
	Observer string
	Age      time.Duration
	Seq      uint64
	Value    float64
	Hops     uint8
}

// Limits bound what is kept.
type Limits struct {
	Observers int // records of one fact
	Figures   int // learnt figures
	Hops      uint8
}

// DefaultLimits hold what a fleet of some hundred engines needs.
func DefaultLimits() Limits { return Limits{Observers: 7, Figures: 8192, Hops: 12} }

// Dropped counts what was told and not taken, by reason.
type Dropped struct {
	Value  int // cannot be
	Engine int // the roster does not name it
	Self   int // claims that we saw it
	Old    int // past its life, or of an age that cannot be
	Far    int // came through too many
	Room   int // more classes than are kept
}

// Store holds what is known. Make one with New. It is for one goroutine at a time.
type Store struct {
	self    string
	limits  Limits
	seq     uint64
	engines map[string]map[Key][]Record // by the roster's names
	failed  map[string]time.Duration    // last failure seen here, by engine
	dropped Dropped
}

// New returns a store of a dispatcher that knows nothing. Its name is its own among all members' of all time:
// one that returns takes another.
func New(self string, l Limits) *Store {
	return &Store{self: self, limits: l, engines: map[string]map[Key][]Record{"": {}},
		failed: map[string]time.Duration{}}
}

// Roster tells which engines there are. What is known of others is forgotten: no told list adds an engine.
func (s *Store) Roster(engines []string) {
	now := map[string]map[Key][]Record{"": s.engines[""]} // of the settings' classes, not of engines
	for _, e := range engines {
		if now[e] = s.engines[e]; now[e] == nil {
			now[e] = map[Key][]Record{}
		}
	}
	s.engines = now
	for e := range s.failed {
		if now[e] == nil {
			delete(s.failed, e)
		}
	}
}

// Dropped is what was told and not taken so far.
func (s *Store) Dropped() Dropped { return s.dropped }

// See takes evidence of this dispatcher's own. Failures of an engine end what was heard of its health before.
func (s *Store) See(now time.Duration, k Key, value float64) {
	of := s.engines[k.Engine]
	if of == nil || !possible(k, value) || !s.room(of, k) {
		return
	}
	s.seq++
	if k.Fact == Health && value < 0.5 {
		s.failed[k.Engine] = now
		of[k] = nil
	}
	others := slices.DeleteFunc(alive(now, k.Fact, of[k]),
		func(r Record) bool { return r.Observer == s.self })
	of[k] = append([]Record{{Observer: s.self, At: now, Seq: s.seq, Value: value, rank: rank(s.self)}},
		others...)
}

// insert merges one more record into others in their order: of each observer the freshest, and of the
// observers so many, by a rank that no record changes; our own comes first, whatever its rank. Merging is
// commutative, associative and idempotent. Danger: were the freshest kept, those that lie twice a second
// would drive out those that tell the truth now and then.
func (s *Store) insert(all []Record, r Record, most int) []Record {
	first := 0
	if len(all) > 0 && all[0].Observer == s.self {
		first = 1
	}
	r.rank = rank(r.Observer)
	at := first
	for ; at < len(all); at++ {
		theirs, mine := all[at].rank, r.rank
		if theirs > mine || theirs == mine && all[at].Observer >= r.Observer {
			break
		}
	}
	switch {
	case at < len(all) && all[at].Observer == r.Observer:
		if r.fresher(&all[at]) {
			all[at] = r
		}
	case at-first < most:
		all = slices.Insert(all, at, r)
	}
	return all[:min(len(all), max(most+first, most))]
}

// most is how many others' records of a fact are kept. Figures are asked for once, of a few.
func (s *Store) most(f Fact) int {
	if f == Weight {
		return math.MaxInt
	}
	return s.limits.Observers
}

// alive leaves out records that are past their life: they would hold the places of others.
func alive(now time.Duration, f Fact, all []Record) []Record {
	return slices.DeleteFunc(all, func(r Record) bool { return now-r.At > terms[f].life })
}

func possible(k Key, v float64) bool {
	return k.Fact < facts && !math.IsNaN(v) && v >= terms[k.Fact].least && v <= terms[k.Fact].most &&
		(k.Fact == Weight) == (k.Engine == "") && (k.Fact != Weight || modelstate.Possible(k.Class, v))
}

// room reports whether a fact may be kept: there are so many figures, and no more.
func (s *Store) room(of map[Key][]Record, k Key) bool {
	_, known := of[k]
	return known || k.Fact != Weight || len(of) < s.limits.Figures
}

// Hear takes what another dispatcher told. Danger: one that lies can tell of many observers, made up or
// not; so who told it is kept, and what one tells of a fact counts as one voice.
func (s *Store) Hear(now time.Duration, from string, all []Told) {
	for i := range all {
		t := &all[i]
		of := s.engines[t.Engine]
		switch {
		case !possible(t.Key, t.Value):
			s.dropped.Value++
		case of == nil:
			s.dropped.Engine++
		case t.Observer == s.self:
			// Danger: our own words, come back or made up, would count as seen.
			s.dropped.Self++
		case t.Age < 0 || t.Age > terms[t.Fact].life || t.Age > now:
			s.dropped.Old++
		case t.Hops >= s.limits.Hops:
			s.dropped.Far++
		case !s.room(of, t.Key):
			s.dropped.Room++
		default:
			at := now - t.Age
			if failed, ok := s.failed[t.Engine]; t.Fact == Health && ok && at <= failed {
				continue // disproved by a failed attempt here
			}
			of[t.Key] = s.insert(alive(now, t.Fact, of[t.Key]), Record{Observer: t.Observer, At: at,
				Seq:   t.Seq,
				Value: t.Value, Hops: t.Hops + 1, Via: from}, s.most(t.Fact))
		}
	}
}

// Tell returns what is worth telling, at most so many records: the freshest of each fact by their share of
// life left, ours before heard ones.
func (s *Store) Tell(now time.Duration, most int) []Told {
	return s.tell(now, most, func(k Key) bool { return k.Fact != Weight })
}

// Learnt returns this dispatcher's own figures, by name. They are in no digest: who begins asks for them
// once.
func (s *Store) Learnt(now time.Duration) (out []Told) {
	for _, t := range s.tell(now, math.MaxInt, func(k Key) bool { return k.Fact == Weight }) {
		if t.Observer == s.self {
			out = append(out, t)
		}
	}
	return out
}

func (s *Store) tell(now time.Duration, most int, which func(Key) bool) []Told {
	var out []Told
	for _, of := range s.engines {
		for k, all := range of {
			if !which(k) {
				continue
			}
			for _, r := range all {
				if age := now - r.At; age >= 0 && age <= terms[k.Fact].life && r.Hops < s.limits.Hops {
					out = append(out, Told{Key: k, Observer: r.Observer, Age: age, Seq: r.Seq, Value: r.Value,
						Hops: r.Hops})
				}
			}
		}
	}
	left := func(t *Told) float64 { return float64(t.Age)/float64(terms[t.Fact].life) + float64(t.Hops) }
	slices.SortFunc(out, func(a, b Told) int {
		if c := cmp.Compare(left(&a), left(&b)); c != 0 {
			return c
		}
		return cmp.Or(strings.Compare(a.Engine, b.Engine), cmp.Compare(a.Fact, b.Fact),
			strings.Compare(a.Class, b.Class), strings.Compare(a.Observer, b.Observer))
	})
	return out[:min(len(out), most)]
}

// Buckets is the size of a digest.
const Buckets = 64

// Digest is a fingerprint of what a store would conclude, for one to see what another lacks.
type Digest [Buckets]uint64

func bucket(k Key) int {
	h := (hash32(start32, k.Engine) ^ uint32(k.Fact)) * prime32
	return int(hash32(h, k.Class) % Buckets)
}

// voicesMatter is how many voices make a difference to what is concluded: more are not told of.
const voicesMatter = 3

// Digest returns the fingerprint. Danger: in a large fleet all see all engines all the time; a fingerprint
// of records would differ always and everywhere, and news would drown in what everybody knows. So it is one
// of conclusions: of a fact the median, coarsely, and whether one, two or more say so. Times are not in it:
// they differ from one to another.
func (s *Store) Digest(now time.Duration) (d Digest) {
	var values []float64
	for _, of := range s.engines {
		for k, all := range of {
			if k.Fact == Weight {
				continue
			}
			values = values[:0]
			for i := range all {
				if now-all[i].At <= terms[k.Fact].life {
					values = append(values, all[i].Value)
				}
			}
			if len(values) == 0 {
				continue
			}
			sort.Float64s(values)
			h := (hash64(start64, k.Engine) ^ uint64(k.Fact)) * prime64
			h = (h ^ uint64(min(len(values), voicesMatter))) * prime64
			h = hash64(h, k.Class)
			for n, i := coarse(values[len(values)/2], terms[k.Fact].near), 0; i < 4; i++ {
				h = (h ^ uint64(byte(n>>(8*i)))) * prime64
			}
			d[bucket(k)] ^= h
		}
	}
	return d
}

// coarse is a value in steps that grow with it, by the share that makes no difference.
func coarse(v, near float64) int {
	if near <= 0 || v < 1 {
		return int(math.Round(2 * v))
	}
	return 2 + int(math.Round(math.Log(v)/math.Log1p(near)))
}

// Answer returns what the holder of a digest lacks, or has otherwise: the buckets that differ.
func (s *Store) Answer(now time.Duration, theirs Digest, most int) []Told {
	ours := s.Digest(now)
	return s.tell(now, most, func(k Key) bool {
		b := bucket(k)
		return k.Fact != Weight && ours[b] != theirs[b]
	})
}

// Opinion is what to think of a fact.
type Opinion struct {
	Value float64
	Own   bool    // by what was seen here
	Trust float64 // 0 to 1; of heard ones: how many agree, and how fresh they are
	Known bool
}

// Opinion weighs what is known of a fact. What was seen here counts alone while it lives. Of what was heard
// the weighted median counts: to move it takes more than half of the weight, and no value stretches it.
func (s *Store) Opinion(now time.Duration, k Key) Opinion {
	t := &terms[k.Fact]
	type vote struct {
		value, weight float64
		via           string
	}
	votes := make([]vote, 0, 8)
	total := 0.0
	for _, r := range s.engines[k.Engine][k] {
		age := max(now-r.At, 0)
		if age > t.life {
			continue
		}
		if r.Hops == 0 {
			return Opinion{Value: r.Value, Own: true, Trust: 1, Known: true}
		}
		w := math.Exp2(-float64(age)/float64(t.half)) / float64(r.Hops)
		votes = append(votes, vote{r.Value, w, r.Via})
	}
	if len(votes) == 0 {
		return Opinion{}
	}
	slices.SortFunc(votes, func(a, b vote) int { return strings.Compare(a.via, b.via) })
	voices := 0
	for i, end := 0, 0; i < len(votes); i = end {
		for end = i; end < len(votes) && votes[end].via == votes[i].via; end++ {
		}
		voices++
		for j := i; j < end; j++ {
			votes[j].weight /= float64(end - i)
			total += votes[j].weight
		}
	}
	slices.SortStableFunc(votes, func(a, b vote) int { return cmp.Compare(a.value, b.value) })
	o := Opinion{Known: true}
	sum := 0.0
	for _, v := range votes {
		if sum += v.weight; sum >= total/2 {
			o.Value = v.value
			break
		}
	}
	agree := 0.0
	for _, v := range votes {
		if math.Abs(v.value-o.Value) <= t.near*max(math.Abs(o.Value), 1) {
			agree += v.weight
		}
	}
	// One voice alone is half believed at most, three that agree wholly.
	o.Trust = agree / total * min(1, (float64(voices)+1)/4) * min(1, total)
	return o
}

// Beginning is what one that begins takes over: a figure, and how old to take it for.
type Beginning struct {
	Value float64
	Age   time.Duration
}

// Former is who tells of what a former life of the dispatcher has learnt.
const Former = "(former)"

// heardSeen is how many outcomes stand behind what others have learnt, at most: a few of our own weigh as
// much.
const heardSeen = 8

// Begin weighs a figure for one that begins: the weighted median, and the least age by which half of the
// weight is as old or older. What a single other says is taken for so much older that it counts by half.
func (s *Store) Begin(now time.Duration, name string) (b Beginning, ok bool) {
	k := Key{Fact: Weight, Class: name}
	o := s.Opinion(now, k)
	if !o.Known {
		return b, false
	}
	var ages []time.Duration
	for _, r := range s.engines[""][k] {
		ages = append(ages, max(now-r.At, 0))
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	b = Beginning{o.Value, ages[len(ages)/2]}
	// Danger: a figure that many outcomes seem to stand behind moves slowly, and a wrong one would stay.
	heard := slices.ContainsFunc(s.engines[""][k], func(r Record) bool {
		return r.Hops > 0 &&
			r.Via != Former
	})
	if heard && strings.HasSuffix(name, "/seen") {
		b.Value = min(b.Value, heardSeen)
	}
	if !o.Own && len(ages) < 2 {
		b.Age += terms[Weight].half
	}
	return b, true
}

// avoidTrust is what is needed to avoid an engine for what was heard of it: two voices that agree.
const avoidTrust = 0.6

// Advice is which engines to avoid for what was heard: those whose health was reported bad by several that
// agree, and not seen otherwise here. Danger: one liar, or a group cut off from the engines, would have all
// of them avoided. So never more than half of them are: then none is.
func (s *Store) Advice(now time.Duration) (avoid []string) {
	for e := range s.engines {
		o := s.Opinion(now, Key{Engine: e, Fact: Health})
		if e != "" && o.Known && !o.Own && o.Value < 0.5 && o.Trust >= avoidTrust {
			avoid = append(avoid, e)
		}
	}
	if 2*len(avoid) > len(s.engines)-1 {
		return nil
	}
	sort.Strings(avoid)
	return avoid
}
