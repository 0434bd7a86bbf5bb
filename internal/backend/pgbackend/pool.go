// Package pgbackend holds the connections to engines: pools that grow with use, statements prepared under
// names of ours, cancels, and each attempt's way from request to outcome. Rows go from an engine's
// connection to the answer without passing through the dispatcher's loop. It decides nothing about where or
// when a query runs.
package pgbackend

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/oserr"
)

// Config holds the settings of all pools.
type Config struct {
	User, Database string
	Application    string // application_name of all connections
	MaxConnections int    // to one engine
	MaxPrepared    int    // statements kept on one connection
	MaxMessage     int    // bytes
	ConnectTimeout time.Duration
	// a cancel not taken, or a query not ended by it, after this closes the connection
	CancelTimeout    time.Duration
	IdleTimeout      time.Duration
	LoadReportFields int // values in a load report
	// bytes of a COPY's data that may wait for the engine before the client is no longer read
	CopyBufferBytes int
	// called before each connect, with the new socket; its error fails the connect. nil: nothing is called
	Control func(network, address string, c syscall.RawConn) error
}

// Result is how an attempt ended.
type Result struct {
	Outcome          cresspass.Outcome
	ServiceTime      time.Duration // of an answer that teaches the fit; 0: none
	ResponseFinished bool          // the client has its final answer by this
	LoadReport       []float64     // load report that came with it, or nil
	SQLState         string        // SQLSTATE of an engine's error
	Message          string
}

// Attempt is one sending of a query to an engine. Ended is called once, whatever happens.
type Attempt struct {
	Query    *enginequery.Query
	Number   int
	Response *response.Response // nil: a probe
	Priority int                // -1: not set
	MemoryMB float64            // 0: not set

	FailureVerdict func() *verdict.Verdict // for a client whose answer broke off
	// waits until the client has room; returns when the answer ends
	Throttle   func()
	OnEnded    func(Result)                      // in any goroutine
	OnProgress func(cresspass.NoteType, float64) // progress
	// the engine asks for a COPY's data, to be put into the pipe; false: there is none
	StartCopyIn    func(*copyin.Pipe) bool
	OnCopyCapacity func() // a full pipe has room again
	// what a statement's Describe was answered with; nil: forget it
	OnDescribed func(key string, b []byte)

	Lease *Lease // the session's; nil: none
	// the query may leave its session on the connection, or needs it
	Stateful bool
	Settle   func(QueryEnd) Disposition // the end at the engine of a query that may have left something
	// the connection of a pinned query was lost: ends its session
	OnConnectionLost func(sent bool)

	// MayStart is asked in the moment in which the request is written; where it returns false nothing is, and
	// the attempt ends with its outcome. nil: it may
	MayStart func() (cresspass.Outcome, bool)

	done      atomic.Bool
	conn      atomic.Pointer[conn]
	startedAt time.Time
}

// QueryEnd is what an engine said of a query that may have left something with the connection.
type QueryEnd struct {
	Engine            cresspass.EngineID
	PID               uint32             // of the connection at the engine
	Secret            []byte             // of cancel requests there
	TransactionStatus byte               // of ReadyForQuery
	CommandTags       []string           // of its statements that were carried out
	SettingReported   bool               // a ParameterStatus came
	Settings          *sessionparams.Set // settings of the connection before it
}

// Disposition is what becomes of the connection.
type Disposition struct {
	Known    bool               // else nobody can say what is left on it, and it is closed
	Keep     bool               // the session stays on it
	Settings *sessionparams.Set // settings of the connection now
}

// Lease is the hold of a client's session on an engine connection. The zero value holds none.
type Lease struct {
	OnLost  func()                     // the connection was lost at rest
	OnDrain func(within time.Duration) // its engine drains

	mu     sync.Mutex
	conn   *conn
	ended  bool // the session has ended
	engine cresspass.EngineID
}

// Engine is the engine that the session is kept on; "": none.
func (l *Lease) Engine() cresspass.EngineID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine
}

// Close ends the hold of a session that is over. The connection is closed: only so is it sure that the engine
// has rolled back, and nothing of the session is left to the next.
func (l *Lease) Close() {
	l.mu.Lock()
	c := l.conn
	l.conn, l.engine, l.ended = nil, "", true
	l.mu.Unlock()
	if c != nil {
		c.netConn.Close()
	}
}

