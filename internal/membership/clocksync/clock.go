// Package clocksync has the members of a fleet agree on one clock, by which they take turns. Each
// process's own begins at its birth, and wall clocks may be an hour off; so nobody's is the clock, but the
// median of what all say theirs is. It does no I/O and reads no clock.
package clocksync

import (
	"slices"
	"time"
)

const (
	sampleTTL = 10 * time.Second       // a word counts for so long
	tolerance = 250 * time.Millisecond // closer clocks are alike: words are late by their way
	maxClock  = 1 << 62                // later times cannot be
)

// sample is what a member said that the fleet's clock is, as what is to be added to ours.
type sample struct{ receivedAt, offset time.Duration }

// Clock is one member's. Make one with New. It is for one goroutine at a time.
type Clock struct {
	offset  time.Duration
	samples map[string]sample
	scratch []time.Duration // of Step
}

// New returns the clock of a member that has heard nobody: its own.
func New() *Clock { return &Clock{samples: map[string]sample{}} }

// At is the fleet's clock at a time of ours.
func (c *Clock) At(now time.Duration) time.Duration { return now + c.offset }

// AddSample takes what a member says that the fleet's clock is now.
func (c *Clock) AddSample(now time.Duration, name string, says time.Duration) {
	if says >= 0 && says < maxClock {
		c.samples[name] = sample{now, says - now}
	}
}

// Forget drops a member's word.
func (c *Clock) Forget(name string) { delete(c.samples, name) }

// Sync follows the median of all words, ours among them, and reports whether the clock was moved. Of an
// even number the later of the two in the middle counts, so that two halves of a healed split, or a fleet
// of two, choose alike. Danger: a median that was followed at each step would be behind by the way of the
// words, again and again, and the fleet's clock would run slow.
func (c *Clock) Sync(now time.Duration) (moved bool) {
	all, close := append(c.scratch[:0], c.offset), 1
	for name, w := range c.samples {
		if now-w.receivedAt > sampleTTL {
			delete(c.samples, name)
			continue
		}
		all = append(all, w.offset)
		if d := w.offset - c.offset; d > -tolerance && d < tolerance {
			close++
		}
	}
	if c.scratch = all; 2*close > len(all) { // the median is one of them
		return false
	}
	slices.Sort(all)
	median := all[len(all)/2]
	if d := median - c.offset; d > -tolerance && d < tolerance {
		return false
	}
	c.offset = median
	return true
}
