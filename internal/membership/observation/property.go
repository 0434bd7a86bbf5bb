// Package observation stores what dispatchers have observed of engines, both a dispatcher's own
// observations and those that peers report, and draws conclusions from them. Each record names its observer
// and the time of its evidence. Reports never outweigh an observation made here.
//
// It owns the merging and weighing of reports, and the digests that peers compare. It does no I/O and reads
// no clock: times are by the dispatcher's own clock, and dispatchers send each other ages, so that their
// clocks need not agree.
package observation

import (
	"math"
	"time"

	"cresspass/internal/membership/modelstate"
)

// Property is what an observation is about. Its values are sent between dispatchers and must not change.
type Property uint8

// The properties.
const (
	Health         Property = 0 // Healthy or Unhealthy
	Load           Property = 1 // running threads
	Uptime         Property = 2 // seconds since the engine's start
	ModelParameter Property = 3 // a learnt parameter, of no engine; see package modelstate
	propertyCount           = 4
)

// Values of Health.
const (
	Unhealthy = 0.0 // does not answer
	Healthy   = 1.0 // answers
)

// healthThreshold is the value of Health below which an engine counts as unhealthy.
const healthThreshold = (Unhealthy + Healthy) / 2

// propertySpecs hold, for each property, how long its evidence counts (ttl), in what time the evidence loses
// half of its weight (halfLife), and which values are valid.
var propertySpecs = [propertyCount]struct {
	ttl, halfLife time.Duration
	min, max      float64
	// tolerance is the difference up to which values agree, as a fraction of the value or of 1, whichever
	// is greater.
	tolerance float64
}{
	Health:         {10 * time.Second, 4 * time.Second, Unhealthy, Healthy, 0},
	Load:           {3 * time.Second, time.Second, 0, 4096, 0.5},
	Uptime:         {time.Hour, 30 * time.Minute, 0, 1e8, 0.1},
	ModelParameter: {2 * time.Hour, 10 * time.Minute, 0, 1e12, 0.5},
}

// Key names a property of an engine, or a model parameter.
type Key struct {
	Engine    string // "": of a model parameter
	Property  Property
	Parameter string // name of a model parameter
}

// valid reports whether a value is possible for a key.
func valid(key Key, value float64) bool {
	if key.Property >= propertyCount || math.IsNaN(value) {
		return false
	}
	spec := &propertySpecs[key.Property]
	if value < spec.min || value > spec.max {
		return false
	}
	isParameter := key.Property == ModelParameter
	if isParameter != (key.Engine == "") {
		return false
	}
	return !isParameter || modelstate.Valid(key.Parameter, value)
}
