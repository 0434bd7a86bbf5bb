package backend

import (
	"net"
	"testing"

	"cresspass"
)

// TestWithdrawnBeforeItBegins: a statement that is withdrawn, or may not begin any more, leaves its
// connection idle for others; that of a session stays the session's. Given to others, their statements
// would run inside its transaction.
func TestWithdrawnBeforeItBegins(t *testing.T) {
	for name, c := range map[string]struct {
		session   bool
		withdrawn bool
	}{
		"withdrawn":                     {false, true},
		"not to begin":                  {false, false},
		"of a session, withdrawn":       {true, true},
		"of a session and not to begin": {true, false},
	} {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		p := NewPool(Config{MaxConnections: 4})
		e := p.engine("engine")
		conn := &conn{pool: p, engine: e, nc: near}
		e.all[conn] = struct{}{}
		ended := 0
		a := &Attempt{Ended: func(Result) { ended++ }}
		if c.session {
			a.Lease = &Lease{}
			a.Lease.hold(conn)
		}
		if c.withdrawn {
			a.end(Result{Outcome: cresspass.Cancelled})
		} else {
			a.MayBegin = func() (cresspass.Outcome, bool) { return cresspass.Moot, false }
		}
		if !conn.begin(a) {
			t.Errorf("%s: the connection counts as closed", name)
		}
		if idle := len(e.idle) == 1; idle == c.session {
			t.Errorf("%s: idle for others: %v", name, idle)
		}
		if ended != 1 {
			t.Errorf("%s: ended %d times", name, ended)
		}
		delete(e.all, conn)
		p.Close()
	}
}
