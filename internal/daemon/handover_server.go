package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"cresspass/internal/daemon/lifecycle"
	"cresspass/internal/netlisten"
)

// handoverServer is the predecessor's side of handovers. It serves the processes that ask for the listening
// sockets, and gives each of them an ID.
type handoverServer struct {
	listener *net.UnixListener
	events   chan<- lifecycle.Event
	logger   *slog.Logger
	done     chan struct{} // closed by close

	mu       sync.Mutex
	lastID   uint64
	conns    map[uint64]*net.UnixConn
	handlers sync.WaitGroup
}

// listenForSuccessors listens on the Unix socket at path, and sends an event to events for each message of a
// successor and for the end of its connection.
func listenForSuccessors(path string, events chan<- lifecycle.Event, logger *slog.Logger) (*handoverServer,
	error) {
	ln, err := listenUnix(path)
	if err != nil {
		return nil, err
	}
	h := &handoverServer{listener: ln, events: events, logger: logger, conns: map[uint64]*net.UnixConn{},
		done: make(chan struct{})}
	h.handlers.Add(1)
	go h.accept()
	return h, nil
}

// listenUnix listens on the Unix socket at path. A socket file that a dead process left is replaced. If
// another process answers on the socket, listenUnix waits up to socketTimeout for that process to release it.
func listenUnix(path string) (*net.UnixListener, error) {
	addr := &net.UnixAddr{Name: path, Net: "unix"}
	for begin := time.Now(); ; {
		ln, err := net.ListenUnix("unix", addr)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		c, err := net.DialUnix("unix", nil, addr)
		if err != nil {
			if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
				return nil, err
			}
			continue
		}
		_ = c.Close() // nothing was sent
		if time.Since(begin) > socketTimeout {
			return nil, fmt.Errorf("another dispatcher serves %s", path)
		}
		time.Sleep(socketInterval)
	}
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
			_ = c.Close() // the successor is gone, or was rejected
		}()
	}
}

// send passes an event to the event loop, unless the server is closed.
func (h *handoverServer) send(ev lifecycle.Event) {
	select {
	case h.events <- ev:
	case <-h.done:
	}
}

// serve handles the messages of a successor until its connection ends.
func (h *handoverServer) serve(successorID uint64, c *net.UnixConn) {
	lines := bufio.NewScanner(c)
	requested := false
	for lines.Scan() {
		switch lines.Text() {
		case messageRequest:
			requested = true
			h.send(lifecycle.Event{Type: lifecycle.SuccessorConnected, SuccessorID: successorID})
		case messageServing:
			h.send(lifecycle.Event{Type: lifecycle.SuccessorServing, SuccessorID: successorID})
		}
	}
	if requested {
		h.send(lifecycle.Event{Type: lifecycle.SuccessorLost, SuccessorID: successorID})
	}
}

// conn returns a successor's connection; nil: it has ended.
func (h *handoverServer) conn(successorID uint64) *net.UnixConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns[successorID]
}

// sendListeners sends the listening sockets to a successor. If that fails, its connection is closed, which
// ends the handover.
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
		defer func() { _ = f.Close() }() // a duplicate, needed until the message is sent
		fds = append(fds, int(f.Fd()))
	}
	if err == nil {
		_, _, err = c.WriteMsgUnix([]byte(messageListeners+"\n"), syscall.UnixRights(fds...), nil)
	}
	if err != nil {
		h.logger.Warn("listening sockets not handed over", "successor", successorID, "error", err)
		_ = c.Close() // the error has been logged
	}
}

// reject rejects a successor and closes its connection. A successor that already has the sockets gives up.
func (h *handoverServer) reject(successorID uint64) {
	if c := h.conn(successorID); c != nil {
		writeLine(c, messageRejected+" another hand-over is under way, or this dispatcher ends")
		_ = c.Close() // the successor is rejected either way
	}
}

// announceDrain releases the Unix socket and notifies all connected successors that this dispatcher drains.
func (h *handoverServer) announceDrain() {
	h.listener.SetUnlinkOnClose(true)
	_ = h.listener.Close() // no more successors are accepted, and the process ends soon
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		writeLine(c, messageDraining)
	}
}

// writeLine sends a line to a successor, and waits at most successorWriteTimeout. Errors are ignored: serve
// notices when the connection has ended.
func writeLine(c *net.UnixConn, line string) {
	if err := c.SetWriteDeadline(time.Now().Add(successorWriteTimeout)); err == nil {
		_, _ = c.Write([]byte(line + "\n"))
	}
}

// close ends all connections and waits for their goroutines.
func (h *handoverServer) close() {
	close(h.done)
	_ = h.listener.Close() // announceDrain may have closed it already
	h.mu.Lock()
	for _, c := range h.conns {
		_ = c.Close() // nothing more is sent
	}
	h.mu.Unlock()
	h.handlers.Wait()
}
