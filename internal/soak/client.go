package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// crossingTime is the greatest age at which a request may still have been on its way when the dispatcher
	// closed the connection. The longest delay of the clients' link is added to it. Such a request is sent
	// again once.
	crossingTime = 50 * time.Millisecond

	dialTimeout   = time.Second
	maxFrameBytes = 1 << 20

	requestStatement = "SELECT 1 FROM sales_3.orders"
)

// clientConn is a client's connection to a dispatcher.
type clientConn struct {
	dispatcher *dispatcher
	conn       net.Conn

	mu       sync.Mutex
	lastSeq  int32
	open     map[int32]string // tickets of requests without an answer, by sequence number
	answered map[int32]string // tickets of requests that have their answer
	sentAt   map[string]time.Time
	closed   bool
}

// connect opens a client's connection to the dispatcher. It returns nil if the connection can't be opened.
func (d *dispatcher) connect() *clientConn {
	conn, err := net.DialTimeout("tcp", d.clients.addr(), dialTimeout)
	if err != nil {
		return nil
	}
	c := &clientConn{
		dispatcher: d,
		conn:       conn,
		open:       map[int32]string{},
		answered:   map[int32]string{},
		sentAt:     map[string]time.Time{},
	}
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

// send records and writes a request. It reports whether the whole request was written.
func (c *clientConn) send(r request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.lastSeq++
	seq := c.lastSeq
	c.open[seq] = r.ticket
	// The request is recorded before it is written: the dispatcher may forward it before Write returns.
	incarnation := c.dispatcher.currentIncarnation()
	c.dispatcher.fleet.oracle.updateRequest(r.ticket, func(observed *observedRequest) {
		observed.class, observed.orderingKey = r.class.name, r.orderingKey
		observed.dispatcher, observed.incarnation = c.dispatcher.index, incarnation
		observed.limit = r.limit
		observed.cancelledAtOnce = r.cancelledAtOnce
		observed.sentAt = time.Now()
	})
	c.dispatcher.rememberRequest(r)
	err := c.write(dispatchMessage(seq, r.fields(), requestStatement), r.splitDelay)
	c.sentAt[r.ticket] = time.Now()
	c.dispatcher.fleet.oracle.updateRequest(r.ticket, func(observed *observedRequest) {
		observed.sentAt = time.Now()
		if err != nil {
			observed.excused = excuseUnwritten
		}
	})
	return err == nil
}

// fields returns the request's fields by their names on the wire.
func (r request) fields() map[string]string {
	fields := map[string]string{
		"txn":     r.ticket,
		"verb":    r.class.name,
		"heap_mb": "32",
		"limit":   fmt.Sprint(r.limit.Milliseconds()),
		"cpu":     fmt.Sprintf("%.1f", float64(r.class.meanWork)/float64(time.Millisecond)),
	}
	if r.orderingKey != "" {
		fields["item"] = r.orderingKey
	}
	if r.idempotencyKey != "" {
		fields["unique"] = r.idempotencyKey
	}
	return fields
}

// write writes a message. If between is positive, it writes two halves with that time between them.
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

// cancel cancels a request if it is still open.
func (c *clientConn) cancel(ticket string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, open := range c.open {
		if open != ticket || c.closed {
			continue
		}
		c.lastSeq++
		writeBestEffort(c.conn, cancelMessage(c.lastSeq, seq))
		c.markClientGone(ticket)
		delete(c.open, seq)
	}
}

// cancelAll cancels all open requests of the connection.
func (c *clientConn) cancelAll() {
	c.mu.Lock()
	open := c.openTicketsLocked()
	c.mu.Unlock()
	for _, ticket := range open {
		c.cancel(ticket)
	}
}

func (c *clientConn) openTicketsLocked() []string {
	tickets := make([]string, 0, len(c.open))
	for _, ticket := range c.open {
		tickets = append(tickets, ticket)
	}
	return tickets
}

// disconnect closes the connection, by a reset if hard is set, and gives up its open requests.
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

// markClientGone records that the client no longer waits for a request. The recorded time is when the
// dispatcher must know it: now plus the longest delay of the clients' link.
func (c *clientConn) markClientGone(ticket string) {
	at := time.Now().Add(c.dispatcher.linkDelay())
	c.dispatcher.fleet.oracle.updateRequest(ticket, func(r *observedRequest) {
		if r.clientGoneAt.IsZero() {
			r.clientGoneAt = at
		}
	})
}

// read reads and handles answers until the connection ends.
func (c *clientConn) read() {
	defer c.dispatcher.track(c, false)
	in := bufio.NewReader(c.conn)
	for {
		frame, err := readFrame(in)
		if err != nil {
			c.connectionEnded(err)
			return
		}
		a, err := parseAnswer(frame)
		if err != nil {
			c.dispatcher.fleet.oracle.addFinding(invariantUnreadableAnswer, "%x", frame)
			c.disconnect(true)
			return
		}
		c.handleAnswer(a)
	}
}

// readFrame reads a frame and returns it without its length prefix, truncated to maxFrameBytes.
func readFrame(in io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	frame := make([]byte, min(binary.BigEndian.Uint32(head[:]), maxFrameBytes))
	_, err := io.ReadFull(in, frame)
	return frame, err
}

// handleAnswer records an answer, including a second one to the same request. It passes an answer to
// methodAlive to the poll that waits for it.
func (c *clientConn) handleAnswer(a answer) {
	if a.method == methodAlive {
		c.dispatcher.deliverAlive(a.alive)
		return
	}
	c.mu.Lock()
	ticket, ok := c.open[a.seq]
	delete(c.open, a.seq)
	if ok {
		c.answered[a.seq] = ticket
	} else {
		ticket, ok = c.answered[a.seq]
	}
	c.mu.Unlock()
	if !ok {
		return // the client cancelled the request or disconnected
	}
	c.dispatcher.fleet.oracle.updateRequest(ticket, func(r *observedRequest) {
		r.answers = append(r.answers, receivedAnswer{a.kind, a.body, time.Now()})
	})
}

// connectionEnded handles the end of a connection; by is the error of the last read. If the dispatcher closed
// the connection and all open requests may have crossed the close, each is sent again once, on a new
// connection. For a request that is not sent again, the end of the connection is recorded.
func (c *clientConn) connectionEnded(by error) {
	now := time.Now()
	c.mu.Lock()
	closedByClient := c.closed
	c.closed = true
	onlyCrossing := true
	for _, ticket := range c.open {
		age := now.Sub(c.sentAt[ticket])
		onlyCrossing = onlyCrossing && age <= crossingTime+c.dispatcher.linkDelay()
	}
	open := c.openTicketsLocked()
	c.mu.Unlock()
	c.conn.Close()
	if closedByClient {
		return
	}
	for _, ticket := range open {
		if onlyCrossing && c.dispatcher.resend(ticket) {
			continue
		}
		excused := onlyCrossing && (c.dispatcher.terminating() || c.dispatcher.descriptorsMayBeFull())
		c.dispatcher.fleet.oracle.updateRequest(ticket, func(r *observedRequest) {
			r.connectionEndedAt, r.connectionEndedBy = now, by.Error()
			if excused && r.excused == "" {
				r.excused = excuseCrossedClose
			}
		})
	}
}

// resend sends a request again on a new connection, unless it was sent again before. It reports whether the
// request was written.
func (d *dispatcher) resend(ticket string) bool {
	r, ok := d.rememberedRequest(ticket)
	if !ok || r.resentAfterClose || !d.acceptsConnections() {
		return false
	}
	c := d.connect()
	if c == nil {
		return false
	}
	r.resentAfterClose = true
	return c.send(r)
}

// writeBestEffort writes to a dispatcher's connection and ignores errors. After a failed write the dispatcher
// sees a broken connection, and the oracle judges how it reacts.
func writeBestEffort(w io.Writer, b []byte) { _, _ = w.Write(b) }
