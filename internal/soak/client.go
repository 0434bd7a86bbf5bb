package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Of the clients.
const (
	maxConns          = 6                     // of a dispatcher's clients
	maxOpenRequests   = 8                     // requests on a connection
	crossingTime      = 50 * time.Millisecond // a request that crosses a close is sent again, once
	cancelShare       = 0.05
	leaveShare        = 0.02
	shortShare        = 0.05 // requests with very little time
	longShare         = 0.1  // requests with more time than a shutdown takes
	maxLongLimit      = 8 * time.Second
	freshShare        = 0.2                    // requests on a new connection
	slowShare         = 0.03                   // requests whose second half comes later...
	maxHalvesDelay    = 250 * time.Millisecond // ...by so much at most
	idleTimeout       = 15 * time.Second       // a dispatcher ends a connection that rests so long...
	idleTimeoutJitter = 60 * time.Millisecond  // ...and a request comes so long before or after that at most
	keysPerDispatcher = 3
	maxFrameBytes     = 1 << 20
)

// clientConn is a client's connection.
type clientConn struct {
	dispatcher *dispatcher
	conn       net.Conn
	mu         sync.Mutex
	lastSeq    int32
	open       map[int32]string // tickets
	answered   map[int32]string // tickets that have their answer
	sentAt     map[string]time.Time
	closed     bool
}

// sender gives a dispatcher its requests while it takes any.
type sender struct {
	dispatcher *dispatcher
	random     *rand.Rand
	conns      []*clientConn
}

// run sends requests at a rate until stop is closed.
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

// sendOne sends a request of a class drawn by its share.
func (s *sender) sendOne() {
	c := s.pickConn()
	if c == nil {
		return
	}
	class, share := requestClasses[0], s.random.Float64()
	for _, class = range requestClasses {
		if share -= class.share; share < 0 {
			break
		}
	}
	limit := 1200*time.Millisecond + time.Duration(s.random.IntN(2000))*time.Millisecond
	switch x := s.random.Float64(); {
	case x < longShare && s.dispatcher.fleet.sendingFor() > maxLongLimit:
		limit = maxLongLimit - time.Duration(s.random.IntN(2000))*time.Millisecond
	case x < longShare+shortShare:
		limit = time.Duration(10+s.random.IntN(80)) * time.Millisecond
	}
	r := request{ticket: fmt.Sprintf("%016x", s.random.Uint64()), class: class, limit: limit}
	if s.random.Float64() < slowShare {
		r.halvesDelay = time.Duration(s.random.Int64N(int64(maxHalvesDelay)))
	}
	if class.inOrder {
		r.orderingKey = fmt.Sprintf("d%d-k%d", s.dispatcher.index, s.random.IntN(keysPerDispatcher))
	}
	if class.idempotency == idempotentWithKey {
		r.idempotencyKey = fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
	}
	if !c.send(r) {
		return
	}
	switch x := s.random.Float64(); {
	case x < cancelShare:
		wait := time.Duration(s.random.IntN(300)) * time.Millisecond
		time.AfterFunc(wait, func() { c.cancel(r.ticket) })
	case x < cancelShare+leaveShare:
		wait := time.Duration(s.random.IntN(300)) * time.Millisecond
		hard := s.random.IntN(2) == 0
		time.AfterFunc(wait, func() { c.disconnect(hard) })
	}
}

