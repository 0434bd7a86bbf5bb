package affinity

import (
	"strings"
	"testing"
	"time"

	"cresspass/internal/protocol/sqlscan"
)

// runStatement sends a query and completes it with a command tag ("": an error) and a transaction status.
func runStatement(s *Session, text, tag string, status byte) {
	s.StatementsSent(sqlscan.Statements(text))
	if tag != "" {
		s.CommandComplete(tag)
	}
	s.ReadyForQuery(0, status)
}

// TestStickyReasonTable checks what makes a session sticky, and what releases it.
func TestStickyReasonTable(t *testing.T) {
	for _, c := range []struct {
		text, tag string
		status    byte
		want      State
		releases  string // text of a statement; also its tag, except for RESET and UNLISTEN
	}{
		{"select 1", "SELECT 1", 'I', StateFree, ""},
		{"begin", "BEGIN", 'T', StateInTransaction, ""},
		{"begin; select bad", "", 'E', StateFailedTransaction, ""},
		{"set my.x = 1", "SET", 'I', StateSticky, "RESET ALL"},
		{"set search_path = x", "SET", 'I', StateFree, ""}, // the setting is replayed
		{"set role x", "SET", 'I', StateSticky, "DISCARD ALL"},
		{"select make_tables(1)", "SELECT 1", 'I', StateSticky, "DISCARD ALL"},
		{"select count(*) from t", "SELECT 1", 'I', StateFree, ""},
		{"set local x = 1", "SET", 'I', StateFree, ""},
		{"set transaction read only", "SET", 'I', StateFree, ""},
		{"create temp table t (a int)", "CREATE TABLE", 'I', StateSticky, "DISCARD TEMP"},
		{"create or replace temporary view v as select 1", "CREATE VIEW", 'I', StateSticky, "DISCARD ALL"},
		{"create table t (a int)", "CREATE TABLE", 'I', StateFree, ""},
		{"select 1 into temp t", "SELECT 1", 'I', StateSticky, "DISCARD TEMP"},
		{"declare c cursor with hold for select 1", "DECLARE CURSOR", 'I', StateSticky, "DISCARD ALL"},
		{"listen x", "LISTEN", 'I', StateSticky, "UNLISTEN *"},
		{"prepare p as select 1", "PREPARE", 'I', StateSticky, "DEALLOCATE ALL"},
		{"prepare transaction 'x'", "PREPARE TRANSACTION", 'I', StateFree, ""},
		{"select pg_advisory_lock(1)", "SELECT 1", 'I', StateSticky, "DISCARD ALL"},
		{"select pg_advisory_xact_lock(1)", "SELECT 1", 'I', StateFree, ""},
		{"do $$ begin perform 1; end $$", "DO", 'I', StateSticky, "DISCARD ALL"},
		// After an error it is not known whether the table exists: the session is sticky.
		{"create temp table t (a int)", "", 'I', StateSticky, "DISCARD ALL"},
	} {
		s := NewSession()
		runStatement(s, c.text, c.tag, c.status)
		if s.State() != c.want || s.Bound() != (c.want != StateFree) {
			t.Errorf("%s: %v, bound %v, want %v", c.text, s.State(), s.Bound(), c.want)
		}
		if c.releases != "" {
			runStatement(s, c.releases, "", 'I') // a failed statement releases nothing
			if s.State() != StateSticky {
				t.Errorf("%s, then %s that failed: %v", c.text, c.releases, s.State())
			}
			tag := c.releases
			if tag == "RESET ALL" || tag == "UNLISTEN *" {
				tag = tag[:len(tag)-4]
				if c.releases == "UNLISTEN *" {
					tag = "UNLISTEN"
				}
			}
			runStatement(s, c.releases, tag, 'I')
			if s.State() != StateFree {
				t.Errorf("%s, then %s: %v", c.text, c.releases, s.State())
			}
		}
	}
}

// expires reports whether a copy of a busy session would be ended by its drain deadline at a time.
func expires(s Session, now time.Duration) bool {
	_, ok := s.Expire(now, true, Limits{})
	return ok
}

func TestTimeLimits(t *testing.T) {
	l := Limits{IdleInTransaction: time.Second, MaxAge: time.Minute}
	s := NewSession()
	s.StatementsSent(sqlscan.Statements("begin"))
	if !s.ReadyForQuery(10*time.Second, 'T') {
		t.Error("the session does not become bound with its transaction")
	}
	if _, ok := s.Expire(10900*time.Millisecond, false, l); ok {
		t.Error("ended before its limit")
	}
	if _, ok := s.Expire(20*time.Second, true, l); ok {
		t.Error("ended while its statement runs")
	}
	if e, ok := s.Expire(11*time.Second, false, l); !ok || e.Code != "25P03" || s.Bound() {
		t.Errorf("idle in transaction: %+v %v", e, ok)
	}
	s = NewSession()
	runStatement(s, "listen x", "LISTEN", 'I')
	if e, ok := s.Expire(61*time.Second, false, l); !ok || e.Code != "57P01" {
		t.Errorf("sticky for too long: %+v %v", e, ok)
	}
}

