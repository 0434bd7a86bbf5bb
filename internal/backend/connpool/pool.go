// Package connpool decides who gets which connection to a compute node while there are fewer descriptors than
// calls: a connection that rested, a new one, or a place in a line ordered by when each call must be made at
// the latest. It does no I/O and reads no clock: what callers want and what became of connections goes in,
// grants come out.
package connpool

import (
	"cmp"
	"slices"
	"time"

	"cresspass"
)

// What is done how often, and when a wait is pressing.
const (
	sweepInterval  = 5 * time.Millisecond   // a look at the whole line, at most so often
	pressingBefore = 300 * time.Millisecond // before Due: a call that holds a connection ends within this
)

// Request is a call that needs a connection.
type Request struct {
	ID     uint64 // the caller's, never used twice
	Engine cresspass.EngineID
	Fresh  bool          // on a new connection only
	Urgent bool          // short and pressing: it may use Limits.Spare as well
	Due    time.Duration // the latest time at which it helps, on the clock of all calls
}

// Limits are how many connections there may be now.
type Limits struct {
	Capacity      int // connections of all kinds
	UrgentReserve int // on top, for wants with Spare
}

// GrantType tells what a Grant is.
type GrantType int

// The grants.
const (
	Reuse GrantType = iota // Want gets the idle connection Conn
	Dial                   // Want may make a connection
	Close                  // the idle connection Conn is to be closed
)

// Grant is one thing that the caller is to do.
type Grant struct {
	Type      GrantType
	RequestID uint64
	Conn      uint64
}

type idleConn struct {
	conn  uint64
	since time.Duration // its last answer was whole then
}

// Pool is who holds and who wants connections. It is for one goroutine at a time.
type Pool struct {
	minIdle        time.Duration // a connection is left alone so long after an answer
	maxIdle        time.Duration // an idle connection is kept so long
	open           int
	idle           map[cresspass.EngineID][]idleConn // those that came last at the end
	queue          []Request                         // by Due, then as they came
	nextSweep      time.Duration                     // the next look at the line
	sweepScheduled bool                              // settle stands
	grants         []Grant
}

// New returns a pool without connections. A connection rests for a while after each answer before another
// call has it, and is closed when it was idle for keep.
func New(rest, keep time.Duration) *Pool {
	return &Pool{minIdle: rest, maxIdle: keep, idle: map[cresspass.EngineID][]idleConn{}}
}

// OpenConns returns how many connections there are, those that are being made counted in.
func (b *Pool) OpenConns() int { return b.open }

// Waiting returns how many wait.
func (b *Pool) Waiting() int { return len(b.queue) }

// NextSweep returns when Settle must be called at the latest, and whether it must.
func (b *Pool) NextSweep() (time.Duration, bool) { return b.nextSweep, b.sweepScheduled }

// Acquire takes a want. Its grant is among those returned, or comes later. The grants are valid until the
// next call, as for all methods.
func (b *Pool) Acquire(now time.Duration, w Request, l Limits) []Grant {
	b.grants = b.grants[:0]
	if len(b.queue) == 0 || w.Urgent {
		if b.grantReuse(now, w) || b.grantDial(w, l) || b.evictOldest(now) && b.grantDial(w, l) {
			return b.grants
		}
	}
	at, _ := slices.BinarySearchFunc(b.queue, w, func(e, w Request) int {
		return cmp.Or(cmp.Compare(e.Due, w.Due), -1) // behind those of the same time
	})
	b.queue = slices.Insert(b.queue, at, w)
	b.scheduleSweep(now)
	return b.grants
}

// Cancel takes a want out of the line. It returns false where its grant was given already.
func (b *Pool) Cancel(id uint64) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(w Request) bool { return w.ID == id })
	return len(b.queue) < n
}

// Release takes back a connection after a whole answer, which leaves it open.
func (b *Pool) Release(now time.Duration, engine cresspass.EngineID, conn uint64) {
	b.idle[engine] = append(b.idle[engine], idleConn{conn, now})
	if len(b.queue) > 0 {
		b.scheduleSweep(now)
	}
}

// Closed tells that a connection which was granted is closed, or did not come up.
func (b *Pool) Closed(l Limits) []Grant {
	b.grants = b.grants[:0]
	b.open--
	b.dialQueued(l)
	return b.grants
}

