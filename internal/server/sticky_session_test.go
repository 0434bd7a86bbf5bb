package server_test

import (
	"context"
	"database/sql"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/standin"
)

// TestSessionsAreSticky checks that a session's transactions, temporary tables and settings are on one engine
// and visible to its later statements, with several query modes and drivers, and not to other sessions.
func TestSessionsAreSticky(t *testing.T) {
	r, s := startDispatcher(t, 3, baseSettings)
	ctx := context.Background()
	for i := range 6 {
		name := fmt.Sprintf("s%d", i)
		mode := []string{"cache_statement", "simple_protocol", "exec"}[i%3]
		c := connect(t, s, "&default_query_exec_mode="+mode)
		tx, err := c.Begin(ctx)
		if err != nil {
			t.Fatal(mode, err)
		}
		for n := range 5 {
			if _, err := tx.Exec(ctx, fmt.Sprintf("insert into t values (1) /*id='%s-%d'*/", name,
				n)); err != nil {
				t.Fatal(mode, err)
			}
		}
		if err := tx.Commit(ctx); err != nil {
			t.Fatal(mode, err)
		}
		if got := runsByEngine(r, name); len(got) != 1 {
			t.Errorf("%s: a transaction's statements by engine %v, want one engine", mode, got)
		}
		// A failed transaction stays failed until its end.
		if tx, err = c.Begin(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "select 'syntax error'"); sqlState(err) != "42601" {
			t.Errorf("%s: %v", mode, err)
		}
		if _, err := tx.Exec(ctx, "select 1"); sqlState(err) != "25P02" {
			t.Errorf("%s: in a failed transaction: %v", mode, err)
		}
		if err := tx.Rollback(ctx); err != nil {
			t.Errorf("%s: rollback: %v", mode, err)
		}
		// A temporary table and a setting make the session sticky outside of transactions.
		for _, text := range []string{"create temp table tmp_a (a int)", "select 1 from tmp_a",
			"set my.setting = 'x'"} {
			if _, err := c.Exec(ctx, text); err != nil {
				t.Errorf("%s: %s: %v", mode, text, err)
			}
		}
		other := connect(t, s, "&default_query_exec_mode="+mode)
		if _, err := other.Exec(ctx, "select 1 from tmp_a"); sqlState(err) != "42P01" {
			t.Errorf("%s: another session sees the table: %v", mode, err)
		}
		if i%2 == 0 { // released by DISCARD ALL, otherwise by the client's disconnect
			if _, err := c.Exec(ctx, "discard all"); err != nil {
				t.Error(mode, err)
			}
			if err := c.DeallocateAll(ctx); err != nil {
				t.Error(mode, err)
			}
			if _, err := c.Exec(ctx, "select 1 from tmp_a"); sqlState(err) != "42P01" {
				t.Errorf("%s: after discard all: %v", mode, err)
			}
		}
		c.Close(ctx)
		other.Close(ctx)
	}
	db, err := sql.Open("postgres", connectionString(s, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	tx, err := db.Begin()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec("insert into t values ($1)", "x"); err != nil {
		t.Error(err)
	}
	if err := tx.Commit(); err != nil {
		t.Error(err)
	}
}

// TestSessionsEndOnDrainAndEngineLoss checks sessions on a draining engine. A transaction may finish within
// the grace, and otherwise ends with 57P01. A session that is sticky because of its state gets a notice at
// once and ends at the end of the grace. New sessions are opened on other engines. The test also checks that
// the error reports an unknown outcome if an engine dies after COMMIT was sent.
func TestSessionsEndOnDrainAndEngineLoss(t *testing.T) {
	r, s := startDispatcher(t, 2, baseSettings)
	beginAndLocate := func(c *wireClient, id string) int {
		c.query("begin /*id='" + id + "'*/")
		for i, e := range r.Engines {
			for _, v := range e.Runs() {
				if v.ID == id {
					return i
				}
			}
		}
		t.Fatal("no engine has ", id)
		return 0
	}
	drained := 0
	quick, slow, sticky := openSessionOn(
		t,
		r,
		s.Addr(),
		drained,
	), openSessionOn(
		t,
		r,
		s.Addr(),
		drained,
	), openSessionOn(
		t,
		r,
		s.Addr(),
		drained,
	)
	eventually(t, "both engines are known again", func() bool {
		c := dialServer(t, s)
		defer c.conn.Close()
		return beginAndLocate(c, fmt.Sprintf("%p", c)) != drained
	})
	sticky.query("create temp table tmp_x (a int); commit")
	r.UpdateEngine(drained, func(e *eds.Engine) { e.State = eds.StateDraining })
	if seen := sticky.readUntil("NoticeResponse"); len(seen) != 1 {
		t.Errorf("a sticky session got %v", seen)
	}
	if seen := quick.query("insert into t values (1); commit"); countPrefix(seen, "C") < 2 {
		t.Errorf("a commit within the grace got %v", seen)
	}
	for name, c := range map[string]*wireClient{"in a transaction": slow, "sticky": sticky} {
		if seen := c.readUntil("E:57P01"); len(seen) != 1 {
			t.Errorf("%s: %v", name, seen)
		}
	}
	for i := range 10 {
		c := dialServer(t, s)
		if got := beginAndLocate(c, fmt.Sprint("n", i)); got == drained {
			t.Fatal("a new session was opened on a draining engine")
		}
		c.conn.Close()
	}
	// The engine cuts its response off after it got the COMMIT.
	other := 1 - drained
	c := dialServer(t, s)
	beginAndLocate(c, "last")
	r.Engines[other].SetFaults(standin.Faults{Cut: 1})
	c.send(&pgproto3.Query{String: "insert into t values (1); commit"})
	if seen := c.readUntil("E:08007"); len(seen) == 0 {
		t.Errorf("engine lost after COMMIT was sent: %v", seen)
	}
	eventually(t, "all ended", func() bool { st := s.Stats(); return st.Open == 0 && st.Running == 0 })
}

// TestUnknownEffectsMakeSessionSticky checks that a function that creates a temporary table makes its session
// sticky, and that only this session sees the table. The same holds for a function that changes a setting. It
// also checks that a query that the dispatcher answered before its result arrived leaves no state on its
// engine connection.
func TestUnknownEffectsMakeSessionSticky(t *testing.T) {
	_, s := startDispatcher(t, 2, baseSettings+"sessions {\n  harmless = [\"geo_*\"]\n}\n")
	a, b := dialServer(t, s), dialServer(t, s)
	a.query("select geo_area(1)")
	if n := s.StickySessions(); n != 0 {
		t.Error("a function that the settings list as harmless made its session sticky")
	}
	a.query("select make_temp(1)")
	for range 10 {
		if seen := a.query("select 1 from tmp_made"); countPrefix(seen, "E") != 0 ||
			s.StickySessions() != 1 {
			t.Fatalf("query of a function's table: %v, %d sticky sessions", seen, s.StickySessions())
		}
		if seen := b.query("select 1 from tmp_made"); countPrefix(seen, "E:42P01") != 1 {
			t.Fatalf("query of another session's table: %v, want 42P01", seen)
		}
	}
	a.query("discard all")
	if n := s.StickySessions(); n != 0 {
		t.Error("DISCARD ALL did not release the session")
	}
	// The settings list the function as harmless, but it is not: the engine reports a changed setting.
	a.query("select geo_sneaky_set(1)")
	if n := s.StickySessions(); n != 1 {
		t.Error("a setting changed by a function did not make its session sticky")
	}
	for range 10 {
		if seen := b.query("select 1; show timezone"); countPrefix(seen, "D:Mars") != 0 {
			t.Fatalf("another session's setting is in force: %v", seen)
		}
	}
	// The statement runs longer than its client's deadline. No session may see the table that it creates.
	c := dialServer(t, s)
	c.query("set statement_timeout = 150")
	for range 4 {
		seen := c.query("create temp table tmp_late (a int) /*state_ms='400'*/")
		if countPrefix(seen, "E") != 1 {
			t.Fatalf("a statement that runs longer than its client's deadline: %v, want one error", seen)
		}
		c.query("set statement_timeout = 0")
		c.query("set statement_timeout = 150")
	}
	time.Sleep(600 * time.Millisecond)
	for range 16 { // each session keeps its connection, so that all open connections are used
		d := dialServer(t, s)
		d.query("begin")
		if seen := d.query("select 1 from tmp_late"); countPrefix(seen, "E:42P01") != 1 {
			t.Errorf("query of a table that an answered query has left: %v, want 42P01", seen)
		}
	}
}

// TestSessionLimits checks the limits of sticky sessions. A session beyond the maximum is rejected before any
// statement of it runs, an idle transaction is ended, and a rejected statement does not make its session
// sticky.
func TestSessionLimits(t *testing.T) {
	_, s := startDispatcher(
		t,
		2,
		baseSettings+"sessions {\n  max = 2\n  idle_in_transaction = \"400ms\"\n}\n",
	)
	a, b, c := dialServer(t, s), dialServer(t, s), dialServer(t, s)
	for _, x := range []*wireClient{a, b} {
		x.query("begin")
	}
	if seen := c.query("begin"); countPrefix(seen, "E:53000") != 1 {
		t.Errorf("a third session with a maximum of two: %v, want 53000", seen)
	}
	if seen := c.query("select 1 /*echo='free'*/"); countPrefix(seen, "D:free") != 1 {
		t.Errorf("after the rejection: %v", seen)
	}
	for _, x := range []*wireClient{a, b} {
		if seen := x.readUntil("E:25P03"); len(seen) != 1 {
			t.Errorf("an idle transaction: %v, want 25P03", seen)
		}
	}
	eventually(t, "capacity again", func() bool {
		return countPrefix(c.query("begin"), "E") == 0
	})
	c.query("rollback")
	if seen := c.query("select pg_advisory_lock(1) /*class='nowhere'*/"); countPrefix(seen, "E:53000") != 1 {
		t.Errorf("a statement whose class no engine serves: %v, want 53000", seen)
	}
	if n := s.StickySessions(); n != 0 {
		t.Errorf("%d sessions are sticky, want 0", n)
	}
}
