package simulation

import (
	"math"
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/simulation/enginemodel"
)

// HalfRestart is a day on which half of a fleet's dispatchers end at once and come back, having lost what they
// learnt. Costs are told as so many times the truth; 0: not at all.
func HalfRestart(seed uint64, mode GossipMode, byzantine int, costFactor float64) Config {
	const at = 60 * time.Second
	c := Config{Seed: seed, Dispatchers: 20, Gossip: mode, Byzantine: byzantine,
		Engines: UniformEngines(10, "std", enginemodel.Kind{Cores: 16, MaxJobs: 200}), Length: at + 62*time.Second,
		Network:     CalmNetwork(),
		TransitTime: 300 * time.Microsecond,
		Module: cresspass.Config{
			BatchInterval:     5 * time.Millisecond,
			Zone:              "a",
			MayCancel:         true,
			MaySendRetryAfter: true,
			MayCheckHealth:    true,
			MaxAttempts:       4,
			MaxRetryAfter:     2 * time.Second,
			KindNames:         []string{"std"},
			KindCores:         []float64{16},
			ClassThreads:      []float64{2, 4},
			Rules: cresspass.Rules{AnswerGrace: 50 * time.Millisecond, DrainGrace: 2 * time.Second,
				HasRetryBudget:  true,
				RetryBudgetFree: 5, RetryBudgetRatio: 0.2, RetryBudgetWindow: 10 * time.Second},
			Classes: []cresspass.Class{
				{Name: "board", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1},
				{
					Name:             "report",
					LatencyObjective: 10 * time.Second,
					Deadline:         30 * time.Second,
					PriorityWeight:   5,
					LateAnswerValue:  0.5,
				},
			},
		},
		Traffic: []Traffic{
			{Class: "board", Rate: 160, Work: 0.6, Spread: 0.5, Threads: 2, Repeats: 2, CostEstimateFactor: costFactor},
			{Class: "report", Rate: 10, Work: 8, Spread: 0.7, Threads: 4, Repeats: 1, CostEstimateFactor: costFactor},
		}}
	r := Restart{At: at, After: time.Second, WithoutState: true}
	for i := 1; i < c.Dispatchers; i += 2 {
		r.Dispatchers = append(r.Dispatchers, i)
	}
	c.Restarts = []Restart{r}
	return c
}

// WindowSummary is what clients got of some dispatchers, and how engines stood, in a time.
type WindowSummary struct {
	Tries                    int
	Served, Rejected, Failed float64 // shares
	Late                     float64 // of those served
	Overload                 float64 // share of engines' time at more than two threads a core
	Mean                     time.Duration
}

// Between sums up the tries that began in a time at some dispatchers; nil: at all.
func (r *Result) Between(from, to time.Duration, at []int) (s WindowSummary) {
	var took time.Duration
	for _, a := range r.Requests {
		if a.At < from || a.At >= to || at != nil && !slices.Contains(at, a.Dispatcher) {
			continue
		}
		s.Tries++
		switch a.End {
		case Served:
			s.Served++
			took += a.Elapsed
			if a.Late {
				s.Late++
			}
		case Rejected:
			s.Rejected++
		case Failed:
			s.Failed++
		}
	}
	s.Mean = took / time.Duration(max(s.Served, 1))
	s.Late /= max(s.Served, 1)
	n := math.Max(float64(s.Tries), 1)
	s.Served, s.Rejected, s.Failed = s.Served/n, s.Rejected/n, s.Failed/n
	over, all := 0.0, 0.0
	for _, l := range r.Loads {
		if l.At >= from && l.At < to {
			for _, v := range l.Threads {
				if all++; v > 2 {
					over++
				}
			}
		}
	}
	s.Overload = over / max(all, 1)
	return s
}
