package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Config configures the execution of a plan.
type Config struct {
	Plan    *Plan
	Program string // path of the dispatchers' program
	Dir     string // directory for configurations and logs; each run needs its own
	Mutant  string // guard that the dispatchers leave out, to test the oracle; "" for none
}

const (
	// idleClientsPerDispatcher is the number of clients of each dispatcher that stay idle until their
	// connections reach the idle timeout.
	idleClientsPerDispatcher = 3

	// settleTime is the time from the last request to the shutdown, in which requests get their answers.
	settleTime = 4 * time.Second
)

// runs counts the runs of this process, which gives each run its own port.
var runs atomic.Int32

// fleet is the dispatchers of a run and the stand-ins that they talk to.
type fleet struct {
	run         int // number of the run in this process
	plan        *Plan
	program     string
	mutant      string
	dir         string
	oracle      *oracle
	nodes       []*computeNode
	dispatchers []*dispatcher

	mu           sync.Mutex
	endpoints    []endpoint // by node; addresses are missing, as they differ for each dispatcher
	ending       bool       // the dispatchers' last processes are being terminated
	sendingUntil time.Time  // when clients send their last requests
	background   sync.WaitGroup
}

// Run executes a plan and returns what was found. It takes the plan's duration and some seconds more; when
// ctx is cancelled, it starts no further fault and ends early. An error means that the fleet could not be set
// up. Run may be called from several goroutines, with a different Config.Dir for each call.
func Run(ctx context.Context, c Config) (*Report, error) {
	f := &fleet{
		run:     int(runs.Add(1)),
		plan:    c.Plan,
		program: c.Program,
		mutant:  c.Mutant,
		dir:     c.Dir,
		oracle:  newOracle(c.Plan.Budget),
	}
	stopNodes := make(chan struct{})
	if err := f.setUp(stopNodes); err != nil {
		return nil, err
	}
	f.forEachDispatcher((*dispatcher).start)
	f.oracle.start()
	stopClients := make(chan struct{})
	f.startClients(stopClients)
	f.background.Go(func() { f.oracle.machineLags.run(stopNodes) })
	f.injectFaults(ctx)
	close(stopClients)
	time.Sleep(settleTime)
	f.mu.Lock()
	f.ending = true
	f.mu.Unlock()
	f.forEachDispatcher(func(d *dispatcher) { d.terminate(true) })
	close(stopNodes)
	f.background.Wait()
	report := f.report()
	f.close()
	return report, nil
}

// setUp starts the stand-ins and creates the dispatchers, without their processes.
func (f *fleet) setUp(stopNodes <-chan struct{}) error {
	for i := range f.plan.Nodes {
		n, err := newComputeNode(i, f.oracle, f.plan.Seed, f.plan.NodeBehavior)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.endpoints = append(f.endpoints,
			endpoint{ID: n.id(), Zone: onlyZone, Kind: nodeKind, State: stateUp, Weight: 1})
		f.background.Go(func() { n.abandonUnpolled(stopNodes) })
	}
	for i := range f.plan.Dispatchers {
		d, err := newDispatcher(i, f)
		if err != nil {
			return err
		}
		f.dispatchers = append(f.dispatchers, d)
	}
	return nil
}

// startClients starts the clients of each dispatcher. They send until stop is closed.
func (f *fleet) startClients(stop <-chan struct{}) {
	for _, d := range f.dispatchers {
		busy := &sender{dispatcher: d, random: rand.New(rand.NewPCG(f.plan.Seed, uint64(d.index)+1))}
		f.background.Go(func() { busy.run(f.plan.Rate, stop) })
		for i := range idleClientsPerDispatcher {
			// The shift keeps these streams apart from those of the busy clients.
			stream := uint64(d.index*idleClientsPerDispatcher+i) << 32
			idle := &sender{dispatcher: d, random: rand.New(rand.NewPCG(f.plan.Seed, stream))}
			f.background.Go(func() { idle.runIdle(stop) })
		}
	}
}

// forEachDispatcher calls do for all dispatchers concurrently and waits until all calls return.
func (f *fleet) forEachDispatcher(do func(d *dispatcher)) {
	var all sync.WaitGroup
	for _, d := range f.dispatchers {
		all.Go(func() { do(d) })
	}
	all.Wait()
}

// close kills processes that still run and closes the stand-ins.
func (f *fleet) close() {
	for _, d := range f.dispatchers {
		d.mu.Lock()
		if d.process != nil && d.process.ProcessState == nil {
			sendSignal(d.process, syscall.SIGKILL)
		}
		d.mu.Unlock()
		d.close()
	}
	for _, n := range f.nodes {
		closeServer(n.server)
		n.ended.Wait()
	}
}

// sendingFor returns how much longer clients send requests.
func (f *fleet) sendingFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.sendingUntil)
}

// closing reports whether the dispatchers' last processes are being terminated.
func (f *fleet) closing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ending
}
