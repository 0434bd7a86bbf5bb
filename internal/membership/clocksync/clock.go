// Package clocksync has the members of a fleet agree on one clock, by which they take turns. Each
// process's own begins at its birth, and wall clocks may be an hour off; so nobody's is the clock, but the
// median of what all say theirs is. It does no I/O and reads no clock.
package clocksync

import (
	"slices"
	"time"
)

const (
	keep = 10 * time.Second       // a word counts for so long
	near = 250 * time.Millisecond // closer clocks are alike: words are late by their way
	most = 1 << 62                // later times cannot be
)

// word is what a member said that the fleet's clock is, as what is to be added to ours.
type word struct{ at, ahead time.Duration }

// Clock is one member's. Make one with New. It is for one goroutine at a time.
type Clock struct {
	ahead time.Duration
	words map[string]word
	all   []time.Duration // of Step
}

// New returns the clock of a member that has heard nobody: its own.
func New() *Clock { return &Clock{words: map[string]word{}} }

// At is the fleet's clock at a time of ours.
func (c *Clock) At(now time.Duration) time.Duration { return now + c.ahead }

// Hear takes what a member says that the fleet's clock is now.
func (c *Clock) Hear(now time.Duration, name string, says time.Duration) {
	if says >= 0 && says < most {
		c.words[name] = word{now, says - now}
	}
}

// Forget drops a member's word.
func (c *Clock) Forget(name string) { delete(c.words, name) }

// Step follows the median of all words, ours among them, and reports whether the clock was moved. Of an
// even number the later of the two in the middle counts, so that two halves of a healed split, or a fleet
// of two, choose alike. Danger: a median that was followed at each step would be behind by the way of the
// words, again and again, and the fleet's clock would run slow.
func (c *Clock) Step(now time.Duration) (moved bool) {
	all, close := append(c.all[:0], c.ahead), 1
	for name, w := range c.words {
		if now-w.at > keep {
			delete(c.words, name)
			continue
		}
		all = append(all, w.ahead)
		if d := w.ahead - c.ahead; d > -near && d < near {
			close++
		}
	}
	if c.all = all; 2*close > len(all) { // the median is one of them
		return false
	}
	slices.Sort(all)
	median := all[len(all)/2]
	if d := median - c.ahead; d > -near && d < near {
		return false
	}
	c.ahead = median
	return true
}
