package rehearsal

import (
	"compress/gzip"
	"encoding/json"
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

// Sample is how one try ended.
type Sample struct {
	At    time.Duration `json:"at"` // since the day's start
	Class string        `json:"class"`
	End   Outcome       `json:"end"`
	Took  time.Duration `json:"took"` // from the intended start

	Dispatcher int `json:"dispatcher"`
}

// EngineSample is a look at the engines.
type EngineSample struct {
	At      time.Duration `json:"at"`
	Threads []float64     `json:"threads"` // of each engine
}

// names of ends, in the order of Answer.
var outcomeNames = [outcomeCount]string{"served", "refused", "failed", "gave up"}

// plotInterval is the plots' grain.
const plotInterval = time.Second

// Report writes one HTML page with plots, and the same as JSON, into a folder.
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
	f, err := os.Create(filepath.Join(dir, r.Day.Name+".html"))
	if err != nil {
		return err
	}
	defer f.Close()
	page := components.NewPage()
	page.SetPageTitle("Rehearsal: " + r.Day.Name)
	page.AddCharts(r.ends(), r.quantiles(), r.threads())
	if err := page.Render(f); err != nil {
		return err
	}
	fmt.Fprintf(f, "<pre>\n")
	r.Print(f)
	_, err = fmt.Fprintf(f, "</pre>\n")
	return err
}

// line starts a plot over the day's seconds, with troubles as bands.
func (r *Result) line(title, unit string) (*charts.Line, int) {
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

// bands marks the troubles.
func (r *Result) bands(n int) []charts.SeriesOpts {
	var out []charts.SeriesOpts
	for _, t := range r.Day.Faults {
		from, to := int(t.At/plotInterval), min(int((t.At+t.For)/plotInterval)+1, n-1)
		out = append(out, charts.WithMarkAreaNameCoordItemOpts(opts.MarkAreaNameCoordItem{Name: t.Kind,
			Coordinate0: []interface{}{fmt.Sprint(from), "min"}, Coordinate1: []interface{}{fmt.Sprint(to),
				"max"},
			ItemStyle: &opts.ItemStyle{Opacity: opts.Float(0.12)}}))
	}
	return out
}

func values(v []float64) []opts.LineData {
	out := make([]opts.LineData, len(v))
	for i := range v {
		out[i] = opts.LineData{Value: v[i]}
	}
	return out
}

// ends plots how tries ended, by the second in which they did.
func (r *Result) ends() *charts.Line {
	l, n := r.line("Answers by kind", "tries a second")
	for end, name := range outcomeNames {
		v := make([]float64, n)
		for _, s := range r.Samples {
			if s.End == Outcome(end) {
				v[s.At/plotInterval]++
			}
		}
		var o []charts.SeriesOpts
		if end == 0 {
			o = r.bands(n)
		}
		l.AddSeries(name, values(v), o...)
	}
	return l
}

// quantiles plots the time to answer of what was served.
func (r *Result) quantiles() *charts.Line {
	l, n := r.line("Time to answer, served", "ms")
	times := make([][]float64, n)
	for _, s := range r.Samples {
		if s.End == Served {
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
			o = r.bands(n)
		}
		l.AddSeries(fmt.Sprintf("p%g", q*100), values(v), o...)
	}
	return l
}

// threads plots what runs in each engine.
func (r *Result) threads() *charts.Line {
	l, n := r.line("Threads of each engine", "threads")
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
			o = r.bands(n)
		}
		l.AddSeries(fmt.Sprintf("engine %d (%s)", e, r.Day.kind(e)), values(v), o...)
	}
	return l
}

// evidence is what is kept of a day whose rules broke, to be judged again without playing it.
type evidence struct {
	Day        string
	Seed       uint64
	Parameters rulecheck.Parameters `json:"Figures"`
	Log        *rulecheck.Log
}

// StoreEvidence writes what the relays saw, with seed and day, into a folder.
func (r *Result) StoreEvidence(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "traffic.json.gz"))
	if err != nil {
		return err
	}
	defer f.Close()
	z := gzip.NewWriter(f)
	if err := json.NewEncoder(z).Encode(evidence{r.Day.Name, r.Seed, r.Day.Parameters(), r.Log}); err != nil {
		return err
	}
	return z.Close()
}

// JudgeAgain judges a folder that Keep wrote.
func JudgeAgain(dir string) (day string, seed uint64, all []rulecheck.Verdict, err error) {
	f, err := os.Open(filepath.Join(dir, "traffic.json.gz"))
	if err != nil {
		return "", 0, nil, err
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		return "", 0, nil, err
	}
	var e evidence
	if err := json.NewDecoder(z).Decode(&e); err != nil {
		return "", 0, nil, fmt.Errorf("%s: %w", dir, err)
	}
	if e.Log == nil {
		return "", 0, nil, fmt.Errorf("%s holds no traffic", dir)
	}
	return e.Day, e.Seed, rulecheck.Judge(e.Parameters, e.Log), nil
}
