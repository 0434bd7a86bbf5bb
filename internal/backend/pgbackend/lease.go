package pgbackend

import (
	"sync"
	"time"

	"cresspass"
)

// Lease is the hold of a client's session on one engine connection. The zero value holds none.
type Lease struct {
	OnLost  func()                     // the connection was lost while no query of the session ran
	OnDrain func(within time.Duration) // the engine drains

	mu     sync.Mutex
	conn   *conn
	ended  bool // the session has ended
	engine cresspass.EngineID
}

// Engine returns the engine that the session is on; "": none.
func (l *Lease) Engine() cresspass.EngineID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine
}

// Close ends the hold of a session that is over, and closes the connection. Only a closed connection is sure
// to be rolled back by the engine and to leave nothing of the session to the next.
func (l *Lease) Close() {
	l.mu.Lock()
	c := l.conn
	l.conn, l.engine, l.ended = nil, "", true
	l.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// acquire makes a connection the session's. It returns false where the session has ended.
func (l *Lease) acquire(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.conn, l.engine = c, c.engine.id
	return true
}

// release gives the connection up.
func (l *Lease) release() {
	l.mu.Lock()
	l.conn, l.engine = nil, ""
	l.mu.Unlock()
}

// connection returns the connection that the session is on; nil: none.
func (l *Lease) connection() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}
