package platform

import "time"

const (
	// silentClientGrace is how long a connection may stay without a first message, or in the middle of one,
	// before it may be evicted.
	silentClientGrace = 500 * time.Millisecond
	// noGrace is the grace when clients hold all the descriptors that are left to them.
	noGrace = 0
	// maxEvictionTries is how many candidates are checked to make room for one connection.
	maxEvictionTries = 4
)

// makeRoom reports whether one more connection may stay. If there are evictAbove already, it evicts another
// connection. If none can be evicted, the new connection may stay while descriptors are left for clients.
func (f *frontend) makeRoom() bool {
	if f.connCount() < f.descriptors.evictAbove || f.evict(silentClientGrace) {
		return true
	}
	return !f.descriptors.clientsExhausted(f.service.pool.connCount()) || f.evict(noGrace)
}

// evict closes a connection to make room for another. It reports whether it could close one.
func (f *frontend) evict(grace time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evictLocked(grace)
}

// evictLocked is evict for a caller that holds f.mu.
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

// retireUnused retires the connections without open requests. It checks for unread bytes under the lock that
// BeginMessage needs: a request that was not read yet is either seen here, or arrives too late to be
// accepted.
func (f *frontend) retireUnused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retireUnusedLocked()
}

// retireUnusedLocked is retireUnused for a caller that holds f.mu.
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

// failOpen fails all open requests, and has later ones rejected. It retires all connections except those that
// may hold an unhandled message: that message is answered first, and retireUnused retires them.
func (f *frontend) failOpen() {
	f.mu.Lock()
	f.registry.RejectNew()
	conns := make([]*clientConn, 0, len(f.conns))
	for _, client := range f.conns {
		conns = append(conns, client)
	}
	f.mu.Unlock()
	for _, client := range conns {
		client.failOpen()
	}
}

// failOpen fails the requests that are open on a connection. It retires the connection unless there may be an
// unhandled message.
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

// closeAll closes all client connections.
func (f *frontend) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, client := range f.conns {
		client.conn.Close()
	}
}
