package observation

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits bound what a store keeps and passes on.
type Limits struct {
	Observers       int // records of one property of an engine, without our own
	ModelParameters int
	Hops            uint8 // reports that came through this many dispatchers are rejected, and not passed on
}

// DefaultLimits returns limits that suit a fleet of some hundred engines.
func DefaultLimits() Limits { return Limits{Observers: 7, ModelParameters: 8192, Hops: 12} }

// Rejected counts the reports that were not accepted, by reason.
type Rejected struct {
	InvalidValue   int
	UnknownEngine  int // not in the engine list
	OwnObservation int // names this dispatcher as the observer
	Expired        int // too old, or with an impossible age
	TooManyHops    int
	NoCapacity     int // the store has Limits.ModelParameters parameters already
}

// Store holds the records of one dispatcher. Make one with New. It is not safe for concurrent use.
type Store struct {
	self        string
	limits      Limits
	seq         uint64                      // sequence number of our last observation
	engines     map[string]map[Key][]Record // records by engine; "": model parameters
	lastFailure map[string]time.Duration    // time of our last failed attempt, by engine
	rejected    Rejected
}

// New returns the empty store of a dispatcher with the name self. No other process may ever have the name: a
// dispatcher that restarts takes another name.
func New(self string, limits Limits) *Store {
	return &Store{
		self:        self,
		limits:      limits,
		engines:     map[string]map[Key][]Record{"": {}},
		lastFailure: map[string]time.Duration{},
	}
}

// SetEngines sets which engines exist, and drops the records of all others. No report adds an engine.
func (s *Store) SetEngines(engines []string) {
	current := map[string]map[Key][]Record{"": s.engines[""]}
	for _, engine := range engines {
		if current[engine] = s.engines[engine]; current[engine] == nil {
			current[engine] = map[Key][]Record{}
		}
	}
	s.engines = current
	for engine := range s.lastFailure {
		if current[engine] == nil {
			delete(s.lastFailure, engine)
		}
	}
}

// Rejected returns how many reports were not accepted so far.
func (s *Store) Rejected() Rejected { return s.rejected }

// Observe records an observation made by this dispatcher. An engine observed as unhealthy loses all earlier
// reports of its health. Invalid values, unknown engines and parameters beyond the limit are ignored.
func (s *Store) Observe(now time.Duration, key Key, value float64) {
	records := s.engines[key.Engine]
	if records == nil || !valid(key, value) || !s.hasCapacity(records, key) {
		return
	}
	s.seq++
	if key.Property == Health && value < healthThreshold {
		s.lastFailure[key.Engine] = now
		records[key] = nil
	}
	reports := slices.DeleteFunc(dropExpired(now, key.Property, records[key]),
		func(r Record) bool { return r.Observer == s.self })
	own := Record{Observer: s.self, ObservedAt: now, Seq: s.seq, Value: value, rank: observerRank(s.self)}
	records[key] = append([]Record{own}, reports...)
}

// Receive records the reports of a peer. Each record names the peer that sent it, and all reports of one peer
// about a property count once: a Byzantine peer can name many observers, real or invented.
func (s *Store) Receive(now time.Duration, from string, reports []Observation) {
	for i := range reports {
		report := &reports[i]
		if reason := s.rejection(now, report); reason != nil {
			*reason++
			continue
		}
		observedAt := now - report.Age
		if s.disproved(report, observedAt) {
			continue
		}
		records := s.engines[report.Engine]
		records[report.Key] = mergeRecord(
			dropExpired(now, report.Property, records[report.Key]),
			Record{
				Observer:   report.Observer,
				ObservedAt: observedAt,
				Seq:        report.Seq,
				Value:      report.Value,
				Hops:       report.Hops + 1,
				ReportedBy: from,
			},
			s.self, s.maxRecords(report.Property))
	}
}

// rejection returns the counter of the reason for which a report is rejected; nil: it is accepted.
func (s *Store) rejection(now time.Duration, report *Observation) *int {
	records := s.engines[report.Engine]
	switch {
	case !valid(report.Key, report.Value):
		return &s.rejected.InvalidValue
	case records == nil:
		return &s.rejected.UnknownEngine
	case report.Observer == s.self:
		// If reports that a peer echoes or invents in our name were accepted, they would count as observed
		// here.
		return &s.rejected.OwnObservation
	case report.Age < 0 || report.Age > propertySpecs[report.Property].ttl || report.Age > now:
		return &s.rejected.Expired
	case report.Hops >= s.limits.Hops:
		return &s.rejected.TooManyHops
	case !s.hasCapacity(records, report.Key):
		return &s.rejected.NoCapacity
	}
	return nil
}

// disproved reports whether an attempt has failed here since the evidence of an engine's health.
func (s *Store) disproved(report *Observation, observedAt time.Duration) bool {
	failed, ok := s.lastFailure[report.Engine]
	return ok && report.Property == Health && observedAt <= failed
}

// maxRecords returns how many observers' records of a property are kept. Model parameters have no limit: they
// are requested once, from a few peers.
func (s *Store) maxRecords(property Property) int {
	if property == ModelParameter {
		return math.MaxInt
	}
	return s.limits.Observers
}

// hasCapacity reports whether records of a key may be added: the number of model parameters is bounded.
func (s *Store) hasCapacity(records map[Key][]Record, key Key) bool {
	_, known := records[key]
	return known || key.Property != ModelParameter || len(records) < s.limits.ModelParameters
}

// OwnModelParameters returns the model parameters that this dispatcher has learnt itself. Model parameters
// are in no digest: a starting peer requests them once.
func (s *Store) OwnModelParameters(now time.Duration) (own []Observation) {
	parameters := s.collect(now, func(key Key) bool { return key.Property == ModelParameter })
	for _, o := range parameters {
		if o.Observer == s.self {
			own = append(own, o)
		}
	}
	return own
}

// collect returns the current observations of the selected keys, the freshest first: by the number of hops,
// then by the fraction of their TTL that has passed. Our own observations, without hops, come before reports.
func (s *Store) collect(now time.Duration, selected func(Key) bool) []Observation {
	var collected []Observation
	for _, records := range s.engines {
		for key, all := range records {
			if !selected(key) {
				continue
			}
			for i := range all {
				if o, ok := s.observation(now, key, &all[i]); ok {
					collected = append(collected, o)
				}
			}
		}
	}
	slices.SortFunc(collected, compareFreshness)
	return collected
}

// observation returns a record as it is sent to peers; false: it has expired, or has too many hops.
func (s *Store) observation(now time.Duration, key Key, r *Record) (o Observation, ok bool) {
	age := now - r.ObservedAt
	if age < 0 || age > propertySpecs[key.Property].ttl || r.Hops >= s.limits.Hops {
		return o, false
	}
	o = Observation{Key: key, Observer: r.Observer, Age: age, Seq: r.Seq, Value: r.Value, Hops: r.Hops}
	return o, true
}

// compareFreshness orders observations for sending, the freshest first. Ties are broken by key and
// observer, so that the order is reproducible.
func compareFreshness(a, b Observation) int {
	return cmp.Or(
		cmp.Compare(staleness(&a), staleness(&b)),
		strings.Compare(a.Engine, b.Engine),
		cmp.Compare(a.Property, b.Property),
		strings.Compare(a.Parameter, b.Parameter),
		strings.Compare(a.Observer, b.Observer))
}

// staleness is the fraction of an observation's TTL that has passed; each hop counts as much as a whole TTL.
func staleness(o *Observation) float64 {
	return float64(o.Age)/float64(propertySpecs[o.Property].ttl) + float64(o.Hops)
}
