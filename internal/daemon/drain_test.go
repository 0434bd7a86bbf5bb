package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// During a drain running queries finish with their answers, idle clients are disconnected, and new
// connections are refused. The drain is cut short at its timeout.
func TestDrain(t *testing.T) {
	env := newTestEnv(t)
	s := env.start(t, "", false)
	if b, err := os.ReadFile(filepath.Join(env.dir, "pid")); err != nil ||
		string(b) != fmt.Sprintln(os.Getpid()) {
		t.Errorf("PID file %q, %v", b, err)
	}
	idle, short, long := env.connect(t), env.connect(t), env.connect(t)
	results := make(chan string, 2)
	for c, text := range map[*pgx.Conn]string{short: "select 1 /*work_ms='600'*/",
		long: "select 1 /*work_ms='60000'*/"} {
		go func() {
			_, err := c.Exec(context.Background(), text)
			results <- sqlState(err)
		}()
	}
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	close(s.stop)
	s.waitForLog(t, "to=draining")
	if _, err := idle.Exec(context.Background(), "select 1"); sqlState(err) != "57P01" && !idle.IsClosed() {
		t.Errorf("an idle client received %v", err)
	}
	if got := <-results; got != "<nil>" {
		t.Errorf("a query that finishes before the drain timeout was answered by %s", got)
	}
	if _, err := net.Dial("tcp", env.listen); err == nil {
		t.Error("a connection was accepted during a drain")
	}
	if got := <-results; got != "57P01" {
		t.Errorf("a query that outlasts the drain timeout was answered by %s", got)
	}
	if err := s.stopAndWait(t); err != nil {
		t.Error(err)
	}
	if took := time.Since(begin); took < 2900*time.Millisecond || took > 6*time.Second {
		t.Errorf("a drain with a timeout of 3 s took %v", took)
	}
	if _, err := os.Stat(filepath.Join(env.dir, "pid")); !os.IsNotExist(err) {
		t.Errorf("PID file not removed: %v", err)
	}
}
