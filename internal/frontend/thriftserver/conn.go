package thriftserver

import "time"

// ConnID identifies a client's connection. An id is not reused.
type ConnID uint64

// conn is the state of a connection.
type conn struct {
	open        map[int32]*Request // by sequence number
	unwritten   int                // replies that were claimed and not written yet
	closing     bool               // no further messages are accepted
	sentMessage bool               // a complete message has arrived
	midMessage  bool               // a message has begun to arrive and is not handled yet
	lastActive  time.Time          // of the last message or reply, or else of the registration
}

func (c *conn) inUse() bool { return len(c.open) > 0 || c.unwritten > 0 || c.closing }

// Phase is a phase in the life of a connection.
type Phase int

// The phases of a connection.
const (
	Serving Phase = iota // messages are accepted
	Closing              // no further messages are accepted
	Removed              // not in the registry
)

// PhaseOf returns a connection's phase.
func (r *Registry) PhaseOf(id ConnID) Phase {
	switch c := r.conns[id]; {
	case c == nil:
		return Removed
	case c.closing:
		return Closing
	}
	return Serving
}

// BeginMessage records that the first byte of a message has arrived. It returns false if no further messages
// are accepted. Until the last byte arrives no request is open, but closing the connection would still lose
// the request.
func (r *Registry) BeginMessage(now time.Time, id ConnID) bool {
	c := r.conns[id]
	if c == nil || c.closing {
		return false
	}
	c.midMessage, c.lastActive = true, now
	return true
}

// MidMessage reports whether a message has begun to arrive on a connection and is not handled yet.
func (r *Registry) MidMessage(id ConnID) bool {
	c := r.conns[id]
	return c != nil && c.midMessage
}

// EndMalformed closes a connection whose input is malformed, and returns its open requests. The caller must
// reply to them with FaultReply and cancel them. The connection stays registered until RemoveConn.
func (r *Registry) EndMalformed(id ConnID) (open []*Request) {
	r.Close(id)
	return r.EndOpen(id)
}

// Close makes the registry accept no further messages on a connection, even if requests are open on it. It
// returns false if there is no such connection.
func (r *Registry) Close(id ConnID) bool {
	c := r.conns[id]
	if c != nil {
		c.closing = true
	}
	return c != nil
}

// EndOpen ends the open requests of a connection and returns them. The caller must reply to them. The
// connection itself stays open.
func (r *Registry) EndOpen(id ConnID) (open []*Request) {
	if c := r.conns[id]; c != nil {
		open = r.endRequests(c)
		c.unwritten += len(open)
	}
	return open
}

// ReadTimedOut handles a connection on which nothing more arrived in time. If its client stopped in the
// middle of a message, the connection is ended as malformed. If it is not in use, it is retired. If its
// client waits for replies it stays, because such a client sends nothing while its queries run. ReadTimedOut
// returns the requests that it ended, and whether the connection is closing or not registered.
func (r *Registry) ReadTimedOut(id ConnID) (open []*Request, end bool) {
	c := r.conns[id]
	switch {
	case c == nil:
		return nil, true
	case c.midMessage:
		return r.EndMalformed(id), true
	}
	return nil, c.closing || r.Retire(id)
}

// Retire makes the registry accept no further messages on a connection that is to be closed: a request that
// arrives when its reply can no longer be written must not be forwarded. It returns false, and changes
// nothing, if the connection is in use.
func (r *Registry) Retire(id ConnID) bool {
	c := r.conns[id]
	if c == nil || c.inUse() {
		return false
	}
	c.closing = true
	return true
}

// OpenRequestsOn returns the requests on a connection that have no reply yet.
func (r *Registry) OpenRequestsOn(id ConnID) (open []*Request) {
	if c := r.conns[id]; c != nil {
		for _, req := range c.open {
			open = append(open, req)
		}
	}
	return open
}

// UnusedConns returns the connections that are not closing and have no open request, no unwritten reply and
// no message that has begun to arrive.
func (r *Registry) UnusedConns() (ids []ConnID) {
	for id, c := range r.conns {
		if !c.inUse() && !c.midMessage {
			ids = append(ids, id)
		}
	}
	return ids
}

// EvictionCandidate picks the connection to close for a new one: preferably one that never sent a message,
// else the one that has been silent for longest. A connection without a message yet, or in the middle of one,
// is spared until it has been silent for as long as grace. It returns false if no connection can be closed.
//
// The newest connections are spared because their first request may be in transit, and would be lost with
// them. A client that has used its connection before notices the close and connects again.
func (r *Registry) EvictionCandidate(now time.Time, grace time.Duration) (ConnID, bool) {
	var best *conn
	var bestID ConnID
	for id, c := range r.conns {
		if c.inUse() || (!c.sentMessage || c.midMessage) && now.Sub(c.lastActive) < grace {
			continue
		}
		if best == nil || c.evictedBefore(best, id < bestID) {
			best, bestID = c, id
		}
	}
	return bestID, best != nil
}

// evictedBefore reports whether c is evicted before other. older means that c was registered before other; it
// decides if both have been silent for equally long.
func (c *conn) evictedBefore(other *conn, older bool) bool {
	if c.sentMessage != other.sentMessage {
		return !c.sentMessage
	}
	return c.lastActive.Before(other.lastActive) || c.lastActive.Equal(other.lastActive) && older
}
