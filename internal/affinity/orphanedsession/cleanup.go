// Package orphanedsession decides what a restarted dispatcher does about the sessions that its previous
// incarnation, killed, left open on engines: their clients are gone, and nobody will end their transactions
// or release their locks. It does no I/O, reads no clock and takes no lock: engines and the ends of
// requests go in, requests come out.
//
// The operating system mostly closes the connections of a killed dispatcher, and the engine ends their
// sessions by itself. Where it runs a statement, or the dispatcher's machine was lost, it does not notice
// for long.
package orphanedsession

import (
	"sort"
	"time"
)

// Session is a session that was sticky on an engine connection. It is stored in the state log as JSON.
type Session struct {
	ID              uint64 `json:"-"` // the key of its record; 0: not recorded
	Engine          string `json:"engine"`
	PID             uint32 `json:"pid"`
	Secret          []byte `json:"secret"` // of cancel requests
	IncarnationName string `json:"life"`   // application_name of the connection
}

// Limits of requests.
const (
	MaxConcurrent = 8                      // requests in flight
	MinBackoff    = 200 * time.Millisecond // after a request that failed; doubled each time
	MaxBackoff    = 10 * time.Second
	// GiveUpAfter is when an engine that cannot be reached is taken to be dead, and its sessions with it.
	GiveUpAfter = 10 * time.Minute
)

// Request is one call at an engine: cancel what the sessions run, and terminate all sessions whose
// application_name is one of the names.
type Request struct {
	Engine           string
	IncarnationNames []string
	Sessions         []Session
}

// engineState is how far the cleanup of one engine has come.
type engineState struct {
	sessions  []Session
	inFlight  bool
	done      bool
	backoff   time.Duration // after the last failure
	notBefore time.Duration // of the next request
}

// Cleanup plans the requests that end the sessions of previous incarnations. Make one with New.
type Cleanup struct {
	incarnationNames []string
	engines          map[string]*engineState
	order            []string // of engines, sorted
	startedAt        time.Duration
	inFlight         int
	listed           bool // an engine list has come
}

// New starts a cleanup at a time. The names are the application_name of each previous incarnation's
// connections: sessions that no record tells of are found by them.
func New(now time.Duration, incarnationNames []string, sessions []Session) *Cleanup {
	c := &Cleanup{incarnationNames: incarnationNames, engines: map[string]*engineState{}, startedAt: now}
	for _, s := range sessions {
		engine := c.engine(s.Engine)
		engine.sessions = append(engine.sessions, s)
	}
	return c
}

// engine returns the state of an engine, which it adds if it is new.
func (c *Cleanup) engine(address string) *engineState {
	engine := c.engines[address]
	if engine == nil {
		engine = &engineState{}
		c.engines[address] = engine
		c.order = append(c.order, address)
		sort.Strings(c.order)
	}
	return engine
}

// EnginesListed takes the engines of an endpoint list. Each gets one request that succeeds: a session that
// was young when the dispatcher died may stand in no record. An engine that is no longer listed gets one
// where a record names it.
func (c *Cleanup) EnginesListed(addresses []string) {
	if len(c.incarnationNames) == 0 || len(addresses) == 0 {
		return
	}
	c.listed = true
	for _, address := range addresses {
		c.engine(address)
	}
}

// DueRequests returns the requests to send now.
func (c *Cleanup) DueRequests(now time.Duration) (requests []Request) {
	if now-c.startedAt >= GiveUpAfter {
		for _, engine := range c.engines {
			engine.done = true
		}
	}
	for _, address := range c.order {
		engine := c.engines[address]
		if engine.done || engine.inFlight || now < engine.notBefore || c.inFlight >= MaxConcurrent {
			continue
		}
		engine.inFlight = true
		c.inFlight++
		requests = append(requests, Request{
			Engine:           address,
			IncarnationNames: c.incarnationNames,
			Sessions:         engine.sessions,
		})
	}
	return requests
}

// RequestDone takes the end of a request. It returns the sessions whose records are no longer needed.
func (c *Cleanup) RequestDone(now time.Duration, address string, ok bool) []Session {
	engine := c.engines[address]
	if engine == nil || !engine.inFlight {
		return nil
	}
	engine.inFlight = false
	c.inFlight--
	if ok {
		engine.done = true
		return engine.sessions
	}
	engine.backoff = min(max(MinBackoff, 2*engine.backoff), MaxBackoff)
	engine.notBefore = now + engine.backoff
	return nil
}

// Finished reports whether nothing is left to do: every engine has had its request, or was given up.
func (c *Cleanup) Finished() bool {
	if len(c.incarnationNames) > 0 && !c.listed && len(c.engines) == 0 {
		return false // no endpoint list has come yet
	}
	for _, engine := range c.engines {
		if !engine.done || engine.inFlight {
			return false
		}
	}
	return c.listed || len(c.incarnationNames) == 0
}
