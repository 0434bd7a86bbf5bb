// Package experiment reads what is to be tried in the model: a day of the rehearsal, or a recording, and
// the ways that are compared on the same seeds; and plays it until the bars are as narrow as asked.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"cresspass/internal/config"
	"cresspass/internal/recording"
	"cresspass/internal/rehearsal"
	"cresspass/internal/simulation"
	"cresspass/internal/simulation/enginemodel"
)

// experimentFile is an experiment as written.
type experimentFile struct {
	Title     string    `hcl:"title,optional"`
	Day       string    `hcl:"day"`
	Recording string    `hcl:"recording,optional"`
	Length    string    `hcl:"length,optional"`
	Warmup    string    `hcl:"warm_up,optional"`
	Seeds     int       `hcl:"seeds,optional"`
	HalfWidth float64   `hcl:"half_width,optional"`
	Arms      []armFile `hcl:"arm,block"`
	Sweep     *struct {
		Over   string    `hcl:"over,label"`
		Values []float64 `hcl:"values"`
	} `hcl:"sweep,block"`
}

type armFile struct {
	Name        string            `hcl:"name,label"`
	Policy      string            `hcl:"policy,optional"`
	Binary      string            `hcl:"binary,optional"`
	Talk        string            `hcl:"talk,optional"`
	Dispatchers int               `hcl:"dispatchers,optional"`
	Engines     int               `hcl:"engines,optional"`
	Rate        float64           `hcl:"rate,optional"`
	Uneven      float64           `hcl:"uneven,optional"`
	ListLate    string            `hcl:"list_late,optional"`
	ReportLate  string            `hcl:"report_late,optional"`
	Loss        float64           `hcl:"loss,optional"`
	Told        float64           `hcl:"told,optional"`
	Calm        bool              `hcl:"calm,optional"`
	Set         map[string]string `hcl:"set,optional"`
}

// Arm is one of the ways that are compared.
type Arm struct {
	Name string
	file armFile
	day  *rehearsal.Day
}

// Experiment is a checked experiment.
type Experiment struct {
	Name, Title string
	Day         *rehearsal.Day
	Length      time.Duration
	WarmUp      time.Duration // left out of all figures
	Seeds       int           // at most
	SeedOffset  uint64        // the first seed is the next
	HalfWidth   float64       // half a bar's width, in shares, that is narrow enough
	Arms        []Arm
	SweptField  string // what is swept; "": nothing
	SweptValues []float64
	Recorded    []recording.Entry
}

// Sources finds what an experiment names.
type Sources struct {
	Day       func(name string) ([]byte, error)
	Shared    func(name string) ([]byte, error)
	Recording func(path string) ([]recording.Entry, error)
}

// sweepableFields are the figures that can be swept, each with how it changes an arm.
var sweepableFields = map[string]func(a *armFile, v float64){
	"rate":        func(a *armFile, v float64) { a.Rate = v },
	"dispatchers": func(a *armFile, v float64) { a.Dispatchers = int(v) },
	"engines":     func(a *armFile, v float64) { a.Engines = int(v) },
	"uneven":      func(a *armFile, v float64) { a.Uneven = v },
	"list_late":   func(a *armFile, v float64) { a.ListLate = fmt.Sprintf("%gs", v) },
	"report_late": func(a *armFile, v float64) { a.ReportLate = fmt.Sprintf("%gs", v) },
	"loss":        func(a *armFile, v float64) { a.Loss = v },
}

