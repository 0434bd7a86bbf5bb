// Package thriftserver is the state of all client connections of the platform's front: what each message
// means, which requests are open, who may answer them, and which connection makes room for a new one. It
// does no I/O, and reads no clock.
package thriftserver

import (
	"errors"
	"time"

	"cresspass"
	"cresspass/internal/protocol/thrift"
)

// OpenMost is how many requests may be open on a connection (PROTOCOL, clients to dispatchers).
const OpenMost = 32

// ConnID names a client's connection; none is used twice.
type ConnID uint64

// Request is a client's request that has no answer yet.
type Request struct {
	Terms
	ID    cresspass.QueryID
	Conn  ConnID
	Seq   int32
	Until time.Time // the client waits no longer
}

// Place is where an answer goes.
type Place struct {
	Conn ConnID
	Seq  int32
}

// Verdict is what a message means for its connection.
type Verdict struct {
	Taken *Request        // a request was taken; Event is for the module
	Event cresspass.Event // QueryTaken
	Back  *Request        // its client waits for it no longer
	Say   []byte          // to be written at once
	Bad   bool            // the request itself was at fault; Say tells why
	// with Bad: the request's id, and what was wrong
	Ticket, Why string
	End         bool // nothing further on this connection can be read
}

type conn struct {
	open    map[int32]*Request
	writing int  // answers handed out that are not yet written
	ending  bool // nothing further that comes on it is taken
	spoke   bool // a whole message came
	partly  bool // a message has begun to come
	last    time.Time
}

// State is the state of the front. It is for one goroutine at a time.
type State struct {
	classes map[string]cresspass.Effect
	conns   map[ConnID]*conn
	asks    map[cresspass.QueryID]*Request
	tickets map[string]*Request
	lastID  cresspass.QueryID
	leaving bool
}

// New returns a front without connections.
func New(cfg *cresspass.Config) *State {
	b := &State{classes: map[string]cresspass.Effect{}, conns: map[ConnID]*conn{},
		asks: map[cresspass.QueryID]*Request{}, tickets: map[string]*Request{}}
	for _, c := range cfg.Classes {
		b.classes[c.Name] = c.Effect
	}
	return b
}

// Size returns how many connections there are.
func (b *State) Size() int { return len(b.conns) }

// Open returns how many requests have no answer yet.
func (b *State) Open() int { return len(b.asks) }

// Get returns a request that has no answer yet; nil: there is none of that id.
func (b *State) Get(id cresspass.QueryID) *Request { return b.asks[id] }

// Leave has alive be answered with false from now on.
func (b *State) Leave() { b.leaving = true }

// Leaving reports whether Leave was called.
func (b *State) Leaving() bool { return b.leaving }

// Connect takes a new connection.
func (b *State) Connect(now time.Time, id ConnID) {
	b.conns[id] = &conn{open: map[int32]*Request{}, last: now}
}

// Begin tells that the first byte of a message is there. It returns false where nothing more is taken.
// Danger: until the last byte came nothing is open, yet a connection closed now takes the request with it.
func (b *State) Begin(now time.Time, id ConnID) bool {
	c := b.conns[id]
	if c == nil || c.ending {
		return false
	}
	c.partly, c.last = true, now
	return true
}

// Message is what a frame says.
type Message struct {
	request thrift.Request
	unread  error // why it can't be read
	event   cresspass.Event
	terms   Terms
	fault   error // of the request
}

// Read reads a whole frame, without its length; the message points into it. It looks at nothing that
// changes. Danger: read with the state at hand, a long statement of one client would keep all others waiting.
func (b *State) Read(frame []byte) (m Message) {
	if m.request, m.unread = thrift.ParseRequest(frame); m.unread == nil && m.request.Name == "dispatch" {
		m.event, m.terms, m.fault = read(b.classes, &m.request)
	}
	return m
}

// Message takes a message. Where a request is at fault its client is told why; where the message can't be
// read, or after Spoilt, the connection is at its end. Nothing of the frame is kept.
func (b *State) Message(now time.Time, id ConnID, m Message) (v Verdict) {
	c := b.conns[id]
	if c == nil || c.ending {
		return Verdict{End: true}
	}
	c.spoke, c.partly, c.last = true, false, now
	r, err := &m.request, m.unread
	switch {
	case err != nil && r.Name == "":
		return Verdict{End: true}
	case err != nil:
		c.writing++
		return Verdict{Say: thrift.AppendException(nil, r.Name, r.Seq, 7, err.Error()), End: true}
	case r.Type != thrift.Call && r.Type != thrift.Oneway:
		return Verdict{End: true}
	}
	switch r.Name {
	case "dispatch":
		v.Taken, v.Event, err = b.admit(now, id, c, &m)
		if err != nil {
			v = Verdict{Bad: true, Say: Fault(r.Seq, err.Error()), Ticket: m.terms.Ticket, Why: err.Error()}
		}
	case "cancelRequest":
		if v.Back = c.open[r.Number]; v.Back != nil {
			b.end(c, v.Back)
		}
	case "alive":
		v.Say = thrift.AppendAnswer(nil, r.Name, r.Seq, !b.leaving)
	default:
		v.Say = thrift.AppendException(nil, r.Name, r.Seq, 1, "unknown method")
	}
	if v.Say != nil {
		c.writing++
	}
	return v
}

// Fault is the answer to a request that is itself at fault.
func Fault(seq int32, reason string) []byte {
	return thrift.AppendRaised(nil, "dispatch", seq, thrift.Fault, [2]string{"reason", reason})
}