// Explores every order of statements, responses, drain and engine loss to a depth of six, on copies of the
// session. A session that is in a transaction or has a reason is bound. An ended session stays ended. The
// outcome is unknown only after a COMMIT without a response. A draining session expires at its deadline and
// not before. A free session gets no notice of a drain.
func TestAllEventOrders(t *testing.T) {
	type step struct {
		name string
		do   func(s *Session)
	}
	const deadline = 5 * time.Second
	steps := []step{
		{"begin", func(s *Session) { runStatement(s, "begin", "BEGIN", 'T') }},
		{"statement", func(s *Session) { runStatement(s, "select 1", "SELECT 1", s.txStatus) }},
		{"error", func(s *Session) {
			status := byte('I')
			if s.txStatus != 'I' {
				status = 'E'
			}
			runStatement(s, "select bad", "", status)
		}},
		{"commit", func(s *Session) { runStatement(s, "commit", "COMMIT", 'I') }},
		{
			"temp",
			func(s *Session) { runStatement(s, "create temp table t (a int)", "CREATE TABLE", s.txStatus) },
		},
		{"discard", func(s *Session) { runStatement(s, "discard all", "DISCARD ALL", s.txStatus) }},
		{"drain", func(s *Session) { s.StartDrain(deadline) }},
		{"commit sent, engine lost", func(s *Session) {
			if s.ended {
				return
			}
			tx := s.txStatus
			s.StatementsSent(sqlscan.Statements("commit"))
			if e := s.ConnectionLost(true); e.Code != "08007" {
				t.Fatalf("lost after commit in %c: %+v", tx, e)
			}
		}},
		{"engine lost", func(s *Session) {
			if s.ended {
				return
			}
			tx := s.txStatus
			if e := s.ConnectionLost(false); e.Code == "08007" ||
				(tx != 'I') != (e.Detail == "The transaction was rolled back.") {
				t.Fatalf("lost while idle in %c: %+v", tx, e)
			}
		}},
	}
	visited := 0
	var explore func(s Session, path string, depth int)
	explore = func(s Session, path string, depth int) {
		visited++
		state := s.State()
		wantBound := s.txStatus != 'I' || s.Reason() >= 0
		switch {
		case s.ended && (s.Bound() || state != StateEnded):
			t.Fatalf("%s: ended, yet %v and bound %v", path, state, s.Bound())
		case !s.ended && s.Bound() != wantBound:
			t.Fatalf("%s: bound %v, want %v", path, s.Bound(), wantBound)
		case state == StateFree && (wantBound || s.draining):
			t.Fatalf("%s: free, yet bound or draining", path)
		case expires(s, deadline-1):
			t.Fatalf("%s: expires before its deadline", path)
		case expires(s, deadline) != (s.draining && !s.ended):
			t.Fatalf("%s: draining %v, ended %v, expires at the deadline: %v", path, s.draining, s.ended,
				expires(s, deadline))
		}
		if !wantBound && !s.ended {
			drained := s
			if drained.StartDrain(deadline) != "" || drained.draining {
				t.Fatalf("%s: a free session got a notice of a drain", path)
			}
		}
		if depth == 0 {
			return
		}
		for _, st := range steps {
			next := s
			st.do(&next)
			explore(next, path+" > "+st.name, depth-1)
		}
	}
	explore(*NewSession(), "new", 6)
	if want := 597871; visited != want { // sum of 9^k for k up to 6
		t.Errorf("%d states visited, want %d", visited, want)
	}
}

// State that a statement releases exists again when its transaction is rolled back, or when a later statement
// of the same query creates it again. If it were released too early, the next client on the connection would
// find it.
func TestReleaseIsUndoneByRollback(t *testing.T) {
	for _, c := range []struct {
		last, tags string // of one query, sent after SET my.x, LISTEN and CREATE TEMP TABLE
		free       bool
	}{
		{"reset all; unlisten *; discard temp", "RESET,UNLISTEN,DISCARD TEMP", true},
		{"begin; reset all; unlisten *; discard temp; end", "BEGIN,RESET,UNLISTEN,DISCARD TEMP,COMMIT", true},
		{"begin; reset all; unlisten *; discard temp; abort",
			"BEGIN,RESET,UNLISTEN,DISCARD TEMP,ROLLBACK", false},
		{"reset all; unlisten *; discard temp; select bad", "RESET,UNLISTEN,DISCARD TEMP", false},
		{"reset all; unlisten *; discard temp; listen x", "RESET,UNLISTEN,DISCARD TEMP,LISTEN", false},
	} {
		s := NewSession()
		runStatement(s, "set my.x = 1", "SET", 'I')
		runStatement(s, "listen x", "LISTEN", 'I')
		runStatement(s, "create temp table t (a int)", "CREATE TABLE", 'I')
		s.StatementsSent(sqlscan.Statements(c.last))
		for _, tag := range strings.Split(c.tags, ",") {
			s.CommandComplete(tag)
		}
		if s.ReadyForQuery(0, 'I'); s.Bound() == c.free {
			t.Errorf("%s: free %v, want %v (%v)", c.last, !s.Bound(), c.free, s.reasons)
		}
	}
}
