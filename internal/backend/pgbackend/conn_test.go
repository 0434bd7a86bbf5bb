package pgbackend

import (
	"container/list"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/pgwire"
)

// TestUnstartedAttemptLeavesConnectionReusable: an attempt that is withdrawn, or may no longer start, leaves
// its connection idle in the pool, unless a session holds the connection. If a session's connection went to
// others, their statements would run inside the session's transaction.
func TestUnstartedAttemptLeavesConnectionReusable(t *testing.T) {
	for name, c := range map[string]struct {
		session   bool
		withdrawn bool
	}{
		"withdrawn":                   {false, true},
		"may not start":               {false, false},
		"of a session, withdrawn":     {true, true},
		"of a session, may not start": {true, false},
	} {
		poolEnd, engineEnd := net.Pipe()
		defer poolEnd.Close()
		defer engineEnd.Close()
		p := NewPool(Config{MaxConnections: 4})
		e := p.engineFor("engine")
		conn := &conn{pool: p, engine: e, netConn: poolEnd}
		e.conns[conn] = struct{}{}
		ended := 0
		a := &Attempt{OnEnded: func(Result) { ended++ }}
		if c.session {
			a.Lease = &Lease{}
			a.Lease.acquire(conn)
		}
		if c.withdrawn {
			a.end(Result{Outcome: cresspass.OutcomeCancelled})
		} else {
			a.MayStart = func() (cresspass.Outcome, bool) { return cresspass.OutcomeNotStarted, false }
		}
		if !conn.start(a) {
			t.Errorf("%s: the connection counts as closed", name)
		}
		if idle := len(e.idle) == 1; idle == c.session {
			t.Errorf("%s: idle for others: %v", name, idle)
		}
		if ended != 1 {
			t.Errorf("%s: ended %d times", name, ended)
		}
		delete(e.conns, conn)
		p.Close()
	}
}

// TestMayStartRecheckedAfterSettings: a query that waits until its engine has accepted the session's settings
// is not sent if it may no longer start by then, and its connection stays usable with those settings.
func TestMayStartRecheckedAfterSettings(t *testing.T) {
	c, written := newPipedConn(t)
	settings := (&sessionparams.Set{}).With("search_path", "s")
	ended := make(chan Result, 2)
	mayStart := true
	a := &Attempt{Priority: -1,
		Query: &enginequery.Query{Kind: enginequery.Simple, Text: "select 1", OutsideTransaction: true,
			Settings: settings},
		Response: response.New(nil, &response.BufferBudget{}, 0),
		OnEnded:  func(r Result) { ended <- r },
		MayStart: func() (cresspass.Outcome, bool) { return cresspass.OutcomeNotStarted, mayStart }}
	a.Response.BeginAttempt(0)
	c.start(a)
	<-written
	mayStart = false
	for _, m := range []pgwire.Message{{Type: 'C', Body: []byte("SET\x00")}, {Type: 'Z', Body: []byte("I")}} {
		if err := c.handleMessage(m); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case r := <-ended:
		if r.Outcome != cresspass.OutcomeNotStarted {
			t.Errorf("%+v", r)
		}
	case b := <-written:
		t.Fatalf("written: %q", b)
	}
	if len(c.engine.idle) != 1 || c.settings != settings {
		t.Errorf("%d idle connections, want the one with the settings", len(c.engine.idle))
	}
}

