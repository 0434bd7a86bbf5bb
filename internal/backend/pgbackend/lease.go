package pgbackend

import (
	"sync"
	"time"

	"cresspass"
)

// Lease ties a client's session to one engine connection. The zero value has no connection. Its methods may
// be called from several goroutines; the callbacks are set before the first use.
type Lease struct {
	OnLost  func()                     // called when the connection is lost while no query runs
	OnDrain func(within time.Duration) // called when the engine drains
	// OnParameterStatus is called with the body of a ParameterStatus that comes after the client has received
	// an error in place of the engine's answer. It may be nil.
	OnParameterStatus func(body []byte)

	mu     sync.Mutex
	conn   *conn
	ended  bool // the session has ended
	engine cresspass.EngineID
}

// Engine returns the engine whose connection the session holds, or "" if it holds none.
func (l *Lease) Engine() cresspass.EngineID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine
}

// Close ends the lease of a session that has ended, and closes the connection. Only closing it ensures that
// the engine rolls back an open transaction and that no state of this session reaches the next one.
func (l *Lease) Close() {
	l.mu.Lock()
	c := l.conn
	l.conn, l.engine, l.ended = nil, "", true
	l.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// acquire assigns a connection to the session. It returns false if the session has ended.
func (l *Lease) acquire(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.conn, l.engine = c, c.engine.id
	return true
}

// release detaches the session from its connection, which stays open.
func (l *Lease) release() {
	l.mu.Lock()
	l.conn, l.engine = nil, ""
	l.mu.Unlock()
}

// connection returns the connection that the session holds, or nil.
func (l *Lease) connection() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}