// acquire makes a connection the session's. It returns false where the session has ended.
func (l *Lease) acquire(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.conn, l.engine = c, c.engine.id
	return true
}

// release gives the connection up.
func (l *Lease) release() {
	l.mu.Lock()
	l.conn, l.engine = nil, ""
	l.mu.Unlock()
}

func (l *Lease) connection() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Drain tells the sessions kept on an engine that it drains, and that they are ended within a time.
func (p *Pool) Drain(id cresspass.EngineID, within time.Duration) {
	p.mu.Lock()
	var all []*Lease
	if e := p.engines[id]; e != nil {
		for c := range e.conns {
			if l := c.lease.Load(); l != nil {
				all = append(all, l)
			}
		}
	}
	p.mu.Unlock()
	for _, l := range all {
		l.OnDrain(within)
	}
}

// mayStart asks whether the attempt may be written now, and says how it ends if not.
func (a *Attempt) mayStart() (cresspass.Outcome, bool) {
	if a.MayStart == nil {
		return 0, true
	}
	return a.MayStart()
}

// end reports the outcome once.
func (a *Attempt) end(r Result) {
	if a.done.CompareAndSwap(false, true) {
		a.OnEnded(r)
	}
}

// Pool holds the connections to all engines.
type Pool struct {
	cfg        Config
	mu         sync.Mutex
	engines    map[cresspass.EngineID]*engine
	closed     bool
	stop       chan struct{}
	background sync.WaitGroup
}

type engine struct {
	id      cresspass.EngineID
	idle    []*conn // the last used is the last
	conns   map[*conn]struct{}
	dialing int
}

// NewPool returns pools without a connection. Close ends them.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, engines: map[cresspass.EngineID]*engine{}, stop: make(chan struct{})}
	if cfg.IdleTimeout > 0 {
		p.background.Add(1)
		go p.closeExpiredIdle()
	}
	return p
}

func (p *Pool) engineFor(id cresspass.EngineID) *engine {
	e := p.engines[id]
	if e == nil {
		e = &engine{id: id, conns: map[*conn]struct{}{}}
		p.engines[id] = e
	}
	return e
}

// Start sends an attempt to an engine. It does not block: requests are written by goroutines, as a write
// costs the loop more than the whole decision does.
func (p *Pool) Start(id cresspass.EngineID, a *Attempt) {
	a.startedAt = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		a.end(Result{Outcome: cresspass.OutcomeConnectFailed})
		return
	}
	e := p.engineFor(id)
	p.background.Add(1)
	if a.Lease != nil {
		if c := a.Lease.connection(); c != nil { // the session's own connection, and no other
			p.mu.Unlock()
			go func() {
				defer p.background.Done()
				if !c.start(a) {
					a.OnConnectionLost(false)
					a.end(Result{Outcome: cresspass.OutcomeConnectionReset, ResponseFinished: true,
						Message: "the session's connection was lost"})
				}
			}()
			return
		} else if a.Query.Sticky {
			// Danger: the connection was lost between the statement's taking and now. On any other it would
			// find nothing of its session, and run outside its transaction.
			p.background.Done()
			p.mu.Unlock()
			a.OnConnectionLost(false)
			a.end(Result{Outcome: cresspass.OutcomeNotStarted, ResponseFinished: true,
				Message: "the session's connection was lost"})
			return
		}
	}
	c := e.takeIdle()
	full := c == nil && len(e.conns)+e.dialing >= p.cfg.MaxConnections
	if c == nil && !full {
		e.dialing++
	}
	p.mu.Unlock()
	if full {
		p.background.Done()
		a.end(Result{Outcome: cresspass.OutcomeRejected, Message: "no connection to the engine is free"})
		return
	}
	go func() {
		defer p.background.Done()
		for c != nil {
			if c.start(a) {
				return
			}
			// Danger: one that closed while idle ran nothing; that is no failure of the engine.
			p.mu.Lock()
			if c = e.takeIdle(); c == nil {
				e.dialing++
			}
			p.mu.Unlock()
		}
		p.dialAndStart(e, a)
	}()
}

