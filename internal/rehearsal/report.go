package rehearsal

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"cresspass/internal/rehearsal/rulecheck"
)

// Sample is the outcome of one request. A client's retry is a request of its own, with the same intended
// start.
type Sample struct {
	At      time.Duration `json:"at"` // of the outcome, since the day's start
	Class   string        `json:"class"`
	Outcome Outcome       `json:"end"`
	Took    time.Duration `json:"took"` // from the intended start

	Dispatcher int `json:"dispatcher"`
}

// EngineSample is the load of the engines at one time.
type EngineSample struct {
	At      time.Duration `json:"at"`      // since the day's start
	Threads []float64     `json:"threads"` // in use on each engine
}

// outcomeNames are the names of outcomes in the plots.
var outcomeNames = [outcomeCount]string{"served", "refused", "failed", "gave up"}

// plotInterval is the resolution of the plots.
const plotInterval = time.Second

// Report writes an HTML page with plots and the printed result, and a JSON file with the data, into a folder,
// which is created if it does not exist.
func (r *Result) Report(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	body, err := json.MarshalIndent(struct {
		Day      string              `json:"day"`
		Verdicts []rulecheck.Verdict `json:"verdicts"`
		Kept     bool                `json:"kept"`
		Missed   []string            `json:"missed"`
		Troubles []Fault             `json:"troubles"`
		Samples  []Sample            `json:"samples"`
		Watches  []EngineSample      `json:"watches"`
	}{r.Day.Name, r.Verdicts, r.Kept(), r.Missed, r.Day.Faults, r.Samples, r.EngineSamples}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, r.Day.Name+".json"), body, 0o644); err != nil {
		return err
	}
	page := components.NewPage()
	page.SetPageTitle("Rehearsal: " + r.Day.Name)
	page.AddCharts(r.plotOutcomes(), r.plotQuantiles(), r.plotThreads())
	return writeFile(filepath.Join(dir, r.Day.Name+".html"), func(w *bufio.Writer) error {
		if err := page.Render(w); err != nil {
			return err
		}
		fmt.Fprintln(w, "<pre>")
		if err := r.Print(w); err != nil {
			return err
		}
		_, err := w.WriteString("</pre>\n")
		return err
	})
}

// writeFile creates a file, and has write write its contents.
func writeFile(path string, write func(w *bufio.Writer) error) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	w := bufio.NewWriter(f)
	if err := write(w); err != nil {
		return err
	}
	return w.Flush()
}

// newPlot returns an empty plot over the day, and its number of points, plotInterval apart.
func (r *Result) newPlot(title, unit string) (*charts.Line, int) {
	n := int(r.Day.Length/plotInterval) + 1
	for _, s := range r.Samples {
		n = max(n, int(s.At/plotInterval)+1)
	}
	axis := make([]string, n)
	for i := range axis {
		axis[i] = fmt.Sprint(i)
	}
	l := charts.NewLine()
	l.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title, Subtitle: r.Day.Title}),
		charts.WithInitializationOpts(opts.Initialization{Width: "1100px", Height: "380px"}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit}), charts.WithXAxisOpts(opts.XAxis{Name: "s"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}))
	l.SetXAxis(axis)
	return l, n
}

// faultBands returns the options that mark the times of the faults in a plot of n points.
func (r *Result) faultBands(n int) []charts.SeriesOpts {
	var out []charts.SeriesOpts
	for _, t := range r.Day.Faults {
		from, to := int(t.At/plotInterval), min(int((t.At+t.For)/plotInterval)+1, n-1)
		out = append(out, charts.WithMarkAreaNameCoordItemOpts(opts.MarkAreaNameCoordItem{Name: t.Kind,
			Coordinate0: []any{fmt.Sprint(from), "min"}, Coordinate1: []any{fmt.Sprint(to),
				"max"},
			ItemStyle: &opts.ItemStyle{Opacity: opts.Float(0.12)}}))
	}
	return out
}

// lineData converts values to the points of a line.
func lineData(v []float64) []opts.LineData {
	out := make([]opts.LineData, len(v))
	for i := range v {
		out[i] = opts.LineData{Value: v[i]}
	}
	return out
}

// plotOutcomes plots the number of requests by outcome, at the second in which they ended.
func (r *Result) plotOutcomes() *charts.Line {
	l, n := r.newPlot("Answers by kind", "tries a second")
	for end, name := range outcomeNames {
		v := make([]float64, n)
		for _, s := range r.Samples {
			if s.Outcome == Outcome(end) {
				v[s.At/plotInterval]++
			}
		}
		var o []charts.SeriesOpts
		if end == 0 {
			o = r.faultBands(n)
		}
		l.AddSeries(name, lineData(v), o...)
	}
	return l
}

// plotQuantiles plots latency quantiles of the served requests.
func (r *Result) plotQuantiles() *charts.Line {
	l, n := r.newPlot("Time to answer, served", "ms")
	times := make([][]float64, n)
	for _, s := range r.Samples {
		if s.Outcome == Served {
			times[s.At/plotInterval] = append(times[s.At/plotInterval], float64(s.Took.Microseconds())/1000)
		}
	}
	for i, q := range []float64{0.5, 0.9, 0.99} {
		v := make([]float64, n)
		for k, list := range times {
			sort.Float64s(list)
			if len(list) > 0 {
				v[k] = list[min(int(q*float64(len(list))), len(list)-1)]
			}
		}
		var o []charts.SeriesOpts
		if i == 0 {
			o = r.faultBands(n)
		}
		l.AddSeries(fmt.Sprintf("p%g", q*100), lineData(v), o...)
	}
	return l
}

// plotThreads plots the threads in use on each engine.
func (r *Result) plotThreads() *charts.Line {
	l, n := r.newPlot("Threads of each engine", "threads")
	for e := range r.Day.Engines {
		v, seen := make([]float64, n), make([]float64, n)
		for _, w := range r.EngineSamples {
			if k := int(w.At / plotInterval); k < n && e < len(w.Threads) {
				v[k] += w.Threads[e]
				seen[k]++
			}
		}
		for k := range v {
			v[k] /= max(seen[k], 1)
		}
		var o []charts.SeriesOpts
		if e == 0 {
			o = r.faultBands(n)
		}
		l.AddSeries(fmt.Sprintf("engine %d (%s)", e, r.Day.kind(e)), lineData(v), o...)
	}
	return l
}
