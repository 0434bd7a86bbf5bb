package soak

import "time"

// The states of a compute node on the endpoint list.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

const (
	// discoveryCatchUp is the time that a dispatcher gets after a fault of discovery: only then it counts as
	// notified of all that happened meanwhile.
	discoveryCatchUp = 4 * time.Second

	catchUpCheckInterval = 20 * time.Millisecond

	drainExtra         = time.Second            // from the end of the drain's grace to the node's exit
	restartPause       = 100 * time.Millisecond // from a compute node's exit to its successor's start
	listenAttempts     = 100                    // of a compute node at its former address
	listenRetryBackoff = 20 * time.Millisecond
)

// endpointList returns a copy of the endpoint list, without addresses.
func (f *fleet) endpointList() []endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]endpoint(nil), f.endpoints...)
}

// updateEndpoint changes a compute node's entry and announces it to all dispatchers.
func (f *fleet) updateEndpoint(node int, change func(e *endpoint)) {
	f.mu.Lock()
	before := f.endpoints[node]
	change(&f.endpoints[node])
	after := f.endpoints[node]
	f.mu.Unlock()
	for _, d := range f.dispatchers {
		updated := after
		updated.Addr = d.nodes[node].addr()
		if before.ID != after.ID {
			removed := before
			removed.State, removed.Addr = stateRemoved, updated.Addr
			d.discovery.publish(removed, updated)
		} else {
			d.discovery.publish(updated)
		}
		if after.State == stateDraining {
			f.recordDrain(d, after.ID)
		}
	}
}

// recordDrain records from when on a dispatcher counts as notified of a drain: at once, or some time after
// the end of the fault that its discovery is in.
func (f *fleet) recordDrain(d *dispatcher, generation string) {
	now, incarnation := time.Now(), d.currentIncarnation()
	if !d.discovery.faulty(now.Add(-discoveryCatchUp)) {
		f.oracle.recordDrain(d.index, incarnation, generation, now)
		return
	}
	f.background.Go(func() {
		for d.discovery.faulty(time.Now().Add(-discoveryCatchUp)) && !f.closing() {
			time.Sleep(catchUpCheckInterval)
		}
		f.oracle.recordDrain(d.index, incarnation, generation, time.Now())
	})
}

// mayDrain reports whether a compute node is up, and enough others are.
func (f *fleet) mayDrain(n *computeNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	up := 0
	for _, e := range f.endpoints {
		if e.State == stateUp {
			up++
		}
	}
	return f.endpoints[n.index].State == stateUp && up >= len(f.nodes)/2+1
}

// drainNode has a compute node drain and exit, and another start at its address. The caller holds the node's
// change.
func (f *fleet) drainNode(fault Fault, n *computeNode) {
	if !f.mayDrain(n) {
		return
	}
	f.updateEndpoint(n.index, func(e *endpoint) { e.State = stateDraining })
	time.Sleep(drainGrace + drainExtra + fault.Duration)
	n.crash()
	time.Sleep(restartPause)
	f.restartNode(n)
}

// restartNode starts a new process at a compute node's address; it is in slow start.
func (f *fleet) restartNode(n *computeNode) {
	for range listenAttempts {
		if n.listen(n.addr) == nil {
			break
		}
		time.Sleep(listenRetryBackoff)
	}
	id := n.id()
	f.oracle.recordStart(id)
	f.updateEndpoint(n.index, func(e *endpoint) {
		e.ID, e.State, e.Started = id, stateUp, time.Now().UnixMilli()
	})
}
