package platform

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/backend/duplicateresponse"
	"cresspass/internal/protocol/nodehttp"
)

// responseBufferBytes is the size of a connection's buffer for responses. A head has to fit.
const responseBufferBytes = 4 << 10

// startCheckTTL is how long the checks before a query is sent hold: a pause of the process may follow them.
const startCheckTTL = 2 * time.Millisecond

// errChecksExpired is the error of a call that was not written because the checks before it are too old.
var errChecksExpired = errors.New("platform: checked too long ago, nothing was written")

// errNotWritten is the error of a call of which nothing was written: its compute node can't have it.
var errNotWritten = errors.New("platform: connection in doubt, nothing was written")

// nodeConn is a connection to a compute node, for one call at a time. It belongs to whoever took it from the
// pool; only interrupt may be called from elsewhere.
type nodeConn struct {
	id               uint64 // in the pool's state
	engine           cresspass.EngineID
	addr             string
	conn             net.Conn
	raw              syscall.RawConn
	system           *system
	reader           *bufio.Reader
	idleSince        time.Time // when its last response was complete; zero: it is new
	writeBuffer      []byte
	writeBy          time.Time // the next call must not be written later; zero: at any time
	awaitingResponse bool      // a call was written and has no complete response
	recentResponses  duplicateresponse.History
	failureSeen      bool // a rejection or an error came on it: a late copy of that may follow

	mu          sync.Mutex // guards interrupted, and the deadline against it
	interrupted bool
}

func newNodeConn(id uint64, engine cresspass.EngineID, addr string, conn net.Conn, raw syscall.RawConn,
	sys *system) *nodeConn {
	c := &nodeConn{id: id, engine: engine, addr: addr, conn: conn, raw: raw, system: sys}
	c.reader = bufio.NewReaderSize(&deadlineReader{conn: conn, hasUnread: c.hasUnread,
		setTimeout: c.setTimeout}, responseBufferBytes)
	return c
}

// interrupt ends the call that is under way, or keeps the next one from being made.
func (c *nodeConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.conn.SetDeadline(expired)
}

// setTimeout sets the time that a call has, unless the connection was interrupted.
func (c *nodeConn) setTimeout(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		c.conn.SetDeadline(time.Now().Add(timeout))
	}
	return !c.interrupted
}

// usable reports whether an idle connection is open and silent, without waiting.
func (c *nodeConn) usable() bool {
	silent, _ := c.inspect()
	return silent
}

// inspect looks at an idle connection without waiting: it is open and silent, or its compute node sent bytes
// without a request, or it is closed (neither).
func (c *nodeConn) inspect() (silent, unsolicited bool) {
	if c.reader.Buffered() > 0 {
		return false, true
	}
	return c.inspectSocket()
}

// inspectSocket is inspect without the buffer. It uses Control: Read fails once the last call's deadline
// is over, and every connection that was idle for long would look closed.
func (c *nodeConn) inspectSocket() (silent, unsolicited bool) {
	err := c.raw.Control(func(fd uintptr) {
		n, err := c.system.peek(fd)
		silent, unsolicited = errors.Is(err, syscall.EAGAIN), err == nil && n > 0
	})
	return silent && err == nil, unsolicited && err == nil
}

// hasUnread reports whether bytes are in the socket.
func (c *nodeConn) hasUnread() bool {
	_, unread := c.inspectSocket()
	return unread
}

// roundTrip sends a request and reads its response.
//
// Where a write fails after a part of the request, its compute node may run the query, and the error says
// nothing about it. Where the system accepted not one byte, as on a connection that was closed at this
// moment, nothing runs and the error is errNotWritten. After writeBy nothing is written: errChecksExpired.
func (c *nodeConn) roundTrip(timeout time.Duration, method, path string, body []byte,
	headers ...string) (*nodehttp.Response, error) {
	if !c.idleSince.IsZero() && !c.usable() || !c.setTimeout(timeout) {
		return nil, errNotWritten
	}
	c.writeBuffer = nodehttp.AppendRequest(c.writeBuffer[:0], method, path, c.addr, body, headers...)
	if !c.writeBy.IsZero() && time.Now().After(c.writeBy) {
		return nil, errChecksExpired
	}
	c.awaitingResponse = true
	if n, err := c.conn.Write(c.writeBuffer); err != nil {
		if n == 0 {
			return nil, errNotWritten
		}
		return nil, err
	}
	response, err := nodehttp.ReadResponse(c.reader)
	c.awaitingResponse = err != nil
	c.idleSince = time.Now()
	c.failureSeen = c.failureSeen || err == nil && response.Status >= http.StatusBadRequest
	return response, err
}

// discard closes a connection. One with a call under way is reset: after a plain close the system goes on
// sending what the peer has not taken yet, so that a start which was cut off could reach its compute node
// after it was cancelled.
func (c *nodeConn) discard() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.awaitingResponse {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	c.conn.Close()
}
