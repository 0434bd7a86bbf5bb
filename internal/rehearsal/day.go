// Package rehearsal plays a day of trouble through real dispatchers, each a process of its own, with stand-in
// engines and roster behind them and client libraries before them, and has the rules judged from the bytes.
package rehearsal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"cresspass"
	"cresspass/internal/config"
	"cresspass/internal/rehearsal/rulecheck"
)

// dayFile is a day as written.
type dayFile struct {
	Title    string            `hcl:"title"`
	Length   string            `hcl:"length"`
	Short    float64           `hcl:"short,optional"`
	Flight   float64           `hcl:"flight,optional"`
	Gossip   string            `hcl:"talk,optional"`
	Base     string            `hcl:"base,optional"`
	Fleet    *fleetFile        `hcl:"fleet,block"`
	Traffic  []trafficFile     `hcl:"traffic,block"`
	Faults   []faultFile       `hcl:"trouble,block"`
	Expects  []expectFile      `hcl:"expect,block"`
	Random   int               `hcl:"random,optional"`
	Settings string            `hcl:"settings,optional"`
	Set      map[string]string `hcl:"set,optional"`
}

type fleetFile struct {
	Engines     int      `hcl:"engines"`
	Dispatchers int      `hcl:"dispatchers"`
	MemoryMB    float64  `hcl:"memory_mb,optional"`
	Kinds       []string `hcl:"kinds"`
	Zones       int      `hcl:"zones,optional"`
}

type expectFile struct {
	Class  string  `hcl:"class,label"`
	Served float64 `hcl:"served"`
}

type trafficFile struct {
	Class   string  `hcl:"class,label"`
	Rate    float64 `hcl:"rate"`
	WorkMS  float64 `hcl:"work_ms"`
	Spread  float64 `hcl:"spread,optional"`
	Threads float64 `hcl:"threads,optional"`
	Rows    int     `hcl:"rows,optional"`
	Keys    int     `hcl:"keys,optional"`
	Tables  int     `hcl:"tables,optional"`
	Loads   bool    `hcl:"loads,optional"`
	Writes  bool    `hcl:"writes,optional"`
	Session bool    `hcl:"session,optional"`
	Repeats int     `hcl:"repeats,optional"`
	Told    float64 `hcl:"told,optional"`
}

type faultFile struct {
	Kind       string  `hcl:"kind,label"`
	At         string  `hcl:"at"`
	For        string  `hcl:"for,optional"`
	Engines    []int   `hcl:"engines,optional"`
	Dispatcher int     `hcl:"dispatcher,optional"`
	Size       float64 `hcl:"size,optional"`
	Class      string  `hcl:"class,optional"`
}

// Traffic is what clients of one class ask.
type Traffic struct {
	Class   string
	Rate    float64 // queries a second, all dispatchers together
	Work    float64 // mean thread seconds
	Spread  float64 // sigma of the logarithm of the work
	Threads float64
	Rows    int
	Keys    int // queries carry one of so many keys; 0: none
	Tables  int // and one of so many table groups
	Loads   bool
	Writes  bool
	Session bool    // a transaction of several statements each time
	Repeats int     // a refused query comes again so many times
	Told    float64 // its cost is told as so many times its work; 0: it is not
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind       string
	At, For    time.Duration
	Engines    []int
	Dispatcher int
	Size       float64 // factor, share or rows, by kind
	Class      string
}

// Day is a checked day.
type Day struct {
	Name, Title string
	Length      time.Duration
	Short       float64 // --short plays the day so much shorter
	Flight      float64 // share of the queries that come by Flight SQL
	Gossip      string  // see Options
	Engines     int
	Dispatchers int
	MemoryMB    float64
	Kinds       []string // of the engines, in turn
	Random      int      // so many troubles more are drawn from the seed
	Expects     map[string]float64
	Zones       int
	Traffic     []Traffic
	Faults      []Fault
	Settings    string
	Module      cresspass.Config
}

