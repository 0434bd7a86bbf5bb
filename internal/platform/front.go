package platform

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/thrift"
)

// Of connections that come.
const (
	acceptPause = 10 * time.Millisecond // after an accept that failed by the machine...
	acceptMost  = 16                    // ...or after so many in a row that failed by their connections
	acceptWaits = time.Millisecond      // an accept that took longer waited for its connection
	lastLook    = 2 * time.Millisecond  // for who waits for accept, once no more should come...
	lastLooks   = 3                     // ...so often in vain
	roomTries   = 4                     // connections looked at to make room for one
)

// front takes clients' connections.
type front struct {
	s      *service
	ln     *net.TCPListener
	budget *budget
	mu     sync.Mutex
	state  *thriftserver.State
	conns  map[thriftserver.ConnID]*client
	last   thriftserver.ConnID
	ended  map[closeReason]uint64 // connections
	idle   time.Duration          // of the connections to come
	stall  time.Duration          // of the connections to come
	done   chan struct{}          // closed once no further connection comes
}

func newFront(s *service, ln *net.TCPListener, b *budget) *front {
	return &front{s: s, ln: ln, budget: b, idle: idleMost, stall: writeWithin,
		state: thriftserver.New(&s.cfg.Module), done: make(chan struct{}),
		conns: map[thriftserver.ConnID]*client{}, ended: map[closeReason]uint64{}}
}

// acceptQueue estimates how long connections may have waited for accept. Danger: what a request has left
// counts from its last byte, and one that waited behind accepts that fail has less than it says.
type acceptQueue struct {
	since time.Time // accepts failed first since the queue was last empty; zero: they did not
}

// accepted takes in how an accept went.
func (q *acceptQueue) accepted(begun, ended time.Time, failed bool) {
	switch {
	case failed && q.since.IsZero():
		q.since = begun
	case !failed && ended.Sub(begun) > acceptWaits:
		q.since = time.Time{} // it waited for a connection: nobody was in line
	}
}

// waited is how long a connection that was just taken may have been in line at most.
func (q *acceptQueue) waited(now time.Time) time.Duration {
	if q.since.IsZero() {
		return 0
	}
	return now.Sub(q.since)
}

// close enters why a connection ends; f.mu is held.
func (f *front) close(why closeReason) {
	f.ended[why]++
	what := eventlog.Closed
	if why == closedByClient {
		what = eventlog.Lost
	}
	f.s.events.Add(eventlog.Event{What: what, Attempt: -1, Why: string(why)})
}

// noReader enters a connection that ends because nothing more can be written to it.
func (f *front) noReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.close(closedNoReader)
}

// closes tells how many connections ended for which reason.
func (f *front) closes() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.ended)
}

// lastCall has what waits for accept be taken, and no more after that.
func (f *front) lastCall() { f.lastCallFor(0) }

func (f *front) lastCallFor(d time.Duration) { f.ln.SetDeadline(time.Now().Add(d)) }

func (f *front) run() {
	defer close(f.done)
	defer f.ln.Close()
	empty := 0  // times in a row that the last call found nobody
	failed := 0 // accepts in a row
	var queue acceptQueue
	for {
		begun := time.Now()
		c, err := f.s.system.accept(f.ln)
		queue.accepted(begun, time.Now(), err != nil)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // the last call
			// Danger: closed at once, the listener would reset connections whose requests are there; and past
			// its deadline, which a busy core may bring before the look, Accept doesn't look for them.
			if empty++; empty > lastLooks || mutated(noLastCall) {
				return
			}
			f.lastCallFor(lastLook)
			continue
		}
		empty = 0
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			f.crowded(muteFor)
		}
		if failed++; err == nil {
			failed = 0
		} else if !oserr.OfOneConnection(err) || failed > acceptMost { // the machine fails for a moment
			time.Sleep(acceptPause)
		}
		if err != nil {
			continue
		}
		cl := &client{f: f, net: c}
		cl.in = bufio.NewReaderSize(&lateReader{net: c, unread: cl.unread, extend: cl.patience}, readAhead)
		if cl.raw, err = c.SyscallConn(); err != nil {
			c.Close()
			continue
		}
		if f.size() >= f.budget.usual && !f.crowded(muteFor) && f.budget.full(f.s.pool.size()) &&
			!f.crowded(pressing) {
			f.s.shut.Add(1)
			f.mu.Lock()
			f.close(closedFull)
			f.mu.Unlock()
			c.Close()
			continue
		}
		cl.empty = f.s.clock()
		if cl.unread() {
			cl.late = max(queue.waited(time.Now()), f.s.stalls.waited(0))
		}
		f.mu.Lock()
		f.last++
		cl.id, cl.idle, cl.stall = f.last, f.idle, f.stall
		f.conns[cl.id] = cl
		f.state.Connect(time.Now(), cl.id)
		f.budget.clients.Store(int32(f.state.Size()))
		f.mu.Unlock()
		go cl.read()
	}
}

// crowded closes a connection to make room. It reports whether there was one that could go.
func (f *front) crowded(mute time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.makeRoom(mute)
}

