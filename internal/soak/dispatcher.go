package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cresspass/internal/invariant"
)

// dispatcher runs one real dispatcher process after another at one address. It holds their links, discovery
// server and clients.
type dispatcher struct {
	index     int
	fleet     *fleet
	listen    string // address of the process, behind the clients' proxy
	discovery *discoveryServer
	clients   *proxy
	nodes     []*proxy // links to the compute nodes, by node index
	dir       string
	parsers   sync.Map // nodeConnKey to *callParser

	files sync.Mutex // held by replaceFile

	mu                   sync.Mutex
	incarnation          int // number of the current process, from 1
	process              *exec.Cmd
	ended                chan struct{} // closed when the process has exited
	ready                bool
	terminatedAt         time.Time // when SIGTERM was sent to the current process; zero if it was not
	changing             bool      // the process is being ended or replaced
	pauses               pauseList // of all processes so far
	descriptorsFullUntil time.Time // until then idle clients may use all descriptors
	clientLinkDelay      time.Duration
	clientConns          map[*clientConn]bool
	requests             map[string]request // by ticket
	aliveReply           chan bool
}

// nodeConnKey identifies a connection on a link to a compute node.
type nodeConnKey struct{ node, connection int }

// Files in a dispatcher's directory.
const (
	configFile = "config.json"
	faultsFile = "faults.json"
	logFile    = "log"
)

// newDispatcher returns a dispatcher with open links and a running discovery server. The start method starts
// its process.
func newDispatcher(index int, f *fleet) (*dispatcher, error) {
	d := &dispatcher{
		index:       index,
		fleet:       f,
		listen:      listenAddress(f.run, index),
		dir:         filepath.Join(f.dir, fmt.Sprintf("d%d", index)),
		clientConns: map[*clientConn]bool{},
		requests:    map[string]request{},
	}
	if err := os.MkdirAll(d.dir, 0o755); err != nil {
		return nil, err
	}
	var err error
	if d.discovery, err = newDiscoveryServer(); err != nil {
		return nil, err
	}
	if d.clients, err = newProxy(d.listen, nil); err != nil {
		return nil, err
	}
	for i, n := range f.nodes {
		link, err := newProxy(n.addr, func(connection int, now time.Time, b []byte) {
			d.observe(i, connection, now, b)
		})
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, link)
	}
	return d, nil
}

// listenAddress returns the address of a dispatcher. Its port is below the system's ephemeral ports. The
// loopback address follows from this process's id and the dispatcher's index, and the port from the run, so
// that runs at the same time do not collide.
func listenAddress(run, dispatcher int) string {
	const firstPort = 15000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+pid%200, 1+pid/200%200, 1+dispatcher, firstPort+run)
}

// observe parses the bytes that the dispatcher writes to a compute node, and records the calls: starts of
// queries, polls and cancels.
func (d *dispatcher) observe(node, connection int, now time.Time, b []byte) {
	parser, _ := d.parsers.LoadOrStore(nodeConnKey{node, connection}, &callParser{})
	for _, c := range parser.(*callParser).feed(now, b) {
		observed := observedCall{call: c, node: node, connection: connection}
		if c.method != "POST" {
			if c.ticket != "" { // a health check has no ticket
				d.fleet.oracle.updateRequest(c.ticket, func(r *observedRequest) {
					r.calls = append(r.calls, observed)
				})
			}
			continue
		}
		post := postedQuery{
			observedCall: observed,
			generation:   d.fleet.nodes[node].id(),
			dispatcher:   d.index,
			incarnation:  d.currentIncarnation(),
		}
		d.fleet.oracle.updateRequest(c.ticket, func(r *observedRequest) { r.posts = append(r.posts, post) })
	}
}

// endpointList returns the endpoint list with the addresses of this dispatcher's links.
func (d *dispatcher) endpointList() []endpoint {
	list := d.fleet.endpointList()
	for i := range list {
		list[i].Addr = d.nodes[i].addr()
	}
	return list
}

// writeConfiguration writes the configuration file of the process; known are the watch events that it starts
// with.
func (d *dispatcher) writeConfiguration(known []watchEvent) error {
	seed := d.fleet.plan.Seed*1000 + uint64(d.index*100+d.currentIncarnation())
	data, err := json.Marshal(processConfig{
		Discovery: d.discovery.addr(),
		Known:     knownEvents{Events: known, Revision: len(known)},
		Limits:    processLimits{Cores: 1, MemoryMB: 96, Sockets: d.fleet.plan.Sockets},
		Listen:    d.listen,
		Name:      fmt.Sprintf("d%d", d.index),
		Seed:      fmt.Sprintf("%016x", seed),
		Settings:  newPlatformSettings(d.fleet.plan),
	})
	if err != nil {
		return err
	}
	return d.replaceFile(configFile, data)
}

// replaceFile atomically replaces a file in the dispatcher's directory, so that the process never reads a
// partial file. Overlapping faults may replace the same file, so replacements run one at a time.
func (d *dispatcher) replaceFile(name string, data []byte) error {
	d.files.Lock()
	defer d.files.Unlock()
	path := filepath.Join(d.dir, name)
	next := strings.TrimSuffix(path, filepath.Ext(path)) + ".new"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// currentIncarnation returns the number of the current process.
func (d *dispatcher) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// linkDelay returns the longest delay that the link may add to bytes between clients and the dispatcher.
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

// expectFullDescriptors records that idle clients may use all descriptors for the given time from now.
func (d *dispatcher) expectFullDescriptors(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := time.Now().Add(duration); until.After(d.descriptorsFullUntil) {
		d.descriptorsFullUntil = until
	}
}

func (d *dispatcher) descriptorsMayBeFull() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.descriptorsFullUntil)
}

// track adds a connection to the open client connections, or removes it if open is false.
func (d *dispatcher) track(c *clientConn, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if open {
		d.clientConns[c] = true
	} else {
		delete(d.clientConns, c)
	}
}

// connections returns the open client connections.
func (d *dispatcher) connections() (all []*clientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.clientConns {
		all = append(all, c)
	}
	return all
}

// rememberRequest keeps a request in case it must be sent again.
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

// violations returns the violated invariants and the panics that the dispatcher logged. If the log can't be
// read, the error is the last element.
func (d *dispatcher) violations() []string {
	lines, err := invariant.ReadViolations(filepath.Join(d.dir, logFile))
	if err != nil {
		lines = append(lines, err.Error())
	}
	return lines
}

// readLog returns the lines of the dispatcher's log, or the error as the only line if it can't be read.
func (d *dispatcher) readLog() []string {
	data, err := os.ReadFile(filepath.Join(d.dir, logFile))
	if err != nil {
		return []string{err.Error()}
	}
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

// lastLogLine returns the last line of the dispatcher's log.
func (d *dispatcher) lastLogLine() string {
	lines := d.readLog()
	return lines[len(lines)-1]
}

// logLinesWith returns the lines of the dispatcher's log that contain the ticket of a request.
func (d *dispatcher) logLinesWith(ticket string) (lines []string) {
	for _, line := range d.readLog() {
		if ticket != "" && strings.Contains(line, ticket) {
			lines = append(lines, line)
		}
	}
	return lines
}

// close closes the links and the discovery server. Before that, the process must have exited or been sent
// SIGKILL.
func (d *dispatcher) close() {
	d.clients.close()
	for _, link := range d.nodes {
		link.close()
	}
	d.discovery.close()
}
