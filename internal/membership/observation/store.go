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

// Property is what a record is about.
type Property uint8

// The facts.
const (
	Health         Property = iota // 1: answers, 0: does not
	Load                           // threads that run
	Uptime                         // seconds since its start
	ModelParameter                 // a learnt figure of classes and kinds, of no engine; see package figures
	propertyCount
)

// propertyTerms are how long evidence of a fact counts, how fast it fades, and what values can be.
var propertyTerms = [propertyCount]struct {
	life, half  time.Duration
	least, most float64
	near        float64 // values so near to one another agree: a share, at least of 1
}{
	Health:         {10 * time.Second, 4 * time.Second, 0, 1, 0},
	Load:           {3 * time.Second, time.Second, 0, 4096, 0.5},
	Uptime:         {time.Hour, 30 * time.Minute, 0, 1e8, 0.1},
	ModelParameter: {2 * time.Hour, 10 * time.Minute, 0, 1e12, 0.5},
}

// Key names a fact of an engine. Of a Weight, Class is the figure's name, and Engine is "".
type Key struct {
	Engine    string
	Property  Property
	Parameter string
}

// Record is one observer's evidence.
type Record struct {
	Observer   string
	ObservedAt time.Duration // of the evidence, by the holder's clock
	Seq        uint64        // of the observer's records
	Value      float64
	Hops       uint8  // dispatchers that it came through; 0: seen here
	ReportedBy string // who told it; "": seen here
	rank       uint32 // of Observer
}

// supersedes is a total order of records: by evidence, then by what must differ where that is alike. All
// merging rests on it.
func (r *Record) supersedes(o *Record) bool {
	switch {
	case r.ObservedAt != o.ObservedAt:
		return r.ObservedAt > o.ObservedAt
	case r.Seq != o.Seq:
		return r.Seq > o.Seq
	case r.Hops != o.Hops:
		return r.Hops < o.Hops
	case r.Observer != o.Observer:
		return r.Observer < o.Observer
	case r.ReportedBy != o.ReportedBy:
		return r.ReportedBy < o.ReportedBy
	}
	return r.Value < o.Value
}

// FNV-1a, as hash/fnv has it, without its allocations: members hash all that they know once a second.
const (
	fnvOffset32, fnvPrime32 = uint32(2166136261), 16777619
	fnvOffset64, fnvPrime64 = uint64(14695981039346656037), 1099511628211
)

func hash32(h uint32, text string) uint32 {
	for i := range len(text) {
		h = (h ^ uint32(text[i])) * fnvPrime32
	}
	return h
}

func hash64(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime64
	}
	return h
}

// observerRank is an observer's place among those that are kept.
func observerRank(observer string) uint32 { return hash32(fnvOffset32, observer) * 0x9e3779b1 }

// Observation is a record as it travels: by its age, not by a clock.
type Observation struct {
	Key
	Observer string
	Age      time.Duration
	Seq      uint64
	Value    float64
	Hops     uint8
}

// Limits bound what is kept.
type Limits struct {
	Observers       int // records of one fact
	ModelParameters int // learnt figures
	Hops            uint8
}

// DefaultLimits hold what a fleet of some hundred engines needs.
func DefaultLimits() Limits { return Limits{Observers: 7, ModelParameters: 8192, Hops: 12} }

// Rejected counts what was told and not taken, by reason.
type Rejected struct {
	InvalidValue   int // cannot be
	UnknownEngine  int // the roster does not name it
	OwnObservation int // claims that we saw it
	Expired        int // past its life, or of an age that cannot be
	TooManyHops    int // came through too many
	NoCapacity     int // more classes than are kept
}

// Store holds what is known. Make one with New. It is for one goroutine at a time.
type Store struct {
	self        string
	limits      Limits
	seq         uint64
	engines     map[string]map[Key][]Record // by the roster's names
	lastFailure map[string]time.Duration    // last failure seen here, by engine
	rejected    Rejected
}

// New returns a store of a dispatcher that knows nothing. Its name is its own among all members' of all time:
// one that returns takes another.
func New(self string, l Limits) *Store {
	return &Store{self: self, limits: l, engines: map[string]map[Key][]Record{"": {}},
		lastFailure: map[string]time.Duration{}}
}

