package platform

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
	"cresspass/internal/discovery/sse"
	"cresspass/internal/dispatch"
	"cresspass/internal/protocol/thrift"
)

// attemptCount returns how many attempts are out.
func (r *harness) attemptCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

// endedWith returns how many attempts ended with an outcome.
func (r *harness) endedWith(o cresspass.Outcome) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcomes[o]
}

// pauseLoop has the module do nothing until the function it returns is called.
func (r *harness) pauseLoop() (resume func()) {
	at, on := make(chan struct{}), make(chan struct{})
	go r.loop.Inspect(func(*dispatch.Core) { close(at); <-on })
	<-at
	resume = sync.OnceFunc(func() { close(on) })
	r.t.Cleanup(resume) // before the rig stops
	return resume
}

// TestCloseOrCancelBeforeSend: a query that waits for a connection is not sent any more when its
// client has gone, also where the module has not heard of that yet.
func TestCloseOrCancelBeforeSend(t *testing.T) {
	for name, leave := range map[string]func(a *testClient, seq int32){
		"closes":  func(a *testClient, _ int32) { a.conn.Close() },
		"cancels": func(a *testClient, seq int32) { a.conn.Write(thrift.AppendCancel(nil, 99, seq)) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 256)
			r.pool.mu.Lock() // no connection is to be had
			a := r.dial()
			seq := a.send(requestFields(ticket(1), "quick", "2000"))
			eventually(t, "the attempt is out", func() bool { return r.attemptCount() == 1 })
			resume := r.pauseLoop()
			leave(a, seq)
			eventually(t, "the front knows", func() bool { return r.frontend.openRequests() == 0 })
			r.pool.mu.Unlock()
			eventually(t, "the attempt ends", func() bool { return r.attemptCount() == 0 })
			resume()
			if n := r.node.callCount("POST"); n != 0 {
				t.Errorf("%d queries sent for a client that had gone", n)
			}
		})
	}
}

// TestDrainBeforeSend: a query that waits for a connection goes to another compute node when
// its own is told to drain meanwhile, and the drained one does not count as failing.
func TestDrainBeforeSend(t *testing.T) {
	r := newHarness(t, 256)
	r.pool.mu.Lock()
	a := r.dial()
	seq := a.send(requestFields(ticket(1), "quick", "5000"))
	eventually(t, "the attempt is out", func() bool { return r.attemptCount() == 1 })
	resume := r.pauseLoop()
	second := newFakeNode(t)
	r.discovery.add(false, "s-2", serverAddr(second.Server), "up")
	r.discovery.add(false, "s-1", serverAddr(r.node.Server), "draining")
	eventually(
		t,
		"the drain is told",
		func() bool { return !r.watcher.accepting("s-1", serverAddr(r.node.Server)) },
	)
	r.pool.mu.Unlock()
	eventually(t, "the attempt ends", func() bool { return r.attemptCount() == 0 })
	resume()
	if h := a.receive(); h.kind != "answer" || h.seq != seq {
		t.Errorf("%+v", h)
	}
	if n, m := r.node.callCount("POST"), second.callCount("POST"); n != 0 || m != 1 {
		t.Errorf("the draining compute node got %d queries, the other one %d", n, m)
	}
	if n := r.endedWith(cresspass.OutcomeConnectFailed); n != 0 {
		t.Errorf("%d attempts ended as failed connections", n)
	}
}

// TestStartDeadlinePassed: an attempt is not begun when its time is over, as that of a keyed repeat is with
// the window.
func TestStartDeadlinePassed(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	seq := r.sendHeld(a, 1)
	r.frontend.mu.Lock()
	q := *r.frontend.state.Lookup(1)
	r.frontend.mu.Unlock()
	q.Ticket = ticket(2)
	was := r.node.callCount("POST")
	late := &attempt{
		service:        r.service,
		request:        &q,
		number:         7,
		engine:         "s-1",
		addr:           serverAddr(r.node.Server),
		clientDeadline: q.Deadline,
		decidedAt:      time.Now(),
		startBy:        time.Now(),
	}
	late.ctx, late.cancel = t.Context(), func() {}
	late.run()
	if n, full := r.node.callCount("POST"), r.endedWith(cresspass.OutcomeRejected); n != was || full != 1 {
		t.Errorf("%d queries were sent, %d attempts turned away", n-was, full)
	}
	a.conn.Write(thrift.AppendCancel(nil, 99, seq))
}

