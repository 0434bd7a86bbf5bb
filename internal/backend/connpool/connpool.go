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
	settleEvery = 5 * time.Millisecond   // a look at the whole line, at most so often
	lead        = 300 * time.Millisecond // before Due: a call that holds a connection ends within this
)

// Want is a call that needs a connection.
type Want struct {
	ID     uint64 // the caller's, never used twice
	Engine cresspass.EngineID
	Fresh  bool          // on a new connection only
	Spare  bool          // short and pressing: it may use Limits.Spare as well
	Due    time.Duration // the latest time at which it helps, on the clock of all calls
}

// Limits are how many connections there may be now.
type Limits struct {
	Room  int // connections of all kinds
	Spare int // on top, for wants with Spare
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
	Type GrantType
	Want uint64
	Conn uint64
}

type idle struct {
	conn   uint64
	rested time.Duration // its last answer was whole then
}

// Pool is who holds and who wants connections. It is for one goroutine at a time.
type Pool struct {
	rest   time.Duration // a connection is left alone so long after an answer
	keep   time.Duration // an idle connection is kept so long
	open   int
	free   map[cresspass.EngineID][]idle // those that came last at the end
	line   []Want                        // by Due, then as they came
	settle time.Duration                 // the next look at the line
	set    bool                          // settle stands
	out    []Grant
}

// New returns a pool without connections. A connection rests for a while after each answer before another
// call has it, and is closed when it was idle for keep.
func New(rest, keep time.Duration) *Pool {
	return &Pool{rest: rest, keep: keep, free: map[cresspass.EngineID][]idle{}}
}

// Open returns how many connections there are, those that are being made counted in.
func (b *Pool) Open() int { return b.open }

// Waiting returns how many wait.
func (b *Pool) Waiting() int { return len(b.line) }

// Next returns when Settle must be called at the latest, and whether it must.
func (b *Pool) Next() (time.Duration, bool) { return b.settle, b.set }

// Ask takes a want. Its grant is among those returned, or comes later. The grants are valid until the next
// call, as for all methods.
func (b *Pool) Ask(now time.Duration, w Want, l Limits) []Grant {
	b.out = b.out[:0]
	if len(b.line) == 0 || w.Spare {
		if b.reuse(now, w) || b.dial(w, l) || b.evict(now) && b.dial(w, l) {
			return b.out
		}
	}
	at, _ := slices.BinarySearchFunc(b.line, w, func(e, w Want) int {
		return cmp.Or(cmp.Compare(e.Due, w.Due), -1) // behind those of the same time
	})
	b.line = slices.Insert(b.line, at, w)
	b.soon(now)
	return b.out
}

// Leave takes a want out of the line. It returns false where its grant was given already.
func (b *Pool) Leave(id uint64) bool {
	n := len(b.line)
	b.line = slices.DeleteFunc(b.line, func(w Want) bool { return w.ID == id })
	return len(b.line) < n
}

// Rest takes back a connection after a whole answer, which leaves it open.
func (b *Pool) Rest(now time.Duration, engine cresspass.EngineID, conn uint64) {
	b.free[engine] = append(b.free[engine], idle{conn, now})
	if len(b.line) > 0 {
		b.soon(now)
	}
}

// Gone tells that a connection which was granted is closed, or did not come up.
func (b *Pool) Gone(l Limits) []Grant {
	b.out = b.out[:0]
	b.open--
	b.newcomers(l)
	return b.out
}

// Drop has all idle connections to a compute node closed.
func (b *Pool) Drop(engine cresspass.EngineID, l Limits) []Grant {
	b.out = b.out[:0]
	for len(b.free[engine]) > 0 {
		b.close(engine, 0)
	}
	b.newcomers(l)
	return b.out
}

// Settle closes what was idle for too long, and looks at the whole line.
func (b *Pool) Settle(now time.Duration, l Limits) []Grant {
	b.out, b.set = b.out[:0], false
	for engine, list := range b.free {
		n := 0
		for n < len(list) && now-list[n].rested >= b.keep {
			n++
		}
		for range n {
			b.close(engine, 0)
		}
	}
	b.newcomers(l)
	// Danger: a new connection for each that waits would spend the core on handshakes, so who waits for its
	// compute node gets one that rested there. But a query whose compute node has no idle connection would
	// wait for as long as others use theirs up, and is dropped there when nobody asks for it. From some time
	// before that, any connection makes room for it.
	left := b.line[:0]
	for i, w := range b.line {
		if b.reuse(now, w) || now >= w.Due-lead && b.evict(now) && b.dial(w, l) {
			continue
		}
		left = append(left, b.line[i])
	}
	clear(b.line[len(left):])
	b.line = left
	for len(b.line) > 0 && b.evict(now) { // what nobody wants makes room for who waits
		if !b.newcomers(l) {
			break
		}
	}
	if len(b.line) > 0 && len(b.free) > 0 {
		b.soon(now)
	}
	return b.out
}

func (b *Pool) soon(now time.Duration) {
	if !b.set {
		b.set, b.settle = true, now+settleEvery
	}
}

// newcomers has who waits make connections, in the line's order, as far as there is room. It reports whether
// any did.
func (b *Pool) newcomers(l Limits) bool {
	n := 0
	for n < len(b.line) && b.dial(b.line[n], l) {
		n++
	}
	b.line = slices.Delete(b.line, 0, n)
	return n > 0
}

// dial grants a new connection, where there is room.
func (b *Pool) dial(w Want, l Limits) bool {
	room := l.Room
	if w.Spare {
		room += l.Spare
	}
	if b.open >= room {
		return false
	}
	b.open++
	b.out = append(b.out, Grant{Type: Dial, Want: w.ID})
	return true
}

// reuse grants the youngest connection to the compute node that has rested.
func (b *Pool) reuse(now time.Duration, w Want) bool {
	list := b.free[w.Engine]
	for i := len(list) - 1; i >= 0 && !w.Fresh; i-- {
		if since := now - list[i].rested; since >= b.rest && since < b.keep {
			b.out = append(b.out, Grant{Type: Reuse, Want: w.ID, Conn: list[i].conn})
			b.remove(w.Engine, i)
			return true
		}
	}
	return false
}

// evict closes the connection that has been idle for longest, if it has rested.
func (b *Pool) evict(now time.Duration) bool {
	var engine cresspass.EngineID
	var oldest *idle
	for e, list := range b.free {
		if oldest == nil || list[0].rested < oldest.rested ||
			list[0].rested == oldest.rested && list[0].conn < oldest.conn {
			engine, oldest = e, &list[0]
		}
	}
	if oldest == nil || now-oldest.rested < b.rest {
		return false
	}
	b.close(engine, 0)
	return true
}

func (b *Pool) close(engine cresspass.EngineID, i int) {
	b.out = append(b.out, Grant{Type: Close, Conn: b.free[engine][i].conn})
	b.remove(engine, i)
	b.open--
}

func (b *Pool) remove(engine cresspass.EngineID, i int) {
	if list := slices.Delete(b.free[engine], i, i+1); len(list) > 0 {
		b.free[engine] = list
	} else {
		delete(b.free, engine)
	}
}
