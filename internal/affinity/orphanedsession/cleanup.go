// Package orphanedsession decides how a restarted dispatcher ends the sessions that its killed previous
// incarnations left open on engines. The clients of these sessions are gone, and no other process would end
// their transactions or release their locks. The package does no I/O, reads no clock and takes no lock: its
// input is the engines and the results of requests, its output is the requests to send.
//
// The operating system usually closes the connections of a killed dispatcher, and the engine then ends their
// sessions by itself. But if the engine is running a statement of the session, or if the dispatcher's machine
// was lost, the engine does not notice the end of the connection for a long time.
package orphanedsession

import (
	"sort"
	"time"
)

// Session identifies a session that was sticky on an engine connection. It is stored in the state log as
// JSON.
type Session struct {
	ID              uint64 `json:"-"` // ID of its record in the state log; 0: not recorded
	Engine          string `json:"engine"`
	PID             uint32 `json:"pid"`
	Secret          []byte `json:"secret"` // secret key for cancel requests
	IncarnationName string `json:"life"`   // application_name of the connection
}

// Limits on cleanup requests.
const (
	MaxConcurrent = 8                      // requests in flight at a time
	MinBackoff    = 200 * time.Millisecond // wait after a failed request; doubled each time
	MaxBackoff    = 10 * time.Second
	// GiveUpAfter is the time from the start of the cleanup after which an unreachable engine and its
	// sessions are considered dead.
	GiveUpAfter = 10 * time.Minute
)

// Request is one call to an engine. It cancels what the listed sessions run, and terminates all sessions
// whose application_name is one of IncarnationNames.
type Request struct {
	Engine           string
	IncarnationNames []string
	Sessions         []Session
}

// engineState is the progress of the cleanup of one engine.
type engineState struct {
	sessions  []Session
	inFlight  bool
	done      bool
	backoff   time.Duration // wait after the last failure
	notBefore time.Duration // earliest time of the next request
}

// Cleanup plans the requests that end the sessions of previous incarnations. Create it with New. It is not
// safe for concurrent use.
type Cleanup struct {
	incarnationNames []string
	engines          map[string]*engineState
	order            []string // addresses of engines, sorted
	startedAt        time.Duration
	inFlight         int
	listed           bool // an endpoint list has been received
}

// New starts a cleanup at a time. incarnationNames are the application_name values of the previous
// incarnations' connections: by these names an engine finds sessions that were not recorded.
func New(now time.Duration, incarnationNames []string, sessions []Session) *Cleanup {
	c := &Cleanup{incarnationNames: incarnationNames, engines: map[string]*engineState{}, startedAt: now}
	for _, s := range sessions {
		engine := c.engine(s.Engine)
		engine.sessions = append(engine.sessions, s)
	}
	return c
}

// engine returns the state of an engine, and adds the engine if it is new.
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

// EnginesListed adds the engines of an endpoint list. Requests are sent to each engine until one succeeds, as
// a session that had become sticky shortly before the dispatcher died may have no record. An engine that is
// no longer listed gets requests if a recorded session names it. EnginesListed does nothing if there are no
// previous incarnations or the list is empty.
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

// RequestDone records the result of a request. It returns the sessions whose records are no longer needed.
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

// Finished reports whether nothing is left to do: each engine has had a successful request or was given up.
// If there are previous incarnations, an endpoint list must have been received, too.
func (c *Cleanup) Finished() bool {
	if len(c.incarnationNames) > 0 && !c.listed && len(c.engines) == 0 {
		return false // no endpoint list has been received yet
	}
	for _, engine := range c.engines {
		if !engine.done || engine.inFlight {
			return false
		}
	}
	return c.listed || len(c.incarnationNames) == 0
}
