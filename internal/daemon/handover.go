package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"cresspass/internal/config"
	"cresspass/internal/daemon/lifecycle"
	"cresspass/internal/netlisten"
	"cresspass/internal/server"
)

// A hand-over. The heir connects to the former's Unix socket and says "socket"; the former answers "here"
// with the listening sockets as a control message (SCM_RIGHTS, unix(7)): PostgreSQL's first, and Flight SQL's
// where there is one; or "no" and a reason. Both accept
// from then on. The heir says "serving" once it does; the former says "draining" and drains, and lets go of
// its state and of the Unix socket, which the heir then holds. A connection that ends before "serving" is an
// heir that died: the former goes on alone.
const (
	askSocket   = "socket"
	sayHere     = "here"
	sayNo       = "no"
	sayServing  = "serving"
	sayDraining = "draining"
)

func ptr(ts *syscall.Timespec) unsafe.Pointer { return unsafe.Pointer(ts) }

// heirs are the processes that ask for the socket.
type heirs struct {
	path   string
	ln     *net.UnixListener
	events chan<- lifecycle.Event
	log    *slog.Logger
	done   chan struct{}

	mu    sync.Mutex
	next  uint64
	conns map[uint64]*net.UnixConn
	work  sync.WaitGroup
}

// listenHeirs serves a Unix socket. One that is left of a process that died is replaced; one that answers is
// not.
func listenHeirs(path string, events chan<- lifecycle.Event, log *slog.Logger) (*heirs, error) {
	addr := &net.UnixAddr{Name: path, Net: "unix"}
	ln, err := net.ListenUnix("unix", addr)
	for begin := time.Now(); errors.Is(err, syscall.EADDRINUSE); {
		c, dialErr := net.DialUnix("unix", nil, addr)
		if dialErr == nil {
			c.Close()
			if time.Since(begin) > 5*time.Second {
				return nil, fmt.Errorf("another dispatcher serves %s", path)
			}
			time.Sleep(20 * time.Millisecond)
		} else if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		ln, err = net.ListenUnix("unix", addr)
	}
	if err != nil {
		return nil, err
	}
	h := &heirs{path: path, ln: ln, events: events, log: log, conns: map[uint64]*net.UnixConn{},
		done: make(chan struct{})}
	h.work.Add(1)
	go h.accept()
	return h, nil
}

func (h *heirs) accept() {
	defer h.work.Done()
	for {
		accepted, err := netlisten.Lasting{Listener: h.ln}.Accept()
		if err != nil {
			return
		}
		c := accepted.(*net.UnixConn)
		h.mu.Lock()
		h.next++
		who := h.next
		h.conns[who] = c
		h.work.Add(1)
		h.mu.Unlock()
		go func() {
			defer h.work.Done()
			h.serve(who, c)
			h.mu.Lock()
			delete(h.conns, who)
			h.mu.Unlock()
			c.Close()
		}()
	}
}

func (h *heirs) tell(ev lifecycle.Event) {
	select {
	case h.events <- ev:
	case <-h.done:
	}
}

func (h *heirs) serve(who uint64, c *net.UnixConn) {
	lines := bufio.NewScanner(c)
	asked := false
	for lines.Scan() {
		switch lines.Text() {
		case askSocket:
			asked = true
			h.tell(lifecycle.Event{Type: lifecycle.Successor, Who: who})
		case sayServing:
			h.tell(lifecycle.Event{Type: lifecycle.Took, Who: who})
		}
	}
	if asked {
		h.tell(lifecycle.Event{Type: lifecycle.Lost, Who: who})
	}
}

func (h *heirs) conn(who uint64) *net.UnixConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns[who]
}

// give sends the listening sockets.
func (h *heirs) give(who uint64, all ...*net.TCPListener) {
	c := h.conn(who)
	if c == nil {
		return
	}
	var fds []int
	var err error
	for _, ln := range all {
		var f *os.File
		if f, err = ln.File(); err != nil {
			break
		}
		defer f.Close()
		fds = append(fds, int(f.Fd()))
	}
	if err == nil {
		_, _, err = c.WriteMsgUnix([]byte(sayHere+"\n"), syscall.UnixRights(fds...), nil)
	}
	if err != nil {
		h.log.Warn("socket not handed over", "error", err)
		c.Close()
	}
}

