package simulation

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// BatchMeans returns the bar of the mean of a long run's samples, which depend on those before them: of
// batches so long that their means hardly do. Samples of the run's warm-up are to be left out before.
func BatchMeans(samples []float64, batches int) Estimate {
	size := len(samples) / max(batches, 1)
	if size == 0 || batches < 2 {
		return Estimate{HalfWidth: math.Inf(1)}
	}
	means := make([]float64, batches)
	for i := range means {
		means[i] = stat.Mean(samples[i*size:(i+1)*size], nil)
	}
	return EstimateMean(means)
}

// Bootstrap returns the bar of a quantile over independent runs: runs are drawn anew, with replacement, so
// many times, and the bar holds the middle 95% of what comes out.
func Bootstrap(runs [][]float64, times int, seed uint64, q float64) Estimate {
	r := rand.New(rand.NewPCG(seed, 95))
	type sample struct {
		value float64
		run   int
	}
	var all []sample
	drawn := make([]int, len(runs)) // how often a run counts
	for i, run := range runs {
		drawn[i] = 1
		for _, v := range run {
			all = append(all, sample{v, i})
		}
	}
	// Sorted once: a drawing counts each sample as often as its run was drawn.
	slices.SortFunc(all, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	quantile := func() float64 {
		total, sum := 0, 0
		for i, n := range drawn {
			total += n * len(runs[i])
		}
		for _, s := range all {
			if sum += drawn[s.run]; sum > 0 && float64(sum) >= q*float64(total) {
				return s.value
			}
		}
		return math.NaN()
	}
	b := Estimate{Mean: quantile(), N: len(runs), HalfWidth: math.Inf(1)}
	if len(runs) < 2 || times < 20 {
		return b
	}
	var got []float64
	for range times {
		clear(drawn)
		for range runs {
			drawn[r.IntN(len(runs))]++
		}
		got = append(got, quantile())
	}
	slices.Sort(got)
	low, high := got[int(0.025*float64(times))], got[min(int(0.975*float64(times)), times-1)]
	b.HalfWidth = math.Max(high-b.Mean, b.Mean-low)
	return b
}

// IsUnstable reports whether what was waiting grew to the run's end, so that a mean would be of the run's
// length and nothing else: the number in the system at even times, its trend over the second half clear and
// large.
func IsUnstable(waiting []float64) bool {
	half := waiting[len(waiting)/2:]
	if len(half) < 20 {
		return false
	}
	x := make([]float64, len(half))
	for i := range x {
		x[i] = float64(i)
	}
	_, slope := stat.LinearRegression(x, half, nil, false)
	grown := slope * float64(len(half))
	first, last := stat.Mean(waiting[:len(waiting)/4], nil), stat.Mean(half[len(half)/2:], nil)
	// Danger: what a run near its capacity holds wanders far; it is called unstable only where it has grown
	// all along.
	return grown > 0.3*last && last > 3*math.Max(first, 1) && isRising(waiting)
}

// isRising reports whether the means of eighths grow nearly all along.
func isRising(v []float64) bool {
	n, up := len(v)/8, 0
	for i := 1; i < 8; i++ {
		if stat.Mean(v[i*n:(i+1)*n], nil) > stat.Mean(v[(i-1)*n:i*n], nil) {
			up++
		}
	}
	return up >= 6
}

// AdditionalRuns decides how many more runs are to be made until a bar is as narrow as asked: none once it
// is; else as many as its present width lets expect, at least two, at most as many as there are.
func AdditionalRuns(b Estimate, half float64, most int) (more int) {
	if b.HalfWidth <= half || b.N >= most {
		return 0
	}
	if b.N < 3 || half <= 0 {
		return min(3, most-b.N)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(b.N - 1)}.Quantile(0.975)
	dev := b.HalfWidth * math.Sqrt(float64(b.N)) / t
	want := int(math.Ceil(math.Pow(1.96*dev/half, 2))) - b.N
	return min(max(want, 2), most-b.N)
}