// kinds are the troubles known, each with whether it names engines, a dispatcher, and a size.
var kinds = map[string]struct {
	engines, dispatcher bool
	size                float64 // default; 0: it has none
	help                string
}{
	"slow":         {true, false, 3, "engines are size times slower"},
	"ageing":       {true, false, 6, "engines grow slower up to size times, then crash and come back cold"},
	"neighbour":    {true, false, 3, "another program makes engines size times slower, on and off"},
	"shared":       {false, false, 2.5, "all engines are size times slower"},
	"deploy":       {true, false, 0, "engines drain and come back as new processes, one after another"},
	"preemption":   {true, false, 0, "engines are told to drain, die 2 s later, and come back after a time"},
	"zone-loss":    {false, false, 0, "engines and dispatchers of zone a die, and come back after a time"},
	"reports-late": {true, false, 5, "load reports are size seconds old"},
	"roll":         {false, false, 0, "dispatchers are stopped and started one after another"},
	"heavy-tail":   {false, false, 12, "a twentieth of the queries cost size times as much"},
	"shift":        {false, false, 4, "arrivals of the class are size times as many, the others half"},
	"hot-key":      {false, false, 0.7, "a share of the keyed queries has one key"},
	"hang":         {true, false, 0, "engines take queries and answer none"},
	"crash":        {true, false, 0, "engines die, and come back cold after a time"},
	"mid-answer": {true, false, 2,
		"engines die once an answer has reached size rows, and come back cold after a time"},
	"errors":      {true, false, 0.5, "engines fail a share of their queries at once"},
	"lost":        {true, false, 0.2, "a share of the answers never comes"},
	"cut":         {true, false, 0.2, "a share of the answers is cut off in the middle"},
	"flush":       {true, false, 0, "engines forget what they kept warm"},
	"drain":       {true, false, 0, "engines are told to drain, and come back as new processes after a time"},
	"roster-away": {false, false, 0, "the roster is out of reach"},
	"roster-late": {false, false, 3, "the roster tells changes size seconds late"},
	"return":      {false, false, 0, "every second dispatcher is killed, and comes back with nothing learnt"},
	"kill":        {false, true, 0, "a dispatcher is killed, and comes back with its kept list after a time"},
	"burst":       {false, false, 2, "arrivals are size times as many"},
	"hot":         {false, true, 0.8, "one dispatcher gets a share of all arrivals"},
	"give-up":     {false, false, 0.3, "a share of the clients gives up early: by cancel, or by going away"},
	"garbage":     {true, false, 0, "engines answer with bytes that are no protocol"},
	"slow-cancel": {true, false, 0.3, "cancel requests are taken size seconds late"},
}

// validGossip reports whether a word says how dispatchers talk.
func validGossip(v string) bool { return slices.Contains([]string{"", "no", "cold", "ask"}, v) }

// baseFile is what several days share: the fleet, the traffic and the settings' name.
type baseFile struct {
	Fleet    *fleetFile    `hcl:"fleet,block"`
	Traffic  []trafficFile `hcl:"traffic,block"`
	Settings string        `hcl:"settings"`
}

func decode(name string, src []byte, into any) error {
	parsed, diags := hclparse.NewParser().ParseHCL(src, name)
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(parsed.Body, nil, into)
	}
	if diags.HasErrors() {
		return diags
	}
	return nil
}

