package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"time"

	"cresspass/internal/rehearsal"
	"cresspass/internal/simulation"
)

// Row is a figure as it was seen through sockets and in the model.
type Row struct {
	Class, Figure        string
	OnSockets, Simulated simulation.Estimate
}

// Differs reports whether the bars of a row do not meet.
func (r *Row) Differs() bool {
	return math.Abs(r.OnSockets.Mean-r.Simulated.Mean) > r.OnSockets.HalfWidth+r.Simulated.HalfWidth
}

// outcomeCounts are what is compared of a class in one play.
type outcomeCounts struct {
	total, served, rejected, failed int
	responseTimes                   []float64
}

func (t *outcomeCounts) add(a *simulation.Request) {
	t.total++
	switch a.End {
	case simulation.Served:
		t.served++
		t.responseTimes = append(t.responseTimes, a.Elapsed.Seconds())
	case simulation.Rejected:
		t.rejected++
	default:
		t.failed++
	}
}

func (t *outcomeCounts) figures() []float64 {
	n := math.Max(float64(t.total), 1)
	sort.Float64s(t.responseTimes)
	at := func(q float64) float64 {
		if len(t.responseTimes) == 0 {
			return 0
		}
		return t.responseTimes[int(q*float64(len(t.responseTimes)-1))]
	}
	return []float64{float64(t.served) / n, float64(t.rejected) / n, float64(t.failed) / n, at(0.5), at(0.95)}
}

var rowNames = []string{"served", "refused", "failed", "p50, s", "p95, s"}

// Calibrate plays a day through processes and sockets, and in the model, on as many seeds, and holds each
// class's figures against one another.
func Calibrate(ctx context.Context, d *rehearsal.Day, program []string, seeds, jobs int) ([]Row, error) {
	sockets, modelled := map[string][][]float64{}, map[string][][]float64{}
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
			defer os.RemoveAll(dir)
			r, err := rehearsal.Play(
				ctx,
				d,
				rehearsal.Options{Seed: uint64(i + 1), Program: program, Dir: dir},
			)
			results[i] <- played{r, err}
		}()
	}
	var failed error
	for _, ch := range results {
		p := <-ch
		if p.err != nil {
			failed = p.err
			continue
		}
		by := map[string]*outcomeCounts{}
		for _, a := range p.result.AllRequests() {
			if a.At >= d.Length/10 && a.Class >= 0 { // without the warm-up, and sessions
				countsFor(by, d.Module.Classes[a.Class].Name).add(&a)
			}
		}
		appendFigures(sockets, by)
	}
	if failed != nil {
		return nil, failed
	}
	runs, err := simulation.Parallel(seeds, func(i int) (map[string]*outcomeCounts, error) {
		c := FromDay(d, uint64(i+1))
		c.Length += 20 * time.Second // those that came last have their answers as well
		c.Gossip = map[string]simulation.GossipMode{"cold": simulation.GossipOnly,
			"ask": simulation.GossipAndBootstrap}[d.Gossip]
		f, err := simulation.NewFleet(c)
		if err != nil {
			return nil, err
		}
		by := map[string]*outcomeCounts{}
		for _, a := range f.Run().Requests {
			if a.At < d.Length/10 || a.At >= d.Length {
				continue
			}
			countsFor(by, c.Traffic[a.Class].Class).add(&a)
		}
		return by, nil
	})
	if err != nil {
		return nil, err
	}
	for _, by := range runs {
		appendFigures(modelled, by)
	}
	var names []string
	for name := range modelled {
		names = append(names, name)
	}
	sort.Strings(names)
	var rows []Row
	for _, name := range names {
		for f, figure := range rowNames {
			rows = append(rows, Row{Class: name, Figure: figure, OnSockets: estimateFigure(sockets[name], f),
				Simulated: estimateFigure(modelled[name], f)})
		}
	}
	return rows, nil
}

func countsFor(by map[string]*outcomeCounts, class string) *outcomeCounts {
	if by[class] == nil {
		by[class] = &outcomeCounts{}
	}
	return by[class]
}

func appendFigures(into map[string][][]float64, by map[string]*outcomeCounts) {
	for class, t := range by {
		into[class] = append(into[class], t.figures())
	}
}

func estimateFigure(runs [][]float64, f int) simulation.Estimate {
	var v []float64
	for _, r := range runs {
		v = append(v, r[f])
	}
	return simulation.EstimateMean(v)
}

// PrintRows writes a calibration's table.
func PrintRows(w io.Writer, rows []Row) {
	fmt.Fprintf(w, "%-12s %-8s %22s %22s\n", "class", "figure", "sockets", "model")
	for i := range rows {
		r := &rows[i]
		word := ""
		if r.Differs() {
			word = "  apart"
		}
		fmt.Fprintf(w, "%-12s %-8s %12.4f ±%8.4f %12.4f ±%8.4f%s\n", r.Class, r.Figure, r.OnSockets.Mean,
			r.OnSockets.HalfWidth, r.Simulated.Mean, r.Simulated.HalfWidth, word)
	}
}
