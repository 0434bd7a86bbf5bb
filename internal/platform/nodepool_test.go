package platform

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass"
)

// TestFewDescriptors checks that all queries are served if there are more of them than descriptors for
// compute nodes, and that waiting calls reuse existing connections, so that there are few dials.
func TestFewDescriptors(t *testing.T) {
	h := newHarness(t, 64)
	const requests = 60
	var begun atomic.Int64
	started := make(chan struct{})
	h.node.setHandler(func(w http.ResponseWriter, q *http.Request, call, id string) bool {
		if begun.Add(1) == 8 {
			close(started)
		}
		<-started
		time.Sleep(20 * time.Millisecond)
		return false
	})
	client, other := h.dial(), h.dial()
	for i := range requests / 2 {
		client.send(requestFields(ticket(i+1), "quick", "20000"))
		other.send(requestFields(ticket(i+1000), "quick", "20000"))
	}
	for range requests / 2 {
		if got := client.receive(); got.kind != "answer" {
			t.Fatalf("got %+v, want an answer", got)
		}
		if got := other.receive(); got.kind != "answer" {
			t.Fatalf("got %+v, want an answer", got)
		}
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	limit := h.pool.descriptors.maxNodeConns()
	if s := h.pool.state; s.OpenConns() > limit || s.Waiting() != 0 || h.pool.counters.dials > requests*2/3 {
		t.Errorf("%d open of %d, %d wait, %d dials", s.OpenConns(), limit, s.Waiting(), h.pool.counters.dials)
	}
}

// TestIdleConnectionReused checks that a connection is reused long after the deadline of its last call.
func TestIdleConnectionReused(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	client.mustServe(1, 1)
	time.Sleep(700 * time.Millisecond)
	client.mustServe(2, 1)
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.pool.counters.dials != 1 || h.pool.counters.reused != 1 {
		t.Errorf("%d dials, %d reused, want one of each", h.pool.counters.dials, h.pool.counters.reused)
	}
}

// truncatingConn writes only the first bytes of a write, after in number, then resets the connection and
// returns EPIPE.
type truncatingConn struct {
	net.Conn
	after int
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	n, _ := c.Conn.Write(b[:c.after])
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	return n, syscall.EPIPE
}

// TestConnectionClosedOnReuse checks a call on an idle connection that its compute node closes at that
// moment. If not a byte was written, the query is sent again. If some bytes were written, the query may have
// run and is polled.
func TestConnectionClosedOnReuse(t *testing.T) {
	for after, polls := range map[int]int{0: 0, 20: 1} {
		h := newHarness(t, 256)
		client := h.dial()
		client.mustServe(1, 1)
		h.pool.mu.Lock()
		for _, c := range h.pool.idle {
			c.conn = &truncatingConn{c.conn, after}
		}
		n := len(h.pool.idle)
		h.pool.mu.Unlock()
		if n != 1 {
			t.Fatalf("%d idle connections", n)
		}
		time.Sleep(2 * reuseDelay) // so that the connection can be reused
		client.mustServe(2, 1)
		if got := h.node.callCount("GET 0 " + ticket(2)); got != polls {
			t.Errorf("cut after %d bytes: polled %d times, want %d", after, got, polls)
		}
		if n := h.endedWith(cresspass.OutcomeConnectFailed) +
			h.endedWith(cresspass.OutcomeConnectionReset); n != 0 {
			t.Errorf("cut after %d bytes: %d attempts count against the compute node", after, n)
		}
	}
}

// TestLocalDialErrorsNotBlamedOnNode checks that a dial error of the local machine does not count against the
// compute node, and that the query is served once dials succeed again.
func TestLocalDialErrorsNotBlamedOnNode(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH,
		syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			var fails atomic.Int32
			withSystem(t, func(s *system) {
				dial := s.dial
				s.dial = func(ctx context.Context, timeout time.Duration, addr string) (net.Conn, error) {
					if fails.Add(-1) >= 0 {
						return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
					}
					return dial(ctx, timeout, addr)
				}
			})
			h := newHarness(t, 256)
			eventually(t, "discovery is polled", func() bool { return len(h.discovery.polledFrom()) > 0 })
			fails.Store(3)
			h.dial().mustServe(1, 1)
			if n := h.endedWith(cresspass.OutcomeConnectFailed); n != 0 {
				t.Errorf("%d attempts count against the compute node", n)
			}
		})
	}
}
