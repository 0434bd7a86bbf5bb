package simulation

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean over N independent samples with half the width of its 95% confidence interval, infinite
// if the samples do not determine one. EstimateMean computes the interval from Student's t distribution.
type Estimate struct {
	Mean, HalfWidth float64
	N               int
}

// EstimateMean returns the mean of samples from independent seeds with its 95% confidence interval.
func EstimateMean(samples []float64) Estimate {
	e := Estimate{N: len(samples)}
	switch len(samples) {
	case 0:
		e.HalfWidth = math.Inf(1)
		return e
	case 1:
		e.Mean, e.HalfWidth = samples[0], math.Inf(1)
		return e
	}
	mean, dev := stat.MeanStdDev(samples, nil)
	n := float64(len(samples))
	e.Mean = mean
	e.HalfWidth = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(upperTail) * dev / math.Sqrt(n)
	return e
}

// IsSignificant reports whether the interval excludes zero. For an estimated difference, this means that the
// difference is significant.
func (e Estimate) IsSignificant() bool { return math.Abs(e.Mean) > e.HalfWidth }

// Differences returns the pairwise differences a[i]-b[i] of samples with the same seeds. Pairing cancels out
// the effect that a seed has on both samples.
func Differences(a, b []float64) []float64 {
	out := make([]float64, min(len(a), len(b)))
	for i := range out {
		out[i] = a[i] - b[i]
	}
	return out
}
