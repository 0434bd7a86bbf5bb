package platform

import (
	"encoding/binary"
	"errors"
	"io"
	"syscall"
	"time"

	"cresspass/internal/oserr"
	"cresspass/internal/protocol/thrift"
	"cresspass/internal/tcpinfo"
)

const (
	// readChunkBytes is by how much a message's buffer grows: the length that a client claims costs nothing.
	readChunkBytes = 8 << 10
	// peekRetryInterval is the pause after a look at a socket that failed for a moment.
	peekRetryInterval = time.Millisecond
)

// errMalformedFrame is the error of bytes that are no message.
var errMalformedFrame = errors.New("platform: malformed frame")

// readFrame reads a message into a buffer, or into another one.
func (c *clientConn) readFrame(frame []byte) ([]byte, error) {
	var head [thrift.FrameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return frame, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length == 0 || length > maxFrameBytes {
		return frame, errMalformedFrame
	}
	if cap(frame) > 2*readChunkBytes && length <= readChunkBytes {
		frame = nil
	}
	frame = frame[:0]
	for left := int(length); left > 0; {
		chunk := min(left, readChunkBytes)
		start := len(frame)
		frame = append(frame, make([]byte, chunk)...)
		if _, err := io.ReadFull(c.reader, frame[start:]); err != nil {
			return frame, err
		}
		left -= chunk
	}
	return frame, nil
}

// waitReadable waits until something is there to be read, and leaves it there. Bytes that were read out
// of the socket before the state knows of them would be lost with a connection that is closed as unused.
//
// After a peek that fails for a moment it peeks again: the runtime's poller reports only new bytes, so
// waiting for it would leave what is there unread for good.
func (c *clientConn) waitReadable() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	err := c.waitSocket()
	c.readable = err == nil
	return err
}

// waitSocket is waitReadable without the reader's buffer.
func (c *clientConn) waitSocket() error {
	for {
		var n int
		var peekErr error
		err := c.raw.Read(func(fd uintptr) bool {
			n, peekErr = c.frontend.service.system.peek(fd)
			empty := errors.Is(peekErr, syscall.EAGAIN)
			if empty {
				c.readDelay, c.emptyAt = 0, c.frontend.service.clock()
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

// inputReader reads the socket for a client's reader, which reads on only where it has no complete message.
type inputReader struct {
	client *clientConn
	socket *deadlineReader
}

// Read waits until something is in the socket before it takes bytes out of it: whoever looks at the
// connection meanwhile finds a message in the socket or, by holdsInput, with its reader. Otherwise a message
// that was read and not handled yet would be lost with a connection that is closed as unused.
func (r *inputReader) Read(b []byte) (int, error) {
	if !r.client.readable {
		r.client.setHoldsInput(false)
		_ = r.client.waitSocket() // what ends it, the read below meets again
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

// mayHoldMessage reports whether a message may be there that was not handled yet: in the socket, or read.
// frontend.mu is held.
func (c *clientConn) mayHoldMessage() bool {
	return c.holdsInput && !mutantEnabled(mutantNoUnreadCheck) || c.hasUnread()
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
	// Control fails on a closed connection, and leaves the result at that.
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

// sinceLastInput is how long ago the system received the last bytes on the connection; 0: it does not say.
func (c *clientConn) sinceLastInput() time.Duration { return tcpinfo.SinceData(c.raw) }

// hasUnread reports whether something may be there to be read.
func (c *clientConn) hasUnread() bool {
	return !mutantEnabled(mutantNoUnreadCheck) && c.peek() == peekData
}

// setReadTimeout sets how long the next read may last. It returns false where the connection is closing.
func (c *clientConn) setReadTimeout(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.conn.SetReadDeadline(time.Now().Add(timeout))
	}
	return !c.closing
}
