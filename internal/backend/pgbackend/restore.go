package pgbackend

import (
	"fmt"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/protocol/pgwire"
)

// A client may receive an error in place of its engine's answer, because the statement's time has passed, the
// client has cancelled it, or the dispatcher has rejected it. The engine may still run the statement, and its
// transaction may still be open or may already have ended. The session then keeps its connection only if the
// connection is brought to the transaction status that the client received with the error ("Message Formats":
// ReadyForQuery). Until then the session's next attempt waits, and nothing else is sent on the connection.

// failTransaction is a statement that fails at every engine. In a transaction block, an error aborts the
// transaction, and only its end is accepted afterwards ("BEGIN", "ROLLBACK").
const failTransaction = "cresspass: syntax error on purpose, as a statement of the transaction has failed"

// Sent reports whether a query of the session runs on its connection.
func (l *Lease) Sent(q *enginequery.Query) bool {
	c := l.connection()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.current.Load()
	return a != nil && a.Query == q
}

// RestoreStatus records the transaction status that the session's client received with an error that did not
// come from the engine: StatusIdle or StatusFailedTransaction. The connection is brought to that status
// before the session's next attempt is sent.
func (l *Lease) RestoreStatus(status byte) {
	c := l.connection()
	if c == nil {
		return
	}
	c.mu.Lock()
	c.clientStatus = status
	idle := c.current.Load() == nil && !c.awaitingCancel
	c.mu.Unlock()
	if idle {
		c.pool.spawn(c.resumeSession)
	}
}

// Detach separates the session from its connection while a statement runs there. The connection is closed
// when the statement ends, because its state belongs to no session.
func (l *Lease) Detach() {
	c := l.connection()
	l.release()
	if c != nil {
		c.lease.CompareAndSwap(l, nil)
	}
}

// mustWait reports whether an attempt has to wait for the connection: a statement runs there, a cancel
// request may still arrive, or the transaction status has to be restored. The caller holds c.mu.
func (c *conn) mustWait() bool {
	return c.current.Load() != nil || c.awaitingCancel || c.clientStatus != 0 && c.clientStatus != c.status
}

// answeredEarly reports whether the client of the running attempt received an error before the engine ended
// the attempt, and the session keeps the connection.
func (c *conn) answeredEarly(a *Attempt) bool {
	l := c.lease.Load()
	if l == nil || l != a.Lease {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientStatus != 0
}

// reportSetting passes a ParameterStatus that belongs to no response on to the session's client: the
// statement was answered early, or is the pool's own. It returns false if the running attempt is neither.
func (c *conn) reportSetting(a *Attempt, body []byte) bool {
	if a == nil || !a.restoresStatus && !c.answeredEarly(a) {
		return false
	}
	if l := c.lease.Load(); l != nil && l.OnParameterStatus != nil {
		l.OnParameterStatus(body)
	}
	return true
}

// resumeSession restores the transaction status of a session's connection on which nothing runs, and then
// sends the attempt that waits.
func (c *conn) resumeSession() {
	for {
		c.mu.Lock()
		switch {
		case c.closed || c.current.Load() != nil || c.awaitingCancel:
			c.mu.Unlock()
			return
		case c.mustWait():
			c.restoreStatus()
			return
		}
		if len(c.waiting) == 0 {
			c.clientStatus = 0
			c.mu.Unlock()
			return
		}
		a := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.mu.Unlock()
		if !c.start(a) {
			endLeaseLost(a, cresspass.OutcomeConnectionReset)
			return
		}
	}
}

// restoreStatus sends the statement that brings the connection to the client's transaction status. The caller
// holds c.mu, which restoreStatus unlocks.
func (c *conn) restoreStatus() {
	statement := "ROLLBACK"
	if c.clientStatus == enginequery.StatusFailedTransaction {
		statement = failTransaction
	}
	c.resetAttempt()
	c.current.Store(&Attempt{restoresStatus: true, Lease: c.lease.Load(), OnEnded: func(Result) {}})
	c.mu.Unlock()
	c.write(pgwire.AppendText(nil, 'Q', statement))
}

// endRestore handles the ReadyForQuery after restoreStatus. An error means that the connection must be
// closed.
func (c *conn) endRestore(a *Attempt, status byte) error {
	c.takeOutcome(a)
	c.invalidateResourceSettings() // the end of the transaction undoes SETs that were sent in it
	c.mu.Lock()
	wanted := c.clientStatus
	c.status = status
	c.current.Store(nil)
	c.closed = c.closed || status != wanted
	c.mu.Unlock()
	if status != wanted {
		return fmt.Errorf("transaction status %q could not be restored: the engine reports %q", wanted,
			status)
	}
	c.resumeSession()
	return nil
}
