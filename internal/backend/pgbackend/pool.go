// Package pgbackend holds the connections to engines: pools that grow with use, statements prepared under names
// of ours, cancels, and each attempt's way from request to outcome. Rows go from an engine's connection to
// the answer without passing through the dispatcher's loop. It decides nothing about where or when a query
// runs.
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
	CancelTimeout time.Duration
	IdleTimeout   time.Duration
	ReportFields  int // values in a load report
	// bytes of a COPY's data that may wait for the engine before the client is no longer read
	CopyAhead int
	// called before each connect, with the new socket; its error fails the connect. nil: nothing is called
	Control func(network, address string, c syscall.RawConn) error
}

// Result is how an attempt ended.
type Result struct {
	Outcome  cresspass.Outcome
	Took     time.Duration // of an answer that teaches the fit; 0: none
	Finished bool          // the client has its final answer by this
	Report   []float64     // load report that came with it, or nil
	Code     string        // SQLSTATE of an engine's error
	Message  string
}

// Attempt is one sending of a query to an engine. Ended is called once, whatever happens.
type Attempt struct {
	Ask      *enginequery.Ask
	Number   int
	Answer   *response.Answer // nil: a probe
	Priority int              // -1: not set
	MemoryMB float64          // 0: not set

	Failure func() *verdict.Verdict // for a client whose answer broke off
	// waits until the client has room; returns when the answer ends
	Throttle func()
	Ended    func(Result)                      // in any goroutine
	Noted    func(cresspass.NoteType, float64) // progress
	// the engine asks for a COPY's data, to be put into the pipe; false: there is none
	Copy func(*copyin.Pipe) bool
	Room func() // a full pipe has room again
	// what a statement's Describe was answered with; nil: forget it
	Described func(key string, b []byte)

	Lease *Lease // the session's; nil: none
	// the query may leave its session on the connection, or needs it
	Pinned  bool
	Settled func(End) Stay // the end at the engine of a query that may have left something
	// the connection of a pinned query was lost: ends its session
	Broken func(sent bool)

	// MayBegin is asked in the moment in which the request is written; where it returns false nothing is, and
	// the attempt ends with its outcome. nil: it may
	MayBegin func() (cresspass.Outcome, bool)

	done atomic.Bool
	conn atomic.Pointer[conn]
	at   time.Time
}

// End is what an engine said of a query that may have left something with the connection.
type End struct {
	Engine cresspass.EngineID
	PID    uint32             // of the connection at the engine
	Secret []byte             // of cancel requests there
	Status byte               // of ReadyForQuery
	Tags   []string           // of its statements that were carried out
	Told   bool               // a ParameterStatus came
	Had    *sessionparams.Set // settings of the connection before it
}

// Stay is what becomes of the connection.
type Stay struct {
	Known bool               // else nobody can say what is left on it, and it is closed
	Keep  bool               // the session stays on it
	Has   *sessionparams.Set // settings of the connection now
}

// Lease is the hold of a client's session on an engine connection. The zero value holds none.
type Lease struct {
	OnLost  func()                     // the connection was lost at rest
	OnDrain func(within time.Duration) // its engine drains

	mu     sync.Mutex
	conn   *conn
	gone   bool // the session has ended
	engine cresspass.EngineID
}

// Engine is the engine that the session is kept on; "": none.
func (l *Lease) Engine() cresspass.EngineID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine
}

// Drop ends the hold of a session that is over. The connection is closed: only so is it sure that the engine
// has rolled back, and nothing of the session is left to the next.
func (l *Lease) Drop() {
	l.mu.Lock()
	c := l.conn
	l.conn, l.engine, l.gone = nil, "", true
	l.mu.Unlock()
	if c != nil {
		c.nc.Close()
	}
}

// hold makes a connection the session's. It returns false where the session has ended.
func (l *Lease) hold(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return false
	}
	l.conn, l.engine = c, c.engine.id
	return true
}

// free gives the connection up.
func (l *Lease) free() {
	l.mu.Lock()
	l.conn, l.engine = nil, ""
	l.mu.Unlock()
}

