package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Of the platform's protocol, as this stand-in keeps it.
const (
	longPollTimeout   = 250 * time.Millisecond // a question is answered without news
	unpolledTimeout   = 2 * time.Second        // a query that nobody asks for is given up
	minDuplicateDelay = 2 * time.Millisecond   // after which an answer comes a second time
	maxDuplicateDelay = 120 * time.Millisecond

	silentDropBelowMS = 40 // milliseconds: a query that has less is dropped without a word
)

// queryRun is a query on a compute node.
type queryRun struct {
	class     string
	polledAt  time.Time
	endsAt    time.Time
	pages     []string
	finished  bool // ended or given up
	succeeded bool
	over      chan struct{} // closed when it is over
}

// computeNode stands in for a compute node. Its life goes on when its process dies and another comes at its
// address: each is a generation.
type computeNode struct {
	index  int
	oracle *oracle

	mu           sync.Mutex
	changing     bool // it is about to end or to come back
	generation   int
	runs         map[string]*queryRun
	server       *http.Server
	listener     net.Listener
	addr         string
	hanging      chan struct{} // closed at the end of a hang; nil: none
	full         bool
	errors       bool
	answersTwice bool
	work         map[string]time.Duration // mean time by class
	random       *rand.Rand
	ended        sync.WaitGroup
}

func newComputeNode(index int, o *oracle, seed uint64) (*computeNode, error) {
	n := &computeNode{index: index, oracle: o, runs: map[string]*queryRun{},
		work:   map[string]time.Duration{},
		random: rand.New(rand.NewPCG(seed, uint64(index)+1))}
	for _, c := range requestClasses {
		n.work[c.name] = c.meanWork
	}
	return n, n.listen("127.0.0.1:0")
}

// id is the name of the present generation.
func (n *computeNode) id() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("n%d-%d", n.index, n.generation)
}

// listen begins to serve at an address.
func (n *computeNode) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: n}
	n.mu.Lock()
	n.listener, n.addr, n.server = ln, ln.Addr().String(), server
	n.mu.Unlock()
	n.ended.Go(func() { server.Serve(ln) })
	return nil
}

// crash ends the process: its connections are reset and its queries are lost.
func (n *computeNode) crash() {
	n.mu.Lock()
	server, runs := n.server, n.runs
	n.runs = map[string]*queryRun{}
	n.generation++
	n.mu.Unlock()
	server.Close()
	for ticket, r := range runs {
		n.endRun(ticket, r, false)
	}
}

// endRun ends a query.
func (n *computeNode) endRun(ticket string, r *queryRun, good bool) {
	n.mu.Lock()
	was := r.finished
	if !was {
		r.finished, r.succeeded = true, good
		close(r.over)
	}
	n.mu.Unlock()
	if !was {
		n.oracle.recordInterval(ticket, n.index, false)
	}
}

// beginChange begins an end of its process, unless one goes on.
func (n *computeNode) beginChange() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.changing
	n.changing = true
	return !was
}

func (n *computeNode) endChange() { n.update(func(n *computeNode) { n.changing = false }) }

