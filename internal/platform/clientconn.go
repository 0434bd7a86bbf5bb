package platform

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/thrift"
)

// Of a client's connection.
const (
	maxFrameBytes       = 128 << 10              // bytes of a message
	firstMessageTimeout = 2 * time.Second        // from connecting to the first whole message
	frameTimeout        = 2 * time.Second        // from a message's first byte to its last
	clientIdleTimeout   = 15 * time.Second       // between messages; clients close after 4 s
	clientWriteTimeout  = 2 * time.Second        // until a client takes some more of what is written
	writeChunkBytes     = 16 << 10               // bytes that are some more
	maxPendingBytes     = 4 << 20                // bytes that wait for a client that doesn't read
	readChunkBytes      = 8 << 10                // a message grows by this, so that a told length alone costs nothing
	requestBufferBytes  = 1 << 10                // bytes read at once: mostly a whole message
	lingerTimeout       = 200 * time.Millisecond // for a client to close a connection that was shut for writing
	peekRetryInterval   = time.Millisecond       // after a look at a socket that failed and tells nothing
	readerGrace         = 20 * time.Millisecond  // for a reader to come to what lies in its socket
)

// closeReason says why we close a client's connection.
type closeReason string

// The reasons.
const (
	closedForCapacity      closeReason = "room for another"
	closedNoCapacity       closeReason = "no room"
	closedUnusedAtShutdown closeReason = "shutdown, unused"
	closedAtExit           closeReason = "shutdown, last answers given"
	closedIdle             closeReason = "silent for too long"
	closedPartialMessage   closeReason = "half a message for too long"
	closedMalformed        closeReason = "can't be read"
	closedNotReading       closeReason = "takes no answers"
	closedByClient         closeReason = "closed by the client"
)

// reasonNotServing is the reason of a request that came before the start or after the end.
const reasonNotServing cresspass.Reason = "the dispatcher does not serve"

// clientConn is a connection of a client: the shell of what thriftfront.State knows of it.
type clientConn struct {
	frontend     *frontend
	id           thriftserver.ConnID
	idleTimeout  time.Duration // between messages
	writeTimeout time.Duration // until some more of what is written is taken
	readDelay    time.Duration // what is read now may have come so long ago; the reader's alone
	emptyAt      time.Duration // nothing was there to be read then; the reader's alone
	conn         *net.TCPConn
	raw          syscall.RawConn
	reader       *bufio.Reader

	mu              sync.Mutex
	pending         []byte
	pendingMessages int // in out, or being written
	flushing        bool
	closing         bool // shut for writing once out is written; what comes is thrown away
}

// serve takes the client's messages until its connection ends. It alone closes the connection, but for one
// that makes room.
func (c *clientConn) serve() {
	defer c.cleanUp()
	var frame []byte
	c.setReadTimeout(firstMessageTimeout)
	for first := true; ; first = false {
		if err := c.waitReadable(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				if !c.handleReadTimeout() {
					c.setReadTimeout(c.idleTimeout)
					continue
				}
				c.lingerClose()
			}
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
			c.abort("the connection can't be read", closedMalformed)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.handleReadTimeout()
		default: // its client has gone
			return
		}
		c.lingerClose()
		return
	}
}

var errMalformedFrame = errors.New("no message")

// readFrame reads a message into a buffer, or into another one.
func (c *clientConn) readFrame(frame []byte) ([]byte, error) {
	var head [thrift.FrameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return frame, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrameBytes {
		return frame, errMalformedFrame
	}
	if cap(frame) > 2*readChunkBytes && n <= readChunkBytes {
		frame = nil
	}
	frame = frame[:0]
	for left := int(n); left > 0; {
		step := min(left, readChunkBytes)
		at := len(frame)
		frame = append(frame, make([]byte, step)...)
		if _, err := io.ReadFull(c.reader, frame[at:]); err != nil {
			return frame, err
		}
		left -= step
	}
	return frame, nil
}

// waitReadable waits until something is there to be read, and leaves it there. Danger: bytes that were read
// out of the socket before the state knows of them would be lost with a connection that is closed as unused.
func (c *clientConn) waitReadable() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	for {
		var n int
		var got error
		err := c.raw.Read(func(fd uintptr) bool {
			n, got = c.frontend.service.system.peek(fd)
			if got == syscall.EAGAIN {
				c.readDelay, c.emptyAt = 0, c.frontend.service.clock()
			}
			return got != syscall.EAGAIN
		})
		switch {
		case err != nil:
			return err
		case oserr.IsTransient(got) && !mutated(brittleLook):
			// Danger: it tells nothing. Waiting for the poller instead, which tells only of what is new,
			// would leave what is there unread for good.
			time.Sleep(peekRetryInterval)
		case got == nil && n == 0:
			return io.EOF
		default:
			return got
		}
	}
}