func (l *Lease) held() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Drain tells the sessions kept on an engine that it drains, and that they are ended within a time.
func (p *Pool) Drain(id cresspass.EngineID, within time.Duration) {
	p.mu.Lock()
	var all []*Lease
	if e := p.engines[id]; e != nil {
		for c := range e.all {
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

// mayBegin asks whether the attempt may be written now, and says how it ends if not.
func (a *Attempt) mayBegin() (cresspass.Outcome, bool) {
	if a.MayBegin == nil {
		return 0, true
	}
	return a.MayBegin()
}

// end reports the outcome once.
func (a *Attempt) end(r Result) {
	if a.done.CompareAndSwap(false, true) {
		a.Ended(r)
	}
}

// Pool holds the connections to all engines.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	engines map[cresspass.EngineID]*engine
	closed  bool
	stop    chan struct{}
	work    sync.WaitGroup
}

type engine struct {
	id    cresspass.EngineID
	idle  []*conn // the last used is the last
	all   map[*conn]struct{}
	dials int
}

// NewPool returns pools without a connection. Close ends them.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, engines: map[cresspass.EngineID]*engine{}, stop: make(chan struct{})}
	if cfg.IdleTimeout > 0 {
		p.work.Add(1)
		go p.tidy()
	}
	return p
}

func (p *Pool) engine(id cresspass.EngineID) *engine {
	e := p.engines[id]
	if e == nil {
		e = &engine{id: id, all: map[*conn]struct{}{}}
		p.engines[id] = e
	}
	return e
}

// Start sends an attempt to an engine. It does not block: requests are written by goroutines, as a write
// costs the loop more than the whole decision does.
func (p *Pool) Start(id cresspass.EngineID, a *Attempt) {
	a.at = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		a.end(Result{Outcome: cresspass.ConnectFailed})
		return
	}
	e := p.engine(id)
	p.work.Add(1)
	if a.Lease != nil {
		if c := a.Lease.held(); c != nil { // the session's own connection, and no other
			p.mu.Unlock()
			go func() {
				defer p.work.Done()
				if !c.begin(a) {
					a.Broken(false)
					a.end(Result{Outcome: cresspass.Reset, Finished: true,
						Message: "the session's connection was lost"})
				}
			}()
			return
		} else if a.Ask.Bound {
			// Danger: the connection was lost between the statement's taking and now. On any other it would
			// find nothing of its session, and run outside its transaction.
			p.work.Done()
			p.mu.Unlock()
			a.Broken(false)
			a.end(Result{Outcome: cresspass.Moot, Finished: true,
				Message: "the session's connection was lost"})
			return
		}
	}
	c := e.take()
	full := c == nil && len(e.all)+e.dials >= p.cfg.MaxConnections
	if c == nil && !full {
		e.dials++
	}
	p.mu.Unlock()
	if full {
		p.work.Done()
		a.end(Result{Outcome: cresspass.Full, Message: "no connection to the engine is free"})
		return
	}
	go func() {
		defer p.work.Done()
		for c != nil {
			if c.begin(a) {
				return
			}
			// Danger: one that closed while idle ran nothing; that is no failure of the engine.
			p.mu.Lock()
			if c = e.take(); c == nil {
				e.dials++
			}
			p.mu.Unlock()
		}
		p.dial(e, a)
	}()
}

// take takes the connection that was used last out of the idle ones; nil: there is none. The caller holds the
// lock.
func (e *engine) take() *conn {
	n := len(e.idle)
	if n == 0 {
		return nil
	}
	c := e.idle[n-1]
	e.idle = e.idle[:n-1]
	return c
}

func (p *Pool) dial(e *engine, a *Attempt) {
	c, r := connect(p, e)
	p.mu.Lock()
	e.dials--
	if c != nil && p.closed {
		p.mu.Unlock()
		c.nc.Close()
		a.end(Result{Outcome: cresspass.ConnectFailed})
		return
	}
	if c == nil {
		p.mu.Unlock()
		a.end(r)
		return
	}
	e.all[c] = struct{}{}
	p.work.Add(1)
	p.mu.Unlock()
	c.begin(a) // one withdrawn in the meantime is not sent
	go func() {
		defer p.work.Done()
		c.read()
	}()
}

// Stop disowns an attempt: its outcome is the given one, and its engine is asked to cancel it. Where its rows
// have begun to go out it stays, and false is returned.
func (p *Pool) Stop(a *Attempt, outcome cresspass.Outcome) bool {
	if a.Answer != nil && !a.Answer.Disown(a.Number) {
		return false
	}
	a.end(Result{Outcome: outcome})
	if c := a.conn.Load(); c != nil {
		c.cancel(a)
	}
	return true
}

// give puts a connection back for use.
func (p *Pool) give(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := c.engine.all[c]; !ok || p.closed {
		return
	}
	c.idleSince = time.Now()
	c.engine.idle = append(c.engine.idle, c)
}

// drop forgets a connection that is closed.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(c.engine.all, c)
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
		c.nc.Close()
	}
}

// Keep forgets engines that are not listed and have no connection in use; their idle connections are closed.
func (p *Pool) Keep(listed map[cresspass.EngineID]bool) {
	p.mu.Lock()
	var gone []cresspass.EngineID
	for id, e := range p.engines {
		if !listed[id] {
			if len(e.all) == 0 && e.dials == 0 {
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

// Count is the number of connections, and of those idle.
func (p *Pool) Count() (all, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		all, idle = all+len(e.all), idle+len(e.idle)
	}
	return all, idle
}

// tidy closes connections that were idle for long.
func (p *Pool) tidy() {
	defer p.work.Done()
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
				c.nc.Close()
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
		for c := range e.all {
			all = append(all, c)
		}
	}
	p.mu.Unlock()
	for _, c := range all {
		c.nc.Close()
	}
	p.work.Wait()
}

// dialer connects with a limit of time.
// How often a connection is made again where our own machine has none for a moment.
const (
	dialAgain = 10 * time.Millisecond // before the first time, doubled each time...
	dialMost  = time.Second           // ...until that has passed
)

// dialPatiently connects to an engine, and again where our own machine fails.
func (p *Pool) dialPatiently(addr string) (net.Conn, error) {
	for pause, waited := dialAgain, time.Duration(0); ; pause *= 2 {
		c, err := p.dialer().Dial("tcp", addr)
		if !oserr.OwnMachine(err) || waited >= dialMost {
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
