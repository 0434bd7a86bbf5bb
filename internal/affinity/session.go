// Package affinity decides whether a client's session belongs to one engine, and for how long. It does no
// I/O and reads no clock: what was sent and what the engine answered go in; whether the next statement must
// find the same engine connection, and what is to be told on a drain or a death, come out.
//
// Statements are judged by what the engine says of them (ReadyForQuery's status, CommandComplete's tag);
// their text only says what a tag cannot: that a table is temporary, that a cursor is held. In doubt a
// session is pinned.
package affinity

import (
	"fmt"
	"strings"
	"time"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// Reason is a piece of session state that lives on one engine connection.
type Reason int

// The reasons, with the page of PostgreSQL's documentation that says so.
const (
	ReasonSetting Reason = iota // SET without LOCAL of a setting that is not replayed, or that is in doubt ("SET")
	// a temporary table, view or sequence ("CREATE TABLE": dropped at the end of a session)
	ReasonTempTable
	// a cursor WITH HOLD ("DECLARE": remains after the transaction that made it commits)
	ReasonHeldCursor
	ReasonListen // LISTEN ("LISTEN": registrations are cleared when the session ends)
	// a session-level advisory lock ("Advisory Locks": held until released or the session ends)
	ReasonAdvisoryLock
	ReasonPrepared // PREPARE by SQL ("PREPARE": last for the duration of the session)
	// something that may have left state: a DO block, a CALL, LOAD, a function nobody here knows, a
	// statement at whose end the engine told of a setting that nobody asked to change
	ReasonUnknownEffect
	reasonCount
)

func (r Reason) String() string {
	return [...]string{"a session setting", "a temporary table", "a held cursor", "LISTEN",
		"an advisory lock",
		"a statement prepared by SQL", "a function or procedure that may have left state"}[r]
}

// State is where a session is.
type State int

// The states of a session.
const (
	StateFree              State = iota // any engine may take its next statement
	StateInTransaction                  // in a transaction
	StateFailedTransaction              // in a failed transaction: only its end is taken
	StateSticky                         // out of transactions, but some Reason holds it
	StateDraining                       // its engine drains; it is ended at the limit, or as soon as it is free
	StateEnded                          // its engine connection is gone
)

func (s State) String() string {
	return [...]string{"free", "in transaction", "failed transaction", "pinned", "doomed", "ended"}[s]
}

// Session is the state machine of one client's session.
type Session struct {
	Params         sessionparams.Tracker // settings that are replayed, and so pin nothing
	txStatus       byte                  // of the last ReadyForQuery: I, T or E
	reasons        [reasonCount]bool
	pendingRelease [reasonCount]bool // by statements whose transaction has not been committed
	sent           []sqlscan.Statement
	completed      int  // statements of sent whose tag has come
	commitSent     bool // a COMMIT is out
	draining       bool
	drainDeadline  time.Duration
	ended          bool

	boundSince, idleSince time.Duration // bound since; at rest since
	wasBound              bool
}

// Limits bound what sessions may hold. Zero switches a limit off.
type Limits struct {
	IdleInTransaction time.Duration // a transaction at rest for so long is ended
	// so is a session that has been kept for so long, between statements out of a transaction
	MaxAge     time.Duration
	MaxTotal   int // sessions kept at a time
	MaxPerUser int // and of one user
}

// Limiter counts the sessions that are kept, so that a new one can be turned away before anything ran. It is
// for one goroutine at a time.
type Limiter struct {
	limits Limits
	total  int
	users  map[string]int
}

// NewLimiter returns a ledger of no sessions.
func NewLimiter(l Limits) *Limiter { return &Limiter{limits: l, users: map[string]int{}} }

// Allow reports whether one more session of a user may be kept, and why not.
func (l *Limiter) Allow(user string) (reason string, ok bool) {
	switch {
	case l.limits.MaxTotal > 0 && l.total >= l.limits.MaxTotal:
		return fmt.Sprintf("%d sessions are kept on engines, at most %d may be", l.total, l.limits.MaxTotal),
			false
	case l.limits.MaxPerUser > 0 && l.users[user] >= l.limits.MaxPerUser:
		return fmt.Sprintf("user %q has %d sessions kept on engines, at most %d may be", user, l.users[user],
			l.limits.MaxPerUser), false
	}
	return "", true
}

// Add counts a session that is kept from here on; Free gives it back.
func (l *Limiter) Add(user string) {
	l.total++
	l.users[user]++
}

// Remove gives a session back.
func (l *Limiter) Remove(user string) {
	l.total--
	if l.users[user]--; l.users[user] <= 0 {
		delete(l.users, user)
	}
}

// Total is the number of sessions kept.
func (l *Limiter) Total() int { return l.total }

// NewSession returns a session that is free.
func NewSession() *Session { return &Session{txStatus: 'I'} }

// State is where the session is.
func (s *Session) State() State {
	switch {
	case s.ended:
		return StateEnded
	case s.draining:
		return StateDraining
	case s.txStatus == 'T':
		return StateInTransaction
	case s.txStatus == 'E':
		return StateFailedTransaction
	case s.Reason() >= 0:
		return StateSticky
	}
	return StateFree
}

// Reason is the first reason that holds the session out of transactions; -1: none.
func (s *Session) Reason() Reason {
	for r, held := range s.reasons {
		if held {
			return Reason(r)
		}
	}
	return -1
}

// Bound reports whether the next statement must find the same engine connection.
func (s *Session) Bound() bool { return !s.ended && (s.txStatus != 'I' || s.Reason() >= 0) }

// Status is the transaction status to tell the client: I, T or E.
func (s *Session) Status() byte { return s.txStatus }

// StatementsSent takes the statements of a query that goes out.
func (s *Session) StatementsSent(statements []sqlscan.Statement) {
	s.sent, s.completed, s.commitSent = statements, 0, false
	s.Params.StatementsSent(statements)
	for i := range statements {
		switch statements[i].Words[0] {
		case "COMMIT", "END":
			s.commitSent = true
		}
		// Danger: state may be left although no tag comes, as where the answer breaks off. What a statement
		// may leave holds the session from the moment it goes out.
		if r := reasonLeftBy(&statements[i]); r >= 0 {
			s.reasons[r] = true
		}
	}
}

// reasonLeftBy is the state that a statement may leave behind; -1: none.
func reasonLeftBy(st *sqlscan.Statement) Reason {
	w := st.Words
	switch w[0] {
	case "SET":
		if _, ok := sessionparams.ChangeOf(st); ok {
			break
		}
		if w[1] != "LOCAL" && w[1] != "TRANSACTION" && w[1] != "CONSTRAINTS" {
			return ReasonSetting
		}
	case "CREATE":
		for _, v := range w[1:] {
			if v == "TEMP" || v == "TEMPORARY" {
				return ReasonTempTable
			}
		}
	case "SELECT", "WITH":
		if st.Temp {
			return ReasonTempTable
		}
	case "DECLARE":
		if strings.Contains(strings.ToUpper(st.Text), "HOLD") {
			return ReasonHeldCursor
		}
	case "LISTEN":
		return ReasonListen
	case "PREPARE":
		if w[1] != "TRANSACTION" {
			return ReasonPrepared
		}
	case "DO", "CALL", "LOAD":
		return ReasonUnknownEffect
	}
	switch {
	case st.Session:
		return ReasonAdvisoryLock
	case st.Function != "":
		return ReasonUnknownEffect
	}
	return -1
}

// MayLeaveState reports whether a statement may leave something at the engine: a transaction, or state of a
// session.
func MayLeaveState(st *sqlscan.Statement) bool {
	switch st.Words[0] {
	case "BEGIN", "START", "SAVEPOINT", "DECLARE", "LOCK":
		return true
	}
	return reasonLeftBy(st) >= 0
}

// UnexpectedParameterStatus takes the news that the engine told of a setting while a query ran. Danger: a
// function may set what no text shows; the next client on the connection would work under it.
func (s *Session) UnexpectedParameterStatus() {
	for i := range s.sent {
		switch s.sent[i].Words[0] {
		case "SET", "RESET", "DISCARD", "COMMIT", "END", "ROLLBACK", "ABORT":
			return // they are what settings are changed by
		}
	}
	s.reasons[ReasonUnknownEffect] = true
}

// CommandComplete takes a CommandComplete of the engine for the next statement sent. Only a tag frees: it
// proves that what would free has been done.
func (s *Session) CommandComplete(tag string) {
	word, _, _ := strings.Cut(tag, " ")
	var st *sqlscan.Statement
	if s.completed < len(s.sent) {
		st = &s.sent[s.completed]
	}
	s.completed++
	s.Params.CommandComplete(tag)
	if st != nil {
		if r := reasonLeftBy(st); r >= 0 { // after one that freed, perhaps
			s.reasons[r], s.pendingRelease[r] = true, false
		}
	}
	switch {
	case tag == "COMMIT":
		s.releasePending()
	case tag == "ROLLBACK":
		// Danger: what a statement of the transaction gave up is there again, for the next client to find.
		s.pendingRelease = [reasonCount]bool{}
	case tag == "DISCARD ALL":
		s.reasons, s.pendingRelease = [reasonCount]bool{}, [reasonCount]bool{}
	case tag == "DISCARD TEMP":
		s.pendingRelease[ReasonTempTable] = true
	case word == "DEALLOCATE" && strings.HasSuffix(tag, "ALL"):
		s.reasons[ReasonPrepared] = false // no transaction brings them back
	case word == "RESET" && st != nil && st.Words[1] == "ALL":
		s.pendingRelease[ReasonSetting] = true
	case word == "UNLISTEN" && st != nil && strings.HasSuffix(strings.TrimSpace(st.Text), "*"):
		s.pendingRelease[ReasonListen] = true
	case word == "CLOSE" && st != nil && st.Words[1] == "ALL":
		s.pendingRelease[ReasonHeldCursor] = true
	}
}

// releasePending lets go of what was freed for good.
func (s *Session) releasePending() {
	for r := range s.pendingRelease {
		s.reasons[r] = s.reasons[r] && !s.pendingRelease[r]
	}
	s.pendingRelease = [reasonCount]bool{}
}

// Reset tells that no engine connection is held: what was sent did not run, or what it left is gone.
func (s *Session) Reset() {
	s.reasons, s.pendingRelease, s.txStatus, s.wasBound, s.draining = [reasonCount]bool{}, [reasonCount]bool{}, 'I', false, false
	s.Params.Reset()
}

// ReadyForQuery takes a ReadyForQuery, 'I', 'T' or 'E', at a time. changed says that the session has just
// begun to be kept, or ceased to.
func (s *Session) ReadyForQuery(now time.Duration, status byte) (changed bool) {
	if status == 'I' {
		if s.completed < len(s.sent) { // an error took back what the text had freed
			s.pendingRelease = [reasonCount]bool{}
		}
		s.releasePending()
	}
	s.txStatus, s.sent, s.commitSent, s.idleSince = status, nil, false, now
	if s.Params.ReadyForQuery(status) {
		s.reasons[ReasonSetting] = true
	}
	if s.draining && !s.Bound() {
		s.draining = false // free in time: it moves unseen
	}
	was := s.wasBound
	if s.wasBound = s.Bound(); s.wasBound && !was {
		s.boundSince = now
	}
	return s.wasBound != was
}

// StartDrain tells that the engine drains and that the session may stay until a time. It returns what the
// client is told at once; "": nothing, a free session moves unseen and one in a transaction may finish.
func (s *Session) StartDrain(until time.Duration) (notice string) {
	if !s.Bound() || s.ended || s.draining {
		return ""
	}
	s.draining, s.drainDeadline = true, until
	if r := s.Reason(); s.txStatus == 'I' && r >= 0 {
		return "the engine that this session is kept on by " + r.String() +
			" drains; the session will be ended"
	}
	return ""
}

// Expire says why a session is to be ended at a time, and whether it is: its engine drains and the limit has
// come, its transaction has been at rest for too long, or it was kept for too long. busy: a statement of its
// runs. The session has ended by it.
func (s *Session) Expire(now time.Duration, busy bool, l Limits) (Termination, bool) {
	switch {
	case s.ended || !s.Bound():
	case s.draining && now >= s.drainDeadline:
		return s.EndByDrain(), true
	case !busy && s.txStatus != 'I' && l.IdleInTransaction > 0 && now-s.idleSince >= l.IdleInTransaction:
		s.ended = true
		return Termination{"25P03", "terminating connection due to idle-in-transaction timeout",
			"The transaction was rolled back."}, true
	case !busy && s.txStatus == 'I' && l.MaxAge > 0 && now-s.boundSince >= l.MaxAge:
		s.ended = true
		return Termination{"57P01", "this session was kept on one engine for too long",
			"What was kept there is gone."}, true
	}
	return Termination{}, false
}

// Termination is why a session ended, in the terms of an error for its client.
type Termination struct{ Code, Message, Detail string }

// ConnectionLost ends the session because its engine connection is gone. busy: a statement was out. The
// error says whether what the client last asked for may be in force.
func (s *Session) ConnectionLost(busy bool) Termination {
	defer func() { s.ended = true }()
	switch {
	case busy && s.commitSent:
		return Termination{"08007", "the engine was lost after COMMIT was sent",
			"It is not known whether the transaction is in force."}
	case s.txStatus != 'I':
		return Termination{
			"08006",
			"the engine was lost in a transaction",
			"The transaction was rolled back.",
		}
	case busy:
		return Termination{"08006", "the engine of this session was lost", "The last statement may have run."}
	}
	return Termination{"57P02", "the engine of this session was lost", "What was kept there is gone."}
}

// EndByDrain ends the session because its engine drains.
func (s *Session) EndByDrain() Termination {
	defer func() { s.ended = true }()
	detail := "What was kept there is gone; a new session will be on another engine."
	if s.txStatus != 'I' {
		detail = "The transaction was rolled back."
	}
	return Termination{"57P01", "the engine that this session was kept on drains", detail}
}
