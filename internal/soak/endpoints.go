package soak

import "time"

// States of a compute node in the endpoint list.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

const (
	// discoveryCatchUp is the time after the end of a discovery fault, or after a move of discovery, at which
	// a dispatcher counts as notified of all earlier changes.
	discoveryCatchUp = 4 * time.Second

	catchUpCheckInterval = 20 * time.Millisecond

	drainExtra         = time.Second            // added to drainGrace and the fault's duration
	restartPause       = 100 * time.Millisecond // from a compute node's exit to its successor's start
	listenAttempts     = 100                    // to listen at a compute node's former address
	listenRetryBackoff = 20 * time.Millisecond
)

// endpointList returns a copy of the endpoint list, without addresses.
func (f *fleet) endpointList() []endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]endpoint(nil), f.endpoints...)
}

// updateEndpoint changes a compute node's entry in the endpoint list and publishes it to all dispatchers.
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

// recordDrain records when a dispatcher counts as notified of a drain: now, if its discovery had no fault and
// did not move within the last discoveryCatchUp, or else as soon as that holds.
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

// mayDrain reports whether a compute node is up and more than half of all nodes are up too.
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

// drainNode drains and ends a compute node's process and starts the next one at its address. It does nothing
// if mayDrain is false. The caller has called beginChange on the node.
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

// restartNode starts a compute node's next process at its address, in slow start. If the address stays taken,
// the node is announced without a listener.
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
