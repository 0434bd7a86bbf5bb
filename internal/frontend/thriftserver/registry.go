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

// MaxOpenRequests is how many requests may be open on a connection (PROTOCOL, clients to dispatchers).
const MaxOpenRequests = 32

// ConnID names a client's connection; none is used twice.
type ConnID uint64

// Request is a client's request that has no answer yet.
type Request struct {
	Params
	ID       cresspass.QueryID
	Conn     ConnID
	Seq      int32
	Deadline time.Time // the client waits no longer
}

// ReplyTarget is where an answer goes.
type ReplyTarget struct {
	Conn ConnID
	Seq  int32
}

// MessageResult is what a message means for its connection.
type MessageResult struct {
	Accepted  *Request        // a request was taken; Event is for the module
	Event     cresspass.Event // QueryTaken
	Cancelled *Request        // its client waits for it no longer
	Reply     []byte          // to be written at once
	Invalid   bool            // the request itself was at fault; Say tells why
	// with Bad: the request's id, and what was wrong
	Ticket, Reason string
	EndOfInput     bool // nothing further on this connection can be read
}

type conn struct {
	open        map[int32]*Request
	unwritten   int  // answers handed out that are not yet written
	closing     bool // nothing further that comes on it is taken
	sentMessage bool // a whole message came
	midMessage  bool // a message has begun to come
	lastActive  time.Time
}

// Registry is the state of the front. It is for one goroutine at a time.
type Registry struct {
	effects  map[string]cresspass.Effect
	conns    map[ConnID]*conn
	requests map[cresspass.QueryID]*Request
	byTicket map[string]*Request
	lastID   cresspass.QueryID
	draining bool
}

// New returns a front without connections.
func New(cfg *cresspass.Config) *Registry {
	b := &Registry{effects: map[string]cresspass.Effect{}, conns: map[ConnID]*conn{},
		requests: map[cresspass.QueryID]*Request{}, byTicket: map[string]*Request{}}
	for _, c := range cfg.Classes {
		b.effects[c.Name] = c.Effect
	}
	return b
}

// ConnCount returns how many connections there are.
func (b *Registry) ConnCount() int { return len(b.conns) }

// OpenRequests returns how many requests have no answer yet.
func (b *Registry) OpenRequests() int { return len(b.requests) }

// Lookup returns a request that has no answer yet; nil: there is none of that id.
func (b *Registry) Lookup(id cresspass.QueryID) *Request { return b.requests[id] }

// Drain has alive be answered with false from now on.
func (b *Registry) Drain() { b.draining = true }

// Draining reports whether Leave was called.
func (b *Registry) Draining() bool { return b.draining }

// AddConn takes a new connection.
func (b *Registry) AddConn(now time.Time, id ConnID) {
	b.conns[id] = &conn{open: map[int32]*Request{}, lastActive: now}
}

// BeginMessage tells that the first byte of a message is there. It returns false where nothing more is taken.
// Danger: until the last byte came nothing is open, yet a connection closed now takes the request with it.
func (b *Registry) BeginMessage(now time.Time, id ConnID) bool {
	c := b.conns[id]
	if c == nil || c.closing {
		return false
	}
	c.midMessage, c.lastActive = true, now
	return true
}

// Message is what a frame says.
type Message struct {
	request    thrift.Request
	decodeErr  error // why it can't be read
	event      cresspass.Event
	params     Params
	requestErr error // of the request
}

// Decode reads a whole frame, without its length; the message points into it. It looks at nothing that
// changes. Danger: read with the state at hand, a long statement of one client would keep all others waiting.
func (b *Registry) Decode(frame []byte) (m Message) {
	if m.request, m.decodeErr = thrift.ParseRequest(frame); m.decodeErr == nil &&
		m.request.Name == "dispatch" {
		m.event, m.params, m.requestErr = parseParams(b.effects, &m.request)
	}
	return m
}

