package affinity

import (
	"time"

	"cresspass/internal/protocol/sqlstate"
)

// Termination is the error that the client receives when its session has ended. Code is a SQLSTATE.
type Termination struct{ Code, Message, Detail string }

// Texts for Termination.Detail.
const (
	detailRolledBack    = "The transaction was rolled back."
	detailStateLost     = "What was kept there is gone."
	detailCommitUnknown = "It is not known whether the transaction is in force."
)

// Expire ends a session that has reached a time limit, and returns the error for its client. The limits are
// the deadline of a drain, Limits.IdleInTransaction and Limits.MaxAge; the last two do not apply while busy.
// busy reports whether one of the session's statements is running. Expire returns false and changes nothing
// if no limit has been reached.
func (s *Session) Expire(now time.Duration, busy bool, l Limits) (Termination, bool) {
	switch {
	case s.ended || !s.Bound():
	case s.draining && now >= s.drainDeadline:
		return s.EndByDrain(busy), true
	case !busy && s.txStatus != statusIdle && l.IdleInTransaction > 0 &&
		now-s.idleSince >= l.IdleInTransaction:
		s.ended = true
		return Termination{
			Code:    sqlstate.IdleInTransactionTimeout,
			Message: "terminating connection due to idle-in-transaction timeout",
			Detail:  detailRolledBack,
		}, true
	case !busy && s.txStatus == statusIdle && l.MaxAge > 0 && now-s.boundSince >= l.MaxAge:
		s.ended = true
		return Termination{
			Code:    sqlstate.AdminShutdown,
			Message: "this session was kept on one engine for too long",
			Detail:  detailStateLost,
		}, true
	}
	return Termination{}, false
}

// ConnectionLost ends the session because its engine connection was lost. busy reports whether a statement
// was in flight. The returned error informs the client whether its last statement or commit may have taken
// effect.
func (s *Session) ConnectionLost(busy bool) Termination {
	s.ended = true
	switch {
	case busy && s.commitSent:
		return Termination{
			Code:    sqlstate.TransactionResolutionUnknown,
			Message: "the engine was lost after COMMIT was sent",
			Detail:  detailCommitUnknown,
		}
	case s.txStatus != statusIdle:
		return Termination{
			Code:    sqlstate.ConnectionFailure,
			Message: "the engine was lost in a transaction",
			Detail:  detailRolledBack,
		}
	case busy:
		return Termination{
			Code:    sqlstate.ConnectionFailure,
			Message: "the engine of this session was lost",
			Detail:  "The last statement may have run.",
		}
	}
	return Termination{
		Code:    sqlstate.CrashShutdown,
		Message: "the engine of this session was lost",
		Detail:  detailStateLost,
	}
}

// EndBySettings ends the session because AnsweredEarly has found that its settings are not known.
func (s *Session) EndBySettings() Termination {
	s.ended = true
	return Termination{
		Code:    sqlstate.AdminShutdown,
		Message: "terminating connection: the settings of the session are not known",
		Detail:  "The engine may still apply those of a statement that was answered with an error.",
	}
}

// EndByUnreadAnswer ends the session because its client has not read the answer to a statement by the
// statement's deadline: the transaction must not stay open for as long as the client does not read.
func (s *Session) EndByUnreadAnswer() Termination {
	detail := detailStateLost
	switch {
	case s.commitSent:
		detail = detailCommitUnknown
	case s.txStatus != statusIdle:
		detail = detailRolledBack
	}
	s.ended = true
	return Termination{
		Code:    sqlstate.ConnectionFailure,
		Message: "terminating connection: the client has not read its answer in time",
		Detail:  detail,
	}
}

// EndByDrain ends the session because its engine drains. busy is as in ConnectionLost.
func (s *Session) EndByDrain(busy bool) Termination {
	s.ended = true
	if busy && s.commitSent {
		return Termination{
			Code:    sqlstate.TransactionResolutionUnknown,
			Message: "the engine that this session was kept on drains, and has not answered COMMIT",
			Detail:  detailCommitUnknown,
		}
	}
	detail := "What was kept there is gone; a new session will be on another engine."
	if s.txStatus != statusIdle {
		detail = detailRolledBack
	}
	return Termination{
		Code:    sqlstate.AdminShutdown,
		Message: "the engine that this session was kept on drains",
		Detail:  detail,
	}
}
