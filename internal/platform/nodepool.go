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

// reuseDelay is how long a connection is left alone after an answer. Danger: a compute node may send a second
// copy of an answer, which would be taken for the answer to the next query's call.
const reuseDelay = 20 * time.Millisecond

// responseBufferBytes is the size of a connection's buffer for answers, in bytes. A head has to fit.
const responseBufferBytes = 4 << 10

// idleCloseFraction is the part of ConnIdleTimeout after which an idle connection is closed by us, before
// the compute node does.
const idleCloseFraction = 0.6

var (
	errNoDescriptor = errors.New("platform: no descriptor left for a compute node")
	errNotWritten   = errors.New("platform: connection in doubt, nothing was written")
)

// nodeConn is a connection to a compute node, for one call at a time.
type nodeConn struct {
	id               uint64 // in the pool's state
	engine           cresspass.EngineID
	addr             string
	conn             net.Conn
	raw              syscall.RawConn
	system           *system
	reader           *bufio.Reader
	idleSince        time.Time // when its last answer was whole; zero: it is new
	writeBuffer      []byte
	awaitingResponse bool // a call was written and has no whole answer
	recentResponses  duplicateresponse.History

	mu          sync.Mutex
	interrupted bool
}

// interrupt ends the call that is under way, or keeps the next one from being made.
func (c *nodeConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.conn.SetDeadline(time.Unix(1, 0))
}

// setTimeout sets a call's time, unless the connection was interrupted.
func (c *nodeConn) setTimeout(wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		c.conn.SetDeadline(time.Now().Add(wait))
	}
	return !c.interrupted
}

// usable reports whether an idle connection is open and silent, without waiting.
func (c *nodeConn) usable() bool {
	silent, _ := c.inspect()
	return silent
}

// inspect looks at an idle connection without waiting: it is open and silent, or its compute node said more
// than it was asked, or it is closed (neither).
func (c *nodeConn) inspect() (silent, unsolicited bool) {
	if c.reader.Buffered() > 0 {
		return false, true
	}
	return c.inspectSocket()
}

// hasUnread reports whether something is there to be read.
func (c *nodeConn) hasUnread() bool {
	_, said := c.inspectSocket()
	return said
}

// inspectSocket is look for what is in the socket.
func (c *nodeConn) inspectSocket() (silent, unsolicited bool) {
	// Danger: raw.Read would fail where the last call's deadline is over, and every connection that was
	// idle for long would look dead.
	err := c.raw.Control(func(fd uintptr) {
		n, err := c.system.peek(fd)
		silent, unsolicited = err == syscall.EAGAIN, err == nil && n > 0
	})
	return silent && err == nil, unsolicited && err == nil
}

// roundTrip sends a request and reads its answer.
func (c *nodeConn) roundTrip(wait time.Duration, method, path string, body []byte,
	headers ...string) (*nodehttp.Response, error) {
	if !c.idleSince.IsZero() && !c.usable() || !c.setTimeout(wait) {
		return nil, errNotWritten
	}
	c.writeBuffer = nodehttp.AppendRequest(c.writeBuffer[:0], method, path, c.addr, body, headers...)
	c.awaitingResponse = true
	if n, err := c.conn.Write(c.writeBuffer); err != nil {
		// Danger: what was written in part may be run, and of that nothing is known; where the system took
		// not one byte, as on a connection that was closed in this moment, nothing ran.
		if n == 0 {
			return nil, errNotWritten
		}
		return nil, err
	}
	response, err := nodehttp.ReadResponse(c.reader)
	c.awaitingResponse = err != nil
	c.idleSince = time.Now()
	return response, err
}

// nodePool holds the connections to all compute nodes: the shell of a connpool.Pool.
type nodePool struct {
	system         *system
	descriptors    *descriptorBudget
	connectTimeout time.Duration // time-out
	epoch          time.Time     // of the state's clock

	mu            sync.Mutex
	state         *connpool.Pool
	idle          map[uint64]*nodeConn
	waiters       map[uint64]chan connpool.Grant
	lastID        uint64      // number of a connection or a want
	settleTimer   *time.Timer // of the state's next look
	closed        bool
	dials, reused uint64
	queued        uint64
	longestWait   time.Duration // that anyone waited in line
	duplicates    *duplicateresponse.Detector
	suspected     uint64 // answers
}

