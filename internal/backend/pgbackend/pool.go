// Package pgbackend manages the connections to engines: pools that grow on demand, statements prepared under
// names that the package chooses, cancel requests, and each attempt from its request to its result. Rows go
// from an engine's connection to the response without passing through the dispatcher's event loop. The
// package does not decide where or when a query runs.
package pgbackend

import (
	"sync"
	"syscall"
	"time"

	"cresspass"
)

// Config holds the settings of all pools.
type Config struct {
	User, Database   string
	Application      string // application_name of all connections
	MaxConnections   int    // to each engine
	MaxPrepared      int    // statements prepared on one connection
	MaxMessage       int    // largest message body from an engine, in bytes
	LoadReportFields int    // values in a load report
	CopyBufferBytes  int    // buffered data of a COPY at which reading from its client pauses

	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // idle connections are closed after this time; 0: never
	// CancelTimeout bounds how long an engine may take to accept a cancel request and to end the query. After
	// that the connection is closed.
	CancelTimeout time.Duration

	// Control is called with the new socket before each connect; an error from it fails the connect. It may
	// be nil.
	Control func(network, address string, c syscall.RawConn) error
}

// How often the pool checks for expired idle connections.
const (
	idleChecksPerTimeout = 4                     // checks within each IdleTimeout
	minIdleCheckInterval = 10 * time.Millisecond // lower bound of the interval between two checks
)

// Pool holds the connections to all engines. Its methods may be called from several goroutines.
type Pool struct {
	cfg        Config
	stop       chan struct{} // closed by Close
	background sync.WaitGroup

	mu      sync.Mutex
	engines map[cresspass.EngineID]*engine
	closed  bool
}

// engine holds the connections to one engine. All fields but id are guarded by Pool.mu.
type engine struct {
	id      cresspass.EngineID
	idle    []*conn // the most recently used last
	conns   map[*conn]struct{}
	dialing int // number of connections being opened
}

// NewPool returns a pool without connections. Close must be called to stop it.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, engines: map[cresspass.EngineID]*engine{}, stop: make(chan struct{})}
	if cfg.IdleTimeout > 0 {
		p.background.Add(1)
		go p.closeExpiredIdle()
	}
	return p
}

// Start sends an attempt to an engine. It does not block: requests are written by other goroutines, because a
// write costs the event loop more than the whole decision does.
func (p *Pool) Start(id cresspass.EngineID, a *Attempt) {
	a.startedAt = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		a.end(Result{Outcome: cresspass.OutcomeConnectFailed})
		return
	}
	if a.Lease != nil {
		c := a.Lease.connection()
		switch {
		case c != nil: // the session's own connection, and no other
			p.background.Add(1)
			p.mu.Unlock()
			go p.startOnLeased(c, a)
			return
		case a.Query.Sticky:
			p.mu.Unlock()
			endLeaseLost(a, cresspass.OutcomeNotStarted)
			return
		}
	}
	e := p.engineFor(id)
	c := e.takeIdle()
	full := c == nil && len(e.conns)+e.dialing >= p.cfg.MaxConnections
	if c == nil && !full {
		e.dialing++
	}
	if full {
		p.mu.Unlock()
		a.end(Result{Outcome: cresspass.OutcomeRejected, Message: "no connection to the engine is free"})
		return
	}
	p.background.Add(1)
	p.mu.Unlock()
	go p.startOnIdle(e, c, a)
}

// startOnLeased sends an attempt on its session's own connection.
func (p *Pool) startOnLeased(c *conn, a *Attempt) {
	defer p.background.Done()
	if !c.start(a) {
		endLeaseLost(a, cresspass.OutcomeConnectionReset)
	}
}

// endLeaseLost ends an attempt whose session lost its connection after the statement arrived. The attempt
// must not be sent on another connection: the session's state would be missing there, and the statement would
// run outside its transaction.
func endLeaseLost(a *Attempt, outcome cresspass.Outcome) {
	a.OnConnectionLost(false)
	a.end(Result{Outcome: outcome, ResponseFinished: true, Message: "the session's connection was lost"})
}

// startOnIdle sends an attempt on the idle connection c, or on a new connection if c is nil. If an idle
// connection has closed in the meantime, nothing ran on it and the engine has not failed: the next idle
// connection is used.
func (p *Pool) startOnIdle(e *engine, c *conn, a *Attempt) {
	defer p.background.Done()
	for c != nil {
		if c.start(a) {
			return
		}
		p.mu.Lock()
		if c = e.takeIdle(); c == nil {
			e.dialing++
		}
		p.mu.Unlock()
	}
	p.dialAndStart(e, a)
}

