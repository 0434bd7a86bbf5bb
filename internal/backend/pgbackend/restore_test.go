package pgbackend

import (
	"strings"
	"testing"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/pgwire"
)

// Messages of an engine.
var (
	rowMessage      = pgwire.Message{Type: 'D', Body: []byte("\x00\x00")}
	completeMessage = pgwire.Message{Type: 'C', Body: []byte("SELECT 1\x00")}
	cancelledByUser = pgwire.Message{Type: 'E', Body: []byte("SERROR\x00C57014\x00Mcancelled\x00\x00")}
	syntaxError     = pgwire.Message{Type: 'E', Body: []byte("SERROR\x00C42601\x00Msyntax error\x00\x00")}
)

func readyMessage(status string) pgwire.Message {
	return pgwire.Message{Type: 'Z', Body: []byte(status)}
}

// recordedSession is a session that holds an engine connection, and what its client received.
type recordedSession struct {
	lease    Lease
	received []string
	lost     bool
}

func (r *recordedSession) WritePartial(b []byte)       { r.received = append(r.received, string(b)) }
func (r *recordedSession) WriteFinal(b []byte, _ bool) { r.received = append(r.received, string(b)) }
func (r *recordedSession) WriteVerdict(v *verdict.Verdict) {
	r.received = append(r.received, "verdict "+v.Code)
}

// newAttempt returns an attempt at a statement of the session.
func (r *recordedSession) newAttempt(text string) *Attempt {
	a := &Attempt{Priority: -1, Stateful: true, Lease: &r.lease, OnEnded: func(Result) {},
		Query:            &enginequery.Query{Kind: enginequery.Simple, Text: text, Sticky: true},
		Response:         response.New(r, &response.BufferBudget{}, 0),
		Settle:           func(QueryEnd) Disposition { return Disposition{Known: true, Keep: true} },
		OnConnectionLost: func(bool) { r.lost = true }}
	a.MayStart = func() (cresspass.Outcome, bool) {
		select {
		case <-a.Response.Done():
			return cresspass.OutcomeNotStarted, false
		default:
			return 0, true
		}
	}
	a.Response.BeginAttempt(0)
	return a
}

// receive passes messages of the engine to the connection, as its reading goroutine does.
func receive(t *testing.T, c *conn, messages ...pgwire.Message) (err error) {
	t.Helper()
	for _, m := range messages {
		if err = c.handleMessage(m); err != nil {
			return err
		}
	}
	c.flushBatch()
	return nil
}

// TestAttemptWaitsForAnsweredStatement guards against a session that goes on one answer behind: its client
// was answered before the engine, and its next statement was sent while the first one still ran.
func TestAttemptWaitsForAnsweredStatement(t *testing.T) {
	for name, c := range map[string]struct {
		status   string // that the client received
		answer   []pgwire.Message
		restored string // the statement that restores the status; "": none
		result   []pgwire.Message
	}{
		"the engine cancels it in a transaction": {"E",
			[]pgwire.Message{cancelledByUser, readyMessage("E")}, "", nil},
		"the engine completes it in a transaction": {"E",
			[]pgwire.Message{rowMessage, completeMessage, readyMessage("T")},
			failTransaction, []pgwire.Message{syntaxError, readyMessage("E")}},
		"outside a transaction": {"I", []pgwire.Message{rowMessage, completeMessage, readyMessage("I")},
			"", nil},
		"the engine has failed what the client believes to be ended": {"I",
			[]pgwire.Message{cancelledByUser, readyMessage("E")}, "ROLLBACK",
			[]pgwire.Message{{Type: 'C', Body: []byte("ROLLBACK\x00")}, readyMessage("I")}},
	} {
		conn, written := newPipedConn(t)
		session := &recordedSession{}
		session.lease.acquire(conn)
		conn.lease.Store(&session.lease)
		first, second := session.newAttempt("select 'first'"), session.newAttempt("select 'second'")
		conn.start(first)
		<-written
		if !session.lease.Sent(first.Query) || session.lease.Sent(second.Query) {
			t.Errorf("%s: the first statement, and no other, was sent", name)
		}
		first.Response.FinishWithVerdict(verdict.CancelledByClient())
		session.lease.RestoreStatus(c.status[0])
		conn.start(second)
		select {
		case request := <-written:
			t.Fatalf("%s: sent while the first statement runs: %q", name, request)
		default:
		}
		if err := receive(t, conn, c.answer...); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		request := <-written
		if c.restored != "" {
			if !strings.Contains(request, c.restored) {
				t.Errorf("%s: sent %q to restore the status", name, request)
			}
			if err := receive(t, conn, c.result...); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			request = <-written
		}
		if !strings.Contains(request, "second") {
			t.Errorf("%s: sent %q, want the second statement", name, request)
		}
		if len(session.received) != 1 || session.received[0] != "verdict 57014" || session.lost {
			t.Errorf("%s: the client received %q", name, session.received)
		}
		if len(conn.engine.idle) != 0 {
			t.Errorf("%s: other clients may use the session's connection", name)
		}
	}
}

