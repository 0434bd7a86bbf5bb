package platform

import "time"

const (
	// silentClientGrace is how long a connection may send nothing before it counts as one that never will.
	silentClientGrace = 500 * time.Millisecond
	// noGrace is the same where no descriptor is left.
	noGrace = 0
	// maxEvictionTries is how many connections are looked at to make room for one.
	maxEvictionTries = 4
)

// makeRoom reports whether one more connection may stay, and evicts another one for it where there are many.
func (f *frontend) makeRoom() bool {
	if f.connCount() < f.descriptors.evictAbove || f.evict(silentClientGrace) {
		return true
	}
	return !f.descriptors.clientsExhausted(f.service.pool.connCount()) || f.evict(noGrace)
}

// evict closes a connection to make room. It reports whether there was one that could be closed.
func (f *frontend) evict(grace time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evictLocked(grace)
}

// evictLocked is evict; f.mu is held.
func (f *frontend) evictLocked(grace time.Duration) bool {
	for range maxEvictionTries {
		id, ok := f.registry.EvictionCandidate(time.Now(), grace)
		if !ok {
			return false
		}
		client := f.conns[id]
		if client.mayHoldMessage() {
			f.registry.BeginMessage(time.Now(), id)
			continue
		}
		if !f.service.guard.mayClose(f.registry.OpenRequestsOn(id), closedForCapacity) {
			return false
		}
		f.forget(id)
		f.service.evictedClients.Add(1)
		f.recordClose(closedForCapacity)
		client.conn.Close()
		return true
	}
	return false
}

// retireUnused retires the connections on which nothing is open. It looks for unread bytes under the lock
// that BeginMessage needs: a request that is not read yet is either seen here, or is too late to be
// accepted.
func (f *frontend) retireUnused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retireUnusedLocked()
}

// retireUnusedLocked is retireUnused; f.mu is held.
func (f *frontend) retireUnusedLocked() {
	for _, id := range f.registry.UnusedConns() {
		client := f.conns[id]
		if client.mayHoldMessage() || !f.registry.Retire(id) {
			continue
		}
		if f.service.guard.mayClose(f.registry.OpenRequestsOn(id), closedUnusedAtShutdown) {
			f.recordClose(closedUnusedAtShutdown)
			client.retire()
		}
	}
}

// failOpen fails what is open, and has what still comes rejected. All connections end but those on which
// something is there: that is answered first, and retireUnused ends them.
func (f *frontend) failOpen() {
	f.mu.Lock()
	f.registry.End()
	conns := make([]*clientConn, 0, len(f.conns))
	for _, client := range f.conns {
		conns = append(conns, client)
	}
	f.mu.Unlock()
	for _, client := range conns {
		client.failOpen()
	}
}

// failOpen fails what is open on a connection and retires it, unless a message may be there.
func (c *clientConn) failOpen() {
	c.frontend.mu.Lock()
	open := c.frontend.registry.EndOpen(c.id)
	ends := !c.mayHoldMessage() && c.frontend.registry.Close(c.id)
	if ends {
		c.frontend.recordClose(closedAtExit)
	}
	c.frontend.mu.Unlock()
	c.failRequests(open, faultExiting)
	if ends {
		c.retire()
	}
}

// closeAll closes all connections.
func (f *frontend) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, client := range f.conns {
		client.conn.Close()
	}
}
