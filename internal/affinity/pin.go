// Package affinity decides whether a client's session belongs to one engine, and for how long. It does no I/O and
// reads no clock: what was sent and what the engine answered go in; whether the next statement must find the
// same engine connection, and what is to be told on a drain or a death, come out.
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
	Setting Reason = iota // SET without LOCAL of a setting that is not replayed, or that is in doubt ("SET")
	// a temporary table, view or sequence ("CREATE TABLE": dropped at the end of a session)
	Temp
	// a cursor WITH HOLD ("DECLARE": remains after the transaction that made it commits)
	Cursor
	Listen // LISTEN ("LISTEN": registrations are cleared when the session ends)
	// a session-level advisory lock ("Advisory Locks": held until released or the session ends)
	Lock
	Prepared // PREPARE by SQL ("PREPARE": last for the duration of the session)
	// something that may have left state: a DO block, a CALL, LOAD, a function nobody here knows, a
	// statement at whose end the engine told of a setting that nobody asked to change
	Doubt
	reasons
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
	Free     State = iota // any engine may take its next statement
	InTx                  // in a transaction
	FailedTx              // in a failed transaction: only its end is taken
	Pinned                // out of transactions, but some Reason holds it
	Doomed                // its engine drains; it is ended at the limit, or as soon as it is free
	Ended                 // its engine connection is gone
)

func (s State) String() string {
	return [...]string{"free", "in transaction", "failed transaction", "pinned", "doomed", "ended"}[s]
}

// Session is the state machine of one client's session.
type Session struct {
	Params   sessionparams.Track // settings that are replayed, and so pin nothing
	tx       byte                // of the last ReadyForQuery: I, T or E
	held     [reasons]bool
	freed    [reasons]bool // by statements whose transaction has not been committed
	sent     []sqlscan.Statement
	answered int  // statements of sent whose tag has come
	commit   bool // a COMMIT is out
	doomed   bool
	until    time.Duration
	ended    bool

	since, idle time.Duration // bound since; at rest since
	bound       bool
}

// Limits bound what sessions may hold. Zero switches a limit off.
type Limits struct {
	IdleInTx time.Duration // a transaction at rest for so long is ended
	// so is a session that has been kept for so long, between statements out of a transaction
	Age     time.Duration
	Total   int // sessions kept at a time
	PerUser int // and of one user
}

// Ledger counts the sessions that are kept, so that a new one can be turned away before anything ran. It is
// for one goroutine at a time.
type Ledger struct {
	limits Limits
	total  int
	users  map[string]int
}

// NewLedger returns a ledger of no sessions.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l, users: map[string]int{}} }

// May reports whether one more session of a user may be kept, and why not.
func (l *Ledger) May(user string) (reason string, ok bool) {
	switch {
	case l.limits.Total > 0 && l.total >= l.limits.Total:
		return fmt.Sprintf("%d sessions are kept on engines, at most %d may be", l.total, l.limits.Total),
			false
	case l.limits.PerUser > 0 && l.users[user] >= l.limits.PerUser:
		return fmt.Sprintf("user %q has %d sessions kept on engines, at most %d may be", user, l.users[user],
			l.limits.PerUser), false
	}
	return "", true
}

// Keep counts a session that is kept from here on; Free gives it back.
func (l *Ledger) Keep(user string) {
	l.total++
	l.users[user]++
}

// Free gives a session back.
func (l *Ledger) Free(user string) {
	l.total--
	if l.users[user]--; l.users[user] <= 0 {
		delete(l.users, user)
	}
}

// Total is the number of sessions kept.
func (l *Ledger) Total() int { return l.total }

// New returns a session that is free.
func New() *Session { return &Session{tx: 'I'} }

// State is where the session is.
func (s *Session) State() State {
	switch {
	case s.ended:
		return Ended
	case s.doomed:
		return Doomed
	case s.tx == 'T':
		return InTx
	case s.tx == 'E':
		return FailedTx
	case s.Reason() >= 0:
		return Pinned
	}
	return Free
}

