package server_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestRejectedStatementFailsTransaction guards against a transaction that is committed without one of its
// statements, which the dispatcher rejected before an engine received it: a script or a pipeline that sends
// COMMIT after an error expects ROLLBACK.
func TestRejectedStatementFailsTransaction(t *testing.T) {
	r, s := startDispatcher(t, 2, baseSettings)
	rejected, rolledBack := "insert into t values (2) /*class='unknown'*/", []string{"C:ROLLBACK", "Z:I"}
	for name, c := range map[string]struct {
		statement string
		code      string
		next      string
		want      []string
	}{
		"no engine may run it":     {"select 1 /*class='nowhere'*/", "E:53000", "commit", rolledBack},
		"its class is not known":   {rejected, "E:22023", "commit", rolledBack},
		"then another statement":   {rejected, "E:22023", "select 1", []string{"E:25P02", "Z:E"}},
		"then rollback":            {rejected, "E:22023", "rollback", rolledBack},
		"then back to a savepoint": {rejected, "E:22023", "rollback to a", []string{"C:ROLLBACK", "Z:T"}},
	} {
		client := dialServer(t, s)
		id := strings.ReplaceAll(name, " ", "-")
		for _, text := range []string{"begin", "savepoint a", "insert into t values (1)"} {
			client.exchange(1, simpleQuery("%s", text))
		}
		seen := client.exchange(1, simpleQuery("%s", c.statement))
		if !slices.Equal(seen, []string{c.code, "Z:E"}) {
			t.Errorf("%s: %v, want %s and a failed transaction", name, seen, c.code)
		}
		seen = client.exchange(1, simpleQuery("%s /*id='%s'*/", c.next, id))
		if !slices.Equal(seen, c.want) {
			t.Errorf("%s: then %v, want %v", name, seen, c.want)
		}
		for _, e := range r.Engines {
			for _, run := range e.Runs() {
				if run.ID == id && run.Class == "COMMIT" {
					t.Errorf("%s: the transaction was committed without its statement", name)
				}
			}
		}
		client.conn.Close()
	}
}

// TestLocalErrorFailsTransaction guards against a transaction that goes on after an error that the session
// gave without asking an engine.
func TestLocalErrorFailsTransaction(t *testing.T) {
	_, s := startDispatcher(t, 1, baseSettings)
	commit := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "commit"}, &pgproto3.Bind{},
		&pgproto3.Execute{}, &pgproto3.Sync{}}
	for name, failing := range map[string][]pgproto3.FrontendMessage{
		"unknown statement": {&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Sync{}},
		"unknown portal":    {&pgproto3.Execute{Portal: "none"}, &pgproto3.Sync{}},
		"two commands":      {&pgproto3.Parse{Query: "select 1; select 2"}, &pgproto3.Sync{}},
	} {
		for _, pipelined := range []bool{false, true} {
			client := dialServer(t, s)
			client.exchange(1, simpleQuery("begin"))
			client.exchange(1, simpleQuery("insert into t values (1)"))
			var seen []string
			if pipelined {
				seen = client.exchange(2, append(slices.Clone(failing), commit...)...)
			} else {
				seen = append(client.exchange(1, failing...), client.exchange(1, commit...)...)
			}
			if len(seen) != 4 || !slices.Equal(seen[1:], []string{"Z:E", "C:ROLLBACK", "Z:I"}) {
				t.Errorf("%s, pipelined %v: %v, want an error and a transaction that is rolled back", name,
					pipelined, seen)
			}
			client.conn.Close()
		}
	}
}
