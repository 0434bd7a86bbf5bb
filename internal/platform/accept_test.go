package platform

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestManyClients checks that silent connections are evicted for those that send requests.
func TestManyClients(t *testing.T) {
	h := newHarness(t, 64)
	for range 100 {
		h.dial()
	}
	h.dial().mustServe(1, 1)
	if n, most := h.frontend.connCount(), h.frontend.descriptors.total-minNodeConns; n > most {
		t.Errorf("%d client connections, want at most %d", n, most)
	}
}

// TestAcceptErrors checks that transient accept errors neither lose a client's connection nor delay it, and
// that an idle connection is evicted if the error shows that descriptors have run out.
func TestAcceptErrors(t *testing.T) {
	for errno, room := range map[syscall.Errno]bool{syscall.ECONNABORTED: false, syscall.ENOBUFS: false,
		syscall.ENETDOWN: false, syscall.EMFILE: true, syscall.ENFILE: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			var fails atomic.Int32
			withSystem(t, func(s *system) {
				accept := s.accept
				s.accept = func(ln *net.TCPListener) (*net.TCPConn, error) {
					if fails.Add(-1) >= 0 {
						return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
					}
					return accept(ln)
				}
			})
			h := newHarness(t, 256)
			idle := h.dial()
			idle.mustServe(1, 1)
			time.Sleep(silentClientGrace + 50*time.Millisecond)
			fails.Store(2)
			h.dial().mustServe(2, 1) // accepted by the call that was already blocked in accept
			h.dial().mustServe(3, 1)
			if kept := h.frontend.connCount() == 3; kept == room {
				t.Errorf("the idle connection is kept: %v", kept)
			}
		})
	}
}

// TestDeadlineAfterAcceptDelay checks that a request which waited unread while accepts failed is sent to its
// compute node with the time that its client has left, and 0.15 s more at most. Later requests are sent with
// their full time.
func TestDeadlineAfterAcceptDelay(t *testing.T) {
	const waits = 600 * time.Millisecond
	var failing atomic.Bool
	withSystem(t, func(s *system) {
		accept := s.accept
		s.accept = func(ln *net.TCPListener) (*net.TCPConn, error) {
			if failing.Load() {
				return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENFILE)}
			}
			return accept(ln)
		}
	})
	h := newHarness(t, 256)
	h.dial().mustServe(9, 1)
	time.Sleep(20 * time.Millisecond) // until the next accept blocks
	failing.Store(true)
	h.dial().mustServe(1, 1) // accepted by that call
	client := h.dial()
	client.send(requestFields(ticket(2), "quick", "2000"))
	time.Sleep(waits)
	failing.Store(false)
	sentWith := func() int64 {
		t.Helper()
		if got := client.receive(); got.kind != "answer" {
			t.Fatalf("got %+v, want an answer", got)
		}
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		ms, _ := strconv.ParseInt(h.node.headers.Get("X-Max-Ms"), 10, 64)
		return ms
	}
	if ms, left := sentWith(), 2000-waits.Milliseconds(); ms > left+150 || ms < left-250 {
		t.Errorf("sent with %d ms, but %d ms are left", ms, left)
	}
	client.send(requestFields(ticket(3), "quick", "2000"))
	if ms := sentWith(); ms < 1750 {
		t.Errorf("the next request: sent with %d ms of 2000", ms)
	}
	client = h.dial()
	client.send(requestFields(ticket(4), "quick", "2000"))
	if ms := sentWith(); ms < 1750 {
		t.Errorf("on a new connection: sent with %d ms of 2000", ms)
	}
}

// TestStartRetriesListenErrors checks that a start is retried if no socket is available, or the address is in
// use, for a moment.
func TestStartRetriesListenErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENFILE, syscall.EADDRINUSE} {
		var fails atomic.Int32
		fails.Store(3)
		withSystem(t, func(s *system) {
			listen := s.listen
			s.listen = func(addr string) (net.Listener, error) {
				if fails.Add(-1) >= 0 {
					return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", errno)}
				}
				return listen(addr)
			}
		})
		newHarness(t, 256).dial().mustServe(1, 1)
	}
}
