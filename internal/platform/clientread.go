package platform

import (
	"errors"
	"io"
	"syscall"
	"time"

	"cresspass/internal/oserr"
	"cresspass/internal/tcpinfo"
)

// peekRetryInterval is the pause before a socket is checked again: after a peek with a transient error, and
// while unhandled input may cancel a request.
const peekRetryInterval = time.Millisecond

// waitReadable waits until there is input, without reading it. Bytes that were read from the socket before
// the registry knows of a message would be lost if the connection were closed as unused.
//
// After a transient peek error it peeks again: the runtime's poller reports only new bytes, so waiting for it
// would leave the bytes that are already there unread forever.
func (c *clientConn) waitReadable() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	err := c.waitSocket()
	c.readable = err == nil
	return err
}

// waitSocket is waitReadable for the socket alone, without the reader's buffer.
func (c *clientConn) waitSocket() error {
	for {
		var n int
		var peekErr error
		err := c.raw.Read(func(fd uintptr) bool {
			n, peekErr = c.frontend.service.system.peek(fd)
			empty := errors.Is(peekErr, syscall.EAGAIN)
			if empty {
				c.readDelay, c.emptyAt = 0, c.frontend.service.clock()
				c.drained.Add(1)
				c.turn.end()
			}
			return !empty
		})
		switch {
		case err != nil:
			return err
		case oserr.IsTransient(peekErr) && !mutantEnabled(mutantPeekErrorFatal):
			time.Sleep(peekRetryInterval)
		case peekErr == nil && n == 0:
			return io.EOF
		default:
			return peekErr
		}
	}
}

// inputReader reads the socket for a client's buffered reader, which reads on only if it has no complete
// message.
type inputReader struct {
	client *clientConn
	socket *deadlineReader
}

// Read waits until there is input in the socket before it reads. Until a message is handled, other goroutines
// then find it either in the socket or, by holdsInput, in the reader. Otherwise a message that was read and
// not handled yet would be lost if the connection were closed as unused.
func (r *inputReader) Read(b []byte) (int, error) {
	if !r.client.readable {
		r.client.setHoldsInput(false)
		_ = r.client.waitSocket() // the read below returns the same error
		r.client.setHoldsInput(true)
	}
	r.client.readable = false
	return r.socket.Read(b)
}

func (c *clientConn) setHoldsInput(holds bool) {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	c.holdsInput = holds
}

// mayHoldMessage reports whether there may be a message that was not handled yet, in the socket or already
// read. The caller holds frontend.mu.
func (c *clientConn) mayHoldMessage() bool {
	return c.holdsInput && !mutantEnabled(mutantNoUnreadCheck) || c.hasUnread()
}

// peekResult is the result of a peek at a socket.
type peekResult int

// Results of a peek.
const (
	peekEmpty  peekResult = iota // no input
	peekData                     // input, or a transient error, after which there may be input
	peekClosed                   // closed by the peer, or broken
)

// peek checks for input in the socket, without waiting.
func (c *clientConn) peek() peekResult {
	result := peekClosed
	// Control fails on a closed connection; the result is then peekClosed.
	_ = c.raw.Control(func(fd uintptr) {
		switch n, err := c.frontend.service.system.peek(fd); {
		case err == nil && n > 0, oserr.IsTransient(err):
			result = peekData
		case errors.Is(err, syscall.EAGAIN):
			result = peekEmpty
		}
	})
	return result
}

// closedByPeer reports whether the client has closed or reset the connection. Unlike peek, it notices that
// before the input that came before is read.
func (c *clientConn) closedByPeer() bool {
	return c.tellsState && tcpinfo.StateOf(c.raw) == tcpinfo.PeerClosed
}

// sinceLastInput returns how long ago the system received the last bytes on the connection; 0 if unknown.
func (c *clientConn) sinceLastInput() time.Duration { return tcpinfo.SinceData(c.raw) }

// hasUnread reports whether there may be unread input in the socket.
func (c *clientConn) hasUnread() bool {
	return !mutantEnabled(mutantNoUnreadCheck) && c.peek() == peekData
}

// setReadTimeout sets how long the next read may take. It returns false if the connection is closing.
func (c *clientConn) setReadTimeout(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.conn.SetReadDeadline(time.Now().Add(timeout))
	}
	return !c.closing
}
