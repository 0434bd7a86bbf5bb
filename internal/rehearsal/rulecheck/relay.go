package rulecheck

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	relayDialTimeout = time.Second
	relayBufferSize  = 32 << 10 // bytes
	resetOnClose     = 0        // seconds for SO_LINGER: closing the connection resets it
)

// Relay forwards the bytes of TCP connections to a target and records them.
type Relay struct {
	recorder   *Recorder
	side       Side
	name       string // the dispatcher's name, or the engine's address in the engine list
	target     string
	flight     bool // the protocol is Flight SQL, not PostgreSQL's
	listener   *net.TCPListener
	mu         sync.Mutex
	conns      map[*net.TCPConn]struct{}
	closed     bool
	background sync.WaitGroup
}

// NewRelay starts a relay that forwards to target, on a free port of 127.0.0.1. name is the dispatcher's
// name, or "" for an engine. The relay of an engine uses its own address as the name, because the engine list
// contains that address.
func (rec *Recorder) NewRelay(side Side, name, target string) (*Relay, error) {
	return rec.newRelay(side, name, target, false)
}

// NewFlightRelay starts a relay that forwards to a dispatcher's address for Flight SQL.
func (rec *Recorder) NewFlightRelay(name, target string) (*Relay, error) {
	return rec.newRelay(Clients, name, target, true)
}

func (rec *Recorder) newRelay(side Side, name, target string, flight bool) (*Relay, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{recorder: rec, flight: flight, side: side, name: name, target: target, listener: ln,
		conns: map[*net.TCPConn]struct{}{}}
	if name == "" {
		r.name = ln.Addr().String()
	}
	r.background.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close stops the relay, closes its connections and waits until their bytes are queued for decoding.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.background.Wait()
}

func (r *Relay) accept() {
	defer r.background.Done()
	for {
		c, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		r.background.Add(1)
		go func() {
			defer r.background.Done()
			r.serve(c)
		}()
	}
}

// trackConn registers a connection that Close closes. It returns false if the relay is closed already.
func (r *Relay) trackConn(c *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

// untrackConns forgets connections that have ended.
func (r *Relay) untrackConns(conns ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// serve relays one connection until both directions have ended.
func (r *Relay) serve(client *net.TCPConn) {
	defer client.Close()
	conn, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		setResetOnClose(client) // as if the target had refused the connection
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	if !r.trackConn(client) || !r.trackConn(server) {
		return
	}
	up, down := newTap(r.recorder), newTap(r.recorder)
	r.recorder.pending.Add(1)
	go func() {
		defer r.recorder.pending.Done()
		if r.flight {
			r.recorder.decodeGRPC(r.name, up, down)
			return
		}
		r.recorder.decodePostgreSQL(r.side, r.name, up, down)
	}()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		pipe(server, client, up, r.side == Engines)
	}()
	go func() {
		defer wg.Done()
		pipe(client, server, down, r.side == Clients)
	}()
	wg.Wait()
	r.untrackConns(client, server)
}

// pipe forwards the bytes of one direction until it ends, and then ends the other connection in the same
// way: closed for writing, or reset. Bytes from the dispatcher are recorded with the time at which they
// arrived, bytes to the dispatcher with the time at which they are forwarded: the dispatcher cannot have read
// them before.
func pipe(to, from *net.TCPConn, t *tap, fromDispatcher bool) {
	reader, err := newArrivalReader(from)
	buf := make([]byte, relayBufferSize)
	for err == nil {
		var n int
		var arrived time.Time
		if n, arrived, err = reader.Read(buf); n > 0 {
			if !fromDispatcher {
				arrived = time.Now()
			}
			// The bytes are recorded before they are forwarded, so that a request is recorded before its
			// answer.
			t.add(arrived, buf[:n])
			_, err = to.Write(buf[:n])
		}
	}
	t.end()
	if errors.Is(err, io.EOF) {
		_ = to.CloseWrite() // fails only on a connection that has ended already
		return
	}
	setResetOnClose(to)
	to.Close()
	from.Close()
}

// setResetOnClose makes a later Close reset the connection.
func setResetOnClose(c *net.TCPConn) {
	_ = c.SetLinger(resetOnClose) // fails only on a connection that has ended already
}
