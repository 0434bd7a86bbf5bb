// Package starttime turns the wall-clock times at which compute nodes say they started into the dispatcher's
// monotonic time, and does not believe the dispatcher's own wall clock: it may be wrong from the beginning,
// and it may step while the process runs. It does no I/O and reads no clock.
package starttime

import (
	"time"

	"cresspass"
)

// Converter converts starts. It is for one goroutine at a time.
//
// The wall clock is read once, when the Clock is made; from then on only monotonic time counts, so a step
// changes nothing. A clock that was wrong already at that moment shows in the ages that it gives. No node
// can be told before it started, so a start that lies ahead shows how far the clock is behind at least.
// Where only late starts are told (Late), one that is told first when it is very old shows that the clock
// is ahead, and so does one that is some seconds old when the news of its start comes as it is told
// (Fresh). The least age is then taken for the error, which makes a node look younger than it is, never
// older: news that come late by as much look the same.
type Converter struct {
	wallBase       time.Time     // wall clock...
	monotonicBase  time.Duration // ...at this monotonic time
	minAge         time.Duration // the least age that was seen of a node when it was told
	hasMinAge      bool          // least is set
	minFreshAge    time.Duration // the least age that was seen of a node by news that came as they were told
	hasMinFreshAge bool          // fresh is set
	source         Source
	starts         map[cresspass.EngineID]conversion
}

// Source says which nodes' starts are told.
type Source int

// The sources.
const (
	RecentStarts Source = iota // only of nodes that started lately
	AllStarts                  // of every node
)

// maxRecentAge is the least age of all late starts from which it is the clock that is wrong: news of a start
// do not take so long.
const maxRecentAge = 10 * time.Minute

// maxFreshAge is the age at fresh news from which it is the clock that is wrong, or the news are.
const maxFreshAge = 1500 * time.Millisecond

// maxFutureStart is how far ahead of the wall clock a start may lie to tell anything of that clock. What lies
// further ahead is no start that a clock could show, and counts as now.
const maxFutureStart = 24 * time.Hour

// conversion is a converted start. It is kept, so that what is told again is not converted again.
type conversion struct {
	wall      time.Time
	monotonic time.Duration
}

// New returns a Clock for a wall clock that shows wall at the monotonic time now.
func New(kind Source, wall time.Time, now time.Duration) *Converter {
	return &Converter{
		source:        kind,
		wallBase:      wall.Round(0),
		monotonicBase: now,
		starts:        map[cresspass.EngineID]conversion{},
	}
}

// Observe takes in that a node was told to have started, without converting it. All nodes of a list are seen
// before one of them is converted, so that the order in a list does not matter.
func (c *Converter) Observe(now time.Duration, id cresspass.EngineID, told time.Time) {
	if c.starts[id].wall.Equal(told) {
		return // known already: how old it is by now tells nothing of the clock
	}
	if age := c.age(now, told); age > -maxFutureStart && (!c.hasMinAge || age < c.minAge) {
		c.minAge, c.hasMinAge = age, true
	}
}

// ObserveFresh takes in that a node was told to have started, by news that came as they were told.
func (c *Converter) ObserveFresh(now time.Duration, id cresspass.EngineID, told time.Time) {
	if c.starts[id].wall.Equal(told) {
		return
	}
	if age := c.age(now, told); age > -maxFutureStart && (!c.hasMinFreshAge || age < c.minFreshAge) {
		c.minFreshAge, c.hasMinFreshAge = age, true
	}
}

// Convert returns the monotonic time of a node's start, the same each time that the same start is told. It is
// after zero and not after now.
func (c *Converter) Convert(now time.Duration, id cresspass.EngineID, told time.Time) time.Duration {
	if s, ok := c.starts[id]; ok && s.wall.Equal(told) {
		return s.monotonic
	}
	c.Observe(now, id, told)
	at := max(now-max(c.age(now, told)-c.clockLead(), 0), 1)
	c.starts[id] = conversion{told, at}
	return at
}

// clockLead is how far the wall clock is taken to be ahead; negative: behind.
func (c *Converter) clockLead() time.Duration {
	switch {
	case c.minAge < 0, c.source == RecentStarts && c.minAge > maxRecentAge:
		return c.minAge
	case c.source == RecentStarts && c.hasMinFreshAge && c.minFreshAge > maxFreshAge:
		return min(c.minFreshAge, c.minAge) // one that is younger by this clock bounds its error
	}
	return 0
}

// Forget drops a node that has left.
func (c *Converter) Forget(id cresspass.EngineID) { delete(c.starts, id) }

// Retain drops all nodes but those for which listed returns true.
func (c *Converter) Retain(listed func(cresspass.EngineID) bool) {
	for id := range c.starts {
		if !listed(id) {
			delete(c.starts, id)
		}
	}
}

// age is how old a node is by the wall clock as it was when the Clock was made.
func (c *Converter) age(now time.Duration, told time.Time) time.Duration {
	return c.wallBase.Add(now - c.monotonicBase).Sub(told)
}
