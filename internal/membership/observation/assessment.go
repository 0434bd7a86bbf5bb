package observation

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// Assessment is what a store concludes about a key.
type Assessment struct {
	Value float64
	// Local reports whether the value was observed here.
	Local bool
	// Confidence is from 0 to 1. For reports it depends on how many agree, and on how fresh they are.
	Confidence float64
	Known      bool // there is evidence that has not expired
}

// vote is the value and the weight of one report.
type vote struct {
	value, weight float64
	reportedBy    string
}

// Assess weighs the evidence about a key. An observation made here counts alone until it expires. Otherwise
// the value is the weighted median of the reports: false reports determine it only with half of the weight or
// more, however far off their values are.
func (s *Store) Assess(now time.Duration, key Key) Assessment {
	spec := &propertySpecs[key.Property]
	votes := make([]vote, 0, 8)
	for _, r := range s.engines[key.Engine][key] {
		age := max(now-r.ObservedAt, 0)
		if age > spec.ttl {
			continue
		}
		if r.Hops == 0 {
			return Assessment{Value: r.Value, Local: true, Confidence: 1, Known: true}
		}
		weight := math.Exp2(-float64(age)/float64(spec.halfLife)) / float64(r.Hops)
		votes = append(votes, vote{r.Value, weight, r.ReportedBy})
	}
	if len(votes) == 0 {
		return Assessment{}
	}
	peers, total := shareWeights(votes)
	value := weightedMedian(votes, total)
	agreement := agreeingWeight(votes, value, spec.tolerance) / total
	return Assessment{
		Value:      value,
		Confidence: agreement * min(1, (float64(peers)+1)/confidenceDivisor) * min(1, total),
		Known:      true,
	}
}

// confidenceDivisor limits the confidence by the number n of peers to (n+1)/confidenceDivisor:
// one half for one peer, full confidence for three that agree.
const confidenceDivisor = 4

// shareWeights divides the weight of each vote by the number of votes that the same peer has reported. It
// returns the number of peers and the total weight, and sorts the votes by peer.
func shareWeights(votes []vote) (peers int, total float64) {
	slices.SortFunc(votes, func(a, b vote) int { return strings.Compare(a.reportedBy, b.reportedBy) })
	for start, end := 0, 0; start < len(votes); start = end {
		for end = start; end < len(votes) && votes[end].reportedBy == votes[start].reportedBy; end++ {
		}
		peers++
		for i := start; i < end; i++ {
			votes[i].weight /= float64(end - start)
			total += votes[i].weight
		}
	}
	return peers, total
}

// weightedMedian returns the lowest value at which the votes up to it have half of the total weight. It sorts
// the votes by value.
func weightedMedian(votes []vote, total float64) (median float64) {
	slices.SortStableFunc(votes, func(a, b vote) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, v := range votes {
		if sum += v.weight; sum >= total/2 {
			return v.value
		}
	}
	return 0
}

// agreeingWeight returns the weight of the votes that agree with a value.
func agreeingWeight(votes []vote, value, tolerance float64) (weight float64) {
	for _, v := range votes {
		if math.Abs(v.value-value) <= tolerance*max(math.Abs(value), 1) {
			weight += v.weight
		}
	}
	return weight
}

// minAvoidConfidence is the confidence in reports that is needed to avoid an engine. At least two peers that
// agree are needed to reach it.
const minAvoidConfidence = 0.6

// EnginesToAvoid returns the engines to avoid because of reports: those that several peers agree to be
// unhealthy and about which there is no evidence here. If they are more than half of all engines, none is
// returned: a Byzantine peer, or a group of peers that is cut off from the engines, could otherwise have all
// engines avoided.
func (s *Store) EnginesToAvoid(now time.Duration) (avoid []string) {
	for engine := range s.engines {
		if engine == "" {
			continue
		}
		health := s.Assess(now, Key{Engine: engine, Property: Health})
		if health.Known && !health.Local && health.Value < healthThreshold &&
			health.Confidence >= minAvoidConfidence {
			avoid = append(avoid, engine)
		}
	}
	if engines := len(s.engines) - 1; 2*len(avoid) > engines {
		return nil
	}
	sort.Strings(avoid)
	return avoid
}
