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
	// reuseDelay is how long a connection is not reused after a response. Without it a duplicate of the
	// response, which a compute node may send, would be taken for the response to the next query's call.
	reuseDelay = 20 * time.Millisecond
	// idleCloseFraction is the fraction of the compute nodes' idle timeout after which the pool closes an
	// idle connection, before they do.
	idleCloseFraction = 0.6
)

// Retries after a dial that failed for a transient reason on the local machine.
const (
	localRetryDelay = 10 * time.Millisecond // before the first retry, doubled for each further one...
	localRetryLimit = time.Second           // ...until the delays add up to this
)

// errNoDescriptor is the error of a call that got no connection because the local machine has no resources
// for one. It does not indicate a fault of the compute node.
var errNoDescriptor = errors.New("platform: no descriptor left for a compute node")

// errAddressTaken is the error of a call for which no connection is made, because another compute node has
// the address by now. It would take the call for one of its own queries.
var errAddressTaken = errors.New("platform: another compute node has the address")

// nodePool holds the connections to all compute nodes. It does the I/O for a connpool.Pool, which decides
// which call gets a connection. It is safe for concurrent use.
type nodePool struct {
	system         *system
	descriptors    *descriptorBudget
	connectTimeout time.Duration
	epoch          time.Time // zero of the clock of state

	mu         sync.Mutex // guards the fields below
	state      *connpool.Pool
	idle       map[uint64]*nodeConn
	waiters    map[uint64]chan connpool.Grant
	lastID     uint64      // last id given to a connection or to a request for one
	sweepTimer *time.Timer // runs sweep when state is next due
	closed     bool        // no connection is kept
	duplicates *duplicateresponse.Detector
	counters   poolCounters
}

// poolCounters counts the work of a nodePool since its start.
type poolCounters struct {
	dials, reused, queued uint64        // dials, reuses of connections, and requests that had to wait
	suspected             uint64        // responses that may be duplicates
	longestWait           time.Duration // of a call for a connection, since the last call of statistics
}

// connRequest is a call's request for a connection.
type connRequest struct {
	engine cresspass.EngineID
	addr   string
	fresh  bool      // require a new connection
	urgent bool      // a short call that must not wait: it may use the headroom
	dueAt  time.Time // when the connection is needed at the latest
	// addressTaken reports whether another compute node has the address by now; nil: none has.
	addressTaken func(engine cresspass.EngineID, addr string) bool
}

func newNodePool(sys *system, descriptors *descriptorBudget, connectTimeout,
	idleTimeout time.Duration) *nodePool {
	p := &nodePool{system: sys, descriptors: descriptors, connectTimeout: connectTimeout, epoch: time.Now(),
		idle:    map[uint64]*nodeConn{},
		state:   connpool.New(reuseDelay, time.Duration(idleCloseFraction*float64(idleTimeout))),
		waiters: map[uint64]chan connpool.Grant{}, duplicates: duplicateresponse.NewDetector()}
	p.sweepTimer = time.AfterFunc(time.Hour, p.sweep)
	return p
}

// now returns the time on the clock of state.
func (p *nodePool) now() time.Duration { return time.Since(p.epoch) }

func (p *nodePool) limits() connpool.Limits {
	return connpool.Limits{Capacity: p.descriptors.maxNodeConns(),
		UrgentReserve: p.descriptors.urgentNodeConns()}
}

// getWithRetry calls get, and retries for a moment while the local machine has no resources for a connection.
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

// get returns a connection to a compute node: one that has been idle for at least reuseDelay, or else a new
// one. It waits while there are too many connections. It returns errNoDescriptor if the context ends first.
func (p *nodePool) get(ctx context.Context, wanted connRequest) (*nodeConn, error) {
	for {
		grant, err := p.acquire(ctx, wanted)
		if err != nil {
			return nil, err
		}
		if grant.Type == connpool.Dial {
			if wanted.addressTaken != nil && wanted.addressTaken(wanted.engine, wanted.addr) {
				p.returnGrant()
				return nil, errAddressTaken
			}
			return p.dial(ctx, wanted)
		}
		conn := p.takeIdle(grant.Conn)
		silent, unsolicited := conn.inspect()
		if silent && conn.addr == wanted.addr { // another address means that the compute node has moved
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

// returnGrant gives back a grant to dial.
func (p *nodePool) returnGrant() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.state.Closed(p.limits()))
}

// takeIdle removes a granted connection from the idle ones and returns it.
func (p *nodePool) takeIdle(id uint64) *nodeConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.idle[id]
	delete(p.idle, id)
	p.counters.reused++
	return conn
}

// acquire requests a connection and waits for the grant.
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

// enqueue adds a request for a connection, and returns its id and the time at which it was added.
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

// withdraw cancels a request for a connection, and gives back a grant that it got in the meantime.
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

// apply carries out grants, and sets the timer for the next sweep. The caller holds p.mu.
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
		p.sweepTimer.Reset(max(at-p.now(), 0))
	}
}

// dial opens a connection for which there is a grant.
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
			return nil, errNoDescriptor // not a fault of the compute node
		}
		return nil, err
	}
	p.lastID++
	return newNodeConn(p.lastID, wanted.engine, wanted.addr, conn, raw, p.system), nil
}

// put returns a connection to the pool. reusable means that its last response was complete and leaves it
// open. If reusable is false, or the connection turns out to be unusable, it is closed.
func (p *nodePool) put(conn *nodeConn, reusable bool) {
	reusable = reusable && conn.usable() // without the lock, because it is a system call
	p.mu.Lock()
	defer p.mu.Unlock()
	if reusable && !p.closed {
		p.makeIdle(conn)
		return
	}
	conn.discard()
	p.apply(p.state.Closed(p.limits()))
}

// makeIdle adds a connection to the idle ones. The caller holds p.mu.
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

// checkDuplicate reports whether a response may be a duplicate of an earlier one, and returns its
// fingerprint. took is the time from the call to the response.
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

// recordRetry passes to the detector the response that a new connection returned in place of a suspected one.
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

// closeAll closes all idle connections. From then on, returned connections are closed.
func (p *nodePool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.sweepTimer.Stop()
	for _, conn := range p.idle {
		p.apply(p.state.CloseIdle(conn.engine, p.limits()))
	}
}

// connCount returns how many connections to compute nodes there are, idle and in use.
func (p *nodePool) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.OpenConns()
}

// sweep closes connections that have been idle for too long, and grants connections to waiting calls.
func (p *nodePool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.apply(p.state.Sweep(p.now(), p.limits()))
	}
}

// statistics returns the pool's counters, the number of open connections and the number of waiting calls. It
// resets the longest wait.
func (p *nodePool) statistics() (counters poolCounters, open, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counters = p.counters
	p.counters.longestWait = 0
	return counters, p.state.OpenConns(), p.state.Waiting()
}