func newNodePool(sys *system, b *descriptorBudget, connect, idle time.Duration) *nodePool {
	p := &nodePool{
		system:         sys,
		descriptors:    b,
		connectTimeout: connect,
		epoch:          time.Now(),
		idle:           map[uint64]*nodeConn{},
		state:          connpool.New(reuseDelay, time.Duration(idleCloseFraction*float64(idle))),
		waiters:        map[uint64]chan connpool.Grant{},
		duplicates:     duplicateresponse.NewDetector(),
	}
	p.settleTimer = time.AfterFunc(time.Hour, p.sweep)
	return p
}

func (p *nodePool) now() time.Duration { return time.Since(p.epoch) }

func (p *nodePool) limits() connpool.Limits {
	return connpool.Limits{
		Capacity:      p.descriptors.maxNodeConns(),
		UrgentReserve: p.descriptors.urgentNodeConns(),
	}
}

// connRequest is a call that needs a connection.
type connRequest struct {
	engine cresspass.EngineID
	addr   string
	fresh  bool      // on a new connection
	urgent bool      // short and pressing
	dueAt  time.Time // when it is needed at the latest
}

// get returns a connection to a compute node: one that rests since long enough, else a new one, for which
// it waits where there are too many.
func (p *nodePool) get(ctx context.Context, wanted connRequest) (*nodeConn, error) {
	for {
		grant, err := p.acquire(ctx, wanted)
		if err != nil {
			return nil, err
		}
		if grant.Type == connpool.Dial {
			return p.dial(ctx, wanted)
		}
		p.mu.Lock()
		conn := p.idle[grant.Conn]
		delete(p.idle, grant.Conn)
		p.reused++
		p.mu.Unlock()
		silent, unsolicited := conn.inspect()
		if silent && conn.addr == wanted.addr { // else it has moved
			return conn, nil
		}
		if unsolicited {
			p.mu.Lock()
			p.duplicates.RecordDuplicate(p.now())
			p.mu.Unlock()
		}
		p.put(conn, false)
	}
}

// checkDuplicate reports whether an answer that came so long after its call may be a second copy of an
// earlier one.
func (p *nodePool) checkDuplicate(
	conn *nodeConn,
	took time.Duration,
	a *nodehttp.Response,
) (duplicateresponse.Fingerprint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, suspect := p.duplicates.Suspect(p.now(), took, &conn.recentResponses, a)
	if suspect {
		p.suspected++
	}
	return f, suspect
}

// recordRetry tells what a new connection gave in place of a suspected answer.
func (p *nodePool) recordRetry(suspected duplicateresponse.Fingerprint, a *nodehttp.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duplicates.Recheck(p.now(), suspected, a)
}

// How often a connection is asked for again where our own machine has none for a moment.
const (
	localRetryDelay = 10 * time.Millisecond // before the first time, doubled each time...
	localRetryLimit = time.Second           // ...until that has passed
)

// getWithRetry is get; where our own machine has no connection for a moment, it is asked for again.
func (p *nodePool) getWithRetry(ctx context.Context, wanted connRequest) (*nodeConn, error) {
	for pause, waited := localRetryDelay, time.Duration(0); ; pause *= 2 {
		conn, err := p.get(ctx, wanted)
		if !errors.Is(err, errNoDescriptor) || ctx.Err() != nil || waited >= localRetryLimit {
			return conn, err
		}
		sleep(ctx, pause)
		waited += pause
	}
}

