package thriftserver

import "time"

// ConnID names a client's connection; none is used twice.
type ConnID uint64

// conn is what is known of a connection.
type conn struct {
	open        map[int32]*Request // by sequence number
	unwritten   int                // replies that were claimed and have not left
	closing     bool               // nothing further that comes on it is accepted
	sentMessage bool               // a complete message came
	midMessage  bool               // a message has begun to come
	lastActive  time.Time
}

func (c *conn) inUse() bool { return len(c.open) > 0 || c.unwritten > 0 || c.closing }

// Phase says how far a connection is.
type Phase int

// The phases of a connection.
const (
	Serving Phase = iota
	Closing       // nothing further that comes on it is accepted
	Removed
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

// BeginMessage reports that the first byte of a message is there. It returns false where nothing more is
// accepted. Until the last byte has come no request is open, yet a connection that is closed in between
// takes the request with it.
func (r *Registry) BeginMessage(now time.Time, id ConnID) bool {
	c := r.conns[id]
	if c == nil || c.closing {
		return false
	}
	c.midMessage, c.lastActive = true, now
	return true
}

// MidMessage reports whether a message has begun to come on a connection, and not ended.
func (r *Registry) MidMessage(id ConnID) bool {
	c := r.conns[id]
	return c != nil && c.midMessage
}

// EndMalformed ends a connection whose bytes can't be read: all that is open on it is to be replied to with
// FaultReply, and given up. The connection stays until RemoveConn.
func (r *Registry) EndMalformed(id ConnID) (open []*Request) {
	r.Close(id)
	return r.EndOpen(id)
}

// Close has nothing further accepted on a connection, whatever is open on it. It returns false where there is
// none.
func (r *Registry) Close(id ConnID) bool {
	c := r.conns[id]
	if c != nil {
		c.closing = true
	}
	return c != nil
}

// EndOpen ends what is open on a connection, which goes on: all of it is to be replied to.
func (r *Registry) EndOpen(id ConnID) (open []*Request) {
	if c := r.conns[id]; c != nil {
		open = r.endRequests(c)
		c.unwritten += len(open)
	}
	return open
}

// ReadTimedOut reports that nothing more came on a connection in the time for it. A silent one with nothing
// open is retired, one that stopped in the middle of a message is ended as malformed. A client that waits
// for replies says nothing for as long as its queries run, and its connection stays.
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

// Retire has nothing further accepted on a connection that is to be closed. It returns false where the
// connection is in use. A request that comes when its reply can no longer be written must not be forwarded.
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

// UnusedConns returns the connections on which nothing is open, nothing is being written and nothing has
// begun to come.
func (r *Registry) UnusedConns() (ids []ConnID) {
	for id, c := range r.conns {
		if !c.inUse() && !c.midMessage {
			ids = append(ids, id)
		}
	}
	return ids
}

// EvictionCandidate picks the connection to be closed for a new one: one that never sent a message, if it
// had as long as patience to do so, else the one that was silent for longest. One in the middle of a
// message has as long as patience to go on. It returns false where none can be closed.
//
// The newest connections are spared because a first request is just on its way on them, and would fail with
// them; a client that has used its connection before notices the close and connects again.
func (r *Registry) EvictionCandidate(now time.Time, patience time.Duration) (ConnID, bool) {
	var best *conn
	var bestID ConnID
	for id, c := range r.conns {
		if c.inUse() || (!c.sentMessage || c.midMessage) && now.Sub(c.lastActive) < patience {
			continue
		}
		if best == nil || c.evictedBefore(best, id < bestID) {
			best, bestID = c, id
		}
	}
	return bestID, best != nil
}

// evictedBefore orders connections for eviction; older breaks a tie.
func (c *conn) evictedBefore(other *conn, older bool) bool {
	if c.sentMessage != other.sentMessage {
		return !c.sentMessage
	}
	return c.lastActive.Before(other.lastActive) || c.lastActive.Equal(other.lastActive) && older
}
