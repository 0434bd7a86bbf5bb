// Package orphanedsession decides what a dispatcher that came back does about the sessions that its former life,
// killed, left open on engines: their clients are gone, and their transactions and locks are nobody's. It
// does no I/O and reads no clock: engines and ends of visits go in, visits come out.
//
// A connection whose dispatcher was killed is mostly closed by the system, and the engine ends its session by
// itself; where it runs a statement, or the machine itself was lost, it does not notice for long.
package orphanedsession

import (
	"sort"
	"time"
)

// Session is a session that was kept on an engine connection.
type Session struct {
	ID     uint64 `json:"-"`
	Engine string `json:"engine"`
	PID    uint32 `json:"pid"`
	Secret []byte `json:"secret"` // of cancel requests
	Life   string `json:"life"`   // application_name of the connection
}

// Limits of visits.
const (
	AtOnce     = 8                      // engines visited at a time
	RetryFirst = 200 * time.Millisecond // after a visit that failed; doubled each time...
	RetryMost  = 10 * time.Second       // ...up to this
	// GiveUp is when an engine out of reach is taken to be dead, and its sessions with it.
	GiveUp = 10 * time.Minute
)

// Visit is one call at an engine: cancel what the sessions run, and end all that carry one of the names.
type Visit struct {
	Engine   string
	Lives    []string
	Sessions []Session
}

type place struct {
	sessions []Session
	listed   bool
	out      bool
	wait     time.Duration
	at       time.Duration // not before
	done     bool
}

// Hunt looks for the orphans of former lives. Make one with New.
type Hunt struct {
	lives  []string
	places map[string]*place
	order  []string
	since  time.Duration
	out    int
	listed bool
}

// New begins a hunt at a time for the sessions of former lives. lives are their connections' names: also what
// no record tells of is found by them.
func New(now time.Duration, lives []string, sessions []Session) *Hunt {
	h := &Hunt{lives: lives, places: map[string]*place{}, since: now}
	for _, s := range sessions {
		h.place(s.Engine).sessions = append(h.place(s.Engine).sessions, s)
	}
	return h
}

func (h *Hunt) place(engine string) *place {
	p := h.places[engine]
	if p == nil {
		p = &place{}
		h.places[engine] = p
		h.order = append(h.order, engine)
		sort.Strings(h.order)
	}
	return p
}

// Listed takes the engines of a list. All of them are visited once, as a session that was young when the
// dispatcher died may stand in no record; one that is on no list any more is visited where a record names it.
func (h *Hunt) Listed(engines []string) {
	if len(h.lives) == 0 || len(engines) == 0 {
		return
	}
	h.listed = true
	for _, e := range engines {
		h.place(e).listed = true
	}
}

// Step returns the visits that are due.
func (h *Hunt) Step(now time.Duration) (out []Visit) {
	if now-h.since >= GiveUp {
		for _, p := range h.places {
			p.done = true
		}
	}
	for _, engine := range h.order {
		p := h.places[engine]
		if p.done || p.out || now < p.at || h.out >= AtOnce {
			continue
		}
		p.out = true
		h.out++
		out = append(out, Visit{Engine: engine, Lives: h.lives, Sessions: p.sessions})
	}
	return out
}

// Done takes the end of a visit. It returns the sessions that need no record any more.
func (h *Hunt) Done(now time.Duration, engine string, ok bool) []Session {
	p := h.places[engine]
	if p == nil || !p.out {
		return nil
	}
	p.out = false
	h.out--
	if ok {
		p.done = true
		return p.sessions
	}
	p.wait = min(max(RetryFirst, 2*p.wait), RetryMost)
	p.at = now + p.wait
	return nil
}

// Over reports whether nothing is left to do: all engines were visited, or given up.
func (h *Hunt) Over() bool {
	if len(h.lives) > 0 && !h.listed && len(h.places) == 0 {
		return false // no list has come yet
	}
	for _, p := range h.places {
		if !p.done || p.out {
			return false
		}
	}
	return h.listed || len(h.lives) == 0
}