// acquire waits for a grant.
func (p *nodePool) acquire(ctx context.Context, wanted connRequest) (connpool.Grant, error) {
	granted := make(chan connpool.Grant, 1)
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.waiters[id] = granted
	begun := p.now()
	p.apply(
		p.state.Acquire(
			begun,
			connpool.Request{ID: id, Engine: wanted.engine, Fresh: wanted.fresh, Urgent: wanted.urgent,
				Due: wanted.dueAt.Sub(p.epoch)},
			p.limits(),
		),
	)
	if p.waiters[id] != nil {
		p.queued++
	}
	p.mu.Unlock()
	select {
	case g := <-granted:
		return g, nil
	default:
	}
	select {
	case g := <-granted:
		p.mu.Lock()
		p.longestWait = max(p.longestWait, p.now()-begun)
		p.mu.Unlock()
		return g, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
	if !p.state.Cancel(id) { // the grant crossed
		switch g := <-granted; g.Type {
		case connpool.Reuse:
			c := p.idle[g.Conn]
			delete(p.idle, g.Conn)
			p.makeIdle(c)
		case connpool.Dial:
			p.apply(p.state.Closed(p.limits()))
		}
	}
	return connpool.Grant{}, errNoDescriptor
}

// apply carries out grants. p.mu is held.
func (p *nodePool) apply(grants []connpool.Grant) {
	for _, g := range grants {
		if g.Type == connpool.Close {
			p.idle[g.Conn].conn.Close()
			delete(p.idle, g.Conn)
			continue
		}
		p.waiters[g.RequestID] <- g
		delete(p.waiters, g.RequestID)
	}
	if at, ok := p.state.NextSweep(); ok && !p.closed {
		p.settleTimer.Reset(max(at-p.now(), 0))
	}
}

// dial makes a connection that was granted.
func (p *nodePool) dial(ctx context.Context, wanted connRequest) (*nodeConn, error) {
	c, err := p.system.dial(ctx, p.connectTimeout, wanted.addr)
	var raw syscall.RawConn
	if err == nil {
		raw, err = c.(*net.TCPConn).SyscallConn()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if err != nil {
		p.apply(p.state.Closed(p.limits()))
		if oserr.IsLocal(err) {
			return nil, errNoDescriptor // danger: it tells nothing of the compute node
		}
		return nil, err
	}
	p.lastID++
	conn := &nodeConn{
		id:     p.lastID,
		engine: wanted.engine,
		addr:   wanted.addr,
		conn:   c,
		raw:    raw,
		system: p.system,
	}
	late := &deadlineReader{conn: c, hasUnread: conn.hasUnread, setTimeout: conn.setTimeout}
	conn.reader = bufio.NewReaderSize(late, responseBufferBytes)
	return conn, nil
}

// put gives a connection back; good: its last answer was whole and leaves it open.
func (p *nodePool) put(conn *nodeConn, reusable bool) {
	reusable = reusable && conn.usable() // looked at without the lock
	p.mu.Lock()
	defer p.mu.Unlock()
	if reusable && !p.closed {
		p.makeIdle(conn)
		return
	}
	conn.discard()
	p.apply(p.state.Closed(p.limits()))
}

// discard closes a connection. Danger: after a plain close the system goes on sending what was not taken
// yet, so that a start which was cut off could come to its compute node after it was given up.
func (c *nodeConn) discard() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.awaitingResponse {
		tcp.SetLinger(0)
	}
	c.conn.Close()
}

// makeIdle makes a connection idle. p.mu is held.
func (p *nodePool) makeIdle(conn *nodeConn) {
	p.idle[conn.id] = conn
	p.state.Release(p.now(), conn.engine, conn.id)
	p.apply(nil)
}

// hasWaiters reports whether somebody waits for a connection.
func (p *nodePool) hasWaiters() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Waiting() > 0
}

// closeIdleTo closes the idle connections to a compute node.
func (p *nodePool) closeIdleTo(engine cresspass.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.state.CloseIdle(engine, p.limits()))
}

// closeAll closes all idle connections; the pool keeps none any more.
func (p *nodePool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.settleTimer.Stop()
	for _, c := range p.idle {
		p.apply(p.state.CloseIdle(c.engine, p.limits()))
	}
}

func (p *nodePool) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.OpenConns()
}

// sweep closes what has been idle for too long and looks at who waits.
func (p *nodePool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.apply(p.state.Sweep(p.now(), p.limits()))
	}
}
