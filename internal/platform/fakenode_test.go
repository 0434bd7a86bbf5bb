package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeNode is a fake compute node. Its results have the given number of pages.
type fakeNode struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []string    // "POST", "GET 0", ..., "DELETE", each followed by the ticket
	headers http.Header // of the last POST
	// handler answers a call. If it is nil or returns false, the call gets the default answer.
	handler func(w http.ResponseWriter, r *http.Request, call, ticket string) bool
	// bodyHandler receives the ticket and the body of each POST. It may be nil.
	bodyHandler func(ticket string, body []byte)
	pages       int

	known map[string]bool // tickets of received queries
}

func newFakeNode(t *testing.T) *fakeNode {
	n := &fakeNode{pages: 1, known: map[string]bool{}}
	n.Server = httptest.NewServer(n)
	t.Cleanup(n.Close)
	return n
}

// row returns the only row of a result's page.
func row(ticket string, page int) string { return fmt.Sprintf("%s\t%d\t;'\"\n", ticket, page) }

// ServeHTTP implements http.Handler.
func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // an incomplete call counts as well
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	call, ticket, page := r.Method, r.Header.Get("X-Ticket"), 0
	if len(parts) > 1 {
		ticket = parts[1]
	}
	if len(parts) > 2 {
		page, _ = strconv.Atoi(parts[2]) // a path without a number is for page 0
		call += " " + parts[2]
	}
	n.mu.Lock()
	n.calls = append(n.calls, call+" "+ticket)
	if r.Method == "POST" {
		n.headers, n.known[ticket] = r.Header, true
		if n.bodyHandler != nil {
			n.bodyHandler(ticket, body)
		}
	}
	answer, pages, known := n.handler, n.pages, n.known[ticket]
	n.mu.Unlock()
	if r.Method == "GET" && len(parts) > 1 && !known { // there is no result for a query that was not received
		w.WriteHeader(500)
		return
	}
	if answer != nil && answer(w, r, call, ticket) {
		return
	}
	switch {
	case r.Method == "DELETE":
		w.WriteHeader(204)
		return
	case page == 0:
		w.Header().Set("Page-Count", fmt.Sprint(pages))
	default:
		w.Header().Set("Page-No", fmt.Sprint(page))
	}
	io.WriteString(w, row(ticket, page))
}

// setHandler sets a function that answers calls. If it returns false, a call gets the default answer.
func (n *fakeNode) setHandler(f func(w http.ResponseWriter, r *http.Request, call, ticket string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handler = f
}

// setBodyHandler sets a function that receives the ticket and the body of each POST.
func (n *fakeNode) setBodyHandler(f func(ticket string, body []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bodyHandler = f
}

// forget makes a query unknown, as if it had never been received.
func (n *fakeNode) forget(ticket string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.known, ticket)
}

// keepRunning makes the queries of some tickets run forever: each call but DELETE is answered without a
// result, after a pause.
func (n *fakeNode) keepRunning(pause time.Duration, tickets ...string) {
	n.setHandler(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
		if call == "DELETE" || !slices.Contains(tickets, ticket) {
			return false
		}
		time.Sleep(pause)
		w.WriteHeader(202)
		return true
	})
}

// callCount returns how many entries of calls begin with a prefix.
func (n *fakeNode) callCount(prefix string) (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.calls {
		if strings.HasPrefix(c, prefix) {
			sum++
		}
	}
	return sum
}

// callsOf returns the calls for a ticket, in order.
func (n *fakeNode) callsOf(ticket string) (calls []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, call := range n.calls {
		if strings.HasSuffix(call, " "+ticket) {
			calls = append(calls, call)
		}
	}
	return calls
}

// hijack takes over the connection of a call from the server.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.Writer) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return conn, buffered.Writer
}

// writeNow writes and flushes text. It ignores the error of a connection that the dispatcher has closed.
func writeNow(b *bufio.Writer, text string) {
	b.WriteString(text)
	_ = b.Flush() // fails if the dispatcher has closed the connection
}

// resetConn resets the connection of a call.
func resetConn(w http.ResponseWriter) {
	c, _ := hijack(w)
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// writeRaw answers a call with raw bytes, and closes the connection 100 ms later.
func writeRaw(w http.ResponseWriter, text string) {
	c, b := hijack(w)
	writeNow(b, text)
	time.AfterFunc(100*time.Millisecond, func() { c.Close() })
}

// duplicateLater answers a call with raw bytes, and sends them again 5 ms later.
func duplicateLater(w http.ResponseWriter, text string) {
	c, b := hijack(w)
	writeNow(b, text)
	time.AfterFunc(5*time.Millisecond, func() { writeNow(b, text) })
	time.AfterFunc(200*time.Millisecond, func() { c.Close() })
}
