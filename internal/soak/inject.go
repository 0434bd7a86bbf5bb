package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Parameters of faults.
const (
	reloadsInBurst        = 4
	reloadBurstDivisor    = 8 // the fault's duration is divided by this to give the pause after each reload
	linkFaultDelay        = 60 * time.Millisecond
	clientFaultDelay      = 30 * time.Millisecond
	idleResetInterval     = 150 * time.Millisecond // between resets of idle connections
	idleClients           = 60                     // connections opened by ClientsIdle
	idleClientsSlack      = 300 * time.Millisecond // after the fault, until descriptors count as free again
	crowdInterval         = 700 * time.Millisecond // between refills of a crowd
	reloadsInSeries       = 3
	maxSignalDelay        = 20 * time.Millisecond // upper bound of the time between two signals of a series
	sendAndCancelInterval = 5 * time.Millisecond  // between connections of clients that cancel all they send
	maxDialDelay          = 1500 * time.Millisecond
	failingCallShare      = 0.4
)

// dispatcherInjectors inject the faults of one dispatcher, its links and its clients. Each returns when the
// fault has ended.
var dispatcherInjectors = map[FaultKind]func(f *fleet, fault Fault, d *dispatcher){
	Terminate:   func(_ *fleet, _ Fault, d *dispatcher) { d.terminate(false) },
	Kill:        func(_ *fleet, _ Fault, d *dispatcher) { d.kill() },
	Reload:      func(_ *fleet, _ Fault, d *dispatcher) { d.reload() },
	ReloadBurst: injectReloadBurst,
	Pause:       func(_ *fleet, fault Fault, d *dispatcher) { d.pause(fault.Duration) },

	ReloadsIntoTerminate: injectReloadsIntoTerminate,
	TerminateTwice:       injectTerminateTwice,
	KillAtStart: func(_ *fleet, fault Fault, d *dispatcher) {
		d.signalAtStart(syscall.SIGKILL, signalDelay(fault))
	},
	TerminateAtStart: func(_ *fleet, fault Fault, d *dispatcher) {
		d.signalAtStart(syscall.SIGTERM, signalDelay(fault))
	},

	DiscoveryDown:      discoveryFault(func(s *discoveryServer, on bool) { s.down = on }),
	DiscoverySilent:    discoveryFault(func(s *discoveryServer, on bool) { s.silent = on }),
	DiscoverySlow:      discoveryFault(func(s *discoveryServer, on bool) { s.slow = on }),
	DiscoveryTruncated: discoveryFault(func(s *discoveryServer, on bool) { s.truncating = on }),

	LinkDelay:       nodeLinkFault(linkDelay, linkFaultDelay),
	LinkCut:         injectLinkCut,
	LinkBytes:       nodeLinkFault(linkBytes, 0),
	LinkReset:       nodeLinkFault(linkReset, 0),
	LinkSilenceIdle: injectLinkSilenceIdle,
	LinkResetIdle:   injectLinkResetIdle,

	ClientDelay:          clientLinkFault(linkDelay, clientFaultDelay),
	ClientBytes:          clientLinkFault(linkBytes, 0),
	ClientsDisconnect:    injectClientsDisconnect,
	ClientsCancel:        injectClientsCancel,
	ClientsIdle:          injectClientsIdle,
	ClientsCrowd:         injectClientsCrowd,
	ClientsSendAndCancel: injectClientsSendAndCancel,

	ClockStep: injectClockStep,
	CallsFail: processFault(processFaultConfig{FailingCallShare: failingCallShare}),
	DialsLate: processFault(processFaultConfig{MaxDialDelayMS: maxDialDelay.Milliseconds()}),
}

// nodeInjectors inject the faults of one compute node. Each returns when the fault has ended.
var nodeInjectors = map[FaultKind]func(f *fleet, fault Fault, n *computeNode){
	NodeDrain:        injectNodeDrain,
	NodeCrash:        injectNodeCrash,
	NodeHang:         func(_ *fleet, fault Fault, n *computeNode) { n.hang(fault.Duration) },
	NodesHang:        injectNodesHang,
	NodeFull:         nodeFault(func(n *computeNode, on bool) { n.full = on }),
	NodeErrors:       nodeFault(func(n *computeNode, on bool) { n.errors = on }),
	NodeAnswersTwice: nodeFault(func(n *computeNode, on bool) { n.answersTwice = on }),
}

