package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"cresspass/internal/config"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

func TestMain(m *testing.M) {
	// memberlist does not wait for a probe that is under way at shutdown. The probe ends by itself within its
	// interval.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/hashicorp/memberlist.(*Memberlist).probe"))
}

// simpleProtocol makes clients use the simple query protocol.
const simpleProtocol = "sslmode=disable&default_query_exec_mode=simple_protocol"

const settings = `
default_class = "lookup"
write_class   = "load"
drain_for     = "3s"
kind "std" { cores = 64 }
rules { order_rest = "300ms" }
class "lookup" {
  aim      = "4s"
  deadline = "5s"
  effect   = "safe"
}
class "load" {
  aim      = "4s"
  deadline = "5s"
  effect   = "keyed"
  window   = "10s"
  in_order = true
  scope    = "zone"
}
`

// runningDaemon is a daemon that runs in this process.
type runningDaemon struct {
	stop chan struct{}
	done chan error
	log  *lockedBuffer
}

// lockedBuffer holds the log of a daemon. It may be read while the daemon writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
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

// testEnv is the environment of one or several daemons: a directory, an address for clients, and engines with
// the discovery service that lists them.
type testEnv struct {
	dir, listen string
	testbed     *testbed.Testbed
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	r, err := testbed.New(standin.EngineConfig{Kind: testbed.EngineKind(64, 4096), Window: 10 * time.Second},
		standin.EngineConfig{Kind: testbed.EngineKind(64, 4096), Window: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	addr, err := testbed.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	return &testEnv{t.TempDir(), addr, r}
}

// settingsText returns the text of a settings file that includes extra settings.
func (env *testEnv) settingsText(extra string) string {
	in := func(name string) string { return filepath.Join(env.dir, name) }
	return settings + extra + fmt.Sprintf(`
listen    = %q
state     = %q
takeover  = %q
pid_file  = %q
roster { eds = %q }
`, env.listen, in("state"), in("sock"), in("pid"), env.testbed.Discovery.Addr())
}

func (env *testEnv) options(t *testing.T, extra string, takeover bool) (Options, *lockedBuffer) {
	cfg, err := config.Parse("d.hcl", []byte(env.settingsText(extra)))
	if err != nil {
		t.Fatal(err)
	}
	log := &lockedBuffer{}
	return Options{
		Config:     cfg,
		Logger:     slog.New(slog.NewTextHandler(log, nil)),
		Takeover:   takeover,
		LoadConfig: func() (*config.Config, error) { return config.Load(filepath.Join(env.dir, "d.hcl")) },
	}, log
}

// start runs a daemon and returns once it is ready.
func (env *testEnv) start(t *testing.T, extra string, takeover bool) *runningDaemon {
	t.Helper()
	o, log := env.options(t, extra, takeover)
	s := &runningDaemon{stop: make(chan struct{}), done: make(chan error, 1), log: log}
	o.Stop = s.stop
	go func() { s.done <- Run(context.Background(), o) }()
	s.waitForLog(t, "to=ready")
	return s
}

// waitForCachedList waits for the engine list in the state directory and returns its path. A dispatcher
// caches its first list only after it has become ready, so a test that reads the file at once may find none.
func (env *testEnv) waitForCachedList(t *testing.T) string {
	t.Helper()
	path := filepath.Join(env.dir, "state", "list")
	for begin := time.Now(); ; time.Sleep(time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return path
		}
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the engine list was not cached within 5 s")
		}
	}
}

// waitForLog waits until the log contains a text.
func (s *runningDaemon) waitForLog(t *testing.T, what string) {
	t.Helper()
	for begin := time.Now(); !strings.Contains(s.log.String(), what); time.Sleep(2 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("no %q in the log within 10 s:\n%s", what, s.log)
		}
	}
}

// stopAndWait stops the daemon, unless it was stopped already, and returns the result of Run.
func (s *runningDaemon) stopAndWait(t *testing.T) error {
	t.Helper()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	select {
	case err := <-s.done:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon did not exit within 10 s")
		return nil
	}
}

func (env *testEnv) connect(t *testing.T) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(context.Background(), "postgres://u@"+env.listen+"/db?"+simpleProtocol)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// sqlState returns the SQLSTATE of an error, or else its text.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// sendReload sends SIGHUP to this process.
func sendReload() error {
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		return err
	}
	return self.Signal(syscall.SIGHUP)
}
