// Package starttime converts the start times that compute nodes report, which are wall-clock times, to the
// dispatcher's monotonic time. The dispatcher's own wall clock may be wrong from the beginning and may step
// while the process runs, so the package uses a single reading of it and estimates the error of that reading.
// It does no I/O and reads no clock.
package starttime

import (
	"time"

	"cresspass"
)

// Converter converts start times. It is not safe for concurrent use.
//
// The caller reads the wall clock once, for New. From then on only monotonic time counts, so a step of the
// wall clock changes nothing. If the clock was already wrong at that moment, the ages that follow from it
// show the error. No start is reported before it happens, so a start time in the future shows that the clock
// is behind by at least as much. If only recent starts are reported (RecentStarts), a start time that is more
// than maxRecentAge old when it is first reported shows that the clock is ahead, and so does a start time
// that is more than maxFreshAge old in a report that was received without delay after it was sent
// (ObserveFresh). The least age of all nodes at their first reports is then used as the error of the clock.
// This correction may make a node look younger than it is, never older: reports that are delayed by that much
// look the same as a clock that is ahead.
type Converter struct {
	source Source

	wallBase      time.Time     // the wall clock at monotonicBase
	monotonicBase time.Duration // the monotonic time at which the wall clock was read

	minAge         time.Duration // least age of a node when its start was first reported
	hasMinAge      bool
	minFreshAge    time.Duration // the same, for reports that were received without delay
	hasMinFreshAge bool

	starts map[cresspass.EngineID]conversion
}

// Source is the set of nodes whose start times are reported.
type Source int

// The sources of start times.
const (
	RecentStarts Source = iota // only of nodes that started recently
	AllStarts                  // of every node
)

const (
	// maxRecentAge is the largest plausible age of a start that is reported as recent. A greater age shows
	// that the clock is wrong: no report takes so long.
	maxRecentAge = 10 * time.Minute
	// maxFreshAge is the same for a report that was received without delay after it was sent.
	maxFreshAge = 1500 * time.Millisecond
	// maxFutureStart is how far in the future a start time may be to count as evidence about the clock. A
	// clock is not wrong by more than that; a start time further ahead is converted to now.
	maxFutureStart = 24 * time.Hour
)

// conversion is the stored result for a start time, so that a start time that is reported again is not
// converted again.
type conversion struct {
	wall      time.Time
	monotonic time.Duration
}

// New returns a Converter for a wall clock that reads wall at the monotonic time now.
func New(source Source, wall time.Time, now time.Duration) *Converter {
	return &Converter{source: source, wallBase: wall.Round(0), monotonicBase: now,
		starts: map[cresspass.EngineID]conversion{}}
}

// Observe uses a reported start time to estimate the error of the wall clock, without converting it. If all
// start times of a list are observed before the first is converted, the order of the list does not matter.
func (c *Converter) Observe(now time.Duration, id cresspass.EngineID, started time.Time) {
	if c.converted(id, started) {
		return
	}
	if age := c.age(now, started); age > -maxFutureStart && (!c.hasMinAge || age < c.minAge) {
		c.minAge, c.hasMinAge = age, true
	}
}

// ObserveFresh is like Observe for a report that was received without delay after it was sent.
func (c *Converter) ObserveFresh(now time.Duration, id cresspass.EngineID, started time.Time) {
	if c.converted(id, started) {
		return
	}
	if age := c.age(now, started); age > -maxFutureStart && (!c.hasMinFreshAge || age < c.minFreshAge) {
		c.minFreshAge, c.hasMinFreshAge = age, true
	}
}

// converted reports whether a start time was converted before. Its age is then no evidence about the clock
// any more.
func (c *Converter) converted(id cresspass.EngineID, started time.Time) bool {
	return c.starts[id].wall.Equal(started)
}

// Convert returns the monotonic time of a node's start, which is greater than zero and not after now. It
// returns the same value each time that the same start time is reported.
func (c *Converter) Convert(now time.Duration, id cresspass.EngineID, started time.Time) time.Duration {
	if s, ok := c.starts[id]; ok && s.wall.Equal(started) {
		return s.monotonic
	}
	c.Observe(now, id, started)
	age := max(c.age(now, started)-c.clockLead(), 0)
	monotonic := max(now-age, 1)
	c.starts[id] = conversion{started, monotonic}
	return monotonic
}

// clockLead returns by how much the wall clock is estimated to be ahead; a negative value means behind.
func (c *Converter) clockLead() time.Duration {
	switch {
	case c.minAge < 0, c.source == RecentStarts && c.minAge > maxRecentAge:
		return c.minAge
	case c.source == RecentStarts && c.hasMinFreshAge && c.minFreshAge > maxFreshAge:
		return min(c.minFreshAge, c.minAge) // the clock is ahead by no more than the least age it gives
	}
	return 0
}

// Forget deletes the stored start time of a node that was removed.
func (c *Converter) Forget(id cresspass.EngineID) { delete(c.starts, id) }

// Retain deletes the stored start times of all nodes except those for which listed returns true.
func (c *Converter) Retain(listed func(cresspass.EngineID) bool) {
	for id := range c.starts {
		if !listed(id) {
			delete(c.starts, id)
		}
	}
}

// age returns the age of a node by the wall clock as it was read for New.
func (c *Converter) age(now time.Duration, started time.Time) time.Duration {
	return c.wallBase.Add(now - c.monotonicBase).Sub(started)
}
