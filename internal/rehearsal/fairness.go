package rehearsal

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"cresspass"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

// The fairness experiment measures whether a flood by one protocol starves the clients of the other one.
// Clients of PostgreSQL and of Flight SQL send at a steady rate; for a while one protocol is flooded, then
// the other. The result is what the steady clients got in each phase.

// fairnessSettings has a small queue, so that a flood fills it unless shares prevent that.
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

const (
	steadyRate       = 25   // queries per second of the steady clients of each protocol
	floodRate        = 1500 // queries per second of a flood
	sharePerProtocol = 0.25 // of the limits, reserved for each protocol
	noFlood          = -1   // as fairnessPhase.flood: no protocol is flooded
)

// FairnessSample is what the steady clients of one protocol got in one phase.
type FairnessSample struct {
	Protocol string
	Phase    string
	Requests int
	Served   float64       // share of the requests
	P99      time.Duration // of the served ones
}

// Fairness plays the floods with a share of the limits reserved for each protocol, and again without. It
// returns what the steady clients got with and without shares. If dir is not "", it writes a page with plots
// into that folder, which is created if it does not exist.
func Fairness(ctx context.Context, dir string, seed uint64) (with, without []FairnessSample, err error) {
	page := components.NewPage()
	page.SetPageTitle("Fairness of the fronts")
	for _, share := range []float64{sharePerProtocol, 0} {
		samples, chart, err := runFairnessPhases(ctx, share, seed)
		if err != nil {
			return nil, nil, err
		}
		if page.AddCharts(chart); share > 0 {
			with = samples
		} else {
			without = samples
		}
	}
	if dir == "" {
		return with, without, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, err
	}
	err = writeFile(filepath.Join(dir, "fairness.html"), func(w *bufio.Writer) error {
		if err := page.Render(w); err != nil {
			return err
		}
		_, err := w.WriteString("<p>Share of the calm clients' tries that were served, by second.</p>\n")
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	return with, without, nil
}

const (
	fairnessCalmPhase  = 4 * time.Second
	fairnessFloodPhase = 8 * time.Second
)

// fairnessPhase is one phase of the experiment.
type fairnessPhase struct {
	name     string
	flood    int // the protocol that is flooded, as an index into protocolNames; noFlood: none
	duration time.Duration
}

var fairnessPhases = []fairnessPhase{
	{"calm", noFlood, fairnessCalmPhase},
	{"PostgreSQL flooded", 0, fairnessFloodPhase},
	{"calm again", noFlood, fairnessCalmPhase},
	{"Flight SQL flooded", 1, fairnessFloodPhase},
	{"calm at last", noFlood, fairnessCalmPhase},
}

var protocolNames = [2]string{"PostgreSQL", "Flight SQL"}

// runFairnessPhases plays all phases with a share of the limits reserved for each protocol; 0: no shares.
func runFairnessPhases(ctx context.Context, share float64, seed uint64) (
	[]FairnessSample, *charts.Line, error) {
	cfg := make([]standin.EngineConfig, 3)
	for i := range cfg {
		cfg[i] = standin.EngineConfig{Kind: testbed.EngineKind(8, 4096), Seed: seed}
	}
	bed, err := testbed.New(cfg...)
	if err != nil {
		return nil, nil, err
	}
	defer bed.Close()
	s, err := bed.StartDispatcher(fairnessSettings+fmt.Sprintf(
		"flight { listen = \"127.0.0.1:0\" }\nshares {\n  postgresql = %g\n  flight = %g\n}\n", share,
		share), nil)
	if err != nil {
		return nil, nil, err
	}
	defer s.Close()
	length := time.Duration(0)
	for _, p := range fairnessPhases {
		length += p.duration
	}
	var work sync.WaitGroup
	steady := [2]*workload{
		newFairnessWorkload(s, 0, steadyRate, length, seed),
		newFairnessWorkload(s, 1, steadyRate, length, seed+1),
	}
	start := time.Now()
	for _, l := range steady {
		work.Go(func() { l.run(ctx, start) })
	}
	startFloods(ctx, s, &work, start, seed)
	work.Wait()
	title := fmt.Sprintf("shares of %g%% set apart for each front", share*100)
	if share == 0 {
		title = "no shares"
	}
	return fairnessSamples(steady), fairnessChart(title, steady, int(length/time.Second)), ctx.Err()
}

// newFairnessWorkload returns the workload of the clients of one protocol, by its index into protocolNames.
func newFairnessWorkload(s *server.Server, protocol int, rate float64, length time.Duration,
	seed uint64) *workload {
	d := &Day{Length: length, Flight: float64(protocol),
		Traffic: []Traffic{{Class: "lookup", Rate: rate, Work: 0.03, Spread: 0.5, Threads: 1, Rows: 3}}}
	d.Module.Classes = []cresspass.Class{{Name: "lookup", Deadline: 2 * time.Second}}
	l := newWorkload(d, seed, []string{s.Addr()})
	l.flight, l.start = []string{s.FlightAddr()}, time.Now()
	return l
}

// startFloods starts the flood of each phase at its time.
func startFloods(ctx context.Context, s *server.Server, work *sync.WaitGroup, start time.Time, seed uint64) {
	begin := start
	for i, p := range fairnessPhases {
		if p.flood != noFlood {
			l := newFairnessWorkload(s, p.flood, floodRate, p.duration, seed+10+uint64(i))
			from := begin
			work.Go(func() {
				select {
				case <-time.After(time.Until(from)):
					l.run(ctx, time.Now())
				case <-ctx.Done():
				}
			})
		}
		begin = begin.Add(p.duration)
	}
}

// fairnessSamples returns what the steady clients got, by protocol and phase.
func fairnessSamples(steady [2]*workload) (out []FairnessSample) {
	for protocol, l := range steady {
		begin := time.Duration(0)
		for _, p := range fairnessPhases {
			sample := l.between(begin, begin+p.duration)
			sample.Protocol, sample.Phase = protocolNames[protocol], p.name
			out = append(out, sample)
			begin += p.duration
		}
	}
	return out
}

// fairnessChart plots for each second the share of the steady clients' requests that were served.
func fairnessChart(title string, steady [2]*workload, seconds int) *charts.Line {
	chart := charts.NewLine()
	chart.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}), charts.WithYAxisOpts(opts.YAxis{Name: "served", Max: 1}))
	var axis []int
	for i := range seconds {
		axis = append(axis, i)
	}
	chart.SetXAxis(axis)
	for protocol, l := range steady {
		var points []opts.LineData
		for i := range seconds {
			from := time.Duration(i) * time.Second
			served := l.between(from, from+time.Second).Served
			points = append(points, opts.LineData{Value: math.Round(served*1000) / 1000})
		}
		chart.AddSeries(protocolNames[protocol], points)
	}
	return chart
}

// between sums up the requests that began in [from, to).
func (l *workload) between(from, to time.Duration) (out FairnessSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	for _, s := range l.samples {
		if began := s.At - s.Took; began >= from && began < to {
			if out.Requests++; s.Outcome == Served {
				took = append(took, s.Took)
			}
		}
	}
	if out.Requests == 0 {
		return out
	}
	out.Served = float64(len(took)) / float64(out.Requests)
	if slices.Sort(took); len(took) > 0 {
		out.P99 = took[len(took)*99/100]
	}
	return out
}