// injectFaults starts the plan's faults at their times. It returns at the end of the plan's duration or when
// ctx is cancelled; faults may still be active then.
func (f *fleet) injectFaults(ctx context.Context) {
	begin := time.Now()
	f.mu.Lock()
	f.sendingUntil = begin.Add(f.plan.Duration)
	f.mu.Unlock()
	for _, fault := range f.plan.Faults {
		select {
		case <-time.After(time.Until(begin.Add(fault.At))):
		case <-ctx.Done():
			return
		}
		f.background.Go(func() { f.inject(fault) })
	}
	select {
	case <-time.After(time.Until(begin.Add(f.plan.Duration))):
	case <-ctx.Done():
	}
}

// inject injects one fault and returns when it has ended.
func (f *fleet) inject(fault Fault) {
	if fault.Dispatcher == nodeTarget {
		nodeInjectors[fault.Kind](f, fault, f.nodes[fault.Node])
		return
	}
	dispatcherInjectors[fault.Kind](f, fault, f.dispatchers[fault.Dispatcher])
}

func injectReloadBurst(_ *fleet, fault Fault, d *dispatcher) {
	for range reloadsInBurst {
		d.reload()
		time.Sleep(fault.Duration / reloadBurstDivisor)
	}
}

// signalDelay returns the time between two signals of a series, which follows from the fault's duration.
func signalDelay(fault Fault) time.Duration { return fault.Duration % maxSignalDelay }

// injectReloadsIntoTerminate sends SIGHUPs, then SIGTERM, and more SIGHUPs during the shutdown.
func injectReloadsIntoTerminate(_ *fleet, fault Fault, d *dispatcher) {
	for range reloadsInSeries {
		d.reload()
		time.Sleep(signalDelay(fault))
	}
	var shutdown sync.WaitGroup
	shutdown.Go(func() { d.terminate(false) })
	for range reloadsInSeries {
		time.Sleep(signalDelay(fault))
		d.reload()
	}
	shutdown.Wait()
}

// injectTerminateTwice sends SIGTERM, and up to two more during the shutdown.
func injectTerminateTwice(_ *fleet, fault Fault, d *dispatcher) {
	var shutdown sync.WaitGroup
	shutdown.Go(func() { d.terminate(false) })
	time.Sleep(signalDelay(fault))
	d.signalIfTerminating(syscall.SIGTERM)
	time.Sleep(fault.Duration)
	d.signalIfTerminating(syscall.SIGTERM)
	shutdown.Wait()
}

// discoveryFault returns an injector that sets a fault of a dispatcher's discovery server for its duration.
func discoveryFault(set func(s *discoveryServer, on bool)) func(*fleet, Fault, *dispatcher) {
	return func(_ *fleet, fault Fault, d *dispatcher) {
		d.discovery.set(func(s *discoveryServer) { set(s, true) })
		time.Sleep(fault.Duration)
		d.discovery.set(func(s *discoveryServer) { set(s, false) })
	}
}

// nodeLinkFault returns an injector that sets the mode of a dispatcher's links to all compute nodes for the
// fault's duration.
func nodeLinkFault(mode linkMode, delay time.Duration) func(*fleet, Fault, *dispatcher) {
	return func(_ *fleet, fault Fault, d *dispatcher) {
		for _, link := range d.nodes {
			link.set(mode, delay)
		}
		time.Sleep(fault.Duration)
		for _, link := range d.nodes {
			link.set(linkHealthy, 0)
		}
	}
}

// injectLinkCut cuts the links for the fault's duration, then resets their connections, which can't be used
// any more because bytes are missing.
func injectLinkCut(f *fleet, fault Fault, d *dispatcher) {
	nodeLinkFault(linkCut, 0)(f, fault, d)
	for _, link := range d.nodes {
		link.resetAll()
	}
}

func injectLinkSilenceIdle(_ *fleet, _ Fault, d *dispatcher) {
	for _, link := range d.nodes {
		link.silenceIdle()
	}
}

func injectLinkResetIdle(_ *fleet, fault Fault, d *dispatcher) {
	for until := time.Now().Add(fault.Duration); time.Now().Before(until); time.Sleep(idleResetInterval) {
		for _, link := range d.nodes {
			link.resetIdle()
		}
	}
}

// clientLinkFault returns an injector that sets the mode of the link between a dispatcher and its clients for
// the fault's duration. Bytes may still be in flight afterwards, so the link counts as slow for another
// 2*clientFaultDelay.
func clientLinkFault(mode linkMode, delay time.Duration) func(*fleet, Fault, *dispatcher) {
	return func(_ *fleet, fault Fault, d *dispatcher) {
		d.setLinkDelay(2 * clientFaultDelay)
		d.clients.set(mode, delay)
		time.Sleep(fault.Duration)
		d.clients.set(linkHealthy, 0)
		time.Sleep(2 * clientFaultDelay)
		d.setLinkDelay(0)
	}
}

