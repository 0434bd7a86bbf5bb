package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/nodehttp"
)

// restFor is how long a connection is left alone after an answer. Danger: a compute node may send a second
// copy of an answer, which would be taken for the answer to the next query's call.
const restFor = 20 * time.Millisecond

// sparse is the part of ConnIdle after which an idle connection is closed by us, before the compute node
// does.
const sparse = 0.6

var (
	errNoSlot = errors.New("platform: no descriptor left for a compute node")
	errUnsure = errors.New("platform: connection in doubt")
)

// nodeConn is a connection to a compute node, for one call at a time.
type nodeConn struct {
	engine cresspass.EngineID
	net    net.Conn
	in     *bufio.Reader
	rested time.Time // when its last answer was whole; zero: it is new
	out    []byte

	mu   sync.Mutex
	dead bool
}

// interrupt ends the call that is under way, or keeps the next one from being made.
func (c *nodeConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
	c.net.SetDeadline(time.Unix(1, 0))
}

// begin sets a call's time, unless the connection was interrupted.
func (c *nodeConn) begin(wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dead {
		c.net.SetDeadline(time.Now().Add(wait))
	}
	return !c.dead
}

// usable reports whether an idle connection is open and silent, without waiting.
func (c *nodeConn) usable() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// call sends a request and reads its answer.
func (c *nodeConn) call(wait time.Duration, method, path string, body []byte,
	headers ...string) (*nodehttp.Answer, error) {
	if !c.rested.IsZero() && !c.usable() || !c.begin(wait) {
		return nil, errUnsure
	}
	c.out = nodehttp.AppendRequest(c.out[:0], method, path, c.net.RemoteAddr().String(), body, headers...)
	if _, err := c.net.Write(c.out); err != nil {
		return nil, err
	}
	a, err := nodehttp.Read(c.in)
	c.rested = time.Now()
	return a, err
}

// pool holds the connections to all compute nodes, bounded together.
type pool struct {
	connect time.Duration // time-out
	idle    time.Duration

	mu                     sync.Mutex
	free                   map[cresspass.EngineID][]*nodeConn // oldest first
	open                   int
	most                   int
	wait                   []chan struct{} // each is owed a slot
	dials, reused, crowded uint64
}

func newPool(most int, connect, idle time.Duration) *pool {
	return &pool{connect: connect, idle: time.Duration(sparse * float64(idle)), most: max(most, 4),
		free: map[cresspass.EngineID][]*nodeConn{}}
}

// get returns a connection to a compute node: one that rests since long enough, else a new one, for which
// it waits where there are too many.
func (p *pool) get(ctx context.Context, engine cresspass.EngineID, addr string,
	fresh bool) (*nodeConn, error) {
	p.mu.Lock()
	now := time.Now()
	for list := p.free[engine]; !fresh && len(list) > 0; list = p.free[engine] {
		// the youngest that has rested; older ones are closed in time
		i := len(list) - 1
		for i >= 0 && now.Sub(list[i].rested) < restFor {
			i--
		}
		if i < 0 {
			break
		}
		c := list[i]
		p.remove(engine, i)
		if c.usable() && now.Sub(c.rested) < p.idle {
			p.reused++
			p.mu.Unlock()
			return c, nil
		}
		p.close(c)
	}
	if p.open >= p.most {
		p.evict()
	}
	if p.open < p.most {
		p.open++
		p.mu.Unlock()
	} else {
		p.crowded++
		slot := make(chan struct{})
		p.wait = append(p.wait, slot)
		p.mu.Unlock()
		select {
		case <-slot:
		case <-ctx.Done():
			p.mu.Lock()
			for i, w := range p.wait {
				if w == slot {
					p.wait = append(p.wait[:i], p.wait[i+1:]...)
					p.mu.Unlock()
					return nil, errNoSlot
				}
			}
			p.release()
			p.mu.Unlock()
			return nil, errNoSlot
		}
	}
	d := net.Dialer{Timeout: p.connect, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if err != nil {
		p.release()
		return nil, err
	}
	return &nodeConn{engine: engine, net: c, in: bufio.NewReaderSize(c, 4096)}, nil
}

// release gives a slot back, to who waits first.
func (p *pool) release() {
	if len(p.wait) > 0 {
		close(p.wait[0])
		p.wait = p.wait[1:]
		return
	}
	p.open--
}

func (p *pool) remove(engine cresspass.EngineID, i int) {
	list := p.free[engine]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(p.free, engine)
	} else {
		p.free[engine] = list
	}
}

func (p *pool) close(c *nodeConn) {
	c.net.Close()
	p.release()
}

// evict closes the connection that has been idle for longest.
func (p *pool) evict() {
	var oldest *nodeConn
	for _, list := range p.free {
		if oldest == nil || list[0].rested.Before(oldest.rested) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.remove(oldest.engine, 0)
		p.close(oldest)
	}
}

// put gives a connection back; good: its last answer was whole and leaves it open.
func (p *pool) put(c *nodeConn, good bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !good || len(p.wait) > 0 || !c.usable() {
		p.close(c)
		return
	}
	p.free[c.engine] = append(p.free[c.engine], c)
}

// wanted reports whether somebody waits for a connection.
func (p *pool) wanted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.wait) > 0
}

// closeIdle closes the idle connections to a compute node.
func (p *pool) closeIdle(engine cresspass.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.free[engine] {
		p.close(c)
	}
	delete(p.free, engine)
}

// sweep closes what has been idle for too long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for engine, list := range p.free {
		for len(list) > 0 && now.Sub(list[0].rested) >= p.idle {
			c := list[0]
			p.remove(engine, 0)
			p.close(c)
			list = p.free[engine]
		}
	}
}
