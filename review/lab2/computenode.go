//go:build review

package lab2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the protocol of compute nodes.
const (
	longPoll     = 250 * time.Millisecond // after this, a call for a query that runs is answered 202
	abandonAfter = 2 * time.Second        // a query that is not asked for in this time ends
)

// Query is a query at a compute node: from when its POST has come whole until it ends, is deleted, or is not
// asked for in 2 s.
type Query struct {
	ID      string
	Arrived time.Time

	takes time.Duration
	asked time.Time
	over  chan struct{} // closed when it ends
	end   string        // how it ended; valid once over is closed
	row   string
}

// Node is a stand-in of a compute node.
type Node struct {
	Name, Addr string
	Quiet      bool // queries are not recorded

	lab     *Lab
	takes   func(id string) time.Duration
	onQuery func(n *Node, q *Query)
	onCall  func(n *Node, w http.ResponseWriter, r *http.Request, id string) bool

	mu       sync.Mutex
	queries  map[string]*Query
	listener net.Listener
	server   *http.Server
}

// NewNode starts a compute node. takes returns how long a query runs. onQuery is called when a POST has come
// whole. onCall may answer a call in the node's place, and then returns true. Both may be nil.
func (l *Lab) NewNode(name string, takes func(id string) time.Duration, onQuery func(*Node, *Query),
	onCall func(*Node, http.ResponseWriter, *http.Request, string) bool) *Node {
	n := &Node{Name: name, lab: l, takes: takes, onQuery: onQuery, onCall: onCall,
		queries: map[string]*Query{}}
	n.server = &http.Server{Handler: n}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Check(err)
	n.Addr, n.listener = ln.Addr().String(), ln
	go n.server.Serve(ln)
	return n
}

// RefuseFor refuses new connections for a time, as a compute node at its full allowance of connections does.
// Open connections and queries go on.
func (n *Node) RefuseFor(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener.Close()
	n.lab.Note("%s is at its allowance of connections and refuses new ones for %v", n.Name, d)
	time.AfterFunc(d, func() {
		ln, err := net.Listen("tcp", n.Addr)
		n.lab.Check(err)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.listener = ln
		go n.server.Serve(ln)
		n.lab.Note("%s accepts connections again", n.Name)
	})
}

// Endpoint returns the node as the notice board tells it.
func (n *Node) Endpoint(state string) Endpoint {
	return Endpoint{ID: n.Name, Addr: n.Addr, Zone: "z", Kind: "k", State: state, Weight: 1}
}

// Out reports whether a query is out at the node: it has come whole and has neither ended nor been given up.
func (n *Node) Out(id string) bool {
	n.mu.Lock()
	q := n.queries[id]
	n.mu.Unlock()
	if q == nil {
		return false
	}
	select {
	case <-q.over:
		return false
	default:
		return true
	}
}

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the call has not come whole
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	id := r.Header.Get("X-Ticket")
	if len(parts) > 1 {
		id = parts[1]
	}
	var q *Query
	if r.Method == http.MethodPost {
		q = n.start(id)
	} else {
		n.mu.Lock()
		if q = n.queries[id]; q != nil {
			q.asked = time.Now()
		}
		n.mu.Unlock()
	}
	if n.onCall != nil && n.onCall(n, w, r, id) {
		return
	}
	switch {
	case parts[0] != "x": // a probe
		w.WriteHeader(http.StatusOK)
	case r.Method == http.MethodDelete:
		if q != nil {
			n.finish(q, "deleted")
		}
		w.WriteHeader(http.StatusNoContent)
	case q == nil:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		n.news(w, r, q)
	}
}

// start records a query that has come whole, and runs it.
func (n *Node) start(id string) *Query {
	now := time.Now()
	q := &Query{ID: id, Arrived: now, takes: n.takes(id), asked: now, over: make(chan struct{}),
		row: fmt.Sprintf("%s\t%s\t1\n", id, n.Name)}
	n.mu.Lock()
	n.queries[id] = q
	n.mu.Unlock()
	if !n.Quiet {
		n.lab.Note("%s: POST of %s has come whole; it runs for %v", n.Name, id, q.takes)
	}
	if n.onQuery != nil {
		n.onQuery(n, q)
	}
	go n.run(q)
	return q
}

// run ends a query when its time is over, or when it was not asked for.
func (n *Node) run(q *Query) {
	done := time.NewTimer(q.takes)
	defer done.Stop()
	for {
		n.mu.Lock()
		rest := time.Until(q.asked.Add(abandonAfter))
		n.mu.Unlock()
		if rest <= 0 {
			n.finish(q, "not asked for in 2 s")
			return
		}
		select {
		case <-done.C:
			n.finish(q, "ok")
			return
		case <-q.over:
			return
		case <-time.After(rest):
		}
	}
}

func (n *Node) finish(q *Query, end string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-q.over:
		return
	default:
	}
	q.end = end
	close(q.over)
	if !n.Quiet {
		n.lab.Note("%s: %s ended: %s", n.Name, q.ID, end)
	}
}

// news answers a POST or a GET of page 0.
func (n *Node) news(w http.ResponseWriter, r *http.Request, q *Query) {
	select {
	case <-q.over:
		if q.end != "ok" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Page-Count", "1")
		w.Header().Set("Content-Length", strconv.Itoa(len(q.row)))
		io.WriteString(w, q.row)
	case <-time.After(longPoll):
		w.WriteHeader(http.StatusAccepted)
	case <-r.Context().Done():
	}
}

// Reset resets the connection of a call.
func (n *Node) Reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}
