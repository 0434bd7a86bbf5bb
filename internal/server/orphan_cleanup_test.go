package server_test

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// partitionProxy forwards connections between a dispatcher and an engine. Partition closes the dispatcher's
// side of the open connections and leaves the engine's side open and silent, as when the dispatcher's machine
// is lost. New connections are forwarded.
type partitionProxy struct {
	ln          net.Listener
	target      string
	mu          sync.Mutex
	partitioned bool
	connections [][2]net.Conn
	wait        sync.WaitGroup
}

// newPartitionProxy returns a proxy for an engine's address that runs until the test ends.
func newPartitionProxy(t *testing.T, target string) *partitionProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &partitionProxy{ln: ln, target: target}
	w.wait.Add(1)
	go func() {
		defer w.wait.Done()
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			w.mu.Lock()
			w.connections = append(w.connections, [2]net.Conn{in, out})
			w.mu.Unlock()
			w.wait.Add(2)
			go func() { defer w.wait.Done(); io.Copy(in, out); in.Close() }()
			go func() {
				defer w.wait.Done()
				io.Copy(out, in)
				w.mu.Lock()
				lost := w.partitioned
				w.mu.Unlock()
				if !lost {
					out.Close()
				}
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		w.mu.Lock()
		for _, s := range w.connections {
			s[0].Close()
			s[1].Close()
		}
		w.mu.Unlock()
		w.wait.Wait()
	})
	return w
}

// Partition closes the dispatcher's side of the connections.
func (w *partitionProxy) Partition() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = true
	for _, s := range w.connections {
		s[0].Close()
	}
}

// TestOrphanedSessionsAreTerminated checks that the next incarnation with the same state terminates the
// sessions of a dispatcher that was lost, so that their locks are released, and no other program's session.
// One session is idle in a transaction, one holds a session-level lock and one runs a long statement. The
// engine does not notice the loss.
func TestOrphanedSessionsAreTerminated(t *testing.T) {
	r, err := testbed.New(
		standin.EngineConfig{Kind: testbed.EngineKind(8, 4096)},
		standin.EngineConfig{Kind: testbed.EngineKind(8,
			4096)},
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	var proxies []*partitionProxy
	for i := range r.Engines {
		proxies = append(proxies, newPartitionProxy(t, r.Engines[i].Addr()))
		r.UpdateEngine(i, func(e *eds.Engine) { e.Address = proxies[i].ln.Addr().String() })
	}
	first, second := t.TempDir(), t.TempDir()
	s, err := r.StartDispatcher(baseSettings+"state = \""+first+"\"\n", nil)
	if err != nil {
		t.Fatal(err)
	}
	inTx, locked, runs := dialServer(t, s), dialServer(t, s), dialServer(t, s)
	inTx.query("begin")
	inTx.query("select pg_advisory_lock(1)")
	locked.query("select pg_advisory_lock(2)")
	runs.query("begin")
	runs.query("select pg_advisory_lock(3)")
	runs.send(&pgproto3.Query{String: "insert into t values (1) /*work_ms='60000'*/"})
	other := dialAddress(t, r.Engines[0].Addr()) // another program's session on the same engine
	other.query("begin")
	time.Sleep(250 * time.Millisecond) // until the sessions are recorded
	files, err := filepath.Glob(filepath.Join(first, "*"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files { // copies the state at the time of the loss
		b, err := os.ReadFile(f)
		if err == nil && !strings.HasSuffix(f, "lock") {
			err = os.WriteFile(filepath.Join(second, filepath.Base(f)), b, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, w := range proxies {
		w.Partition()
	}
	s.Close()
	open := func() (n int) {
		for _, e := range r.Engines {
			n += e.Sessions()
		}
		return n
	}
	if n := open(); n < 3 { // two transactions of the lost dispatcher, one of the other program
		t.Fatalf("%d sessions are open on the engines, want at least 3: nothing to clean up", n)
	}
	for _, w := range proxies {
		w.mu.Lock()
		w.partitioned = false
		w.mu.Unlock()
	}
	began := time.Now()
	s, err = r.StartDispatcher(baseSettings+"state = \""+second+"\"\n", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	eventually(t, "the orphaned sessions are terminated", func() bool { return open() == 1 })
	t.Logf("terminated %v after the restart", time.Since(began).Round(time.Millisecond))
	for _, key := range []string{"1", "2", "3"} {
		for i := range r.Engines { // asks each engine directly, as a lock is held on one engine
			c := dialAddress(t, r.Engines[i].Addr())
			if seen := c.query("select pg_advisory_lock(" + key + ")"); countPrefix(seen, "E") != 0 {
				t.Errorf("lock %s is not released: %v", key, seen)
			}
			c.conn.Close()
		}
	}
	if seen := other.query("select 1"); countPrefix(seen, "E") != 0 {
		t.Errorf("another program's session was ended: %v", seen)
	}
}
