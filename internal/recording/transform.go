package recording

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Cut returns the entries from a time on and before another, their times counted from the first.
func Cut(all []Entry, from, to time.Duration) (out []Entry) {
	for _, e := range all {
		if e.ArrivedAt >= from && e.ArrivedAt < to {
			e.ArrivedAt -= from
			out = append(out, e)
		}
	}
	return out
}

// Merge returns the entries of several recordings by time, those of one time in the recordings' order.
// shifts are added to each one's times: recordings begin at different moments.
func Merge(all [][]Entry, shifts []time.Duration) []Entry {
	var out []Entry
	for i, list := range all {
		for _, e := range list {
			e.ArrivedAt += shifts[i]
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int {
		switch {
		case a.ArrivedAt < b.ArrivedAt:
			return -1
		case a.ArrivedAt > b.ArrivedAt:
			return 1
		}
		return 0
	})
	return out
}

// Scale returns a recording of so many times the traffic over other dispatchers, with its unevenness kept:
// bursts stay bursts, as each entry comes so many times at about its own time, and a dispatcher that had a
// share of all has it again, as one or several. Names of dispatchers are taken in order; jitter is how far
// copies are put apart.
func Scale(all []Entry, times float64, dispatchers []string, jitter time.Duration, seed uint64) []Entry {
	r := rand.New(rand.NewPCG(seed, 19))
	place := assignDispatchers(all, dispatchers, r)
	var out []Entry
	for _, e := range all {
		n := int(times)
		if r.Float64() < times-math.Floor(times) {
			n++
		}
		for i := range n {
			c := e
			if i > 0 { // another client's query of the same kind, a moment apart
				c.ArrivedAt = max(0, c.ArrivedAt+time.Duration((2*r.Float64()-1)*float64(jitter)))
				c.Fingerprint ^= uint64(i) * 0x9e3779b97f4a7c15
				if c.Key != 0 {
					c.Key ^= uint64(i) * 0x9e3779b97f4a7c15
				}
			}
			c.Dispatcher = place(e.Dispatcher)
			out = append(out, c)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].ArrivedAt < out[j].ArrivedAt })
	return out
}

// assignDispatchers maps a recorded dispatcher to one of others. Both are laid along one line, the recorded
// ones by their shares of all entries, the largest first, the others in equal parts: a recorded one's
// entries go to the others that lie where it lies, so that the busiest tenth carries what the busiest tenth
// carried.
func assignDispatchers(all []Entry, dispatchers []string, r *rand.Rand) func(string) string {
	if len(dispatchers) == 0 {
		return func(name string) string { return name }
	}
	count := map[string]int{}
	for _, e := range all {
		count[e.Dispatcher]++
	}
	var names []string
	for name := range count {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if count[names[i]] != count[names[j]] {
			return count[names[i]] > count[names[j]]
		}
		return names[i] < names[j]
	})
	at := map[string]int{}
	for i, name := range names {
		at[name] = i
	}
	n, m := float64(len(names)), float64(len(dispatchers))
	return func(name string) string {
		// the recorded one of place i lies from i/n to (i+1)/n
		x := (float64(at[name]) + r.Float64()) / n
		return dispatchers[min(int(x*m), len(dispatchers)-1)]
	}
}

// Shares are the entries' shares by dispatcher, the largest first.
func Shares(all []Entry) (out []float64) {
	count := map[string]float64{}
	for _, e := range all {
		count[e.Dispatcher]++
	}
	for _, n := range count {
		out = append(out, n/float64(len(all)))
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(out)))
	return out
}
