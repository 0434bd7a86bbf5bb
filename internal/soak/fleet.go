package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Config says how a plan is played.
type Config struct {
	Plan    *Plan
	Program string // the dispatchers' program
	Dir     string // for configurations and logs; each run wants one of its own
	Mutant  string // a guard that is taken out of the dispatchers, to prove the judge; "": none
}

// Report is what a run found.
type Report struct {
	Plan       *Plan
	Findings   []Finding
	Violations []string // logged by the dispatchers themselves
	Counts     map[string]int
	traces     map[string][]string
}

// Broken reports whether any rule was.
func (r *Report) Broken() bool { return len(r.Findings) > 0 || len(r.Violations) > 0 }

// maxTraces bounds the requests whose story is written.
const maxTraces = 5

// Write writes the report: the plan and stories where a rule was broken.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d findings, %d violations logged, %v\n", r.Plan.Seed, len(r.Findings),
		len(r.Violations),
		r.Counts)
	if !r.Broken() {
		return
	}
	for _, f := range r.Findings {
		fmt.Fprintln(w, " ", f)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, " ", v)
	}
	fmt.Fprint(w, r.Plan)
	for _, lines := range r.traces {
		for _, line := range lines {
			fmt.Fprintln(w, " ", line)
		}
	}
}

// fleet is the dispatchers and all that they talk to.
type fleet struct {
	number      int // of this process
	plan        *Plan
	program     string
	mutant      string
	dir         string
	oracle      *oracle
	nodes       []*computeNode
	dispatchers []*dispatcher

	mu           sync.Mutex
	endpoints    []endpoint // the list, by node; addresses are each dispatcher's own
	ending       bool
	sendingUntil time.Time // the last request
	background   sync.WaitGroup
}

// idleClientsPerDispatcher is how many clients of a dispatcher rest until it ends their connections.
const idleClientsPerDispatcher = 3

// Of troubles.
const (
	idleResetInterval = 150 * time.Millisecond  // between resets of resting connections
	maxDialDelay      = 1500 * time.Millisecond // that a connection comes up late
)

// settleTime is how long after the last request the run goes on, so that each has its answer.
const settleTime = 4 * time.Second

// runs counts the runs of this process.
var runs atomic.Int32

// Run plays a plan.
func Run(ctx context.Context, c Config) (*Report, error) {
	f := &fleet{number: int(runs.Add(1)), plan: c.Plan, program: c.Program, mutant: c.Mutant, dir: c.Dir,
		oracle: newOracle(c.Plan.Budget)}
	stop := make(chan struct{})
	for i := range c.Plan.Nodes {
		n, err := newComputeNode(i, f.oracle, c.Plan.Seed)
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		f.endpoints = append(f.endpoints, endpoint{ID: n.id(), Zone: "z", Kind: "k", State: "up", Weight: 1})
		f.background.Go(func() { n.abandonUnpolled(stop) })
	}
	for i := range c.Plan.Dispatchers {
		d, err := newDispatcher(i, f)
		if err != nil {
			return nil, err
		}
		f.dispatchers = append(f.dispatchers, d)
	}
	var ready sync.WaitGroup
	for _, d := range f.dispatchers {
		ready.Go(d.start)
	}
	ready.Wait()
	f.oracle.mu.Lock()
	f.oracle.startedAt = time.Now()
	f.oracle.mu.Unlock()
	sending := make(chan struct{})
	for _, d := range f.dispatchers {
		s := &sender{dispatcher: d, random: rand.New(rand.NewPCG(c.Plan.Seed, uint64(d.index)+1))}
		f.background.Go(func() { s.run(c.Plan.Rate, sending) })
		for i := range idleClientsPerDispatcher {
			number := uint64(d.index*idleClientsPerDispatcher+i) << 32
			resting := &sender{dispatcher: d, random: rand.New(rand.NewPCG(c.Plan.Seed, number))}
			f.background.Go(func() { resting.runIdle(sending) })
		}
	}
	f.play(ctx)
	close(sending)
	time.Sleep(settleTime)
	f.mu.Lock()
	f.ending = true
	f.mu.Unlock()
	for _, d := range f.dispatchers {
		ready.Go(func() { d.terminate(true) })
	}
	ready.Wait()
	close(stop)
	f.background.Wait()
	report := f.report()
	f.close()
	return report, nil
}

