package server_test

import (
	"bytes"
	"context"
	"database/sql"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgxpool"
	"pgregory.net/rapid"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// runsByEngine tells on which engines the statements of a session ran, by the session's name in their ids.
func runsByEngine(engines []*standin.Engine, session string) map[int]int {
	out := map[int]int{}
	for i, e := range engines {
		for _, v := range e.Runs() {
			if v.ID == session || strings.HasPrefix(v.ID, session+"-") {
				out[i]++
			}
		}
	}
	return out
}

// Transactions of ordinary drivers, temporary tables and settings find what the session left, on one engine;
// what is left is gone for the next session.
func TestSessionsAreSticky(t *testing.T) {
	r, s := startDispatcher(t, 3, baseSettings)
	var engines []*standin.Engine
	for _, e := range r.Engines {
		engines = append(engines, e.Engine)
	}
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
		if got := runsByEngine(engines, name); len(got) != 1 {
			t.Errorf("%s: a transaction ran on engines %v", mode, got)
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
		// Temporary table and setting hold the session out of transactions.
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
		if i%2 == 0 { // freed by its word, else by the client's going
			if _, err := c.Exec(ctx, "discard all"); err != nil {
				t.Error(mode, err)
			}
			c.DeallocateAll(ctx)
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

// A drain in a transaction: it may finish inside the grace; one that does not is told 57P01. A session pinned
// by state is told at once and ended at the limit. New sessions go elsewhere. An engine's death after COMMIT
// was sent leaves its outcome unknown, and says so.
func TestSessionsEndOnDrainAndEngineLoss(t *testing.T) {
	r, s := startDispatcher(t, 2, baseSettings)
	on := func(c *wireClient, id string) int {
		c.send(&pgproto3.Query{String: "begin /*id='" + id + "'*/"})
		c.readUntil("Z")
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
	at := 0
	quick, slow, pinned := openSessionOn(
		t,
		r,
		s.Addr(),
		at,
	), openSessionOn(
		t,
		r,
		s.Addr(),
		at,
	), openSessionOn(
		t,
		r,
		s.Addr(),
		at,
	)
	eventually(t, "both engines are known again", func() bool {
		c := dialServer(t, s)
		defer c.conn.Close()
		return on(c, fmt.Sprintf("%p", c)) != at
	})
	pinned.send(&pgproto3.Query{String: "create temp table tmp_x (a int); commit"})
	pinned.readUntil("Z")
	r.UpdateEngine(at, func(e *eds.Engine) { e.State = eds.StateDraining })
	if seen := pinned.readUntil("NoticeResponse"); len(seen) != 1 {
		t.Errorf("a pinned session was told %v", seen)
	}
	quick.send(&pgproto3.Query{String: "insert into t values (1); commit"})
	if seen := quick.readUntil("Z"); countPrefix(seen, "C") < 2 {
		t.Errorf("a commit inside the grace got %v", seen)
	}
	for name, c := range map[string]*wireClient{"in a transaction": slow, "pinned": pinned} {
		if seen := c.readUntil("E:57P01"); len(seen) != 1 {
			t.Errorf("%s: %v", name, seen)
		}
	}
	for i := range 10 {
		c := dialServer(t, s)
		if got := on(c, fmt.Sprint("n", i)); got == at {
			t.Fatal("a new session went to a draining engine")
		}
		c.conn.Close()
	}
	// Death after COMMIT.
	other := 1 - at
	c := dialServer(t, s)
	on(c, "last")
	r.Engines[other].SetFaults(standin.Faults{Cut: 1})
	c.send(&pgproto3.Query{String: "insert into t values (1); commit"})
	if seen := c.readUntil("E:08007"); len(seen) == 0 {
		t.Errorf("lost after commit: %v", seen)
	}
	eventually(t, "all ended", func() bool { st := s.Stats(); return st.Open == 0 && st.Running == 0 })
}

// Settings that are replayed tie a session to no engine: each of its statements finds them, wherever it runs,
// and nobody else does. What was rolled back, or failed, is not in force; a startup packet's wrong value is
// told by the engine at each statement, and no query runs without what was asked for.
func TestSettingsAreReplayed(t *testing.T) {
	r, s := startDispatcher(t, 3, baseSettings)
	sessions := []*wireClient{dialServer(t, s), dialServer(t, s), dialServer(t, s)}
	simpleQuery := func(c *wireClient, text string) []string {
		c.send(&pgproto3.Query{String: text})
		return c.readUntil("Z")
	}
	simpleQuery(sessions[0], "set search_path = a, b")
	simpleQuery(sessions[1], "set search_path = c")
	if seen := simpleQuery(sessions[1], "set time zone 'Asia/Tokyo'"); countPrefix(
		seen,
		"ParameterStatus",
	) != 1 {
		t.Errorf("the engine's news of a setting was not passed on: %v", seen)
	}
	simpleQuery(sessions[2], "begin; set search_path = d; rollback")
	simpleQuery(sessions[2], "set search_path = e; select 'syntax error'")
	simpleQuery(sessions[2], "set datestyle = wrong")
	if n := s.StickySessions(); n != 0 {
		t.Errorf("%d sessions are kept for settings that are replayed", n)
	}
	want := [][]string{{"D:a, b"}, {"D:c", "D:Asia/Tokyo"}, {"D:"}}
	for i := range 40 {
		var wg sync.WaitGroup
		for n, c := range sessions { // together, so that they meet on all engines
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k, name := range []string{"search_path", "timezone"}[:len(want[n])] {
					c.send(&pgproto3.Query{String: fmt.Sprintf("show %s /*id='s%d-%d'*/", name, n, i)})
					if seen := c.readUntil("Z"); len(seen) < 2 || seen[1] != want[n][k] {
						t.Errorf("session %d: %s is %v, want %s", n, name, seen, want[n][k])
					}
				}
			}()
		}
		wg.Wait()
	}
	var engines []*standin.Engine
	for _, e := range r.Engines {
		engines = append(engines, e.Engine)
	}
	for n := range sessions {
		if got := runsByEngine(engines, fmt.Sprint("s", n)); len(got) < 2 {
			t.Errorf("session %d ran on engines %v only", n, got)
		}
	}
	ctx := context.Background()
	c := connect(t, s, "&timezone=Europe/Paris&search_path=x,y")
	if got := c.PgConn().ParameterStatus("TimeZone"); got != "Europe/Paris" {
		t.Errorf("told of time zone %q at the start", got)
	}
	for range 5 {
		if got, err := showSetting(ctx, c, "search_path"); got != "x,y" || err != nil {
			t.Errorf("search_path of the startup packet: %q, %v", got, err)
		}
	}
	c.Exec(ctx, "set search_path = z")
	c.Exec(ctx, "reset search_path")
	if got, err := showSetting(ctx, c, "search_path"); got != "x,y" || err != nil {
		t.Errorf("after RESET: %q, %v", got, err)
	}
	bad := connect(t, s, "&datestyle=wrong")
	for range 3 {
		if _, err := bad.Exec(ctx, "select 1 /*id='without'*/"); sqlState(err) != "22023" {
			t.Errorf("with a wrong setting of the startup packet: %v", err)
		}
	}
	if got := runsByEngine(engines, "without"); len(got) > 0 {
		t.Errorf("run without its settings on %v", got)
	}
	if _, err := c.Exec(ctx, "select 1"); err != nil {
		t.Error(err)
	}
}

// showSetting asks an engine for a setting in the simple protocol.
func showSetting(ctx context.Context, c *pgx.Conn, name string) (string, error) {
	all, err := c.PgConn().Exec(ctx, "show "+name).ReadAll()
	if err != nil || len(all) != 1 || len(all[0].Rows) != 1 {
		return "", fmt.Errorf("%v, %v", all, err)
	}
	return string(all[0].Rows[0][len(all[0].Rows[0])-1]), nil
}

// A statement in doubt: a function that makes a temporary table pins its session, which finds it again and
// nobody else does; one that changes a setting behind everybody's back does so too. A query that was answered
// by other hands leaves nothing to the next on its connection.
func TestUnknownEffectsMakeSessionSticky(t *testing.T) {
	_, s := startDispatcher(t, 2, baseSettings+"sessions {\n  harmless = [\"geo_*\"]\n}\n")
	a, b := dialServer(t, s), dialServer(t, s)
	simpleQuery := func(c *wireClient, text string) []string {
		c.send(&pgproto3.Query{String: text})
		return c.readUntil("Z")
	}
	simpleQuery(a, "select geo_area(1)")
	if n := s.StickySessions(); n != 0 {
		t.Error("a function that the settings call harmless pins")
	}
	simpleQuery(a, "select make_temp(1)")
	for range 10 {
		if seen := simpleQuery(a, "select 1 from tmp_made"); countPrefix(seen, "E") != 0 ||
			s.StickySessions() != 1 {
			t.Fatalf("a table made by a function: %v, %d kept", seen, s.StickySessions())
		}
		if seen := simpleQuery(b, "select 1 from tmp_made"); countPrefix(seen, "E:42P01") != 1 {
			t.Fatalf("another's table: %v", seen)
		}
	}
	simpleQuery(a, "discard all")
	if n := s.StickySessions(); n != 0 {
		t.Error("DISCARD ALL does not free")
	}
	simpleQuery(a, "select geo_sneaky_set(1)") // known as harmless, and it is not: the engine tells
	if n := s.StickySessions(); n != 1 {
		t.Error("a setting changed by a function goes unnoticed")
	}
	for range 10 {
		if seen := simpleQuery(b, "select 1; show timezone"); countPrefix(seen, "D:Mars") != 0 {
			t.Fatalf("another's setting: %v", seen)
		}
	}
	// The client's time is over while its statement runs; what it leaves is nobody's.
	c := dialServer(t, s)
	simpleQuery(c, "set statement_timeout = 150")
	for range 4 {
		seen := simpleQuery(c, "create temp table tmp_late (a int) /*state_ms='400'*/")
		if countPrefix(seen, "E") != 1 {
			t.Fatalf("a statement that takes longer than its client's time: %v", seen)
		}
		c.send(&pgproto3.Query{String: "set statement_timeout = 0"})
		c.readUntil("Z")
		simpleQuery(c, "set statement_timeout = 150")
	}
	time.Sleep(600 * time.Millisecond)
	for range 16 { // each keeps its connection, so that all that there are come to be used
		d := dialServer(t, s)
		simpleQuery(d, "begin")
		if seen := simpleQuery(d, "select 1 from tmp_late"); countPrefix(seen, "E:42P01") != 1 {
			t.Errorf("a table left by a query that was answered: %v", seen)
		}
	}
}

// Hundreds of sessions with drains, deaths, and clients that go: no session's statements are on two engines,
// and no connection is handed on with a transaction open or a table left.
func TestSessionsUnderFaults(t *testing.T) {
	r, s := startDispatcher(t, 4, baseSettings)
	var engines []*standin.Engine
	for _, e := range r.Engines {
		engines = append(engines, e.Engine)
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			n := i % 3 // the fourth is left alone
			if i%2 == 0 {
				r.UpdateEngine(n, func(e *eds.Engine) { e.State = eds.StateDraining })
				time.Sleep(500 * time.Millisecond)
			}
			r.Engines[n].Crash()
			time.Sleep(50 * time.Millisecond)
			if err := r.Engines[n].Restart(); err != nil {
				t.Error(err)
				return
			}
			r.UpdateEngine(n, func(e *eds.Engine) { e.State, e.Started = eds.StateActive, r.Engines[n].Started() })
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	const sessions = 2000
	gate := make(chan struct{}, 120)
	for i := range sessions {
		wg.Add(1)
		gate <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-gate }()
			end := runSession(s.Addr(), fmt.Sprintf("u%d", i), i)
			mu.Lock()
			ends[end]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	for i := range sessions {
		// A BEGIN whose engine died under it may be tried on another: no session is open yet.
		open := runsByEngine(engines, fmt.Sprintf("u%d", i))
		begun := runsByEngine(engines, fmt.Sprintf("u%d-0", i))
		for at := range open {
			if len(open) > 1 && open[at] == 1 && begun[at] == 1 {
				delete(open, at)
			}
		}
		if len(open) > 1 {
			t.Errorf("session %d ran on engines %v", i, open)
		}
	}
	if ends["leak"] > 0 || ends["done"] < sessions/2 {
		t.Errorf("ends %v", ends)
	}
	t.Logf("ends %v", ends)
	eventually(t, "all ended", func() bool { st := s.Stats(); return st.Open == 0 && st.Running == 0 })
}

// runSession is a session: it sees that it finds nothing of another's, then works in a transaction that uses
// a temporary table.
func runSession(addr, name string, i int) string {
	ctx := context.Background()
	c, err := pgx.Connect(ctx,
		"postgres://u@"+addr+"/db?sslmode=disable&default_query_exec_mode=simple_protocol")
	if err != nil {
		return "connect"
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "select 1 from tmp_mine"); err == nil {
		return "leak"
	}
	for n, text := range []string{"begin", "create temp table tmp_mine (a int)", "select 1 from tmp_mine",
		"insert into t values (1)", "select 1 from tmp_mine", "commit"} {
		if i%11 == 0 && n == 3 {
			c.PgConn().Conn().Close() // gone in the middle
			return "gone"
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		if _, err := c.Exec(ctx, fmt.Sprintf("%s /*id='%s-%d'*/", text, name, n)); err != nil {
			return sqlState(err)
		}
	}
	return "done"
}

// Limits of kept sessions: one too many is refused before anything ran, a transaction at rest is ended, and a
// statement that was refused leaves its session free.
func TestSessionLimits(t *testing.T) {
	_, s := startDispatcher(
		t,
		2,
		baseSettings+"sessions {\n  max = 2\n  idle_in_transaction = \"400ms\"\n}\n",
	)
	a, b, c := dialServer(t, s), dialServer(t, s), dialServer(t, s)
	for _, x := range []*wireClient{a, b} {
		x.send(&pgproto3.Query{String: "begin"})
		x.readUntil("Z")
	}
	c.send(&pgproto3.Query{String: "begin"})
	if seen := c.readUntil("Z"); countPrefix(seen, "E:53000") != 1 {
		t.Errorf("a third session of two: %v", seen)
	}
	c.send(&pgproto3.Query{String: "select 1 /*echo='free'*/"})
	if seen := c.readUntil("Z"); countPrefix(seen, "D:free") != 1 {
		t.Errorf("after the refusal: %v", seen)
	}
	for _, x := range []*wireClient{a, b} {
		if seen := x.readUntil("E:25P03"); len(seen) != 1 {
			t.Errorf("a transaction at rest: %v", seen)
		}
	}
	eventually(t, "room again", func() bool {
		c.send(&pgproto3.Query{String: "begin"})
		return countPrefix(c.readUntil("Z"), "E") == 0
	})
	c.send(&pgproto3.Query{String: "rollback"})
	c.readUntil("Z")
	c.send(&pgproto3.Query{String: "select pg_advisory_lock(1) /*class='nowhere'*/"})
	if seen := c.readUntil("Z"); countPrefix(seen, "E:53000") != 1 {
		t.Errorf("a statement that no engine takes: %v", seen)
	}
	if n := s.StickySessions(); n != 0 {
		t.Errorf("%d sessions are kept", n)
	}
}

// What a recorded script of statements gives at an engine directly it gives through the dispatcher with
// three: the same messages to the byte, but for what names the server or the moment.
func TestScriptMatchesDirectConnection(t *testing.T) {
	_, s := startDispatcher(t, 3, baseSettings)
	direct, err := standin.NewEngine(standin.EngineConfig{Kind: testbed.EngineKind(8, 4096)})
	if err != nil {
		t.Fatal(err)
	}
	defer direct.Close()
	script := []pgproto3.FrontendMessage{}
	for _, q := range []string{"select 1 /*rows='3',echo='x'*/", "", "begin", "insert into t values (1)",
		"select 1",
		"select 'syntax error'", "select 1", "rollback", "begin; select 1; commit",
		"create temp table tmp_s (a int)",
		"select 1 from tmp_s", "select 1 from tmp_other", "set my.x = '1'", "show my.x", "savepoint a",
		"discard all",
		"select 1 from tmp_s", "insert into t values (2); select 1 /*rows='2'*/", "select 'a;b' -- c",
		"listen x", "unlisten *", "copy t from stdin", "copy t from stdin /*give_up*/", "select 1",
		"copy t from stdin /*bad_line='1'*/",
		"select 1",
		"begin; copy t from stdin; copy t from stdin; select 1; commit", "begin",
		"copy t from stdin /*give_up*/", "select 1", "rollback", "copy t to stdout /*rows='3'*/",
		"select 1 /*rows='500',row_bytes='200'*/"} {
		script = append(script, &pgproto3.Query{String: q})
	}
	extended := func(name, text, p string) {
		script = append(script, &pgproto3.Parse{Name: name, Query: text}, &pgproto3.Describe{ObjectType: 'S',
			Name: name},
			&pgproto3.Sync{}, &pgproto3.Bind{PreparedStatement: name, Parameters: [][]byte{[]byte(p)}},
			&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	}
	extended("s1", "select $1::text", "x;rows=4")
	extended("s2", "insert into t select $1::text", "y")
	extended("", "copy t from stdin /*extended*/", "")
	extended("", "copy t from stdin /*extended,give_up*/", "")
	extended("", "copy t from stdin /*bad_line='1',extended='1'*/", "")
	extended("", "copy t to stdout /*rows='3'*/", "")
	extended("", "begin", "")
	// at Parse it comes behind ParseComplete
	script = append(script, &pgproto3.Query{String: "select 'syntax error'"})
	extended("s4", "select $1::text", "in a failed transaction")
	extended("s5", "rollback", "")
	script = append(script, &pgproto3.Close{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	through, at := transcript(t, s.Addr(), script), transcript(t, direct.Addr(), script)
	for i := range min(len(through), len(at)) {
		if through[i] != at[i] {
			t.Fatalf("message %d: through the dispatcher %s, directly %s", i, through[i], at[i])
		}
	}
	if len(through) != len(at) || len(at) < 600 {
		t.Errorf("%d messages through the dispatcher, %d directly", len(through), len(at))
	}
}

// Random sessions: whatever a client says in whatever order, through the dispatcher with three engines it
// gets the bytes that one engine gives it.
func TestRandomSessionsMatchDirectConnection(t *testing.T) {
	_, s := startDispatcher(t, 3, baseSettings)
	direct, err := standin.NewEngine(standin.EngineConfig{Kind: testbed.EngineKind(8, 4096)})
	if err != nil {
		t.Fatal(err)
	}
	defer direct.Close()
	simple := []string{"select 1 /*rows='3',echo='x',work_ms='0'*/", "begin", "begin", "commit", "rollback",
		"savepoint a", "rollback to savepoint a", "set search_path = a", "set search_path = b",
		"reset search_path", "show search_path", "set my.x = 'v'", "show my.x", "reset all", "discard all",
		"create temp table tmp_a (a int)", "select 1 from tmp_a /*work_ms='0'*/", "discard temp",
		"select 'syntax error'", "select 1 from tmp_none", "set time zone 'Asia/Tokyo'",
		"begin; set search_path = c; commit", "set search_path = d; select 1 from tmp_none",
		"begin; set search_path = e; rollback", "copy t from stdin", "copy t from stdin /*give_up*/", "",
		"insert into t values (1) /*work_ms='0'*/; select 1 /*work_ms='0'*/", "listen x", "unlisten *",
		"set datestyle = wrong", "set local search_path = z", "select make_temp(1) /*work_ms='0'*/",
		"select 1 from tmp_made /*work_ms='0'*/", "deallocate all", "select pg_advisory_xact_lock(1)"}
	rapid.Check(t, func(rt *rapid.T) {
		var script []pgproto3.FrontendMessage
		for i := range rapid.IntRange(1, 25).Draw(rt, "length") {
			text := rapid.SampledFrom(simple).Draw(rt, "text")
			if !strings.Contains(text, ";") && rapid.IntRange(0, 3).Draw(rt, "extended") == 0 &&
				!strings.Contains(text, "syntax") && !strings.Contains(text, "copy") {
				name := fmt.Sprint("s", i)
				script = append(script, &pgproto3.Parse{Name: name, Query: text},
					&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
				continue
			}
			script = append(script, &pgproto3.Query{String: text})
		}
		through, at := transcript(t, s.Addr(), script), transcript(t, direct.Addr(), script)
		for i := range min(len(through), len(at)) {
			if through[i] != at[i] {
				rt.Fatalf("message %d: through the dispatcher %s, directly %s", i, through[i], at[i])
			}
		}
		if len(through) != len(at) {
			rt.Fatalf("%d messages through the dispatcher, %d directly", len(through), len(at))
		}
	})
	eventually(t, "all sessions are free", func() bool { return s.StickySessions() == 0 })
}

// The pool and the batches of pgx, and psql's way of opening a transaction with each statement.
func TestPoolsAndBatches(t *testing.T) {
	r, s := startDispatcher(t, 3, baseSettings)
	ctx := context.Background()
	pool, err := pgxpool.New(ctx, connectionString(s, "&pool_max_conns=16"))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			err := pgx.BeginFunc(ctx, pool, func(tx pgx.Tx) error {
				b := &pgx.Batch{}
				for n := range 5 {
					b.Queue(fmt.Sprintf("insert into t values (1) /*id='p%d-%d'*/", i, n))
				}
				if err := tx.SendBatch(ctx, b).Close(); err != nil {
					return err
				}
				_, err := tx.Exec(ctx, fmt.Sprintf("insert into t values (2) /*id='p%d-last'*/", i))
				return err
			})
			if err != nil {
				t.Error(i, err)
			}
		}()
	}
	wg.Wait()
	var engines []*standin.Engine
	for _, e := range r.Engines {
		engines = append(engines, e.Engine)
	}
	for i := range 60 {
		got := runsByEngine(engines, fmt.Sprintf("p%d", i))
		for _, n := range got {
			if len(got) != 1 || n != 6 {
				t.Errorf("transaction %d ran on %v", i, got)
			}
		}
	}
	eventually(t, "all sessions are free", func() bool { return s.StickySessions() == 0 })
}

// Fetching on from portals in a transaction, two of them by turns, and COPY out, which streams.
func TestPortalsAndCopyOut(t *testing.T) {
	_, s := startDispatcher(t, 2, baseSettings)
	c := dialServer(t, s)
	c.send(&pgproto3.Query{String: "begin"})
	c.readUntil("Z")
	fetch := func(portal string) string {
		c.send(&pgproto3.Execute{Portal: portal, MaxRows: 2}, &pgproto3.Sync{})
		seen := c.readUntil("Z")
		return fmt.Sprint(
			countPrefix(seen, "D"),
			countPrefix(seen, "PortalSuspended"),
			countPrefix(seen, "C"),
			countPrefix(seen, "E"),
		)
	}
	for _, p := range []string{"a", ""} {
		c.send(&pgproto3.Parse{Name: "s" + p, Query: "select $1::text"}, &pgproto3.Bind{DestinationPortal: p,
			PreparedStatement: "s" + p,
			Parameters:        [][]byte{[]byte("x;rows=5")}}, &pgproto3.Sync{})
		c.readUntil("Z")
	}
	got := []string{fetch("a"), fetch(""), fetch("a"), fetch(""), fetch("a"), fetch("")}
	if want := "[2 1 0 0 2 1 0 0 2 1 0 0 2 1 0 0 1 0 1 0 1 0 1 0]"; fmt.Sprint(got) != want {
		t.Errorf("fetched %v, want %s", got, want)
	}
	c.send(&pgproto3.Query{String: "commit"})
	c.readUntil("Z")
	if got := fetch("a"); got != "0 0 0 1" {
		t.Errorf("a portal after its transaction: %s", got)
	}
	conn := connect(t, s, "")
	var out bytes.Buffer
	tag, err := conn.PgConn().CopyTo(context.Background(), &out,
		"copy t to stdout /*rows='3000',row_bytes='100'*/")
	if err != nil || tag.RowsAffected() != 3000 || bytes.Count(out.Bytes(), []byte("\n")) != 3000 {
		t.Errorf("copied %v, %d bytes, %v", tag, out.Len(), err)
	}
}

// transcript plays a script and returns the messages that answered it, each in its bytes.
func transcript(t *testing.T, addr string, script []pgproto3.FrontendMessage) (out []string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: 3 << 16, Parameters: map[string]string{"user": "u"}})
	asked := ""
	ready := func(keep bool) {
		if err := f.Flush(); err != nil {
			t.Fatal(err)
		}
		for {
			m, err := f.Receive()
			if err != nil {
				t.Fatal(err)
			}
			if e, ok := m.(*pgproto3.ErrorResponse); ok { // texts are each server's own, codes are not
				m = &pgproto3.ErrorResponse{Severity: e.Severity, Code: e.Code}
			}
			if _, ok := m.(*pgproto3.ParameterStatus); !ok && keep {
				b, _ := m.(interface{ Encode([]byte) ([]byte, error) }).Encode(nil)
				out = append(out, fmt.Sprintf("%q", b))
			}
			switch m.(type) {
			case *pgproto3.CopyInResponse: // one line in three messages; then the end, or its failure
				for _, s := range []string{"1\ta", "", "\n"} {
					f.Send(&pgproto3.CopyData{Data: []byte(s)})
				}
				switch {
				case strings.Contains(asked, "give_up"):
					f.Send(&pgproto3.CopyFail{Message: "the script gives up"})

				default:
					f.Send(&pgproto3.CopyDone{})
				}
				if strings.Contains(asked, "extended") {
					f.Send(&pgproto3.Sync{})
				}
				if err := f.Flush(); err != nil {
					t.Fatal(err)
				}
			case *pgproto3.ReadyForQuery:
				return
			}
		}
	}
	ready(false)
	for _, m := range script {
		f.Send(m)
		switch m := m.(type) {
		case *pgproto3.Parse:
			asked = m.Query
		case *pgproto3.Query:
			asked = m.String
			ready(true)
		case *pgproto3.Sync:
			ready(true)
		}
	}
	return out
}
