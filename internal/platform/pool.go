package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
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
	addr   string
	net    net.Conn
	raw    syscall.RawConn
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
	silent := false
	// Danger: raw.Read would fail where the last call's deadline is over, and every connection that was
	// idle for long would look dead.
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
	})
	return err == nil && silent
}

// call sends a request and reads its answer.
func (c *nodeConn) call(wait time.Duration, method, path string, body []byte,
	headers ...string) (*nodehttp.Answer, error) {
	if !c.rested.IsZero() && !c.usable() || !c.begin(wait) {
		return nil, errUnsure
	}
	c.out = nodehttp.AppendRequest(c.out[:0], method, path, c.addr, body, headers...)
	if _, err := c.net.Write(c.out); err != nil {
		return nil, err
	}
	a, err := nodehttp.Read(c.in)
	c.rested = time.Now()
	return a, err
}

// pool holds the connections to all compute nodes, bounded together.
type pool struct {
	budget  *budget
	connect time.Duration // time-out
	idle    time.Duration

	mu                     sync.Mutex
	free                   map[cresspass.EngineID][]*nodeConn // oldest first
	open                   int
	wait                   []*waiter
	settle                 bool // a look at who waits is due
	dials, reused, crowded uint64
}

func newPool(b *budget, connect, idle time.Duration) *pool {
	return &pool{budget: b, connect: connect, idle: time.Duration(sparse * float64(idle)),
		free: map[cresspass.EngineID][]*nodeConn{}}
}

// get returns a connection to a compute node: one that rests since long enough, else a new one, for which
// it waits where there are too many.
func (p *pool) get(ctx context.Context, engine cresspass.EngineID, addr string,
	fresh bool) (*nodeConn, error) {
	p.mu.Lock()
	now := time.Now()
	if !fresh {
		if c := p.take(engine, now); c != nil {
			p.reused++
			p.mu.Unlock()
			return c, nil
		}
	}
	if p.open >= p.budget.nodes() {
		p.evict(now)
	}
	if p.open < p.budget.nodes() {
		p.open++
		p.mu.Unlock()
	} else {
		p.crowded++
		w := &waiter{engine: engine, got: make(chan *nodeConn, 1)}
		p.wait = append(p.wait, w)
		p.settleSoon()
		p.mu.Unlock()
		select {
		case c := <-w.got:
			if c != nil {
				return c, nil
			}
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			if i := slices.Index(p.wait, w); i >= 0 {
				p.wait = slices.Delete(p.wait, i, i+1)
			} else if c := <-w.got; c != nil {
				p.keep(c)
			} else {
				p.release()
			}
			return nil, errNoSlot
		}
	}
	d := net.Dialer{Timeout: p.connect, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr)
	var raw syscall.RawConn
	if err == nil {
		raw, err = c.(*net.TCPConn).SyscallConn()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if err != nil {
		p.release()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			return nil, errNoSlot // danger: it tells nothing of the compute node
		}
		return nil, err
	}
	return &nodeConn{engine: engine, addr: addr, net: c, raw: raw, in: bufio.NewReaderSize(c, 4096)}, nil
}

// waiter waits for a connection to a compute node.
type waiter struct {
	engine cresspass.EngineID
	got    chan *nodeConn // one that has rested, or nil: a new one may be made
}

// release gives a slot back, to who waits first.
func (p *pool) release() {
	if len(p.wait) > 0 && p.open <= p.budget.nodes() {
		w := p.wait[0]
		p.wait = slices.Delete(p.wait, 0, 1)
		w.got <- nil
		return
	}
	p.open--
}

// keep makes a connection idle. Danger: while descriptors are short, closing it so that another may be made
// would spend the core on handshakes; who waits for its compute node gets it once it has rested.
func (p *pool) keep(c *nodeConn) {
	p.free[c.engine] = append(p.free[c.engine], c)
	if len(p.wait) > 0 {
		p.settleSoon()
	}
}

// settleSoon has who waits served from what will have rested by then.
func (p *pool) settleSoon() {
	if !p.settle {
		p.settle = true
		time.AfterFunc(restFor, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.settle = false
			p.serveWaiting(time.Now())
		})
	}
}

// serveWaiting gives idle connections that have rested to those who wait for their compute nodes, in turn;
// what is left makes room for the others.
func (p *pool) serveWaiting(now time.Time) {
	for i := 0; i < len(p.wait); {
		w := p.wait[i]
		if c := p.take(w.engine, now); c != nil {
			p.reused++
			p.wait = slices.Delete(p.wait, i, i+1)
			w.got <- c
			continue
		}
		i++
	}
	for len(p.wait) > 0 && p.evict(now) {
	}
	if len(p.wait) > 0 && len(p.free) > 0 {
		p.settleSoon()
	}
}

// take takes the youngest idle connection to a compute node that has rested and is silent; nil: there is
// none.
func (p *pool) take(engine cresspass.EngineID, now time.Time) *nodeConn {
	for {
		list := p.free[engine]
		i := len(list) - 1
		for i >= 0 && now.Sub(list[i].rested) < restFor {
			i--
		}
		if i < 0 {
			return nil
		}
		c := list[i]
		p.remove(engine, i)
		if c.usable() && now.Sub(c.rested) < p.idle {
			return c
		}
		p.close(c)
	}
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

// evict closes the connection that has been idle for longest and has rested. It reports whether there was
// one. Danger: by a later reading of the clock than take's, it would close what one who waits is about to
// be given.
func (p *pool) evict(now time.Time) bool {
	var oldest *nodeConn
	for _, list := range p.free {
		if oldest == nil || list[0].rested.Before(oldest.rested) {
			oldest = list[0]
		}
	}
	if oldest == nil || now.Sub(oldest.rested) < restFor {
		return false
	}
	p.remove(oldest.engine, 0)
	p.close(oldest)
	return true
}

// put gives a connection back; good: its last answer was whole and leaves it open.
func (p *pool) put(c *nodeConn, good bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !good || !c.usable() {
		p.close(c)
		return
	}
	p.keep(c)
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

// closeAll closes all idle connections; the pool is not used any more.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.free {
		for _, c := range list {
			p.close(c)
		}
	}
	clear(p.free)
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// sweep closes what has been idle for too long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for p.open < p.budget.nodes() && len(p.wait) > 0 { // clients left some
		p.open++
		p.release()
	}
	for engine, list := range p.free {
		for len(list) > 0 && now.Sub(list[0].rested) >= p.idle {
			c := list[0]
			p.remove(engine, 0)
			p.close(c)
			list = p.free[engine]
		}
	}
}
