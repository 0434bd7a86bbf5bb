package affinity

import (
	"strings"
	"testing"
	"time"

	"cresspass/internal/protocol/sqlscan"
)

// play sends a text and answers it by its tags and status.
func play(s *Session, text, tags string, status byte) {
	s.Sent(sqlscan.Statements(text))
	if tags != "" {
		s.Tag(tags)
	}
	s.Ready(0, status)
}

// The pin table: what a statement leaves, and what frees it.
func TestPinTable(t *testing.T) {
	for _, c := range []struct {
		text, tag string
		status    byte
		want      State
		frees     string // text and tag alike
	}{
		{"select 1", "SELECT 1", 'I', Free, ""},
		{"begin", "BEGIN", 'T', InTx, ""},
		{"begin; select bad", "", 'E', FailedTx, ""},
		{"set my.x = 1", "SET", 'I', Pinned, "RESET ALL"},
		{"set search_path = x", "SET", 'I', Free, ""}, // it is replayed
		{"set role x", "SET", 'I', Pinned, "DISCARD ALL"},
		{"select make_tables(1)", "SELECT 1", 'I', Pinned, "DISCARD ALL"},
		{"select count(*) from t", "SELECT 1", 'I', Free, ""},
		{"set local x = 1", "SET", 'I', Free, ""},
		{"set transaction read only", "SET", 'I', Free, ""},
		{"create temp table t (a int)", "CREATE TABLE", 'I', Pinned, "DISCARD TEMP"},
		{"create or replace temporary view v as select 1", "CREATE VIEW", 'I', Pinned, "DISCARD ALL"},
		{"create table t (a int)", "CREATE TABLE", 'I', Free, ""},
		{"select 1 into temp t", "SELECT 1", 'I', Pinned, "DISCARD TEMP"},
		{"declare c cursor with hold for select 1", "DECLARE CURSOR", 'I', Pinned, "DISCARD ALL"},
		{"listen x", "LISTEN", 'I', Pinned, "UNLISTEN *"},
		{"prepare p as select 1", "PREPARE", 'I', Pinned, "DEALLOCATE ALL"},
		{"prepare transaction 'x'", "PREPARE TRANSACTION", 'I', Free, ""},
		{"select pg_advisory_lock(1)", "SELECT 1", 'I', Pinned, "DISCARD ALL"},
		{"select pg_advisory_xact_lock(1)", "SELECT 1", 'I', Free, ""},
		{"do $$ begin perform 1; end $$", "DO", 'I', Pinned, "DISCARD ALL"},
		{"create temp table t (a int)", "", 'I', Pinned, "DISCARD ALL"}, // an error came: in doubt it pins
	} {
		s := New()
		play(s, c.text, c.tag, c.status)
		if s.State() != c.want || s.Bound() != (c.want != Free) {
			t.Errorf("%s: %v, bound %v, want %v", c.text, s.State(), s.Bound(), c.want)
		}
		if c.frees != "" {
			play(s, c.frees, "", 'I') // sent, but failed: it frees nothing
			if s.State() != Pinned {
				t.Errorf("%s, then %s that failed: %v", c.text, c.frees, s.State())
			}
			tag := c.frees
			if tag == "RESET ALL" || tag == "UNLISTEN *" {
				tag = tag[:len(tag)-4]
				if c.frees == "UNLISTEN *" {
					tag = "UNLISTEN"
				}
			}
			play(s, c.frees, tag, 'I')
			if s.State() != Free {
				t.Errorf("%s, then %s: %v", c.text, c.frees, s.State())
			}
		}
	}
}

// due reports whether a copy of a session would be ended at a time.
func due(s Session, now time.Duration) bool {
	_, ok := s.Due(now, true, Limits{})
	return ok
}