// decline turns an heir away. One that already has the socket ends by it.
func (h *heirs) decline(who uint64) {
	if c := h.conn(who); c != nil {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		c.Write([]byte(sayNo + " another hand-over is under way, or this dispatcher ends\n"))
		c.Close()
	}
}

// let tells heirs that the former drains, and frees the Unix socket for them.
func (h *heirs) let() {
	h.ln.SetUnlinkOnClose(true)
	h.ln.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		c.Write([]byte(sayDraining + "\n"))
	}
}

func (h *heirs) close() {
	close(h.done)
	h.ln.Close()
	h.mu.Lock()
	for _, c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	h.work.Wait()
}

// mostSockets are handed over: one for each front.
const mostSockets = 2

// former is the dispatcher that is being succeeded.
type former struct {
	c     *net.UnixConn
	lines *bufio.Scanner
}

// takeSockets gets the listening sockets of the dispatcher that serves a Unix socket.
func takeSockets(path string) ([]*net.TCPListener, *former, error) {
	if path == "" {
		return nil, nil, errors.New("the settings name no takeover socket")
	}
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(10 * time.Second)) // a former that hangs is not waited for
	ln, err := receive(c)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	c.SetDeadline(time.Time{})
	return ln, &former{c: c, lines: bufio.NewScanner(c)}, nil
}

func receive(c *net.UnixConn) ([]*net.TCPListener, error) {
	if _, err := c.Write([]byte(askSocket + "\n")); err != nil {
		return nil, err
	}
	b, oob := make([]byte, 256), make([]byte, syscall.CmsgSpace(4*mostSockets))
	n, oobn, _, _, err := c.ReadMsgUnix(b, oob)
	if err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	said := strings.TrimSpace(string(b[:n]))
	if said != sayHere {
		return nil, fmt.Errorf("turned away: %q", said)
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(messages) != 1 {
		return nil, fmt.Errorf("no socket came with the answer: %v", err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) < 1 || len(fds) > mostSockets {
		return nil, fmt.Errorf("no socket came with the answer: %v", err)
	}
	var all []*net.TCPListener
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "listener")
		ln, lerr := net.FileListener(f)
		f.Close()
		if tcp, ok := ln.(*net.TCPListener); ok {
			all = append(all, tcp)
		} else {
			err = errors.Join(err, lerr, fmt.Errorf("a socket handed over is %T", ln))
		}
	}
	if err != nil {
		for _, ln := range all {
			ln.Close()
		}
		return nil, err
	}
	return all, nil
}

// startHeir starts on the socket beside the former, and tells it once it serves. The state folder is the
// former's until it has drained, so an heir keeps no state of loads; its engine list begins with the former's
// kept one.
func startHeir(start func(*config.Config, *slog.Logger, net.Listener) (*server.Server, error), o Options,
	ln *net.TCPListener, f *former) (*server.Server, error) {
	s, err := start(o.Config, o.Log, ln)
	if err != nil {
		return nil, err
	}
	select { // a dispatcher without a list would take connections and serve none
	case <-s.Listed():
	case <-time.After(10 * time.Second):
		s.Close()
		return nil, errors.New("no engine list within 10 s")
	}
	if _, err := f.c.Write([]byte(sayServing + "\n")); err != nil {
		s.Close()
		return nil, fmt.Errorf("former dispatcher: %w", err)
	}
	for f.lines.Scan() {
		switch said := f.lines.Text(); {
		case said == sayDraining:
			return s, nil
		case strings.HasPrefix(said, sayNo):
			s.Close()
			return nil, fmt.Errorf("turned away: %q", said)
		}
	}
	// Danger: a former that died in this moment leaves its socket to us alone; we serve on.
	o.Log.Warn("the former dispatcher ended before it said that it drains")
	return s, nil
}

func (f *former) close() { f.c.Close() }
