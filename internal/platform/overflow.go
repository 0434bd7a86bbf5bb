package platform

import "time"

const (
	// maxOverflowConns is how many connections beyond the capacity are read at once. Their descriptors are
	// among the reserved ones.
	maxOverflowConns = 8
	// overflowTimeout is how long messages on such a connection have to come whole, and a reply to be taken.
	overflowTimeout = 300 * time.Millisecond
	// minOverflowMessages is how many messages are answered also after that time, if they are there: a pause
	// of the process may outlast it.
	minOverflowMessages = 64
	// overflowLinger is how long a client has to close such a connection, once it is half-closed.
	overflowLinger = 50 * time.Millisecond
)

// reasonNoCapacity is the reason of a request that came on a connection beyond the capacity, in the log.
const reasonNoCapacity = "no capacity for another connection"

// rejectOverflow has a connection served beyond the capacity for clients: what has come on it is answered,
// its requests by a rejection, and it is closed. Closed at once it would take requests with it that count as
// received. While there are too many of them, it waits: the connections that are not accepted meanwhile stay
// in the backlog, and nothing on them is lost.
func (f *frontend) rejectOverflow(client *clientConn) {
	f.overflow <- struct{}{}
	go func() {
		defer func() { <-f.overflow }()
		defer client.conn.Close()
		client.rejectMessages()
	}()
}

// rejectMessages answers what comes on a connection, until nothing more is there, and half-closes it. Replies
// are small enough for the socket's buffer; where a client takes none of them, the time ends it.
func (c *clientConn) rejectMessages() {
	deadline := time.Now().Add(overflowTimeout)
	c.conn.SetReadDeadline(deadline)
	var frame []byte
	for handled := 0; handled < minOverflowMessages || time.Now().Before(deadline); handled++ {
		var err error
		if frame, err = c.readFrame(frame); err != nil || !c.rejectMessage(frame) {
			break
		}
		if c.reader.Buffered() == 0 && !c.hasUnread() {
			break
		}
	}
	_ = c.conn.CloseWrite() // fails only where the connection has ended already
	c.conn.SetReadDeadline(time.Now().Add(overflowLinger))
	c.discardInput()
}

// rejectMessage answers a message. It returns false where the connection can't be read any further.
func (c *clientConn) rejectMessage(frame []byte) bool {
	message := c.frontend.registry.Decode(frame)
	c.frontend.mu.Lock()
	result := c.frontend.registry.RejectMessage(message)
	c.frontend.mu.Unlock()
	c.recordRejected(result, reasonNoCapacity)
	if result.Reply == nil {
		return !result.EndOfInput
	}
	c.conn.SetWriteDeadline(time.Now().Add(overflowTimeout))
	_, err := c.conn.Write(result.Reply)
	return err == nil && !result.EndOfInput
}
