// Package thriftserver is the server side of the Thrift protocol between clients and dispatchers, without its
// sockets: it interprets messages, tracks open requests, decides who may reply to them, and picks connections
// to close for new ones. The Registry owns the state of all client connections and their open requests. It
// does no I/O and reads no clock. Admission and routing belong to the module.
package thriftserver

import (
	"errors"
	"time"

	"cresspass"
	"cresspass/internal/bytebudget"
)

// MaxOpenRequests is how many requests may be open on a connection (PROTOCOL, clients to dispatchers).
const MaxOpenRequests = 32

// Errors of requests that are not accepted. Clients receive the texts.
var (
	errSeqOpen     = errors.New("this number is open already")
	errTooManyOpen = errors.New("too many requests open on this connection")
	errTicketOpen  = errors.New("txn is open already")
	errTicketUsed  = errors.New("txn was sent to a compute node before")
)

// Request is a client's request that has no reply yet.
type Request struct {
	Params
	ID       cresspass.QueryID
	Conn     ConnID
	Seq      int32
	Deadline time.Time               // until which the client waits
	Memory   *bytebudget.Reservation // what the request may hold; the registry releases it with the request
}

// ReplyTarget is the connection and the sequence number of a reply.
type ReplyTarget struct {
	Conn ConnID
	Seq  int32
}

// Registry holds the client connections and the requests that are open on them. Except for Decode, its
// methods must not be called concurrently.
type Registry struct {
	effects   map[string]cresspass.Effect // by class
	conns     map[ConnID]*conn
	requests  map[cresspass.QueryID]*Request // all open requests
	byTicket  map[string]*Request            // all open requests, by ticket
	tickets   ticketHistory
	lastID    cresspass.QueryID
	draining  bool // calls of the method alive are answered with false
	rejectNew bool // all new requests are rejected
}

// New returns a registry without connections, for the classes of a configuration.
func New(cfg *cresspass.Config) *Registry {
	r := &Registry{effects: map[string]cresspass.Effect{}, conns: map[ConnID]*conn{},
		requests: map[cresspass.QueryID]*Request{}, byTicket: map[string]*Request{},
		tickets: newTicketHistory()}
	for _, class := range cfg.Classes {
		r.effects[class.Name] = class.Effect
	}
	return r
}

// ConnCount returns how many connections are registered.
func (r *Registry) ConnCount() int { return len(r.conns) }

// OpenRequests returns how many requests have no reply yet.
func (r *Registry) OpenRequests() int { return len(r.requests) }

// Lookup returns the open request with an id, or nil if there is none.
func (r *Registry) Lookup(id cresspass.QueryID) *Request { return r.requests[id] }

// Drain makes the method alive answer false from now on.
func (r *Registry) Drain() { r.draining = true }

// Draining reports whether Drain was called.
func (r *Registry) Draining() bool { return r.draining }

// RejectNew makes the registry reject every further request, because none could be answered in time.
func (r *Registry) RejectNew() { r.rejectNew = true }

// AddConn registers a new connection.
func (r *Registry) AddConn(now time.Time, id ConnID) {
	r.conns[id] = &conn{open: map[int32]*Request{}, lastActive: now}
}

// RemoveConn removes a connection and returns its open requests, which no client waits for any more.
func (r *Registry) RemoveConn(id ConnID) (open []*Request) {
	if c := r.conns[id]; c != nil {
		open = r.endRequests(c)
		delete(r.conns, id)
	}
	return open
}

// accept opens a request, or returns as an error why the request is not accepted.
func (r *Registry) accept(now time.Time, id ConnID, c *conn, m *Message) (*Request, error) {
	seq := m.request.Seq
	switch {
	case m.requestErr != nil:
		return nil, m.requestErr
	case c.open[seq] != nil:
		return nil, errSeqOpen
	case len(c.open) >= MaxOpenRequests:
		return nil, errTooManyOpen
	case r.byTicket[m.params.Ticket] != nil:
		// A compute node identifies a query only by its ticket: with two open requests of one ticket, one
		// would get the other's rows.
		return nil, errTicketOpen
	case r.tickets.used(parseTicket(m.params.Ticket)):
		// The request's client has left, or it has been answered.
		return nil, errTicketUsed
	}
	r.lastID++
	req := &Request{Params: m.params, ID: r.lastID, Conn: id, Seq: seq,
		Deadline: now.Add(m.event.RemainingDeadline), Memory: m.Memory}
	c.open[req.Seq], r.requests[req.ID], r.byTicket[req.Ticket] = req, req, req
	return req, nil
}

// BeginAttempt records that an attempt of a request is sent. It returns false if the request has ended: then
// the attempt must not be sent. From then on, no other request of the ticket is accepted. EndAttempt must
// follow if BeginAttempt returns true.
func (r *Registry) BeginAttempt(req *Request) bool {
	if r.requests[req.ID] != req {
		return false
	}
	r.tickets.begin(parseTicket(req.Ticket))
	return true
}

// EndAttempt records that an attempt is over, and whether its query may have run.
func (r *Registry) EndAttempt(req *Request, mayHaveRun bool) {
	r.tickets.end(parseTicket(req.Ticket), r.effects[req.Class], mayHaveRun)
}

// endRequest removes an open request.
func (r *Registry) endRequest(c *conn, req *Request) {
	req.Memory.Release()
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

// ClaimReply ends an open request and returns where to send its only reply. It returns false if no request
// with that id is open. The caller must call RepliesWritten once the reply is written; until then the
// connection is in use, even if no request is open on it.
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

// RepliesWritten records that n of the replies that were claimed for a connection have been written.
func (r *Registry) RepliesWritten(now time.Time, id ConnID, n int) {
	if c := r.conns[id]; c != nil {
		c.unwritten, c.lastActive = c.unwritten-n, now
	}
}
