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
	"cresspass/internal/backend/connpool"
	"cresspass/internal/backend/duplicateresponse"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/nodehttp"
)

// restFor is how long a connection is left alone after an answer. Danger: a compute node may send a second
// copy of an answer, which would be taken for the answer to the next query's call.
const restFor = 20 * time.Millisecond

// readBuffer is the size of a connection's buffer for answers, in bytes. A head has to fit.
const readBuffer = 4 << 10

// sparse is the part of ConnIdle after which an idle connection is closed by us, before the compute node
// does.
const sparse = 0.6

var (
	errNoSlot = errors.New("platform: no descriptor left for a compute node")
	errUnsure = errors.New("platform: connection in doubt, nothing was written")
)

// nodeConn is a connection to a compute node, for one call at a time.
type nodeConn struct {
	number uint64 // in the pool's state
	engine cresspass.EngineID
	addr   string
	net    net.Conn
	raw    syscall.RawConn
	system *system
	in     *bufio.Reader
	rested time.Time // when its last answer was whole; zero: it is new
	out    []byte
	asking bool // a call was written and has no whole answer
	memory duplicateresponse.Memory

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
	silent, _ := c.look()
	return silent
}

// look looks at an idle connection without waiting: it is open and silent, or its compute node said more than
// it was asked, or it is closed (neither).
func (c *nodeConn) look() (silent, said bool) {
	if c.in.Buffered() > 0 {
		return false, true
	}
	return c.peek()
}

// unread reports whether something is there to be read.
func (c *nodeConn) unread() bool {
	_, said := c.peek()
	return said
}

// peek is look for what is in the socket.
func (c *nodeConn) peek() (silent, said bool) {
	// Danger: raw.Read would fail where the last call's deadline is over, and every connection that was
	// idle for long would look dead.
	err := c.raw.Control(func(fd uintptr) {
		n, err := c.system.peek(fd)
		silent, said = err == syscall.EAGAIN, err == nil && n > 0
	})
	return silent && err == nil, said && err == nil
}

// call sends a request and reads its answer.
func (c *nodeConn) call(wait time.Duration, method, path string, body []byte,
	headers ...string) (*nodehttp.Answer, error) {
	if !c.rested.IsZero() && !c.usable() || !c.begin(wait) {
		return nil, errUnsure
	}
	c.out = nodehttp.AppendRequest(c.out[:0], method, path, c.addr, body, headers...)
	c.asking = true
	if n, err := c.net.Write(c.out); err != nil {
		// Danger: what was written in part may be run, and of that nothing is known; where the system took
		// not one byte, as on a connection that was closed in this moment, nothing ran.
		if n == 0 {
			return nil, errUnsure
		}
		return nil, err
	}
	a, err := nodehttp.Read(c.in)
	c.asking = err != nil
	c.rested = time.Now()
	return a, err
}

// pool holds the connections to all compute nodes: the shell of a connpool.Pool.
type pool struct {
	system  *system
	budget  *budget
	connect time.Duration // time-out
	zero    time.Time     // of the state's clock

	mu            sync.Mutex
	state         *connpool.Pool
	idle          map[uint64]*nodeConn
	wait          map[uint64]chan connpool.Grant
	last          uint64      // number of a connection or a want
	settle        *time.Timer // of the state's next look
	closed        bool
	dials, reused uint64
	crowded       uint64
	longest       time.Duration // that anyone waited in line
	copies        *duplicateresponse.Detector
	suspected     uint64 // answers
}

func newPool(sys *system, b *budget, connect, idle time.Duration) *pool {
	p := &pool{system: sys, budget: b, connect: connect, zero: time.Now(), idle: map[uint64]*nodeConn{},
		state: connpool.New(restFor, time.Duration(sparse*float64(idle))),
		wait:  map[uint64]chan connpool.Grant{}, copies: duplicateresponse.NewDetector()}
	p.settle = time.AfterFunc(time.Hour, p.sweep)
	return p
}

func (p *pool) now() time.Duration { return time.Since(p.zero) }

func (p *pool) limits() connpool.Limits {
	return connpool.Limits{Room: p.budget.nodes(), Spare: p.budget.urgent()}
}

// want is a call that needs a connection.
type want struct {
	engine cresspass.EngineID
	addr   string
	fresh  bool      // on a new connection
	spare  bool      // short and pressing
	due    time.Time // when it is needed at the latest
}

// get returns a connection to a compute node: one that rests since long enough, else a new one, for which
// it waits where there are too many.
func (p *pool) get(ctx context.Context, w want) (*nodeConn, error) {
	for {
		g, err := p.ask(ctx, w)
		if err != nil {
			return nil, err
		}
		if g.Type == connpool.Dial {
			return p.dial(ctx, w)
		}
		p.mu.Lock()
		c := p.idle[g.Conn]
		delete(p.idle, g.Conn)
		p.reused++
		p.mu.Unlock()
		silent, said := c.look()
		if silent && c.addr == w.addr { // else it has moved
			return c, nil
		}
		if said {
			p.mu.Lock()
			p.copies.Seen(p.now())
			p.mu.Unlock()
		}
		p.put(c, false)
	}
}

