package observation

import (
	"slices"
	"strings"
	"time"

	"cresspass/internal/membership/modelstate"
)

// InitialParameter is a model parameter that a starting dispatcher takes over.
type InitialParameter struct {
	Value float64
	Age   time.Duration // how old the parameter is to be taken for
}

// PreviousIncarnation is the peer under which a dispatcher reports what its previous incarnation has learnt.
const PreviousIncarnation = "(former)"

// maxReportedCompletions bounds how many completed queries are taken to support what peers have learnt, so
// that a few of our own weigh as much: a parameter that seems to rest on many moves slowly, and a wrong one
// would stay.
const maxReportedCompletions = 8

// InitialParameter weighs a model parameter for a dispatcher that starts: the weighted median, and the median
// of the ages. What a single peer reports is taken for a half-life older, so that it counts by half.
func (s *Store) InitialParameter(now time.Duration, name string) (p InitialParameter, ok bool) {
	key := Key{Property: ModelParameter, Parameter: name}
	assessment := s.Assess(now, key)
	if !assessment.Known {
		return p, false
	}
	records := s.engines[""][key]
	p = InitialParameter{Value: assessment.Value, Age: medianAge(now, records)}
	if strings.HasSuffix(name, modelstate.CompletionsSuffix) && slices.ContainsFunc(records, fromPeer) {
		p.Value = min(p.Value, maxReportedCompletions)
	}
	if !assessment.Local && len(records) < 2 {
		p.Age += propertyTerms[ModelParameter].halfLife
	}
	return p, true
}

// fromPeer reports whether a record was learnt by another dispatcher.
func fromPeer(r Record) bool { return r.Hops > 0 && r.ReportedBy != PreviousIncarnation }

// medianAge is the greater median of the records' ages.
func medianAge(now time.Duration, records []Record) time.Duration {
	var ages []time.Duration
	for _, r := range records {
		ages = append(ages, max(now-r.ObservedAt, 0))
	}
	slices.Sort(ages)
	return ages[len(ages)/2]
}
