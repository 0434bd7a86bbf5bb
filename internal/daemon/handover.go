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
	messageRequest   = "socket"
	messageListeners = "here"
	messageRejected  = "no"
	messageServing   = "serving"
	messageDraining  = "draining"
)

func ptr(ts *syscall.Timespec) unsafe.Pointer { return unsafe.Pointer(ts) }

// handoverServer are the processes that ask for the socket.
type handoverServer struct {
	path     string
	listener *net.UnixListener
	events   chan<- lifecycle.Event
	logger   *slog.Logger
	done     chan struct{}

	mu       sync.Mutex
	lastID   uint64
	conns    map[uint64]*net.UnixConn
	handlers sync.WaitGroup
}

// listenForSuccessors serves a Unix socket. One that is left of a process that died is replaced; one that
// answers is not.
func listenForSuccessors(
	path string,
	events chan<- lifecycle.Event,
	log *slog.Logger,
) (*handoverServer, error) {
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
	h := &handoverServer{
		path:     path,
		listener: ln,
		events:   events,
		logger:   log,
		conns:    map[uint64]*net.UnixConn{},
		done:     make(chan struct{}),
	}
	h.handlers.Add(1)
	go h.accept()
	return h, nil
}

func (h *handoverServer) accept() {
	defer h.handlers.Done()
	for {
		accepted, err := netlisten.ResilientListener{Listener: h.listener}.Accept()
		if err != nil {
			return
		}
		c := accepted.(*net.UnixConn)
		h.mu.Lock()
		h.lastID++
		successorID := h.lastID
		h.conns[successorID] = c
		h.handlers.Add(1)
		h.mu.Unlock()
		go func() {
			defer h.handlers.Done()
			h.serve(successorID, c)
			h.mu.Lock()
			delete(h.conns, successorID)
			h.mu.Unlock()
			c.Close()
		}()
	}
}

func (h *handoverServer) send(ev lifecycle.Event) {
	select {
	case h.events <- ev:
	case <-h.done:
	}
}

func (h *handoverServer) serve(successorID uint64, c *net.UnixConn) {
	lines := bufio.NewScanner(c)
	asked := false
	for lines.Scan() {
		switch lines.Text() {
		case messageRequest:
			asked = true
			h.send(lifecycle.Event{Type: lifecycle.SuccessorConnected, SuccessorID: successorID})
		case messageServing:
			h.send(lifecycle.Event{Type: lifecycle.SuccessorServing, SuccessorID: successorID})
		}
	}
	if asked {
		h.send(lifecycle.Event{Type: lifecycle.SuccessorLost, SuccessorID: successorID})
	}
}

func (h *handoverServer) conn(successorID uint64) *net.UnixConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns[successorID]
}

// sendListeners sends the listening sockets.
func (h *handoverServer) sendListeners(successorID uint64, listeners ...*net.TCPListener) {
	c := h.conn(successorID)
	if c == nil {
		return
	}
	var fds []int
	var err error
	for _, ln := range listeners {
		var f *os.File
		if f, err = ln.File(); err != nil {
			break
		}
		defer f.Close()
		fds = append(fds, int(f.Fd()))
	}
	if err == nil {
		_, _, err = c.WriteMsgUnix([]byte(messageListeners+"\n"), syscall.UnixRights(fds...), nil)
	}
	if err != nil {
		h.logger.Warn("socket not handed over", "error", err)
		c.Close()
	}
}

// reject turns an heir away. One that already has the socket ends by it.
func (h *handoverServer) reject(successorID uint64) {
	if c := h.conn(successorID); c != nil {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		c.Write([]byte(messageRejected + " another hand-over is under way, or this dispatcher ends\n"))
		c.Close()
	}
}

// announceDrain tells heirs that the former drains, and frees the Unix socket for them.
func (h *handoverServer) announceDrain() {
	h.listener.SetUnlinkOnClose(true)
	h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		c.Write([]byte(messageDraining + "\n"))
	}
}

func (h *handoverServer) close() {
	close(h.done)
	h.listener.Close()
	h.mu.Lock()
	for _, c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	h.handlers.Wait()
}

// maxListeners are handed over: one for each front.
const maxListeners = 2

// predecessorConn is the dispatcher that is being succeeded.
type predecessorConn struct {
	conn  *net.UnixConn
	lines *bufio.Scanner
}

// takeOverListeners gets the listening sockets of the dispatcher that serves a Unix socket.
func takeOverListeners(path string) ([]*net.TCPListener, *predecessorConn, error) {
	if path == "" {
		return nil, nil, errors.New("the settings name no takeover socket")
	}
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(10 * time.Second)) // a former that hangs is not waited for
	ln, err := receiveListeners(c)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	c.SetDeadline(time.Time{})
	return ln, &predecessorConn{conn: c, lines: bufio.NewScanner(c)}, nil
}

func receiveListeners(c *net.UnixConn) ([]*net.TCPListener, error) {
	if _, err := c.Write([]byte(messageRequest + "\n")); err != nil {
		return nil, err
	}
	b, oob := make([]byte, 256), make([]byte, syscall.CmsgSpace(4*maxListeners))
	n, oobn, _, _, err := c.ReadMsgUnix(b, oob)
	if err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	answer := strings.TrimSpace(string(b[:n]))
	if answer != messageListeners {
		return nil, fmt.Errorf("turned away: %q", answer)
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(messages) != 1 {
		return nil, fmt.Errorf("no socket came with the answer: %v", err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) < 1 || len(fds) > maxListeners {
		return nil, fmt.Errorf("no socket came with the answer: %v", err)
	}
	var listeners []*net.TCPListener
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "listener")
		ln, lerr := net.FileListener(f)
		f.Close()
		if tcp, ok := ln.(*net.TCPListener); ok {
			listeners = append(listeners, tcp)
		} else {
			err = errors.Join(err, lerr, fmt.Errorf("a socket handed over is %T", ln))
		}
	}
	if err != nil {
		for _, ln := range listeners {
			ln.Close()
		}
		return nil, err
	}
	return listeners, nil
}

// startSuccessor starts on the socket beside the former, and tells it once it serves. The state folder is the
// former's until it has drained, so an heir keeps no state of loads; its engine list begins with the former's
// kept one.
func startSuccessor(start func(*config.Config, *slog.Logger, net.Listener) (*server.Server, error), o Options,
	ln *net.TCPListener, f *predecessorConn) (*server.Server, error) {
	s, err := start(o.Config, o.Logger, ln)
	if err != nil {
		return nil, err
	}
	select { // a dispatcher without a list would take connections and serve none
	case <-s.ListReady():
	case <-time.After(10 * time.Second):
		s.Close()
		return nil, errors.New("no engine list within 10 s")
	}
	if _, err := f.conn.Write([]byte(messageServing + "\n")); err != nil {
		s.Close()
		return nil, fmt.Errorf("former dispatcher: %w", err)
	}
	for f.lines.Scan() {
		switch answer := f.lines.Text(); {
		case answer == messageDraining:
			return s, nil
		case strings.HasPrefix(answer, messageRejected):
			s.Close()
			return nil, fmt.Errorf("turned away: %q", answer)
		}
	}
	// Danger: a former that died in this moment leaves its socket to us alone; we serve on.
	o.Logger.Warn("the former dispatcher ended before it said that it drains")
	return s, nil
}

func (f *predecessorConn) close() { f.conn.Close() }
