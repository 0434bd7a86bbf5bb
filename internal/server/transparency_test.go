package server_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgxpool"
	"pgregory.net/rapid"

	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// TestScriptMatchesDirectConnection checks that a script of statements gets the same messages, byte for byte,
// from one engine directly and through the dispatcher with three engines. Parameters, error texts and the
// messages of the startup are not compared.
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
	// Sent as a simple query: at Parse the error would come after ParseComplete.
	script = append(script, &pgproto3.Query{String: "select 'syntax error'"})
	extended("s4", "select $1::text", "in a failed transaction")
	extended("s5", "rollback", "")
	script = append(script, &pgproto3.Close{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	proxied, directly := transcript(t, s.Addr(), script), transcript(t, direct.Addr(), script)
	for i := range min(len(proxied), len(directly)) {
		if proxied[i] != directly[i] {
			t.Fatalf("message %d: through the dispatcher %s, directly %s", i, proxied[i], directly[i])
		}
	}
	if len(proxied) != len(directly) || len(directly) < 600 {
		t.Errorf("%d messages through the dispatcher, %d directly", len(proxied), len(directly))
	}
}

// TestRandomSessionsMatchDirectConnection checks that random sessions get the same messages, byte for byte,
// from one engine directly and through the dispatcher with three engines.
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
		proxied, directly := transcript(t, s.Addr(), script), transcript(t, direct.Addr(), script)
		for i := range min(len(proxied), len(directly)) {
			if proxied[i] != directly[i] {
				rt.Fatalf("message %d: through the dispatcher %s, directly %s", i, proxied[i], directly[i])
			}
		}
		if len(proxied) != len(directly) {
			rt.Fatalf("%d messages through the dispatcher, %d directly", len(proxied), len(directly))
		}
	})
	eventually(t, "all sessions are free", func() bool { return s.StickySessions() == 0 })
}

// TestResetAfterSetLocalLeavesDefault guards against a setting that stays on an engine connection for the
// next client. A transaction sets the setting, overrides it by SET LOCAL and resets it, which must leave the
// default. Random sessions find the fault only if the next session happens to get the same connection.
func TestResetAfterSetLocalLeavesDefault(t *testing.T) {
	_, s := startDispatcher(t, 1, baseSettings)
	for _, reset := range []string{"reset search_path", "reset all"} {
		c := dialServer(t, s)
		for _, text := range []string{"begin", "set search_path = a", "set local search_path = z", reset,
			"commit"} {
			if seen := c.query(text); countPrefix(seen, "E") != 0 {
				t.Fatalf("%s: %v", text, seen)
			}
		}
		next := dialServer(t, s)
		if seen := next.query("show search_path"); !slices.Contains(seen, "D:") {
			t.Errorf("after %s another client gets %v, want an empty search_path", reset, seen)
		}
	}
}

// TestPoolsAndBatches checks that each transaction of a pgx connection pool, with a batch of statements, runs
// on one engine.
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
	for i := range 60 {
		got := runsByEngine(r, fmt.Sprintf("p%d", i))
		for _, n := range got {
			if len(got) != 1 || n != 6 {
				t.Errorf("transaction %d: statements by engine %v, want 6 on one engine", i, got)
			}
		}
	}
	eventually(t, "all sessions are free", func() bool { return s.StickySessions() == 0 })
}

// TestPortalsAndCopyOut checks two portals of a transaction that are fetched alternately, a few rows at a
// time, and COPY TO, whose response is streamed.
func TestPortalsAndCopyOut(t *testing.T) {
	_, s := startDispatcher(t, 2, baseSettings)
	c := dialServer(t, s)
	c.query("begin")
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
	c.query("commit")
	if got := fetch("a"); got != "0 0 0 1" {
		t.Errorf("fetch from a portal after its transaction: %s, want one error", got)
	}
	conn := connect(t, s, "")
	var out bytes.Buffer
	tag, err := conn.PgConn().CopyTo(context.Background(), &out,
		"copy t to stdout /*rows='3000',row_bytes='100'*/")
	if err != nil || tag.RowsAffected() != 3000 || bytes.Count(out.Bytes(), []byte("\n")) != 3000 {
		t.Errorf("copied %v, %d bytes, %v", tag, out.Len(), err)
	}
}

// transcript sends a script on a connection of its own and returns the received messages, each encoded. It
// omits the messages of the startup and ParameterStatus, and keeps only the severity and code of errors.
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
	lastQuery := ""
	receiveUntilReady := func(keep bool) {
		if err := f.Flush(); err != nil {
			t.Fatal(err)
		}
		for {
			m, err := f.Receive()
			if err != nil {
				t.Fatal(err)
			}
			if e, ok := m.(*pgproto3.ErrorResponse); ok { // error texts differ between servers, codes do not
				m = &pgproto3.ErrorResponse{Severity: e.Severity, Code: e.Code}
			}
			if _, ok := m.(*pgproto3.ParameterStatus); !ok && keep {
				b, _ := m.(interface{ Encode([]byte) ([]byte, error) }).Encode(nil)
				out = append(out, fmt.Sprintf("%q", b))
			}
			switch m.(type) {
			case *pgproto3.CopyInResponse: // sends one line in three messages, then ends or fails the copy
				for _, s := range []string{"1\ta", "", "\n"} {
					f.Send(&pgproto3.CopyData{Data: []byte(s)})
				}
				switch {
				case strings.Contains(lastQuery, "give_up"):
					f.Send(&pgproto3.CopyFail{Message: "the script gives up"})

				default:
					f.Send(&pgproto3.CopyDone{})
				}
				if strings.Contains(lastQuery, "extended") {
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
	receiveUntilReady(false)
	for _, m := range script {
		f.Send(m)
		switch m := m.(type) {
		case *pgproto3.Parse:
			lastQuery = m.Query
		case *pgproto3.Query:
			lastQuery = m.String
			receiveUntilReady(true)
		case *pgproto3.Sync:
			receiveUntilReady(true)
		}
	}
	return out
}