// Parse reads and checks an experiment.
func Parse(name string, src []byte, from Sources) (*Experiment, error) {
	var f experimentFile
	parsed, diags := hclparse.NewParser().ParseHCL(src, name)
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(parsed.Body, nil, &f)
	}
	if diags.HasErrors() {
		return nil, diags
	}
	day := func(arm *armFile) (*rehearsal.Day, error) {
		src, err := from.Day(f.Day)
		if err != nil {
			return nil, err
		}
		d, err := rehearsal.ParseDay(f.Day, src, from.Shared)
		if err != nil || len(arm.Set) == 0 {
			return d, err
		}
		for name, value := range arm.Set {
			line := regexp.MustCompile(`(?m)^(\s*` + regexp.QuoteMeta(name) + `\s*=\s*).*$`)
			if len(line.FindAllString(d.Settings, -1)) != 1 {
				return nil, fmt.Errorf("%s: arm %q: the settings do not have one %s", name, arm.Name, name)
			}
			d.Settings = line.ReplaceAllString(d.Settings, "${1}"+value)
		}
		cfg, err := config.Parse(f.Day+" settings", []byte(d.Settings))
		if err != nil {
			return nil, err
		}
		d.Module = cfg.Module
		return d, nil
	}
	e := &Experiment{Name: name, Title: f.Title, Seeds: f.Seeds, HalfWidth: f.HalfWidth}
	var err error
	if e.Day, err = day(&armFile{}); err != nil {
		return nil, err
	}
	var errs []error
	duration := func(what, v string, otherwise time.Duration) time.Duration {
		if v == "" {
			return otherwise
		}
		d, err := time.ParseDuration(v)
		if err != nil || d < 0 {
			errs = append(errs, fmt.Errorf("%s: %s: %q is no time", name, what, v))
		}
		return d
	}
	e.Length = duration("length", f.Length, e.Day.Length)
	e.WarmUp = duration("warm_up", f.Warmup, min(10*time.Second, e.Length/6))
	if e.Seeds == 0 {
		e.Seeds = 20
	}
	if e.Seeds < 2 || e.HalfWidth < 0 || e.WarmUp >= e.Length {
		errs = append(errs,
			fmt.Errorf("%s: seeds are 2 at least, half_width 0 at least, warm_up within the length", name))
	}
	if len(f.Arms) == 0 {
		f.Arms = []armFile{{Name: "as it is"}}
	}
	seen := map[string]bool{}
	for _, a := range f.Arms {
		if seen[a.Name] {
			errs = append(errs, fmt.Errorf("%s: arm %q is given twice", name, a.Name))
		}
		seen[a.Name] = true
		if !slices.Contains(simulation.Policies, a.Policy) {
			errs = append(errs, fmt.Errorf("%s: arm %q: there is no policy %q", name, a.Name, a.Policy))
		}
		if a.Binary != "" && a.Policy != "" {
			errs = append(errs, fmt.Errorf("%s: arm %q: a binary and a policy both decide", name, a.Name))
		}
		if !slices.Contains([]string{"", "no", "cold", "ask"}, a.Talk) {
			errs = append(errs, fmt.Errorf("%s: arm %q: talk is no, cold or ask", name, a.Name))
		}
		if a.Rate < 0 || a.Uneven < 0 || a.Uneven > 1 || a.Loss < 0 || a.Loss > 1 || a.Dispatchers < 0 ||
			a.Engines < 0 {
			errs = append(errs, fmt.Errorf("%s: arm %q: a figure is out of its bounds", name, a.Name))
		}
		duration("list_late", a.ListLate, 0)
		duration("report_late", a.ReportLate, 0)
		d, err := day(&a)
		errs = append(errs, err)
		e.Arms = append(e.Arms, Arm{a.Name, a, d})
	}
	if f.Sweep != nil {
		if sweepableFields[f.Sweep.Over] == nil || len(f.Sweep.Values) == 0 {
			errs = append(errs,
				fmt.Errorf("%s: sweep over %q: one of rate, dispatchers, engines, uneven, list_late, "+
					"report_late, loss, and its values, are wanted", name, f.Sweep.Over))
		}
		e.SweptField, e.SweptValues = f.Sweep.Over, f.Sweep.Values
	}
	if f.Recording != "" {
		if e.Recorded, err = from.Recording(f.Recording); err != nil {
			errs = append(errs, err)
		}
	}
	return e, errors.Join(errs...)
}

// Config returns what the model plays for an arm, at a swept value, from a seed.
func (e *Experiment) Config(arm int, value float64, seed uint64) (simulation.Config, error) {
	a := e.Arms[arm].file
	if e.SweptField != "" {
		sweepableFields[e.SweptField](&a, value)
	}
	d := e.Arms[arm].day
	c := FromDay(d, seed)
	c.Length = e.Length
	c.Policy = a.Policy
	if a.Dispatchers > 0 {
		c.Dispatchers = a.Dispatchers
	}
	if a.Engines > 0 {
		kinds := c.Engines
		c.Engines = nil
		for i := range a.Engines {
			v := kinds[i%len(kinds)]
			v.Cell = i / 2
			c.Engines = append(c.Engines, v)
		}
	}
	if a.Rate > 0 {
		for i := range c.Traffic {
			c.Traffic[i].Rate *= a.Rate
		}
	}
	if a.Told > 0 {
		for i := range c.Traffic {
			c.Traffic[i].CostEstimateFactor = a.Told
		}
	}
	c.Imbalance = a.Uneven
	c.ListDelay, _ = time.ParseDuration(a.ListLate) // checked
	c.ReportDelay, _ = time.ParseDuration(a.ReportLate)
	c.Network.Loss = math.Max(c.Network.Loss, a.Loss)
	if a.Calm {
		c.Faults = nil
	}
	talk := d.Gossip
	if a.Talk != "" {
		talk = a.Talk
	}
	c.Gossip = map[string]simulation.GossipMode{"": simulation.NoGossip, "no": simulation.NoGossip,
		"cold": simulation.GossipOnly,
		"ask":  simulation.GossipAndBootstrap}[talk]
	if e.Recorded != nil {
		return c, applyRecording(&c, e.Recorded)
	}
	return c, nil
}

