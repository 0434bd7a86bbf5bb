package soak

import (
	"net"
	"sync"
	"time"
)

// idleAfter is the silence from which a connection counts as resting: more than a question for news takes.
const idleAfter = 300 * time.Millisecond

// linkMode is how a link behaves.
type linkMode int

// The modes of a link.
const (
	linkHealthy linkMode = iota
	linkDelay            // each piece comes later
	linkBytes            // one byte at a time
	linkCut              // nothing comes through, nothing is closed, new connections stay silent
	linkReset            // connections are reset when something comes on them
)

// proxy is a link: it takes connections on a port of its own and passes bytes on as its mode says. tap
// sees what the near side writes, at once, whatever the mode does with it then.
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
	forgotten      bool // nothing comes through any more
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
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.background.Go(func() { p.serve(near) })
	}
}

// serve connects a connection with the target and passes bytes both ways until one side ends.
func (p *proxy) serve(near net.Conn) {
	c := &proxiedConn{client: near, lastUsed: time.Now()}
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.conns[id] = c
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, id)
		p.mu.Unlock()
		near.Close()
	}()
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	defer far.Close()
	p.mu.Lock()
	c.server = far
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(id, c, near, far, true) })
	both.Go(func() { p.copyDirection(id, c, far, near, false) })
	both.Wait()
}

// copyDirection passes bytes one way.
func (p *proxy) copyDirection(id int, c *proxiedConn, from, to net.Conn, tapped bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if tapped && p.tap != nil {
				p.tap(id, time.Now(), b[:n])
			}
			if !p.forward(c, to, b[:n]) {
				return
			}
		}
		if err != nil {
			p.mu.Lock()
			silent := p.mode == linkCut || c.forgotten
			p.mu.Unlock()
			if silent && !tapped {
				return // an end behind a cut link is not heard of
			}
			if tcp, ok := to.(*net.TCPConn); ok {
				if isReset(err) {
					reset(tcp)
				} else {
					tcp.CloseWrite()
				}
			}
			return
		}
	}
}

// forward writes bytes as the mode says. It returns false where the connection has ended.
func (p *proxy) forward(c *proxiedConn, to net.Conn, b []byte) bool {
	p.mu.Lock()
	mode, delay, forgotten := p.mode, p.delay, c.forgotten
	c.lastUsed = time.Now()
	p.mu.Unlock()
	switch {
	case forgotten, mode == linkCut:
		return true // swallowed
	case mode == linkReset:
		to.Write(b[:len(b)/2])
		reset(c.client)
		reset(c.server)
		return false
	case mode == linkDelay:
		time.Sleep(delay)
	case mode == linkBytes:
		for i := range b {
			if _, err := to.Write(b[i : i+1]); err != nil {
				return false
			}
		}
		return true
	}
	_, err := to.Write(b)
	return err == nil
}

// set puts a mode in force.
func (p *proxy) set(m linkMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
}

// forget has connections that rest be silent from now on.
func (p *proxy) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if time.Since(c.lastUsed) > idleAfter {
			c.forgotten = true
		}
	}
}

// resetIdle resets connections that rest.
func (p *proxy) resetIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if time.Since(c.lastUsed) > idleAfter {
			reset(c.client)
			reset(c.server)
		}
	}
}

// cutAll resets all connections.
func (p *proxy) cutAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		reset(c.client)
		reset(c.server)
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.cutAll()
	p.background.Wait()
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && tcp != nil {
		tcp.SetLinger(0)
		tcp.Close()
	}
}
