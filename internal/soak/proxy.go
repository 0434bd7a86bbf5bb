package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// idleAfter is the silence from which on a connection counts as idle: more than a long poll takes.
	idleAfter = 300 * time.Millisecond

	proxyBufferBytes = 16 << 10
)

// linkMode is how a link behaves.
type linkMode int

// The modes of a link.
const (
	linkHealthy linkMode = iota
	linkDelay            // every piece of data arrives late
	linkBytes            // one byte at a time
	linkCut              // nothing comes through, nothing is closed, new connections stay silent
	linkReset            // connections are reset when data comes on them
)

// proxy is a link: it accepts connections on a port of its own and forwards bytes to its target as its mode
// says. tap sees what the client writes, at once, whatever the mode does with it then.
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
	silenced       bool // nothing comes through any more
	lastUsed       time.Time
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

// serve connects a client with the target and copies bytes both ways until one side ends.
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

// copyFromClient copies to the server, and shows the tap what comes.
func (p *proxy) copyFromClient(id int, c *proxiedConn) {
	err := p.copyDirection(c, c.client, c.server, func(b []byte) {
		if p.tap != nil {
			p.tap(id, time.Now(), b)
		}
	})
	if err != nil {
		closeLike(c.server, err)
	}
}

// copyFromServer copies to the client. The server's end is not passed on where the link is silent.
func (p *proxy) copyFromServer(c *proxiedConn) {
	err := p.copyDirection(c, c.server, c.client, func([]byte) {})
	p.mu.Lock()
	silent := p.mode == linkCut || c.silenced
	p.mu.Unlock()
	if err != nil && !silent {
		closeLike(c.client, err)
	}
}

// copyDirection copies bytes one way and returns the error that ended reading, or nil where the receiver has
// ended.
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

// forward writes bytes as the mode says. It returns false where the connection has ended.
func (p *proxy) forward(c *proxiedConn, to net.Conn, b []byte) bool {
	p.mu.Lock()
	mode, delay, silenced := p.mode, p.delay, c.silenced
	c.lastUsed = time.Now()
	p.mu.Unlock()
	switch {
	case silenced, mode == linkCut:
		return true // swallowed
	case mode == linkReset:
		writeBestEffort(to, b[:len(b)/2])
		reset(c.client)
		reset(c.server)
		return false
	case mode == linkDelay:
		time.Sleep(delay)
	case mode == linkBytes:
		return writeSingly(to, b)
	}
	_, err := to.Write(b)
	return err == nil
}

// writeSingly writes one byte at a time, and reports whether all could be written.
func writeSingly(to net.Conn, b []byte) bool {
	for i := range b {
		if _, err := to.Write(b[i : i+1]); err != nil {
			return false
		}
	}
	return true
}

// set puts a mode in force.
func (p *proxy) set(mode linkMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
}

// silenceIdle has connections that are idle swallow all that comes on them from now on.
func (p *proxy) silenceIdle() {
	p.forEachConn(func(c *proxiedConn) {
		if c.idle() {
			c.silenced = true
		}
	})
}

// resetIdle resets connections that are idle.
func (p *proxy) resetIdle() {
	p.forEachConn(func(c *proxiedConn) {
		if c.idle() {
			c.reset()
		}
	})
}

// resetAll resets all connections.
func (p *proxy) resetAll() { p.forEachConn((*proxiedConn).reset) }

// forEachConn does something with each connection, under the lock.
func (p *proxy) forEachConn(do func(c *proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		do(c)
	}
}

// idle and reset need the proxy's lock.
func (c *proxiedConn) idle() bool { return time.Since(c.lastUsed) > idleAfter }

func (c *proxiedConn) reset() {
	reset(c.client)
	reset(c.server)
}

// close ends the link and waits for its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
	p.background.Wait()
}

// closeLike ends the one side of a connection as the other side ended: by a reset, or by the end of its
// writing.
func closeLike(conn net.Conn, err error) {
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case !ok:
	case isReset(err):
		reset(tcp)
	default:
		_ = tcp.CloseWrite() // it fails where this side has ended too
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && tcp != nil {
		_ = tcp.SetLinger(0) // it fails where the connection is closed already
		tcp.Close()
	}
}

// isReset reports whether a connection was reset by the other side.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
