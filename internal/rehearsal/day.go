// Package rehearsal plays days: it sends traffic through real dispatchers, each a process of its own, while
// faults are injected. Clients use real client libraries; engines and discovery are stand-ins. The rules are
// checked from the bytes on the sockets (package rulecheck), never from what the dispatchers record about
// themselves, because those records would repeat a dispatcher's mistakes. Operators and tests use the
// package; the dispatcher does not import it.
package rehearsal

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"cresspass"
	"cresspass/internal/rehearsal/rulecheck"
)

// Traffic describes what the clients of one class send.
type Traffic struct {
	Class      string
	Rate       float64 // queries per second, to all dispatchers together
	Work       float64 // mean work of a query, in thread seconds
	Spread     float64 // sigma of the work's log-normal distribution
	Threads    float64 // of a query
	Rows       int     // of an answer
	Keys       int     // number of keys, one of which each query has; 0: queries have no key
	Tables     int     // number of table groups, one of which each query names; 0: none
	Loads      bool    // queries are loads
	Writes     bool    // queries are writes
	Session    bool    // each arrival is a transaction of several statements
	Retries    int     // how often a rejected query is sent again at most
	CostFactor float64 // the cost that a query states, as a multiple of its work; 0: it states none
}

// Fault is one fault of a day.
type Fault struct {
	Kind       string        // a key of faultKinds
	At, For    time.Duration // start since the day's start, and duration
	Engines    []int
	Dispatcher int
	Size       float64 // factor, share, seconds or rows, depending on the kind
	Class      string
}

// Day is a day as ParseDay returns it: its fleet, traffic, faults and settings.
type Day struct {
	Name, Title string
	Length      time.Duration
	Short       float64 // factor by which --short scales the length and the times of the faults
	Flight      float64 // share of the queries that are sent by Flight SQL
	Gossip      string  // as Options.Gossip
	Engines     int
	Dispatchers int
	MemoryMB    float64            // of each engine
	Kinds       []string           // of the engines, in turn
	Random      int                // the number of faults that are drawn from the seed
	Expects     map[string]float64 // share of each class's requests that is to be served
	Zones       int                // number of zones
	Traffic     []Traffic
	Faults      []Fault
	Settings    string           // of the dispatchers, in HCL
	Module      cresspass.Config // the decision module's part of Settings
}

// cores returns the number of cores of an engine.
func (d *Day) cores(engine int) float64 {
	return d.Module.KindCores[slices.Index(d.Module.KindNames, d.kind(engine))]
}

// kind returns the kind of an engine.
func (d *Day) kind(engine int) string { return d.Kinds[engine%len(d.Kinds)] }

// zone returns the zone of an engine or a dispatcher by its index: both are assigned to the zones in turn.
func (d *Day) zone(i int) string { return string(rune('a' + i%d.Zones)) }

// drawnFaultStream is the random stream from which Drawn draws faults.
const drawnFaultStream = 23

// Drawn returns a copy of the day with Random more faults, which are drawn from the seed.
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

// Scaled returns a copy of the day in which the length and the times of the faults are multiplied by a
// factor. Rates and the parameters of the rules stay.
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

// Parameters returns the parameters of the rules for the day's settings.
func (d *Day) Parameters() rulecheck.Parameters {
	return ParametersFromConfig(&d.Module)
}

// clockSkew is the largest difference between the times that two relays record for the same moment.
const clockSkew = 50 * time.Millisecond

// checkedEffects and checkedScopes map the settings of a class to the checker's values.
var (
	checkedEffects = [...]rulecheck.Effect{
		cresspass.Idempotent:        rulecheck.EffectIdempotent,
		cresspass.IdempotentWithKey: rulecheck.EffectIdempotentWithKey,
		cresspass.NotIdempotent:     rulecheck.EffectNotIdempotent,
	}
	checkedScopes = [...]rulecheck.Scope{
		cresspass.ScopeAll:  rulecheck.ScopeAll,
		cresspass.ScopeZone: rulecheck.ScopeZone,
		cresspass.ScopeCell: rulecheck.ScopeCell,
	}
)

// ParametersFromConfig returns the parameters of the rules for a dispatcher's settings.
func ParametersFromConfig(m *cresspass.Config) rulecheck.Parameters {
	r := m.Rules
	p := rulecheck.Parameters{
		Classes:                 map[string]rulecheck.Class{},
		AnswerGrace:             r.AnswerGrace,
		DrainGrace:              r.DrainGrace,
		SlowStartFrom:           r.SlowStartFrom,
		SlowStartDuration:       r.SlowStartDuration,
		SlowStartOverloadFactor: r.SlowStartOverloadFactor,
		SlowStartWindow:         r.SlowStartWindow,
		OrderSettleDelay:        r.OrderSettleDelay,
		HasRetryBudget:          r.HasRetryBudget,
		RetryBudgetFree:         r.RetryBudgetFree,
		RetryBudgetRatio:        r.RetryBudgetRatio,
		RetryBudgetWindow:       r.RetryBudgetWindow,
		ClockSkew:               clockSkew,
	}
	for _, c := range m.Classes {
		p.Classes[c.Name] = rulecheck.Class{
			Effect:              checkedEffects[c.Effect],
			DeduplicationScope:  checkedScopes[c.DeduplicationScope],
			DeduplicationWindow: c.DeduplicationWindow,
			Deadline:            c.Deadline,
			OrderedByKey:        c.OrderedByKey,
			AllowedKinds:        c.AllowedKinds,
			AllowedZones:        c.AllowedZones,
		}
	}
	return p
}
