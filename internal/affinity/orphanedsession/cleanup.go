// Package orphanedsession decides what a dispatcher that came back does about the sessions that its former
// life, killed, left open on engines: their clients are gone, and their transactions and locks are nobody's.
// It does no I/O and reads no clock: engines and ends of visits go in, visits come out.
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
	ID              uint64 `json:"-"`
	Engine          string `json:"engine"`
	PID             uint32 `json:"pid"`
	Secret          []byte `json:"secret"` // of cancel requests
	IncarnationName string `json:"life"`   // application_name of the connection
}

// Limits of visits.
const (
	MaxConcurrent = 8                      // engines visited at a time
	MinBackoff    = 200 * time.Millisecond // after a visit that failed; doubled each time...
	MaxBackoff    = 10 * time.Second       // ...up to this
	// GiveUpAfter is when an engine out of reach is taken to be dead, and its sessions with it.
	GiveUpAfter = 10 * time.Minute
)

// Request is one call at an engine: cancel what the sessions run, and end all that carry one of the names.
type Request struct {
	Engine           string
	IncarnationNames []string
	Sessions         []Session
}

type engineState struct {
	sessions  []Session
	listed    bool
	inFlight  bool
	backoff   time.Duration
	notBefore time.Duration // not before
	done      bool
}

// Cleanup looks for the orphans of former lives. Make one with New.
type Cleanup struct {
	incarnationNames []string
	engines          map[string]*engineState
	order            []string
	startedAt        time.Duration
	inFlight         int
	listed           bool
}

// New begins a hunt at a time for the sessions of former lives. lives are their connections' names: also what
// no record tells of is found by them.
func New(now time.Duration, incarnationNames []string, sessions []Session) *Cleanup {
	h := &Cleanup{incarnationNames: incarnationNames, engines: map[string]*engineState{}, startedAt: now}
	for _, s := range sessions {
		h.engine(s.Engine).sessions = append(h.engine(s.Engine).sessions, s)
	}
	return h
}

func (h *Cleanup) engine(engine string) *engineState {
	p := h.engines[engine]
	if p == nil {
		p = &engineState{}
		h.engines[engine] = p
		h.order = append(h.order, engine)
		sort.Strings(h.order)
	}
	return p
}

// EnginesListed takes the engines of a list. All of them are visited once, as a session that was young when
// the dispatcher died may stand in no record; one that is on no list any more is visited where a record
// names it.
func (h *Cleanup) EnginesListed(engines []string) {
	if len(h.incarnationNames) == 0 || len(engines) == 0 {
		return
	}
	h.listed = true
	for _, address := range engines {
		h.engine(address).listed = true
	}
}

// DueRequests returns the visits that are due.
func (h *Cleanup) DueRequests(now time.Duration) (out []Request) {
	if now-h.startedAt >= GiveUpAfter {
		for _, p := range h.engines {
			p.done = true
		}
	}
	for _, engine := range h.order {
		p := h.engines[engine]
		if p.done || p.inFlight || now < p.notBefore || h.inFlight >= MaxConcurrent {
			continue
		}
		p.inFlight = true
		h.inFlight++
		out = append(out, Request{Engine: engine, IncarnationNames: h.incarnationNames, Sessions: p.sessions})
	}
	return out
}

// RequestDone takes the end of a visit. It returns the sessions that need no record any more.
func (h *Cleanup) RequestDone(now time.Duration, engine string, ok bool) []Session {
	p := h.engines[engine]
	if p == nil || !p.inFlight {
		return nil
	}
	p.inFlight = false
	h.inFlight--
	if ok {
		p.done = true
		return p.sessions
	}
	p.backoff = min(max(MinBackoff, 2*p.backoff), MaxBackoff)
	p.notBefore = now + p.backoff
	return nil
}

// Finished reports whether nothing is left to do: all engines were visited, or given up.
func (h *Cleanup) Finished() bool {
	if len(h.incarnationNames) > 0 && !h.listed && len(h.engines) == 0 {
		return false // no list has come yet
	}
	for _, p := range h.engines {
		if !p.done || p.inFlight {
			return false
		}
	}
	return h.listed || len(h.incarnationNames) == 0
}
