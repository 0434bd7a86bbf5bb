package platform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/protocol/thrift"
	"cresspass/internal/tcpinfo"
)

// Limits of a client's connection.
const (
	requestBufferBytes  = 1 << 10                // of a read: most messages fit
	firstMessageTimeout = 2 * time.Second        // from connecting to the end of the first message
	frameTimeout        = 2 * time.Second        // from a message's first byte to its last
	clientIdleTimeout   = 15 * time.Second       // between messages; clients close after 4 s
	clientWriteTimeout  = 2 * time.Second        // for a client to accept one chunk of output
	maxPendingBytes     = 4 << 20                // of output for a client that does not read
	lingerTimeout       = 200 * time.Millisecond // for a client to close a half-closed connection
)

// closeReason is why a client's connection was closed, as the log shows it.
type closeReason string

// Reasons for closing a client's connection.
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

// Reasons for rejecting a request that is read.
const (
	reasonNotServing cresspass.Reason = "the dispatcher does not serve"
	reasonNoMemory   cresspass.Reason = "no memory for another request"
)

// Fault texts for requests that are open when their connection ends. They are part of the client protocol.
const (
	faultUnreadable = "the connection can't be read"
	faultIncomplete = "the request did not come whole in time"
	faultExiting    = "the dispatcher ends"
)

// Reasons in the event log for requests that end without an answer.
const (
	goneCancelled    = "cancelled"
	goneDisconnected = "connection closed"
)

// clientConn is a client's connection: the socket of a connection in thriftserver.Registry. One goroutine, in
// serve, reads the socket. Only that goroutine closes it, except for evictions, write errors, clients that do
// not read their output, and closeAll. Any goroutine may send; if the socket does not accept all of the
// output at once, flush writes the rest in its own goroutine.
type clientConn struct {
	frontend     *frontend
	id           thriftserver.ConnID
	idleTimeout  time.Duration
	writeTimeout time.Duration
	conn         *net.TCPConn
	raw          syscall.RawConn
	tellsState   bool          // the system tells the connection's state
	drained      atomic.Uint64 // how often the socket was seen empty: all messages before were handled
	reader       *bufio.Reader

	// Used only by serve's goroutine.
	readDelay time.Duration // how long input that is read now may have been in the socket
	emptyAt   time.Duration // when the socket was last seen empty, on the service's clock
	readable  bool          // input was seen in the socket since the last read
	message   messageBuffer // the message that is being read
	turn      turn

	// Guarded by frontend.mu.
	holdsInput   bool   // bytes that were read may hold a message that was not handled yet
	handledBytes uint64 // of the messages handled

	mu              sync.Mutex // guards the fields below, and the read deadline against closing
	pending         []byte     // output that is not being written yet; its bytes are reserved
	pendingMessages int        // messages in pending or being written
	flushing        bool       // flush is running
	closing         bool       // half-close once the output is written; discard input
	dropped         bool       // the output was dropped: the client does not read
}

// newClientConn returns a connection that is not registered yet. It fails only if the socket is closed.
func newClientConn(f *frontend, conn *net.TCPConn) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{frontend: f, conn: conn, raw: raw, message: messageBuffer{memory: f.service.memory},
		turn: turn{turns: f.turns}}
	// Where the system tells another state for a connection that was just accepted, it is not relied upon.
	state := tcpinfo.StateOf(raw)
	c.tellsState = state == tcpinfo.Open || state == tcpinfo.PeerClosed
	socket := &deadlineReader{conn: conn, hasUnread: c.hasUnread, setTimeout: c.setReadTimeout}
	c.reader = bufio.NewReaderSize(&inputReader{client: c, socket: socket}, requestBufferBytes)
	return c, nil
}

