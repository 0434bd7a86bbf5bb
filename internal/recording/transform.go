package recording

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Cut returns the entries that arrived at from or later and before to. Their arrivals then count from from.
func Cut(all []Entry, from, to time.Duration) (out []Entry) {
	for _, e := range all {
		if e.ArrivedAt >= from && e.ArrivedAt < to {
			e.ArrivedAt -= from
			out = append(out, e)
		}
	}
	return out
}

// Merge returns the entries of several recordings, sorted by arrival. Entries with the same arrival stay in
// the order of the recordings. shifts[i] is added to the arrivals of recording i, as recordings start at
// different times.
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

const (
	// scaleStream is the PCG stream for Scale, so that its draws depend on the seed alone.
	scaleStream = 19
	// goldenRatio64 is 2^64 divided by the golden ratio. The hashes of copies are XORed with its multiples,
	// so that they differ.
	goldenRatio64 = 0x9e3779b97f4a7c15
)

// Scale returns a recording with the traffic multiplied by factor and distributed over other dispatchers. It
// keeps the unevenness of the traffic: bursts stay bursts, because the copies of an entry arrive at about the
// same time as the entry, and the share of a recorded dispatcher goes to one or several of the others. The
// names in dispatchers are used in order; if there are none, entries keep their dispatcher. jitter is how far
// a copy is moved at most, earlier or later.
func Scale(all []Entry, factor float64, dispatchers []string, jitter time.Duration, seed uint64) []Entry {
	r := rand.New(rand.NewPCG(seed, scaleStream))
	assign := assignDispatchers(all, dispatchers, r)
	var out []Entry
	for _, e := range all {
		n := int(factor)
		if r.Float64() < factor-math.Floor(factor) {
			n++
		}
		for i := range n {
			c := e
			if i > 0 { // a similar query of another client, at a slightly different time
				c.ArrivedAt = max(0, c.ArrivedAt+time.Duration((2*r.Float64()-1)*float64(jitter)))
				c.Fingerprint ^= uint64(i) * goldenRatio64
				if c.Key != 0 {
					c.Key ^= uint64(i) * goldenRatio64
				}
			}
			c.Dispatcher = assign(e.Dispatcher)
			out = append(out, c)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].ArrivedAt < out[j].ArrivedAt })
	return out
}

// assignDispatchers returns a function that maps a recorded dispatcher to a new one. Both sets are placed
// along the same line in equal parts, the recorded ones sorted by their number of entries, the largest first.
// Entries of a recorded dispatcher go to the new ones at its place on the line, so that the busiest tenth of
// the new dispatchers gets the share of the busiest tenth of the recorded ones.
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
	rank := map[string]int{}
	for i, name := range names {
		rank[name] = i
	}
	n, m := float64(len(names)), float64(len(dispatchers))
	return func(name string) string {
		// the recorded dispatcher of rank i covers i/n to (i+1)/n
		x := (float64(rank[name]) + r.Float64()) / n
		return dispatchers[min(int(x*m), len(dispatchers)-1)]
	}
}

// Shares returns each dispatcher's share of the entries, the largest first.
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
