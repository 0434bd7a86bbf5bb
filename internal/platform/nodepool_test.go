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

// TestFewDescriptors: more queries run than there are descriptors for compute nodes; all are served, and
// who waits gets a connection that is there, so that handshakes stay few.
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
	client, b := h.dial(), h.dial()
	for i := range requests / 2 {
		client.send(requestFields(ticket(i+1), "quick", "20000"))
		b.send(requestFields(ticket(i+1000), "quick", "20000"))
	}
	for range requests / 2 {
		if got := client.receive(); got.kind != "answer" {
			t.Fatalf("%+v", got)
		}
		if got := b.receive(); got.kind != "answer" {
			t.Fatalf("%+v", got)
		}
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	most := h.pool.descriptors.maxNodeConns()
	if b := h.pool.state; b.OpenConns() > most || b.Waiting() != 0 || h.pool.counters.dials > requests*2/3 {
		t.Errorf("%d open of %d, %d wait, %d dials", b.OpenConns(), most, b.Waiting(), h.pool.counters.dials)
	}
}

// TestIdleConnectionReused: a connection is used again although the time of its last call is long over.
func TestIdleConnectionReused(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	client.mustServe(1, 1)
	time.Sleep(700 * time.Millisecond)
	client.mustServe(2, 1)
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.pool.counters.dials != 1 || h.pool.counters.reused != 1 {
		t.Errorf("%d dials, %d used again", h.pool.counters.dials, h.pool.counters.reused)
	}
}

// truncatingConn takes so many bytes of a write and is then found closed.
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

// TestConnectionClosedOnReuse: an idle connection that its compute node closed in the moment of its use
// costs nothing where not a byte had left; where some had, the query may have run and is polled.
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
		time.Sleep(2 * reuseDelay) // it is used again only after that
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

// TestLocalDialErrorsNotBlamedOnNode: where a connection to a compute node fails by our own machine, for a
// moment, the compute node is not blamed, and the query is served once the moment is over.
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