// pickConn returns a connection with room for a request: one that stands or a new one.
func (s *sender) pickConn() *clientConn {
	if !s.dispatcher.acceptsRequests() {
		return nil
	}
	var standing []*clientConn
	for _, c := range s.conns {
		if c.alive() {
			standing = append(standing, c)
		}
	}
	s.conns = standing
	if len(standing) > 0 && (len(standing) >= maxConns || s.random.Float64() > freshShare) {
		if c := standing[s.random.IntN(len(standing))]; c.hasCapacity() {
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

// request is what a client asks.
type request struct {
	ticket, orderingKey, idempotencyKey string
	class                               requestClass
	limit                               time.Duration
	resentAfterClose                    bool          // it crossed a close before
	halvesDelay                         time.Duration // between its first half and its second; 0: it is written at once
	malformed                           bool
}

// connect opens a connection to the dispatcher; nil: it takes none.
func (d *dispatcher) connect() *clientConn {
	n, err := net.DialTimeout("tcp", d.clients.addr(), time.Second)
	if err != nil {
		return nil
	}
	c := &clientConn{dispatcher: d, conn: n, open: map[int32]string{}, answered: map[int32]string{},
		sentAt: map[string]time.Time{}}
	d.track(c, true)
	go c.read()
	return c
}

func (c *clientConn) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

func (c *clientConn) hasCapacity() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && len(c.open) < maxOpenRequests
}

// send writes a request. It returns false where it could not be written whole.
func (c *clientConn) send(r request) bool {
	fields := map[string]string{"txn": r.ticket, "verb": r.class.name, "heap_mb": "32",
		"limit": fmt.Sprint(r.limit.Milliseconds()),
		"cpu":   fmt.Sprintf("%.1f", float64(r.class.meanWork)/float64(time.Millisecond))}
	if r.orderingKey != "" {
		fields["item"] = r.orderingKey
	}
	if r.idempotencyKey != "" {
		fields["unique"] = r.idempotencyKey
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.lastSeq++
	seq := c.lastSeq
	c.open[seq] = r.ticket
	// What is seen of it may come before Write returns.
	life := c.dispatcher.currentIncarnation()
	c.dispatcher.fleet.oracle.updateRequest(r.ticket, func(a *observedRequest) {
		a.class, a.orderingKey, a.dispatcher, a.incarnation, a.limit = r.class.name, r.orderingKey, c.dispatcher.index, life,
			r.limit
		a.malformed = r.malformed
		a.sentAt = time.Now()
	})
	c.dispatcher.rememberRequest(r)
	err := c.write(dispatchMessage(seq, fields, "SELECT 1 FROM sales_3.orders"), r.halvesDelay)
	c.sentAt[r.ticket] = time.Now()
	c.dispatcher.fleet.oracle.updateRequest(r.ticket, func(a *observedRequest) {
		if a.sentAt = time.Now(); err != nil {
			a.excused = "it could not be written"
		}
	})
	return err == nil
}

// write writes a message, in two halves with a time between them.
func (c *clientConn) write(message []byte, between time.Duration) error {
	if between > 0 {
		half := len(message) / 2
		if _, err := c.conn.Write(message[:half]); err != nil {
			return err
		}
		time.Sleep(between)
		message = message[half:]
	}
	_, err := c.conn.Write(message)
	return err
}

// runIdle asks, rests until the dispatcher is about to end the connection, and asks again, until stop is
// closed.
func (s *sender) runIdle(stop <-chan struct{}) {
	for {
		if c := s.dispatcher.connect(); c != nil && s.dispatcher.acceptsConnections() {
			for range 2 {
				c.send(request{ticket: fmt.Sprintf("%016x", s.random.Uint64()), class: requestClasses[0],
					limit: time.Second})
				around := time.Duration(s.random.Int64N(int64(2*idleTimeoutJitter))) - idleTimeoutJitter
				select {
				case <-stop:
					return
				case <-time.After(idleTimeout + around):
				}
			}
			c.disconnect(false)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// cancel takes a request back, if it is open.
func (c *clientConn) cancel(ticket string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, open := range c.open {
		if open != ticket || c.closed {
			continue
		}
		c.lastSeq++
		c.conn.Write(cancelMessage(c.lastSeq, seq))
		c.markClientGone(ticket)
		delete(c.open, seq)
	}
}

// disconnect closes the connection with whatever is open on it.
func (c *clientConn) disconnect(hard bool) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	for _, ticket := range c.open {
		c.markClientGone(ticket)
	}
	clear(c.open)
	c.mu.Unlock()
	if hard {
		reset(c.conn)
	}
	c.conn.Close()
}

// markClientGone enters that the client waits no longer; the link may hold that back.
func (c *clientConn) markClientGone(ticket string) {
	at := time.Now().Add(c.dispatcher.linkDelay())
	c.dispatcher.fleet.oracle.updateRequest(ticket, func(a *observedRequest) {
		if a.clientGoneAt.IsZero() {
			a.clientGoneAt = at
		}
	})
}

// read takes answers until the connection ends.
func (c *clientConn) read() {
	defer c.dispatcher.track(c, false)
	in := bufio.NewReader(c.conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			c.connectionEnded()
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		frame := make([]byte, min(n, maxFrameBytes))
		if _, err := io.ReadFull(in, frame); err != nil {
			c.connectionEnded()
			return
		}
		a, err := parseAnswer(frame)
		if err != nil {
			c.dispatcher.fleet.oracle.addFinding("unreadable_answer", "", "%x", frame)
			c.disconnect(true)
			return
		}
		c.handleAnswer(a)
	}
}

func (c *clientConn) handleAnswer(a answer) {
	if a.method == "alive" {
		c.dispatcher.recordAlive(a.alive)
		return
	}
	c.mu.Lock()
	ticket, ok := c.open[a.seq]
	delete(c.open, a.seq)
	if ok {
		c.answered[a.seq] = ticket
	} else {
		ticket, ok = c.answered[a.seq] // a second answer
	}
	c.mu.Unlock()
	if !ok {
		return // taken back
	}
	c.dispatcher.fleet.oracle.updateRequest(ticket, func(r *observedRequest) {
		r.answers = append(r.answers, receivedAnswer{a.kind, a.body, time.Now()})
	})
}

// connectionEnded ends a connection that the dispatcher closed. A request that crossed the close is sent
// again, once, on a new connection.
func (c *clientConn) connectionEnded() {
	now := time.Now()
	c.mu.Lock()
	left := c.closed
	c.closed = true
	resting := true // nothing but what crossed was open
	for _, ticket := range c.open {
		resting = resting && now.Sub(c.sentAt[ticket]) <= crossingTime+c.dispatcher.linkDelay()
	}
	open := make([]string, 0, len(c.open))
	for _, ticket := range c.open {
		open = append(open, ticket)
	}
	c.mu.Unlock()
	c.conn.Close()
	if left {
		return
	}
	for _, ticket := range open {
		r, ok := c.dispatcher.rememberedRequest(ticket)
		if resting && ok && !r.resentAfterClose && c.dispatcher.acceptsConnections() {
			if other := c.dispatcher.connect(); other != nil {
				r.resentAfterClose = true
				if other.send(r) {
					continue
				}
			}
		}
		crossed := resting && (c.dispatcher.terminating() || c.dispatcher.descriptorsMayBeFull())
		c.dispatcher.fleet.oracle.updateRequest(ticket, func(a *observedRequest) {
			a.connectionEndedAt = now
			if crossed && a.excused == "" {
				a.excused = excuseCrossedClose
			}
		})
	}
}
