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
	readyTimeout      = 10 * time.Second
	acceptAfterTerm   = 300 * time.Millisecond  // after SIGTERM
	requestsAfterTerm = 800 * time.Millisecond  // on connections that rest, into the close
	exitTimeout       = 3700 * time.Millisecond // then it is killed
	restartDelay      = 250 * time.Millisecond  // between two lives
	firstPort         = 15000                   // that dispatchers listen at
)

// dispatcher is a real dispatcher, life after life at one address, with its links and its discovery.
type dispatcher struct {
	index     int
	fleet     *fleet
	listen    string
	discovery *discoveryServer
	clients   *proxy
	nodes     []*proxy // to each compute node
	dir       string
	parsers   sync.Map // of taps: a parser for each connection

	mu                   sync.Mutex
	incarnation          int
	process              *exec.Cmd
	ended                chan struct{} // closed when the process has ended
	ready                bool
	terminatedAt         time.Time     // SIGTERM was sent; zero: not
	changing             bool          // a change of life goes on
	pausedFor            time.Duration // in all its lives
	descriptorsFullUntil time.Time     // until then idle clients may fill its descriptors
	clientLinkDelay      time.Duration
	clientConns          map[*clientConn]bool
	requests             map[string]request
	aliveReply           chan bool
}

// exchangeKey names a connection on a link to a compute node.
type exchangeKey struct{ node, connection int }

func newDispatcher(index int, f *fleet) (*dispatcher, error) {
	d := &dispatcher{index: index, fleet: f, clientConns: map[*clientConn]bool{},
		requests: map[string]request{},
		dir:      filepath.Join(f.dir, fmt.Sprintf("d%d", index))}
	if err := os.MkdirAll(d.dir, 0o755); err != nil {
		return nil, err
	}
	// Below the ports that the system gives to connections, on addresses that no other run has at the time.
	d.listen = fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, 1+index,
		firstPort+f.number)
	var err error
	if d.discovery, err = newDiscoveryServer(); err != nil {
		return nil, err
	}
	if d.clients, err = newProxy(d.listen, nil); err != nil {
		return nil, err
	}
	for i, n := range f.nodes {
		p, err := newProxy(n.addr, func(connection int, now time.Time, b []byte) {
			d.observe(i, connection,
				now, b)
		})
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, p)
	}
	return d, nil
}

// observe sees what the dispatcher writes to a compute node.
func (d *dispatcher) observe(node, connection int, now time.Time, b []byte) {
	v, _ := d.parsers.LoadOrStore(exchangeKey{node, connection}, &callParser{})
	for _, c := range v.(*callParser).feed(now, b) {
		if c.method == "POST" {
			p := postedQuery{c, node, d.fleet.nodes[node].id(), d.index, d.currentIncarnation()}
			d.fleet.oracle.updateRequest(c.ticket, func(a *observedRequest) { a.posts = append(a.posts, p) })
		}
	}
}

// endpointList is the compute nodes at the addresses of this dispatcher's links.
func (d *dispatcher) endpointList() []endpoint {
	out := append([]endpoint(nil), d.fleet.endpointList()...)
	for i := range out {
		out[i].Addr = d.nodes[i].addr()
	}
	return out
}

// writeConfiguration writes the file that the process reads.
func (d *dispatcher) writeConfiguration(known []watchEvent) error {
	settings := d.fleet.settings()
	data, err := json.Marshal(map[string]any{"name": fmt.Sprintf("d%d", d.index), "listen": d.listen,
		"seed":   fmt.Sprintf("%016x", d.fleet.plan.Seed*1000+uint64(d.index*100+d.currentIncarnation())),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": d.fleet.plan.Sockets},
		"board":  d.discovery.addr(),
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
	d.ready, d.terminatedAt = false, time.Time{}
	d.mu.Unlock()
	if err := d.writeConfiguration(d.discovery.restart(d.endpointList())); err != nil {
		d.fleet.oracle.addFinding("harness", "", "%v", err)
		return
	}
	for _, s := range d.fleet.endpointList() {
		if s.State == "draining" {
			d.fleet.oracle.recordDrain(d.index, life, s.ID, time.Now())
		}
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		d.fleet.oracle.addFinding("harness", "", "%v", err)
		return
	}
	c := exec.Command(d.fleet.program, "node")
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(d.dir, "config.json"),
		"CRESSPASS_LOG_LEVEL=debug", "CRESSPASS_FAULTS="+filepath.Join(d.dir, "faults.json"),
		"CRESSPASS_MUTANT="+d.fleet.mutant)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		d.fleet.oracle.addFinding("harness", "", "%v", err)
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
		expected := d.changing && d.process == c
		d.ready = false
		d.mu.Unlock()
		close(ended)
		if !expected && !d.fleet.closing() {
			d.fleet.oracle.addFinding(
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
	for time.Since(begun) < readyTimeout {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		got := make(chan bool, 1)
		d.mu.Lock()
		d.aliveReply = got
		d.mu.Unlock()
		c := d.connect()
		if c == nil {
			continue
		}
		c.conn.Write(aliveMessage(1))
		good := false
		select {
		case good = <-got:
		case <-time.After(500 * time.Millisecond):
		}
		c.disconnect(false)
		if good {
			d.mu.Lock()
			d.ready = true
			d.mu.Unlock()
			return
		}
	}
	d.fleet.oracle.addFinding("not_ready", "", "dispatcher %d after %v", d.index, readyTimeout)
}

func (d *dispatcher) recordAlive(good bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.aliveReply <- good:
	default:
	}
}

// beginChange begins a change of life, unless one goes on.
func (d *dispatcher) beginChange() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changing || !d.ready {
		return false
	}
	d.changing = true
	return true
}

func (d *dispatcher) endChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changing = false
}