// serve reads and handles the client's messages until the connection ends.
func (c *clientConn) serve() {
	defer c.cleanUp()
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
		err := c.readMessage()
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

// beginMessage records that a message has begun to arrive. It returns false if no more messages are accepted.
func (c *clientConn) beginMessage() bool {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	c.holdsInput = true
	return c.frontend.registry.BeginMessage(time.Now(), c.id)
}

// readMessage reads a message and handles it. A request for which there is no memory is rejected.
func (c *clientConn) readMessage() error {
	registry := c.frontend.registry // what its decoding methods read does not change
	frame, err := c.message.read(c.reader)
	length, handled := c.message.length(), false // a request that is accepted takes the message over
	switch {
	case err == nil:
		c.turn.beginMessage(length)
		handled = c.handleMessage(registry.Decode(frame))
	case errors.Is(err, errNoMemory):
		handled = c.handleMessage(registry.DecodeHeader(frame))
	default:
		return err
	}
	c.message.reset() // not held while the connection waits for its next turn
	if !handled {
		return errMalformedFrame
	}
	if c.turn.addMessage(length) && c.closedByPeer() {
		return io.EOF // what is left unread is not handled: no client waits for it
	}
	return nil
}

// handleMessage handles a message. It returns false if the connection can't be read any further.
func (c *clientConn) handleMessage(message thriftserver.Message) bool {
	service, registry := c.frontend.service, c.frontend.registry
	handle, reason := registry.HandleMessage, reasonNotServing
	if message.IsDispatch() {
		var reserved bool
		if message.Memory, reserved = c.message.reserveRequest(); !reserved {
			handle, reason = registry.RejectRequest, reasonNoMemory
		}
	}
	c.frontend.mu.Lock()
	// Measured under the lock: a stall while this goroutine waited for the lock counts as well.
	c.readDelay = max(c.readDelay, c.turn.waited, service.stalls.maxWait(c.emptyAt, c.sinceLastInput))
	verdict := handle(time.Now().Add(-c.readDelay), c.id, message)
	c.holdsInput = c.reader.Buffered() > 0
	c.handledBytes += uint64(c.message.length())
	if mutantEnabled(mutantNoOrderingKey) {
		verdict.Event.Key = ""
	}
	rejected := false
	if verdict.Accepted != nil {
		if rejected = !service.guard.admit(verdict.Accepted, verdict.Event.Key); !rejected {
			verdict.Event.RemainingDeadline = time.Until(verdict.Accepted.Deadline)
			// Posted under the lock: a cancel that follows at once must be posted after it.
			service.loop.Post(verdict.Event)
		}
	}
	c.frontend.mu.Unlock()
	if verdict.Accepted != nil {
		c.turn.addRequest()
		c.message.handOver()
	} else {
		message.Memory.Release()
	}
	if rejected {
		c.frontend.respondError(verdict.Accepted.ID, thrift.ShedException, 0, reasonNotServing)
	}
	c.recordRejected(verdict, string(reason))
	if verdict.Reply != nil {
		c.send(verdict.Reply, 1)
	}
	if verdict.Cancelled != nil && !mutantEnabled(mutantIgnoreCancel) {
		service.abandonRequest(verdict.Cancelled, goneCancelled)
	}
	return !verdict.EndOfInput
}

// recordRejected records a request that is invalid, or was rejected on arrival for a reason.
func (c *clientConn) recordRejected(result thriftserver.MessageResult, reason string) {
	service := c.frontend.service
	switch {
	case result.Invalid:
		service.malformedMessages.Add(1)
		service.events.Add(requestEvent(eventlog.RequestMalformed, result.Ticket, result.Reason))
	case result.Rejected:
		service.events.Add(requestEvent(eventlog.RequestRejected, result.Ticket, reason))
	}
}

// handleReadTimeout handles a connection on which nothing more arrived in time. It reports whether the
// connection ends.
func (c *clientConn) handleReadTimeout() bool {
	c.frontend.mu.Lock()
	partial := c.frontend.registry.MidMessage(c.id)
	if !partial && c.hasUnread() { // input that serve has not read yet
		c.frontend.mu.Unlock()
		return false
	}
	reason := closedIdle
	if partial {
		reason = closedPartialMessage
	}
	open, end := c.frontend.registry.ReadTimedOut(c.id)
	if end {
		c.frontend.recordClose(reason)
	}
	c.frontend.mu.Unlock()
	c.failRequests(open, faultIncomplete)
	return end
}

// abort ends a connection whose input can't be read, and answers its open requests with a fault.
func (c *clientConn) abort(fault string, reason closeReason) {
	c.frontend.mu.Lock()
	open := c.frontend.registry.EndMalformed(c.id)
	c.frontend.recordClose(reason)
	c.frontend.mu.Unlock()
	c.failRequests(open, fault)
}

// failRequests answers the requests that were open on an ending connection with a fault, and has the core
// cancel them.
func (c *clientConn) failRequests(open []*thriftserver.Request, fault string) {
	var b []byte
	for _, request := range open {
		b = append(b, thriftserver.FaultReply(request.Seq, fault)...)
		c.frontend.service.abandonRequest(request, fault)
	}
	if len(open) > 0 {
		c.send(b, len(open))
	}
}

// cleanUp closes a connection that has ended, and cancels the requests that are open on it.
func (c *clientConn) cleanUp() {
	c.frontend.mu.Lock()
	if c.frontend.registry.PhaseOf(c.id) == thriftserver.Serving {
		c.frontend.recordClose(closedByClient)
	}
	open := c.frontend.forget(c.id)
	c.frontend.mu.Unlock()
	c.message.reset()
	c.turn.end()
	c.conn.Close()
	for _, request := range open {
		c.frontend.service.abandonRequest(request, goneDisconnected)
	}
}
