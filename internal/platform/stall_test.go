package platform

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// TestSuspendedProcess checks that the deadline of a request that arrives while the process is suspended is
// reduced by the time of the suspension, on old and new connections, and that no query is sent for a client
// that disconnected meanwhile.
func TestSuspendedProcess(t *testing.T) {
	const limit, stopped, slack = 1500, 600, 150 // milliseconds
	var mu sync.Mutex
	sentMS := map[string]int{}
	p := startProgram(t, func(h *harness) {
		h.node.setHandler(func(_ http.ResponseWriter, q *http.Request, call, ticket string) bool {
			if call == "POST" {
				mu.Lock()
				defer mu.Unlock()
				sentMS[ticket], _ = strconv.Atoi(q.Header.Get("X-Max-Ms"))
			}
			return false
		})
	})
	old, leaving := p.dial(), p.dial()
	old.mustServe(1, 1)
	leaving.mustServe(2, 1)
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond)
	fresh := p.dial()
	for n, client := range []*testClient{old, fresh, leaving} {
		client.send(requestFields(ticket(10+n), "quick", strconv.Itoa(limit)))
	}
	leaving.conn.Close()
	time.Sleep(stopped * time.Millisecond)
	p.cmd.Process.Signal(syscall.SIGCONT)
	for _, client := range []*testClient{old, fresh} {
		if got := client.receive(); got.kind != "answer" {
			t.Errorf("got %+v, want an answer", got)
		}
	}
	old.mustServe(3, 1)
	mu.Lock()
	defer mu.Unlock()
	for n, name := range []string{"old", "new"} {
		if ms := sentMS[ticket(10+n)]; ms > limit-stopped+slack || ms < limit-stopped-400 {
			t.Errorf("%s connection: sent with %d ms, but %d ms are left", name, ms, limit-stopped)
		}
	}
	if _, sent := sentMS[ticket(12)]; sent {
		t.Error("a query was sent for a client that had disconnected")
	}
	if ms := sentMS[ticket(3)]; ms < 2000-slack {
		t.Errorf("the next request: sent with %d ms of 2000", ms)
	}
}

// recordLimit makes the compute node record the deadline (X-Max-Ms, in milliseconds) of each query, and
// returns where it stores that of the last one.
func (h *harness) recordLimit() *atomic.Int64 {
	sentMS := &atomic.Int64{}
	h.node.setHandler(func(_ http.ResponseWriter, q *http.Request, call, _ string) bool {
		if call == "POST" {
			ms, _ := strconv.ParseInt(q.Header.Get("X-Max-Ms"), 10, 64)
			sentMS.Store(ms)
		}
		return false
	})
	return sentMS
}

// TestStallBetweenPeekAndRead checks that a stall between the time at which a request was seen in the socket
// and the time at which it is read reduces its deadline.
func TestStallBetweenPeekAndRead(t *testing.T) {
	const stalled, slack = 500, 150 // milliseconds
	h := newHarness(t, 256)
	sentMS := h.recordLimit()
	client := h.dial()
	client.mustServe(1, 1)
	h.frontend.mu.Lock()
	seq := client.send(requestFields(ticket(2), "quick", "2000"))
	time.Sleep(50 * time.Millisecond) // until the reader has seen the request
	h.stalls.mu.Lock()
	time.Sleep(stalled * time.Millisecond)
	h.stalls.mu.Unlock()
	h.frontend.mu.Unlock()
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Errorf("got %+v, want an answer", got)
	}
	if ms := sentMS.Load(); ms > 2000-stalled+slack {
		t.Errorf("sent with %d ms of 2000 after a stall of %d", ms, stalled)
	}
}

// TestReadLongAfterStall guards against a query that was sent with too long a deadline: its request arrived
// during a stall, on a connection that was accepted long after the stall.
func TestReadLongAfterStall(t *testing.T) {
	const stalled, late, slack = 500, 250, 150 // milliseconds
	release := holdAccepts(t)
	h := newHarness(t, 256)
	sentMS := h.recordLimit()
	h.stalls.mu.Lock()
	client := h.dial()
	client.send(requestFields(ticket(1), "quick", "2000"))
	time.Sleep(stalled * time.Millisecond)
	h.stalls.mu.Unlock()
	time.Sleep(late * time.Millisecond)
	release()
	if got := client.receive(); got.kind != "answer" {
		t.Errorf("got %+v, want an answer", got)
	}
	if ms := sentMS.Load(); ms > 2000-stalled-late+slack || ms < 2000-stalled-late-400 {
		t.Errorf("sent with %d ms of 2000, %d ms after the request arrived", ms, stalled+late)
	}
}

