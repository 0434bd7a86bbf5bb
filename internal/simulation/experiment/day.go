package experiment

import (
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/rehearsal"
	"cresspass/internal/simulation"
	"cresspass/internal/simulation/enginemodel"
)

// Parameters of the simulation of a day. Those of the engines are equal to the parameters of a rehearsal's
// stand-in engines.
const (
	spillCost       = 2.5 // see enginemodel.Kind
	cachedSets      = 4
	cacheSaving     = 0.3
	jobsPerCore     = 8 // more are rejected
	enginesPerCell  = 2
	transitTime     = 300 * time.Microsecond // from a dispatcher to an engine, one way
	calibrationTail = 20 * time.Second       // added to a day's length, for the answers to the last clients
)

// gossipModes are the gossip modes by their names in days and experiments. The names "" and "no" mean
// NoGossip.
var gossipModes = map[string]simulation.GossipMode{
	"cold": simulation.GossipOnly,
	"ask":  simulation.GossipAndBootstrap,
}

// FromDay returns the simulation of a rehearsal's day. Sessions of several statements, Flight SQL, and the
// faults of the kinds that OmittedFaults returns (clients that give up, bytes on the wire, and others) are
// not modeled; they are left out.
func FromDay(d *rehearsal.Day, seed uint64) simulation.Config {
	c := simulation.Config{
		Seed:        seed,
		Dispatchers: d.Dispatchers,
		Length:      d.Length,
		Network:     simulation.CalmNetwork(),
		TransitTime: transitTime,
		Module:      d.Module,
	}
	for i := range d.Engines {
		kind := d.Kinds[i%len(d.Kinds)]
		cores := d.Module.KindCores[slices.Index(d.Module.KindNames, kind)]
		c.Engines = append(c.Engines, simulation.Engine{
			Kind:    kind,
			Zone:    string(rune('a' + i%d.Zones)),
			Cell:    i / enginesPerCell,
			Machine: machine(cores, d.MemoryMB, &d.Module.Rules),
		})
	}
	for _, t := range d.Traffic {
		if t.Session {
			continue
		}
		c.Traffic = append(c.Traffic, simulation.Traffic{Class: t.Class, Rate: t.Rate, Work: t.Work,
			Spread: t.Spread, Threads: t.Threads, Retries: t.Retries, Keys: t.Keys, Tables: t.Tables,
			IsLoad: t.Loads, CostEstimateFactor: t.CostFactor})
	}
	for _, t := range d.Faults {
		if slices.Contains(simulation.FaultKinds(), t.Kind) {
			c.Faults = append(c.Faults, simulation.Fault{Kind: t.Kind, At: t.At, For: t.For,
				Engines: t.Engines, Dispatcher: t.Dispatcher, Size: t.Size, Class: t.Class})
		}
	}
	return c
}

// machine returns the machine of an engine that warms up according to the slow start of the rules.
func machine(cores, memoryMB float64, rules *cresspass.Rules) enginemodel.Kind {
	return enginemodel.Kind{
		Cores:                   cores,
		MemoryMB:                memoryMB,
		SpillCost:               spillCost,
		CachedDataSets:          cachedSets,
		CacheSaving:             cacheSaving,
		SlowStartFrom:           rules.SlowStartFrom,
		SlowStartDuration:       rules.SlowStartDuration,
		SlowStartOverloadFactor: rules.SlowStartOverloadFactor,
		SlowStartWindow:         rules.SlowStartWindow,
		MaxJobs:                 int(jobsPerCore * cores),
	}
}

// OmittedFaults returns the kinds of faults of a day that the simulation does not model.
func OmittedFaults(d *rehearsal.Day) (out []string) {
	for _, t := range d.Faults {
		if !slices.Contains(simulation.FaultKinds(), t.Kind) && !slices.Contains(out, t.Kind) {
			out = append(out, t.Kind)
		}
	}
	return out
}