// peekResult is what a look at a socket shows.
type peekResult int

// The results.
const (
	peekEmpty  peekResult = iota // nothing is there to be read
	peekData                     // something is; where the look fails it may be so
	peekClosed                   // by the other side, or broken
)

// peek looks at what is there to be read, without waiting.
func (c *clientConn) peek() peekResult {
	result := peekClosed
	c.raw.Control(func(fd uintptr) {
		switch n, err := c.frontend.service.system.peek(fd); {
		case err == nil && n > 0, oserr.IsTransient(err):
			result = peekData
		case errors.Is(err, syscall.EAGAIN):
			result = peekEmpty
		}
	})
	return result
}

// hasUnread reports whether something may be there to be read.
func (c *clientConn) hasUnread() bool { return !mutated(noUnreadLook) && c.peek() == peekData }

// beginMessage tells the state that a message has begun to come.
func (c *clientConn) beginMessage() bool {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	return c.frontend.state.BeginMessage(time.Now(), c.id)
}

// setReadTimeout is how long the client may take. It returns false where the connection was retired.
func (c *clientConn) setReadTimeout(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.conn.SetReadDeadline(time.Now().Add(d))
	}
	return !c.closing
}

// handleReadTimeout has the state judge a connection on which nothing more came in time. It reports whether
// it ends.
func (c *clientConn) handleReadTimeout() bool {
	c.frontend.mu.Lock()
	if !c.frontend.state.MidMessage(c.id) && c.hasUnread() {
		c.frontend.mu.Unlock() // its reader only had not come to it
		return false
	}
	why := closedIdle
	if c.frontend.state.MidMessage(c.id) {
		why = closedPartialMessage
	}
	open, end := c.frontend.state.ReadTimedOut(c.id)
	if end {
		c.frontend.recordClose(why)
	}
	c.frontend.mu.Unlock()
	c.failRequests(open, "the request did not come whole in time")
	return end
}

// abort ends a connection on which nothing further is read.
func (c *clientConn) abort(reason string, why closeReason) {
	c.frontend.mu.Lock()
	open := c.frontend.state.EndMalformed(c.id)
	c.frontend.recordClose(why)
	c.frontend.mu.Unlock()
	c.failRequests(open, reason)
}

// failRequests answers and gives up what was open on a connection that ends.
func (c *clientConn) failRequests(open []*thriftserver.Request, reason string) {
	var b []byte
	for _, q := range open {
		b = append(b, thriftserver.FaultReply(q.Seq, reason)...)
		c.frontend.service.clientLeft(q, reason)
	}
	if len(open) > 0 {
		c.send(b, len(open))
	}
}

// retire has a connection end on which the state takes nothing more: it is shut for writing once all answers
// are written, and what still comes is thrown away until the client closes. Danger: a close over unread bytes
// resets the connection, and the last answers are lost with it.
func (c *clientConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	if !c.flushing {
		c.halfClose()
	} else {
		c.conn.SetReadDeadline(time.Now().Add(clientIdleTimeout)) // flush shuts it before that
	}
}

