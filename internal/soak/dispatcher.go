package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cresspass/internal/invariant"
)

// Of a dispatcher's process.
const (
	readyWithin = 10 * time.Second
	newConnsFor = 300 * time.Millisecond  // after SIGTERM
	requestsFor = 800 * time.Millisecond  // on connections that rest, into the close
	endsWithin  = 3700 * time.Millisecond // then it is killed
	downFor     = 250 * time.Millisecond  // between two lives
	firstPort   = 15000                   // that dispatchers listen at
)

// dispatcher is a real dispatcher, life after life at one address, with its links and its discovery.
type dispatcher struct {
	index   int
	fleet   *fleet
	listen  string
	board   *discoveryServer
	clients *proxy
	nodes   []*proxy // to each compute node
	dir     string
	parsers sync.Map // of taps: a parser for each connection

	mu          sync.Mutex
	incarnation int
	process     *exec.Cmd
	ended       chan struct{} // closed when the process has ended
	ready       bool
	leaving     time.Time     // SIGTERM was sent; zero: not
	busy        bool          // a change of life goes on
	paused      time.Duration // in all its lives
	crowded     time.Time     // until then idle clients may fill its descriptors
	delay       time.Duration
	conns       map[*clientConn]bool
	requests    map[string]request
	alive       chan bool
}

// exchangeKey names a connection on a link to a compute node.
type exchangeKey struct{ node, connection int }

func newDispatcher(index int, f *fleet) (*dispatcher, error) {
	d := &dispatcher{index: index, fleet: f, conns: map[*clientConn]bool{}, requests: map[string]request{},
		dir: filepath.Join(f.dir, fmt.Sprintf("d%d", index))}
	if err := os.MkdirAll(d.dir, 0o755); err != nil {
		return nil, err
	}
	// Below the ports that the system gives to connections, on addresses that no other run has at the time.
	d.listen = fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, 1+index,
		firstPort+f.run)
	var err error
	if d.board, err = newDiscoveryServer(); err != nil {
		return nil, err
	}
	if d.clients, err = newProxy(d.listen, nil); err != nil {
		return nil, err
	}
	for i, n := range f.nodes {
		p, err := newProxy(n.addr, func(connection int, now time.Time, b []byte) {
			d.tap(i, connection,
				now, b)
		})
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, p)
	}
	return d, nil
}

// tap sees what the dispatcher writes to a compute node.
func (d *dispatcher) tap(node, connection int, now time.Time, b []byte) {
	v, _ := d.parsers.LoadOrStore(exchangeKey{node, connection}, &callParser{})
	for _, c := range v.(*callParser).feed(now, b) {
		if c.method == "POST" {
			p := postedQuery{c, node, d.fleet.nodes[node].id(), d.index, d.currentLife()}
			d.fleet.oracle.change(c.ticket, func(a *observedRequest) { a.posts = append(a.posts, p) })
		}
	}
}

// list is the compute nodes at the addresses of this dispatcher's links.
func (d *dispatcher) list() []server {
	out := append([]server(nil), d.fleet.list()...)
	for i := range out {
		out[i].Addr = d.nodes[i].addr()
	}
	return out
}

// configuration writes the file that the process reads.
func (d *dispatcher) configuration(known []watchEvent) error {
	settings := d.fleet.settings()
	data, err := json.Marshal(map[string]any{"name": fmt.Sprintf("d%d", d.index), "listen": d.listen,
		"seed":   fmt.Sprintf("%016x", d.fleet.plan.Seed*1000+uint64(d.index*100+d.currentLife())),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": d.fleet.plan.Sockets},
		"board":  d.board.addr(),
		"known":  map[string]any{"rev": len(known), "notices": known}, "settings": settings})
	if err != nil {
		return err
	}
	next := filepath.Join(d.dir, "config.new")
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, filepath.Join(d.dir, "config.json"))
}

// start begins a life and waits until it is ready.
func (d *dispatcher) start() {
	d.mu.Lock()
	d.incarnation++
	life := d.incarnation
	d.ready, d.leaving = false, time.Time{}
	d.mu.Unlock()
	if err := d.configuration(d.board.restart(d.list())); err != nil {
		d.fleet.oracle.findingCount("harness", "", "%v", err)
		return
	}
	for _, s := range d.fleet.list() {
		if s.State == "draining" {
			d.fleet.oracle.drained(d.index, life, s.ID, time.Now())
		}
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		d.fleet.oracle.findingCount("harness", "", "%v", err)
		return
	}
	c := exec.Command(d.fleet.program, "node")
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(d.dir, "config.json"),
		"CRESSPASS_LOG_LEVEL=debug", "CRESSPASS_FAULTS="+filepath.Join(d.dir, "faults.json"),
		"CRESSPASS_MUTANT="+d.fleet.mutant)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		d.fleet.oracle.findingCount("harness", "", "%v", err)
		return
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended = c, ended
	d.mu.Unlock()
	go func() {
		err := c.Wait()
		log.Close()
		d.mu.Lock()
		expected := d.busy && d.process == c
		d.ready = false
		d.mu.Unlock()
		close(ended)
		if !expected && !d.fleet.closing() {
			d.fleet.oracle.findingCount(
				"crash",
				"",
				"dispatcher %d life %d ended: %v; %s",
				d.index,
				life,
				err,
				d.lastLogLines(),
			)
		}
	}()
	d.awaitReady(ended)
}

