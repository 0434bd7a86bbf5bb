package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"cresspass/internal/config"
	"cresspass/internal/server"
)

// predecessorConn is the successor's connection to the dispatcher that it takes over from.
type predecessorConn struct {
	conn  *net.UnixConn
	lines *bufio.Scanner
}

// takeOverListeners requests the listening sockets of the dispatcher that serves the Unix socket at path. It
// also returns the connection, on which the handover continues.
func takeOverListeners(path string) ([]*net.TCPListener, *predecessorConn, error) {
	if path == "" {
		return nil, nil, errors.New("the settings name no takeover socket")
	}
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, nil, err
	}
	listeners, err := requestListeners(c)
	if err != nil {
		return nil, nil, errors.Join(err, c.Close())
	}
	_ = c.SetDeadline(time.Time{}) // an error means a lost connection, and then the next write fails
	return listeners, &predecessorConn{conn: c, lines: bufio.NewScanner(c)}, nil
}

// requestListeners asks for the listening sockets and waits for them, at most predecessorTimeout.
func requestListeners(c *net.UnixConn) ([]*net.TCPListener, error) {
	if err := c.SetDeadline(time.Now().Add(predecessorTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte(messageRequest + "\n")); err != nil {
		return nil, err
	}
	b, oob := make([]byte, maxAnswerSize), make([]byte, syscall.CmsgSpace(descriptorSize*maxListeners))
	n, oobn, _, _, err := c.ReadMsgUnix(b, oob)
	if err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	if answer := strings.TrimSpace(string(b[:n])); answer != messageListeners {
		return nil, rejectedError(answer)
	}
	return receiveListeners(oob[:oobn])
}

func rejectedError(answer string) error {
	return fmt.Errorf("rejected by the predecessor: %q", answer)
}

// receiveListeners returns the listening sockets that a control message carries.
func receiveListeners(control []byte) ([]*net.TCPListener, error) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("parse the control messages of the answer: %w", err)
	}
	if len(messages) != 1 {
		return nil, fmt.Errorf("expected one control message with sockets, received %d", len(messages))
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, fmt.Errorf("parse the descriptors of the answer: %w", err)
	}
	if len(fds) < 1 || len(fds) > maxListeners {
		return nil, fmt.Errorf("unexpected number of descriptors in the answer: %d", len(fds))
	}
	var listeners []*net.TCPListener
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "listener")
		ln, listenErr := net.FileListener(f)
		_ = f.Close() // net.FileListener has duplicated the descriptor
		if tcp, ok := ln.(*net.TCPListener); ok {
			listeners = append(listeners, tcp)
		} else {
			err = errors.Join(err, listenErr, fmt.Errorf("expected a TCP listener, received %T", ln))
		}
	}
	if err != nil {
		for _, ln := range listeners {
			_ = ln.Close() // after an error
		}
		return nil, err
	}
	return listeners, nil
}

// startSuccessor starts a dispatcher on a listener that its predecessor also serves. It notifies the
// predecessor once the dispatcher has an endpoint list. The predecessor keeps the state directory until it
// has drained, so the successor records no writes until then. The successor's endpoint list starts from the
// one that the predecessor cached.
func startSuccessor(start func(*config.Config, *slog.Logger, net.Listener) (*server.Server, error), o Options,
	ln *net.TCPListener, predecessor *predecessorConn) (*server.Server, error) {
	s, err := start(o.Config, o.Logger, ln)
	if err != nil {
		return nil, err
	}
	select { // without an endpoint list this process would accept connections and serve none of them
	case <-s.ListReady():
	case <-time.After(endpointListTimeout):
		s.Close()
		return nil, fmt.Errorf("no engine list within %v", endpointListTimeout)
	}
	if _, err := predecessor.conn.Write([]byte(messageServing + "\n")); err != nil {
		s.Close()
		return nil, fmt.Errorf("notify the predecessor: %w", err)
	}
	for predecessor.lines.Scan() {
		switch answer := predecessor.lines.Text(); {
		case answer == messageDraining:
			return s, nil
		case strings.HasPrefix(answer, messageRejected):
			s.Close()
			return nil, rejectedError(answer)
		}
	}
	// The predecessor died at this point of the handover, so only this process has the sockets. If this
	// process gave up too, no process would serve them.
	o.Logger.Warn("predecessor ended before it announced its drain")
	return s, nil
}

// close closes the connection. An error does not matter: the last answer has been read.
func (p *predecessorConn) close() { _ = p.conn.Close() }