// halfClose ends the writing side, and the reading side some time later. c.mu is held.
func (c *clientConn) halfClose() {
	if mutated(noLinger) {
		c.conn.Close()
		return
	}
	c.conn.CloseWrite()
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// lingerClose retires the connection and reads until its client closes it, for some time at most.
func (c *clientConn) lingerClose() {
	c.retire()
	b := make([]byte, requestBufferBytes)
	for {
		if _, err := c.conn.Read(b); err != nil {
			return
		}
	}
}

// handleMessage handles a message. It returns false where the connection can't be read any further.
func (c *clientConn) handleMessage(frame []byte) bool {
	service, message := c.frontend.service, c.frontend.state.Decode(frame)
	c.frontend.mu.Lock()
	// Danger: asked earlier, a stall since then would not count.
	c.readDelay = max(c.readDelay, service.stalls.maxWait(c.emptyAt))
	verdict := c.frontend.state.HandleMessage(time.Now().Add(-c.readDelay), c.id, message)
	verdict.Event.RemainingDeadline -= c.readDelay
	if mutated(noOrder) {
		verdict.Event.Key = ""
	}
	refused := false
	if verdict.Accepted != nil {
		if refused = !service.guard.admit(verdict.Accepted, verdict.Event.Key); !refused {
			service.loop.Post(
				verdict.Event,
			) // under the lock: what its client takes back at once must come after it
		}
	}
	c.frontend.mu.Unlock()
	if refused {
		c.frontend.respondError(verdict.Accepted.ID, thrift.ShedException, 0, reasonNotServing)
	}
	if verdict.Invalid {
		service.malformedMessages.Add(1)
		service.events.Add(
			eventlog.Event{
				Kind:      eventlog.RequestMalformed,
				RequestID: verdict.Ticket,
				Attempt:   -1,
				Reason:    verdict.Reason,
			},
		)
	}
	if verdict.Reply != nil {
		c.send(verdict.Reply, 1)
	}
	if verdict.Cancelled != nil && !mutated(lostCancel) {
		service.clientLeft(verdict.Cancelled, "cancelled")
	}
	return !verdict.EndOfInput
}

// send writes so many messages without waiting for the client.
func (c *clientConn) send(b []byte, messages int) {
	c.mu.Lock()
	c.pendingMessages += messages
	if len(c.pending)+len(b) > maxPendingBytes {
		c.closing = true
		c.conn.Close()
		c.mu.Unlock()
		c.frontend.recordNotReading()
		return
	}
	if !c.flushing && len(c.pending) == 0 && c.raw != nil {
		// Danger: a writer's goroutine waits for the core behind all others, and answers come too late when
		// it is full. What the socket takes at once is written here.
		c.raw.Write(func(fd uintptr) bool {
			if n, err := syscall.Write(int(fd), b); err == nil && n > 0 {
				b = b[n:]
			}
			return true
		})
	}
	c.pending = append(c.pending, b...)
	written := 0
	switch {
	case c.flushing:
	case len(c.pending) > 0:
		c.flushing = true
		go c.flush()
	default:
		written, c.pendingMessages = c.pendingMessages, 0
	}
	c.mu.Unlock()
	c.recordWritten(written)
}

// recordWritten tells the state of messages that have left.
func (c *clientConn) recordWritten(n int) {
	if n > 0 {
		c.frontend.mu.Lock()
		c.frontend.state.RepliesWritten(time.Now(), c.id, n)
		c.frontend.mu.Unlock()
	}
}

func (c *clientConn) flush() {
	for {
		c.mu.Lock()
		b := c.pending
		c.pending = nil
		if len(b) == 0 {
			n := c.pendingMessages
			c.flushing, c.pendingMessages = false, 0
			c.conn.SetWriteDeadline(time.Time{})
			if c.closing {
				c.halfClose()
			}
			c.mu.Unlock()
			c.recordWritten(n)
			return
		}
		c.mu.Unlock()
		// Danger: a client that reads slowly, and has asked for much, would be cut off in the middle of its
		// answers if all of them had one deadline.
		for err := error(nil); len(b) > 0 && err == nil; {
			step := b[:min(len(b), writeChunkBytes)]
			b = b[len(step):]
			c.conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
			if _, err = c.conn.Write(step); err != nil {
				c.conn.Close()
				c.frontend.recordNotReading()
			}
		}
	}
}

// cleanUp ends what is open on a connection that ended, and closes it.
func (c *clientConn) cleanUp() {
	c.frontend.mu.Lock()
	if c.frontend.state.PhaseOf(c.id) == thriftserver.Serving {
		c.frontend.recordClose(closedByClient)
	}
	open := c.frontend.forget(c.id)
	c.frontend.mu.Unlock()
	c.conn.Close()
	for _, q := range open {
		c.frontend.service.clientLeft(q, "its connection ended")
	}
}
