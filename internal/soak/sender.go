package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Parameters of the clients' traffic.
const (
	maxConns          = 6   // of a sender; at this number, a new one is opened only if the drawn one is full
	maxOpenRequests   = 8   // on each connection
	newConnShare      = 0.2 // of requests sent on a new connection, below maxConns
	keysPerDispatcher = 3   // ordering keys

	minLimit        = 1200 * time.Millisecond
	limitRangeMS    = 2000 // milliseconds; a random part of it is added to minLimit
	longLimitShare  = 0.1  // of requests with a limit longer than a shutdown
	longLimit       = 8 * time.Second
	shortLimitShare = 0.05 // of requests with a very short limit

	minShortLimitMS   = 10
	shortLimitRangeMS = 80 // milliseconds; a random part of it is added to minShortLimitMS

	splitShare      = 0.03                   // of requests that are written in two halves
	maxSplitDelay   = 250 * time.Millisecond // between the two halves, below this
	cancelShare     = 0.05                   // of requests that the client cancels
	disconnectShare = 0.02                   // of requests after which the client disconnects
	giveUpRangeMS   = 300                    // milliseconds; upper bound from sending to cancel or disconnect

	// idleTimeout is the time after which a dispatcher closes an idle connection. Idle clients send within
	// idleTimeoutJitter before or after it.
	idleTimeout       = 15 * time.Second
	idleTimeoutJitter = 60 * time.Millisecond

	idleReconnectDelay = time.Second // between two connections of an idle client
)

// request is a request that a client sends.
type request struct {
	ticket           string
	orderingKey      string
	idempotencyKey   string
	class            requestClass
	limit            time.Duration
	resentAfterClose bool          // it was sent again because its first connection closed
	splitDelay       time.Duration // between writing its two halves; 0 to write it at once
	cancelledAtOnce  bool          // the client cancels it at once, so it must not raise the retry budget
}

// newTicket draws the ticket that identifies a request.
func newTicket(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

// sender sends requests to a dispatcher on connections of its own.
type sender struct {
	dispatcher *dispatcher
	random     *rand.Rand
	conns      []*clientConn
}

// run sends requests at random times, with the given mean rate a second, until stop is closed.
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

// sendOne sends a request. Some requests are cancelled later; after some, the client disconnects.
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
		time.AfterFunc(s.drawMilliseconds(giveUpRangeMS), func() { c.cancel(r.ticket) })
	case x < cancelShare+disconnectShare:
		wait := s.drawMilliseconds(giveUpRangeMS)
		hard := s.random.IntN(2) == 0
		time.AfterFunc(wait, func() { c.disconnect(hard) })
	}
}

// drawRequest draws a request. The classes are drawn by their shares.
func (s *sender) drawRequest() request {
	class, share := requestClasses[0], s.random.Float64()
	for _, class = range requestClasses {
		if share -= class.share; share < 0 {
			break
		}
	}
	limit := s.drawLimit()
	r := request{ticket: newTicket(s.random), class: class, limit: limit}
	if s.random.Float64() < splitShare {
		r.splitDelay = time.Duration(s.random.Int64N(int64(maxSplitDelay)))
	}
	if class.inOrder {
		r.orderingKey = fmt.Sprintf("d%d-k%d", s.dispatcher.index, s.random.IntN(keysPerDispatcher))
	}
	if class.idempotency == idempotentWithKey {
		r.idempotencyKey = fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
	}
	return r
}

// drawLimit draws the time limit of a request. Long limits are drawn only while clients go on sending for
// longer than longLimit.
func (s *sender) drawLimit() time.Duration {
	limit := minLimit + s.drawMilliseconds(limitRangeMS)
	switch x := s.random.Float64(); {
	case x < longLimitShare && s.dispatcher.fleet.sendingFor() > longLimit:
		return longLimit - s.drawMilliseconds(limitRangeMS)
	case x < longLimitShare+shortLimitShare:
		return minShortLimitMS*time.Millisecond + s.drawMilliseconds(shortLimitRangeMS)
	}
	return limit
}

// drawMilliseconds draws a time from 0 to below the given number of milliseconds.
func (s *sender) drawMilliseconds(below int) time.Duration {
	return time.Duration(s.random.IntN(below)) * time.Millisecond
}

// pickConn returns an open connection with capacity for a request, or a new connection. It returns nil if
// there is neither.
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

// runIdle sends a request, stays idle until about when the dispatcher closes the connection, and sends again.
// It repeats this on new connections until stop is closed.
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
