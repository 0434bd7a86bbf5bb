// Package affinity decides whether a client's session must stay on one engine connection, and for how long,
// and bounds the number of such sticky sessions. It owns the state machine of one session and the counts of
// sticky sessions. It does no I/O, reads no clock and takes no lock. Its input is what was sent to the engine
// and what the engine responded. Its output is whether the next statement must use the same engine
// connection, and the notice or error for the client when the engine drains or is lost.
//
// The engine's own messages decide whether the session is in a transaction (the status of ReadyForQuery) and
// whether state was released (the tag of CommandComplete). The state that a statement may leave is derived
// from the statement's text: a tag may not arrive, and does not show that a table is temporary or that a
// cursor is WITH HOLD. In doubt a session is sticky.
package affinity

import (
	"strings"
	"time"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// Session is the state machine of one client's session. It is not safe for concurrent use.
type Session struct {
	Params sessionparams.Tracker // settings replayed on any connection, which make no session sticky

	txStatus       byte      // of the last ReadyForQuery
	reasons        reasonSet // what makes the session sticky
	pendingRelease reasonSet // reasons released by statements whose transaction has not been committed
	sent           []sqlscan.Statement
	completed      int  // number of statements in sent whose tag has arrived
	commitSent     bool // the query in flight contains a COMMIT
	ended          bool

	draining      bool
	drainDeadline time.Duration // valid while draining

	wasBound   bool          // as of the last ReadyForQuery
	boundSince time.Duration // valid while wasBound
	idleSince  time.Duration // time of the last ReadyForQuery
}

// NewSession returns a session in StateFree.
func NewSession() *Session { return &Session{txStatus: statusIdle} }

// State returns the state of the session.
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

// Reason returns the first reason that makes the session sticky outside of transactions; negative: none.
func (s *Session) Reason() Reason {
	for reason, holds := range s.reasons {
		if holds {
			return Reason(reason)
		}
	}
	return reasonNone
}

// Holds reports whether the given reason makes the session sticky.
func (s *Session) Holds(reason Reason) bool { return s.reasons[reason] }

// Bound reports whether the next statement must use the same engine connection.
func (s *Session) Bound() bool {
	return !s.ended && (s.txStatus != statusIdle || s.Reason() != reasonNone)
}

// Status returns the transaction status to report to the client: I, T or E, as in ReadyForQuery.
func (s *Session) Status() byte { return s.txStatus }

// StatementsSent records the statements of a query that is sent to the engine.
func (s *Session) StatementsSent(statements []sqlscan.Statement) {
	s.sent, s.completed, s.commitSent = statements, 0, false
	s.Params.StatementsSent(statements)
	for i := range statements {
		s.commitSent = s.commitSent || commits(&statements[i])
		// The reason holds from now on, not from the tag on: if the response is cut off, no tag arrives,
		// although the statement may have left its state.
		if reason := reasonLeftBy(&statements[i]); reason != reasonNone {
			s.reasons[reason] = true
		}
	}
}

// UnexpectedParameterStatus records that the engine reported a changed setting while a query ran. If no
// statement of the query changes settings, a function did, and the session becomes sticky: if it did not, the
// next client on the connection would run under a setting that no statement's text shows.
func (s *Session) UnexpectedParameterStatus() {
	for i := range s.sent {
		switch s.sent[i].Words[0] {
		case "SET", "RESET", "DISCARD", "COMMIT", "END", "ROLLBACK", "ABORT":
			return // these change settings
		}
	}
	s.reasons[ReasonUnknownEffect] = true
}

// CommandComplete records the engine's command tag for the next statement that was sent. Only a tag releases
// state: it proves that the releasing statement has run.
func (s *Session) CommandComplete(tag string) {
	var st *sqlscan.Statement
	if s.completed < len(s.sent) {
		st = &s.sent[s.completed]
	}
	s.completed++
	s.Params.CommandComplete(tag)
	if st != nil {
		// An earlier statement of the same query may have released the same reason.
		if reason := reasonLeftBy(st); reason != reasonNone {
			s.reasons[reason], s.pendingRelease[reason] = true, false
		}
	}
	word, _, _ := strings.Cut(tag, " ")
	switch {
	case tag == "COMMIT":
		s.releasePending()
	case tag == "ROLLBACK":
		// The state that statements of the transaction released exists again. If its reasons were cleared,
		// the next client on the connection would find that state.
		s.pendingRelease = reasonSet{}
	case tag == "DISCARD ALL":
		s.reasons, s.pendingRelease = reasonSet{}, reasonSet{}
	case word == "DEALLOCATE" && strings.HasSuffix(tag, "ALL"):
		s.reasons[ReasonPrepared] = false // at once: a rollback does not restore prepared statements
	default:
		if reason := releasedBy(tag, st); reason != reasonNone {
			s.pendingRelease[reason] = true
		}
	}
}

// releasePending clears the reasons whose release has been committed.
func (s *Session) releasePending() {
	for reason, released := range s.pendingRelease {
		if released {
			s.reasons[reason] = false
		}
	}
	s.pendingRelease = reasonSet{}
}

// Reset records that the session has no engine connection: the statements that were sent did not run, or the
// state that they left is gone.
func (s *Session) Reset() {
	s.reasons, s.pendingRelease = reasonSet{}, reasonSet{}
	s.txStatus, s.wasBound, s.draining = statusIdle, false, false
	s.Params.Reset()
}

// ReadyForQuery records the transaction status of the engine's ReadyForQuery message at a time. changed
// reports whether the session has just become bound or has just become free.
func (s *Session) ReadyForQuery(now time.Duration, status byte) (changed bool) {
	if status == statusIdle {
		if s.completed < len(s.sent) { // an error ended the query and rolled back its releases
			s.pendingRelease = reasonSet{}
		}
		s.releasePending()
	}
	s.txStatus, s.sent, s.commitSent, s.idleSince = status, nil, false, now
	if s.Params.ReadyForQuery(status) {
		s.reasons[ReasonSetting] = true
	}
	return s.updateBound(now)
}

// updateBound updates what depends on whether the session is bound, at the end of a query. changed is as in
// ReadyForQuery.
func (s *Session) updateBound(now time.Duration) (changed bool) {
	if s.draining && !s.Bound() {
		s.draining = false // the session is free in time: its next statement goes to another engine
	}
	before := s.wasBound
	s.wasBound = s.Bound()
	if s.wasBound && !before {
		s.boundSince = now
	}
	return s.wasBound != before
}

// AnsweredEarly records that the client received an error for the statements that were sent last, and that
// the error did not come from the engine, at a time. ran reports whether the statements had reached the
// engine, which may still run them. Status is then the transaction status for the client, as PostgreSQL's
// clients expect it after an error: a transaction has failed, or has ended if the statements end it. The
// engine connection must be brought to that status. known is false if the session's settings depend on how
// the engine ends the statements: the session must then be ended. changed is as in ReadyForQuery.
func (s *Session) AnsweredEarly(now time.Duration, ran bool) (changed, known bool) {
	if s.txStatus != statusIdle {
		s.txStatus = statusFailedTransaction
		if ran && endsTransaction(s.sent) {
			s.txStatus = statusIdle
		}
	}
	known = s.Params.AnsweredEarly(s.txStatus, ran, s.commitSent)
	s.pendingRelease = reasonSet{} // the tags that prove a release will not be seen
	s.sent, s.commitSent, s.idleSince = nil, false, now
	return s.updateBound(now), known
}

// FailTransaction records that the client received an error for a message that was not sent to the engine. It
// reports whether an open transaction has failed by it: the engine connection must be brought to that status.
func (s *Session) FailTransaction() bool {
	if s.txStatus != statusInTransaction {
		return false
	}
	s.txStatus = statusFailedTransaction
	return true
}

// CommitSent reports whether the statements that were sent last contain a COMMIT. Once they have reached the
// engine, only its answer decides whether the transaction is committed.
func (s *Session) CommitSent() bool { return s.commitSent }

// StartDrain records that the engine drains and that the session may stay until a deadline. It returns the
// notice for the client, or "" if none is needed: a free session moves to another engine transparently, and a
// session in a transaction may finish it.
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