// FromDay returns a day of the rehearsal as the model plays it. What clients do over several statements, by
// Flight SQL or by giving up early, is not modelled, nor troubles of bytes on the wire: those are left out.
func FromDay(d *rehearsal.Day, seed uint64) simulation.Config {
	c := simulation.Config{
		Seed:        seed,
		Dispatchers: d.Dispatchers,
		Length:      d.Length,
		Network:     simulation.CalmNetwork(),
		TransitTime: 300 * time.Microsecond,
		Module:      d.Module,
	}
	r := &d.Module.Rules
	for i := range d.Engines {
		kind := d.Kinds[i%len(d.Kinds)]
		cores := d.Module.KindCores[slices.Index(d.Module.KindNames, kind)]
		c.Engines = append(c.Engines, simulation.Engine{Kind: kind, Zone: string(rune('a' + i%d.Zones)),
			Cell: i / 2,
			Machine: enginemodel.Kind{Cores: cores, MemoryMB: d.MemoryMB, SpillCost: 2.5, WarmSets: 4,
				WarmSaves:     0.3,
				SlowStartFrom: r.SlowStartFrom, SlowStartDuration: r.SlowStartDuration,
				SlowStartOverloadFactor: r.SlowStartOverloadFactor,
				SlowStartWindow:         r.SlowStartWindow,
				MaxJobs:                 int(8 * cores)}})
	}
	for _, t := range d.Traffic {
		if t.Session {
			continue
		}
		c.Traffic = append(c.Traffic, simulation.Traffic{Class: t.Class, Rate: t.Rate, Work: t.Work,
			Spread:  t.Spread,
			Threads: t.Threads, Repeats: t.Retries, Keys: t.Keys, Tables: t.Tables, Loads: t.Loads,
			CostEstimateFactor: t.CostFactor})
	}
	for _, t := range d.Faults {
		if slices.Contains(simulation.FaultKinds(), t.Kind) {
			c.Faults = append(c.Faults, simulation.Fault{Kind: t.Kind, At: t.At, For: t.For,
				Engines:    t.Engines,
				Dispatcher: t.Dispatcher, Size: t.Size, Class: t.Class})
		}
	}
	return c
}

// OmittedFaults are the troubles of a day that the model does not know.
func OmittedFaults(d *rehearsal.Day) (out []string) {
	for _, t := range d.Faults {
		if !slices.Contains(simulation.FaultKinds(), t.Kind) && !slices.Contains(out, t.Kind) {
			out = append(out, t.Kind)
		}
	}
	return out
}

// maxSlowdown is how many times the quickest tenth's mean a query of a shape may need: what took longer waited.
const maxSlowdown = 40

// applyRecording has recorded clients come in place of drawn ones. What a query needs is told by its own time where
// it was served, waits counted in; else by the times of its shape, the quickest tenth's mean, as those met
// least of others.
func applyRecording(c *simulation.Config, all []recording.Entry) error {
	traffic := map[string]int{}
	for i := range c.Traffic {
		c.Traffic[i].Rate = 0
		traffic[c.Traffic[i].Class] = i
	}
	quick := map[uint64][]float64{}
	for _, e := range all {
		if e.Outcome == recording.Served {
			quick[e.Fingerprint] = append(quick[e.Fingerprint], e.Elapsed.Seconds())
		}
	}
	least := map[uint64]float64{}
	for shape, took := range quick {
		sort.Float64s(took)
		n, sum := max(1, len(took)/10), 0.0
		for _, v := range took[:n] {
			sum += v
		}
		least[shape] = sum / float64(n)
	}
	dispatchers := map[string]int{}
	var names []string
	for _, e := range all {
		if _, known := dispatchers[e.Dispatcher]; !known {
			dispatchers[e.Dispatcher] = 0
			names = append(names, e.Dispatcher)
		}
	}
	sort.Strings(names)
	for i, name := range names {
		dispatchers[name] = i
	}
	for _, e := range all {
		if e.IsRetry {
			continue // clients of the model come again by themselves
		}
		i, known := traffic[e.Class]
		if !known {
			return fmt.Errorf("experiment: the recording has class %q, the day has no traffic of it", e.Class)
		}
		threads := c.Traffic[i].Threads
		if e.Threads > 0 {
			threads = e.Threads
		}
		r := simulation.Replay{
			At:           e.ArrivedAt,
			Traffic:      i,
			Dispatcher:   dispatchers[e.Dispatcher],
			CostEstimate: e.Cost.Seconds(),
		}
		switch {
		case e.Outcome == recording.Served && least[e.Fingerprint] > 0:
			// It took what it took. Danger: one shape has quick and long queries, a long way apart; cut to a
			// few times the quickest, a recording would ask for a fraction of its work.
			r.Work = threads * math.Min(e.Elapsed.Seconds(), maxSlowdown*least[e.Fingerprint])
		case least[e.Fingerprint] > 0:
			r.Work = threads * least[e.Fingerprint]
		default:
			r.Work = c.Traffic[i].Work
		}
		if e.Key != 0 {
			r.Key = fmt.Sprint(e.Key)
		}
		c.Replay = append(c.Replay, r)
	}
	return nil
}
