// Package starttime converts the wall-clock times at which compute nodes report to have started into the
// dispatcher's monotonic time. It does not trust the dispatcher's own wall clock, which may be wrong from the
// beginning and may step while the process runs. It does no I/O and reads no clock.
package starttime

import (
	"time"

	"cresspass"
)

// Converter converts starts. It is for one goroutine at a time.
//
// The wall clock is read once, when the Converter is made; from then on only monotonic time counts, so a
// step changes nothing. A clock that was wrong already at that moment shows in the ages that it gives. No
// start can be reported before it happened, so a start that lies in the future shows how far the clock is
// behind at least. Where only recent starts are reported (RecentStarts), one that is very old when it is
// first reported shows that the clock is ahead, and so does one that is some seconds old when its report
// came as it was sent (ObserveFresh). The least age is then taken for the clock's error. That makes a node
// look younger than it is, never older: reports that come late by as much look the same.
type Converter struct {
	source Source

	wallBase      time.Time     // the wall clock...
	monotonicBase time.Duration // ...at this monotonic time

	minAge         time.Duration // the least age of a node when it was first reported
	hasMinAge      bool
	minFreshAge    time.Duration // the same, of reports that came as they were sent
	hasMinFreshAge bool

	starts map[cresspass.EngineID]conversion
}

// Source says which nodes' starts are reported.
type Source int

// The sources.
const (
	RecentStarts Source = iota // only of nodes that started recently
	AllStarts                  // of every node
)

const (
	// maxRecentAge is the age from which a start that is reported as recent shows that the clock is wrong: no
	// report takes so long.
	maxRecentAge = 10 * time.Minute
	// maxFreshAge is the same for a report that came as it was sent.
	maxFreshAge = 1500 * time.Millisecond
	// maxFutureStart is how far in the future a start may lie to show anything of the clock. What lies
	// further ahead is no time that a clock could show, and is converted to now.
	maxFutureStart = 24 * time.Hour
)

// conversion is a converted start. It is stored, so that a start that is reported again is not converted
// again.
type conversion struct {
	wall      time.Time
	monotonic time.Duration
}

// New returns a Converter for a wall clock that shows wall at the monotonic time now.
func New(source Source, wall time.Time, now time.Duration) *Converter {
	return &Converter{source: source, wallBase: wall.Round(0), monotonicBase: now,
		starts: map[cresspass.EngineID]conversion{}}
}

// Observe takes in that a node reports to have started, without converting it. All nodes of a list are
// observed before one of them is converted, so that the order in a list does not matter.
func (c *Converter) Observe(now time.Duration, id cresspass.EngineID, started time.Time) {
	if c.known(id, started) {
		return
	}
	if age := c.age(now, started); age > -maxFutureStart && (!c.hasMinAge || age < c.minAge) {
		c.minAge, c.hasMinAge = age, true
	}
}

// ObserveFresh takes in that a node reports to have started, by a report that came as it was sent.
func (c *Converter) ObserveFresh(now time.Duration, id cresspass.EngineID, started time.Time) {
	if c.known(id, started) {
		return
	}
	if age := c.age(now, started); age > -maxFutureStart && (!c.hasMinFreshAge || age < c.minFreshAge) {
		c.minFreshAge, c.hasMinFreshAge = age, true
	}
}

// known reports whether a start was converted before: its age by now shows nothing of the clock.
func (c *Converter) known(id cresspass.EngineID, started time.Time) bool {
	return c.starts[id].wall.Equal(started)
}

// Convert returns the monotonic time of a node's start, the same each time that the same start is reported.
// It is after zero and not after now.
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

// clockLead is how far the wall clock is taken to be ahead; negative: behind.
func (c *Converter) clockLead() time.Duration {
	switch {
	case c.minAge < 0, c.source == RecentStarts && c.minAge > maxRecentAge:
		return c.minAge
	case c.source == RecentStarts && c.hasMinFreshAge && c.minFreshAge > maxFreshAge:
		return min(c.minFreshAge, c.minAge) // a node that is younger by this clock bounds its error
	}
	return 0
}

// Forget drops a node that was removed.
func (c *Converter) Forget(id cresspass.EngineID) { delete(c.starts, id) }

// Retain drops all nodes except those for which listed returns true.
func (c *Converter) Retain(listed func(cresspass.EngineID) bool) {
	for id := range c.starts {
		if !listed(id) {
			delete(c.starts, id)
		}
	}
}

// age is how old a node is by the wall clock as it was when the Converter was made.
func (c *Converter) age(now time.Duration, started time.Time) time.Duration {
	return c.wallBase.Add(now - c.monotonicBase).Sub(started)
}