// takeIdle takes the connection that was used last out of the idle ones; nil: there is none. The caller
// holds the lock.
func (e *engine) takeIdle() *conn {
	n := len(e.idle)
	if n == 0 {
		return nil
	}
	c := e.idle[n-1]
	e.idle = e.idle[:n-1]
	return c
}

func (p *Pool) dialAndStart(e *engine, a *Attempt) {
	c, r := connect(p, e)
	p.mu.Lock()
	e.dialing--
	if c != nil && p.closed {
		p.mu.Unlock()
		c.netConn.Close()
		a.end(Result{Outcome: cresspass.OutcomeConnectFailed})
		return
	}
	if c == nil {
		p.mu.Unlock()
		a.end(r)
		return
	}
	e.conns[c] = struct{}{}
	p.background.Add(1)
	p.mu.Unlock()
	c.start(a) // one withdrawn in the meantime is not sent
	go func() {
		defer p.background.Done()
		c.readLoop()
	}()
}

// Stop disowns an attempt: its outcome is the given one, and its engine is asked to cancel it. Where its rows
// have begun to go out it stays, and false is returned.
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

// putIdle puts a connection back for use.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := c.engine.conns[c]; !ok || p.closed {
		return
	}
	c.idleSince = time.Now()
	c.engine.idle = append(c.engine.idle, c)
}

// removeConn forgets a connection that is closed.
func (p *Pool) removeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(c.engine.conns, c)
	for i, v := range c.engine.idle {
		if v == c {
			c.engine.idle = append(c.engine.idle[:i], c.engine.idle[i+1:]...)
			break
		}
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
	for _, c := range idle {
		c.netConn.Close()
	}
}

// RetainEngines forgets engines that are not listed and have no connection in use; their idle connections
// are closed.
func (p *Pool) RetainEngines(listed map[cresspass.EngineID]bool) {
	p.mu.Lock()
	var gone []cresspass.EngineID
	for id, e := range p.engines {
		if !listed[id] {
			if len(e.conns) == 0 && e.dialing == 0 {
				delete(p.engines, id)
			} else {
				gone = append(gone, id)
			}
		}
	}
	p.mu.Unlock()
	for _, id := range gone {
		p.CloseIdle(id)
	}
}

// ConnectionCounts is the number of connections, and of those idle.
func (p *Pool) ConnectionCounts() (all, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		all, idle = all+len(e.conns), idle+len(e.idle)
	}
	return all, idle
}

// closeExpiredIdle closes connections that were idle for long.
func (p *Pool) closeExpiredIdle() {
	defer p.background.Done()
	every := time.NewTicker(max(p.cfg.IdleTimeout/4, 10*time.Millisecond))
	defer every.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-every.C:
			var old []*conn
			p.mu.Lock()
			for _, e := range p.engines {
				n := 0
				for n < len(e.idle) && now.Sub(e.idle[n].idleSince) > p.cfg.IdleTimeout {
					n++
				}
				old = append(old, e.idle[:n]...)
				e.idle = e.idle[n:]
			}
			p.mu.Unlock()
			for _, c := range old {
				c.netConn.Close()
			}
		}
	}
}

// Close closes all connections and waits for their goroutines. Attempts that were out end as reset.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.stop)
	var all []*conn
	for _, e := range p.engines {
		for c := range e.conns {
			all = append(all, c)
		}
	}
	p.mu.Unlock()
	for _, c := range all {
		c.netConn.Close()
	}
	p.background.Wait()
}

// dialer connects with a limit of time.
// How often a connection is made again where our own machine has none for a moment.
const (
	dialRetryPause = 10 * time.Millisecond // before the first time, doubled each time...
	dialRetryLimit = time.Second           // ...until that has passed
)

// dialWithRetry connects to an engine, and again where our own machine fails.
func (p *Pool) dialWithRetry(addr string) (net.Conn, error) {
	for pause, waited := dialRetryPause, time.Duration(0); ; pause *= 2 {
		c, err := p.dialer().Dial("tcp", addr)
		if !oserr.IsLocal(err) || waited >= dialRetryLimit {
			return c, err
		}
		select {
		case <-time.After(pause):
		case <-p.stop:
			return nil, err
		}
		waited += pause
	}
}

func (p *Pool) dialer() *net.Dialer {
	return &net.Dialer{Timeout: p.cfg.ConnectTimeout, Control: p.cfg.Control}
}
