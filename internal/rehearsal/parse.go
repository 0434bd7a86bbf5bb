package rehearsal

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"cresspass/internal/config"
)

// dayFile is the HCL schema of a day.
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
	Class      string  `hcl:"class,label"`
	Rate       float64 `hcl:"rate"`
	WorkMS     float64 `hcl:"work_ms"`
	Spread     float64 `hcl:"spread,optional"`
	Threads    float64 `hcl:"threads,optional"`
	Rows       int     `hcl:"rows,optional"`
	Keys       int     `hcl:"keys,optional"`
	Tables     int     `hcl:"tables,optional"`
	Loads      bool    `hcl:"loads,optional"`
	Writes     bool    `hcl:"writes,optional"`
	Session    bool    `hcl:"session,optional"`
	Retries    int     `hcl:"repeats,optional"`
	CostFactor float64 `hcl:"told,optional"`
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

// baseFile is the HCL schema of a base, which several days share: the fleet, the traffic and the name of
// the settings.
type baseFile struct {
	Fleet    *fleetFile    `hcl:"fleet,block"`
	Traffic  []trafficFile `hcl:"traffic,block"`
	Settings string        `hcl:"settings"`
}

// defaultShort is the factor by which --short scales a day that names none, or one that is not above 0 and at
// most 1.
const defaultShort = 0.2

// decode decodes HCL. Its errors name the position in the source.
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

// sharedReader returns the contents of a file that several days share, by the file's name.
type sharedReader func(name string) ([]byte, error)

// dayParser collects the errors of a day, so that all of them are reported together.
type dayParser struct {
	name string
	errs []error
}

// errorf adds an error, with the name of the day's file before it.
func (p *dayParser) errorf(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf(p.name+".hcl: "+format, args...))
}

// duration parses a duration, which must not be negative. what names it in the error.
func (p *dayParser) duration(what, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		p.errorf("%s: %q is no time", what, text)
	}
	return d
}

// ParseDay parses and checks a day in HCL. The day's base, and its settings if they are one line, are names
// of files whose contents shared returns. ParseDay reports all errors of the traffic, faults and
// expectations together.
func ParseDay(name string, src []byte, shared func(name string) ([]byte, error)) (*Day, error) {
	f, err := readDayFile(name, src, shared)
	if err != nil {
		return nil, err
	}
	p := &dayParser{name: name}
	d := &Day{
		Name:        name,
		Title:       f.Title,
		Short:       f.Short,
		Flight:      f.Flight,
		Gossip:      f.Gossip,
		Engines:     f.Fleet.Engines,
		Dispatchers: f.Fleet.Dispatchers,
		MemoryMB:    f.Fleet.MemoryMB,
		Kinds:       f.Fleet.Kinds,
		Zones:       max(f.Fleet.Zones, 1),
		Random:      f.Random,
		Expects:     map[string]float64{},
	}
	d.Length = p.duration("length", f.Length)
	if d.Short <= 0 || d.Short > 1 {
		d.Short = defaultShort
	}
	if d.Engines < 1 || d.Dispatchers < 1 || len(d.Kinds) == 0 {
		p.errorf("fleet: engines, dispatchers and kinds wanted")
	}
	if err := p.parseSettings(d, f, shared); err != nil {
		return nil, errors.Join(append(p.errs, err)...)
	}
	classes := map[string]bool{}
	for _, c := range d.Module.Classes {
		classes[c.Name] = true
	}
	for _, t := range f.Traffic {
		d.Traffic = append(d.Traffic, p.parseTraffic(t, classes))
	}
	for i, t := range f.Faults {
		d.Faults = append(d.Faults, p.parseFault(i, t, d))
	}
	for _, e := range f.Expects {
		if !classes[e.Class] {
			p.errorf("expect %q: the settings have no such class", e.Class)
		}
		d.Expects[e.Class] = e.Served
	}
	return d, errors.Join(p.errs...)
}