// SetEngines tells which engines there are. What is known of others is forgotten: no told list adds an
// engine.
func (s *Store) SetEngines(engines []string) {
	now := map[string]map[Key][]Record{"": s.engines[""]} // of the settings' classes, not of engines
	for _, e := range engines {
		if now[e] = s.engines[e]; now[e] == nil {
			now[e] = map[Key][]Record{}
		}
	}
	s.engines = now
	for e := range s.lastFailure {
		if now[e] == nil {
			delete(s.lastFailure, e)
		}
	}
}

// Rejected is what was told and not taken so far.
func (s *Store) Rejected() Rejected { return s.rejected }

// Observe takes evidence of this dispatcher's own. Failures of an engine end what was heard of its health
// before.
func (s *Store) Observe(now time.Duration, k Key, value float64) {
	of := s.engines[k.Engine]
	if of == nil || !valid(k, value) || !s.hasCapacity(of, k) {
		return
	}
	s.seq++
	if k.Property == Health && value < 0.5 {
		s.lastFailure[k.Engine] = now
		of[k] = nil
	}
	others := slices.DeleteFunc(dropExpired(now, k.Property, of[k]),
		func(r Record) bool { return r.Observer == s.self })
	of[k] = append(
		[]Record{{Observer: s.self, ObservedAt: now, Seq: s.seq, Value: value, rank: observerRank(s.self)}},
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
	r.rank = observerRank(r.Observer)
	at := first
	for ; at < len(all); at++ {
		theirs, mine := all[at].rank, r.rank
		if theirs > mine || theirs == mine && all[at].Observer >= r.Observer {
			break
		}
	}
	switch {
	case at < len(all) && all[at].Observer == r.Observer:
		if r.supersedes(&all[at]) {
			all[at] = r
		}
	case at-first < most:
		all = slices.Insert(all, at, r)
	}
	return all[:min(len(all), max(most+first, most))]
}

// maxRecords is how many others' records of a fact are kept. Figures are asked for once, of a few.
func (s *Store) maxRecords(f Property) int {
	if f == ModelParameter {
		return math.MaxInt
	}
	return s.limits.Observers
}

// dropExpired leaves out records that are past their life: they would hold the places of others.
func dropExpired(now time.Duration, f Property, all []Record) []Record {
	return slices.DeleteFunc(all, func(r Record) bool { return now-r.ObservedAt > propertyTerms[f].life })
}

func valid(k Key, v float64) bool {
	return k.Property < propertyCount && !math.IsNaN(v) && v >= propertyTerms[k.Property].least && v <= propertyTerms[k.Property].most &&
		(k.Property == ModelParameter) == (k.Engine == "") &&
		(k.Property != ModelParameter || modelstate.Valid(k.Parameter, v))
}

// hasCapacity reports whether a fact may be kept: there are so many figures, and no more.
func (s *Store) hasCapacity(of map[Key][]Record, k Key) bool {
	_, known := of[k]
	return known || k.Property != ModelParameter || len(of) < s.limits.ModelParameters
}

// Receive takes what another dispatcher told. Danger: one that lies can tell of many observers, made up or
// not; so who told it is kept, and what one tells of a fact counts as one voice.
func (s *Store) Receive(now time.Duration, from string, all []Observation) {
	for i := range all {
		t := &all[i]
		of := s.engines[t.Engine]
		switch {
		case !valid(t.Key, t.Value):
			s.rejected.InvalidValue++
		case of == nil:
			s.rejected.UnknownEngine++
		case t.Observer == s.self:
			// Danger: our own words, come back or made up, would count as seen.
			s.rejected.OwnObservation++
		case t.Age < 0 || t.Age > propertyTerms[t.Property].life || t.Age > now:
			s.rejected.Expired++
		case t.Hops >= s.limits.Hops:
			s.rejected.TooManyHops++
		case !s.hasCapacity(of, t.Key):
			s.rejected.NoCapacity++
		default:
			at := now - t.Age
			if failed, ok := s.lastFailure[t.Engine]; t.Property == Health && ok && at <= failed {
				continue // disproved by a failed attempt here
			}
			of[t.Key] = s.insert(
				dropExpired(now, t.Property, of[t.Key]),
				Record{Observer: t.Observer, ObservedAt: at,
					Seq:   t.Seq,
					Value: t.Value, Hops: t.Hops + 1, ReportedBy: from},
				s.maxRecords(t.Property),
			)
		}
	}
}

// Tell returns what is worth telling, at most so many records: the freshest of each fact by their share of
// life left, ours before heard ones.
func (s *Store) Tell(now time.Duration, most int) []Observation {
	return s.collect(now, most, func(k Key) bool { return k.Property != ModelParameter })
}

// OwnModelParameters returns this dispatcher's own figures, by name. They are in no digest: who begins asks
// for them once.
func (s *Store) OwnModelParameters(now time.Duration) (out []Observation) {
	for _, t := range s.collect(now, math.MaxInt, func(k Key) bool { return k.Property == ModelParameter }) {
		if t.Observer == s.self {
			out = append(out, t)
		}
	}
	return out
}

func (s *Store) collect(now time.Duration, most int, which func(Key) bool) []Observation {
	var out []Observation
	for _, of := range s.engines {
		for k, all := range of {
			if !which(k) {
				continue
			}
			for _, r := range all {
				if age := now - r.ObservedAt; age >= 0 && age <= propertyTerms[k.Property].life &&
					r.Hops < s.limits.Hops {
					out = append(
						out,
						Observation{Key: k, Observer: r.Observer, Age: age, Seq: r.Seq, Value: r.Value,
							Hops: r.Hops},
					)
				}
			}
		}
	}
	left := func(t *Observation) float64 {
		return float64(t.Age)/float64(propertyTerms[t.Property].life) + float64(t.Hops)
	}
	slices.SortFunc(out, func(a, b Observation) int {
		if c := cmp.Compare(left(&a), left(&b)); c != 0 {
			return c
		}
		return cmp.Or(strings.Compare(a.Engine, b.Engine), cmp.Compare(a.Property, b.Property),
			strings.Compare(a.Parameter, b.Parameter), strings.Compare(a.Observer, b.Observer))
	})
	return out[:min(len(out), most)]
}

// DigestBuckets is the size of a digest.
const DigestBuckets = 64

// Digest is a fingerprint of what a store would conclude, for one to see what another lacks.
type Digest [DigestBuckets]uint64

func digestBucket(k Key) int {
	h := (hash32(fnvOffset32, k.Engine) ^ uint32(k.Property)) * fnvPrime32
	return int(hash32(h, k.Parameter) % DigestBuckets)
}

// maxDigestVotes is how many voices make a difference to what is concluded: more are not told of.
const maxDigestVotes = 3

// Digest returns the fingerprint. Danger: in a large fleet all see all engines all the time; a fingerprint
// of records would differ always and everywhere, and news would drown in what everybody knows. So it is one
// of conclusions: of a fact the median, coarsely, and whether one, two or more say so. Times are not in it:
// they differ from one to another.
func (s *Store) Digest(now time.Duration) (d Digest) {
	var values []float64
	for _, of := range s.engines {
		for k, all := range of {
			if k.Property == ModelParameter {
				continue
			}
			values = values[:0]
			for i := range all {
				if now-all[i].ObservedAt <= propertyTerms[k.Property].life {
					values = append(values, all[i].Value)
				}
			}
			if len(values) == 0 {
				continue
			}
			sort.Float64s(values)
			h := (hash64(fnvOffset64, k.Engine) ^ uint64(k.Property)) * fnvPrime64
			h = (h ^ uint64(min(len(values), maxDigestVotes))) * fnvPrime64
			h = hash64(h, k.Parameter)
			for n, i := quantize(values[len(values)/2], propertyTerms[k.Property].near), 0; i < 4; i++ {
				h = (h ^ uint64(byte(n>>(8*i)))) * fnvPrime64
			}
			d[digestBucket(k)] ^= h
		}
	}
	return d
}

// quantize is a value in steps that grow with it, by the share that makes no difference.
func quantize(v, near float64) int {
	if near <= 0 || v < 1 {
		return int(math.Round(2 * v))
	}
	return 2 + int(math.Round(math.Log(v)/math.Log1p(near)))
}

// AnswerDigest returns what the holder of a digest lacks, or has otherwise: the buckets that differ.
func (s *Store) AnswerDigest(now time.Duration, theirs Digest, most int) []Observation {
	ours := s.Digest(now)
	return s.collect(now, most, func(k Key) bool {
		b := digestBucket(k)
		return k.Property != ModelParameter && ours[b] != theirs[b]
	})
}

// Assessment is what to think of a fact.
type Assessment struct {
	Value      float64
	Local      bool    // by what was seen here
	Confidence float64 // 0 to 1; of heard ones: how many agree, and how fresh they are
	Known      bool
}

// Assess weighs what is known of a fact. What was seen here counts alone while it lives. Of what was heard
// the weighted median counts: to move it takes more than half of the weight, and no value stretches it.
func (s *Store) Assess(now time.Duration, k Key) Assessment {
	t := &propertyTerms[k.Property]
	type vote struct {
		value, weight float64
		via           string
	}
	votes := make([]vote, 0, 8)
	total := 0.0
	for _, r := range s.engines[k.Engine][k] {
		age := max(now-r.ObservedAt, 0)
		if age > t.life {
			continue
		}
		if r.Hops == 0 {
			return Assessment{Value: r.Value, Local: true, Confidence: 1, Known: true}
		}
		w := math.Exp2(-float64(age)/float64(t.half)) / float64(r.Hops)
		votes = append(votes, vote{r.Value, w, r.ReportedBy})
	}
	if len(votes) == 0 {
		return Assessment{}
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
	o := Assessment{Known: true}
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
	o.Confidence = agree / total * min(1, (float64(voices)+1)/4) * min(1, total)
	return o
}

// InitialParameter is what one that begins takes over: a figure, and how old to take it for.
type InitialParameter struct {
	Value float64
	Age   time.Duration
}

// PreviousIncarnation is who tells of what a former life of the dispatcher has learnt.
const PreviousIncarnation = "(former)"

// maxReceivedSeen is how many outcomes stand behind what others have learnt, at most: a few of our own weigh
// as much.
const maxReceivedSeen = 8

// InitialParameter weighs a figure for one that begins: the weighted median, and the least age by which half
// of the weight is as old or older. What a single other says is taken for so much older that it counts by
// half.
func (s *Store) InitialParameter(now time.Duration, name string) (b InitialParameter, ok bool) {
	k := Key{Property: ModelParameter, Parameter: name}
	o := s.Assess(now, k)
	if !o.Known {
		return b, false
	}
	var ages []time.Duration
	for _, r := range s.engines[""][k] {
		ages = append(ages, max(now-r.ObservedAt, 0))
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	b = InitialParameter{o.Value, ages[len(ages)/2]}
	// Danger: a figure that many outcomes seem to stand behind moves slowly, and a wrong one would stay.
	heard := slices.ContainsFunc(s.engines[""][k], func(r Record) bool {
		return r.Hops > 0 &&
			r.ReportedBy != PreviousIncarnation
	})
	if heard && strings.HasSuffix(name, "/seen") {
		b.Value = min(b.Value, maxReceivedSeen)
	}
	if !o.Local && len(ages) < 2 {
		b.Age += propertyTerms[ModelParameter].half
	}
	return b, true
}

// minAvoidConfidence is what is needed to avoid an engine for what was heard of it: two voices that agree.
const minAvoidConfidence = 0.6

// EnginesToAvoid is which engines to avoid for what was heard: those whose health was reported bad by
// several that agree, and not seen otherwise here. Danger: one liar, or a group cut off from the engines,
// would have all of them avoided. So never more than half of them are: then none is.
func (s *Store) EnginesToAvoid(now time.Duration) (avoid []string) {
	for e := range s.engines {
		o := s.Assess(now, Key{Engine: e, Property: Health})
		if e != "" && o.Known && !o.Local && o.Value < 0.5 && o.Confidence >= minAvoidConfidence {
			avoid = append(avoid, e)
		}
	}
	if 2*len(avoid) > len(s.engines)-1 {
		return nil
	}
	sort.Strings(avoid)
	return avoid
}
