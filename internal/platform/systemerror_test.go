package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/daemon/signals"
	"cresspass/internal/protocol/thrift"
)

// withSystem has the dispatchers that a test starts make some system calls otherwise.
func withSystem(t *testing.T, change func(s *system)) {
	t.Helper()
	was := newSystem
	t.Cleanup(func() { newSystem = was })
	newSystem = func() *system {
		s := realSystem()
		change(s)
		return s
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
			r := newHarness(t, 256)
			eventually(t, "discovery is asked", func() bool { return len(r.discovery.polledFrom()) > 0 })
			fails.Store(3)
			r.dial().mustServe(1, 1)
			if n := r.endedWith(cresspass.OutcomeConnectFailed); n != 0 {
				t.Errorf("%d attempts count against the compute node", n)
			}
		})
	}
}

// TestPeekErrors: a look at a socket that is interrupted, or fails for want of memory, tells nothing: a
// request that is there is taken, and no connection is closed over it.
func TestPeekErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			var fails atomic.Int32
			withSystem(t, func(s *system) {
				look := s.peek
				s.peek = func(fd uintptr) (int, error) {
					if n, err := look(fd); n == 0 || err != nil || fails.Add(-1) < 0 {
						return n, err
					}
					return 0, errno
				}
			})
			r := newHarness(t, 256)
			a := r.dial()
			a.mustServe(1, 1)
			fails.Store(2)
			a.conn.SetDeadline(time.Now().Add(3 * time.Second))
			a.mustServe(2, 1)
		})
	}
}

// TestSlowDiscovery: a discovery that takes longer for its answer than a healthy one, each time, is heard all
// the same.
func TestSlowDiscovery(t *testing.T) {
	r := newHarness(t, 256)
	slow := newFakeDiscovery(t)
	slow.add(true, "s-1", serverAddr(r.node.Server), "up")
	slow.add(false, "s-2", serverAddr(r.node.Server), "up")
	at := slow.Config.Handler
	slow.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		select {
		case <-time.After(streamSilenceTimeout + 500*time.Millisecond):
			at.ServeHTTP(w, q)
		case <-q.Context().Done():
		}
	})
	r.watcher.redirect(serverAddr(slow.Server))
	eventually(t, "the slow discovery is heard", func() bool { return r.watcher.engineAddr("s-2") != "" })
}

// startWithConfigPipe starts the program with a pipe for its configuration, which it waits for.
func startWithConfigPipe(t *testing.T) (c *exec.Cmd, pipe string, ended chan error) {
	t.Helper()
	program := buildProgram(t)
	pipe = filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	c = exec.Command(program, "node")
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+pipe)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- c.Wait() }()
	t.Cleanup(func() { c.Process.Kill() })
	return c, pipe, ended
}

// openPipe waits until the program reads from the pipe, and returns its other end.
func openPipe(t *testing.T, pipe string) (f *os.File) {
	t.Helper()
	eventually(t, "the program reads its configuration", func() (ok bool) {
		var err error
		f, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	t.Cleanup(func() { f.Close() })
	return f
}

// TestSighupDuringStartup: SIGHUP before the configuration is read does not end the dispatcher.
func TestSighupDuringStartup(t *testing.T) {
	c, pipe, ended := startWithConfigPipe(t)
	f := openPipe(t, pipe)
	c.Process.Signal(syscall.SIGHUP)
	select {
	case err := <-ended:
		t.Fatalf("it ended: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	f.Close() // no configuration: an honest end
	if err := <-ended; c.ProcessState.ExitCode() != 1 {
		t.Errorf("ended without a configuration: %v", err)
	}
}

// TestSigtermAfterManySighups: a signal to end is not lost behind many to reload, while one of them still
// waits for its file.
func TestSigtermAfterManySighups(t *testing.T) {
	r := newHarness(t, 256)
	all, stop := signals.Notify()
	defer stop()
	for range 16 { // nobody takes them yet
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	time.Sleep(10 * time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- r.run(all) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxShutdownWait + exitMargin + 3*time.Second):
		t.Error("it does not end")
	}
}

// TestAcceptErrors: an accept that fails by the moment costs no client its connection, and no wait; where
// descriptors have run out, an idle connection makes room.
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
			r := newHarness(t, 256)
			idle := r.dial()
			idle.mustServe(1, 1)
			time.Sleep(silentClientGrace + 50*time.Millisecond)
			fails.Store(2)
			r.dial().mustServe(2, 1) // taken by the accept under way
			r.dial().mustServe(3, 1)
			if kept := r.frontend.connCount() == 3; kept == room {
				t.Errorf("the idle connection is kept: %v", kept)
			}
		})
	}
}

