package experiment

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/simulation"
	"cresspass/internal/simulation/wirehost"
)

// Figures are the names of the figures that are reported for each arm, in the order of Cell.Samples.
var Figures = []string{"served in time", "served", "refused", "failed", "mean time to answer, s",
	"engines over two threads a core", "rules broken"}

// servedInTime is the index of the figure whose estimates determine how many seeds are run.
const servedInTime = 0

// firstSeeds is how many seeds are run before the estimates determine how many more are needed.
const firstSeeds = 5

// Cell holds the results of one arm at one swept value.
type Cell struct {
	Value    float64
	Samples  [][]float64 // by figure, one for each seed
	Times    [][]float64 // response times of served requests, by seed, in seconds
	Unstable int         // number of runs for which simulation.IsUnstable is true
	Events   uint64      // executed in all runs
	WallTime time.Duration
}

// Estimate returns the estimate of a figure.
func (c *Cell) Estimate(figure int) simulation.Estimate {
	return simulation.EstimateMean(c.Samples[figure])
}

// add adds the result of a seed.
func (c *Cell) add(r *seedResult) {
	for f, v := range r.figures {
		c.Samples[f] = append(c.Samples[f], v)
	}
	c.Times = append(c.Times, r.times)
	c.Events += r.events
	if r.unstable {
		c.Unstable++
	}
}

// Result is the result of an experiment.
type Result struct {
	*Experiment
	Cells [][]Cell // by arm and value
}

// Difference returns the estimate of the difference of a figure between an arm and the first arm, paired by
// seed.
func (r *Result) Difference(arm, value, figure int) simulation.Estimate {
	return simulation.EstimateMean(simulation.Differences(r.Cells[arm][value].Samples[figure],
		r.Cells[0][value].Samples[figure]))
}

// Run runs all arms on the same seeds. It adds seeds until the half widths of the first arm's estimate of the
// first figure, and of the other arms' differences from it, are at most HalfWidth, or the number of seeds is
// Seeds. onProgress is called after each round; it may be nil.
func (e *Experiment) Run(onProgress func(done string)) (*Result, error) {
	values := e.SweptValues
	if e.SweptField == "" {
		values = []float64{0}
	}
	out := &Result{Experiment: e}
	for range e.Arms {
		cells := make([]Cell, len(values))
		for i, v := range values {
			cells[i] = Cell{Value: v, Samples: make([][]float64, len(Figures))}
		}
		out.Cells = append(out.Cells, cells)
	}
	for i, v := range values {
		seeds := 0
		for more := min(e.Seeds, firstSeeds); more > 0; more = out.additionalSeeds(i) {
			for arm := range e.Arms {
				if err := out.runSeeds(arm, i, seeds, more); err != nil {
					return nil, fmt.Errorf("arm %q: %w", e.Arms[arm].Name, err)
				}
			}
			seeds += more
			if onProgress != nil {
				onProgress(fmt.Sprintf("%s %g: %d seeds", e.SweptField, v, seeds))
			}
		}
	}
	return out, nil
}

// runSeeds runs an arm at a value with more seeds in parallel, after the ones already done.
func (r *Result) runSeeds(arm, value, done, more int) error {
	begin := time.Now()
	c := &r.Cells[arm][value]
	cores := max(1, runtime.GOMAXPROCS(0)/more)
	runs, err := simulation.Parallel(more, func(k int) (seedResult, error) {
		return r.simulate(arm, c.Value, r.SeedOffset+uint64(done+k+1), cores)
	})
	if err != nil {
		return err
	}
	c.WallTime += time.Since(begin)
	for i := range runs {
		c.add(&runs[i])
	}
	return nil
}

// additionalSeeds returns how many more seeds the arms need at a value.
func (r *Result) additionalSeeds(value int) (more int) {
	halfWidth := r.HalfWidth
	if halfWidth == 0 { // use all seeds
		halfWidth = math.SmallestNonzeroFloat64
	}
	for arm := range r.Arms {
		estimate := r.Cells[arm][value].Estimate(servedInTime)
		if arm > 0 {
			estimate = r.Difference(arm, value, servedInTime)
		}
		more = max(more, simulation.AdditionalRuns(estimate, halfWidth, r.Seeds))
	}
	return more
}

// seedResult is the result of one run with one seed.
type seedResult struct {
	figures  []float64 // see Figures
	times    []float64 // response times of served requests, in seconds
	unstable bool
	events   uint64
}

// simulate runs an arm with one seed, on a number of cores.
func (e *Experiment) simulate(arm int, value float64, seed uint64, cores int) (r seedResult, err error) {
	cfg, err := e.Config(arm, value, seed)
	if err != nil {
		return r, err
	}
	cfg.Workers = cores
	if binary := e.Arms[arm].file.Binary; binary != "" {
		host, startErr := wirehost.Start(binary)
		if startErr != nil {
			return r, startErr
		}
		defer func() { // the results of a program that failed are meaningless
			if hostErr := host.Close(); hostErr != nil {
				err = hostErr
			}
		}()
		cfg.Decide = func(c *cresspass.Config, now time.Duration) (dispatch.Decider, error) {
			return host.New(c, now), host.Err()
		}
	}
	f, err := simulation.NewFleet(cfg)
	if err != nil {
		return r, err
	}
	result := f.Run()
	if err := f.Err(); err != nil {
		return r, err
	}
	return e.summarize(&cfg, result), nil
}

// summarize returns the figures of a run. Requests that arrived so late that they may still be open at the
// end are left out: those that arrived within the longest deadline of a class before the end, or within the
// last quarter of the run if that is shorter.
func (e *Experiment) summarize(cfg *simulation.Config, result *simulation.Result) (r seedResult) {
	last := cfg.Length
	for _, c := range cfg.Module.Classes {
		last = min(last, cfg.Length-min(c.Deadline, cfg.Length/4))
	}
	s := result.Between(e.WarmUp, last, nil)
	r.figures = []float64{s.Served * (1 - s.Late), s.Served, s.Rejected, s.Failed, s.Mean.Seconds(),
		s.Overload, float64(result.Violations.Total())}
	for _, req := range result.Requests {
		if req.Outcome == simulation.Served && req.At >= e.WarmUp && req.At < last {
			r.times = append(r.times, req.Elapsed.Seconds())
		}
	}
	r.unstable, r.events = simulation.IsUnstable(result.OpenRequests), result.Events
	return r
}
