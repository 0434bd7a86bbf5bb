package simulation

import (
	"time"

	"cresspass"
	"cresspass/internal/simulation/enginemodel"
)

// The times of HalfRestart: when the dispatchers stop, and how long the day continues afterwards.
const (
	halfRestartAt   = 60 * time.Second
	halfRestartRest = 62 * time.Second
)

// HalfRestart returns the configuration of a day on which half of a fleet's dispatchers stop at once and
// start again without their snapshots. Clients estimate their costs at costFactor times the true cost; 0:
// they send no estimates.
func HalfRestart(seed uint64, mode GossipMode, byzantine int, costFactor float64) Config {
	c := Config{
		Seed:        seed,
		Dispatchers: 20,
		Gossip:      mode,
		Byzantine:   byzantine,
		Engines:     UniformEngines(10, "std", enginemodel.Kind{Cores: 16, MaxJobs: 200}),
		Length:      halfRestartAt + halfRestartRest,
		Network:     CalmNetwork(),
		TransitTime: 300 * time.Microsecond,
		Module:      halfRestartModule(),
		Traffic: []Traffic{
			{Class: "board", Rate: 160, Work: 0.6, Spread: 0.5, Threads: 2, Retries: 2,
				CostEstimateFactor: costFactor},
			{Class: "report", Rate: 10, Work: 8, Spread: 0.7, Threads: 4, Retries: 1,
				CostEstimateFactor: costFactor},
		},
	}
	c.Restarts = []Restart{{At: halfRestartAt, After: time.Second, WithoutState: true,
		Dispatchers: oddNumbers(c.Dispatchers)}}
	return c
}

// halfRestartModule returns the module's configuration in HalfRestart.
func halfRestartModule() cresspass.Config {
	return cresspass.Config{
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
		Rules: cresspass.Rules{
			AnswerGrace:       50 * time.Millisecond,
			DrainGrace:        2 * time.Second,
			HasRetryBudget:    true,
			RetryBudgetFree:   5,
			RetryBudgetRatio:  0.2,
			RetryBudgetWindow: 10 * time.Second,
		},
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
	}
}
