// Package rehearsal plays a day of faults through real dispatchers, each a process of its own, with
// stand-in engines and discovery behind them and client libraries before them, and has the rules checked
// from the bytes on the sockets (package rulecheck). It must not take a verdict from the dispatchers' own
// books: those would agree with the dispatchers' own mistakes. Operators and tests use it; the product
// does not import it.
package rehearsal

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"cresspass"
	"cresspass/internal/rehearsal/rulecheck"
)

// Traffic is what the clients of one class send.
type Traffic struct {
	Class      string
	Rate       float64 // queries a second, all dispatchers together
	Work       float64 // mean thread seconds
	Spread     float64 // sigma of the logarithm of the work
	Threads    float64
	Rows       int
	Keys       int // queries carry one of so many keys; 0: none
	Tables     int // and one of so many table groups
	Loads      bool
	Writes     bool
	Session    bool    // a transaction of several statements each time
	Retries    int     // a rejected query is sent again so many times
	CostFactor float64 // its cost is given as so many times its work; 0: it is not given
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind       string
	At, For    time.Duration
	Engines    []int
	Dispatcher int
	Size       float64 // factor, share, seconds or rows, by kind
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
	Random      int      // the number of faults that are drawn from the seed
	Expects     map[string]float64
	Zones       int
	Traffic     []Traffic
	Faults      []Fault
	Settings    string
	Module      cresspass.Config
}

// cores is the number of cores of an engine.
func (d *Day) cores(engine int) float64 {
	return d.Module.KindCores[slices.Index(d.Module.KindNames, d.kind(engine))]
}

func (d *Day) kind(engine int) string { return d.Kinds[engine%len(d.Kinds)] }

// zone is the zone of an engine or a dispatcher: both go round the zones in the same way.
func (d *Day) zone(i int) string { return string(rune('a' + i%d.Zones)) }

// drawnFaultStream is the random stream of the faults that are drawn from a seed.
const drawnFaultStream = 23

// Drawn returns the day with its random faults drawn from a seed.
func (d *Day) Drawn(seed uint64) *Day {
	out := *d
	r := rand.New(rand.NewPCG(seed, drawnFaultStream))
	out.Faults = append([]Fault(nil), d.Faults...)
	var names []string
	for name := range faultKinds {
		names = append(names, name)
	}
	sort.Strings(names)
	for range d.Random {
		f := Fault{Kind: names[r.IntN(len(names))], Dispatcher: r.IntN(d.Dispatchers)}
		f.Size = faultKinds[f.Kind].size
		f.At = time.Duration((0.1 + 0.6*r.Float64()) * float64(d.Length))
		f.For = time.Duration((0.05 + 0.15*r.Float64()) * float64(d.Length))
		f.Engines = r.Perm(d.Engines)[:1+r.IntN(max(1, d.Engines/3))]
		out.Faults = append(out.Faults, f)
	}
	return &out
}

// Scaled returns the day played so much shorter. Rates and the parameters of the rules stay.
func (d *Day) Scaled(by float64) *Day {
	out := *d
	scale := func(t time.Duration) time.Duration { return time.Duration(float64(t) * by) }
	out.Length = scale(d.Length)
	out.Faults = nil
	for _, f := range d.Faults {
		f.At, f.For = scale(f.At), scale(f.For)
		out.Faults = append(out.Faults, f)
	}
	return &out
}

// Parameters are those of the rules, for the checker.
func (d *Day) Parameters() rulecheck.Parameters {
	return ParametersFromConfig(&d.Module)
}

// clockSkew is how much the times of two relays may differ for one moment.
const clockSkew = 50 * time.Millisecond

// ParametersFromConfig returns the parameters of the rules for a dispatcher's settings.
func ParametersFromConfig(m *cresspass.Config) rulecheck.Parameters {
	r := m.Rules
	p := rulecheck.Parameters{
		Classes:        map[string]rulecheck.Class{},
		AnswerGrace:    r.AnswerGrace,
		DrainGrace:     r.DrainGrace,
		ColdFrom:       r.SlowStartFrom,
		ColdFor:        r.SlowStartDuration,
		ColdMultiple:   r.SlowStartOverloadFactor,
		ColdWindow:     r.SlowStartWindow,
		OrderRest:      r.OrderSettleDelay,
		HasBudget:      r.HasRetryBudget,
		BudgetFree:     r.RetryBudgetFree,
		BudgetShare:    r.RetryBudgetRatio,
		BudgetLookBack: r.RetryBudgetWindow,
		Skew:           clockSkew,
	}
	for _, c := range m.Classes {
		p.Classes[c.Name] = rulecheck.Class{
			Effect:   [...]string{"safe", "keyed", "unsafe"}[c.Effect],
			Scope:    [...]string{"all", "zone", "cell"}[c.DeduplicationScope],
			Window:   c.DeduplicationWindow,
			Deadline: c.Deadline,
			InOrder:  c.OrderedByKey,
			Kinds:    c.AllowedKinds,
			Zones:    c.AllowedZones,
		}
	}
	return p
}
