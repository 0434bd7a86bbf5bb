// Package experiment reads experiments and runs them in the simulation. An experiment names a rehearsal's
// day, optionally a recording, and the arms that are compared on the same seeds. Seeds are added until the
// confidence intervals are narrow enough. The package also calibrates the simulation against real processes.
package experiment

import (
	"math"
	"time"

	"cresspass/internal/recording"
	"cresspass/internal/rehearsal"
	"cresspass/internal/simulation"
)

// Arm is one of the variants that an experiment compares.
type Arm struct {
	Name string
	file armFile
	day  *rehearsal.Day // with the arm's settings
}

// Experiment is an experiment that Parse has checked.
type Experiment struct {
	Name, Title string
	Day         *rehearsal.Day
	Length      time.Duration // simulated
	WarmUp      time.Duration // left out of all figures
	Seeds       int           // maximum number of seeds
	SeedOffset  uint64        // seeds start at SeedOffset+1
	HalfWidth   float64       // sufficient half width of an estimate, in shares; 0: use all seeds
	Arms        []Arm
	SweptField  string // "": none
	SweptValues []float64
	Recorded    []recording.Entry // queries that replace the clients of the day; nil: the day's clients
}

// Sources holds the functions that read the files that an experiment names.
type Sources struct {
	Day       func(name string) ([]byte, error)
	Shared    func(name string) ([]byte, error) // settings that days share
	Recording func(path string) ([]recording.Entry, error)
}

// Config returns the configuration of the simulation of an arm at a swept value, with a seed.
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
		c.Engines = resize(c.Engines, a.Engines)
	}
	for i := range c.Traffic {
		if a.Rate > 0 {
			c.Traffic[i].Rate *= a.Rate
		}
		if a.CostFactor > 0 {
			c.Traffic[i].CostEstimateFactor = a.CostFactor
		}
	}
	c.Imbalance = a.Imbalance
	c.ListDelay, _ = time.ParseDuration(a.ListDelay) // Parse has checked it; "" gives 0
	c.ReportDelay, _ = time.ParseDuration(a.ReportDelay)
	c.Network.Loss = math.Max(c.Network.Loss, a.Loss)
	if a.OmitFaults {
		c.Faults = nil
	}
	mode := d.Gossip
	if a.Gossip != "" {
		mode = a.Gossip
	}
	c.Gossip = gossipModes[mode]
	if e.Recorded != nil {
		return c, applyRecording(&c, e.Recorded)
	}
	return c, nil
}

// resize returns n engines, which repeat the given ones in their order.
func resize(engines []simulation.Engine, n int) (out []simulation.Engine) {
	for i := range n {
		e := engines[i%len(engines)]
		e.Cell = i / enginesPerCell
		out = append(out, e)
	}
	return out
}
