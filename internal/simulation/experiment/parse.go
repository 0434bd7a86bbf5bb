package experiment

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"cresspass/internal/config"
	"cresspass/internal/rehearsal"
	"cresspass/internal/simulation"
)

// Defaults and bounds of the settings of an experiment.
const (
	defaultSeeds  = 20
	minSeeds      = 2
	maxWarmUp     = 10 * time.Second // upper bound of the default warm-up
	warmUpDivisor = 6                // the default warm-up is at most the length divided by this
)

// experimentFile holds the settings of an experiment file.
type experimentFile struct {
	Title     string    `hcl:"title,optional"`
	Day       string    `hcl:"day"`
	Recording string    `hcl:"recording,optional"`
	Length    string    `hcl:"length,optional"`
	WarmUp    string    `hcl:"warm_up,optional"`
	Seeds     int       `hcl:"seeds,optional"`
	HalfWidth float64   `hcl:"half_width,optional"`
	Arms      []armFile `hcl:"arm,block"`
	Sweep     *struct {
		Over   string    `hcl:"over,label"`
		Values []float64 `hcl:"values"`
	} `hcl:"sweep,block"`
}

// armFile holds the settings of an arm block.
type armFile struct {
	Name        string            `hcl:"name,label"`
	Policy      string            `hcl:"policy,optional"`
	Binary      string            `hcl:"binary,optional"`
	Gossip      string            `hcl:"talk,optional"`
	Dispatchers int               `hcl:"dispatchers,optional"`
	Engines     int               `hcl:"engines,optional"`
	Rate        float64           `hcl:"rate,optional"`
	Imbalance   float64           `hcl:"uneven,optional"`
	ListDelay   string            `hcl:"list_late,optional"`
	ReportDelay string            `hcl:"report_late,optional"`
	Loss        float64           `hcl:"loss,optional"`
	CostFactor  float64           `hcl:"told,optional"`
	OmitFaults  bool              `hcl:"calm,optional"`
	Set         map[string]string `hcl:"set,optional"`
}

// sweepableFields are the functions that set a field of an arm to a swept value, by field.
var sweepableFields = map[string]func(a *armFile, v float64){
	"rate":        func(a *armFile, v float64) { a.Rate = v },
	"dispatchers": func(a *armFile, v float64) { a.Dispatchers = int(v) },
	"engines":     func(a *armFile, v float64) { a.Engines = int(v) },
	"uneven":      func(a *armFile, v float64) { a.Imbalance = v },
	"list_late":   func(a *armFile, v float64) { a.ListDelay = fmt.Sprintf("%gs", v) },
	"report_late": func(a *armFile, v float64) { a.ReportDelay = fmt.Sprintf("%gs", v) },
	"loss":        func(a *armFile, v float64) { a.Loss = v },
}

// parser checks an experiment and collects its errors.
type parser struct {
	name string
	file experimentFile
	from Sources
	errs []error
}

// Parse reads and checks an experiment. If the file can't be decoded, or its day can't be read, Parse returns
// that error alone; otherwise the error joins everything that is wrong with the experiment.
func Parse(name string, src []byte, from Sources) (*Experiment, error) {
	p := &parser{name: name, from: from}
	parsed, diags := hclparse.NewParser().ParseHCL(src, name)
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(parsed.Body, nil, &p.file)
	}
	if diags.HasErrors() {
		return nil, diags
	}
	f := &p.file
	e := &Experiment{Name: name, Title: f.Title, Seeds: f.Seeds, HalfWidth: f.HalfWidth}
	var err error
	if e.Day, err = p.day(&armFile{}); err != nil {
		return nil, err
	}
	e.Length = p.duration("length", f.Length, e.Day.Length)
	e.WarmUp = p.duration("warm_up", f.WarmUp, min(maxWarmUp, e.Length/warmUpDivisor))
	if e.Seeds == 0 {
		e.Seeds = defaultSeeds
	}
	if e.Seeds < minSeeds || e.HalfWidth < 0 || e.WarmUp >= e.Length {
		p.fail("seeds must be at least 2, half_width at least 0, and warm_up shorter than the length")
	}
	e.Arms = p.arms()
	if f.Sweep != nil {
		if sweepableFields[f.Sweep.Over] == nil || len(f.Sweep.Values) == 0 {
			p.fail("sweep over %q: one of rate, dispatchers, engines, uneven, list_late, report_late, loss, "+
				"and its values, are wanted", f.Sweep.Over)
		}
		e.SweptField, e.SweptValues = f.Sweep.Over, f.Sweep.Values
	}
	if f.Recording != "" {
		e.Recorded, err = from.Recording(f.Recording)
		p.errs = append(p.errs, err)
	}
	return e, errors.Join(p.errs...)
}

func (p *parser) fail(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%s: "+format, append([]any{p.name}, args...)...))
}

// duration parses a duration that is not negative; "" means defaultValue.
func (p *parser) duration(field, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		p.fail("%s: %q is no time", field, text)
	}
	return d
}

// day reads the experiment's day with the settings that an arm overrides.
func (p *parser) day(arm *armFile) (*rehearsal.Day, error) {
	src, err := p.from.Day(p.file.Day)
	if err != nil {
		return nil, err
	}
	d, err := rehearsal.ParseDay(p.file.Day, src, p.from.Shared)
	if err != nil || len(arm.Set) == 0 {
		return d, err
	}
	for setting, value := range arm.Set {
		line := regexp.MustCompile(`(?m)^(\s*` + regexp.QuoteMeta(setting) + `\s*=\s*).*$`)
		if len(line.FindAllString(d.Settings, -1)) != 1 {
			// Unlike other errors, which begin with the experiment's name, this one begins with the setting.
			return nil, fmt.Errorf("%s: arm %q: the settings do not have one %s", setting, arm.Name, setting)
		}
		d.Settings = line.ReplaceAllString(d.Settings, "${1}"+value)
	}
	cfg, err := config.Parse(p.file.Day+" settings", []byte(d.Settings))
	if err != nil {
		return nil, err
	}
	d.Module = cfg.Module
	return d, nil
}

// arms checks and returns the arms. If the file has none, it returns one arm that changes nothing.
func (p *parser) arms() (arms []Arm) {
	files := p.file.Arms
	if len(files) == 0 {
		files = []armFile{{Name: "as it is"}}
	}
	seen := map[string]bool{}
	for _, a := range files {
		if seen[a.Name] {
			p.fail("arm %q is given twice", a.Name)
		}
		seen[a.Name] = true
		p.checkArm(&a)
		d, err := p.day(&a)
		p.errs = append(p.errs, err)
		arms = append(arms, Arm{a.Name, a, d})
	}
	return arms
}

// checkArm checks the settings of an arm.
func (p *parser) checkArm(a *armFile) {
	if !slices.Contains(simulation.Policies, a.Policy) {
		p.fail("arm %q: there is no policy %q", a.Name, a.Policy)
	}
	if a.Binary != "" && a.Policy != "" {
		p.fail("arm %q: binary and policy are mutually exclusive", a.Name)
	}
	if !slices.Contains([]string{"", "no", "cold", "ask"}, a.Gossip) {
		p.fail("arm %q: talk is no, cold or ask", a.Name)
	}
	if a.Rate < 0 || a.Imbalance < 0 || a.Imbalance > 1 || a.Loss < 0 || a.Loss > 1 || a.Dispatchers < 0 ||
		a.Engines < 0 {
		p.fail("arm %q: a figure is out of its bounds", a.Name)
	}
	p.duration("list_late", a.ListDelay, 0)
	p.duration("report_late", a.ReportDelay, 0)
}
