package platform

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// blindPeek has the next look at a socket on which there is something find nothing, as where the core is full
// and the reader has not come to it yet. The function it returns reports whether that has happened.
func blindPeek(t *testing.T) (blind func(), done func() bool) {
	var looks atomic.Int32
	withSystem(t, func(s *system) {
		look := s.peek
		s.peek = func(fd uintptr) (int, error) {
			if n, err := look(fd); err == syscall.EAGAIN || looks.Add(-1) < 0 {
				return n, err
			}
			return -1, syscall.EAGAIN
		}
	})
	return func() { looks.Store(1) }, func() bool { return looks.Load() <= 0 }
}

// TestRequestRacesIdleTimeout: a request that is there, unread, when its connection has been silent for
// too long is taken and answered.
func TestRequestRacesIdleTimeout(t *testing.T) {
	blind, done := blindPeek(t)
	r := newHarness(t, 256)
	r.setTimeouts(200*time.Millisecond, clientWriteTimeout)
	a := r.dial()
	a.mustServe(1, 1)
	blind()
	seq := a.send(requestFields(ticket(2), "quick", "2000"))
	eventually(t, "the look that sees nothing", done)
	if h := a.receive(); h.kind != "answer" || h.seq != seq {
		t.Errorf("%+v", h)
	}
}

// TestUnreadCloseOrCancelPreventsSend: a query is not written once its client has closed or cancelled, also
// where nobody has read that yet.
func TestUnreadCloseOrCancelPreventsSend(t *testing.T) {
	for name, leave := range map[string]func(a *testClient, seq int32){
		"closes":  func(a *testClient, _ int32) { a.conn.Close() },
		"cancels": func(a *testClient, seq int32) { a.conn.Write(thrift.AppendCancel(nil, 99, seq)) },
	} {
		t.Run(name, func(t *testing.T) {
			blind, done := blindPeek(t)
			r := newHarness(t, 256)
			r.pool.mu.Lock() // no connection is to be had
			a := r.dial()
			seq := a.send(requestFields(ticket(1), "quick", "2000"))
			eventually(t, "the attempt is out", func() bool { return r.attemptCount() == 1 })
			blind()
			leave(a, seq)
			eventually(t, "the look that sees nothing", done)
			r.pool.mu.Unlock()
			if name == "cancels" { // its reader comes to it now
				a.conn.Write(thrift.AppendAlive(nil, 100))
			}
			eventually(t, "the attempt ends", func() bool { return r.attemptCount() == 0 })
			if n := r.node.callCount("POST"); n != 0 {
				t.Errorf("%d queries sent for a client that had gone", n)
			}
		})
	}
}

// TestShutdownWaitsForAcceptedConnection: a dispatcher does not end while a connection that it accepted is
// on its way into the books, with a request on it.
func TestShutdownWaitsForAcceptedConnection(t *testing.T) {
	var slow atomic.Bool
	withSystem(t, func(s *system) {
		accept := s.accept
		s.accept = func(ln *net.TCPListener) (*net.TCPConn, error) {
			c, err := accept(ln)
			if err == nil && slow.Load() { // the core is full
				time.Sleep(300 * time.Millisecond)
			}
			return c, err
		}
	})
	r := newHarness(t, 256)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- r.run(signals) }()
	slow.Store(true)
	signals <- syscall.SIGTERM
	time.Sleep(acceptAfterTerm - 100*time.Millisecond)
	a := r.dial()
	a.send(requestFields(ticket(1), "quick", "2000"))
	got := make(chan reply, 1)
	go func() { got <- a.receive() }()
	<-ended
	select {
	case h := <-got:
		if h.kind != "answer" {
			t.Errorf("%+v", h)
		}
	default:
		t.Error("it ended before it had answered")
	}
}