// Guards against a statement that counts as prepared on a connection although its Parse was never sent.
func TestHeldBackStatementIsNotPrepared(t *testing.T) {
	c, written := newPipedConn(t)
	mayStart := false
	execute := func() *Attempt {
		a := &Attempt{Priority: -1,
			Query: &enginequery.Query{Kind: enginequery.Execute, Text: "select 1", OutsideTransaction: true,
				Settings: (&sessionparams.Set{}).With("search_path", "s"), BindBody: make([]byte, 6)},
			Response: response.New(nil, &response.BufferBudget{}, 0),
			OnEnded:  func(Result) {},
			MayStart: func() (cresspass.Outcome, bool) { return cresspass.OutcomeNotStarted, mayStart }}
		a.Response.BeginAttempt(0)
		return a
	}
	first, second := execute(), execute()
	second.Query.Settings = first.Query.Settings
	mayStart = true
	c.start(first)
	<-written
	mayStart = false
	for _, m := range []pgwire.Message{{Type: 'C', Body: []byte("SET\x00")}, {Type: 'Z', Body: []byte("I")}} {
		if err := c.handleMessage(m); err != nil {
			t.Fatal(err)
		}
	}
	mayStart = true
	c.start(second)
	if request := <-written; request[0] != 'P' {
		t.Errorf("the statement is used without having been prepared: %q", request)
	}
}

// Guards against a memory grant that counts as active although the engine rejected it or a rollback undid
// it.
func TestMemoryGrantIsSetAgain(t *testing.T) {
	ready := pgwire.Message{Type: 'Z', Body: []byte("I")}
	for name, messages := range map[string][]pgwire.Message{
		"refused": {{Type: 'E', Body: []byte("SERROR\x00C22023\x00Mno\x00\x00")}, ready,
			{Type: 'C', Body: []byte("SELECT 1\x00")}, ready},
		"rolled back": {{Type: 'C', Body: []byte("SET\x00")}, ready,
			{Type: 'C', Body: []byte("ROLLBACK\x00")}, ready},
	} {
		c, written := newPipedConn(t)
		query := func() *Attempt {
			a := &Attempt{Priority: -1, MemoryMB: 64, Stateful: true,
				Query:    &enginequery.Query{Kind: enginequery.Simple, Text: "select 1"},
				Response: response.New(discardSink{}, &response.BufferBudget{}, 0),
				OnEnded:  func(Result) {},
				Settle:   func(QueryEnd) Disposition { return Disposition{Known: true} }}
			a.Response.BeginAttempt(0)
			return a
		}
		c.start(query())
		<-written
		for _, m := range messages {
			if err := c.handleMessage(m); err != nil {
				t.Fatal(err)
			}
		}
		c.start(query())
		if request := <-written; !strings.Contains(request, "work_mem = '64MB'") {
			t.Errorf("%s: the grant is not set again: %q", name, request)
		}
	}
}

// discardSink discards a response.
type discardSink struct{}

func (discardSink) WritePartial([]byte)           {}
func (discardSink) WriteFinal([]byte, bool)       {}
func (discardSink) WriteVerdict(*verdict.Verdict) {}

// newPipedConn returns a connection to an engine, and a channel of what is written to the engine.
func newPipedConn(t *testing.T) (*conn, <-chan string) {
	t.Helper()
	poolEnd, engineEnd := net.Pipe()
	p := NewPool(Config{MaxConnections: 4, MaxPrepared: 4})
	t.Cleanup(func() {
		poolEnd.Close()
		engineEnd.Close()
		p.Close()
	})
	e := p.engineFor("engine")
	c := &conn{pool: p, engine: e, netConn: poolEnd, preparedByKey: map[string]*list.Element{},
		preparedLRU: list.New()}
	e.conns[c] = struct{}{}
	written := make(chan string, 8)
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := engineEnd.Read(b)
			if err != nil {
				return
			}
			written <- string(b[:n])
		}
	}()
	return c, written
}

// TestLocalDialErrorIsRetried: a dial that fails because of this machine is retried and does not count
// against the engine.
func TestLocalDialErrorIsRetried(t *testing.T) {
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
		accepted := make(chan struct{})
		go func() {
			if c, err := ln.Accept(); err == nil {
				close(accepted)
				c.Close()
			}
		}()
		ended := make(chan Result, 1)
		p.Start(cresspass.EngineID(ln.Addr().String()), &Attempt{Priority: -1,
			OnEnded: func(r Result) { ended <- r }})
		r := <-ended
		select {
		case <-accepted:
		default:
			t.Errorf("%v: ended with %v, %s, before a connection came", errno, r.Outcome, r.Message)
		}
		ln.Close()
		p.Close()
	}
}