// dialAndStart opens a connection and sends an attempt on it.
func (p *Pool) dialAndStart(e *engine, a *Attempt) {
	c, r := connect(p, e)
	p.mu.Lock()
	e.dialing--
	if c == nil {
		p.mu.Unlock()
		a.end(r)
		return
	}
	if p.closed {
		p.mu.Unlock()
		c.close()
		a.end(Result{Outcome: cresspass.OutcomeConnectFailed})
		return
	}
	e.conns[c] = struct{}{}
	p.background.Add(1)
	p.mu.Unlock()
	c.start(a) // an attempt that was withdrawn meanwhile is not sent
	go func() {
		defer p.background.Done()
		c.readLoop()
	}()
}

// Stop withdraws an attempt: the attempt ends with the given outcome, and the engine is asked to cancel it.
// If rows of the attempt have already been sent to the client, the attempt continues and Stop returns false.
func (p *Pool) Stop(a *Attempt, outcome cresspass.Outcome) bool {
	if a.Response != nil && !a.Response.Revoke(a.Number) {
		return false
	}
	a.end(Result{Outcome: outcome})
	if c := a.conn.Load(); c != nil {
		c.cancelAttempt(a)
	}
	return true
}

// spawn runs f in a goroutine that Close waits for. It does nothing if the pool is closed.
func (p *Pool) spawn(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		f()
	}()
}

// engineFor returns the entry of an engine and adds it if it is new. The caller holds p.mu.
func (p *Pool) engineFor(id cresspass.EngineID) *engine {
	e := p.engines[id]
	if e == nil {
		e = &engine{id: id, conns: map[*conn]struct{}{}}
		p.engines[id] = e
	}
	return e
}

// takeIdle removes and returns the most recently used idle connection, or nil if there is none. The caller
// holds Pool.mu.
func (e *engine) takeIdle() *conn {
	n := len(e.idle)
	if n == 0 {
		return nil
	}
	c := e.idle[n-1]
	e.idle = e.idle[:n-1]
	return c
}

// putIdle returns a connection to the pool.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := c.engine.conns[c]; !ok || p.closed {
		return
	}
	c.idleSince = time.Now()
	c.engine.idle = append(c.engine.idle, c)
}

// removeConn removes a closed connection from the pool.
func (p *Pool) removeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(c.engine.conns, c)
	for i, idle := range c.engine.idle {
		if idle == c {
			c.engine.idle = append(c.engine.idle[:i], c.engine.idle[i+1:]...)
			break
		}
	}
}

// Drain notifies the sessions on an engine that the engine drains and that they end after the given time.
func (p *Pool) Drain(id cresspass.EngineID, within time.Duration) {
	p.mu.Lock()
	var leases []*Lease
	if e := p.engines[id]; e != nil {
		for c := range e.conns {
			if l := c.lease.Load(); l != nil {
				leases = append(leases, l)
			}
		}
	}
	p.mu.Unlock()
	for _, l := range leases {
		l.OnDrain(within)
	}
}

// CloseIdle closes the idle connections to an engine.
func (p *Pool) CloseIdle(id cresspass.EngineID) {
	p.mu.Lock()
	var idle []*conn
	if e := p.engines[id]; e != nil {
		idle, e.idle = e.idle, nil
	}
	p.mu.Unlock()
	closeAll(idle)
}

// RetainEngines removes the engines that are not listed and have no connections. For unlisted engines that
// still have connections, it closes the idle ones.
func (p *Pool) RetainEngines(listed map[cresspass.EngineID]bool) {
	p.mu.Lock()
	var removed []cresspass.EngineID
	for id, e := range p.engines {
		switch {
		case listed[id]:
		case len(e.conns) == 0 && e.dialing == 0:
			delete(p.engines, id)
		default:
			removed = append(removed, id)
		}
	}
	p.mu.Unlock()
	for _, id := range removed {
		p.CloseIdle(id)
	}
}

// ConnectionCounts returns the number of connections to all engines, and how many of them are idle.
func (p *Pool) ConnectionCounts() (all, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		all, idle = all+len(e.conns), idle+len(e.idle)
	}
	return all, idle
}

// closeExpiredIdle closes connections that have been idle for IdleTimeout. It returns when the pool is
// closed.
func (p *Pool) closeExpiredIdle() {
	defer p.background.Done()
	ticker := time.NewTicker(max(p.cfg.IdleTimeout/idleChecksPerTimeout, minIdleCheckInterval))
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			closeAll(p.takeExpired(now))
		}
	}
}

// takeExpired removes and returns the connections that have been idle for longer than IdleTimeout. They are
// the first in each engine's list.
func (p *Pool) takeExpired(now time.Time) (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		n := 0
		for n < len(e.idle) && now.Sub(e.idle[n].idleSince) > p.cfg.IdleTimeout {
			n++
		}
		expired = append(expired, e.idle[:n]...)
		e.idle = e.idle[n:]
	}
	return expired
}

// Close closes all connections and waits for their goroutines. Running attempts end with
// OutcomeConnectionReset.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.stop)
	var conns []*conn
	for _, e := range p.engines {
		for c := range e.conns {
			conns = append(conns, c)
		}
	}
	p.mu.Unlock()
	closeAll(conns)
	p.background.Wait()
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}
