package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Config says how a plan is executed.
type Config struct {
	Plan    *Plan
	Program string // the dispatchers' program
	Dir     string // for configurations and logs; each run needs one of its own
	Mutant  string // a guard that the dispatchers leave out, to prove the oracle; "": none
}

const (
	// idleClientsPerDispatcher is how many clients of a dispatcher stay idle until it ends their connections.
	idleClientsPerDispatcher = 3

	// settleTime is how long the run goes on after the last request, so that each gets its answer.
	settleTime = 4 * time.Second
)

// runs counts the runs of this process: each has a port of its own.
var runs atomic.Int32

// fleet is the dispatchers and all that they talk to.
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
	endpoints    []endpoint // the endpoint list, by node; addresses are each dispatcher's own
	ending       bool       // the dispatchers are told to exit for good
	sendingUntil time.Time  // clients send their last requests
	background   sync.WaitGroup
}

// Run executes a plan and returns what was found. The error is for a fleet that could not be set up.
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

// setUp makes the stand-ins and the dispatchers, whose processes are not started yet.
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

// startClients starts the clients of each dispatcher, which send until stop is closed.
func (f *fleet) startClients(stop <-chan struct{}) {
	for _, d := range f.dispatchers {
		busy := &sender{dispatcher: d, random: rand.New(rand.NewPCG(f.plan.Seed, uint64(d.index)+1))}
		f.background.Go(func() { busy.run(f.plan.Rate, stop) })
		for i := range idleClientsPerDispatcher {
			// Its high bits keep the stream apart from those of the busy clients.
			stream := uint64(d.index*idleClientsPerDispatcher+i) << 32
			idle := &sender{dispatcher: d, random: rand.New(rand.NewPCG(f.plan.Seed, stream))}
			f.background.Go(func() { idle.runIdle(stop) })
		}
	}
}

// forEachDispatcher does something for all dispatchers at the same time and waits for the last.
func (f *fleet) forEachDispatcher(do func(d *dispatcher)) {
	var all sync.WaitGroup
	for _, d := range f.dispatchers {
		all.Go(func() { do(d) })
	}
	all.Wait()
}

// close ends what is left of processes and stand-ins.
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

// sendingFor is how long clients still send requests.
func (f *fleet) sendingFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.sendingUntil)
}

// closing reports whether the dispatchers exit for good.
func (f *fleet) closing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ending
}
