package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// idleAfter is the time without data after which a connection counts as idle. It is longer than a long
	// poll.
	idleAfter = 300 * time.Millisecond

	proxyBufferBytes = 16 << 10
)

// linkMode is how a link forwards data.
type linkMode int

// The modes of a link.
const (
	linkHealthy linkMode = iota
	linkDelay            // every piece of data arrives late
	linkBytes            // data is written one byte at a time
	linkCut              // data is discarded, on new connections too, and the server's close is not passed on
	linkReset            // a connection is reset after half of its next data
)

// proxy is a link. It accepts connections on a port of its own and forwards bytes between them and its target
// according to its mode. It calls tap with everything that the client writes, before the mode takes effect.
// It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string
	tap      func(connection int, now time.Time, b []byte)

	mu         sync.Mutex
	mode       linkMode
	delay      time.Duration
	conns      map[int]*proxiedConn
	lastID     int
	background sync.WaitGroup
}

// proxiedConn is a connection through a link.
type proxiedConn struct {
	client, server net.Conn
	silenced       bool      // all data is discarded from now on
	lastUsed       time.Time // when data last arrived
}

func newProxy(target string, tap func(connection int, now time.Time, b []byte)) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, tap: tap, conns: map[int]*proxiedConn{}}
	p.background.Go(p.run)
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.background.Go(func() { p.serve(client) })
	}
}

// serve connects a client to the target and copies bytes both ways until both directions have ended.
func (p *proxy) serve(client net.Conn) {
	c := &proxiedConn{client: client, lastUsed: time.Now()}
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.conns[id] = c
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, id)
		p.mu.Unlock()
		client.Close()
	}()
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	p.mu.Lock()
	c.server = server
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyFromClient(id, c) })
	both.Go(func() { p.copyFromServer(c) })
	both.Wait()
}

// copyFromClient copies from the client to the server and calls the tap.
func (p *proxy) copyFromClient(id int, c *proxiedConn) {
	err := p.copyDirection(c, c.client, c.server, func(b []byte) {
		if p.tap != nil {
			p.tap(id, time.Now(), b)
		}
	})
	if err != nil {
		propagateClose(c.server, err)
	}
}

// copyFromServer copies from the server to the client. It does not pass on the server's close while the link
// is cut or the connection silenced.
func (p *proxy) copyFromServer(c *proxiedConn) {
	err := p.copyDirection(c, c.server, c.client, func([]byte) {})
	p.mu.Lock()
	silent := p.mode == linkCut || c.silenced
	p.mu.Unlock()
	if err != nil && !silent {
		propagateClose(c.client, err)
	}
}

// copyDirection copies bytes one way. It returns the error that ended reading, or nil if the receiver's side
// has ended.
func (p *proxy) copyDirection(c *proxiedConn, from, to net.Conn, observe func(b []byte)) error {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			observe(buffer[:n])
			if !p.forward(c, to, buffer[:n]) {
				return nil
			}
		}
		if err != nil {
			return err
		}
	}
}

// forward writes bytes according to the mode. It returns false if the connection has ended.
func (p *proxy) forward(c *proxiedConn, to net.Conn, b []byte) bool {
	p.mu.Lock()
	mode, delay, silenced := p.mode, p.delay, c.silenced
	c.lastUsed = time.Now()
	p.mu.Unlock()
	switch {
	case silenced, mode == linkCut:
		return true // discarded
	case mode == linkReset:
		writeBestEffort(to, b[:len(b)/2])
		reset(c.client)
		reset(c.server)
		return false
	case mode == linkDelay:
		time.Sleep(delay)
	case mode == linkBytes:
		return writeByteByByte(to, b)
	}
	_, err := to.Write(b)
	return err == nil
}

// writeByteByByte writes one byte at a time and reports whether all were written.
func writeByteByByte(to net.Conn, b []byte) bool {
	for i := range b {
		if _, err := to.Write(b[i : i+1]); err != nil {
			return false
		}
	}
	return true
}

// set sets the link's mode. Only linkDelay uses delay.
func (p *proxy) set(mode linkMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
}

// silenceIdle makes all connections that are idle now discard all data from now on.
func (p *proxy) silenceIdle() {
	p.forEachConn(func(c *proxiedConn) {
		if c.idle() {
			c.silenced = true
		}
	})
}

// resetIdle resets all idle connections.
func (p *proxy) resetIdle() {
	p.forEachConn(func(c *proxiedConn) {
		if c.idle() {
			c.reset()
		}
	})
}

// resetAll resets all connections.
func (p *proxy) resetAll() { p.forEachConn((*proxiedConn).reset) }

// forEachConn calls do for each connection, with mu held.
func (p *proxy) forEachConn(do func(c *proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		do(c)
	}
}

// idle reports whether no data arrived for idleAfter. The caller holds the proxy's mu.
func (c *proxiedConn) idle() bool { return time.Since(c.lastUsed) > idleAfter }

// reset resets both sides of the connection. The caller holds the proxy's mu.
func (c *proxiedConn) reset() {
	reset(c.client)
	reset(c.server)
}

// close closes the listener, resets all connections and waits until they have ended.
func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
	p.background.Wait()
}

// propagateClose passes the end of one side of a connection on to the other side: a reset as a reset,
// anything else as the end of writing.
func propagateClose(conn net.Conn, err error) {
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case !ok:
	case isReset(err):
		reset(tcp)
	default:
		_ = tcp.CloseWrite() // fails if this side has ended too
	}
}

// reset closes a TCP connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && tcp != nil {
		_ = tcp.SetLinger(0) // fails if the connection is closed already
		tcp.Close()
	}
}

// isReset reports whether an error means that the other side reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