// Reason is the first reason that holds the session out of transactions; -1: none.
func (s *Session) Reason() Reason {
	for r, held := range s.held {
		if held {
			return Reason(r)
		}
	}
	return -1
}

// Bound reports whether the next statement must find the same engine connection.
func (s *Session) Bound() bool { return !s.ended && (s.tx != 'I' || s.Reason() >= 0) }

// Status is the transaction status to tell the client: I, T or E.
func (s *Session) Status() byte { return s.tx }

// Sent takes the statements of a query that goes out.
func (s *Session) Sent(all []sqlscan.Statement) {
	s.sent, s.answered, s.commit = all, 0, false
	s.Params.Sent(all)
	for i := range all {
		switch all[i].Words[0] {
		case "COMMIT", "END":
			s.commit = true
		}
		// Danger: state may be left although no tag comes, as where the answer breaks off. What a statement
		// may leave holds the session from the moment it goes out.
		if r := leaves(&all[i]); r >= 0 {
			s.held[r] = true
		}
	}
}

// leaves is the state that a statement may leave behind; -1: none.
func leaves(st *sqlscan.Statement) Reason {
	w := st.Words
	switch w[0] {
	case "SET":
		if _, ok := sessionparams.Of(st); ok {
			break
		}
		if w[1] != "LOCAL" && w[1] != "TRANSACTION" && w[1] != "CONSTRAINTS" {
			return Setting
		}
	case "CREATE":
		for _, v := range w[1:] {
			if v == "TEMP" || v == "TEMPORARY" {
				return Temp
			}
		}
	case "SELECT", "WITH":
		if st.Temp {
			return Temp
		}
	case "DECLARE":
		if strings.Contains(strings.ToUpper(st.Text), "HOLD") {
			return Cursor
		}
	case "LISTEN":
		return Listen
	case "PREPARE":
		if w[1] != "TRANSACTION" {
			return Prepared
		}
	case "DO", "CALL", "LOAD":
		return Doubt
	}
	switch {
	case st.Session:
		return Lock
	case st.Function != "":
		return Doubt
	}
	return -1
}

// Starts reports whether a statement may leave something at the engine: a transaction, or state of a session.
func Starts(st *sqlscan.Statement) bool {
	switch st.Words[0] {
	case "BEGIN", "START", "SAVEPOINT", "DECLARE", "LOCK":
		return true
	}
	return leaves(st) >= 0
}

// Told takes the news that the engine told of a setting while a query ran. Danger: a function may set what no
// text shows; the next client on the connection would work under it.
func (s *Session) Told() {
	for i := range s.sent {
		switch s.sent[i].Words[0] {
		case "SET", "RESET", "DISCARD", "COMMIT", "END", "ROLLBACK", "ABORT":
			return // they are what settings are changed by
		}
	}
	s.held[Doubt] = true
}

// Tag takes a CommandComplete of the engine for the next statement sent. Only a tag frees: it proves that
// what would free has been done.
func (s *Session) Tag(tag string) {
	word, _, _ := strings.Cut(tag, " ")
	var st *sqlscan.Statement
	if s.answered < len(s.sent) {
		st = &s.sent[s.answered]
	}
	s.answered++
	s.Params.Tag(tag)
	if st != nil {
		if r := leaves(st); r >= 0 { // after one that freed, perhaps
			s.held[r], s.freed[r] = true, false
		}
	}
	switch {
	case tag == "COMMIT":
		s.release()
	case tag == "ROLLBACK":
		// Danger: what a statement of the transaction gave up is there again, for the next client to find.
		s.freed = [reasons]bool{}
	case tag == "DISCARD ALL":
		s.held, s.freed = [reasons]bool{}, [reasons]bool{}
	case tag == "DISCARD TEMP":
		s.freed[Temp] = true
	case word == "DEALLOCATE" && strings.HasSuffix(tag, "ALL"):
		s.held[Prepared] = false // no transaction brings them back
	case word == "RESET" && st != nil && st.Words[1] == "ALL":
		s.freed[Setting] = true
	case word == "UNLISTEN" && st != nil && strings.HasSuffix(strings.TrimSpace(st.Text), "*"):
		s.freed[Listen] = true
	case word == "CLOSE" && st != nil && st.Words[1] == "ALL":
		s.freed[Cursor] = true
	}
}

