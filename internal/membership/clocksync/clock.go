// Package clocksync has the members of a fleet agree on one clock, by which they take turns as aggregators.
// Each process's own clock begins when it starts, and wall clocks may be an hour off; so no member's clock
// is the reference, but the median of what all members say theirs is. It does no I/O and reads no clock.
package clocksync

import (
	"slices"
	"time"
)

const (
	// sampleTTL is how long a member's sample counts.
	sampleTTL = 10 * time.Second
	// tolerance is the difference below which clocks agree: samples are late by their time on the network.
	tolerance = 250 * time.Millisecond
	// maxClock bounds the clocks that are accepted, so that differences cannot overflow.
	maxClock = 1 << 62
)

// sample is a member's clock, as its offset from ours.
type sample struct{ receivedAt, offset time.Duration }

// Clock is one member's estimate of the fleet's clock. Make one with New. It is not safe for concurrent use.
type Clock struct {
	offset  time.Duration // of the fleet's clock from ours
	samples map[string]sample
	scratch []time.Duration // reused by Sync
}

// New returns the clock of a member that has heard of no other: its own.
func New() *Clock { return &Clock{samples: map[string]sample{}} }

// At returns the fleet's clock at a time of the member's own.
func (c *Clock) At(now time.Duration) time.Duration { return now + c.offset }

// AddSample records that a member says that the fleet's clock is now at a time. Impossible times are
// ignored.
func (c *Clock) AddSample(now time.Duration, name string, clock time.Duration) {
	if clock >= 0 && clock < maxClock {
		c.samples[name] = sample{now, clock - now}
	}
}

// Forget drops a member's sample.
func (c *Clock) Forget(name string) { delete(c.samples, name) }

// Sync moves the clock to the median of all samples, its own among them, where they disagree, and reports
// whether it was moved. Of an even number the later of the two in the middle counts, so that two halves of a
// healed split, or a fleet of two, choose alike.
//
// A clock that agrees with most samples is left alone: one that followed the median at each step would fall
// behind by the samples' time on the network, again and again, and the fleet's clock would run slow.
func (c *Clock) Sync(now time.Duration) (moved bool) {
	offsets := c.scratch[:0]
	offsets = append(offsets, c.offset)
	agreeing := 1 // our own
	for name, s := range c.samples {
		if now-s.receivedAt > sampleTTL {
			delete(c.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
		if c.agrees(s.offset) {
			agreeing++
		}
	}
	c.scratch = offsets
	if 2*agreeing > len(offsets) { // the median is one of them
		return false
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if c.agrees(median) {
		return false
	}
	c.offset = median
	return true
}

// agrees reports whether an offset is, within tolerance, the clock's own.
func (c *Clock) agrees(offset time.Duration) bool {
	difference := offset - c.offset
	return difference > -tolerance && difference < tolerance
}