// TestSuspendedProcess: what came while the process did not run has less time than it says, on connections
// old and new, and nothing is sent for a client that left meanwhile.
func TestSuspendedProcess(t *testing.T) {
	const limit, stopped, slack = 1500, 600, 150 // milliseconds
	var mu sync.Mutex
	told := map[string]int{}
	p := startProgram(t, func(r *harness) {
		r.node.setHandler(func(_ http.ResponseWriter, q *http.Request, call, ticket string) bool {
			if call == "POST" {
				mu.Lock()
				defer mu.Unlock()
				told[ticket], _ = strconv.Atoi(q.Header.Get("X-Max-Ms"))
			}
			return false
		})
	})
	old, leaver := p.dial(), p.dial()
	old.mustServe(1, 1)
	leaver.mustServe(2, 1)
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond)
	fresh := p.dial()
	for n, a := range []*testClient{old, fresh, leaver} {
		a.send(requestFields(ticket(10+n), "quick", strconv.Itoa(limit)))
	}
	leaver.conn.Close()
	time.Sleep(stopped * time.Millisecond)
	p.cmd.Process.Signal(syscall.SIGCONT)
	for _, a := range []*testClient{old, fresh} {
		if h := a.receive(); h.kind != "answer" {
			t.Errorf("%+v", h)
		}
	}
	old.mustServe(3, 1)
	mu.Lock()
	defer mu.Unlock()
	for n, name := range []string{"old", "new"} {
		if ms := told[ticket(10+n)]; ms > limit-stopped+slack || ms < limit-stopped-400 {
			t.Errorf("%s connection: told %d ms, where %d are left", name, ms, limit-stopped)
		}
	}
	if _, sent := told[ticket(12)]; sent {
		t.Error("a query was sent for a client that had left")
	}
	if ms := told[ticket(3)]; ms < 2000-slack {
		t.Errorf("the next one: told %d ms of 2000", ms)
	}
}

// TestStallBetweenPeekAndRead: the time in which a request was seen, and not yet taken because the process
// did not run, counts as waited.
func TestStallBetweenPeekAndRead(t *testing.T) {
	const stalled, slack = 500, 150 // milliseconds
	var told atomic.Int64
	r := newHarness(t, 256)
	r.node.setHandler(func(_ http.ResponseWriter, q *http.Request, call, _ string) bool {
		if call == "POST" {
			ms, _ := strconv.ParseInt(q.Header.Get("X-Max-Ms"), 10, 64)
			told.Store(ms)
		}
		return false
	})
	a := r.dial()
	a.mustServe(1, 1)
	r.frontend.mu.Lock()
	seq := a.send(requestFields(ticket(2), "quick", "2000"))
	time.Sleep(50 * time.Millisecond) // its reader has seen it
	r.stalls.mu.Lock()
	time.Sleep(stalled * time.Millisecond)
	r.stalls.mu.Unlock()
	r.frontend.mu.Unlock()
	if h := a.receive(); h.kind != "answer" || h.seq != seq {
		t.Errorf("%+v", h)
	}
	if ms := told.Load(); ms > 2000-stalled+slack {
		t.Errorf("told %d ms of 2000 after a stall of %d", ms, stalled)
	}
}

// TestResponseArrivesWhileSuspended: an answer that came while the process did not run is read, however long
// ago its time-out was; nothing is asked again.
func TestResponseArrivesWhileSuspended(t *testing.T) {
	const queries = 8
	p := startProgram(t, func(r *harness) {
		r.node.setHandler(func(_ http.ResponseWriter, _ *http.Request, call, _ string) bool {
			if call == "POST" {
				time.Sleep(150 * time.Millisecond)
			}
			return false
		})
	})
	a := p.dial()
	for n := range queries {
		a.send(requestFields(ticket(n+1), "quick", "3000"))
	}
	eventually(t, "all are sent", func() bool { return p.harness.node.callCount("POST") == queries })
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(800 * time.Millisecond)
	p.cmd.Process.Signal(syscall.SIGCONT)
	for range queries {
		if h := a.receive(); h.kind != "answer" {
			t.Errorf("%+v", h)
		}
	}
	if n := p.harness.node.callCount("GET"); n != 0 {
		t.Errorf("%d of %d answers were asked for again", n, queries)
	}
}