// release lets go of what was freed for good.
func (s *Session) release() {
	for r := range s.freed {
		s.held[r] = s.held[r] && !s.freed[r]
	}
	s.freed = [reasons]bool{}
}

// Clear tells that no engine connection is held: what was sent did not run, or what it left is gone.
func (s *Session) Clear() {
	s.held, s.freed, s.tx, s.bound, s.doomed = [reasons]bool{}, [reasons]bool{}, 'I', false, false
	s.Params.Clear()
}

// Ready takes a ReadyForQuery, 'I', 'T' or 'E', at a time. changed says that the session has just begun to be
// kept, or ceased to.
func (s *Session) Ready(now time.Duration, status byte) (changed bool) {
	if status == 'I' {
		if s.answered < len(s.sent) { // an error took back what the text had freed
			s.freed = [reasons]bool{}
		}
		s.release()
	}
	s.tx, s.sent, s.commit, s.idle = status, nil, false, now
	if s.Params.Ready(status) {
		s.held[Setting] = true
	}
	if s.doomed && !s.Bound() {
		s.doomed = false // free in time: it moves unseen
	}
	was := s.bound
	if s.bound = s.Bound(); s.bound && !was {
		s.since = now
	}
	return s.bound != was
}

// Drain tells that the engine drains and that the session may stay until a time. It returns what the client
// is told at once; "": nothing, a free session moves unseen and one in a transaction may finish.
func (s *Session) Drain(until time.Duration) (notice string) {
	if !s.Bound() || s.ended || s.doomed {
		return ""
	}
	s.doomed, s.until = true, until
	if r := s.Reason(); s.tx == 'I' && r >= 0 {
		return "the engine that this session is kept on by " + r.String() +
			" drains; the session will be ended"
	}
	return ""
}

// Due says why a session is to be ended at a time, and whether it is: its engine drains and the limit has
// come, its transaction has been at rest for too long, or it was kept for too long. busy: a statement of its
// runs. The session has ended by it.
func (s *Session) Due(now time.Duration, busy bool, l Limits) (End, bool) {
	switch {
	case s.ended || !s.Bound():
	case s.doomed && now >= s.until:
		return s.Drained(), true
	case !busy && s.tx != 'I' && l.IdleInTx > 0 && now-s.idle >= l.IdleInTx:
		s.ended = true
		return End{"25P03", "terminating connection due to idle-in-transaction timeout",
			"The transaction was rolled back."}, true
	case !busy && s.tx == 'I' && l.Age > 0 && now-s.since >= l.Age:
		s.ended = true
		return End{"57P01", "this session was kept on one engine for too long",
			"What was kept there is gone."}, true
	}
	return End{}, false
}

// End is why a session ended, in the terms of an error for its client.
type End struct{ Code, Message, Detail string }

// Lost ends the session because its engine connection is gone. busy: a statement was out. The error says
// whether what the client last asked for may be in force.
func (s *Session) Lost(busy bool) End {
	defer func() { s.ended = true }()
	switch {
	case busy && s.commit:
		return End{"08007", "the engine was lost after COMMIT was sent",
			"It is not known whether the transaction is in force."}
	case s.tx != 'I':
		return End{"08006", "the engine was lost in a transaction", "The transaction was rolled back."}
	case busy:
		return End{"08006", "the engine of this session was lost", "The last statement may have run."}
	}
	return End{"57P02", "the engine of this session was lost", "What was kept there is gone."}
}

// Drained ends the session because its engine drains.
func (s *Session) Drained() End {
	defer func() { s.ended = true }()
	detail := "What was kept there is gone; a new session will be on another engine."
	if s.tx != 'I' {
		detail = "The transaction was rolled back."
	}
	return End{"57P01", "the engine that this session was kept on drains", detail}
}