// close ends what is left of processes and stand-ins.
func (f *fleet) close() {
	for _, d := range f.dispatchers {
		d.mu.Lock()
		if d.process != nil && d.process.ProcessState == nil {
			d.process.Process.Kill()
		}
		d.mu.Unlock()
		d.close()
	}
	for _, n := range f.nodes {
		n.server.Close()
		n.ended.Wait()
	}
}

// report judges.
func (f *fleet) report() *Report {
	r := &Report{Plan: f.plan, Findings: f.oracle.judge(), Counts: f.oracle.counts(),
		traces: map[string][]string{}}
	for _, d := range f.dispatchers {
		for _, v := range d.violations() {
			r.Violations = append(r.Violations, fmt.Sprintf("dispatcher %d: %s", d.index, v))
		}
	}
	for _, finding := range r.Findings {
		if finding.Ticket == "" || len(r.traces) >= maxTraces {
			continue
		}
		lines := f.oracle.trace(finding.Ticket)
		for _, d := range f.dispatchers {
			lines = append(lines, d.logOf(finding.Ticket)...)
		}
		r.traces[finding.Ticket] = lines
	}
	return r
}

// sendingFor is how long requests are sent yet.
func (f *fleet) sendingFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.sendingUntil)
}

func (f *fleet) closing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ending
}

func (f *fleet) endpointList() []endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]endpoint(nil), f.endpoints...)
}

// updateEndpoint changes a compute node's entry and tells all dispatchers.
func (f *fleet) updateEndpoint(node int, change func(s *endpoint)) {
	f.mu.Lock()
	was := f.endpoints[node]
	change(&f.endpoints[node])
	now := f.endpoints[node]
	f.mu.Unlock()
	for _, d := range f.dispatchers {
		mine := now
		mine.Addr = d.nodes[node].addr()
		if was.ID != now.ID {
			gone := was
			gone.State, gone.Addr = "removed", mine.Addr
			d.discovery.publish(gone, mine)
		} else {
			d.discovery.publish(mine)
		}
		if now.State == "draining" {
			f.recordDrain(d, now.ID)
		}
	}
}

// recordDrain enters when a dispatcher counts as told of a drain: at once, or some time after the trouble
// that its discovery is in.
func (f *fleet) recordDrain(d *dispatcher, generation string) {
	told, life := time.Now(), d.currentIncarnation()
	if !d.discovery.faulty(told.Add(-discoveryCatchUp)) {
		f.oracle.recordDrain(d.index, life, generation, told)
		return
	}
	f.background.Go(func() {
		for d.discovery.faulty(time.Now().Add(-discoveryCatchUp)) && !f.closing() {
			time.Sleep(20 * time.Millisecond)
		}
		f.oracle.recordDrain(d.index, life, generation, time.Now())
	})
}

// settings are those of the platform, by its names.
func (f *fleet) settings() map[string]any {
	effects := map[idempotency]string{idempotent: "safe", idempotentWithKey: "keyed", notIdempotent: "unsafe"}
	var list []map[string]any
	threads, loads := []float64{}, []bool{}
	for _, c := range requestClasses {
		k := map[string]any{"name": c.name, "aim-us": 400000, "deadline-us": 3000000, "importance": 1.0,
			"semantics": effects[c.idempotency], "window-us": c.deduplicationWindow.Microseconds()}
		if c.idempotency == idempotentWithKey {
			k["key-scope"] = "all"
		}
		if c.inOrder {
			k["in-turn"] = true
		}
		list, threads, loads = append(list, k), append(threads, 1), append(loads, false)
	}
	rules := map[string]any{"grace-to-answer-us": 5000, "stop-sending-within-us": drainGrace.Microseconds(),
		"cold-from": slowStartFrom, "ramp-time-us": slowStartDuration.Microseconds(),
		"overload-factor":       slowStartFactor,
		"overload-for-us":       slowStartWindow.Microseconds(),
		"settle-after-doubt-us": orderSettleDelay.Microseconds()}
	if f.plan.Budget {
		rules["free-resends"], rules["further-ratio"] = retryBudgetFree, retryBudgetRatio
		rules["look-back-us"] = retryBudgetWindow.Microseconds()
	}
	return map[string]any{"classes": list, "shapes": []string{"k"}, "specifics": map[string]any{
		"class-threads": threads, "cpu-of-kind": []float64{nodeCores}, "kind-memory-mb": []float64{65536},
		"writes-tables": loads, "yields-to-loads": loads}, "rules": rules,
		"limits": map[string]any{"cancel": true, "may-probe": true, "max-attempts": 5, "retry-after": true,
			"max-retry-after-us": 1000000, "connect-timeout-us": 250000, "conn-idle-us": 10000000},
		"peers-total": f.plan.Dispatchers, "ordinal": 0, "tick-us": 1000, "tenants": []any{}, "zone": "z",
		"membership-mode": "push"}
}