// HandleMessage takes a message. Where a request is at fault its client is told why; where the message can't
// be read, or after Spoilt, the connection is at its end. Nothing of the frame is kept.
func (b *Registry) HandleMessage(now time.Time, id ConnID, m Message) (v MessageResult) {
	c := b.conns[id]
	if c == nil || c.closing {
		return MessageResult{EndOfInput: true}
	}
	c.sentMessage, c.midMessage, c.lastActive = true, false, now
	r, err := &m.request, m.decodeErr
	switch {
	case err != nil && r.Name == "":
		return MessageResult{EndOfInput: true}
	case err != nil:
		c.unwritten++
		return MessageResult{
			Reply:      thrift.AppendApplicationException(nil, r.Name, r.Seq, 7, err.Error()),
			EndOfInput: true,
		}
	case r.Type != thrift.Call && r.Type != thrift.Oneway:
		return MessageResult{EndOfInput: true}
	}
	switch r.Name {
	case "dispatch":
		v.Accepted, v.Event, err = b.accept(now, id, c, &m)
		if err != nil {
			v = MessageResult{
				Invalid: true,
				Reply:   FaultReply(r.Seq, err.Error()),
				Ticket:  m.params.Ticket,
				Reason:  err.Error(),
			}
		}
	case "cancelRequest":
		if v.Cancelled = c.open[r.CancelSeq]; v.Cancelled != nil {
			b.endRequest(c, v.Cancelled)
		}
	case "alive":
		v.Reply = thrift.AppendAnswer(nil, r.Name, r.Seq, !b.draining)
	default:
		v.Reply = thrift.AppendApplicationException(nil, r.Name, r.Seq, 1, "unknown method")
	}
	if v.Reply != nil {
		c.unwritten++
	}
	return v
}

// FaultReply is the answer to a request that is itself at fault.
func FaultReply(seq int32, reason string) []byte {
	return thrift.AppendDeclaredException(
		nil,
		"dispatch",
		seq,
		thrift.FaultException,
		[2]string{"reason", reason},
	)
}

// accept takes a request into the books, or says why it can't be taken.
func (b *Registry) accept(now time.Time, id ConnID, c *conn, m *Message) (*Request, cresspass.Event, error) {
	seq, ev, t, err := m.request.Seq, m.event, m.params, m.requestErr
	switch {
	case err != nil:
	case c.open[seq] != nil:
		err = errors.New("this number is open already")
	case len(c.open) >= MaxOpenRequests:
		err = errors.New("too many requests open on this connection")
	case b.byTicket[t.Ticket] != nil:
		// Danger: a compute node knows a query by this id alone, and one would be given the other's rows.
		err = errors.New("txn is open already")
	}
	if err != nil {
		return nil, ev, err
	}
	b.lastID++
	q := &Request{Params: t, ID: b.lastID, Conn: id, Seq: seq, Deadline: now.Add(ev.RemainingDeadline)}
	q.Body = append([]byte(nil), t.Body...) // the frame is used again
	c.open[q.Seq], b.requests[q.ID], b.byTicket[q.Ticket] = q, q, q
	ev.Query = q.ID
	return q, ev, nil
}

func (b *Registry) endRequest(c *conn, q *Request) {
	delete(c.open, q.Seq)
	delete(b.requests, q.ID)
	delete(b.byTicket, q.Ticket)
}

// ClaimReply hands out the right to answer a request: it has one answer at most. Written is owed once the
// answer has left. Danger: until then the connection is in use, although nothing may be open on it.
func (b *Registry) ClaimReply(now time.Time, id cresspass.QueryID) (ReplyTarget, bool) {
	q := b.requests[id]
	if q == nil {
		return ReplyTarget{}, false
	}
	c := b.conns[q.Conn]
	b.endRequest(c, q)
	c.unwritten++
	c.lastActive = now
	return ReplyTarget{q.Conn, q.Seq}, true
}

// RepliesWritten tells that so many messages, of those that were handed out for a connection, have left.
func (b *Registry) RepliesWritten(now time.Time, id ConnID, n int) {
	if c := b.conns[id]; c != nil {
		c.unwritten, c.lastActive = c.unwritten-n, now
	}
}

