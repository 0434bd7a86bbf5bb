// Package observation holds what dispatchers have observed of engines, their own observations and those that
// peers report, and decides what to conclude from them. Each record names its observer and the time of its
// evidence; an observation made here is never outweighed by reports.
//
// It owns the merging of reports, their weighing and the digests that peers compare. It does no I/O and
// reads no clock: times are the dispatcher's own, and what travels between dispatchers are ages, so that
// clocks need not agree.
package observation

import (
	"math"
	"time"

	"cresspass/internal/membership/modelstate"
)

// Property is what an observation is about. Its numbers are sent between dispatchers.
type Property uint8

// The properties.
const (
	Health         Property = 0 // Healthy or Unhealthy
	Load           Property = 1 // running threads
	Uptime         Property = 2 // seconds since the engine's start
	ModelParameter Property = 3 // a learnt parameter of no engine; see package modelstate
	propertyCount           = 4
)

// Values of Health.
const (
	Unhealthy = 0.0 // does not answer
	Healthy   = 1.0 // answers
)

// healthThreshold is the value of Health below which an engine counts as unhealthy.
const healthThreshold = (Unhealthy + Healthy) / 2

// propertyTerms are how long evidence of a property counts, how fast it fades, and what its values can be.
var propertyTerms = [propertyCount]struct {
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

// valid reports whether an observation can have a value.
func valid(key Key, value float64) bool {
	if key.Property >= propertyCount || math.IsNaN(value) {
		return false
	}
	terms := &propertyTerms[key.Property]
	if value < terms.min || value > terms.max {
		return false
	}
	isParameter := key.Property == ModelParameter
	if isParameter != (key.Engine == "") {
		return false
	}
	return !isParameter || modelstate.Valid(key.Parameter, value)
}
