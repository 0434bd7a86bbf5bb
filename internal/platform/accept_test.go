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

// TestManyClients: silent connections are evicted for those that send requests.
func TestManyClients(t *testing.T) {
	h := newHarness(t, 64)
	for range 100 {
		h.dial()
	}
	h.dial().mustServe(1, 1)
	if n, most := h.frontend.connCount(), h.frontend.descriptors.total-minNodeConns; n > most {
		t.Errorf("%d client connections, at most %d", n, most)
	}
}

// TestAcceptErrors: an accept that fails for a moment costs no client its connection, and no wait; where
// descriptors have run out, an idle connection is evicted.
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
			h.dial().mustServe(2, 1) // taken by the accept under way
			h.dial().mustServe(3, 1)
			if kept := h.frontend.connCount() == 3; kept == room {
				t.Errorf("the idle connection is kept: %v", kept)
			}
		})
	}
}

// TestDeadlineAfterAcceptDelay: a request that waited unread, behind accepts that fail, is sent to its
// compute node with the time that its client has left by then, and 0.15 s more at most; one that comes after
// is sent with all of its time.
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
	time.Sleep(20 * time.Millisecond) // the next accept waits
	failing.Store(true)
	h.dial().mustServe(1, 1) // taken by that one
	client := h.dial()
	client.send(requestFields(ticket(2), "quick", "2000"))
	time.Sleep(waits)
	failing.Store(false)
	sentWith := func() int64 {
		t.Helper()
		if got := client.receive(); got.kind != "answer" {
			t.Fatalf("%+v", got)
		}
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		ms, _ := strconv.ParseInt(h.node.headers.Get("X-Max-Ms"), 10, 64)
		return ms
	}
	if ms, left := sentWith(), 2000-waits.Milliseconds(); ms > left+150 || ms < left-250 {
		t.Errorf("sent with %d ms, where %d are left", ms, left)
	}
	client.send(requestFields(ticket(3), "quick", "2000"))
	if ms := sentWith(); ms < 1750 {
		t.Errorf("the next one: sent with %d ms of 2000", ms)
	}
	client = h.dial()
	client.send(requestFields(ticket(4), "quick", "2000"))
	if ms := sentWith(); ms < 1750 {
		t.Errorf("on a new connection: sent with %d ms of 2000", ms)
	}
}

// TestStartRetriesListenErrors: a socket or an address that is not to be had for a moment delays a
// start, and does not end it; an address that stays taken does.
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
