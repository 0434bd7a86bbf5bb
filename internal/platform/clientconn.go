package platform

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/protocol/thrift"
)

// Limits of a client's connection.
const (
	maxFrameBytes       = 128 << 10              // of a message
	requestBufferBytes  = 1 << 10                // read at once: mostly a whole message
	firstMessageTimeout = 2 * time.Second        // from connecting to the end of the first message
	frameTimeout        = 2 * time.Second        // from a message's first byte to its last
	clientIdleTimeout   = 15 * time.Second       // between messages; clients close after 4 s
	clientWriteTimeout  = 2 * time.Second        // until a client takes another chunk of what is written
	maxPendingBytes     = 4 << 20                // that wait for a client that doesn't read
	lingerTimeout       = 200 * time.Millisecond // for a client to close a connection that is half-closed
)

// closeReason says why a client's connection ended, in the log.
type closeReason string

// The reasons.
const (
	closedForCapacity      closeReason = "evicted"
	closedNoCapacity       closeReason = "no_capacity"
	closedUnusedAtShutdown closeReason = "shutdown_unused"
	closedAtExit           closeReason = "shutdown_exit"
	closedIdle             closeReason = "idle_timeout"
	closedPartialMessage   closeReason = "partial_message"
	closedMalformed        closeReason = "malformed"
	closedNotReading       closeReason = "not_reading"
	closedByClient         closeReason = "client"
)

// reasonNotServing is the reason of a request that was read before the start or after the end of serving.
const reasonNotServing cresspass.Reason = "the dispatcher does not serve"

// What clients are told of requests that are open as their connection ends. It is part of the protocol.
const (
	faultUnreadable = "the connection can't be read"
	faultIncomplete = "the request did not come whole in time"
	faultExiting    = "the dispatcher ends"
)

// Reasons of requests without an answer, in the event log.
const (
	goneCancelled    = "cancelled"
	goneDisconnected = "connection closed"
)

// clientConn is a client's connection: the socket behind a connection of thriftserver.Registry. One
// goroutine, in serve, reads it, and alone closes it, but for evictions and writes that fail. Any
// goroutine may send; where the socket does not take all at once, flush writes the rest in a goroutine of
// its own.
type clientConn struct {
	frontend     *frontend
	id           thriftserver.ConnID
	idleTimeout  time.Duration
	writeTimeout time.Duration
	conn         *net.TCPConn
	raw          syscall.RawConn
	reader       *bufio.Reader

	// For serve's goroutine only.
	readDelay time.Duration // what is read now may have been in the socket for so long
	emptyAt   time.Duration // the socket was last seen empty then
	readable  bool          // something was seen in the socket since it was last read

	// Guarded by frontend.mu.
	holdsInput bool   // bytes that were read may hold a message that was not handled yet
	messages   uint64 // handled

	mu              sync.Mutex // guards the fields below, and the read deadline against closing
	pending         []byte     // output that nobody writes yet
	pendingMessages int        // in pending, or being written
	flushing        bool       // flush runs
	closing         bool       // to be half-closed once the output is written; input is discarded
}

// newClientConn returns a connection that is not registered. The error is that of a closed socket.
func newClientConn(f *frontend, conn *net.TCPConn) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{frontend: f, conn: conn, raw: raw}
	socket := &deadlineReader{conn: conn, hasUnread: c.hasUnread, setTimeout: c.setReadTimeout}
	c.reader = bufio.NewReaderSize(&inputReader{client: c, socket: socket}, requestBufferBytes)
	return c, nil
}

// serve takes the client's messages until its connection ends.
func (c *clientConn) serve() {
	defer c.cleanUp()
	var frame []byte
	c.setReadTimeout(firstMessageTimeout)
	for first := true; ; first = false {
		if err := c.waitReadable(); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			if !c.handleReadTimeout() {
				c.setReadTimeout(c.idleTimeout)
				continue
			}
			c.lingerClose()
			return
		}
		if !c.beginMessage() {
			c.lingerClose()
			return
		}
		if !first {
			c.setReadTimeout(frameTimeout)
		}
		var err error
		if frame, err = c.readFrame(frame); err == nil && !c.handleMessage(frame) {
			err = errMalformedFrame
		}
		switch {
		case err == nil:
			c.setReadTimeout(c.idleTimeout)
			continue
		case errors.Is(err, errMalformedFrame):
			c.frontend.service.malformedMessages.Add(1)
			c.abort(faultUnreadable, closedMalformed)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.handleReadTimeout()
		default: // the client has disconnected
			return
		}
		c.lingerClose()
		return
	}
}

