package pgbackend

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/protocol/pgwire"
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

// TestLookAgainBehindSettings: a query that waits until its engine has taken the session's settings is not
// sent where it may not begin any more by then, and its connection goes on with those settings.
func TestLookAgainBehindSettings(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	p := NewPool(Config{MaxConnections: 4, MaxPrepared: 4})
	defer p.Close()
	e := p.engine("engine")
	c := &conn{pool: p, engine: e, nc: near}
	e.all[c] = struct{}{}
	wrote := make(chan string, 8)
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := far.Read(b)
			if err != nil {
				return
			}
			wrote <- string(b[:n])
		}
	}()
	settings := (&sessionparams.Set{}).With("search_path", "s")
	ended := make(chan Result, 2)
	waits := true
	a := &Attempt{Ask: &enginequery.Ask{Kind: enginequery.Simple, Text: "select 1", Rest: true, Settings: settings},
		Answer: response.New(nil, &response.Budget{}, 0), Priority: -1, Ended: func(r Result) { ended <- r },
		MayBegin: func() (cresspass.Outcome, bool) { return cresspass.Moot, waits }}
	a.Answer.Begin(0)
	c.begin(a)
	<-wrote
	waits = false
	for _, m := range []pgwire.Message{{Type: 'C', Body: []byte("SET\x00")}, {Type: 'Z', Body: []byte("I")}} {
		if err := c.message(m); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case r := <-ended:
		if r.Outcome != cresspass.Moot {
			t.Errorf("%+v", r)
		}
	case b := <-wrote:
		t.Fatalf("written: %q", b)
	}
	if len(e.idle) != 1 || c.have != settings {
		t.Errorf("%d idle connections, want the one with the settings", len(e.idle))
	}
}

// TestOwnMachineFails: a connect that fails by our own machine is made again, and counts against no engine.
func TestOwnMachineFails(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH,
		syscall.ENFILE, syscall.EMFILE} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		fails := 3
		p := NewPool(Config{MaxConnections: 4, ConnectTimeout: 200 * time.Millisecond,
			Control: func(string, string, syscall.RawConn) error {
				if fails--; fails >= 0 {
					return os.NewSyscallError("connect", errno)
				}
				return nil
			}})
		came := make(chan struct{})
		go func() {
			if c, err := ln.Accept(); err == nil {
				close(came)
				c.Close()
			}
		}()
		ended := make(chan Result, 1)
		p.Start(cresspass.EngineID(ln.Addr().String()), &Attempt{Priority: -1,
			Ended: func(r Result) { ended <- r }})
		r := <-ended
		select {
		case <-came:
		default:
			t.Errorf("%v: ended with %v, %s, before a connection came", errno, r.Outcome, r.Message)
		}
		ln.Close()
		p.Close()
	}
}
