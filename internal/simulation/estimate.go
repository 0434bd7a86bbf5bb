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
	b.HalfWidth = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(upperTail) * dev / math.Sqrt(n)
	return b
}

// IsSignificant reports whether the interval excludes zero. For an estimated difference, this means that the
// difference is significant.
func (b Estimate) IsSignificant() bool { return math.Abs(b.Mean) > b.HalfWidth }

// Differences returns the pairwise differences a[i]-b[i] of samples with the same seeds. Pairing cancels out
// the effect that a seed has on both samples.
func Differences(a, b []float64) []float64 {
	out := make([]float64, min(len(a), len(b)))
	for i := range out {
		out[i] = a[i] - b[i]
	}
	return out
}
