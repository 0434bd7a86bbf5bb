package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// unpolledTimeout is the time without a poll after which a compute node abandons a query.
	unpolledTimeout = 2 * time.Second

	unpolledCheckInterval = 20 * time.Millisecond
	maxPages              = 3 // of a result
)

// queryRun is a query on a compute node.
type queryRun struct {
	class     string
	polledAt  time.Time
	endsAt    time.Time
	pages     []string
	finished  bool // it ended, was cancelled or was abandoned
	succeeded bool
	over      chan struct{} // closed when the query is finished
}

// computeNode stands in for a compute node: one simulated process after another at one address. Each process
// is a generation. It is safe for concurrent use.
type computeNode struct {
	index    int
	oracle   *oracle
	behavior NodeBehavior

	mu           sync.Mutex
	changing     bool                 // the process is being ended or replaced
	generation   int                  // number of the current process, from 0
	runs         map[string]*queryRun // by ticket
	server       *http.Server
	addr         string
	hanging      chan struct{} // closed at the end of a hang; nil without one
	full         bool          // sheds every query
	errors       bool          // fails every query
	answersTwice bool          // sends a copy of each result page
	random       *rand.Rand
	ended        sync.WaitGroup
}

// newComputeNode starts a compute node on a free port.
func newComputeNode(index int, o *oracle, seed uint64, behavior NodeBehavior) (*computeNode, error) {
	n := &computeNode{
		index:    index,
		oracle:   o,
		behavior: behavior,
		runs:     map[string]*queryRun{},
		random:   rand.New(rand.NewPCG(seed, uint64(index)+1)),
	}
	return n, n.listen("127.0.0.1:0")
}

// id returns the name of the current generation.
func (n *computeNode) id() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("n%d-%d", n.index, n.generation)
}

// listen starts to serve at an address.
func (n *computeNode) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: n}
	n.mu.Lock()
	n.addr, n.server = ln.Addr().String(), server
	n.mu.Unlock()
	n.ended.Go(func() { serve(server, ln) })
	return nil
}

// serve serves HTTP until the server is closed.
func serve(server *http.Server, ln net.Listener) { _ = server.Serve(ln) } // http.ErrServerClosed, always

// closeServer closes a server and all its connections. It ignores the only possible error, that of closing
// the listener: the next process would then find the port taken.
func closeServer(server *http.Server) { _ = server.Close() }

// crash ends the process: its connections are closed and its queries are lost.
func (n *computeNode) crash() {
	n.mu.Lock()
	server, runs := n.server, n.runs
	n.runs = map[string]*queryRun{}
	n.generation++
	n.mu.Unlock()
	closeServer(server)
	for ticket, r := range runs {
		n.endRun(ticket, r, false)
	}
}

// hang makes the node delay its answers to new calls until the duration has passed. It has no effect on a
// node that hangs already, but returns only after the duration.
func (n *computeNode) hang(duration time.Duration) {
	hung := make(chan struct{})
	n.update(func(n *computeNode) {
		if n.hanging == nil {
			n.hanging = hung
		}
	})
	time.Sleep(duration)
	n.update(func(n *computeNode) {
		if n.hanging == hung {
			n.hanging = nil
		}
	})
	close(hung)
}

// beginChange reserves the node for a change of its process until endChange. It returns false if another
// change is in progress.
func (n *computeNode) beginChange() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changing {
		return false
	}
	n.changing = true
	return true
}

func (n *computeNode) endChange() { n.update(func(n *computeNode) { n.changing = false }) }

// update changes the node's fields under its lock.
func (n *computeNode) update(change func(n *computeNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// register starts a query that arrived and returns its run. If the query is running already, it returns that
// run.
func (n *computeNode) register(ticket, class string) *queryRun {
	n.mu.Lock()
	r := n.runs[ticket]
	isNew := r == nil || r.finished
	if isNew {
		r = n.newRunLocked(ticket, class)
		n.runs[ticket] = r
	}
	n.mu.Unlock()
	if isNew {
		n.oracle.recordInterval(ticket, n.index, true)
		n.oracle.recordResult(ticket, strings.Join(r.pages, ""))
	}
	return r
}

// newRunLocked draws a query's run time and result. A query of an unknown class takes no time. The caller
// holds mu.
func (n *computeNode) newRunLocked(ticket, class string) *queryRun {
	mean := classNamed(class).meanWork
	runTime := mean/2 + time.Duration(n.random.ExpFloat64()*float64(mean)/2)
	now := time.Now()
	r := &queryRun{class: class, polledAt: now, endsAt: now.Add(runTime), over: make(chan struct{})}
	pages := n.behavior.Pages
	if pages == 0 {
		pages = 1 + n.random.IntN(maxPages)
	}
	for page := range pages {
		r.pages = append(r.pages, fmt.Sprintf("%s\t%d\t%016x\n", ticket, page, n.random.Uint64()))
	}
	return r
}

// find returns the run of a query, or nil if there is none.
func (n *computeNode) find(ticket string) *queryRun {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[ticket]
}

// endRun finishes a query. It does nothing if the query is finished already.
func (n *computeNode) endRun(ticket string, r *queryRun, succeeded bool) {
	n.mu.Lock()
	wasFinished := r.finished
	if !wasFinished {
		r.finished, r.succeeded = true, succeeded
		close(r.over)
	}
	n.mu.Unlock()
	if !wasFinished {
		n.oracle.recordInterval(ticket, n.index, false)
	}
}

// abandonUnpolled ends queries that were not polled for unpolledTimeout, until stop is closed.
func (n *computeNode) abandonUnpolled(stop <-chan struct{}) {
	tick := time.NewTicker(unpolledCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		n.mu.Lock()
		unpolled := map[string]*queryRun{}
		for ticket, r := range n.runs {
			if !r.finished && time.Since(r.polledAt) > unpolledTimeout {
				unpolled[ticket] = r
			}
		}
		n.mu.Unlock()
		for ticket, r := range unpolled {
			n.endRun(ticket, r, false)
		}
	}
}
