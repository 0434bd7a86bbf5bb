package platform

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/backend/connpool"
	"cresspass/internal/backend/duplicateresponse"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/nodehttp"
)

const (
	// reuseDelay is how long a connection is left alone after a response. Without it a duplicate of the
	// response, which a compute node may send, is taken for the response to the next query's call.
	reuseDelay = 20 * time.Millisecond
	// idleCloseFraction is the part of the compute nodes' idle timeout after which an idle connection is
	// closed by us, before they do it.
	idleCloseFraction = 0.6
)

// Retries where our own machine has no connection for a moment.
const (
	localRetryDelay = 10 * time.Millisecond // before the first one, doubled each time...
	localRetryLimit = time.Second           // ...until so much time has passed
)

// errNoDescriptor is the error of a call that got no connection because our own machine has none for it.
// It says nothing of the compute node.
var errNoDescriptor = errors.New("platform: no descriptor left for a compute node")

// nodePool holds the connections to all compute nodes: the shell of a connpool.Pool, which decides who
// gets one. It is for any number of goroutines.
type nodePool struct {
	system         *system
	descriptors    *descriptorBudget
	connectTimeout time.Duration
	epoch          time.Time // zero of the state's clock

	mu          sync.Mutex // guards the fields below
	state       *connpool.Pool
	idle        map[uint64]*nodeConn
	waiters     map[uint64]chan connpool.Grant
	lastID      uint64      // of a connection or a request for one
	settleTimer *time.Timer // runs sweep at the state's next time
	closed      bool
	duplicates  *duplicateresponse.Detector
	counters    poolCounters
}

// poolCounters counts what a nodePool has done since its start.
type poolCounters struct {
	dials, reused, queued uint64
	suspected             uint64        // responses that may be duplicates
	longestWait           time.Duration // for a connection, since the last statistics
}

// connRequest is a call's request for a connection.
type connRequest struct {
	engine cresspass.EngineID
	addr   string
	fresh  bool      // a new connection only
	urgent bool      // short, and must not wait: it may use the headroom
	dueAt  time.Time // it is needed at the latest then
}

func newNodePool(sys *system, descriptors *descriptorBudget, connectTimeout,
	idleTimeout time.Duration) *nodePool {
	p := &nodePool{system: sys, descriptors: descriptors, connectTimeout: connectTimeout, epoch: time.Now(),
		idle:    map[uint64]*nodeConn{},
		state:   connpool.New(reuseDelay, time.Duration(idleCloseFraction*float64(idleTimeout))),
		waiters: map[uint64]chan connpool.Grant{}, duplicates: duplicateresponse.NewDetector()}
	p.settleTimer = time.AfterFunc(time.Hour, p.sweep)
	return p
}

// now is the time on the state's clock.
func (p *nodePool) now() time.Duration { return time.Since(p.epoch) }

func (p *nodePool) limits() connpool.Limits {
	return connpool.Limits{Capacity: p.descriptors.maxNodeConns(),
		UrgentReserve: p.descriptors.urgentNodeConns()}
}

// getWithRetry is get; where our own machine has no connection for a moment, it retries.
func (p *nodePool) getWithRetry(ctx context.Context, wanted connRequest) (*nodeConn, error) {
	for delay, waited := localRetryDelay, time.Duration(0); ; delay *= 2 {
		conn, err := p.get(ctx, wanted)
		if !errors.Is(err, errNoDescriptor) || ctx.Err() != nil || waited >= localRetryLimit {
			return conn, err
		}
		sleepContext(ctx, delay)
		waited += delay
	}
}