// CloseIdle has all idle connections to a compute node closed.
func (b *Pool) CloseIdle(engine cresspass.EngineID, l Limits) []Grant {
	b.grants = b.grants[:0]
	for len(b.idle[engine]) > 0 {
		b.closeAt(engine, 0)
	}
	b.dialQueued(l)
	return b.grants
}

// Sweep closes what was idle for too long, and looks at the whole line.
func (b *Pool) Sweep(now time.Duration, l Limits) []Grant {
	b.grants, b.sweepScheduled = b.grants[:0], false
	for engine, list := range b.idle {
		n := 0
		for n < len(list) && now-list[n].since >= b.maxIdle {
			n++
		}
		for range n {
			b.closeAt(engine, 0)
		}
	}
	b.dialQueued(l)
	// Danger: a new connection for each that waits would spend the core on handshakes, so who waits for its
	// compute node gets one that rested there. But a query whose compute node has no idle connection would
	// wait for as long as others use theirs up, and is dropped there when nobody asks for it. From some time
	// before that, any connection makes room for it.
	left := b.queue[:0]
	for i, w := range b.queue {
		if b.grantReuse(now, w) || now >= w.Due-pressingBefore && b.evictOldest(now) && b.grantDial(w, l) {
			continue
		}
		left = append(left, b.queue[i])
	}
	clear(b.queue[len(left):])
	b.queue = left
	for len(b.queue) > 0 && b.evictOldest(now) { // what nobody wants makes room for who waits
		if !b.dialQueued(l) {
			break
		}
	}
	if len(b.queue) > 0 && len(b.idle) > 0 {
		b.scheduleSweep(now)
	}
	return b.grants
}

func (b *Pool) scheduleSweep(now time.Duration) {
	if !b.sweepScheduled {
		b.sweepScheduled, b.nextSweep = true, now+sweepInterval
	}
}

// dialQueued has who waits make connections, in the line's order, as far as there is room. It reports whether
// any did.
func (b *Pool) dialQueued(l Limits) bool {
	n := 0
	for n < len(b.queue) && b.grantDial(b.queue[n], l) {
		n++
	}
	b.queue = slices.Delete(b.queue, 0, n)
	return n > 0
}

// grantDial grants a new connection, where there is room.
func (b *Pool) grantDial(w Request, l Limits) bool {
	room := l.Capacity
	if w.Urgent {
		room += l.UrgentReserve
	}
	if b.open >= room {
		return false
	}
	b.open++
	b.grants = append(b.grants, Grant{Type: Dial, RequestID: w.ID})
	return true
}

// grantReuse grants the youngest connection to the compute node that has rested.
func (b *Pool) grantReuse(now time.Duration, w Request) bool {
	list := b.idle[w.Engine]
	for i := len(list) - 1; i >= 0 && !w.Fresh; i-- {
		if since := now - list[i].since; since >= b.minIdle && since < b.maxIdle {
			b.grants = append(b.grants, Grant{Type: Reuse, RequestID: w.ID, Conn: list[i].conn})
			b.removeAt(w.Engine, i)
			return true
		}
	}
	return false
}

// evictOldest closes the connection that has been idle for longest, if it has rested.
func (b *Pool) evictOldest(now time.Duration) bool {
	var engine cresspass.EngineID
	var oldest *idleConn
	for e, list := range b.idle {
		if oldest == nil || list[0].since < oldest.since ||
			list[0].since == oldest.since && list[0].conn < oldest.conn {
			engine, oldest = e, &list[0]
		}
	}
	if oldest == nil || now-oldest.since < b.minIdle {
		return false
	}
	b.closeAt(engine, 0)
	return true
}

func (b *Pool) closeAt(engine cresspass.EngineID, i int) {
	b.grants = append(b.grants, Grant{Type: Close, Conn: b.idle[engine][i].conn})
	b.removeAt(engine, i)
	b.open--
}

func (b *Pool) removeAt(engine cresspass.EngineID, i int) {
	if list := slices.Delete(b.idle[engine], i, i+1); len(list) > 0 {
		b.idle[engine] = list
	} else {
		delete(b.idle, engine)
	}
}