// TestUnrestoredConnectionIsClosed guards against a session that goes on with another transaction status than
// its client knows.
func TestUnrestoredConnectionIsClosed(t *testing.T) {
	for name, c := range map[string]struct {
		status byte // that the client received
		answer []pgwire.Message
	}{
		"the statement that fails the transaction succeeds": {'E', []pgwire.Message{rowMessage,
			completeMessage, readyMessage("T"), completeMessage, readyMessage("T")}},
		"the transaction has ended": {'E', []pgwire.Message{completeMessage, readyMessage("I"), syntaxError,
			readyMessage("I")}},
		"a setting changed outside a transaction": {'I', []pgwire.Message{
			{Type: 'S', Body: []byte("TimeZone\x00Mars\x00")}, readyMessage("I")}},
	} {
		conn, written := newPipedConn(t)
		session := &recordedSession{}
		session.lease.acquire(conn)
		conn.lease.Store(&session.lease)
		a := session.newAttempt("select 1")
		conn.start(a)
		<-written
		a.Response.FinishWithVerdict(verdict.CancelledByClient())
		session.lease.RestoreStatus(c.status)
		if err := receive(t, conn, c.answer...); err == nil {
			t.Errorf("%s: the connection stays open", name)
		}
		if conn.start(session.newAttempt("select 2")) {
			t.Errorf("%s: the connection takes another statement", name)
		}
	}
}

// TestRejectedStatementFailsTransaction guards against a transaction that is committed without one of its
// statements, because the dispatcher rejected the statement before the engine received it.
func TestRejectedStatementFailsTransaction(t *testing.T) {
	conn, written := newPipedConn(t)
	session := &recordedSession{}
	session.lease.acquire(conn)
	conn.lease.Store(&session.lease)
	conn.status = enginequery.StatusInTransaction
	session.lease.RestoreStatus(enginequery.StatusFailedTransaction)
	if request := <-written; !strings.Contains(request, failTransaction) {
		t.Errorf("sent %q", request)
	}
	conn.start(session.newAttempt("commit"))
	if err := receive(t, conn, syntaxError, readyMessage("E")); err != nil {
		t.Fatal(err)
	}
	if request := <-written; !strings.Contains(request, "commit") {
		t.Errorf("sent %q, want the COMMIT, which the engine answers with ROLLBACK", request)
	}
}

// TestWaitingAttemptsEndWithConnection guards against a statement that gets no answer because it waited for a
// connection that closed.
func TestWaitingAttemptsEndWithConnection(t *testing.T) {
	conn, written := newPipedConn(t)
	session := &recordedSession{}
	session.lease.OnLost = func() {}
	session.lease.acquire(conn)
	conn.lease.Store(&session.lease)
	first, second := session.newAttempt("select 1"), session.newAttempt("select 2")
	ended := make(chan Result, 1)
	second.OnEnded = func(r Result) { ended <- r }
	conn.start(first)
	<-written
	first.Response.FinishWithVerdict(verdict.CancelledByClient())
	session.lease.RestoreStatus(enginequery.StatusFailedTransaction)
	conn.start(second)
	conn.onClosed(errUnknownState)
	if r := <-ended; !r.Outcome.NeverRan() || !session.lost {
		t.Errorf("%+v, the session has ended: %v", r, session.lost)
	}
}
