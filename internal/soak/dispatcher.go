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

// dispatcher is a real dispatcher: one process after another at one address, with its links, its discovery
// and its clients.
type dispatcher struct {
	index     int
	fleet     *fleet
	listen    string // the address
	discovery *discoveryServer
	clients   *proxy
	nodes     []*proxy // to each compute node
	dir       string
	parsers   sync.Map // exchangeKey to *callParser

	files sync.Mutex // replaceFile is at work

	mu                   sync.Mutex
	incarnation          int // number of the process
	process              *exec.Cmd
	ended                chan struct{} // closed when the process has exited
	ready                bool
	terminatedAt         time.Time // SIGTERM was sent; zero: it was not
	changing             bool      // the process is being ended or replaced
	pauses               pauseList // of all its processes
	descriptorsFullUntil time.Time // until then idle clients may take all its descriptors
	clientLinkDelay      time.Duration
	clientConns          map[*clientConn]bool
	requests             map[string]request // by ticket
	aliveReply           chan bool
}

// exchangeKey names a connection on a link to a compute node.
type exchangeKey struct{ node, connection int }

// Files in a dispatcher's folder.
const (
	configFile = "config.json"
	faultsFile = "faults.json"
	logFile    = "log"
)

// newDispatcher makes a dispatcher with its links; start starts its process.
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

// listenAddress is the address of a dispatcher: its port is below those that the system gives to connections,
// and no other run has its loopback address at the time.
func listenAddress(run, dispatcher int) string {
	const firstPort = 15000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+pid%200, 1+pid/200%200, 1+dispatcher, firstPort+run)
}

// observe parses what the dispatcher writes to a compute node and records calls and the starts of queries.
func (d *dispatcher) observe(node, connection int, now time.Time, b []byte) {
	parser, _ := d.parsers.LoadOrStore(exchangeKey{node, connection}, &callParser{})
	for _, c := range parser.(*callParser).feed(now, b) {
		observed := observedCall{call: c, node: node, connection: connection}
		if c.method != "POST" {
			if c.ticket != "" { // else it is a health check
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

// endpointList is the endpoint list with the addresses of this dispatcher's links.
func (d *dispatcher) endpointList() []endpoint {
	list := d.fleet.endpointList()
	for i := range list {
		list[i].Addr = d.nodes[i].addr()
	}
	return list
}

// writeConfiguration writes the file that the process reads.
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

// replaceFile replaces a file of the dispatcher's folder in one step, so that its process never reads half of
// it. Faults that overlap write the same file, so one is written at a time.
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

// currentIncarnation is the number of the process.
func (d *dispatcher) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// linkDelay is how late bytes between clients and the dispatcher may come.
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

// expectFullDescriptors records that idle clients may take all descriptors for so long.
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

// track adds a client's connection to those that are open, or removes it.
func (d *dispatcher) track(c *clientConn, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if open {
		d.clientConns[c] = true
	} else {
		delete(d.clientConns, c)
	}
}

// connections returns the open connections of clients.
func (d *dispatcher) connections() (all []*clientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.clientConns {
		all = append(all, c)
	}
	return all
}

// rememberRequest keeps a request, in case it has to be sent again.
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
func (d *dispatcher) violations() []string {
	lines, err := invariant.ReadViolations(filepath.Join(d.dir, logFile))
	if err != nil {
		lines = append(lines, err.Error())
	}
	return lines
}

// readLog returns the lines of the dispatcher's log. A log that can't be read stands as its one line.
func (d *dispatcher) readLog() []string {
	data, err := os.ReadFile(filepath.Join(d.dir, logFile))
	if err != nil {
		return []string{err.Error()}
	}
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

// lastLogLine returns the end of the dispatcher's log.
func (d *dispatcher) lastLogLine() string {
	lines := d.readLog()
	return lines[len(lines)-1]
}

// logOf returns the lines of the dispatcher's log that name a request.
func (d *dispatcher) logOf(ticket string) (lines []string) {
	for _, line := range d.readLog() {
		if ticket != "" && strings.Contains(line, ticket) {
			lines = append(lines, line)
		}
	}
	return lines
}

// close ends the links and the discovery; the process has exited before.
func (d *dispatcher) close() {
	d.clients.close()
	for _, link := range d.nodes {
		link.close()
	}
	d.discovery.close()
}