// makeRoom is crowded; f.mu is held.
func (f *front) makeRoom(mute time.Duration) bool {
	for range roomTries {
		id, ok := f.state.Victim(time.Now(), mute)
		if !ok {
			return false
		}
		c := f.conns[id]
		if c.unread() { // a message is there that its reader has not come to
			f.state.Begin(time.Now(), id)
			continue
		}
		if !f.s.acts.mayClose(f.state.OpenOn(id), closedRoom) {
			return false
		}
		f.forget(id)
		f.s.shut.Add(1)
		f.close(closedRoom)
		c.net.Close()
		return true
	}
	return false
}

// forget takes a connection out of the books and returns what was open on it. f.mu is held.
func (f *front) forget(id thriftserver.ConnID) []*thriftserver.Request {
	delete(f.conns, id)
	open := f.state.Closed(id)
	f.budget.clients.Store(int32(f.state.Size()))
	return open
}

// closeIdle retires the connections on which nothing is open. Danger: a request may be there that its reader
// has not come to yet; looked for under the lock that Begin needs, it is either seen here or comes too late
// to be taken.
func (f *front) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeUnused()
}

// closeUnused is closeIdle; f.mu is held.
func (f *front) closeUnused() {
	for _, id := range f.state.Unused() {
		c := f.conns[id]
		if c.unread() || !f.state.Retire(id) {
			continue
		}
		if f.s.acts.mayClose(f.state.OpenOn(id), closedUnused) {
			f.close(closedUnused)
			c.retire()
		}
	}
}

// finish ends all connections: what is still open is answered first.
func (f *front) finish() {
	f.mu.Lock()
	conns := make([]*client, 0, len(f.conns))
	for _, c := range f.conns {
		conns = append(conns, c)
	}
	f.mu.Unlock()
	for _, c := range conns {
		c.spoilt("the dispatcher ends", closedEnd)
		c.retire()
	}
}

// closeAll closes all connections.
func (f *front) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.net.Close()
	}
}

func (f *front) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Size()
}

// over reports whether no connection is left, and none is to come.
func (f *front) over() bool {
	select {
	case <-f.done: // asked first: what was accepted before is in the books by then
		return f.open() == 0 && f.size() == 0
	default:
		return false
	}
}

// open returns how many requests have no answer yet.
func (f *front) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Open()
}

// get returns a request that has no answer yet; nil: there is none of that id.
func (f *front) get(id cresspass.QueryID) *thriftserver.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Get(id)
}

// answer writes a request's one answer. It returns false where the request has ended already.
func (f *front) answer(id cresspass.QueryID, what eventlog.What, why string,
	message func(seq int32) []byte) bool {
	f.mu.Lock()
	q := f.state.Get(id)
	to, ok := f.state.Answer(time.Now(), id)
	c := f.conns[to.Conn]
	f.mu.Unlock()
	if ok && !f.s.acts.end(q, what == eventlog.Answered) {
		c.written(1) // nothing is
		return false
	}
	if ok {
		if mutated(secondAnswer) && what == eventlog.Answered {
			c.send(message(to.Seq), 0)
		}
		f.s.events.Add(eventlog.Event{What: what, Request: q.Ticket, Attempt: -1, Why: why})
		c.send(message(to.Seq), 1)
	}
	return ok
}

// awaited reports whether a request's client still waits for it, by what lies in its socket. Danger: on a
// full core the reader of a close or a cancel may come after the attempt that it forbids.
func (f *front) awaited(q *thriftserver.Request) bool {
	f.mu.Lock()
	c := f.conns[q.Conn]
	f.mu.Unlock()
	if mutated(noClientLook) {
		c = nil
	}
	for begun := time.Now(); c != nil; time.Sleep(lookAgain) {
		switch c.look() {
		case lookClosed:
			return false
		case lookSilent:
			return f.get(q.ID) != nil
		}
		// Something lies there, which may take the request back: its reader has a moment to come to it.
		if f.get(q.ID) == nil || time.Since(begun) > readerMost {
			break
		}
	}
	return f.get(q.ID) != nil
}

// serve gives a request its result.
func (f *front) serve(id cresspass.QueryID, pages [][]byte) bool {
	return f.answer(id, eventlog.Answered, "", func(seq int32) []byte {
		return thrift.AppendAnswer(nil, "dispatch", seq, true, pages...)
	})
}

// replyError ends a request without a result; later is the come-back time of a refusal, 0: none.
func (f *front) replyError(id cresspass.QueryID, which uint16, later time.Duration, why cresspass.Reason) {
	what := eventlog.Failed
	if which == thrift.Shed {
		what = eventlog.Refused
	}
	f.answer(id, what, string(why), func(seq int32) []byte {
		var fields [][2]string
		if later > 0 {
			fields = append(fields, [2]string{"later", strconv.FormatInt(later.Milliseconds(), 10)})
		}
		return thrift.AppendRaised(nil, "dispatch", seq, which, fields...)
	})
}
