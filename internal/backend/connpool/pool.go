// Package connpool assigns connections to compute nodes when there are fewer file descriptors than calls. A
// call gets an idle connection, a new one, or a place in a queue ordered by due time. The Pool holds the
// number of open connections, the idle ones and the queue. It does no I/O and reads no clock: callers report
// requests and the state of connections, and carry out the grants that it returns.
package connpool

import (
	"cmp"
	"slices"
	"time"

	"cresspass"
)

const (
	// sweepInterval is the delay of a scheduled sweep; it limits how often the whole queue is scanned.
	sweepInterval = 5 * time.Millisecond
	// nearDueMargin is the time before its due time from which a queued request may dial in place of an idle
	// connection to another compute node, which is closed. A call that holds a connection ends within this
	// time.
	nearDueMargin = 300 * time.Millisecond
)

// Pool keeps track of open and idle connections and of the requests that wait for one. It is not safe for
// concurrent use.
type Pool struct {
	minIdle time.Duration // least idle time before a connection is reused or evicted
	maxIdle time.Duration // idle time after which a connection is closed
	open    int
	idle    map[cresspass.EngineID][]idleConn // each list longest idle first; no empty lists
	queue   []Request                         // by Due, then in order of arrival

	nextSweep      time.Duration
	sweepScheduled bool // nextSweep is valid

	grants []Grant // of the current call
}

// New returns a pool without connections. A connection stays idle for at least minIdle after a response
// before another call gets it, and is closed after being idle for maxIdle.
func New(minIdle, maxIdle time.Duration) *Pool {
	return &Pool{minIdle: minIdle, maxIdle: maxIdle, idle: map[cresspass.EngineID][]idleConn{}}
}

// OpenConns returns the number of connections, including those that are being dialed.
func (p *Pool) OpenConns() int { return p.open }

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return len(p.queue) }

// NextSweep returns the latest time at which Sweep must be called for queued requests, and false if no
// request needs it. It does not consider idle connections that reach maxIdle: they are closed by the next
// Sweep.
func (p *Pool) NextSweep() (time.Duration, bool) { return p.nextSweep, p.sweepScheduled }

// Acquire requests a connection. The request's grant is among those returned, or is returned by a later
// call. The returned grants are valid until the next call of any method.
func (p *Pool) Acquire(now time.Duration, req Request, limits Limits) []Grant {
	p.grants = p.grants[:0]
	if len(p.queue) == 0 || req.Urgent {
		if p.grantReuse(now, req) || p.grantDial(req, limits) ||
			p.evictOldest(now) && p.grantDial(req, limits) {
			return p.grants
		}
	}
	at, _ := slices.BinarySearchFunc(p.queue, req, func(queued, req Request) int {
		return cmp.Or(cmp.Compare(queued.Due, req.Due), -1) // after requests with the same due time
	})
	p.queue = slices.Insert(p.queue, at, req)
	p.scheduleSweep(now)
	return p.grants
}

// Cancel removes a request from the queue. It returns false if the request was granted already.
func (p *Pool) Cancel(id uint64) bool {
	n := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(req Request) bool { return req.ID == id })
	return len(p.queue) < n
}

// Release returns an open connection to the pool after a complete response.
func (p *Pool) Release(now time.Duration, engine cresspass.EngineID, conn uint64) {
	p.idle[engine] = append(p.idle[engine], idleConn{conn, now})
	if len(p.queue) > 0 {
		p.scheduleSweep(now)
	}
}

// Closed records that a granted connection was closed or could not be established. It returns grants for
// queued requests that can now dial.
func (p *Pool) Closed(limits Limits) []Grant {
	p.grants = p.grants[:0]
	p.open--
	p.dialQueued(limits)
	return p.grants
}

// CloseIdle returns grants that close all idle connections to a compute node, and grants for queued requests
// that can then dial.
func (p *Pool) CloseIdle(engine cresspass.EngineID, limits Limits) []Grant {
	p.grants = p.grants[:0]
	for len(p.idle[engine]) > 0 {
		p.closeAt(engine, 0)
	}
	p.dialQueued(limits)
	return p.grants
}

// Sweep closes connections that were idle for too long and tries to serve every queued request.
func (p *Pool) Sweep(now time.Duration, limits Limits) []Grant {
	p.grants, p.sweepScheduled = p.grants[:0], false
	p.closeExpired(now)
	p.dialQueued(limits)
	p.serveQueue(now, limits)
	// Idle connections that no queued request can use are closed, so that queued requests can dial.
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

// serveQueue grants idle connections to queued requests for the same compute node. Dialing for each request
// would spend the CPU core on handshakes. But while other requests reuse their connections, a request whose
// compute node has no idle connection would wait forever, and the compute node would drop its query for lack
// of polls. For a request within nearDueMargin of its due time, the connection that has been idle longest is
// therefore closed, so that the request can dial.
func (p *Pool) serveQueue(now time.Duration, limits Limits) {
	remaining := p.queue[:0]
	for i, req := range p.queue {
		nearDue := now >= req.Due-nearDueMargin
		if p.grantReuse(now, req) || nearDue && p.evictOldest(now) && p.grantDial(req, limits) {
			continue
		}
		remaining = append(remaining, p.queue[i])
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
}

func (p *Pool) scheduleSweep(now time.Duration) {
	if !p.sweepScheduled {
		p.sweepScheduled, p.nextSweep = true, now+sweepInterval
	}
}

// dialQueued grants new connections to queued requests in the order of the queue, up to the limits. It
// reports whether it granted any.
func (p *Pool) dialQueued(limits Limits) bool {
	n := 0
	for n < len(p.queue) && p.grantDial(p.queue[n], limits) {
		n++
	}
	p.queue = slices.Delete(p.queue, 0, n)
	return n > 0
}

// grantDial grants a new connection if the limits allow it, and reports whether it did.
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
