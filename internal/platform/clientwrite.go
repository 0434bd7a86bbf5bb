package platform

import (
	"errors"
	"os"
	"syscall"
	"time"

	"cresspass/internal/frontend/thriftserver"
)

// writeChunkBytes is the size of a chunk of output, which a client must accept within its write timeout.
const writeChunkBytes = 16 << 10

// send writes b, which holds the given number of messages, without waiting for the client. It writes what the
// socket accepts at once: on busy cores the goroutine of flush would have to wait to be scheduled, and
// answers would be late. The rest is pending. If more than maxPendingBytes are pending for the client, send
// closes the connection; if there is no memory for more output, it closes those with the most first.
func (c *clientConn) send(b []byte, messages int) {
	budget, reserved := c.frontend.service.memory.output, int64(len(b))
	if !c.frontend.reserveOutput(c, reserved) {
		c.dropOutput()
		return
	}
	c.mu.Lock()
	if c.dropped || len(c.pending)+len(b) > maxPendingBytes {
		c.mu.Unlock()
		budget.Release(reserved)
		c.dropOutput()
		return
	}
	c.pendingMessages += messages
	if !c.flushing && len(c.pending) == 0 {
		b = c.writeNow(b)
	}
	c.pending = append(c.pending, b...)
	budget.Release(reserved - int64(len(b)))
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

// reserveOutput reserves memory for output to a client. While there is none, it closes the connection for
// which most output is pending. It returns false if that is the client's own connection.
func (f *frontend) reserveOutput(client *clientConn, bytes int64) bool {
	budget := f.service.memory.output
	for !budget.TryReserve(bytes) {
		switch largest := f.mostPending(); largest {
		case nil: // all that is reserved is being written, as this output is going to be
			budget.Reserve(bytes)
			return true
		case client:
			return false
		default:
			largest.dropOutput()
		}
	}
	return true
}

// mostPending returns the connection for which most output is pending, or nil if none is.
func (f *frontend) mostPending() (largest *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, client := range f.conns {
		if pending := client.pendingBytes(); pending > most {
			largest, most = client, pending
		}
	}
	return largest
}

// dropOutput drops the pending output of a client that does not read, and closes its connection.
func (c *clientConn) dropOutput() {
	c.recordNotReading()
	c.mu.Lock()
	dropped := len(c.pending)
	c.pending, c.dropped, c.closing = nil, true, true
	c.mu.Unlock()
	c.frontend.service.memory.output.Release(int64(dropped))
	c.conn.Close()
}

// pendingBytes returns how much output is pending.
func (c *clientConn) pendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// writeNow writes what the socket accepts at once, and returns the rest. It ignores errors, because flush
// will encounter them again.
func (c *clientConn) writeNow(b []byte) []byte {
	_ = c.raw.Write(func(fd uintptr) bool {
		if n, err := syscall.Write(int(fd), b); err == nil && n > 0 {
			b = b[n:]
		}
		return true
	})
	return b
}

// flush writes the pending output until there is none. Each chunk has its own deadline: with a single
// deadline for all, a client that reads large results slowly would be disconnected in the middle of its
// answers.
func (c *clientConn) flush() {
	for {
		c.mu.Lock()
		chunk := c.pending[:min(len(c.pending), writeChunkBytes)]
		c.pending = c.pending[len(chunk):]
		if len(chunk) == 0 {
			c.endFlush()
			return
		}
		c.mu.Unlock()
		c.conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
		_, err := c.conn.Write(chunk)
		c.frontend.service.memory.output.Release(int64(len(chunk)))
		if err != nil {
			c.endAfterWriteError(err)
		}
	}
}

// endFlush ends the writing of pending output, of which there is none left. The caller holds c.mu, which
// endFlush releases.
func (c *clientConn) endFlush() {
	messages := c.pendingMessages
	c.pending, c.flushing, c.pendingMessages = nil, false, 0
	c.conn.SetWriteDeadline(time.Time{})
	if c.closing {
		c.halfClose()
	}
	c.mu.Unlock()
	c.recordWritten(messages)
}

// endAfterWriteError closes the connection after a write error. A client that reads nothing within the write
// timeout is recorded here as not reading; one that has disconnected is recorded by the reader.
func (c *clientConn) endAfterWriteError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.recordNotReading()
	}
	c.conn.Close()
}

// recordNotReading records that the connection is closed because the client does not read. It is called
// before the connection is closed, and records it only once.
func (c *clientConn) recordNotReading() {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	if c.frontend.registry.PhaseOf(c.id) == thriftserver.Serving {
		c.frontend.registry.Close(c.id)
		c.frontend.recordClose(closedNotReading)
	}
}

// recordWritten records that messages were written to the socket.
func (c *clientConn) recordWritten(messages int) {
	if messages > 0 {
		c.frontend.mu.Lock()
		c.frontend.registry.RepliesWritten(time.Now(), c.id, messages)
		c.frontend.mu.Unlock()
	}
}

// retire ends a connection on which the registry accepts nothing more: it is half-closed once all answers are
// written, and further input is discarded until the client closes it. Closing a socket with unread bytes
// would reset the connection, and the last answers could be lost.
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
		// flush half-closes the connection earlier, and shortens this deadline.
		c.conn.SetReadDeadline(time.Now().Add(clientIdleTimeout))
	}
}

// halfClose closes the writing side, and limits reading to lingerTimeout. The caller holds c.mu.
func (c *clientConn) halfClose() {
	if mutantEnabled(mutantNoLinger) {
		c.conn.Close()
		return
	}
	_ = c.conn.CloseWrite() // fails only if the connection has ended already
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// lingerClose retires the connection and discards input until the client closes it or its time is over.
func (c *clientConn) lingerClose() {
	c.retire()
	c.discardInput()
}

// discardInput reads until the client closes the connection or the read deadline passes.
func (c *clientConn) discardInput() {
	b := make([]byte, requestBufferBytes)
	for {
		if c.turn.granted && !c.hasUnread() {
			c.turn.end() // the read may wait
		}
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		c.turn.addMessage(n)
	}
}