// TestShutdownWaitsForDeletes: a dispatcher that ends does not leave before its compute nodes know what was
// given up: the next life of its name would send the next query of a key beside one that runs on.
func TestShutdownWaitsForDeletes(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	seq := r.sendHeld(a, 1)
	usual := r.node.handler
	given := make(chan struct{})
	tell := sync.OnceFunc(func() { close(given) })
	r.node.setHandler(func(w http.ResponseWriter, q *http.Request, call, id string) bool {
		if call == "DELETE" {
			time.Sleep(acceptAfterTerm + 700*time.Millisecond) // longer than the rest of the end takes
			tell()
			return false
		}
		return usual(w, q, call, id)
	})
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- r.run(signals) }()
	signals <- syscall.SIGTERM
	a.conn.Write(thrift.AppendCancel(nil, 99, seq))
	a.conn.Close()
	select {
	case <-given:
		<-ended
	case <-ended:
		t.Error("it ended before the query was given up")
	case <-time.After(maxShutdownWait + exitMargin + time.Second):
		t.Error("it does not end")
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

// TestReloadRetriesMissingFile: a new configuration that can't be read for longer than a file is half
// written is read when it can be.
func TestReloadRetriesMissingFile(t *testing.T) {
	r := newHarness(t, 256)
	moved := newFakeDiscovery(t)
	moved.add(true, "s-1", serverAddr(r.node.Server), "up")
	whole := r.config(serverAddr(moved.Server))
	if err := os.Remove(r.path); err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() { ended <- r.run(signals) }()
	signals <- syscall.SIGHUP
	time.Sleep((fastReloadTries + 3) * reloadRetryDelay)
	if err := os.WriteFile(r.path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new board is asked", func() bool { return len(moved.polledFrom()) > 0 })
	signals <- syscall.SIGTERM
	<-ended
}

// TestDeadlineAfterAcceptDelay: a request that waited unread, behind accepts that fail, is told to its
// compute node with the time that its client has left by then, and 0.15 s more at most; one that comes after
// is told all of its time.
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
	r := newHarness(t, 256)
	r.dial().mustServe(9, 1)
	time.Sleep(20 * time.Millisecond) // the next accept waits
	failing.Store(true)
	r.dial().mustServe(1, 1) // taken by that one
	a := r.dial()
	a.send(requestFields(ticket(2), "quick", "2000"))
	time.Sleep(waits)
	failing.Store(false)
	told := func() int64 {
		t.Helper()
		if h := a.receive(); h.kind != "answer" {
			t.Fatalf("%+v", h)
		}
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		ms, _ := strconv.ParseInt(r.node.headers.Get("X-Max-Ms"), 10, 64)
		return ms
	}
	if ms, left := told(), 2000-waits.Milliseconds(); ms > left+150 || ms < left-250 {
		t.Errorf("told %d ms, where %d are left", ms, left)
	}
	a.send(requestFields(ticket(3), "quick", "2000"))
	if ms := told(); ms < 1750 {
		t.Errorf("the next one: told %d ms of 2000", ms)
	}
	a = r.dial()
	a.send(requestFields(ticket(4), "quick", "2000"))
	if ms := told(); ms < 1750 {
		t.Errorf("on a new connection: told %d ms of 2000", ms)
	}
}

// TestLateDuplicateResponse: a second copy of an answer that comes later than connections are left to rest
// is not taken for the answer to the next query's call.
func TestLateDuplicateResponse(t *testing.T) {
	r := newHarness(t, 256)
	r.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, id string) bool {
		if call != "POST" || id != ticket(1) {
			return false
		}
		c, b, _ := w.(http.Hijacker).Hijack()
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: %d\r\n\r\n%s",
			len(row(id, 0)), row(id, 0))
		b.WriteString(text)
		b.Flush()
		time.Sleep(3 * reuseDelay)
		b.WriteString(text)
		b.Flush()
		time.AfterFunc(time.Second, func() { c.Close() })
		return true
	})
	a := r.dial()
	a.mustServe(1, 1)
	time.Sleep(2 * reuseDelay)
	a.mustServe(2, 1)
}
