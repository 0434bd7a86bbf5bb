package server_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

func TestMain(m *testing.M) {
	if target := os.Getenv(idleClientsEnv); target != "" { // the child process of BenchmarkIdleClient
		if err := holdIdleClients(target); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	// memberlist does not wait for a probe in flight when it closes; the probe ends within its interval.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/hashicorp/memberlist.(*Memberlist).probe"))
}

// baseSettings has a class of each effect and one class that no engine serves. The deadlines are short to
// keep the tests short.
const baseSettings = `
default_class = "lookup"
write_class   = "write"
hold_back     = 4096
engines {
  connect_timeout = "500ms"
  cancel_timeout  = "500ms"
}
rules {
  drain_grace = "500ms"
  order_rest  = "50ms"
}
limits { max_attempts = 3 }
kind "std" { cores = 8 }
class "lookup" {
  aim      = "4s"
  deadline = "5s"
  effect   = "safe"
}
class "index-load" {
  aim      = "4s"
  deadline = "8s"
  effect   = "keyed"
  window   = "15s"
  in_order = true
  loads    = true
}
class "write" {
  aim      = "4s"
  deadline = "5s"
  effect   = "unsafe"
}
kind "none" { cores = 8 }
class "nowhere" {
  aim      = "200ms"
  deadline = "200ms"
  effect   = "safe"
  on_kinds = ["none"]
}
`

// startEngines starts n stand-in engines and a discovery service that lists them.
func startEngines(t *testing.T, n int) *testbed.Testbed {
	t.Helper()
	cfg := make([]standin.EngineConfig, n)
	for i := range cfg {
		cfg[i] = standin.EngineConfig{Kind: testbed.EngineKind(8, 4096), Window: 15 * time.Second}
	}
	r, err := testbed.New(cfg...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// startDispatcher starts a dispatcher in front of n stand-in engines.
func startDispatcher(t *testing.T, n int, settings string) (*testbed.Testbed, *server.Server) {
	t.Helper()
	r := startEngines(t, n)
	s, err := r.StartDispatcher(settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return r, s
}

// connectionString returns the connection string for a client of the dispatcher. Options begin with "&".
func connectionString(s *server.Server, options string) string {
	return "postgres://u:p@" + s.Addr() + "/db?sslmode=disable" + options
}

// connect opens a connection that is closed when the test ends.
func connect(t *testing.T, s *server.Server, options string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(context.Background(), connectionString(s, options))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// sqlState returns the SQLSTATE of an error, or its text if it has none.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// eventually fails the test unless f returns true within 10 s.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// queryRowCount runs a query over the simple protocol and counts its rows.
func queryRowCount(t *testing.T, c *pgx.Conn, text string) (rows int, err error) {
	t.Helper()
	r, err := c.Query(context.Background(), text, pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	for r.Next() {
		rows++
	}
	return rows, r.Err()
}

// runsByEngine returns the number of a session's statements by the index of the engine that ran them. The
// statements' IDs are the session's name, or begin with it and a hyphen.
func runsByEngine(r *testbed.Testbed, session string) map[int]int {
	counts := map[int]int{}
	for i, e := range r.Engines {
		for _, run := range e.Runs() {
			if run.ID == session || strings.HasPrefix(run.ID, session+"-") {
				counts[i]++
			}
		}
	}
	return counts
}

// countRuns returns how often the statement with an ID ran on all engines together.
func countRuns(r *testbed.Testbed, id string) (n int) {
	for _, e := range r.Engines {
		for _, run := range e.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// lockedBuffer collects the log of several goroutines. It is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
