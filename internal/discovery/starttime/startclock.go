// Package starttime turns the wall-clock times at which compute nodes say they started into the dispatcher's
// monotonic time, and does not believe the dispatcher's own wall clock: it may be wrong from the beginning,
// and it may step while the process runs. It does no I/O and reads no clock.
package starttime

import (
	"time"

	"cresspass"
)

// Clock converts starts. It is for one goroutine at a time.
//
// The wall clock is read once, when the Clock is made; from then on only monotonic time counts, so a step
// changes nothing. A clock that was wrong already at that moment shows in the ages that it gives. No node
// can be told before it started, so a start that lies ahead shows how far the clock is behind at least.
// Where only late starts are told (Late), one that is told first when it is very old shows that the clock
// is ahead, and so does one that is some seconds old when the news of its start comes as it is told
// (Fresh). The least age is then taken for the error, which makes a node look younger than it is, never
// older: news that come late by as much look the same.
type Clock struct {
	zero   time.Time     // wall clock...
	at     time.Duration // ...at this monotonic time
	least  time.Duration // the least age that was seen of a node when it was told
	seen   bool          // least is set
	fresh  time.Duration // the least age that was seen of a node by news that came as they were told
	news   bool          // fresh is set
	kind   Source
	starts map[cresspass.EngineID]start
}

// Source says which nodes' starts are told.
type Source int

// The sources.
const (
	Late  Source = iota // only of nodes that started lately
	Every               // of every node
)

// aheadLeast is the least age of all late starts from which it is the clock that is wrong: news of a start
// do not take so long.
const aheadLeast = 10 * time.Minute

// freshMost is the age at fresh news from which it is the clock that is wrong, or the news are.
const freshMost = 1500 * time.Millisecond

// aheadMost is how far ahead of the wall clock a start may lie to tell anything of that clock. What lies
// further ahead is no start that a clock could show, and counts as now.
const aheadMost = 24 * time.Hour

// start is a converted start. It is kept, so that what is told again is not converted again.
type start struct {
	told time.Time
	at   time.Duration
}

// New returns a Clock for a wall clock that shows wall at the monotonic time now.
func New(kind Source, wall time.Time, now time.Duration) *Clock {
	return &Clock{kind: kind, zero: wall.Round(0), at: now, starts: map[cresspass.EngineID]start{}}
}

// See takes in that a node was told to have started, without converting it. All nodes of a list are seen
// before one of them is converted, so that the order in a list does not matter.
func (c *Clock) See(now time.Duration, id cresspass.EngineID, told time.Time) {
	if c.starts[id].told.Equal(told) {
		return // known already: how old it is by now tells nothing of the clock
	}
	if age := c.age(now, told); age > -aheadMost && (!c.seen || age < c.least) {
		c.least, c.seen = age, true
	}
}

// Fresh takes in that a node was told to have started, by news that came as they were told.
func (c *Clock) Fresh(now time.Duration, id cresspass.EngineID, told time.Time) {
	if c.starts[id].told.Equal(told) {
		return
	}
	if age := c.age(now, told); age > -aheadMost && (!c.news || age < c.fresh) {
		c.fresh, c.news = age, true
	}
}

// Started returns the monotonic time of a node's start, the same each time that the same start is told. It is
// after zero and not after now.
func (c *Clock) Started(now time.Duration, id cresspass.EngineID, told time.Time) time.Duration {
	if s, ok := c.starts[id]; ok && s.told.Equal(told) {
		return s.at
	}
	c.See(now, id, told)
	at := max(now-max(c.age(now, told)-c.error(), 0), 1)
	c.starts[id] = start{told, at}
	return at
}

// error is how far the wall clock is taken to be ahead; negative: behind.
func (c *Clock) error() time.Duration {
	switch {
	case c.least < 0, c.kind == Late && c.least > aheadLeast:
		return c.least
	case c.kind == Late && c.news && c.fresh > freshMost:
		return min(c.fresh, c.least) // one that is younger by this clock bounds its error
	}
	return 0
}

// Forget drops a node that has left.
func (c *Clock) Forget(id cresspass.EngineID) { delete(c.starts, id) }

// Keep drops all nodes but those for which listed returns true.
func (c *Clock) Keep(listed func(cresspass.EngineID) bool) {
	for id := range c.starts {
		if !listed(id) {
			delete(c.starts, id)
		}
	}
}

// age is how old a node is by the wall clock as it was when the Clock was made.
func (c *Clock) age(now time.Duration, told time.Time) time.Duration {
	return c.zero.Add(now - c.at).Sub(told)
}
