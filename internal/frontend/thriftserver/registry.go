// Package thriftserver is the server side of the Thrift protocol between clients and dispatchers, without
// its sockets: what each message means, which requests are open, who may reply to them, and which
// connection can be closed for a new one. The Registry owns the state of all client connections and their
// open requests. It does no I/O and reads no clock; admission and routing are the module's.
package thriftserver

import (
	"errors"
	"time"

	"cresspass"
)

// MaxOpenRequests is how many requests may be open on a connection (PROTOCOL, clients to dispatchers).
const MaxOpenRequests = 32

// Why a request is not accepted. Clients read the texts.
var (
	errSeqOpen    = errors.New("this number is open already")
	errTooMany    = errors.New("too many requests open on this connection")
	errTicketOpen = errors.New("txn is open already")
)

// Request is a client's request that has no reply yet.
type Request struct {
	Params
	ID       cresspass.QueryID
	Conn     ConnID
	Seq      int32
	Deadline time.Time // the client waits no longer
}

// ReplyTarget is where a reply goes.
type ReplyTarget struct {
	Conn ConnID
	Seq  int32
}

// Registry holds the client connections and the requests that are open on them. It is for one goroutine at a
// time, except for Decode.
type Registry struct {
	effects  map[string]cresspass.Effect // by class
	conns    map[ConnID]*conn
	requests map[cresspass.QueryID]*Request
	byTicket map[string]*Request
	lastID   cresspass.QueryID
	draining bool
	ending   bool
}

// New returns a registry without connections.
func New(cfg *cresspass.Config) *Registry {
	r := &Registry{effects: map[string]cresspass.Effect{}, conns: map[ConnID]*conn{},
		requests: map[cresspass.QueryID]*Request{}, byTicket: map[string]*Request{}}
	for _, class := range cfg.Classes {
		r.effects[class.Name] = class.Effect
	}
	return r
}

// ConnCount returns how many connections there are.
func (r *Registry) ConnCount() int { return len(r.conns) }

// OpenRequests returns how many requests have no reply yet.
func (r *Registry) OpenRequests() int { return len(r.requests) }

// Lookup returns a request that has no reply yet; nil: there is none of that id.
func (r *Registry) Lookup(id cresspass.QueryID) *Request { return r.requests[id] }

// Drain has alive be answered with false from now on.
func (r *Registry) Drain() { r.draining = true }

// Draining reports whether Drain was called.
func (r *Registry) Draining() bool { return r.draining }

// End has every request rejected that comes from now on: it could not be answered in time.
func (r *Registry) End() { r.ending = true }

// AddConn takes a new connection.
func (r *Registry) AddConn(now time.Time, id ConnID) {
	r.conns[id] = &conn{open: map[int32]*Request{}, lastActive: now}
}

// RemoveConn forgets a connection, and returns what was open on it: nobody waits for that any more.
func (r *Registry) RemoveConn(id ConnID) (open []*Request) {
	if c := r.conns[id]; c != nil {
		open = r.endRequests(c)
		delete(r.conns, id)
	}
	return open
}

// accept opens a request, or says why it can't be accepted.
func (r *Registry) accept(now time.Time, id ConnID, c *conn, m *Message) (*Request, error) {
	seq := m.request.Seq
	switch {
	case m.requestErr != nil:
		return nil, m.requestErr
	case c.open[seq] != nil:
		return nil, errSeqOpen
	case len(c.open) >= MaxOpenRequests:
		return nil, errTooMany
	case r.byTicket[m.params.Ticket] != nil:
		// A compute node knows a query by its ticket alone: of two open ones, one would get the other's rows.
		return nil, errTicketOpen
	}
	r.lastID++
	req := &Request{Params: m.params, ID: r.lastID, Conn: id, Seq: seq,
		Deadline: now.Add(m.event.RemainingDeadline)}
	req.Body = append([]byte(nil), m.params.Body...) // the frame's buffer is used again
	c.open[req.Seq], r.requests[req.ID], r.byTicket[req.Ticket] = req, req, req
	return req, nil
}

func (r *Registry) endRequest(c *conn, req *Request) {
	delete(c.open, req.Seq)
	delete(r.requests, req.ID)
	delete(r.byTicket, req.Ticket)
}

func (r *Registry) endRequests(c *conn) (open []*Request) {
	for _, req := range c.open {
		open = append(open, req)
		r.endRequest(c, req)
	}
	return open
}

// ClaimReply hands out the right to reply to a request, which has one reply at most. RepliesWritten is owed
// once the reply has left; until then the connection is in use, although no request may be open on it.
func (r *Registry) ClaimReply(now time.Time, id cresspass.QueryID) (ReplyTarget, bool) {
	req := r.requests[id]
	if req == nil {
		return ReplyTarget{}, false
	}
	c := r.conns[req.Conn]
	r.endRequest(c, req)
	c.unwritten++
	c.lastActive = now
	return ReplyTarget{req.Conn, req.Seq}, true
}

// RepliesWritten reports that so many replies, of those that were claimed for a connection, have left.
func (r *Registry) RepliesWritten(now time.Time, id ConnID, n int) {
	if c := r.conns[id]; c != nil {
		c.unwritten, c.lastActive = c.unwritten-n, now
	}
}
