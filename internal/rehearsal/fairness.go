package rehearsal

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"cresspass"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// Fairness of the fronts: both are asked at a calm pace by clients of their own; for a while one of them is
// flooded, then the other. What the calm clients of the front beside the flood get is the measure.

// fairnessSettings has few places for queries that wait, so that a flood takes them all where nobody hinders
// it.
const fairnessSettings = `
default_class = "lookup"
max_held      = 40
max_clients   = 2000
engines { max_connections = 400 }
kind "std" { cores = 8 }
class "lookup" {
  aim      = "1s"
  deadline = "2s"
  effect   = "safe"
}
`

// FairnessSample is what the calm clients of one front got in one stretch.
type FairnessSample struct {
	Front  string
	Phase  string
	Tries  int
	Served float64       // share of the tries
	P99    time.Duration // of the served ones
}

// Fairness plays the floods with and without shares, and writes a page with plots into a folder, if one is
// named. It returns what calm clients got, with shares first.
func Fairness(ctx context.Context, dir string, seed uint64) (with, without []FairnessSample, err error) {
	page := components.NewPage()
	page.SetPageTitle("Fairness of the fronts")
	for _, shares := range []float64{0.25, 0} {
		calm, chart, err := playFairness(ctx, shares, seed)
		if err != nil {
			return nil, nil, err
		}
		if page.AddCharts(chart); shares > 0 {
			with = calm
		} else {
			without = calm
		}
	}
	if dir == "" {
		return with, without, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, err
	}
	f, err := os.Create(filepath.Join(dir, "fairness.html"))
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	if err := page.Render(f); err != nil {
		return nil, nil, err
	}
	_, err = io.WriteString(f, "<p>Share of the calm clients' tries that were served, by second.</p>\n")
	return with, without, err
}

// The stretches: calm, PostgreSQL flooded, calm, Flight SQL flooded, calm.
const (
	fairnessCalmPhase  = 4 * time.Second
	fairnessFloodPhase = 8 * time.Second
)

var fairnessPhases = []struct {
	name  string
	flood int // front that is flooded: 0 PostgreSQL, 1 Flight SQL, -1 none
	for_  time.Duration
}{{"calm", -1, fairnessCalmPhase}, {"PostgreSQL flooded", 0, fairnessFloodPhase}, {"calm again", -1,
	fairnessCalmPhase},
	{"Flight SQL flooded", 1, fairnessFloodPhase}, {"calm at last", -1, fairnessCalmPhase}}

var frontNames = [2]string{"PostgreSQL", "Flight SQL"}

func playFairness(ctx context.Context, shares float64, seed uint64) ([]FairnessSample, *charts.Line, error) {
	cfg := make([]standin.EngineConfig, 3)
	for i := range cfg {
		cfg[i] = standin.EngineConfig{Kind: testbed.EngineKind(8, 4096), Seed: seed}
	}
	r, err := testbed.New(cfg...)
	if err != nil {
		return nil, nil, err
	}
	defer r.Close()
	s, err := r.StartDispatcher(fairnessSettings+fmt.Sprintf(
		"flight { listen = \"127.0.0.1:0\" }\nshares {\n  postgresql = %g\n  flight = %g\n}\n", shares,
		shares), nil)
	if err != nil {
		return nil, nil, err
	}
	defer s.Close()
	length := time.Duration(0)
	for _, p := range fairnessPhases {
		length += p.for_
	}
	loadOf := func(front int, rate float64, length time.Duration, seed uint64) *workload {
		d := &Day{Traffic: []Traffic{{Class: "lookup", Rate: rate, Work: 0.03, Spread: 0.5, Threads: 1,
			Rows: 3}},
			Length: length, Flight: float64(front)}
		d.Module.Classes = []cresspass.Class{{Name: "lookup", Deadline: 2 * time.Second}}
		l := newLoad(d, seed, []string{s.Addr()})
		l.flight, l.start = []string{s.FlightAddr()}, time.Now()
		return l
	}
	var work sync.WaitGroup
	calm := [2]*workload{loadOf(0, 25, length, seed), loadOf(1, 25, length, seed+1)}
	start := time.Now()
	for _, l := range calm {
		work.Go(func() { l.run(ctx, start) })
	}
	at := time.Duration(0)
	for i, p := range fairnessPhases {
		if p.flood >= 0 {
			l := loadOf(p.flood, 1500, p.for_, seed+10+uint64(i))
			from := start.Add(at)
			work.Go(func() {
				select {
				case <-time.After(time.Until(from)):
					l.run(ctx, time.Now())
				case <-ctx.Done():
				}
			})
		}
		at += p.for_
	}
	work.Wait()
	title := fmt.Sprintf("shares of %g%% set apart for each front", shares*100)
	if shares == 0 {
		title = "no shares"
	}
	chart := charts.NewLine()
	chart.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}), charts.WithYAxisOpts(opts.YAxis{Name: "served", Max: 1}))
	seconds := int(length / time.Second)
	var axis []int
	for i := range seconds {
		axis = append(axis, i)
	}
	chart.SetXAxis(axis)
	var out []FairnessSample
	for front, l := range calm {
		var points []opts.LineData
		for i := range seconds {
			points = append(points, opts.LineData{Value: math.Round(l.between(time.Duration(i)*time.Second,
				time.Duration(i+1)*time.Second).Served*1000) / 1000})
		}
		chart.AddSeries(frontNames[front], points)
		at := time.Duration(0)
		for _, p := range fairnessPhases {
			c := l.between(at, at+p.for_)
			c.Front, c.Phase = frontNames[front], p.name
			out = append(out, c)
			at += p.for_
		}
	}
	return out, chart, ctx.Err()
}

// between is what the tries that began in a stretch got.
func (l *workload) between(from, to time.Duration) (c FairnessSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	for _, v := range l.samples {
		if began := v.At - v.Took; began >= from && began < to {
			if c.Tries++; v.End == Served {
				took = append(took, v.Took)
			}
		}
	}
	if c.Tries == 0 {
		return c
	}
	c.Served = float64(len(took)) / float64(c.Tries)
	if sort.Slice(took, func(i, j int) bool { return took[i] < took[j] }); len(took) > 0 {
		c.P99 = took[len(took)*99/100]
	}
	return c
}
