package simulation

import (
	"math"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean over independent seeds with half the width of its 95% interval (Student's t).
type Estimate struct {
	Mean, HalfWidth float64
	N               int
}

// EstimateMean returns the bar of samples from independent seeds.
func EstimateMean(samples []float64) Estimate {
	b := Estimate{N: len(samples)}
	switch len(samples) {
	case 0:
		b.HalfWidth = math.Inf(1)
		return b
	case 1:
		b.Mean, b.HalfWidth = samples[0], math.Inf(1)
		return b
	}
	mean, dev := stat.MeanStdDev(samples, nil)
	n := float64(len(samples))
	b.Mean = mean
	b.HalfWidth = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * dev / math.Sqrt(n)
	return b
}

// IsSignificant reports whether the interval does not hold zero: of a difference, that there is one.
func (b Estimate) IsSignificant() bool { return math.Abs(b.Mean) > b.HalfWidth }

// Differences are one by one: samples of the same seeds, so that what the seeds do to both falls out.
func Differences(a, b []float64) []float64 {
	out := make([]float64, min(len(a), len(b)))
	for i := range out {
		out[i] = a[i] - b[i]
	}
	return out
}

// Parallel runs a function for each of n, on all cores; what it returns stands in their order, so that it
// does not depend on which was done first.
func Parallel[T any](n int, run func(i int) (T, error)) ([]T, error) {
	out, errs := make([]T, n), make([]error, n)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				out[i], errs[i] = run(i)
			}
		}()
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}