// beginMessage records that a message has begun to arrive. It returns false where no more is accepted.
func (c *clientConn) beginMessage() bool {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	c.holdsInput = true
	return c.frontend.registry.BeginMessage(time.Now(), c.id)
}

// handleMessage handles a message. It returns false where the connection can't be read any further.
func (c *clientConn) handleMessage(frame []byte) bool {
	service := c.frontend.service
	message := c.frontend.registry.Decode(frame)
	c.frontend.mu.Lock()
	// Under the lock: a stall while this goroutine waited for it counts as well.
	c.readDelay = max(c.readDelay, service.stalls.maxWait(c.emptyAt, c.sinceLastInput))
	verdict := c.frontend.registry.HandleMessage(time.Now().Add(-c.readDelay), c.id, message)
	c.holdsInput = c.reader.Buffered() > 0
	c.messages++
	if mutantEnabled(mutantNoOrderingKey) {
		verdict.Event.Key = ""
	}
	rejected := false
	if verdict.Accepted != nil {
		if rejected = !service.guard.admit(verdict.Accepted, verdict.Event.Key); !rejected {
			verdict.Event.RemainingDeadline = time.Until(verdict.Accepted.Deadline)
			// Under the lock: a cancel that follows at once must be posted after it.
			service.loop.Post(verdict.Event)
		}
	}
	c.frontend.mu.Unlock()
	if rejected {
		c.frontend.respondError(verdict.Accepted.ID, thrift.ShedException, 0, reasonNotServing)
	}
	c.recordRejected(verdict, string(reasonNotServing))
	if verdict.Reply != nil {
		c.send(verdict.Reply, 1)
	}
	if verdict.Cancelled != nil && !mutantEnabled(mutantIgnoreCancel) {
		service.clientLeft(verdict.Cancelled, goneCancelled)
	}
	return !verdict.EndOfInput
}

// recordRejected records a request that is itself at fault, or was rejected as it came, for a reason.
func (c *clientConn) recordRejected(result thriftserver.MessageResult, why string) {
	service := c.frontend.service
	switch {
	case result.Invalid:
		service.malformedMessages.Add(1)
		service.events.Add(requestEvent(eventlog.RequestMalformed, result.Ticket, result.Reason))
	case result.Rejected:
		service.events.Add(requestEvent(eventlog.RequestRejected, result.Ticket, why))
	}
}

// handleReadTimeout handles a connection on which nothing more arrived in time. It reports
// whether the connection ends.
func (c *clientConn) handleReadTimeout() bool {
	c.frontend.mu.Lock()
	partial := c.frontend.registry.MidMessage(c.id)
	if !partial && c.hasUnread() { // bytes are there that serve has not read yet
		c.frontend.mu.Unlock()
		return false
	}
	why := closedIdle
	if partial {
		why = closedPartialMessage
	}
	open, end := c.frontend.registry.ReadTimedOut(c.id)
	if end {
		c.frontend.recordClose(why)
	}
	c.frontend.mu.Unlock()
	c.failRequests(open, faultIncomplete)
	return end
}

// abort ends a connection on which nothing further is read.
func (c *clientConn) abort(fault string, why closeReason) {
	c.frontend.mu.Lock()
	open := c.frontend.registry.EndMalformed(c.id)
	c.frontend.recordClose(why)
	c.frontend.mu.Unlock()
	c.failRequests(open, fault)
}

// failRequests fails the requests that were open on a connection that ends, and has the core cancel them.
func (c *clientConn) failRequests(open []*thriftserver.Request, fault string) {
	var b []byte
	for _, request := range open {
		b = append(b, thriftserver.FaultReply(request.Seq, fault)...)
		c.frontend.service.clientLeft(request, fault)
	}
	if len(open) > 0 {
		c.send(b, len(open))
	}
}

// cleanUp cancels the requests that are open on a connection that ended, and closes it.
func (c *clientConn) cleanUp() {
	c.frontend.mu.Lock()
	if c.frontend.registry.PhaseOf(c.id) == thriftserver.Serving {
		c.frontend.recordClose(closedByClient)
	}
	open := c.frontend.forget(c.id)
	c.frontend.mu.Unlock()
	c.conn.Close()
	for _, request := range open {
		c.frontend.service.clientLeft(request, goneDisconnected)
	}
}
