// Package affinity decides whether a client's session must stay on one engine connection, and for how long,
// and bounds the number of such sticky sessions. It owns the state machine of one session and the counts;
// it does no I/O, reads no clock and takes no lock: what was sent and what the engine responded go in;
// whether the next statement must find the same engine connection, and what the client is told when the
// engine drains or is lost, come out.
//
// The engine's own messages decide (the status of ReadyForQuery, the tag of CommandComplete). The text of a
// statement only says what a tag cannot: that a table is temporary, that a cursor is WITH HOLD. In doubt a
// session is sticky.
package affinity

import (
	"strings"
	"time"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// Session is the state machine of one client's session. It is not safe for concurrent use.
type Session struct {
	Params sessionparams.Tracker // settings that are replayed on any connection, and so make nothing sticky

	txStatus       byte      // of the last ReadyForQuery
	reasons        reasonSet // what makes the session sticky
	pendingRelease reasonSet // what statements released whose transaction has not been committed
	sent           []sqlscan.Statement
	completed      int  // statements of sent whose tag has come
	commitSent     bool // a COMMIT is in flight
	ended          bool

	draining      bool
	drainDeadline time.Duration // valid while draining

	wasBound   bool          // by the last ReadyForQuery
	boundSince time.Duration // valid while wasBound
	idleSince  time.Duration // the last ReadyForQuery
}

// NewSession returns a session that is free.
func NewSession() *Session { return &Session{txStatus: statusIdle} }

// State is where the session stands.
func (s *Session) State() State {
	switch {
	case s.ended:
		return StateEnded
	case s.draining:
		return StateDraining
	case s.txStatus == statusInTransaction:
		return StateInTransaction
	case s.txStatus == statusFailedTransaction:
		return StateFailedTransaction
	case s.Reason() != reasonNone:
		return StateSticky
	}
	return StateFree
}

// Reason is the first reason that makes the session sticky outside of transactions; negative: none.
func (s *Session) Reason() Reason {
	for reason, holds := range s.reasons {
		if holds {
			return Reason(reason)
		}
	}
	return reasonNone
}

// Holds reports whether a reason makes the session sticky.
func (s *Session) Holds(reason Reason) bool { return s.reasons[reason] }

// Bound reports whether the next statement must find the same engine connection.
func (s *Session) Bound() bool {
	return !s.ended && (s.txStatus != statusIdle || s.Reason() != reasonNone)
}

// Status is the transaction status to report to the client: I, T or E.
func (s *Session) Status() byte { return s.txStatus }

// StatementsSent takes the statements of a query that is sent.
func (s *Session) StatementsSent(statements []sqlscan.Statement) {
	s.sent, s.completed, s.commitSent = statements, 0, false
	s.Params.StatementsSent(statements)
	for i := range statements {
		switch statements[i].Words[0] {
		case "COMMIT", "END":
			s.commitSent = true
		}
		// The reason holds from now on and not from the tag: where the response breaks off, no tag comes,
		// although the statement may have left its state.
		if reason := reasonLeftBy(&statements[i]); reason != reasonNone {
			s.reasons[reason] = true
		}
	}
}

// UnexpectedParameterStatus takes the engine's report of a changed setting while a query runs. Where no
// statement of the query changes settings, a function has: without this the next client on the connection
// would work under a setting that no text shows.
func (s *Session) UnexpectedParameterStatus() {
	for i := range s.sent {
		switch s.sent[i].Words[0] {
		case "SET", "RESET", "DISCARD", "COMMIT", "END", "ROLLBACK", "ABORT":
			return // these change settings
		}
	}
	s.reasons[ReasonUnknownEffect] = true
}

// CommandComplete takes the engine's tag for the next statement sent. Only a tag releases state: it proves
// that the statement that releases it has run.
func (s *Session) CommandComplete(tag string) {
	var st *sqlscan.Statement
	if s.completed < len(s.sent) {
		st = &s.sent[s.completed]
	}
	s.completed++
	s.Params.CommandComplete(tag)
	if st != nil {
		// It may stand behind a statement of the same query that releases the same reason.
		if reason := reasonLeftBy(st); reason != reasonNone {
			s.reasons[reason], s.pendingRelease[reason] = true, false
		}
	}
	word, _, _ := strings.Cut(tag, " ")
	switch {
	case tag == "COMMIT":
		s.releasePending()
	case tag == "ROLLBACK":
		// What a statement of the transaction released exists again. Without this the connection would go
		// to the next client with it.
		s.pendingRelease = reasonSet{}
	case tag == "DISCARD ALL":
		s.reasons, s.pendingRelease = reasonSet{}, reasonSet{}
	case word == "DEALLOCATE" && strings.HasSuffix(tag, "ALL"):
		s.reasons[ReasonPrepared] = false // at once, as a rollback does not bring prepared statements back
	default:
		if reason := releasedBy(tag, st); reason != reasonNone {
			s.pendingRelease[reason] = true
		}
	}
}

// releasePending drops the reasons whose release has been committed.
func (s *Session) releasePending() {
	for reason, released := range s.pendingRelease {
		if released {
			s.reasons[reason] = false
		}
	}
	s.pendingRelease = reasonSet{}
}

// Reset tells that the session has no engine connection: what was sent did not run, or what it left is
// gone.
func (s *Session) Reset() {
	s.reasons, s.pendingRelease = reasonSet{}, reasonSet{}
	s.txStatus, s.wasBound, s.draining = statusIdle, false, false
	s.Params.Reset()
}

// ReadyForQuery takes the transaction status of the engine's ReadyForQuery at a time. changed says that the
// session has just become bound, or has ceased to be.
func (s *Session) ReadyForQuery(now time.Duration, status byte) (changed bool) {
	if status == statusIdle {
		if s.completed < len(s.sent) { // an error rolled back what the statements had released
			s.pendingRelease = reasonSet{}
		}
		s.releasePending()
	}
	s.txStatus, s.sent, s.commitSent, s.idleSince = status, nil, false, now
	if s.Params.ReadyForQuery(status) {
		s.reasons[ReasonSetting] = true
	}
	if s.draining && !s.Bound() {
		s.draining = false // free before the deadline: its next statement goes to another engine
	}
	before := s.wasBound
	s.wasBound = s.Bound()
	if s.wasBound && !before {
		s.boundSince = now
	}
	return s.wasBound != before
}

// StartDrain tells that the engine drains and that the session may stay until a deadline. It returns the
// notice for the client, or "": a free session moves to another engine unnoticed, and one in a transaction
// may finish.
func (s *Session) StartDrain(deadline time.Duration) (notice string) {
	if !s.Bound() || s.draining {
		return ""
	}
	s.draining, s.drainDeadline = true, deadline
	if reason := s.Reason(); s.txStatus == statusIdle && reason != reasonNone {
		return "the engine that this session is kept on by " + reason.String() +
			" drains; the session will be ended"
	}
	return ""
}