// TestResponseArrivesWhileSuspended checks that a response that arrives while the process is suspended is
// read, even long after its timeout, and that the result is not polled.
func TestResponseArrivesWhileSuspended(t *testing.T) {
	const queries = 8
	p := startProgram(t, func(h *harness) {
		h.node.setHandler(func(_ http.ResponseWriter, _ *http.Request, call, _ string) bool {
			if call == "POST" {
				time.Sleep(150 * time.Millisecond)
			}
			return false
		})
	})
	client := p.dial()
	for n := range queries {
		client.send(requestFields(ticket(n+1), "quick", "3000"))
	}
	eventually(t, "all queries are sent", func() bool { return p.harness.node.callCount("POST") == queries })
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(800 * time.Millisecond)
	p.cmd.Process.Signal(syscall.SIGCONT)
	for range queries {
		if got := client.receive(); got.kind != "answer" {
			t.Errorf("got %+v, want an answer", got)
		}
	}
	if n := p.harness.node.callCount("GET"); n != 0 {
		t.Errorf("%d polls for %d queries, want none", n, queries)
	}
}

// stallPoint describes how connections to an address stall.
type stallPoint struct {
	addr  string
	stall func()
}

// stallingConn stalls when a deadline is set: after the checks before a call, and before its request is
// written.
type stallingConn struct {
	*net.TCPConn
	stall func()
}

func (c *stallingConn) SetDeadline(at time.Time) error {
	c.stall()
	return c.TCPConn.SetDeadline(at)
}

// TestStallBeforeWrite guards against a query that was written after its client had disconnected or its
// compute node had begun to drain, and with too long a deadline: the process stalled between the checks and
// the write.
func TestStallBeforeWrite(t *testing.T) {
	const stalled, slack = 200, 60 // milliseconds
	for name, test := range map[string]struct {
		meanwhile func(h *harness, client *testClient, seq int32)
		sent      int
	}{
		"nothing": {func(*harness, *testClient, int32) {}, 1},
		"closes":  {func(_ *harness, client *testClient, _ int32) { client.conn.Close() }, 0},
		"cancels": {func(_ *harness, client *testClient, seq int32) {
			client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
		}, 0},
		"drains": {func(h *harness, _ *testClient, _ int32) {
			h.discovery.add(false, "s-1", serverAddr(h.node.Server), "draining")
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var point atomic.Pointer[stallPoint]
			withSystem(t, func(s *system) {
				dial := s.dial
				s.dial = func(ctx context.Context, timeout time.Duration, addr string) (net.Conn, error) {
					conn, err := dial(ctx, timeout, addr)
					at := point.Load()
					if err != nil || at == nil || addr != at.addr {
						return conn, err
					}
					return &stallingConn{conn.(*net.TCPConn), at.stall}, nil
				}
			})
			h := newHarnessWith(t, 256, `"may-probe":true`, `"may-probe":false`)
			sentMS := h.recordLimit()
			client := h.dial()
			begun, resume := make(chan struct{}), make(chan struct{})
			point.Store(&stallPoint{addr: serverAddr(h.node.Server),
				stall: sync.OnceFunc(func() { close(begun); <-resume })})
			seq := client.send(requestFields(ticket(1), "quick", "2000"))
			<-begun
			resumeLoop := h.pauseLoop() // the core learns of the change after the attempt
			test.meanwhile(h, client, seq)
			time.Sleep(stalled * time.Millisecond)
			close(resume)
			time.Sleep(20 * time.Millisecond)
			resumeLoop()
			eventually(t, "the attempt ends", func() bool { return h.attemptCount() == 0 })
			if n := h.node.callCount("POST"); n != test.sent {
				t.Errorf("%d queries sent, want %d", n, test.sent)
			}
			if ms := sentMS.Load(); ms > 2000-stalled+slack {
				t.Errorf("sent with %d ms of 2000 after a stall of %d", ms, stalled)
			}
		})
	}
}