// ParseDay reads and checks a day. Its base, and settings that are a single word, name files that shared
// finds.
func ParseDay(name string, src []byte, shared func(name string) ([]byte, error)) (*Day, error) {
	var f dayFile
	if err := decode(name+".hcl", src, &f); err != nil {
		return nil, err
	}
	if f.Base != "" {
		b, err := shared(f.Base)
		if err != nil {
			return nil, err
		}
		var base baseFile
		if err := decode(f.Base, b, &base); err != nil {
			return nil, err
		}
		if f.Fleet == nil {
			f.Fleet = base.Fleet
		}
		f.Traffic = append(base.Traffic, f.Traffic...) // a day's own comes to that of its base
		if f.Settings == "" {
			f.Settings = base.Settings
		}
	}
	if f.Fleet == nil || f.Settings == "" {
		return nil, fmt.Errorf("%s.hcl: a fleet and settings are wanted, or a base that has them", name)
	}
	if f.Flight < 0 || f.Flight > 1 {
		return nil, fmt.Errorf("%s: flight is a share from 0 to 1", name)
	}
	if !validGossip(f.Gossip) {
		return nil, fmt.Errorf("%s: talk is no, cold or ask", name)
	}
	d := &Day{Name: name, Title: f.Title, Short: f.Short, Flight: f.Flight, Gossip: f.Gossip,
		Engines:     f.Fleet.Engines,
		Dispatchers: f.Fleet.Dispatchers,
		MemoryMB:    f.Fleet.MemoryMB, Kinds: f.Fleet.Kinds,
		Zones:    max(f.Fleet.Zones, 1),
		Settings: f.Settings, Random: f.Random, Expects: map[string]float64{}}
	var errs []error
	fault := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf(name+".hcl: "+format,
			args...))
	}
	duration := func(what, v string) time.Duration {
		t, err := time.ParseDuration(v)
		if err != nil || t < 0 {
			fault("%s: %q is no time", what, v)
		}
		return t
	}
	d.Length = duration("length", f.Length)
	if d.Short <= 0 || d.Short > 1 {
		d.Short = 0.2
	}
	if d.Engines < 1 || d.Dispatchers < 1 || len(d.Kinds) == 0 {
		fault("fleet: engines, dispatchers and kinds wanted")
	}
	if !strings.Contains(d.Settings, "\n") {
		b, err := shared(d.Settings)
		if err != nil {
			return nil, errors.Join(append(errs, err)...)
		}
		d.Settings = string(b)
	}
	for name, value := range f.Set { // one setting of a shared file, told otherwise
		line := regexp.MustCompile(`(?m)^(\s*` + regexp.QuoteMeta(name) + `\s*=\s*).*$`)
		if len(line.FindAllString(d.Settings, -1)) != 1 {
			fault("set: the settings do not have one %s", name)
		}
		d.Settings = line.ReplaceAllString(d.Settings, "${1}"+value)
	}
	cfg, err := config.Parse(name+".hcl settings", []byte(d.Settings))
	if err != nil {
		return nil, errors.Join(append(errs, err)...)
	}
	d.Module = cfg.Module
	for _, k := range d.Kinds {
		if !slices.Contains(d.Module.KindNames, k) {
			fault("fleet: the settings have no kind %q", k)
		}
	}
	classes := map[string]bool{}
	for _, c := range d.Module.Classes {
		classes[c.Name] = true
	}
	for _, t := range f.Traffic {
		if !classes[t.Class] {
			fault("traffic %q: the settings have no such class", t.Class)
		}
		if t.Rate < 0 || t.WorkMS < 0 || t.Told < 0 {
			fault("traffic %q: a figure is negative", t.Class)
		}
		d.Traffic = append(d.Traffic, Traffic{Class: t.Class, Rate: t.Rate, Work: t.WorkMS / 1000,
			Spread:  t.Spread,
			Threads: max(t.Threads, 1), Rows: max(t.Rows, 1), Keys: t.Keys, Tables: t.Tables, Loads: t.Loads,
			Writes: t.Writes, Session: t.Session,
			Repeats: t.Repeats, Told: t.Told})
	}
	for i, t := range f.Faults {
		k, ok := kinds[t.Kind]
		v := Fault{Kind: t.Kind, At: duration("at", t.At), Engines: t.Engines, Dispatcher: t.Dispatcher,
			Size:  t.Size,
			Class: t.Class}
		if t.For != "" {
			v.For = duration("for", t.For)
		}
		if !ok {
			fault("trouble %d: there is no kind %q", i+1, t.Kind)
		}
		if k.engines && len(t.Engines) == 0 {
			fault("trouble %d (%s): engines wanted", i+1, t.Kind)
		}
		for _, e := range t.Engines {
			if e < 0 || e >= d.Engines {
				fault("trouble %d (%s): there is no engine %d", i+1, t.Kind, e)
			}
		}
		if t.Dispatcher < 0 || t.Dispatcher >= d.Dispatchers {
			fault("trouble %d (%s): there is no dispatcher %d", i+1, t.Kind, t.Dispatcher)
		}
		if v.Size == 0 {
			v.Size = k.size
		}
		d.Faults = append(d.Faults, v)
	}
	for _, e := range f.Expects {
		if !classes[e.Class] {
			fault("expect %q: the settings have no such class", e.Class)
		}
		d.Expects[e.Class] = e.Served
	}
	return d, errors.Join(errs...)
}