// update changes how the node answers.
func (n *computeNode) update(change func(n *computeNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// abandonUnpolled gives up queries that nobody asks for, until stop is closed.
func (n *computeNode) abandonUnpolled(stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		n.mu.Lock()
		late := map[string]*queryRun{}
		for ticket, r := range n.runs {
			if !r.finished && time.Since(r.polledAt) > unpolledTimeout {
				late[ticket] = r
			}
		}
		n.mu.Unlock()
		for ticket, r := range late {
			n.endRun(ticket, r, false)
		}
	}
}

func (n *computeNode) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	io.ReadAll(q.Body)
	n.mu.Lock()
	hung, full, failing := n.hanging, n.full, n.errors
	n.mu.Unlock()
	parts := strings.Split(strings.Trim(q.URL.Path, "/"), "/")
	ticket := q.Header.Get("X-Ticket")
	if limit, err := strconv.Atoi(q.Header.Get("X-Max-Ms")); err == nil && limit < silentDropBelowMS {
		<-q.Context().Done() // dropped without a word
		return
	}
	var r *queryRun
	if q.Method == "POST" && !full { // it is out from here on, also while the node hangs
		r = n.register(ticket, q.Header.Get("X-Queue"))
	}
	if hung != nil {
		select {
		case <-hung:
		case <-q.Context().Done():
			return
		}
	}
	switch {
	case q.Method == "POST" && full:
		w.Header().Set("X-Shed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case q.Method == "POST" && failing:
		n.endRun(ticket, r, false)
		w.WriteHeader(http.StatusInternalServerError)
	case q.Method == "POST":
		n.writeResult(w, q, ticket, r)
	case q.Method == "DELETE" && len(parts) == 2:
		if r := n.find(parts[1]); r != nil {
			n.endRun(parts[1], r, false)
		}
		w.WriteHeader(http.StatusNoContent)
	case q.Method == "GET" && len(parts) == 3:
		n.answerPoll(w, q, parts[1], parts[2])
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (n *computeNode) find(ticket string) *queryRun {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[ticket]
}

// register takes a query that came.
func (n *computeNode) register(ticket, class string) *queryRun {
	n.mu.Lock()
	r := n.runs[ticket]
	fresh := r == nil || r.finished
	if fresh {
		mean := n.work[class]
		took := mean/2 + time.Duration(n.random.ExpFloat64()*float64(mean)/2)
		r = &queryRun{class: class, polledAt: time.Now(), endsAt: time.Now().Add(took),
			over: make(chan struct{})}
		for page := range 1 + n.random.IntN(3) {
			r.pages = append(r.pages, fmt.Sprintf("%s\t%d\t%016x\n", ticket, page, n.random.Uint64()))
		}
		n.runs[ticket] = r
	}
	n.mu.Unlock()
	if fresh {
		n.oracle.recordInterval(ticket, n.index, true)
		n.oracle.recordResult(ticket, strings.Join(r.pages, ""))
	}
	return r
}

// writeResult answers with a query's end, or without news.
func (n *computeNode) writeResult(w http.ResponseWriter, q *http.Request, ticket string, r *queryRun) {
	news := time.NewTimer(longPollTimeout)
	defer news.Stop()
	done := time.NewTimer(time.Until(r.endsAt))
	defer done.Stop()
	select {
	case <-done.C:
		n.endRun(ticket, r, true)
	case <-r.over:
	case <-news.C:
		w.WriteHeader(http.StatusAccepted)
		return
	case <-q.Context().Done():
		return
	}
	n.writePage(w, r, 0)
}

// writePage writes a page of a result, or that there is none.
func (n *computeNode) writePage(w http.ResponseWriter, r *queryRun, page int) {
	n.mu.Lock()
	twice, good := n.answersTwice, r.succeeded
	n.mu.Unlock()
	if !good {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if page == 0 {
		w.Header().Set("Page-Count", fmt.Sprint(len(r.pages)))
	} else {
		w.Header().Set("Page-No", fmt.Sprint(page))
	}
	if !twice {
		io.WriteString(w, r.pages[page])
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	number := "" // the first page has none, as on the platform
	if page > 0 {
		number = fmt.Sprintf("Page-No: %d\r\n", page)
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nPage-Count: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		len(r.pages), number, len(r.pages[page]), r.pages[page])
	n.mu.Lock()
	late := minDuplicateDelay + time.Duration(n.random.Int64N(int64(maxDuplicateDelay-minDuplicateDelay)))
	n.mu.Unlock()
	io.WriteString(c, text)
	time.Sleep(late)
	io.WriteString(c, text)
	time.Sleep(100 * time.Millisecond)
}

// answerPoll answers a question for a page, or for news.
func (n *computeNode) answerPoll(w http.ResponseWriter, q *http.Request, ticket, number string) {
	n.mu.Lock()
	r := n.runs[ticket]
	if r != nil {
		r.polledAt = time.Now()
	}
	n.mu.Unlock()
	page := 0
	fmt.Sscan(number, &page)
	switch {
	case r == nil || page < 0 || page >= len(r.pages):
		w.WriteHeader(http.StatusInternalServerError)
	case page == 0:
		n.writeResult(w, q, ticket, r)
	default:
		n.writePage(w, r, page)
	}
}
