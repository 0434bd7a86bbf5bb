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

// responseBufferBytes is the size of a connection's read buffer. The head of a response must fit.
const responseBufferBytes = 4 << 10

// maxCopiedBody is the length of the longest body that is copied into a connection's write buffer, so that
// the request is written at once. Longer bodies would stay in the buffers of all connections.
const maxCopiedBody = 2 << 10

// startCheckTTL is how long the checks before a query is sent stay valid. The process may stall between the
// checks and the write.
const startCheckTTL = 2 * time.Millisecond

// errChecksExpired is the error of a call that was not written because the checks before it are too old.
var errChecksExpired = errors.New("platform: checks before the call have expired, nothing was written")

// errNotWritten is the error of a call of which not a byte was written, so that its compute node can't have
// it.
var errNotWritten = errors.New("platform: connection not usable, nothing was written")

// nodeConn is a connection to a compute node, for one call at a time. It belongs to the goroutine that took
// it from the pool; only interrupt may be called from other goroutines.
type nodeConn struct {
	id               uint64 // in the pool
	engine           cresspass.EngineID
	addr             string
	conn             net.Conn
	raw              syscall.RawConn
	system           *system
	reader           *bufio.Reader
	idleSince        time.Time // when the last response ended; zero for a new connection
	writeBuffer      []byte
	writeBy          time.Time // the next call must not be written later; zero for no limit
	awaitingResponse bool      // a call was written and has no complete response
	recentResponses  duplicateresponse.History
	failureSeen      bool // a response was a rejection or an error; a late duplicate of it may follow

	mu          sync.Mutex // guards interrupted, and setting the deadline
	interrupted bool
}

func newNodeConn(id uint64, engine cresspass.EngineID, addr string, conn net.Conn, raw syscall.RawConn,
	sys *system) *nodeConn {
	c := &nodeConn{id: id, engine: engine, addr: addr, conn: conn, raw: raw, system: sys}
	c.reader = bufio.NewReaderSize(&deadlineReader{conn: conn, hasUnread: c.hasUnread,
		setTimeout: c.setTimeout}, responseBufferBytes)
	return c
}

// interrupt ends the current call, or prevents the next one.
func (c *nodeConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.conn.SetDeadline(expired)
}

// setTimeout sets the time limit of a call. It returns false if the connection was interrupted.
func (c *nodeConn) setTimeout(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		c.conn.SetDeadline(time.Now().Add(timeout))
	}
	return !c.interrupted
}

// usable reports, without waiting, whether an idle connection is open and has no input.
func (c *nodeConn) usable() bool {
	silent, _ := c.inspect()
	return silent
}

// inspect checks an idle connection without waiting. silent means that it is open and has no input,
// unsolicited that its compute node sent bytes without a request. If both are false, it is closed or could
// not be checked.
func (c *nodeConn) inspect() (silent, unsolicited bool) {
	if c.reader.Buffered() > 0 {
		return false, true
	}
	return c.inspectSocket()
}

// inspectSocket is inspect for the socket alone, without the buffer. It uses Control because Read fails after
// the last call's deadline, so that every connection that was idle for longer would appear closed.
func (c *nodeConn) inspectSocket() (silent, unsolicited bool) {
	err := c.raw.Control(func(fd uintptr) {
		n, err := c.system.peek(fd)
		silent, unsolicited = errors.Is(err, syscall.EAGAIN), err == nil && n > 0
	})
	return silent && err == nil, unsolicited && err == nil
}

// hasUnread reports whether there are bytes in the socket.
func (c *nodeConn) hasUnread() bool {
	_, unread := c.inspectSocket()
	return unread
}

// roundTrip sends a request and reads its response.
//
// If a write fails after part of the request was written, the compute node may run the query; the error does
// not show whether it does. If not a byte was written, as on a connection that was just closed, nothing runs
// and the error is errNotWritten. After writeBy nothing is written and the error is errChecksExpired.
func (c *nodeConn) roundTrip(timeout time.Duration, method, path string, body []byte,
	headers ...string) (*nodehttp.Response, error) {
	if !c.idleSince.IsZero() && !c.usable() || !c.setTimeout(timeout) {
		return nil, errNotWritten
	}
	c.writeBuffer = nodehttp.AppendHead(c.writeBuffer[:0], method, path, c.addr, body, headers...)
	if len(body) <= maxCopiedBody {
		c.writeBuffer = append(c.writeBuffer, body...)
		body = nil
	}
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
	if len(body) > 0 {
		if _, err := c.conn.Write(body); err != nil {
			return nil, err
		}
	}
	response, err := nodehttp.ReadResponse(c.reader)
	c.awaitingResponse = err != nil
	c.idleSince = time.Now()
	c.failureSeen = c.failureSeen || err == nil && response.Status >= http.StatusBadRequest
	return response, err
}

// discard closes the connection. If a call has no complete response, it resets the connection: after a plain
// close the system would continue to send buffered bytes, so that an interrupted start could reach its
// compute node after it was cancelled.
func (c *nodeConn) discard() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.awaitingResponse {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.conn.Close()
}