// cores is what an engine of the day has.
func (d *Day) cores(engine int) float64 {
	return d.Module.KindCores[slices.Index(d.Module.KindNames, d.kind(engine))]
}

func (d *Day) kind(engine int) string { return d.Kinds[engine%len(d.Kinds)] }

// zone is an engine's zone; dispatchers go round the zones in the same way.
func (d *Day) zone(i int) string { return string(rune('a' + i%d.Zones)) }

// Drawn returns the day with its random troubles drawn from a seed.
func (d *Day) Drawn(seed uint64) *Day {
	out := *d
	r := rand.New(rand.NewPCG(seed, 23))
	out.Faults = append([]Fault(nil), d.Faults...)
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	for range d.Random {
		t := Fault{Kind: names[r.IntN(len(names))], Dispatcher: r.IntN(d.Dispatchers)}
		t.Size = kinds[t.Kind].size
		t.At = time.Duration((0.1 + 0.6*r.Float64()) * float64(d.Length))
		t.For = time.Duration((0.05 + 0.15*r.Float64()) * float64(d.Length))
		t.Engines = r.Perm(d.Engines)[:1+r.IntN(max(1, d.Engines/3))]
		out.Faults = append(out.Faults, t)
	}
	return &out
}

// Scaled returns the day played so much shorter. Rates and the rules' figures stay.
func (d *Day) Scaled(by float64) *Day {
	out := *d
	shrink := func(t time.Duration) time.Duration { return time.Duration(float64(t) * by) }
	out.Length = shrink(d.Length)
	out.Faults = nil
	for _, t := range d.Faults {
		t.At, t.For = shrink(t.At), shrink(t.For)
		out.Faults = append(out.Faults, t)
	}
	return &out
}

// Parameters are the rules' for the judge.
func (d *Day) Parameters() rulecheck.Parameters {
	return ParametersFromConfig(&d.Module)
}

// ParametersFromConfig returns the judge's figures for a dispatcher's settings.
func ParametersFromConfig(m *cresspass.Config) rulecheck.Parameters {
	r := m.Rules
	f := rulecheck.Parameters{Classes: map[string]rulecheck.Class{}, AnswerGrace: r.AnswerGrace,
		DrainGrace: r.DrainGrace,
		ColdFrom:   r.SlowStartFrom, ColdFor: r.SlowStartDuration, ColdMultiple: r.SlowStartOverloadFactor,
		ColdWindow: r.SlowStartWindow,
		OrderRest:  r.OrderSettleDelay, HasBudget: r.HasRetryBudget, BudgetFree: r.RetryBudgetFree,
		BudgetShare:    r.RetryBudgetRatio,
		BudgetLookBack: r.RetryBudgetWindow, Skew: 50 * time.Millisecond}
	for _, c := range m.Classes {
		f.Classes[c.Name] = rulecheck.Class{Effect: [...]string{"safe", "keyed", "unsafe"}[c.Effect],
			Scope: [...]string{"all", "zone", "cell"}[c.DeduplicationScope], Window: c.DeduplicationWindow,
			Deadline: c.Deadline,
			InOrder:  c.OrderedByKey,
			Kinds:    c.AllowedKinds, Zones: c.AllowedZones}
	}
	return f
}
