package experiment

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/simulation"
	"cresspass/internal/simulation/wirehost"
)

// Figures are what is told of each way, in their order.
var Figures = []string{"served in time", "served", "refused", "failed", "mean time to answer, s",
	"engines over two threads a core", "rules broken"}

// Cell is one way at one swept value.
type Cell struct {
	Value    float64
	Samples  [][]float64 // by figure, one for each seed
	Times    [][]float64 // to answer of served ones, by seed, in seconds
	Unstable int         // runs in which what waited grew all along
	Events   uint64
	WallTime time.Duration // of the computer's
}

// Estimate is a figure's.
func (c *Cell) Estimate(figure int) simulation.Estimate {
	return simulation.EstimateMean(c.Samples[figure])
}

// Result is what an experiment came to.
type Result struct {
	*Experiment
	Cells [][]Cell // by arm and value
}

// seedResult is what one seed came to.
type seedResult struct {
	figures  []float64
	times    []float64
	unstable bool
	events   uint64
}

// simulate plays one run, on so many cores.
func (e *Experiment) simulate(arm int, value float64, seed uint64, cores int) (r seedResult, err error) {
	cfg, err := e.Config(arm, value, seed)
	if err != nil {
		return r, err
	}
	cfg.Workers = cores
	if binary := e.Arms[arm].file.Binary; binary != "" {
		host, failed := wirehost.Start(binary)
		if failed != nil {
			return r, failed
		}
		defer func() { // what it did after a fault tells nothing
			if fault := host.Close(); fault != nil {
				err = fault
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
	got := f.Run()
	last := cfg.Length
	for _, c := range cfg.Module.Classes { // those whose clients may wait yet are not counted
		last = min(last, cfg.Length-min(c.Deadline, cfg.Length/4))
	}
	s := got.Between(e.WarmUp, last, nil)
	r.figures = []float64{s.Served * (1 - s.Late), s.Served, s.Rejected, s.Failed, s.Mean.Seconds(),
		s.Overload,
		float64(got.Violations.Total())}
	for _, a := range got.Requests {
		if a.End == simulation.Served && a.At >= e.WarmUp && a.At < last {
			r.times = append(r.times, a.Elapsed.Seconds())
		}
	}
	r.unstable, r.events = simulation.IsUnstable(got.OpenRequests), got.Events
	return r, nil
}

// Run plays an experiment: all ways on the same seeds, more of them until the bars of the first figure, and
// of the differences from the first arm, are as narrow as asked, or there are as many seeds as allowed.
// Look is told how far it is; it may be nil.
func (e *Experiment) Run(look func(done string)) (*Result, error) {
	out := &Result{Experiment: e}
	values := e.SweptValues
	if e.SweptField == "" {
		values = []float64{0}
	}
	for range e.Arms {
		cells := make([]Cell, len(values))
		for i, v := range values {
			cells[i] = Cell{Value: v, Samples: make([][]float64, len(Figures))}
		}
		out.Cells = append(out.Cells, cells)
	}
	for i, v := range values {
		seeds := 0
		for more := min(e.Seeds, 5); more > 0; {
			for arm := range e.Arms {
				begin := time.Now()
				cores := max(1, runtime.GOMAXPROCS(0)/more)
				runs, err := simulation.Parallel(more, func(k int) (seedResult, error) {
					return e.simulate(arm, v, e.SeedOffset+uint64(seeds+k+1), cores)
				})
				if err != nil {
					return nil, fmt.Errorf("arm %q: %w", e.Arms[arm].Name, err)
				}
				c := &out.Cells[arm][i]
				c.WallTime += time.Since(begin)
				for _, r := range runs {
					for f, v := range r.figures {
						c.Samples[f] = append(c.Samples[f], v)
					}
					c.Times = append(c.Times, r.times)
					c.Events += r.events
					if r.unstable {
						c.Unstable++
					}
				}
			}
			seeds += more
			if look != nil {
				look(fmt.Sprintf("%s %g: %d seeds", e.SweptField, v, seeds))
			}
			more = 0
			for arm := range e.Arms {
				b := out.Cells[arm][i].Estimate(0)
				if arm > 0 {
					b = out.Difference(arm, i, 0)
				}
				half := e.HalfWidth
				if half == 0 { // all seeds
					half = math.SmallestNonzeroFloat64
				}
				more = max(more, simulation.AdditionalRuns(b, half, e.Seeds))
			}
		}
	}
	return out, nil
}

// Difference is a figure's of an arm from the first, seed by seed.
func (r *Result) Difference(arm, value, figure int) simulation.Estimate {
	return simulation.EstimateMean(simulation.Differences(r.Cells[arm][value].Samples[figure],
		r.Cells[0][value].Samples[figure]))
}

// Print writes a table.
func (r *Result) Print(w io.Writer) {
	for i := range r.Cells[0] {
		if r.SweptField != "" {
			fmt.Fprintf(w, "%s %g\n", r.SweptField, r.Cells[0][i].Value)
		}
		for arm := range r.Arms {
			c := &r.Cells[arm][i]
			fmt.Fprintf(w, "  %s: %d seeds, %.1f million events, %.1f s\n", r.Arms[arm].Name,
				len(c.Samples[0]),
				float64(c.Events)/1e6, c.WallTime.Seconds())
			if c.Unstable > 0 {
				fmt.Fprintf(w,
					"    UNSTABLE in %d runs: what waited grew all along, so means are of the length\n",
					c.Unstable)
			}
			for f, name := range Figures {
				b := c.Estimate(f)
				fmt.Fprintf(w, "    %-32s %8.4f ±%.4f", name, b.Mean, b.HalfWidth)
				if arm > 0 {
					d := r.Difference(arm, i, f)
					word := "equal"
					if d.IsSignificant() {
						word = "differs"
					}
					fmt.Fprintf(w, "   %+8.4f ±%.4f %s", d.Mean, d.HalfWidth, word)
				}
				fmt.Fprintln(w)
			}
			for _, q := range []float64{0.5, 0.99} {
				b := simulation.Bootstrap(c.Times, 200, 1, q)
				fmt.Fprintf(w, "    time to answer, p%-14g  %8.3f ±%.3f s\n", 100*q, b.Mean, b.HalfWidth)
			}
		}
	}
}