func injectClientsDisconnect(_ *fleet, _ Fault, d *dispatcher) {
	for i, c := range d.connections() {
		c.disconnect(i%2 == 0)
	}
}

func injectClientsCancel(_ *fleet, _ Fault, d *dispatcher) {
	for _, c := range d.connections() {
		c.cancelAll()
	}
}

// injectClientsIdle opens connections that send nothing, and resets them when the fault ends.
func injectClientsIdle(_ *fleet, fault Fault, d *dispatcher) {
	d.expectFullDescriptors(fault.Duration + idleClientsSlack)
	var idle []*clientConn
	for range idleClients {
		if c := d.connect(); c != nil {
			idle = append(idle, c)
		}
	}
	time.Sleep(fault.Duration)
	for _, c := range idle {
		c.disconnect(true)
	}
}

// injectClientsCrowd keeps as many idle connections open as the dispatcher has descriptors.
func injectClientsCrowd(f *fleet, fault Fault, d *dispatcher) {
	d.expectFullDescriptors(fault.Duration + idleClientsSlack)
	var idle []*clientConn
	for until := time.Now().Add(fault.Duration); time.Now().Before(until); time.Sleep(crowdInterval) {
		idle = slices.DeleteFunc(idle, func(c *clientConn) bool { return !c.alive() })
		for len(idle) < f.plan.Sockets && d.acceptsConnections() {
			c := d.connect()
			if c == nil {
				break
			}
			idle = append(idle, c)
		}
	}
	for _, c := range idle {
		c.disconnect(true)
	}
}

// injectClientsSendAndCancel opens one connection after another, sends as many requests on each as may be
// open, and cancels them at once.
func injectClientsSendAndCancel(f *fleet, fault Fault, d *dispatcher) {
	random := rand.New(rand.NewPCG(f.plan.Seed, uint64(fault.At)))
	until := time.Now().Add(fault.Duration)
	for ; time.Now().Before(until) && d.acceptsConnections(); time.Sleep(sendAndCancelInterval) {
		c := d.connect()
		if c == nil {
			return
		}
		for range maxOpenRequests {
			c.send(request{ticket: newTicket(random), class: requestClasses[0], limit: time.Second,
				cancelledAtOnce: true})
		}
		c.cancelAll()
		c.disconnect(false)
	}
}

// processFault returns an injector that sets a fault inside a dispatcher's process for its duration.
func processFault(config processFaultConfig) func(*fleet, Fault, *dispatcher) {
	return func(_ *fleet, fault Fault, d *dispatcher) {
		d.setProcessFault(config)
		time.Sleep(fault.Duration)
		d.setProcessFault(processFaultConfig{})
	}
}

// injectClockStep steps the wall clocks of all dispatchers alike, as if the dispatchers shared the clock of
// one machine. The step lasts until a later process fault of the dispatcher overwrites it.
func injectClockStep(f *fleet, fault Fault, _ *dispatcher) {
	f.forEachDispatcher(func(d *dispatcher) {
		d.setProcessFault(processFaultConfig{ClockStepMS: fault.Step.Milliseconds()})
	})
}

// setProcessFault writes the file from which a process that was built with the tag faults reads its faults.
func (d *dispatcher) setProcessFault(config processFaultConfig) {
	data, err := json.Marshal(config)
	if err == nil {
		err = d.replaceFile(faultsFile, data)
	}
	if err != nil {
		d.fleet.oracle.addFinding(harnessFailed, "%v", fmt.Errorf("writing process faults: %w", err))
	}
}

// nodeFault returns an injector that sets a fault of a compute node for its duration.
func nodeFault(set func(n *computeNode, on bool)) func(*fleet, Fault, *computeNode) {
	return func(_ *fleet, fault Fault, n *computeNode) {
		n.update(func(n *computeNode) { set(n, true) })
		time.Sleep(fault.Duration)
		n.update(func(n *computeNode) { set(n, false) })
	}
}

func injectNodeDrain(f *fleet, fault Fault, n *computeNode) {
	if !n.beginChange() {
		return
	}
	defer n.endChange()
	f.drainNode(fault, n)
}

func injectNodeCrash(f *fleet, fault Fault, n *computeNode) {
	if !n.beginChange() {
		return
	}
	defer n.endChange()
	n.crash()
	time.Sleep(fault.Duration / 2)
	f.restartNode(n)
}

// injectNodesHang hangs all compute nodes, not only the one that the fault names.
func injectNodesHang(f *fleet, fault Fault, _ *computeNode) {
	var all sync.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() { n.hang(fault.Duration) })
	}
	all.Wait()
}
