package simulation

import (
	"math"
	"slices"
	"time"

	"cresspass/internal/membership/gossip"
)

// Outcome is how a client's request ended.
type Outcome int

// The outcomes of a request.
const (
	Served Outcome = iota
	Rejected
	Failed
	Abandoned // by the client; only in rehearsals
)

// Request is a client's request that has ended.
type Request struct {
	Class      int // index in Config.Traffic
	Dispatcher int
	At         time.Duration // when the client first sent it
	Elapsed    time.Duration // from At to the answer, with the client's retries
	Outcome    Outcome
	Late       bool // answered after its class's latency objective
}

// LoadSample holds the load of all engines at one time.
type LoadSample struct {
	At      time.Duration
	Threads []float64 // threads per core, by engine
}

// Result holds everything that a run recorded.
type Result struct {
	Requests     []Request
	Loads        []LoadSample // empty with Config.OmitLoads
	Events       uint64       // events executed
	Stats        []gossip.Stats
	Violations   RuleViolations
	OpenRequests []float64 // requests without an answer, sampled every sampleInterval
}

// sampleInterval is how often loads and open requests are sampled.
const sampleInterval = 500 * time.Millisecond

// overloadThreads is the number of threads per core above which an engine counts as overloaded.
const overloadThreads = 2

// WindowSummary summarizes the requests to some dispatchers, and the engines' load, in a window of time.
type WindowSummary struct {
	Requests                 int           // number of requests
	Served, Rejected, Failed float64       // shares of the requests
	Late                     float64       // share of those served
	Overload                 float64       // share of the load samples with more than overloadThreads
	Mean                     time.Duration // mean time to the answer of those served
}

// Between summarizes the requests that were first sent at or after from and before to, and were answered by
// one of the given dispatchers; nil: by any.
func (r *Result) Between(from, to time.Duration, dispatchers []int) (s WindowSummary) {
	var elapsed time.Duration
	for _, req := range r.Requests {
		if req.At < from || req.At >= to ||
			dispatchers != nil && !slices.Contains(dispatchers, req.Dispatcher) {
			continue
		}
		s.Requests++
		switch req.Outcome {
		case Served:
			s.Served++
			elapsed += req.Elapsed
			if req.Late {
				s.Late++
			}
		case Rejected:
			s.Rejected++
		case Failed:
			s.Failed++
		}
	}
	s.Mean = elapsed / time.Duration(max(s.Served, 1))
	s.Late /= max(s.Served, 1)
	n := math.Max(float64(s.Requests), 1)
	s.Served, s.Rejected, s.Failed = s.Served/n, s.Rejected/n, s.Failed/n
	s.Overload = r.overloadShare(from, to)
	return s
}

// overloadShare returns the share of the engines' load samples in a window that show an overloaded engine.
func (r *Result) overloadShare(from, to time.Duration) float64 {
	overloaded, all := 0.0, 0.0
	for _, l := range r.Loads {
		if l.At < from || l.At >= to {
			continue
		}
		for _, threads := range l.Threads {
			if all++; threads > overloadThreads {
				overloaded++
			}
		}
	}
	return overloaded / max(all, 1)
}
