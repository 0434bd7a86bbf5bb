package experiment

import (
	"fmt"
	"math"
	"slices"

	"cresspass/internal/recording"
	"cresspass/internal/simulation"
)

// maxSlowdown bounds the work of a recorded query, as a multiple of the mean of the quickest tenth of its
// shape: what took longer has waited.
const maxSlowdown = 40

// applyRecording replaces the clients that are drawn by recorded ones. The work of a query follows from its
// own time where it was served, waits included, and otherwise from the quickest tenth of its shape, as these
// queries met the fewest others.
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
			return fmt.Errorf("experiment: the recording has class %q, the day has no traffic of it", e.Class)
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

// recordedWork estimates a query's thread seconds. quickest is the mean time of the quickest tenth of its
// shape, in seconds; 0: none was served.
func recordedWork(e *recording.Entry, t *simulation.Traffic, quickest float64) float64 {
	threads := t.Threads
	if e.Threads > 0 {
		threads = e.Threads
	}
	switch {
	case quickest <= 0:
		return t.Work
	case e.Outcome == recording.Served:
		// One shape has quick and long queries that differ by far. With a bound of only a few times the
		// quickest, a recording would ask for a fraction of its work.
		return threads * math.Min(e.Elapsed.Seconds(), maxSlowdown*quickest)
	default:
		return threads * quickest
	}
}

// quickestTimes is the mean of the quickest tenth of the served queries' times, in seconds, by shape.
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