// readDayFile decodes a day and merges its base into it.
func readDayFile(name string, src []byte, shared sharedReader) (*dayFile, error) {
	var f dayFile
	if err := decode(name+".hcl", src, &f); err != nil {
		return nil, err
	}
	if f.Base != "" {
		if err := f.addBase(shared); err != nil {
			return nil, err
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
	return &f, nil
}

// addBase takes the fleet and the settings from the base if the day has none, and puts the base's traffic
// before the day's own.
func (f *dayFile) addBase(shared sharedReader) error {
	src, err := shared(f.Base)
	if err != nil {
		return err
	}
	var base baseFile
	if err := decode(f.Base, src, &base); err != nil {
		return err
	}
	if f.Fleet == nil {
		f.Fleet = base.Fleet
	}
	f.Traffic = append(base.Traffic, f.Traffic...)
	if f.Settings == "" {
		f.Settings = base.Settings
	}
	return nil
}

// parseSettings reads the dispatchers' settings, after it has replaced the values that the day's set names.
func (p *dayParser) parseSettings(d *Day, f *dayFile, shared sharedReader) error {
	d.Settings = f.Settings
	if !strings.Contains(d.Settings, "\n") { // the name of a file, not its contents
		src, err := shared(d.Settings)
		if err != nil {
			return err
		}
		d.Settings = string(src)
	}
	for name, value := range f.Set {
		line := regexp.MustCompile(`(?m)^(\s*` + regexp.QuoteMeta(name) + `\s*=\s*).*$`)
		if len(line.FindAllString(d.Settings, -1)) != 1 {
			p.errorf("set: the settings do not have one %s", name)
		}
		d.Settings = line.ReplaceAllString(d.Settings, "${1}"+value)
	}
	cfg, err := config.Parse(p.name+".hcl settings", []byte(d.Settings))
	if err != nil {
		return err
	}
	d.Module = cfg.Module
	for _, k := range d.Kinds {
		if !slices.Contains(d.Module.KindNames, k) {
			p.errorf("fleet: the settings have no kind %q", k)
		}
	}
	return nil
}

// parseTraffic checks and converts one traffic block. Threads and rows are at least 1.
func (p *dayParser) parseTraffic(t trafficFile, classes map[string]bool) Traffic {
	if !classes[t.Class] {
		p.errorf("traffic %q: the settings have no such class", t.Class)
	}
	if t.Rate < 0 || t.WorkMS < 0 || t.CostFactor < 0 {
		p.errorf("traffic %q: a figure is negative", t.Class)
	}
	return Traffic{
		Class:      t.Class,
		Rate:       t.Rate,
		Work:       t.WorkMS / 1000,
		Spread:     t.Spread,
		Threads:    max(t.Threads, 1),
		Rows:       max(t.Rows, 1),
		Keys:       t.Keys,
		Tables:     t.Tables,
		Loads:      t.Loads,
		Writes:     t.Writes,
		Session:    t.Session,
		Retries:    t.Retries,
		CostFactor: t.CostFactor,
	}
}

// parseFault checks and converts the fault with index i. A fault without a size gets its kind's default.
func (p *dayParser) parseFault(i int, t faultFile, d *Day) Fault {
	kind, ok := faultKinds[t.Kind]
	f := Fault{Kind: t.Kind, At: p.duration("at", t.At), Engines: t.Engines, Dispatcher: t.Dispatcher,
		Size: t.Size, Class: t.Class}
	if t.For != "" {
		f.For = p.duration("for", t.For)
	}
	if !ok {
		p.errorf("trouble %d: there is no kind %q", i+1, t.Kind)
	}
	if kind.needsEngines && len(t.Engines) == 0 {
		p.errorf("trouble %d (%s): engines wanted", i+1, t.Kind)
	}
	for _, e := range t.Engines {
		if e < 0 || e >= d.Engines {
			p.errorf("trouble %d (%s): there is no engine %d", i+1, t.Kind, e)
		}
	}
	if t.Dispatcher < 0 || t.Dispatcher >= d.Dispatchers {
		p.errorf("trouble %d (%s): there is no dispatcher %d", i+1, t.Kind, t.Dispatcher)
	}
	if f.Size == 0 {
		f.Size = kind.size
	}
	return f
}
