package simulation

import (
	"math"
	"testing"
)

// The engine model and the confidence intervals agree with queueing systems whose means are known: the 95%
// intervals contain the known mean in at least 85% of 60 runs, a bound that allows for the small number of
// runs. BenchmarkCoverage does 400 runs.
func TestReferenceCases(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical test: the race detector sees the same concurrent code in other tests")
	}
	for _, k := range []ReferenceCase{MMC(1, 0.6, 4000), MMC(4, 0.7, 4000), MG1PS(0.6, 1, 4000)} {
		share, err := k.Coverage(60, 10)
		if err != nil || share < 0.85 {
			t.Errorf("%s, %d cores, load %g: intervals hold the known mean in %.0f%% of runs", k.Name,
				k.Cores, k.Load, 100*share)
		}
	}
}

// In about 95% of the pairs of equal cases the difference is not significant. A small difference is found
// with paired seeds. Only an overloaded case is unstable.
func TestDifferencesBetweenCases(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical test: the race detector sees the same concurrent code in other tests")
	}
	mean := func(k ReferenceCase, seed uint64) float64 {
		responseTimes, _ := k.Simulate(seed)
		return EstimateMean(responseTimes).Mean
	}
	pair := func(a, b ReferenceCase, seed int) Estimate {
		var x, y []float64
		for i := range 6 {
			x, y = append(x, mean(a, uint64(seed*100+i))), append(y, mean(b, uint64(seed*100+50+i)))
		}
		return EstimateMean(Differences(x, y))
	}
	same, err := Parallel(200, func(i int) (bool, error) {
		return !pair(MMC(2, 0.5, 300), MMC(2, 0.5, 300), i).IsSignificant(), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	equal := 0
	for _, v := range same {
		if v {
			equal++
		}
	}
	if equal < 182 || equal > 198 { // 190 expected, within about three standard deviations
		t.Errorf("%d of 200 pairs without a difference are not significant, want 182 to 198", equal)
	}
	// With the same seeds on both sides, the effect of the seeds cancels out, and a difference in load of one
	// fiftieth is significant.
	var x, y []float64
	for i := range 8 {
		x, y = append(x, mean(MMC(2, 0.60, 3000), uint64(i))), append(y, mean(MMC(2, 0.612, 3000), uint64(i)))
	}
	if d := EstimateMean(Differences(y, x)); !d.IsSignificant() || d.Mean < 0 {
		t.Errorf("a load of 0.612 against 0.60: %+v", d)
	}
	for _, c := range []struct {
		load     float64
		unstable bool
	}{{0.5, false}, {0.9, false}, {1.3, true}} {
		if _, openRequests := MMC(2, c.load, 3000).Simulate(3); IsUnstable(openRequests) != c.unstable {
			t.Errorf("load %g: IsUnstable is %v", c.load, !c.unstable)
		}
	}
}

// AdditionalRuns adds runs until the interval is as narrow as wanted. The interval of a quantile has a
// plausible width.
func TestEstimates(t *testing.T) {
	b := Estimate{HalfWidth: math.Inf(1)}
	var all []float64
	var runs [][]float64
	rounds := 0
	for more := AdditionalRuns(b, 0.05, 400); more > 0; more = AdditionalRuns(b, 0.05, 400) {
		for range more {
			responseTimes, _ := MMC(1, 0.5, 500).Simulate(uint64(len(all)))
			all, runs = append(all, EstimateMean(responseTimes).Mean), append(runs, responseTimes)
		}
		b = EstimateMean(all)
		if rounds++; rounds > 20 {
			t.Fatal("AdditionalRuns asks for more runs after 20 rounds")
		}
	}
	if b.HalfWidth > 0.05 || math.Abs(b.Mean-2) > 0.15 || len(all) < 10 {
		t.Errorf("mean %+v of %d runs, want about 2", b, len(all))
	}
	// The response time of an M/M/1 queue with processor sharing has no simple median, so fixed samples are
	// used here. (The median of the work is ln 2.)
	q := Bootstrap([][]float64{{1, 2, 3}, {2, 3, 4}, {1, 3, 5}}, 200, 1, 0.5)
	if q.Mean != 3 || q.HalfWidth < 0 || q.HalfWidth > 2 || !math.IsNaN(Bootstrap(nil, 200, 1, 0.5).Mean) {
		t.Errorf("median %+v, want 3", q)
	}
	if p := Bootstrap(runs, 100, 1, 0.9); p.HalfWidth <= 0 || p.HalfWidth > 1 {
		t.Errorf("90%% quantile %+v", p)
	}
}

// BenchmarkCoverage reports the share of 400 runs whose 95% interval contains the known mean.
func BenchmarkCoverage(b *testing.B) {
	cases := []ReferenceCase{MMC(1, 0.6, 40000), MMC(4, 0.7, 40000), MMC(16, 0.8, 40000),
		MG1PS(0.6, 1, 40000)}
	for _, k := range cases {
		b.Run(k.Name, func(b *testing.B) {
			for b.Loop() {
				share, err := k.Coverage(400, 20)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(100*share, "%covered")
			}
		})
	}
}