// play has the plan's troubles happen at their times, until its end.
func (f *fleet) play(ctx context.Context) {
	begun := time.Now()
	f.mu.Lock()
	f.sendingUntil = begun.Add(f.plan.Duration)
	f.mu.Unlock()
	for _, t := range f.plan.Faults {
		select {
		case <-time.After(time.Until(begun.Add(t.At))):
		case <-ctx.Done():
			return
		}
		f.background.Go(func() { f.inject(t) })
	}
	select {
	case <-time.After(time.Until(begun.Add(f.plan.Duration))):
	case <-ctx.Done():
	}
}

// inject has one trouble happen.
func (f *fleet) inject(t Fault) {
	if t.Dispatcher < 0 {
		f.injectNodeFault(t, f.nodes[t.Node])
		return
	}
	d := f.dispatchers[t.Dispatcher]
	links := func(m linkMode, delay time.Duration) {
		for _, p := range d.nodes {
			p.set(m, delay)
		}
		time.Sleep(t.Duration)
		for _, p := range d.nodes {
			p.set(linkHealthy, 0)
		}
	}
	discovery := func(set func(b *discoveryServer, on bool)) {
		d.discovery.set(func(b *discoveryServer) { set(b, true) })
		time.Sleep(t.Duration)
		d.discovery.set(func(b *discoveryServer) { set(b, false) })
	}
	switch t.Kind {
	case Terminate:
		d.terminate(false)
	case Kill:
		d.kill()
	case Reload:
		d.reload()
	case ReloadBurst:
		for range 4 {
			d.reload()
			time.Sleep(t.Duration / 8)
		}
	case DiscoveryDown:
		discovery(func(b *discoveryServer, on bool) { b.down = on })
	case DiscoverySilent:
		discovery(func(b *discoveryServer, on bool) { b.silent = on })
	case DiscoverySlow:
		discovery(func(b *discoveryServer, on bool) { b.slow = on })
	case DiscoveryTruncated:
		discovery(func(b *discoveryServer, on bool) { b.truncating = on })
	case LinkDelay:
		links(linkDelay, 60*time.Millisecond)
	case LinkCut:
		links(linkCut, 0)
		for _, p := range d.nodes { // what was swallowed leaves connections that can't go on
			p.cutAll()
		}
	case LinkBytes:
		links(linkBytes, 0)
	case LinkReset:
		links(linkReset, 0)
	case LinkSilenceIdle:
		for _, p := range d.nodes {
			p.forget()
		}
	case LinkResetIdle:
		for until := time.Now().Add(t.Duration); time.Now().Before(until); time.Sleep(idleResetInterval) {
			for _, p := range d.nodes {
				p.resetIdle()
			}
		}
	case Pause:
		d.pause(t.Duration)
	case ClientDelay, ClientBytes:
		f.clientLink(t, d)
	case ClientsDisconnect:
		for i, c := range d.connections() {
			c.disconnect(i%2 == 0)
		}
	case ClientsCancel:
		for _, c := range d.connections() {
			c.cancelAll()
		}
	case ClientsIdle:
		f.idleClients(t, d)
	case MalformedClients:
		f.sendMalformed(t, d)
	case ClockStep: // of all machines alike
		var all sync.WaitGroup
		for _, d := range f.dispatchers {
			all.Go(func() { f.setProcessFaults(t, d) })
		}
		all.Wait()
	case CallsFail, DialsLate:
		f.setProcessFaults(t, d)
	}
}

// clientLink has the clients' link of a dispatcher be slow.
func (f *fleet) clientLink(t Fault, d *dispatcher) {
	const delay = 30 * time.Millisecond
	d.setLinkDelay(2 * delay)
	if t.Kind == ClientDelay {
		d.clients.set(linkDelay, delay)
	} else {
		d.clients.set(linkBytes, 0)
	}
	time.Sleep(t.Duration)
	d.clients.set(linkHealthy, 0)
	time.Sleep(2 * delay)
	d.setLinkDelay(0)
}

// idleClients opens connections that say nothing.
func (f *fleet) idleClients(t Fault, d *dispatcher) {
	d.expectFullDescriptors(t.Duration + 300*time.Millisecond)
	var all []*clientConn
	for range 60 {
		if c := d.connect(); c != nil {
			all = append(all, c)
		}
	}
	time.Sleep(t.Duration)
	for _, c := range all {
		c.disconnect(true)
	}
}

