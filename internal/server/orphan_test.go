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

// wall stands between a dispatcher and an engine. After Lose the dispatcher's side is closed and new
// connections are let through, but the engine's side of the old ones stays open without a word, as when the
// dispatcher's machine is lost.
type wall struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	lost   bool
	sides  [][2]net.Conn
	work   sync.WaitGroup
}

func newWall(t *testing.T, target string) *wall {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wall{ln: ln, target: target}
	w.work.Add(1)
	go func() {
		defer w.work.Done()
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
			w.sides = append(w.sides, [2]net.Conn{in, out})
			w.mu.Unlock()
			w.work.Add(2)
			go func() { defer w.work.Done(); io.Copy(in, out); in.Close() }()
			go func() {
				defer w.work.Done()
				io.Copy(out, in)
				w.mu.Lock()
				lost := w.lost
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
		for _, s := range w.sides {
			s[0].Close()
			s[1].Close()
		}
		w.mu.Unlock()
		w.work.Wait()
	})
	return w
}

// Lose cuts the dispatcher off.
func (w *wall) Lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = true
	for _, s := range w.sides {
		s[0].Close()
	}
}

// A dispatcher is lost with sessions open: one rests in a transaction, one holds a lock by its session, one
// runs a long statement. The engine hears nothing of it. The next life on the same state finds them and ends
// them, so that their locks come free; other programs' sessions stay.
func TestOrphansAreEnded(t *testing.T) {
	r, err := testbed.New(standin.EngineConfig{Kind: testbed.Kind(8, 4096)}, standin.EngineConfig{Kind: testbed.Kind(8,
		4096)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	var walls []*wall
	for i := range r.Engines {
		walls = append(walls, newWall(t, r.Engines[i].Addr()))
		r.Change(i, func(e *eds.Engine) { e.Address = walls[i].ln.Addr().String() })
	}
	first, second := t.TempDir(), t.TempDir()
	s, err := r.Dispatch(settings+"state = \""+first+"\"\n", nil)
	if err != nil {
		t.Fatal(err)
	}
	say := func(c *raw, text string) []string {
		c.send(&pgproto3.Query{String: text})
		return c.until("Z")
	}
	inTx, locked, runs := dial(t, s), dial(t, s), dial(t, s)
	say(inTx, "begin")
	say(inTx, "select pg_advisory_lock(1)")
	say(locked, "select pg_advisory_lock(2)")
	say(runs, "begin")
	say(runs, "select pg_advisory_lock(3)")
	runs.send(&pgproto3.Query{String: "insert into t values (1) /*work_ms='60000'*/"})
	other := dialAt(t, r.Engines[0].Addr()) // another program's session on the same engine
	say(other, "begin")
	time.Sleep(250 * time.Millisecond) // they are noted
	files, err := filepath.Glob(filepath.Join(first, "*"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files { // the state as it is at the moment of the loss
		b, err := os.ReadFile(f)
		if err == nil && !strings.HasSuffix(f, "lock") {
			err = os.WriteFile(filepath.Join(second, filepath.Base(f)), b, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, w := range walls {
		w.Lose()
	}
	s.Close()
	open := func() (n int) {
		for _, e := range r.Engines {
			n += e.Sessions()
		}
		return n
	}
	if n := open(); n < 3 { // two transactions of the lost dispatcher's, one of the other program's
		t.Fatalf("%d sessions stand at the engines: nothing to find", n)
	}
	for _, w := range walls {
		w.mu.Lock()
		w.lost = false
		w.mu.Unlock()
	}
	began := time.Now()
	s, err = r.Dispatch(settings+"state = \""+second+"\"\n", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	eventually(t, "the orphans are ended", func() bool { return open() == 1 })
	t.Logf("ended %v after the return", time.Since(began).Round(time.Millisecond))
	for _, key := range []string{"1", "2", "3"} {
		for i := range r.Engines { // asked at the engines, as a lock is one engine's
			c := dialAt(t, r.Engines[i].Addr())
			if seen := say(c, "select pg_advisory_lock("+key+")"); countOf(seen, "E") != 0 {
				t.Errorf("lock %s: %v", key, seen)
			}
			c.c.Close()
		}
	}
	if seen := say(other, "select 1"); countOf(seen, "E") != 0 {
		t.Errorf("another program's session: %v", seen)
	}
}