// truncatingConn takes so many bytes of a write and is then found closed.
type truncatingConn struct {
	net.Conn
	after int
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	n, _ := c.Conn.Write(b[:c.after])
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
	return n, syscall.EPIPE
}

// TestConnectionClosedOnReuse: a resting connection that its compute node closed in the moment of its use
// costs nothing where not a byte had left; where some had, the query may have run and is asked about.
func TestConnectionClosedOnReuse(t *testing.T) {
	for after, asks := range map[int]int{0: 0, 20: 1} {
		r := newHarness(t, 256)
		a := r.dial()
		a.mustServe(1, 1)
		r.pool.mu.Lock()
		for _, c := range r.pool.idle {
			c.conn = &truncatingConn{c.conn, after}
		}
		n := len(r.pool.idle)
		r.pool.mu.Unlock()
		if n != 1 {
			t.Fatalf("%d resting connections", n)
		}
		time.Sleep(2 * reuseDelay) // it is used again only after that
		a.mustServe(2, 1)
		if got := r.node.callCount("GET 0 " + ticket(2)); got != asks {
			t.Errorf("cut after %d bytes: asked about %d times, want %d", after, got, asks)
		}
		if n := r.endedWith(cresspass.OutcomeConnectFailed) +
			r.endedWith(cresspass.OutcomeConnectionReset); n != 0 {
			t.Errorf("cut after %d bytes: %d attempts count against the compute node", after, n)
		}
	}
}

// TestRedirectDuringEvent: the new address is asked from the last whole event, whether the old one stopped
// before its answer or in the middle of an event; the half event is forgotten.
func TestRedirectDuringEvent(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":     "",
		"half an event": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: {\"rev\":2,",
	} {
		r := newHarness(t, 256)
		old, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer old.Close()
		r.watcher.redirect(old.Addr().String())
		c, err := old.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 16)); err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		moved := newFakeDiscovery(t)
		moved.add(true, "s-1", serverAddr(r.node.Server), "up")
		moved.add(false, "s-2", serverAddr(r.node.Server), "up")
		r.watcher.redirect(serverAddr(moved.Server))
		eventually(t, "the new list is known", func() bool { return r.watcher.engineAddr("s-2") != "" })
		if asked := moved.polledFrom(); asked[0] != "1" {
			t.Errorf("%s: the new address was asked from %v", name, asked)
		}
	}
}

// TestCancelInSameSegment: taken back in the segment that brings it, a request gets no answer; a number that
// is not open can be taken back before and after without harm.
func TestCancelInSameSegment(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	b := thrift.AppendCancel(nil, 1, 7)
	b = thrift.AppendDispatch(b, 7, requestFields(ticket(1), "quick", "2000"), []byte("SELECT 1"))
	b = thrift.AppendCancel(b, 8, 7)
	a.conn.Write(thrift.AppendCancel(b, 9, 7))
	a.lastSeq = 20
	a.mustServe(2, 1) // the first thing heard
	a.conn.Write(thrift.AppendCancel(nil, 30, a.lastSeq))
	a.mustServe(3, 1)
	eventually(t, "all has ended", func() bool { return r.attemptCount() == 0 && r.stats().Open == 0 })
	if st := r.stats(); st.Abandoned != 1 || st.Served != 2 {
		t.Errorf("%+v", st)
	}
}

// TestRefusedDeleteKeepsAttemptOpen: a compute node that takes no connections any more runs what it has, so
// an attempt that can't be given up there is out until nobody has asked for it for 2 s.
func TestRefusedDeleteKeepsAttemptOpen(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	seq := r.sendHeld(a, 1)
	r.node.Listener.Close()
	begun := time.Now()
	a.conn.Write(thrift.AppendCancel(nil, 99, seq))
	eventually(t, "the attempt ends", func() bool { return r.attemptCount() == 0 })
	if took := time.Since(begun); took < 1900*time.Millisecond {
		t.Errorf("given up after %v without word of its compute node", took)
	}
	if n := r.node.callCount("DELETE"); n != 0 {
		t.Errorf("%d times given up: it was to be refused", n)
	}
}