// terminate ends the life in good order, and begins another unless it is the last.
func (d *dispatcher) terminate(last bool) {
	if !d.beginChange() {
		return
	}
	defer d.endChange()
	d.mu.Lock()
	c, ended, life, paused := d.process, d.ended, d.incarnation, d.pausedFor
	d.terminatedAt = time.Now()
	d.mu.Unlock()
	c.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		if code := c.ProcessState.ExitCode(); code != 0 {
			d.fleet.oracle.addFinding("crash", "", "dispatcher %d life %d: exit %d after SIGTERM", d.index,
				life, code)
		}
	case <-d.afterRunning(exitTimeout, paused):
		d.fleet.oracle.addFinding("not_ended", "", "dispatcher %d life %d, %v after SIGTERM", d.index, life,
			exitTimeout)
		c.Process.Kill()
		<-ended
	}
	if !last {
		time.Sleep(restartDelay)
		d.start()
	}
}

// afterRunning tells when so much time has passed in which the process ran, from when it had been paused for
// so long.
func (d *dispatcher) afterRunning(wait, paused time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	go func() {
		time.Sleep(wait)
		d.mu.Lock()
		more := d.pausedFor - paused
		d.mu.Unlock()
		time.Sleep(more)
		over <- time.Now()
	}()
	return over
}

// kill ends the life at once, and begins another.
func (d *dispatcher) kill() {
	if !d.beginChange() {
		return
	}
	defer d.endChange()
	d.mu.Lock()
	c, ended, life := d.process, d.ended, d.incarnation
	d.ready = false
	d.mu.Unlock()
	c.Process.Kill()
	<-ended
	d.fleet.oracle.excuseKilled(d.index, life)
	time.Sleep(restartDelay)
	d.fleet.oracle.excuseKilled(d.index, life) // also what was on its way
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
	d.discovery.redirect()
	d.discovery.mu.Lock()
	known := d.discovery.events
	d.discovery.mu.Unlock()
	if err := d.writeConfiguration(known); err != nil {
		d.fleet.oracle.addFinding("harness", "", "%v", err)
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
	d.pausedFor += by
}

// acceptsRequests reports whether it is sent requests, acceptsConnections whether new connections too.
func (d *dispatcher) acceptsRequests() bool { return d.acceptsFor(requestsAfterTerm) }

func (d *dispatcher) acceptsConnections() bool { return d.acceptsFor(acceptAfterTerm) }

// terminating reports whether SIGTERM was sent to it, or it is not there.
func (d *dispatcher) terminating() bool { return !d.acceptsFor(0) }

func (d *dispatcher) acceptsFor(after time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && (d.terminatedAt.IsZero() || time.Since(d.terminatedAt) < after)
}

func (d *dispatcher) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

func (d *dispatcher) linkDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clientLinkDelay
}

func (d *dispatcher) setLinkDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clientLinkDelay = by
}

// expectFullDescriptors tells that idle clients come for so long.
func (d *dispatcher) expectFullDescriptors(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.descriptorsFullUntil = time.Now().Add(by)
}

func (d *dispatcher) descriptorsMayBeFull() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.descriptorsFullUntil)
}

func (d *dispatcher) track(c *clientConn, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.clientConns[c] = true
	} else {
		delete(d.clientConns, c)
	}
}

func (d *dispatcher) connections() (all []*clientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.clientConns {
		all = append(all, c)
	}
	return all
}

func (d *dispatcher) rememberRequest(r request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[r.ticket] = r
}

func (d *dispatcher) rememberedRequest(ticket string) (request, bool) {
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
	d.discovery.close()
}
