package server_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/discovery/eds"
)

// gatedProxy accepts connections for an engine and forwards them only once opened is closed.
type gatedProxy struct {
	net.Listener
	arrivals chan struct{} // receives one value for each connection
	opened   chan struct{} // connections are forwarded once it is closed
}

// newGatedProxy returns a proxy for an engine's address that does not forward connections yet.
func newGatedProxy(t *testing.T, engine string) *gatedProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gatedProxy{ln, make(chan struct{}, 16), make(chan struct{})}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.arrivals <- struct{}{}
			go g.forward(c, engine)
		}
	}()
	return g
}

// forward connects a connection with the engine once the proxy is opened.
func (g *gatedProxy) forward(c net.Conn, engine string) {
	defer c.Close()
	<-g.opened
	upstream, err := net.Dial("tcp", engine)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() { _, _ = io.Copy(c, upstream) }() // ends with the connection
	_, _ = io.Copy(upstream, c)
}

// TestStaleStatementIsNotSent checks that a statement that waits for an engine connection is not sent if
// meanwhile its client has left, or its engine drains and the grace is over. The statement changes data: once
// sent, it would run to completion.
func TestStaleStatementIsNotSent(t *testing.T) {
	for name, invalidate := range map[string]func(t *testing.T, w *pendingStatement){
		"its client has gone": func(t *testing.T, w *pendingStatement) { w.client.conn.Close() },
		"its engine drains":   func(t *testing.T, w *pendingStatement) { w.drain() },
	} {
		t.Run(name, func(t *testing.T) {
			r, s := startDispatcher(t, 1, strings.Replace(baseSettings, `drain_grace = "500ms"`,
				`drain_grace = "100ms"`, 1))
			g := newGatedProxy(t, r.Engines[0].Addr())
			address := g.Addr().String()
			r.UpdateEngine(0, func(e *eds.Engine) { e.Address = address })
			eventually(t, "the proxy is on the list", func() bool { return s.EngineActive(address) })
			w := &pendingStatement{client: dialServer(t, s), drain: func() {
				r.UpdateEngine(0, func(e *eds.Engine) { e.State = eds.StateDraining })
				eventually(t, "the drain is known", func() bool { return !s.EngineActive(address) })
				time.Sleep(200 * time.Millisecond) // the grace is over
			}}
			w.client.send(&pgproto3.Query{String: "insert into t select 1"})
			<-g.arrivals
			invalidate(t, w)
			eventually(t, "the dispatcher knows", func() bool {
				return name != "its client has gone" || s.Clients() == 0
			})
			close(g.opened)
			eventually(t, "nothing is in flight", func() bool { return s.Stats().Running == 0 })
			if runs := r.Engines[0].Runs(); len(runs) != 0 {
				t.Errorf("%d statements were sent: %+v", len(runs), runs[0])
			}
		})
	}
}

// pendingStatement is a statement that waits for its engine connection.
type pendingStatement struct {
	client *wireClient
	drain  func()
}
