package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// nodeAnswer is an HTTP response of a compute node, with at most one header of its own.
type nodeAnswer struct {
	status        int
	header, value string // both empty if it has none
	body          string
}

// bytes encodes the answer for a connection that was taken from its HTTP server.
func (a nodeAnswer) bytes() []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if a.header != "" {
		head += fmt.Sprintf("%s: %s\r\n", a.header, a.value)
	}
	if a.status == http.StatusNoContent {
		return []byte(head + "\r\n")
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(a.body), a.body)
}

// write writes an answer. The node's behavior determines the share of answers of which a copy follows.
func (n *computeNode) write(w http.ResponseWriter, a nodeAnswer) {
	if n.behavior.CopyShare > 0 && n.drawCopy() {
		n.writeTwice(w, a)
		return
	}
	if a.header != "" {
		w.Header().Set(a.header, a.value)
	}
	w.WriteHeader(a.status)
	writeBestEffort(w, []byte(a.body))
}

func (n *computeNode) drawCopy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.behavior.CopyShare
}

// writeTwice writes an answer and, after a random delay, a copy of it on the same connection. Queries that
// arrive on the connection meanwhile are started.
func (n *computeNode) writeTwice(w http.ResponseWriter, a nodeAnswer) {
	conn, reader, ok := hijack(w)
	if !ok {
		return
	}
	defer conn.Close()
	go n.registerQueries(reader)
	n.mu.Lock()
	delay := minDuplicateDelay + time.Duration(n.random.Int64N(int64(maxDuplicateDelay-minDuplicateDelay)))
	n.mu.Unlock()
	writeBestEffort(conn, a.bytes())
	time.Sleep(delay)
	writeBestEffort(conn, a.bytes())
	time.Sleep(duplicateLinger)
}

// registerQueries starts the queries that arrive on a connection, without answering them, until the
// connection ends.
func (n *computeNode) registerQueries(reader *bufio.Reader) {
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if q.Method == http.MethodPost {
			n.register(q.Header.Get(headerTicket), q.Header.Get(headerClass))
		}
	}
}

// hijack takes over a connection from its HTTP server. ok is false if that fails.
func hijack(w http.ResponseWriter) (conn net.Conn, reader *bufio.Reader, ok bool) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return nil, nil, false
	}
	return conn, buffered.Reader, true
}