// admit takes a request into the books, or says why it can't be taken.
func (b *State) admit(now time.Time, id ConnID, c *conn, m *Message) (*Request, cresspass.Event, error) {
	seq, ev, t, err := m.request.Seq, m.event, m.terms, m.fault
	switch {
	case err != nil:
	case c.open[seq] != nil:
		err = errors.New("this number is open already")
	case len(c.open) >= OpenMost:
		err = errors.New("too many requests open on this connection")
	case b.tickets[t.Ticket] != nil:
		// Danger: a compute node knows a query by this id alone, and one would be given the other's rows.
		err = errors.New("txn is open already")
	}
	if err != nil {
		return nil, ev, err
	}
	b.lastID++
	q := &Request{Terms: t, ID: b.lastID, Conn: id, Seq: seq, Until: now.Add(ev.TimeLeft)}
	q.Body = append([]byte(nil), t.Body...) // the frame is used again
	c.open[q.Seq], b.asks[q.ID], b.tickets[q.Ticket] = q, q, q
	ev.Query = q.ID
	return q, ev, nil
}

func (b *State) end(c *conn, q *Request) {
	delete(c.open, q.Seq)
	delete(b.asks, q.ID)
	delete(b.tickets, q.Ticket)
}

// Answer hands out the right to answer a request: it has one answer at most. Written is owed once the answer
// has left. Danger: until then the connection is in use, although nothing may be open on it.
func (b *State) Answer(now time.Time, id cresspass.QueryID) (Place, bool) {
	q := b.asks[id]
	if q == nil {
		return Place{}, false
	}
	c := b.conns[q.Conn]
	b.end(c, q)
	c.writing++
	c.last = now
	return Place{q.Conn, q.Seq}, true
}

// Written tells that so many messages, of those that were handed out for a connection, have left.
func (b *State) Written(now time.Time, id ConnID, n int) {
	if c := b.conns[id]; c != nil {
		c.writing, c.last = c.writing-n, now
	}
}

// Spoilt ends a connection whose bytes can't be read: all that is open on it is to be answered with Fault,
// and given up. The connection stays until Closed.
func (b *State) Spoilt(id ConnID) (open []*Request) {
	if c := b.conns[id]; c != nil {
		open = b.endAll(c)
		c.ending = true
		c.writing += len(open)
	}
	return open
}

// Overdue tells that nothing more came on a connection in the time for it. A silent one with nothing open is
// retired, one that stopped in the middle of a message is Spoilt. Danger: a client that waits for answers
// says nothing, for as long as its queries run, and its connection must stay.
func (b *State) Overdue(id ConnID) (open []*Request, end bool) {
	c := b.conns[id]
	switch {
	case c == nil:
		return nil, true
	case c.partly:
		return b.Spoilt(id), true
	}
	return nil, c.ending || b.Retire(id)
}

// Retire has nothing further taken on a connection that is to be closed. It returns false where the
// connection is in use. Danger: a request that comes after its answers can no longer be written must not be
// sent on.
func (b *State) Retire(id ConnID) bool {
	c := b.conns[id]
	if c == nil || c.inUse() {
		return false
	}
	c.ending = true
	return true
}

// Closed forgets a connection, and returns what was open on it: nobody waits for that any more.
func (b *State) Closed(id ConnID) (open []*Request) {
	if c := b.conns[id]; c != nil {
		open = b.endAll(c)
		delete(b.conns, id)
	}
	return open
}

// OpenOn returns the requests that have no answer on a connection yet.
func (b *State) OpenOn(id ConnID) (open []*Request) {
	if c := b.conns[id]; c != nil {
		for _, q := range c.open {
			open = append(open, q)
		}
	}
	return open
}

// Partly reports whether a message has begun to come on a connection, and not ended.
func (b *State) Partly(id ConnID) bool {
	c := b.conns[id]
	return c != nil && c.partly
}

// Phase says how far a connection is.
type Phase int

// The phases.
const (
	Serving Phase = iota
	Ended         // nothing further that comes on it is taken
	Forgotten
)

// PhaseOf returns a connection's phase.
func (b *State) PhaseOf(id ConnID) Phase {
	switch c := b.conns[id]; {
	case c == nil:
		return Forgotten
	case c.ending:
		return Ended
	}
	return Serving
}

func (b *State) endAll(c *conn) (open []*Request) {
	for _, q := range c.open {
		open = append(open, q)
		b.end(c, q)
	}
	return open
}

// Unused returns the connections on which nothing is open, nothing is being written and nothing has begun to
// come.
func (b *State) Unused() (ids []ConnID) {
	for id, c := range b.conns {
		if !c.inUse() && !c.partly {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *conn) inUse() bool { return len(c.open) > 0 || c.writing > 0 || c.ending }

// Victim picks the connection to be closed for a new one: one that never said anything, if it had as long as
// mute to do so, else the one that was silent for longest. One in the middle of a message has as long as mute
// to go on. It returns false where none can go. Danger: of all
// connections the newest are the ones on which a first request is just on its way, and it fails with them;
// a client that has used its connection notices a close and asks again.
func (b *State) Victim(now time.Time, mute time.Duration) (ConnID, bool) {
	var best *conn
	var which ConnID
	for id, c := range b.conns {
		if c.inUse() || (!c.spoke || c.partly) && now.Sub(c.last) < mute {
			continue
		}
		if best == nil || best.spoke && !c.spoke || best.spoke == c.spoke &&
			(c.last.Before(best.last) || c.last.Equal(best.last) && id < which) {
			best, which = c, id
		}
	}
	return which, best != nil
}
