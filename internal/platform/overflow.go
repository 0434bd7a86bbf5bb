package platform

import (
	"errors"
	"time"

	"cresspass/internal/frontend/thriftserver"
)

const (
	// maxOverflowConns is how many connections beyond the capacity are read at the same time. They use
	// reserved descriptors.
	maxOverflowConns = 8
	// overflowTimeout is how long messages on such a connection may take to arrive completely, and a reply
	// to be written.
	overflowTimeout = 300 * time.Millisecond
	// minOverflowMessages is how many messages that have arrived are answered even after overflowTimeout:
	// a stall of the process may last longer.
	minOverflowMessages = 64
	// overflowLinger is how long a client has to close such a connection after it is half-closed.
	overflowLinger = 50 * time.Millisecond
)

// reasonNoCapacity is the reason in the log for rejecting a request on a connection beyond the capacity.
const reasonNoCapacity = "no capacity for another connection"

// rejectOverflow handles a connection beyond the capacity for clients: it answers the messages that have
// arrived, rejecting the requests, and closes it. Closing it at once would lose requests that count as
// received. While maxOverflowConns such connections are handled, it blocks: new connections then stay in the
// backlog, and nothing on them is lost.
func (f *frontend) rejectOverflow(client *clientConn) {
	f.overflow <- struct{}{}
	go func() {
		defer func() { <-f.overflow }()
		defer client.conn.Close()
		defer client.turn.end()
		client.rejectMessages()
	}()
}

// rejectMessages answers the messages on a connection until there is no more input, and half-closes it.
// Replies are small enough for the socket's buffer; if a client does not read them, a timeout ends the
// connection.
func (c *clientConn) rejectMessages() {
	deadline := time.Now().Add(overflowTimeout)
	c.conn.SetReadDeadline(deadline)
	defer c.message.reset()
	for handled := 0; handled < minOverflowMessages || time.Now().Before(deadline); handled++ {
		if !c.rejectMessage() {
			break
		}
		if c.reader.Buffered() == 0 && !c.hasUnread() {
			break
		}
	}
	_ = c.conn.CloseWrite() // fails only if the connection has ended already
	c.conn.SetReadDeadline(time.Now().Add(overflowLinger))
	c.discardInput()
}

// rejectMessage reads a message and answers it. It returns false if the connection can't be read any further.
func (c *clientConn) rejectMessage() bool {
	frame, err := c.message.read(c.reader)
	var message thriftserver.Message
	switch {
	case err == nil:
		message = c.frontend.registry.Decode(frame)
	case errors.Is(err, errNoMemory):
		message = c.frontend.registry.DecodeHeader(frame)
	default:
		return false
	}
	length := c.message.length()
	c.message.reset()
	c.turn.addMessage(length)
	c.frontend.mu.Lock()
	result := c.frontend.registry.RejectMessage(message)
	c.frontend.mu.Unlock()
	c.recordRejected(result, reasonNoCapacity)
	if result.Reply == nil {
		return !result.EndOfInput
	}
	c.conn.SetWriteDeadline(time.Now().Add(overflowTimeout))
	_, err = c.conn.Write(result.Reply)
	return err == nil && !result.EndOfInput
}
