package pgfrontend

import (
	"fmt"

	"cresspass/internal/affinity"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlstate"
)

// sink writes a query's response to its client.
type sink struct {
	client *client
	kind   enginequery.Kind
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
	f := &pgwire.Fields{Severity: "ERROR", Code: v.Code, Message: v.Message, Detail: v.Detail}
	if v.RetryAfter > 0 {
		f.Hint = fmt.Sprintf("Come back in %d ms.", v.RetryAfter.Milliseconds())
	}
	k.WriteFinal(pgwire.AppendFields(nil, 'E', f), true)
}

// WriteFinal ends the response with its last messages. failed reports whether the last one is an
// ErrorResponse.
func (k *sink) WriteFinal(b []byte, failed bool) {
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	if p := c.copyPipe.Swap(nil); p != nil && p.Full() {
		go c.readAvailable() // what the client sends now no longer belongs to the copy
	}
	t, ended := c.updateAffinityAtEnd()
	c.session.QueryEnded(k.kind, b, failed)
	switch {
	case ended:
		c.session.Terminate(t.Code, terminationText(t))
	case c.closeWhenIdle && !c.session.Busy() && !c.session.Affinity.Bound():
		c.session.Terminate(sqlstate.AdminShutdown, shutdownMessage)
	}
	c.flushOutput()
	c.nextQuery = c.session.TakeQuery()
	c.resumeReading()
	if c.session.Closing() {
		go c.closeConn()
	}
}

// updateAffinityAtEnd updates the session's affinity at the end of a response. ended reports whether the
// session ends with t, because the engine connection was lost while the query ran. The caller holds c.mu.
func (c *client) updateAffinityAtEnd() (t affinity.Termination, ended bool) {
	switch {
	case c.connectionLost:
		t = c.session.Affinity.ConnectionLost(false)
		ended = t.Code != ""
	case c.lease.Engine() == "":
		// A statement that was rejected before an engine ran it has left no state. Without this reset, it
		// would bind the session to an engine connection that does not exist.
		c.session.Affinity.Reset()
	}
	return t, ended
}