// EndMalformed ends a connection whose bytes can't be read: all that is open on it is to be answered with
// Fault, and given up. The connection stays until Closed.
func (b *Registry) EndMalformed(id ConnID) (open []*Request) {
	if c := b.conns[id]; c != nil {
		open = b.endRequests(c)
		c.closing = true
		c.unwritten += len(open)
	}
	return open
}

// ReadTimedOut tells that nothing more came on a connection in the time for it. A silent one with nothing
// open is retired, one that stopped in the middle of a message is Spoilt. Danger: a client that waits for
// answers says nothing, for as long as its queries run, and its connection must stay.
func (b *Registry) ReadTimedOut(id ConnID) (open []*Request, end bool) {
	c := b.conns[id]
	switch {
	case c == nil:
		return nil, true
	case c.midMessage:
		return b.EndMalformed(id), true
	}
	return nil, c.closing || b.Retire(id)
}

// Retire has nothing further taken on a connection that is to be closed. It returns false where the
// connection is in use. Danger: a request that comes after its answers can no longer be written must not be
// sent on.
func (b *Registry) Retire(id ConnID) bool {
	c := b.conns[id]
	if c == nil || c.inUse() {
		return false
	}
	c.closing = true
	return true
}

// RemoveConn forgets a connection, and returns what was open on it: nobody waits for that any more.
func (b *Registry) RemoveConn(id ConnID) (open []*Request) {
	if c := b.conns[id]; c != nil {
		open = b.endRequests(c)
		delete(b.conns, id)
	}
	return open
}

// OpenRequestsOn returns the requests that have no answer on a connection yet.
func (b *Registry) OpenRequestsOn(id ConnID) (open []*Request) {
	if c := b.conns[id]; c != nil {
		for _, q := range c.open {
			open = append(open, q)
		}
	}
	return open
}

// MidMessage reports whether a message has begun to come on a connection, and not ended.
func (b *Registry) MidMessage(id ConnID) bool {
	c := b.conns[id]
	return c != nil && c.midMessage
}

// Phase says how far a connection is.
type Phase int

// The phases.
const (
	Serving Phase = iota
	Closing       // nothing further that comes on it is taken
	Removed
)

// PhaseOf returns a connection's phase.
func (b *Registry) PhaseOf(id ConnID) Phase {
	switch c := b.conns[id]; {
	case c == nil:
		return Removed
	case c.closing:
		return Closing
	}
	return Serving
}

func (b *Registry) endRequests(c *conn) (open []*Request) {
	for _, q := range c.open {
		open = append(open, q)
		b.endRequest(c, q)
	}
	return open
}

// UnusedConns returns the connections on which nothing is open, nothing is being written and nothing has
// begun to come.
func (b *Registry) UnusedConns() (ids []ConnID) {
	for id, c := range b.conns {
		if !c.inUse() && !c.midMessage {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *conn) inUse() bool { return len(c.open) > 0 || c.unwritten > 0 || c.closing }

// EvictionCandidate picks the connection to be closed for a new one: one that never said anything, if it had
// as long as mute to do so, else the one that was silent for longest. One in the middle of a message has as
// long as mute to go on. It returns false where none can go. Danger: of all connections the newest are the
// ones on which a first request is just on its way, and it fails with them; a client that has used its
// connection notices a close and asks again.
func (b *Registry) EvictionCandidate(now time.Time, mute time.Duration) (ConnID, bool) {
	var best *conn
	var which ConnID
	for id, c := range b.conns {
		if c.inUse() || (!c.sentMessage || c.midMessage) && now.Sub(c.lastActive) < mute {
			continue
		}
		if best == nil || best.sentMessage && !c.sentMessage || best.sentMessage == c.sentMessage &&
			(c.lastActive.Before(best.lastActive) || c.lastActive.Equal(best.lastActive) && id < which) {
			best, which = c, id
		}
	}
	return which, best != nil
}