// awaitReady asks until the dispatcher says that it is ready.
func (d *dispatcher) awaitReady(ended <-chan struct{}) {
	begun := time.Now()
	for time.Since(begun) < readyWithin {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		got := make(chan bool, 1)
		d.mu.Lock()
		d.alive = got
		d.mu.Unlock()
		c := d.connect()
		if c == nil {
			continue
		}
		c.net.Write(aliveMessage(1))
		good := false
		select {
		case good = <-got:
		case <-time.After(500 * time.Millisecond):
		}
		c.leave(false)
		if good {
			d.mu.Lock()
			d.ready = true
			d.mu.Unlock()
			return
		}
	}
	d.fleet.oracle.findingCount("not_ready", "", "dispatcher %d after %v", d.index, readyWithin)
}

func (d *dispatcher) answeredAlive(good bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.alive <- good:
	default:
	}
}

// claim begins a change of life, unless one goes on.
func (d *dispatcher) claim() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy || !d.ready {
		return false
	}
	d.busy = true
	return true
}

func (d *dispatcher) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = false
}

// terminate ends the life in good order, and begins another unless it is the last.
func (d *dispatcher) terminate(last bool) {
	if !d.claim() {
		return
	}
	defer d.release()
	d.mu.Lock()
	c, ended, life, paused := d.process, d.ended, d.incarnation, d.paused
	d.leaving = time.Now()
	d.mu.Unlock()
	c.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		if code := c.ProcessState.ExitCode(); code != 0 {
			d.fleet.oracle.findingCount("crash", "", "dispatcher %d life %d: exit %d after SIGTERM", d.index,
				life, code)
		}
	case <-d.after(endsWithin, paused):
		d.fleet.oracle.findingCount("not_ended", "", "dispatcher %d life %d, %v after SIGTERM", d.index, life,
			endsWithin)
		c.Process.Kill()
		<-ended
	}
	if !last {
		time.Sleep(downFor)
		d.start()
	}
}

// after tells when so much time has passed in which the process ran, from when it had been paused for so
// long.
func (d *dispatcher) after(wait, paused time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	go func() {
		time.Sleep(wait)
		d.mu.Lock()
		more := d.paused - paused
		d.mu.Unlock()
		time.Sleep(more)
		over <- time.Now()
	}()
	return over
}

// kill ends the life at once, and begins another.
func (d *dispatcher) kill() {
	if !d.claim() {
		return
	}
	defer d.release()
	d.mu.Lock()
	c, ended, life := d.process, d.ended, d.incarnation
	d.ready = false
	d.mu.Unlock()
	c.Process.Kill()
	<-ended
	d.fleet.oracle.killed(d.index, life)
	time.Sleep(downFor)
	d.fleet.oracle.killed(d.index, life) // also what was on its way
	d.start()
}

// reload moves its discovery and tells it so.
func (d *dispatcher) reload() {
	d.mu.Lock()
	c, ready := d.process, d.ready
	d.mu.Unlock()
	if !ready {
		return
	}
	d.board.redirect()
	d.board.mu.Lock()
	known := d.board.events
	d.board.mu.Unlock()
	if err := d.configuration(known); err != nil {
		d.fleet.oracle.findingCount("harness", "", "%v", err)
	}
	c.Process.Signal(syscall.SIGHUP)
}

// pause has the process not run for a while.
func (d *dispatcher) pause(by time.Duration) {
	d.mu.Lock()
	c, ready := d.process, d.ready
	d.mu.Unlock()
	if !ready {
		return
	}
	c.Process.Signal(syscall.SIGSTOP)
	time.Sleep(by)
	c.Process.Signal(syscall.SIGCONT)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused += by
}

// accepting reports whether it is sent requests, takesNew whether new connections too.
func (d *dispatcher) accepting() bool { return d.takesFor(requestsFor) }

func (d *dispatcher) takesNew() bool { return d.takesFor(newConnsFor) }

// ending reports whether SIGTERM was sent to it, or it is not there.
func (d *dispatcher) ending() bool { return !d.takesFor(0) }

func (d *dispatcher) takesFor(after time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && (d.leaving.IsZero() || time.Since(d.leaving) < after)
}

func (d *dispatcher) currentLife() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

func (d *dispatcher) linkDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay
}

func (d *dispatcher) setLinkDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = by
}

// setCrowded tells that idle clients come for so long.
func (d *dispatcher) setCrowded(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = time.Now().Add(by)
}

func (d *dispatcher) isCrowded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.crowded)
}

func (d *dispatcher) track(c *clientConn, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.conns[c] = true
	} else {
		delete(d.conns, c)
	}
}

func (d *dispatcher) connections() (all []*clientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		all = append(all, c)
	}
	return all
}

func (d *dispatcher) recordNotification(r request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[r.ticket] = r
}

func (d *dispatcher) notifications(ticket string) (request, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.requests[ticket]
	return r, ok
}

// violations returns what the dispatcher itself logged of violated invariants, and panics.
func (d *dispatcher) violations() (lines []string) {
	lines, err := invariant.ReadViolations(filepath.Join(d.dir, "log"))
	if err != nil {
		lines = append(lines, err.Error())
	}
	return lines
}

// lastLogLines returns the end of the dispatcher's log.
func (d *dispatcher) lastLogLines() string {
	data, _ := os.ReadFile(filepath.Join(d.dir, "log"))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// logOf returns the dispatcher's own log of a request.
func (d *dispatcher) logOf(ticket string) (lines []string) {
	data, _ := os.ReadFile(filepath.Join(d.dir, "log"))
	for _, line := range strings.Split(string(data), "\n") {
		if ticket != "" && strings.Contains(line, ticket) {
			lines = append(lines, line)
		}
	}
	return lines
}

func (d *dispatcher) close() {
	d.clients.close()
	for _, p := range d.nodes {
		p.close()
	}
	d.board.close()
}
