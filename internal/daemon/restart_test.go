package daemon

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// After a dispatcher died with a write whose outcome is unknown, the write's ordering key stays unused for
// the time of the setting order_rest. If only one group of engines would drop a repeat of the write, the same
// write is rejected until its deduplication window is over.
func TestRestartHonorsPendingWrites(t *testing.T) {
	env := newTestEnv(t)
	s := env.start(t, "", false)
	c := env.connect(t)
	go func() {
		_, _ = c.Exec(context.Background(), // the query ends with its dispatcher; the error does not matter
			"insert into t values (7) /*class='load',key='k',work_ms='60000',id='l'*/")
	}()
	for begin := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if n := len(env.testbed.Engines[0].Runs()) + len(env.testbed.Engines[1].Runs()); n == 1 {
			break
		}
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the write did not start within 5 s")
		}
	}
	time.Sleep(50 * time.Millisecond)
	// The files are copied while the dispatcher runs: a crash would leave the same ones.
	copyDir := t.TempDir()
	env.waitForCachedList(t)
	for _, name := range []string{"state", "list"} {
		b, err := os.ReadFile(filepath.Join(env.dir, "state", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(filepath.Join(copyDir, "state"), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(copyDir, "state", name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	close(s.stop)
	if err := s.stopAndWait(t); err != nil {
		t.Error(err)
	}
	env.dir = copyDir
	env.testbed.Discovery.SetUnavailable(true) // only the cached list is available
	s = env.start(t, "", false)
	if !strings.Contains(s.log.String(),
		`msg="previous incarnation did not shut down cleanly" pending_writes=1`) {
		t.Errorf("the write is not logged: %s", s.log)
	}
	c = env.connect(t)
	defer c.Close(context.Background())
	begin := time.Now()
	if _, err := c.Exec(context.Background(),
		"insert into t values (7) /*class='load',key='k',id='l2'*/"); sqlState(err) != "53000" {
		t.Errorf("the same write again: %v", err)
	}
	if _, err := c.Exec(context.Background(),
		"insert into t values (8) /*class='load',key='k',id='m'*/"); err != nil {
		t.Errorf("another write with the key: %v", err)
	}
	if took := time.Since(begin); took < 100*time.Millisecond {
		t.Errorf("the key was used again after %v", took)
	}
	if err := s.stopAndWait(t); err != nil {
		t.Error(err)
	}
}