func TestTimeLimits(t *testing.T) {
	l := Limits{IdleInTx: time.Second, Age: time.Minute}
	s := New()
	s.Sent(sqlscan.Statements("begin"))
	if !s.Ready(10*time.Second, 'T') {
		t.Error("a transaction's beginning changes nothing")
	}
	if _, ok := s.Due(10900*time.Millisecond, false, l); ok {
		t.Error("ended before its time")
	}
	if _, ok := s.Due(20*time.Second, true, l); ok {
		t.Error("ended while its statement runs")
	}
	if e, ok := s.Due(11*time.Second, false, l); !ok || e.Code != "25P03" || s.Bound() {
		t.Errorf("idle in transaction: %+v %v", e, ok)
	}
	s = New()
	play(s, "listen x", "LISTEN", 'I')
	if e, ok := s.Due(61*time.Second, false, l); !ok || e.Code != "57P01" {
		t.Errorf("kept for too long: %+v %v", e, ok)
	}
	g := NewLedger(Limits{Total: 3, PerUser: 2})
	for _, u := range []string{"a", "a", "b"} {
		if why, ok := g.May(u); !ok {
			t.Error(why)
		}
		g.Keep(u)
	}
	if why, ok := g.May("c"); ok || !strings.Contains(why, "3 sessions") {
		t.Error("a fourth of three: ", why)
	}
	g.Free("b")
	if why, ok := g.May("a"); ok || !strings.Contains(why, "user") {
		t.Error("a third of a user's two: ", why)
	}
	if _, ok := g.May("c"); !ok || g.Total() != 2 {
		t.Error("room is not given back")
	}
}

// Every order of statements, answers, drain, death and cancel, to a depth of six, on copies of the state: a
// session that is in a transaction or holds state is bound; an ended one is nothing more; only a commit whose
// answer did not come is in doubt; a doomed one is due at its limit and never before; and a free one is never
// told of a drain.
func TestAllOrders(t *testing.T) {
	type step struct {
		name string
		do   func(s *Session)
	}
	const limit = 5 * time.Second
	steps := []step{
		{"begin", func(s *Session) { play(s, "begin", "BEGIN", 'T') }},
		{"statement", func(s *Session) { play(s, "select 1", "SELECT 1", s.tx) }},
		{"error", func(s *Session) {
			status := byte('I')
			if s.tx != 'I' {
				status = 'E'
			}
			play(s, "select bad", "", status)
		}},
		{"commit", func(s *Session) { play(s, "commit", "COMMIT", 'I') }},
		{"temp", func(s *Session) { play(s, "create temp table t (a int)", "CREATE TABLE", s.tx) }},
		{"discard", func(s *Session) { play(s, "discard all", "DISCARD ALL", s.tx) }},
		{"drain", func(s *Session) { s.Drain(limit) }},
		{"commit sent, engine lost", func(s *Session) {
			if s.ended {
				return
			}
			tx := s.tx
			s.Sent(sqlscan.Statements("commit"))
			if e := s.Lost(true); e.Code != "08007" {
				t.Fatalf("lost after commit in %c: %+v", tx, e)
			}
		}},
		{"engine lost", func(s *Session) {
			if s.ended {
				return
			}
			was := s.tx
			if e := s.Lost(false); e.Code == "08007" ||
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
		holds := s.tx != 'I' || s.Reason() >= 0
		switch {
		case s.ended && (s.Bound() || state != Ended):
			t.Fatalf("%s: ended, yet %v and bound %v", path, state, s.Bound())
		case !s.ended && s.Bound() != holds:
			t.Fatalf("%s: bound %v, holds %v", path, s.Bound(), holds)
		case state == Free && (holds || s.doomed):
			t.Fatalf("%s: free, yet it holds", path)
		case due(s, limit-1):
			t.Fatalf("%s: due before its limit", path)
		case due(s, limit) != (s.doomed && !s.ended):
			t.Fatalf("%s: doomed %v, ended %v, due at the limit %v", path, s.doomed, s.ended, due(s, limit))
		}
		if !holds && !s.ended {
			c := s
			if c.Drain(limit) != "" || c.doomed {
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
	explore(*New(), "new", 6)
	if want := 597871; seen != want { // sum of 9^k for k up to 6
		t.Errorf("%d states seen, want %d", seen, want)
	}
}

// Danger: what a statement frees is there again when its transaction is rolled back, or when the text sets it
// anew behind; freed too early, the next client on the connection found it.
func TestFreedAndRolledBack(t *testing.T) {
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
		s := New()
		play(s, "set my.x = 1", "SET", 'I')
		play(s, "listen x", "LISTEN", 'I')
		play(s, "create temp table t (a int)", "CREATE TABLE", 'I')
		s.Sent(sqlscan.Statements(c.last))
		for _, tag := range strings.Split(c.tags, ",") {
			s.Tag(tag)
		}
		if s.Ready(0, 'I'); s.Bound() == c.free {
			t.Errorf("%s: free %v, want %v (%v)", c.last, !s.Bound(), c.free, s.held)
		}
	}
}