// suspect reports whether an answer that came so long after its call may be a second copy of an earlier one.
func (p *pool) suspect(c *nodeConn, took time.Duration, a *nodehttp.Answer) (duplicateresponse.Fingerprint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, suspect := p.copies.Suspect(p.now(), took, &c.memory, a)
	if suspect {
		p.suspected++
	}
	return f, suspect
}

// again tells what a new connection gave in place of a suspected answer.
func (p *pool) again(suspected duplicateresponse.Fingerprint, a *nodehttp.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies.Again(p.now(), suspected, a)
}

// How often a connection is asked for again where our own machine has none for a moment.
const (
	ownAgain = 10 * time.Millisecond // before the first time, doubled each time...
	ownMost  = time.Second           // ...until that has passed
)

// getPatiently is get; where our own machine has no connection for a moment, it is asked for again.
func (p *pool) getPatiently(ctx context.Context, w want) (*nodeConn, error) {
	for pause, waited := ownAgain, time.Duration(0); ; pause *= 2 {
		c, err := p.get(ctx, w)
		if !errors.Is(err, errNoSlot) || ctx.Err() != nil || waited >= ownMost {
			return c, err
		}
		sleep(ctx, pause)
		waited += pause
	}
}

// ask waits for a grant.
func (p *pool) ask(ctx context.Context, w want) (connpool.Grant, error) {
	got := make(chan connpool.Grant, 1)
	p.mu.Lock()
	p.last++
	id := p.last
	p.wait[id] = got
	begun := p.now()
	p.do(p.state.Ask(begun, connpool.Want{ID: id, Engine: w.engine, Fresh: w.fresh, Spare: w.spare,
		Due: w.due.Sub(p.zero)}, p.limits()))
	if p.wait[id] != nil {
		p.crowded++
	}
	p.mu.Unlock()
	select {
	case g := <-got:
		return g, nil
	default:
	}
	select {
	case g := <-got:
		p.mu.Lock()
		p.longest = max(p.longest, p.now()-begun)
		p.mu.Unlock()
		return g, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.wait, id)
	if !p.state.Leave(id) { // the grant crossed
		switch g := <-got; g.Type {
		case connpool.Reuse:
			c := p.idle[g.Conn]
			delete(p.idle, g.Conn)
			p.rest(c)
		case connpool.Dial:
			p.do(p.state.Gone(p.limits()))
		}
	}
	return connpool.Grant{}, errNoSlot
}

// do carries out grants. p.mu is held.
func (p *pool) do(grants []connpool.Grant) {
	for _, g := range grants {
		if g.Type == connpool.Close {
			p.idle[g.Conn].net.Close()
			delete(p.idle, g.Conn)
			continue
		}
		p.wait[g.Want] <- g
		delete(p.wait, g.Want)
	}
	if at, ok := p.state.Next(); ok && !p.closed {
		p.settle.Reset(max(at-p.now(), 0))
	}
}

// dial makes a connection that was granted.
func (p *pool) dial(ctx context.Context, w want) (*nodeConn, error) {
	c, err := p.system.dial(ctx, p.connect, w.addr)
	var raw syscall.RawConn
	if err == nil {
		raw, err = c.(*net.TCPConn).SyscallConn()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if err != nil {
		p.do(p.state.Gone(p.limits()))
		if oserr.OwnMachine(err) {
			return nil, errNoSlot // danger: it tells nothing of the compute node
		}
		return nil, err
	}
	p.last++
	conn := &nodeConn{number: p.last, engine: w.engine, addr: w.addr, net: c, raw: raw, system: p.system}
	late := &lateReader{net: c, unread: conn.unread, extend: conn.begin}
	conn.in = bufio.NewReaderSize(late, readBuffer)
	return conn, nil
}

// put gives a connection back; good: its last answer was whole and leaves it open.
func (p *pool) put(c *nodeConn, good bool) {
	good = good && c.usable() // looked at without the lock
	p.mu.Lock()
	defer p.mu.Unlock()
	if good && !p.closed {
		p.rest(c)
		return
	}
	c.discard()
	p.do(p.state.Gone(p.limits()))
}

// discard closes a connection. Danger: after a plain close the system goes on sending what was not taken
// yet, so that a start which was cut off could come to its compute node after it was given up.
func (c *nodeConn) discard() {
	if tcp, ok := c.net.(*net.TCPConn); ok && c.asking {
		tcp.SetLinger(0)
	}
	c.net.Close()
}

// rest makes a connection idle. p.mu is held.
func (p *pool) rest(c *nodeConn) {
	p.idle[c.number] = c
	p.state.Rest(p.now(), c.engine, c.number)
	p.do(nil)
}

// wanted reports whether somebody waits for a connection.
func (p *pool) wanted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Waiting() > 0
}

// closeIdle closes the idle connections to a compute node.
func (p *pool) closeIdle(engine cresspass.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.do(p.state.Drop(engine, p.limits()))
}

// closeAll closes all idle connections; the pool keeps none any more.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.settle.Stop()
	for _, c := range p.idle {
		p.do(p.state.Drop(c.engine, p.limits()))
	}
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Open()
}

// sweep closes what has been idle for too long and looks at who waits.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.do(p.state.Settle(p.now(), p.limits()))
	}
}