// get returns a connection to a compute node: one that has been idle for long enough, else a new one, for
// which it waits where there are too many.
func (p *nodePool) get(ctx context.Context, wanted connRequest) (*nodeConn, error) {
	for {
		grant, err := p.acquire(ctx, wanted)
		if err != nil {
			return nil, err
		}
		if grant.Type == connpool.Dial {
			return p.dial(ctx, wanted)
		}
		conn := p.takeIdle(grant.Conn)
		silent, unsolicited := conn.inspect()
		if silent && conn.addr == wanted.addr { // else the compute node has moved
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

// takeIdle removes a connection that was granted from the idle ones.
func (p *nodePool) takeIdle(id uint64) *nodeConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.idle[id]
	delete(p.idle, id)
	p.counters.reused++
	return conn
}

// acquire waits for a grant.
func (p *nodePool) acquire(ctx context.Context, wanted connRequest) (connpool.Grant, error) {
	granted := make(chan connpool.Grant, 1)
	id, begun := p.enqueue(wanted, granted)
	select {
	case grant := <-granted:
		return grant, nil
	default:
	}
	select {
	case grant := <-granted:
		p.mu.Lock()
		p.counters.longestWait = max(p.counters.longestWait, p.now()-begun)
		p.mu.Unlock()
		return grant, nil
	case <-ctx.Done():
	}
	p.withdraw(id, granted)
	return connpool.Grant{}, errNoDescriptor
}

// enqueue adds a request for a connection, and returns its id and when it was added.
func (p *nodePool) enqueue(wanted connRequest, granted chan connpool.Grant) (id uint64, begun time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id, begun = p.lastID, p.now()
	p.waiters[id] = granted
	p.apply(p.state.Acquire(begun, connpool.Request{ID: id, Engine: wanted.engine, Fresh: wanted.fresh,
		Urgent: wanted.urgent, Due: wanted.dueAt.Sub(p.epoch)}, p.limits()))
	if p.waiters[id] != nil {
		p.counters.queued++
	}
	return id, begun
}

// withdraw cancels a request for a connection, and returns what may have been granted to it meanwhile.
func (p *nodePool) withdraw(id uint64, granted chan connpool.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
	if p.state.Cancel(id) {
		return
	}
	switch grant := <-granted; grant.Type {
	case connpool.Reuse:
		conn := p.idle[grant.Conn]
		delete(p.idle, grant.Conn)
		p.makeIdle(conn)
	case connpool.Dial:
		p.apply(p.state.Closed(p.limits()))
	}
}

// apply carries out grants. p.mu is held.
func (p *nodePool) apply(grants []connpool.Grant) {
	for _, grant := range grants {
		if grant.Type == connpool.Close {
			p.idle[grant.Conn].conn.Close()
			delete(p.idle, grant.Conn)
			continue
		}
		p.waiters[grant.RequestID] <- grant
		delete(p.waiters, grant.RequestID)
	}
	if at, ok := p.state.NextSweep(); ok && !p.closed {
		p.settleTimer.Reset(max(at-p.now(), 0))
	}
}

// dial makes a connection that was granted.
func (p *nodePool) dial(ctx context.Context, wanted connRequest) (*nodeConn, error) {
	conn, err := p.system.dial(ctx, p.connectTimeout, wanted.addr)
	var raw syscall.RawConn
	if err == nil {
		raw, err = conn.(syscall.Conn).SyscallConn()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.dials++
	if err != nil {
		p.apply(p.state.Closed(p.limits()))
		if oserr.IsLocal(err) {
			return nil, errNoDescriptor // the compute node must not be blamed for it
		}
		return nil, err
	}
	p.lastID++
	return newNodeConn(p.lastID, wanted.engine, wanted.addr, conn, raw, p.system), nil
}

// put gives a connection back; reusable: its last response was complete and leaves it open.
func (p *nodePool) put(conn *nodeConn, reusable bool) {
	reusable = reusable && conn.usable() // before the lock: it is a system call
	p.mu.Lock()
	defer p.mu.Unlock()
	if reusable && !p.closed {
		p.makeIdle(conn)
		return
	}
	conn.discard()
	p.apply(p.state.Closed(p.limits()))
}

// makeIdle adds a connection that others may use. p.mu is held.
func (p *nodePool) makeIdle(conn *nodeConn) {
	p.idle[conn.id] = conn
	p.state.Release(p.now(), conn.engine, conn.id)
	p.apply(nil)
}

// hasWaiters reports whether a call waits for a connection.
func (p *nodePool) hasWaiters() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Waiting() > 0
}

// checkDuplicate reports whether a response that came so long after its call may be a duplicate of an earlier
// one.
func (p *nodePool) checkDuplicate(conn *nodeConn, took time.Duration,
	response *nodehttp.Response) (duplicateresponse.Fingerprint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fingerprint, suspect := p.duplicates.Suspect(p.now(), took, &conn.recentResponses, response)
	if suspect {
		p.counters.suspected++
	}
	return fingerprint, suspect
}

// recordRetry tells the detector what a new connection brought in place of a suspected response.
func (p *nodePool) recordRetry(suspected duplicateresponse.Fingerprint, response *nodehttp.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duplicates.Recheck(p.now(), suspected, response)
}

// closeIdleTo closes the idle connections to a compute node.
func (p *nodePool) closeIdleTo(engine cresspass.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.state.CloseIdle(engine, p.limits()))
}

// closeAll closes all idle connections; the pool keeps none from then on.
func (p *nodePool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.settleTimer.Stop()
	for _, conn := range p.idle {
		p.apply(p.state.CloseIdle(conn.engine, p.limits()))
	}
}

// connCount is how many connections to compute nodes there are, idle and in use.
func (p *nodePool) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.OpenConns()
}

// sweep closes connections that have been idle for too long, and serves calls that wait.
func (p *nodePool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.apply(p.state.Sweep(p.now(), p.limits()))
	}
}

// statistics returns the pool's counters, and how many connections there are and calls wait. The longest wait
// starts anew.
func (p *nodePool) statistics() (counters poolCounters, open, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counters = p.counters
	p.counters.longestWait = 0
	return counters, p.state.OpenConns(), p.state.Waiting()
}
