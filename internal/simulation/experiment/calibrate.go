package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"cresspass/internal/rehearsal"
	"cresspass/internal/simulation"
)

// Row is a figure of a class, as estimated from runs with real processes and from the simulation.
type Row struct {
	Class, Figure       string
	Measured, Simulated simulation.Estimate
}

// Differs reports whether the confidence intervals of a row do not overlap.
func (r *Row) Differs() bool {
	return math.Abs(r.Measured.Mean-r.Simulated.Mean) > r.Measured.HalfWidth+r.Simulated.HalfWidth
}

// rowNames are the names of the values that outcomeCounts.figures returns, in its order.
var rowNames = []string{"served", "refused", "failed", "p50, s", "p95, s"}

// outcomeCounts counts the outcomes of the requests of a class in one run.
type outcomeCounts struct {
	total, served, rejected, failed int
	responseTimes                   []float64 // of the served requests, in seconds
}

func (c *outcomeCounts) add(req *simulation.Request) {
	c.total++
	switch req.Outcome {
	case simulation.Served:
		c.served++
		c.responseTimes = append(c.responseTimes, req.Elapsed.Seconds())
	case simulation.Rejected:
		c.rejected++
	default:
		c.failed++
	}
}

// figures returns the figures named by rowNames: shares of the requests, and quantiles of response times in
// seconds.
func (c *outcomeCounts) figures() []float64 {
	n := math.Max(float64(c.total), 1)
	slices.Sort(c.responseTimes)
	quantile := func(q float64) float64 {
		if len(c.responseTimes) == 0 {
			return 0
		}
		return c.responseTimes[int(q*float64(len(c.responseTimes)-1))]
	}
	return []float64{float64(c.served) / n, float64(c.rejected) / n, float64(c.failed) / n, quantile(0.5),
		quantile(0.95)}
}

// countsByClass holds the outcome counts of one run by class.
type countsByClass map[string]*outcomeCounts

func (by countsByClass) add(class string, req *simulation.Request) {
	if by[class] == nil {
		by[class] = &outcomeCounts{}
	}
	by[class].add(req)
}

// Calibrate plays a day with real processes, up to jobs runs at once, and in the simulation, each with the
// seeds 1 to seeds, and returns the figures of each class. If runs fail, it returns the error of one of them.
func Calibrate(ctx context.Context, d *rehearsal.Day, program []string, seeds, jobs int) ([]Row, error) {
	measuredRuns, err := playWithProcesses(ctx, d, program, seeds, jobs)
	if err != nil {
		return nil, err
	}
	simulatedRuns, err := simulation.Parallel(seeds, func(i int) (countsByClass, error) {
		return simulateDay(d, uint64(i+1))
	})
	if err != nil {
		return nil, err
	}
	measured, modelled := figuresByClass(measuredRuns), figuresByClass(simulatedRuns)
	var rows []Row
	for _, class := range slices.Sorted(maps.Keys(modelled)) {
		for f, figure := range rowNames {
			rows = append(rows, Row{Class: class, Figure: figure,
				Measured: estimateFigure(measured[class], f), Simulated: estimateFigure(modelled[class], f)})
		}
	}
	return rows, nil
}

// warmUp returns the length of the beginning of a day that a calibration leaves out.
func warmUp(d *rehearsal.Day) time.Duration { return d.Length / 10 }

// playWithProcesses plays a day with real processes, and returns the outcome counts of each seed.
func playWithProcesses(ctx context.Context, d *rehearsal.Day, program []string, seeds,
	jobs int) (all []countsByClass, failed error) {
	type played struct {
		result *rehearsal.Result
		err    error
	}
	results := make([]chan played, seeds)
	slots := make(chan struct{}, max(jobs, 1))
	for i := range seeds {
		results[i] = make(chan played, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			dir, err := os.MkdirTemp("", "cresspass-rehearse-*")
			if err != nil {
				results[i] <- played{nil, err}
				return
			}
			defer func() { _ = os.RemoveAll(dir) }() // a temporary directory that remains does no harm
			options := rehearsal.Options{Seed: uint64(i + 1), Program: program, Dir: dir}
			r, err := rehearsal.Play(ctx, d, options)
			results[i] <- played{r, err}
		}()
	}
	for _, ch := range results { // wait for all of them, so that no process outlives the calibration
		p := <-ch
		if p.err != nil {
			failed = p.err
			continue
		}
		by := countsByClass{}
		for _, req := range p.result.AllRequests() {
			if req.At >= warmUp(d) && req.Class >= 0 { // sessions have no class
				by.add(d.Module.Classes[req.Class].Name, &req)
			}
		}
		all = append(all, by)
	}
	return all, failed
}

// simulateDay simulates a day and returns its outcome counts.
func simulateDay(d *rehearsal.Day, seed uint64) (countsByClass, error) {
	c := FromDay(d, seed)
	c.Length += calibrationTail
	c.Gossip = gossipModes[d.Gossip]
	f, err := simulation.NewFleet(c)
	if err != nil {
		return nil, err
	}
	by := countsByClass{}
	for _, req := range f.Run().Requests {
		if req.At >= warmUp(d) && req.At < d.Length {
			by.add(c.Traffic[req.Class].Class, &req)
		}
	}
	return by, nil
}

// figuresByClass returns the figures of each class, one list for each run that has requests of the class.
func figuresByClass(runs []countsByClass) map[string][][]float64 {
	figures := map[string][][]float64{}
	for _, by := range runs {
		for class, counts := range by {
			figures[class] = append(figures[class], counts.figures())
		}
	}
	return figures
}

// estimateFigure estimates a figure, given by its index in rowNames, from the figures of several runs.
func estimateFigure(runs [][]float64, figure int) simulation.Estimate {
	var v []float64
	for _, r := range runs {
		v = append(v, r[figure])
	}
	return simulation.EstimateMean(v)
}

// PrintRows writes a calibration as a table.
func PrintRows(w io.Writer, rows []Row) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "%-12s %-8s %22s %22s\n", "class", "figure", "sockets", "model")
	for i := range rows {
		r := &rows[i]
		word := ""
		if r.Differs() {
			word = "  apart"
		}
		fmt.Fprintf(out, "%-12s %-8s %12.4f ±%8.4f %12.4f ±%8.4f%s\n", r.Class, r.Figure, r.Measured.Mean,
			r.Measured.HalfWidth, r.Simulated.Mean, r.Simulated.HalfWidth, word)
	}
	return out.Flush()
}
