package simulation

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	bootstrapStream = 95    // random number stream of Bootstrap
	minDrawings     = 20    // resamples that Bootstrap needs for an interval
	minTrendSamples = 20    // samples in the second half that IsUnstable needs
	minRuns         = 3     // runs from which AdditionalRuns extrapolates
	normalQuantile  = 1.96  // 97.5% quantile of the standard normal distribution
	upperTail       = 0.975 // probability at the upper end of a 95% interval
)

// Thresholds of IsUnstable, all of which an unstable run exceeds or reaches.
const (
	minGrowthShare  = 0.3 // growth by the trend over the second half, as a share of the last quarter's mean
	minGrowthFactor = 3   // from the mean of the first quarter to that of the last
	trendParts      = 8   // parts of a run whose means are compared
	minRisingParts  = 6   // parts with a higher mean than the part before
)

// BatchMeans estimates the mean of one long run, whose successive samples are correlated, from the means of
// batches, which are nearly independent. The caller leaves out the samples of the run's warm-up.
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

// Bootstrap estimates the q-quantile of the samples of independent runs. It resamples whole runs with
// replacement; times is the number of resamples. The interval covers the middle 95% of the resampled
// quantiles.
func Bootstrap(runs [][]float64, times int, seed uint64, q float64) Estimate {
	r := rand.New(rand.NewPCG(seed, bootstrapStream))
	type sample struct {
		value float64
		run   int
	}
	var all []sample
	drawn := make([]int, len(runs)) // how often each run is drawn
	for i, run := range runs {
		drawn[i] = 1
		for _, v := range run {
			all = append(all, sample{v, i})
		}
	}
	// Sorted once: each resample counts a sample as often as its run is drawn.
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
	e := Estimate{Mean: quantile(), N: len(runs), HalfWidth: math.Inf(1)}
	if len(runs) < 2 || times < minDrawings {
		return e
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
	e.HalfWidth = math.Max(high-e.Mean, e.Mean-low)
	return e
}

// IsUnstable reports whether the number of requests in the system, sampled at regular intervals, grew until
// the end of the run, so that means depend only on the length of the run. The number varies widely in a run
// near its capacity, so a run counts as unstable only if the number grew nearly throughout.
func IsUnstable(openRequests []float64) bool {
	half := openRequests[len(openRequests)/2:]
	if len(half) < minTrendSamples {
		return false
	}
	x := make([]float64, len(half))
	for i := range x {
		x[i] = float64(i)
	}
	_, slope := stat.LinearRegression(x, half, nil, false)
	grown := slope * float64(len(half))
	first, last := stat.Mean(openRequests[:len(openRequests)/4], nil), stat.Mean(half[len(half)/2:], nil)
	return grown > minGrowthShare*last && last > minGrowthFactor*math.Max(first, 1) && isRising(openRequests)
}

// isRising reports whether the means of trendParts equal parts increase in at least minRisingParts steps.
func isRising(v []float64) bool {
	n, up := len(v)/trendParts, 0
	for i := 1; i < trendParts; i++ {
		if stat.Mean(v[i*n:(i+1)*n], nil) > stat.Mean(v[(i-1)*n:i*n], nil) {
			up++
		}
	}
	return up >= minRisingParts
}

// AdditionalRuns returns how many more runs are needed until the half width of an estimate is at most
// halfWidth: 0 if it is already, otherwise the number extrapolated from the current half width, at least two.
// It returns minRuns if there are too few runs to extrapolate from, or halfWidth is not positive. The total
// never exceeds maxRuns.
func AdditionalRuns(e Estimate, halfWidth float64, maxRuns int) int {
	if e.HalfWidth <= halfWidth || e.N >= maxRuns {
		return 0
	}
	if e.N < minRuns || halfWidth <= 0 {
		return min(minRuns, maxRuns-e.N)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(e.N - 1)}.Quantile(upperTail)
	dev := e.HalfWidth * math.Sqrt(float64(e.N)) / t
	ratio := normalQuantile * dev / halfWidth
	want := int(math.Ceil(ratio*ratio)) - e.N
	return min(max(want, 2), maxRuns-e.N)
}