// TestRedirectInterruptsBackoff: a new address for the notice board is asked at once, whatever pause goes on.
func TestRedirectInterruptsBackoff(t *testing.T) {
	r := newHarness(t, 256)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	w := newWatcher(r.service, dead.Addr().String())
	defer w.stop()
	w.backoff.Min, w.backoff.Max = time.Hour, time.Hour
	go w.run()
	eventually(t, "it asks in vain", func() bool { return w.calls.Load() == 1 })
	asked := len(r.discovery.polledFrom())
	w.redirect(serverAddr(r.discovery.Server))
	eventually(t, "the new address is asked", func() bool { return len(r.discovery.polledFrom()) > asked })
}

// TestReconnectsAreSpread: dispatchers that lost the notice board in the same moment do not come back to it
// in the same moments, and each waits no longer than the most.
func TestReconnectsAreSpread(t *testing.T) {
	const fleet, tries = 300, 6
	var at []time.Duration
	for i := range fleet {
		b := sse.Backoff{Min: minReconnectDelay, Max: maxReconnectDelay,
			Random: rand.New(rand.NewPCG(uint64(i), 0))}
		var sum time.Duration
		for range tries {
			d := b.Next()
			if d < minReconnectDelay/2 || d > maxReconnectDelay {
				t.Fatalf("a pause of %v", d)
			}
			sum += d
		}
		at = append(at, sum)
		if b.Reset(); b.Next() > minReconnectDelay {
			t.Error("it does not start anew")
		}
	}
	slices.Sort(at)
	most := 0
	for i, from := range at { // in any 20 ms
		n := 0
		for _, d := range at[i:] {
			if d-from < 20*time.Millisecond {
				n++
			}
		}
		most = max(most, n)
	}
	if most > fleet/5 {
		t.Errorf("%d of %d come in the same 20 ms", most, fleet)
	}
}

// TestReloadRetriesPartialFile: a file that can't be read when SIGHUP comes is read again without another
// signal, and SIGTERM right after SIGHUP ends the dispatcher all the same.
func TestReloadRetriesPartialFile(t *testing.T) {
	r := newHarness(t, 256)
	moved := newFakeDiscovery(t)
	moved.add(true, "s-1", serverAddr(r.node.Server), "up")
	whole := r.config(serverAddr(moved.Server))
	if err := os.WriteFile(r.path, whole[:len(whole)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() { ended <- r.run(signals) }()
	signals <- syscall.SIGHUP
	time.Sleep(2 * reloadRetryDelay)
	next := filepath.Join(t.TempDir(), "next")
	if err := os.WriteFile(next, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, r.path); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new board is asked", func() bool { return len(moved.polledFrom()) > 0 })
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxShutdownWait + exitMargin + 3*time.Second):
		t.Error("it does not end")
	}
}

// TestOpenRequestsFailedAtExit: what is open when the dispatcher ends is answered, even where nothing else
// did.
func TestOpenRequestsFailedAtExit(t *testing.T) {
	r := newHarness(t, 256)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	a := r.dial()
	seq := r.sendHeld(a, 1)
	r.pauseLoop()
	go func() { ended <- r.run(signals) }()
	signals <- syscall.SIGTERM
	if h := a.receive(); h.kind != "fault" || h.seq != seq {
		t.Errorf("the open request: %+v", h)
	}
	if h := a.receive(); h.kind != "closed" {
		t.Errorf("after it: %+v", h)
	}
}

// TestDescriptorBudget: however clients and calls come and go, clients and urgent calls together leave to
// the rest what is set apart for it, once clients make room for one another.
func TestDescriptorBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newDescriptorBudget(rapid.IntRange(128, 1024).Draw(t, "sockets"))
		clients, nodes := b.evictAbove, 0
		for range 2000 {
			b.clientConns.Store(int32(clients))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				nodes = rapid.IntRange(0, nodes).Draw(t, "nodes left")
			case 1:
				clients = max(clients-rapid.IntRange(0, 3).Draw(t, "fewer"), b.evictAbove)
			case 2, 3:
				if nodes < b.maxNodeConns()+b.urgentNodeConns() {
					nodes++
				}
			case 4, 5:
				if nodes < b.maxNodeConns() {
					nodes++
				}
			default:
				if !b.clientsExhausted(nodes) {
					clients++
				}
			}
			if clients+nodes > b.total {
				t.Fatalf("%d clients and %d calls of %d", clients, nodes, b.total)
			}
		}
	})
}
