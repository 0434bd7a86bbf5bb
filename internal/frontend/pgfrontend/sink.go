package pgfrontend

import (
	"fmt"

	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlstate"
)

// sink writes a query's response to its client.
type sink struct {
	client *client
	query  *enginequery.Query
}

// WritePartial sends messages of the engine that do not end the response.
func (k *sink) WritePartial(b []byte) {
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushOutput()
	if !c.closed && !c.session.Closing() { // nothing is sent after a FATAL error
		c.write(b)
	}
}

// WriteVerdict ends the response with an ErrorResponse from the dispatcher.
func (k *sink) WriteVerdict(v *verdict.Verdict) {
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	v, t, ended := c.answerEarly(k.query, v)
	f := &pgwire.Fields{Severity: "ERROR", Code: v.Code, Message: v.Message, Detail: v.Detail}
	if v.RetryAfter > 0 {
		f.Hint = fmt.Sprintf("Come back in %d ms.", v.RetryAfter.Milliseconds())
	}
	k.finish(pgwire.AppendFields(nil, 'E', f), true, t, ended)
}

// WriteFinal ends the response with the engine's last messages. failed reports whether the last one is an
// ErrorResponse.
func (k *sink) WriteFinal(b []byte, failed bool) {
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	var t affinity.Termination
	switch {
	case c.connectionLost:
		t = c.session.Affinity.ConnectionLost(false)
	case c.lease.Engine() == "":
		// A statement after which the session holds no connection has left no state there.
		c.session.Affinity.Reset()
	}
	k.finish(b, failed, t, t.Code != "")
}

// finish ends the query with its last messages and handles what the client has sent meanwhile. If ended is
// set, the session ends with t. The caller holds client.mu.
func (k *sink) finish(b []byte, failed bool, t affinity.Termination, ended bool) {
	c := k.client
	c.current = nil
	if p := c.copyPipe.Swap(nil); p != nil && p.Full() {
		go c.readAvailable() // what the client sends now no longer belongs to the copy
	}
	c.session.QueryEnded(k.query.Kind, b, failed)
	c.failEngineTransaction()
	switch {
	case ended:
		c.session.Terminate(t.Code, terminationText(t))
	case c.closeWhenIdle && !c.session.Busy() && !c.session.Affinity.Bound():
		c.session.Terminate(sqlstate.AdminShutdown, shutdownMessage)
	}
	c.reserveInput()
	c.flushOutput()
	c.nextQuery = c.session.TakeQuery()
	c.resumeReading()
	if c.session.Closing() {
		go c.closeConn()
	}
}

// failEngineTransaction brings the engine connection to the status of a transaction that has failed by an
// error of the session itself. The caller holds c.mu.
func (c *client) failEngineTransaction() {
	if c.session.TakeFailedTransaction() {
		c.lease.RestoreStatus(c.session.Affinity.Status())
	}
}

// answerEarly updates the session when its query ends with a verdict of the dispatcher. The engine may not
// have received the query, or may still run it. reply is the verdict for the client. ended reports whether
// the session ends with t. The caller holds c.mu.
func (c *client) answerEarly(q *enginequery.Query, v *verdict.Verdict) (reply *verdict.Verdict,
	t affinity.Termination, ended bool) {
	a := c.session.Affinity
	holds := c.lease.Engine() != ""
	switch {
	case c.connectionLost || !holds && q.Sticky:
		return v, a.ConnectionLost(false), true
	case !holds:
		// A statement that was rejected before an engine ran it has left no state. Without this reset, it
		// would bind the session to an engine connection that does not exist.
		a.Reset()
		return v, t, false
	}
	sent := c.lease.Sent(q)
	if sent && a.CommitSent() {
		v = verdict.CommitUndecided(v)
	}
	if c.unsentBytes() > c.maxUnsentBytes() {
		return v, a.EndByUnreadAnswer(), true
	}
	registry := c.server.cfg.Load().Registry
	changed, known := c.session.AnsweredEarly(registry.Now(), sent)
	if !known {
		return v, a.EndBySettings(), true
	}
	if a.Bound() {
		c.lease.RestoreStatus(a.Status())
	} else {
		c.lease.Detach()
	}
	if changed {
		registry.Update(&c.registration, a.Bound(), orphanedsession.Session{})
	}
	return v, t, false
}