// sendMalformed ask and take back at once, for a while.
func (f *fleet) sendMalformed(t Fault, d *dispatcher) {
	random := rand.New(rand.NewPCG(f.plan.Seed, uint64(t.At)))
	for until := time.Now().Add(t.Duration); time.Now().Before(until) &&
		d.acceptsConnections(); time.Sleep(5 * time.Millisecond) {
		c := d.connect()
		if c == nil {
			return
		}
		for range maxOpenRequests {
			c.send(request{ticket: fmt.Sprintf("%016x", random.Uint64()), class: requestClasses[0],
				limit:     time.Second,
				malformed: true})
		}
		c.cancelAll()
		c.disconnect(false)
	}
}

// setProcessFaults has calls of the system fail inside a dispatcher that was built for it, or its wall clock
// step.
func (f *fleet) setProcessFaults(t Fault, d *dispatcher) {
	write := func(v map[string]any) {
		data, _ := json.Marshal(v)
		next := filepath.Join(d.dir, "faults.new")
		os.WriteFile(next, data, 0o644)
		os.Rename(next, filepath.Join(d.dir, "faults.json"))
	}
	switch t.Kind {
	case ClockStep:
		write(map[string]any{"wall_step_ms": t.Step.Milliseconds()})
		return
	case DialsLate:
		write(map[string]any{"dial_most_ms": maxDialDelay.Milliseconds()})
	default:
		write(map[string]any{"share": 0.4})
	}
	time.Sleep(t.Duration)
	write(map[string]any{})
}

// injectNodeFault has a trouble of a compute node happen.
func (f *fleet) injectNodeFault(t Fault, n *computeNode) {
	during := func(set func(n *computeNode, on bool)) {
		n.update(func(n *computeNode) { set(n, true) })
		time.Sleep(t.Duration)
		n.update(func(n *computeNode) { set(n, false) })
	}
	switch t.Kind {
	case NodeDrain, NodeCrash:
		if !n.beginChange() {
			return
		}
		defer n.endChange()
		if t.Kind == NodeDrain {
			f.drain(t, n)
			return
		}
		n.crash()
		time.Sleep(t.Duration / 2)
		f.restartNode(n)
	case NodesHang:
		var all sync.WaitGroup
		for _, n := range f.nodes {
			one := t
			one.Kind = NodeHang
			all.Go(func() { f.injectNodeFault(one, n) })
		}
		all.Wait()
	case NodeHang:
		hung := make(chan struct{})
		n.update(func(n *computeNode) {
			if n.hanging == nil {
				n.hanging = hung
			}
		})
		time.Sleep(t.Duration)
		n.update(func(n *computeNode) {
			if n.hanging == hung {
				n.hanging = nil
			}
		})
		close(hung)
	case NodeFull:
		during(func(n *computeNode, on bool) { n.full = on })
	case NodeErrors:
		during(func(n *computeNode, on bool) { n.errors = on })
	case NodeAnswersTwice:
		during(func(n *computeNode, on bool) { n.answersTwice = on })
	}
}

// drain has a compute node drain, leave, and another come at its address.
func (f *fleet) drain(t Fault, n *computeNode) {
	f.mu.Lock()
	up, others := f.endpoints[n.index].State == "up", 0
	for _, s := range f.endpoints {
		if s.State == "up" {
			others++
		}
	}
	f.mu.Unlock()
	if !up || others < len(f.nodes)/2+1 {
		return
	}
	f.updateEndpoint(n.index, func(s *endpoint) { s.State = "draining" })
	time.Sleep(drainGrace + time.Second + t.Duration)
	n.crash()
	time.Sleep(100 * time.Millisecond)
	f.restartNode(n)
}

// restartNode has a new process come up at a compute node's address, cold.
func (f *fleet) restartNode(n *computeNode) {
	for range 100 {
		if n.listen(n.addr) == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	id := n.id()
	f.oracle.recordStart(id)
	f.updateEndpoint(n.index, func(s *endpoint) {
		s.ID, s.State, s.Started = id, "up",
			time.Now().UnixMilli()
	})
}

// cancelAll takes back all that is open on a connection.
func (c *clientConn) cancelAll() {
	c.mu.Lock()
	var open []string
	for _, ticket := range c.open {
		open = append(open, ticket)
	}
	c.mu.Unlock()
	for _, ticket := range open {
		c.cancel(ticket)
	}
}

// isReset reports whether a connection was reset by the other side.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
