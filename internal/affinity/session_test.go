package affinity

import (
	"strings"
	"testing"
	"time"

	"cresspass/internal/protocol/sqlscan"
)

// runStatement sends a text and answers it by its tags and status.
func runStatement(s *Session, text, tags string, status byte) {
	s.StatementsSent(sqlscan.Statements(text))
	if tags != "" {
		s.CommandComplete(tags)
	}
	s.ReadyForQuery(0, status)
}

// The pin table: what a statement leaves, and what frees it.
func TestStickyReasonTable(t *testing.T) {
	for _, c := range []struct {
		text, tag string
		status    byte
		want      State
		frees     string // text and tag alike
	}{
		{"select 1", "SELECT 1", 'I', StateFree, ""},
		{"begin", "BEGIN", 'T', StateInTransaction, ""},
		{"begin; select bad", "", 'E', StateFailedTransaction, ""},
		{"set my.x = 1", "SET", 'I', StateSticky, "RESET ALL"},
		{"set search_path = x", "SET", 'I', StateFree, ""}, // it is replayed
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
		{"create temp table t (a int)", "", 'I', StateSticky, "DISCARD ALL"}, // an error came: in doubt it pins
	} {
		s := NewSession()
		runStatement(s, c.text, c.tag, c.status)
		if s.State() != c.want || s.Bound() != (c.want != StateFree) {
			t.Errorf("%s: %v, bound %v, want %v", c.text, s.State(), s.Bound(), c.want)
		}
		if c.frees != "" {
			runStatement(s, c.frees, "", 'I') // sent, but failed: it frees nothing
			if s.State() != StateSticky {
				t.Errorf("%s, then %s that failed: %v", c.text, c.frees, s.State())
			}
			tag := c.frees
			if tag == "RESET ALL" || tag == "UNLISTEN *" {
				tag = tag[:len(tag)-4]
				if c.frees == "UNLISTEN *" {
					tag = "UNLISTEN"
				}
			}
			runStatement(s, c.frees, tag, 'I')
			if s.State() != StateFree {
				t.Errorf("%s, then %s: %v", c.text, c.frees, s.State())
			}
		}
	}
}

// expires reports whether a copy of a session would be ended at a time.
func expires(s Session, now time.Duration) bool {
	_, ok := s.Expire(now, true, Limits{})
	return ok
}

func TestTimeLimits(t *testing.T) {
	l := Limits{IdleInTransaction: time.Second, MaxAge: time.Minute}
	s := NewSession()
	s.StatementsSent(sqlscan.Statements("begin"))
	if !s.ReadyForQuery(10*time.Second, 'T') {
		t.Error("a transaction's beginning changes nothing")
	}
	if _, ok := s.Expire(10900*time.Millisecond, false, l); ok {
		t.Error("ended before its time")
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
		t.Errorf("kept for too long: %+v %v", e, ok)
	}
	g := NewLimiter(Limits{MaxTotal: 3, MaxPerUser: 2})
	for _, u := range []string{"a", "a", "b"} {
		if why, ok := g.Allow(u); !ok {
			t.Error(why)
		}
		g.Add(u)
	}
	if why, ok := g.Allow("c"); ok || !strings.Contains(why, "3 sessions") {
		t.Error("a fourth of three: ", why)
	}
	g.Remove("b")
	if why, ok := g.Allow("a"); ok || !strings.Contains(why, "user") {
		t.Error("a third of a user's two: ", why)
	}
	if _, ok := g.Allow("c"); !ok || g.Total() != 2 {
		t.Error("room is not given back")
	}
}

// Every order of statements, answers, drain, death and cancel, to a depth of six, on copies of the state: a
// session that is in a transaction or holds state is bound; an ended one is nothing more; only a commit whose
// answer did not come is in doubt; a doomed one is due at its limit and never before; and a free one is never
// told of a drain.
func TestAllEventOrders(t *testing.T) {
	type step struct {
		name string
		do   func(s *Session)
	}
	const limit = 5 * time.Second
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
		{"drain", func(s *Session) { s.StartDrain(limit) }},
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
			was := s.txStatus
			if e := s.ConnectionLost(false); e.Code == "08007" ||
				(was != 'I') != (e.Detail == "The transaction was rolled back.") {
				t.Fatalf("lost at rest in %c: %+v", was, e)
			}
		}},
	}
	seen := 0
	var explore func(s Session, path string, depth int)
	explore = func(s Session, path string, depth int) {
		seen++
		state := s.State()
		holds := s.txStatus != 'I' || s.Reason() >= 0
		switch {
		case s.ended && (s.Bound() || state != StateEnded):
			t.Fatalf("%s: ended, yet %v and bound %v", path, state, s.Bound())
		case !s.ended && s.Bound() != holds:
			t.Fatalf("%s: bound %v, holds %v", path, s.Bound(), holds)
		case state == StateFree && (holds || s.draining):
			t.Fatalf("%s: free, yet it holds", path)
		case expires(s, limit-1):
			t.Fatalf("%s: due before its limit", path)
		case expires(s, limit) != (s.draining && !s.ended):
			t.Fatalf(
				"%s: doomed %v, ended %v, due at the limit %v",
				path,
				s.draining,
				s.ended,
				expires(s, limit),
			)
		}
		if !holds && !s.ended {
			c := s
			if c.StartDrain(limit) != "" || c.draining {
				t.Fatalf("%s: a free session was told of a drain", path)
			}
		}
		if depth == 0 {
			return
		}
		for _, st := range steps {
			c := s
			st.do(&c)
			explore(c, path+" > "+st.name, depth-1)
		}
	}
	explore(*NewSession(), "new", 6)
	if want := 597871; seen != want { // sum of 9^k for k up to 6
		t.Errorf("%d states seen, want %d", seen, want)
	}
}

// Danger: what a statement frees is there again when its transaction is rolled back, or when the text sets it
// anew behind; freed too early, the next client on the connection found it.
func TestReleaseIsUndoneByRollback(t *testing.T) {
	for _, c := range []struct {
		last, tags string // of one text after SET my.x, LISTEN and a temporary table
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
