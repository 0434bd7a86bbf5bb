package observation

import (
	"slices"
	"strings"
	"time"

	"cresspass/internal/membership/modelstate"
)

// InitialParameter is a model parameter that a starting dispatcher restores.
type InitialParameter struct {
	Value float64
	Age   time.Duration // the age to assume for the value
}

// PreviousIncarnation is the peer name under which a dispatcher records what its previous incarnation learnt.
const PreviousIncarnation = "(former)"

// maxReportedCompletions bounds the number of completed queries (CompletionsSuffix) that is taken over from
// peers, so that a few completions of our own weigh as much: a parameter that is based on many completions
// changes slowly, and a wrong value would stay.
const maxReportedCompletions = 8

// InitialParameter weighs the evidence about a model parameter for a starting dispatcher: its value is the
// weighted median (see Assess), its age the median of the ages. A single report counts as one half-life
// older, which halves its weight. A count of completions with a report of a peer is at most
// maxReportedCompletions. false: nothing is known about the parameter.
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
		p.Age += propertySpecs[ModelParameter].halfLife
	}
	return p, true
}

// fromPeer reports whether a record is from another dispatcher, not from this one or its previous
// incarnation.
func fromPeer(r Record) bool { return r.Hops > 0 && r.ReportedBy != PreviousIncarnation }

// medianAge returns the upper median of the records' ages.
func medianAge(now time.Duration, records []Record) time.Duration {
	var ages []time.Duration
	for _, r := range records {
		ages = append(ages, max(now-r.ObservedAt, 0))
	}
	slices.Sort(ages)
	return ages[len(ages)/2]
}
