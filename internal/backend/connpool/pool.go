// Package connpool decides who gets which connection to a compute node while there are fewer descriptors
// than calls: an idle connection, a new one, or a place in a queue that is ordered by when each call is
// due. The Pool owns the count of connections, the idle ones and the queue. It does no I/O and reads no
// clock: what callers request and what became of connections goes in, grants come out.
package connpool

import (
	"cmp"
	"slices"
	"time"

	"cresspass"
)

const (
	// sweepInterval is how often the whole queue is looked at, at most.
	sweepInterval = 5 * time.Millisecond
	// pressingBefore is how long before it is due a request has idle connections to other compute nodes
	// closed for it: a call that holds a connection ends within this.
	pressingBefore = 300 * time.Millisecond
)

// Pool is who has and who waits for connections. It is for one goroutine at a time.
type Pool struct {
	minIdle time.Duration // a connection is not reused so soon after a response
	maxIdle time.Duration // a connection that was idle for so long is closed
	open    int
	idle    map[cresspass.EngineID][]idleConn // idle for longest first; no empty lists
	queue   []Request                         // by Due, then first come first served

	nextSweep      time.Duration
	sweepScheduled bool // nextSweep counts

	grants []Grant // of the current call
}

// New returns a pool without connections. A connection is idle for at least minIdle after a response before
// another call has it, and is closed when it was idle for maxIdle.
func New(minIdle, maxIdle time.Duration) *Pool {
	return &Pool{minIdle: minIdle, maxIdle: maxIdle, idle: map[cresspass.EngineID][]idleConn{}}
}

// OpenConns returns how many connections there are, including those that are being made.
func (p *Pool) OpenConns() int { return p.open }

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return len(p.queue) }

// NextSweep returns when Sweep must be called at the latest, and whether it must.
func (p *Pool) NextSweep() (time.Duration, bool) { return p.nextSweep, p.sweepScheduled }

// Acquire takes a request. Its grant is among those returned, or comes later. The grants are valid until the
// next call, as for all methods.
func (p *Pool) Acquire(now time.Duration, req Request, limits Limits) []Grant {
	p.grants = p.grants[:0]
	if len(p.queue) == 0 || req.Urgent {
		if p.grantReuse(now, req) || p.grantDial(req, limits) ||
			p.evictOldest(now) && p.grantDial(req, limits) {
			return p.grants
		}
	}
	at, _ := slices.BinarySearchFunc(p.queue, req, func(queued, req Request) int {
		return cmp.Or(cmp.Compare(queued.Due, req.Due), -1) // behind those that are due at the same time
	})
	p.queue = slices.Insert(p.queue, at, req)
	p.scheduleSweep(now)
	return p.grants
}

// Cancel takes a request out of the queue. It returns false where its grant was given already.
func (p *Pool) Cancel(id uint64) bool {
	n := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(req Request) bool { return req.ID == id })
	return len(p.queue) < n
}

// Release takes back a connection after a complete response, which leaves it open.
func (p *Pool) Release(now time.Duration, engine cresspass.EngineID, conn uint64) {
	p.idle[engine] = append(p.idle[engine], idleConn{conn, now})
	if len(p.queue) > 0 {
		p.scheduleSweep(now)
	}
}

// Closed reports that a connection which was granted is closed, or did not come up.
func (p *Pool) Closed(limits Limits) []Grant {
	p.grants = p.grants[:0]
	p.open--
	p.dialQueued(limits)
	return p.grants
}

// CloseIdle has all idle connections to a compute node closed.
func (p *Pool) CloseIdle(engine cresspass.EngineID, limits Limits) []Grant {
	p.grants = p.grants[:0]
	for len(p.idle[engine]) > 0 {
		p.closeAt(engine, 0)
	}
	p.dialQueued(limits)
	return p.grants
}

// Sweep closes what was idle for too long, and looks at the whole queue.
func (p *Pool) Sweep(now time.Duration, limits Limits) []Grant {
	p.grants, p.sweepScheduled = p.grants[:0], false
	p.closeExpired(now)
	p.dialQueued(limits)
	p.serveQueue(now, limits)
	// A connection that no queued request can use makes way for one that waits.
	for len(p.queue) > 0 && p.evictOldest(now) {
		if !p.dialQueued(limits) {
			break
		}
	}
	if len(p.queue) > 0 && len(p.idle) > 0 {
		p.scheduleSweep(now)
	}
	return p.grants
}

// serveQueue grants idle connections to queued requests for their compute nodes. A new connection for each
// would spend the core on handshakes. But while others use theirs up, a query whose compute node has no
// idle connection would wait without end, and be dropped there because nobody polls it: a pressing request
// therefore has any idle connection closed for it.
func (p *Pool) serveQueue(now time.Duration, limits Limits) {
	left := p.queue[:0]
	for i, req := range p.queue {
		pressing := now >= req.Due-pressingBefore
		if p.grantReuse(now, req) || pressing && p.evictOldest(now) && p.grantDial(req, limits) {
			continue
		}
		left = append(left, p.queue[i])
	}
	clear(p.queue[len(left):])
	p.queue = left
}

func (p *Pool) scheduleSweep(now time.Duration) {
	if !p.sweepScheduled {
		p.sweepScheduled, p.nextSweep = true, now+sweepInterval
	}
}

// dialQueued has queued requests make connections, in the queue's order, as far as the limits allow. It
// reports whether any did.
func (p *Pool) dialQueued(limits Limits) bool {
	n := 0
	for n < len(p.queue) && p.grantDial(p.queue[n], limits) {
		n++
	}
	p.queue = slices.Delete(p.queue, 0, n)
	return n > 0
}

// grantDial grants a new connection, where the limits allow it.
func (p *Pool) grantDial(req Request, limits Limits) bool {
	capacity := limits.Capacity
	if req.Urgent {
		capacity += limits.UrgentReserve
	}
	if p.open >= capacity {
		return false
	}
	p.open++
	p.grants = append(p.grants, Grant{Type: Dial, RequestID: req.ID})
	return true
}
