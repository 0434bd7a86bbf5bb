package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeNode stands in for a compute node.
type fakeNode struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []string // "POST", "GET 0", ..., "DELETE", with the ticket behind
	headers http.Header
	handler func(w http.ResponseWriter, r *http.Request, call, ticket string) bool // false: the usual answer
	pages   int

	known map[string]bool // tickets of queries that came
}

func newFakeNode(t *testing.T) *fakeNode {
	n := &fakeNode{pages: 1, known: map[string]bool{}}
	n.Server = httptest.NewServer(n)
	t.Cleanup(n.Close)
	return n
}

func row(ticket string, page int) string { return fmt.Sprintf("%s\t%d\t;'\"\n", ticket, page) }

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.ReadAll(r.Body)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	call, ticket, page := r.Method, r.Header.Get("X-Ticket"), 0
	if len(parts) > 1 {
		ticket = parts[1]
	}
	if len(parts) > 2 {
		fmt.Sscan(parts[2], &page)
		call += " " + parts[2]
	}
	n.mu.Lock()
	n.calls = append(n.calls, call+" "+ticket)
	if r.Method == "POST" {
		n.headers, n.known[ticket] = r.Header, true
	}
	answer, pages, known := n.handler, n.pages, n.known[ticket]
	n.mu.Unlock()
	if r.Method == "GET" && len(parts) > 1 && !known { // nothing is made up for a query that never came
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

func (n *fakeNode) setHandler(f func(w http.ResponseWriter, r *http.Request, call, ticket string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handler = f
}

// forget has a query not have come.
func (n *fakeNode) forget(ticket string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.known, ticket)
}

// keepRunning has queries of some tickets run on for ever: each question is answered without news, after a
// pause.
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

// callCount tells how many calls began with some words.
func (n *fakeNode) callCount(words string) (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.calls {
		if strings.HasPrefix(c, words) {
			sum++
		}
	}
	return sum
}

func resetConn(w http.ResponseWriter) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func writeRaw(w http.ResponseWriter, text string) {
	c, b, _ := w.(http.Hijacker).Hijack()
	b.WriteString(text)
	b.Flush()
	time.AfterFunc(100*time.Millisecond, func() { c.Close() })
}

// duplicateLater answers, and again a little later.
func duplicateLater(w http.ResponseWriter, text string) {
	c, b, _ := w.(http.Hijacker).Hijack()
	b.WriteString(text)
	b.Flush()
	time.AfterFunc(5*time.Millisecond, func() { b.WriteString(text); b.Flush() })
	time.AfterFunc(200*time.Millisecond, func() { c.Close() })
}
