package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// What clients send.
const (
	maxConns          = 6 // of a dispatcher's busy clients
	maxOpenRequests   = 8 // on a connection
	newConnShare      = 0.2
	keysPerDispatcher = 3

	minLimit   = 1200 * time.Millisecond
	limitRange = 2000 // milliseconds on top
	longShare  = 0.1  // requests with more time than a shutdown takes
	longLimit  = 8 * time.Second
	shortShare = 0.05 // requests with very little time

	minShortLimitMS = 10
	shortLimitRange = 80 // milliseconds on top

	slowShare       = 0.03                   // requests whose second half comes later...
	maxHalvesDelay  = 250 * time.Millisecond // ...by so much at most
	cancelShare     = 0.05
	disconnectShare = 0.02
	giveUpRange     = 300 // milliseconds after which a client cancels or disconnects at most

	// A dispatcher ends a connection that was idle for so long, and requests of idle clients come so shortly
	// before or after that at most.
	idleTimeout       = 15 * time.Second
	idleTimeoutJitter = 60 * time.Millisecond

	idleReconnectDelay = time.Second // between two connections of an idle client
)

// request is what a client sends.
type request struct {
	ticket           string
	orderingKey      string
	idempotencyKey   string
	class            requestClass
	limit            time.Duration
	resentAfterClose bool          // its first connection closed as it came
	halvesDelay      time.Duration // between its first half and its second; 0: it is written at once
	malformed        bool          // it must not raise the retry budget
}

// newTicket draws a request's id.
func newTicket(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

// sender sends requests to a dispatcher as long as it accepts any.
type sender struct {
	dispatcher *dispatcher
	random     *rand.Rand
	conns      []*clientConn
}

// run sends requests at a mean rate until stop is closed.
func (s *sender) run(rate float64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))):
		}
		s.sendOne()
	}
}

// sendOne sends a request, and may give it up later.
func (s *sender) sendOne() {
	c := s.pickConn()
	if c == nil {
		return
	}
	r := s.drawRequest()
	if !c.send(r) {
		return
	}
	switch x := s.random.Float64(); {
	case x < cancelShare:
		time.AfterFunc(s.drawMilliseconds(giveUpRange), func() { c.cancel(r.ticket) })
	case x < cancelShare+disconnectShare:
		wait := s.drawMilliseconds(giveUpRange)
		hard := s.random.IntN(2) == 0
		time.AfterFunc(wait, func() { c.disconnect(hard) })
	}
}

// drawRequest draws a request of a class by the classes' shares.
func (s *sender) drawRequest() request {
	class, share := requestClasses[0], s.random.Float64()
	for _, class = range requestClasses {
		if share -= class.share; share < 0 {
			break
		}
	}
	limit := s.drawLimit()
	r := request{ticket: newTicket(s.random), class: class, limit: limit}
	if s.random.Float64() < slowShare {
		r.halvesDelay = time.Duration(s.random.Int64N(int64(maxHalvesDelay)))
	}
	if class.inOrder {
		r.orderingKey = fmt.Sprintf("d%d-k%d", s.dispatcher.index, s.random.IntN(keysPerDispatcher))
	}
	if class.idempotency == idempotentWithKey {
		r.idempotencyKey = fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
	}
	return r
}

// drawLimit draws the time that a request has.
func (s *sender) drawLimit() time.Duration {
	limit := minLimit + s.drawMilliseconds(limitRange)
	switch x := s.random.Float64(); {
	case x < longShare && s.dispatcher.fleet.sendingFor() > longLimit:
		return longLimit - s.drawMilliseconds(limitRange)
	case x < longShare+shortShare:
		return minShortLimitMS*time.Millisecond + s.drawMilliseconds(shortLimitRange)
	}
	return limit
}

// drawMilliseconds draws a time of less than so many milliseconds.
func (s *sender) drawMilliseconds(below int) time.Duration {
	return time.Duration(s.random.IntN(below)) * time.Millisecond
}

// pickConn returns a connection with capacity for a request: an open one or a new one; nil: there is none.
func (s *sender) pickConn() *clientConn {
	if !s.dispatcher.acceptsRequests() {
		return nil
	}
	var open []*clientConn
	for _, c := range s.conns {
		if c.alive() {
			open = append(open, c)
		}
	}
	s.conns = open
	if len(open) > 0 && (len(open) >= maxConns || s.random.Float64() > newConnShare) {
		if c := open[s.random.IntN(len(open))]; c.hasCapacity() {
			return c
		}
	}
	if !s.dispatcher.acceptsConnections() {
		return nil
	}
	c := s.dispatcher.connect()
	if c != nil {
		s.conns = append(s.conns, c)
	}
	return c
}

// runIdle sends a request, stays idle until the dispatcher is about to end the connection, and sends again,
// until stop is closed.
func (s *sender) runIdle(stop <-chan struct{}) {
	for {
		if c := s.dispatcher.connect(); c != nil && s.dispatcher.acceptsConnections() {
			for range 2 {
				c.send(request{ticket: newTicket(s.random), class: requestClasses[0], limit: time.Second})
				jitter := time.Duration(s.random.Int64N(int64(2*idleTimeoutJitter))) - idleTimeoutJitter
				select {
				case <-stop:
					return
				case <-time.After(idleTimeout + jitter):
				}
			}
			c.disconnect(false)
		}
		select {
		case <-stop:
			return
		case <-time.After(idleReconnectDelay):
		}
	}
}
