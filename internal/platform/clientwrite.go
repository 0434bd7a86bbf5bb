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
// answers would be late. If more than maxPendingBytes of output wait for the client, send closes the
// connection.
func (c *clientConn) send(b []byte, messages int) {
	c.mu.Lock()
	c.pendingMessages += messages
	if len(c.pending)+len(b) > maxPendingBytes {
		c.closing = true
		c.mu.Unlock()
		c.recordNotReading()
		c.conn.Close()
		return
	}
	if !c.flushing && len(c.pending) == 0 {
		b = c.writeNow(b)
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
		b := c.pending
		c.pending = nil
		if len(b) == 0 {
			messages := c.pendingMessages
			c.flushing, c.pendingMessages = false, 0
			c.conn.SetWriteDeadline(time.Time{})
			if c.closing {
				c.halfClose()
			}
			c.mu.Unlock()
			c.recordWritten(messages)
			return
		}
		c.mu.Unlock()
		for err := error(nil); len(b) > 0 && err == nil; {
			chunk := b[:min(len(b), writeChunkBytes)]
			b = b[len(chunk):]
			c.conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
			if _, err = c.conn.Write(chunk); err != nil {
				c.endAfterWriteError(err)
			}
		}
	}
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
		if _, err := c.conn.Read(b); err != nil {
			return
		}
	}
}
