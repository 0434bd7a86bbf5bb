package pgbackend

import (
	"container/list"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/pgwire"
)

const (
	// maxInlineWrite is the size up to which a request is written without a goroutine of its own. The send
	// buffer of an idle connection holds that much, so that the write cannot block.
	maxInlineWrite = 16 << 10
	readBufferSize = 16 << 10
	// maxIdleBatch is the largest batch buffer that is kept for the next read.
	maxIdleBatch = 256 << 10
)

// conn is one connection to an engine. Its reading goroutine owns what is not under mu.
type conn struct {
	pool      *Pool
	engine    *engine
	netConn   net.Conn
	pid       uint32 // for cancel requests, as is secret
	secret    []byte
	idleSince time.Time // under the pool's lock

	reader pgwire.Reader
	batch  []byte // messages for the response, gathered from one read

	current atomic.Pointer[Attempt] // stored last by start; cleared by the reading goroutine
	lease   atomic.Pointer[Lease]   // of the session that is on this connection; nil: none

	mu             sync.Mutex
	pendingCancels int  // cancel requests that are not known to have been taken
	awaitingCancel bool // idle but for a pending cancel request
	closed         bool

	// Of the attempt that runs. start resets them before it stores current; from then on they are the
	// reading goroutine's.

	readyToSkip     int                // ReadyForQuery messages of our own SETs that come before the query's
	gatedQuery      *enginequery.Query // waits until the engine has taken the session's settings
	settingReported bool               // a ParameterStatus came while the query ran
	tainted         bool               // the state on the connection is unknown: it is closed at the end
	syncPending     bool               // no Sync was sent after the request
	hadCopyIn       bool               // the query had a copy-in
	copyInFailed    bool               // its client made the copy fail
	preparingKey    string             // of the statement that is being parsed; "": none
	commandTags     []string

	activeCopy  *copyWriter // nil: none
	failed      bool        // an ErrorResponse came
	engineError pgwire.Fields
	description []byte // response to a Describe of the statement
	loadReport  []float64

	// What the connection has in force.

	settings      *sessionparams.Set // of the settings that are replayed
	workMemMB     float64            // 0: the engine's default; -1: unknown
	priority      int                // -1: unknown
	preparedByKey map[string]*list.Element
	preparedLRU   *list.List // of *prepared, the most recently used in front
	preparedTotal int        // statements ever prepared: names are never used twice
}

// close closes the network connection; the reading goroutine cleans up. The error of a Close says nothing
// that the reading goroutine does not see.
func (c *conn) close() { _ = c.netConn.Close() }

// start sends an attempt's request. The connection is the attempt's until its ReadyForQuery. It returns false
// where the connection has closed, so that nothing was sent.
func (c *conn) start(a *Attempt) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	if a.done.Load() { // withdrawn before it was sent
		c.mu.Unlock()
		c.releaseUnused(a)
		return true
	}
	// The attempt may have waited for this connection since the module decided. Without this check, a query
	// could be sent whose client has disconnected, whose engine drains or whose deadline has passed.
	if outcome, ok := a.mayStart(); !ok {
		c.mu.Unlock()
		c.releaseUnused(a)
		a.end(notStarted(outcome))
		return true
	}
	c.resetAttempt()
	request := c.buildRequest(a)
	c.current.Store(a)
	c.mu.Unlock()
	a.conn.Store(c)
	c.write(request)
	// If the attempt was withdrawn between the first check and here, its withdrawal found no connection, and
	// so that the engine was not asked to cancel it.
	if a.done.Load() {
		c.cancelAttempt(a)
	}
	return true
}

// resetAttempt prepares the connection for the next attempt.
func (c *conn) resetAttempt() {
	c.readyToSkip, c.preparingKey, c.syncPending = 0, "", false
	c.hadCopyIn, c.copyInFailed = false, false
	c.gatedQuery, c.settingReported, c.tainted, c.commandTags = nil, false, false, nil
}

// recheckMayStart asks once more whether an attempt may start whose request was held back. Where it may not
// the attempt ends, and the connection, on which nothing of it was sent, is free.
func (c *conn) recheckMayStart(a *Attempt) bool {
	outcome, ok := a.mayStart()
	if ok {
		return true
	}
	leased := a.Lease != nil && a.Lease.connection() == c
	c.mu.Lock()
	c.current.Store(nil)
	c.awaitingCancel = !leased && c.pendingCancels > 0
	idle := !c.awaitingCancel && !leased
	c.mu.Unlock()
	if idle {
		c.pool.putIdle(c)
	}
	a.end(notStarted(outcome))
	return false
}

// releaseUnused gives back a connection on which nothing was sent; that of a session stays with the session.
func (c *conn) releaseUnused(a *Attempt) {
	if a.Lease == nil || a.Lease.connection() != c {
		c.pool.putIdle(c)
	}
}

func (c *conn) write(request []byte) {
	if len(request) > maxInlineWrite {
		go c.send(request)
	} else {
		c.send(request)
	}
}

// send writes to the engine. A write that fails has broken the connection, which the reading goroutine sees.
func (c *conn) send(b []byte) { _, _ = c.netConn.Write(b) }

// readLoop handles what the engine sends until the connection ends.
func (c *conn) readLoop() {
	buf := make([]byte, readBufferSize)
	var err error
	for err == nil {
		var n int
		if n, err = c.netConn.Read(buf); n == 0 {
			continue
		}
		c.reader.Push(buf[:n])
		if err == nil {
			err = c.handleMessages()
		}
		c.reader.Rest()
		c.flushBatch()
	}
	c.close()
	c.finishCopyIn()
	c.onClosed(err)
}

// handleMessages handles the complete messages that were read.
func (c *conn) handleMessages() error {
	for {
		m, ok, err := c.reader.Next()
		if err != nil || !ok {
			return err
		}
		if err := c.handleMessage(m); err != nil {
			return err
		}
	}
}

// onClosed ends what depends on the connection: the attempt that runs and the session that holds it.
func (c *conn) onClosed(err error) {
	c.mu.Lock()
	c.closed = true
	a := c.current.Swap(nil)
	c.mu.Unlock()
	c.pool.removeConn(c)
	message := fmt.Sprintf("engine %s: %v", c.engine.id, err)
	if l := c.lease.Swap(nil); l != nil && l.connection() == c {
		if a != nil { // nothing of a session is sent twice: the loss of its connection is its end
			a.OnConnectionLost(true)
			a.end(Result{Outcome: cresspass.OutcomeConnectionReset, ResponseFinished: true, Message: message})
			a = nil
		}
		l.release()
		l.OnLost()
	}
	if a != nil {
		c.failAttempt(a, Result{Outcome: cresspass.OutcomeConnectionReset, SQLState: c.engineError.Code,
			Message: message})
	}
}

// flushBatch passes gathered messages on, and waits where the client is slow to take them.
func (c *conn) flushBatch() {
	if len(c.batch) == 0 {
		return
	}
	if a := c.current.Load(); a != nil && a.Response != nil {
		if a.Response.Write(a.Number, c.batch) {
			a.Throttle()
		}
	}
	if c.batch = c.batch[:0]; cap(c.batch) > maxIdleBatch {
		c.batch = nil
	}
}

// failAttempt ends an attempt whose response is not complete.
func (c *conn) failAttempt(a *Attempt, r Result) {
	if a.Response != nil {
		r.ResponseFinished = a.Response.FailAttempt(a.Number, a.FailureVerdict())
		if r.ResponseFinished && r.Outcome.NeverRan() {
			r.Outcome = cresspass.OutcomeFailed // rows went out, so it ran, whatever its error says
		}
	}
	a.end(r)
}
