package experiment

import (
	"fmt"
	"math"
	"slices"

	"cresspass/internal/recording"
	"cresspass/internal/simulation"
)

// maxSlowdown bounds the response time from which the work of a recorded query is derived, as a multiple of
// the mean of the quickest tenth of its shape, which is all queries with its fingerprint. Queries that took
// longer have waited.
const maxSlowdown = 40

// applyRecording replaces the random arrivals by recorded queries. The work of a query is derived from its
// own response time, waits included, if it was served, and otherwise from the quickest tenth of its shape,
// because these queries had the least contention.
func applyRecording(c *simulation.Config, entries []recording.Entry) error {
	traffic := map[string]int{}
	for i := range c.Traffic {
		c.Traffic[i].Rate = 0
		traffic[c.Traffic[i].Class] = i
	}
	quickest := quickestTimes(entries)
	dispatchers := numberDispatchers(entries)
	for _, e := range entries {
		if e.IsRetry {
			continue // simulated clients retry by themselves
		}
		i, known := traffic[e.Class]
		if !known {
			return fmt.Errorf("experiment: class %q of the recording has no traffic in the day", e.Class)
		}
		r := simulation.Replay{
			At:           e.ArrivedAt,
			Traffic:      i,
			Dispatcher:   dispatchers[e.Dispatcher],
			Work:         recordedWork(&e, &c.Traffic[i], quickest[e.Fingerprint]),
			CostEstimate: e.Cost.Seconds(),
		}
		if e.Key != 0 {
			r.Key = fmt.Sprint(e.Key)
		}
		c.Replay = append(c.Replay, r)
	}
	return nil
}

// recordedWork estimates a query's work in thread seconds. quickest is the mean response time of the quickest
// tenth of its shape, in seconds; 0 if no query of the shape was served.
func recordedWork(e *recording.Entry, t *simulation.Traffic, quickest float64) float64 {
	threads := t.Threads
	if e.Threads > 0 {
		threads = e.Threads
	}
	switch {
	case quickest <= 0:
		return t.Work
	case e.Outcome == recording.Served:
		// Response times within one shape differ widely. If the bound were only a few times the quickest, the
		// replay would have a fraction of the recorded work.
		return threads * math.Min(e.Elapsed.Seconds(), maxSlowdown*quickest)
	default:
		return threads * quickest
	}
}

// quickestTimes returns the mean response time of the quickest tenth of the served queries, in seconds, by
// shape.
func quickestTimes(entries []recording.Entry) map[uint64]float64 {
	times := map[uint64][]float64{}
	for _, e := range entries {
		if e.Outcome == recording.Served {
			times[e.Fingerprint] = append(times[e.Fingerprint], e.Elapsed.Seconds())
		}
	}
	means := map[uint64]float64{}
	for shape, elapsed := range times {
		slices.Sort(elapsed)
		n, sum := max(1, len(elapsed)/10), 0.0
		for _, v := range elapsed[:n] {
			sum += v
		}
		means[shape] = sum / float64(n)
	}
	return means
}

// numberDispatchers numbers the recorded dispatchers in the order of their names.
func numberDispatchers(entries []recording.Entry) map[string]int {
	numbers := map[string]int{}
	var names []string
	for _, e := range entries {
		if _, known := numbers[e.Dispatcher]; !known {
			numbers[e.Dispatcher] = 0
			names = append(names, e.Dispatcher)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}
