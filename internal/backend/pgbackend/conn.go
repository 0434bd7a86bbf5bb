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
	// maxInlineWrite is the size in bytes up to which a request is written without starting a goroutine. The
	// send buffer of an idle connection holds that much, so the write cannot block.
	maxInlineWrite = 16 << 10
	readBufferSize = 16 << 10 // bytes
	// maxIdleBatch is the largest batch buffer, in bytes, that is kept for the next read.
	maxIdleBatch = 256 << 10
)

// conn is one connection to an engine. Fields that mu does not guard belong to the reading goroutine, unless
// noted otherwise.
type conn struct {
	pool      *Pool
	engine    *engine
	netConn   net.Conn
	pid       uint32 // for cancel requests, together with secret
	secret    []byte
	idleSince time.Time // guarded by Pool.mu

	reader pgwire.Reader
	batch  []byte // messages for the response, collected from one read

	current atomic.Pointer[Attempt] // stored last by start; cleared by the reading goroutine
	lease   atomic.Pointer[Lease]   // of the session that holds this connection, or nil

	mu             sync.Mutex
	pendingCancels int  // cancel requests not yet known to have been processed
	awaitingCancel bool // idle, except that a cancel request is pending
	closed         bool
	status         byte       // transaction status of the last ReadyForQuery
	clientStatus   byte       // status to restore before the session's next attempt; see restore.go; 0: none
	waiting        []*Attempt // of the session, until the connection is free

	// State of the running attempt. start resets it before it stores current; from then on it belongs to the
	// reading goroutine.

	readyToSkip     int                // ReadyForQuery messages of our own SETs, which precede the query's
	gatedQuery      *enginequery.Query // waits until the engine has accepted the session's settings
	settingReported bool               // a ParameterStatus arrived while the query ran
	tainted         bool               // the connection's state is unknown: it is closed after the query
	syncPending     bool               // no Sync has been sent yet after the request
	hadCopyIn       bool               // the query had a copy-in
	copyInFailed    bool               // a CopyFail was sent to the engine
	preparingKey    string             // key of the statement that the engine is parsing; "": none
	commandTags     []string

	activeCopy  *copyWriter // nil: none
	failed      bool        // an ErrorResponse arrived
	engineError pgwire.Fields
	description []byte // response to a Describe of the statement
	loadReport  []float64

	// The settings that are active on the connection, and the statements prepared there.

	settings      *sessionparams.Set // the replayed settings
	workMemMB     float64            // 0: the engine's default; -1: unknown
	priority      int                // -1: unknown
	preparedByKey map[string]*list.Element
	preparedLRU   *list.List // of *preparedStatement, the most recently used first
	preparedTotal int        // number of statements prepared so far: names are never reused
}

// close closes the network connection; the reading goroutine cleans up. The error is ignored because the
// reading goroutine sees the same failure.
func (c *conn) close() { _ = c.netConn.Close() }

// start sends an attempt's request. The connection belongs to the attempt until its ReadyForQuery. On a
// session's connection the attempt waits while an earlier statement runs there: its client may have been
// answered before the engine. start returns false if the connection has closed and nothing was sent.
func (c *conn) start(a *Attempt) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	if c.mustWait() {
		c.waiting = append(c.waiting, a)
		c.mu.Unlock()
		return true
	}
	if a.done.Load() { // withdrawn before it was sent
		c.mu.Unlock()
		c.releaseUnused(a)
		return true
	}
	// The attempt may have waited for this connection since the decision module chose the engine. Without
	// this check, a query could be sent whose client has disconnected, whose engine drains or whose deadline
	// has passed.
	if outcome, ok := a.mayStart(); !ok {
		c.mu.Unlock()
		c.releaseUnused(a)
		a.end(notStarted(outcome))
		return true
	}
	c.resetAttempt()
	c.clientStatus = 0
	request := c.buildRequest(a)
	c.current.Store(a)
	c.mu.Unlock()
	a.conn.Store(c)
	c.write(request)
	// If the attempt was withdrawn between the first check and here, Stop found no connection and did not ask
	// the engine to cancel it.
	if a.done.Load() {
		c.cancelAttempt(a)
	}
	return true
}

// resetAttempt clears the state of the previous attempt.
func (c *conn) resetAttempt() {
	c.readyToSkip, c.preparingKey, c.syncPending = 0, "", false
	c.hadCopyIn, c.copyInFailed = false, false
	c.gatedQuery, c.settingReported, c.tainted, c.commandTags = nil, false, false, nil
}

// recheckMayStart checks again whether an attempt whose query was held back may start. If not, the attempt
// ends. Nothing of the query was sent on the connection, which is free again or stays with its session.
func (c *conn) recheckMayStart(a *Attempt) bool {
	outcome, ok := a.mayStart()
	if ok {
		return true
	}
	leased := a.Lease != nil && a.Lease.connection() == c
	c.mu.Lock()
	c.current.Store(nil)
	c.awaitingCancel = c.pendingCancels > 0
	idle := !c.awaitingCancel && !leased
	c.mu.Unlock()
	if idle {
		c.pool.putIdle(c)
	}
	a.end(notStarted(outcome))
	if leased {
		c.resumeSession()
	}
	return false
}

// releaseUnused puts a connection on which nothing was sent back into the pool. A leased connection stays
// with its session.
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

// send writes to the engine. The error is ignored: a failed write means a broken connection, which the
// reading goroutine sees.
func (c *conn) send(b []byte) { _, _ = c.netConn.Write(b) }

// readLoop reads and handles the engine's messages until the connection ends.
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

// handleMessages handles the complete messages in the reader.
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

// onClosed ends what depends on the connection: the running attempt and the session that holds the lease.
func (c *conn) onClosed(err error) {
	c.mu.Lock()
	c.closed = true
	a := c.current.Swap(nil)
	if a != nil && a.restoresStatus {
		a = nil
	}
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	c.pool.removeConn(c)
	for _, next := range waiting {
		endLeaseLost(next, cresspass.OutcomeNotStarted)
	}
	message := fmt.Sprintf("engine %s: %v", c.engine.id, err)
	if l := c.lease.Swap(nil); l != nil && l.connection() == c {
		if a != nil { // a session's statements are never resent: losing the connection ends the session
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

// flushBatch passes the collected messages to the response, and waits if the client is slow to read.
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
			r.Outcome = cresspass.OutcomeFailed // rows were sent, so the query ran despite this outcome
		}
	}
	a.end(r)
}
