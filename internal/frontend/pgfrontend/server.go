// Package pgfrontend serves PostgreSQL clients on lesismal/nbio: a few polling goroutines for any number of
// connections, no goroutine and no buffer for an idle one. It is a shell around
// internal/frontend/pgfrontend/pgsession.
package pgfrontend

import (
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/affinity/registry"
	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/pgfrontend/pgsession"
	"cresspass/internal/netlisten"
	"cresspass/internal/protocol/pgwire"
)

// Config holds the settings of the front.
type Config struct {
	Session    pgsession.Config
	MaxClients int // further ones are answered with 53300
	// AcquireConnection reports whether there is room for one more client; Disconnect gives the room back.
	AcquireConnection func() bool
	ReleaseConnection func()
	StartupTimeout    time.Duration
	HoldBack          int   // bytes of an answer held back before the first goes out
	HoldBackTotal     int64 // the same over all answers
	ClientBuffer      int   // bytes a client may leave untaken before the engine is no longer read

	// AdmitUser reports whether a user may have one more connection, and why not; Leave follows each that
	// was let in.
	AdmitUser   func(user string) (reason string, ok bool)
	ReleaseUser func(user string)

	Registry *registry.Registry // sessions that are kept on engines
}

// maxRejectedConnections is how many connections over the limit are told so; beyond, they are closed at once.
const maxRejectedConnections = 256

// Name is the front's, in settings of shares.
const Name = "postgresql"

// Server serves clients. Make one with New.
type Server struct {
	cfg        atomic.Pointer[Config]
	dispatcher frontend.Dispatcher
	log        *slog.Logger
	budget     response.BufferBudget
	poller     *nbio.Engine

	mu          sync.Mutex
	clients     map[uint32]*client
	listeners   []net.Listener
	closed      bool
	draining    bool
	acceptLoops sync.WaitGroup
	opened      atomic.Uint64
	nextPID     uint32
}

// client is one connection.
type client struct {
	server         *Server
	netConn        *nbio.Conn
	pid            uint32
	overLimit      bool // beyond the limit of clients
	admitted       bool // the user was admitted
	registration   registry.Entry
	done           chan struct{}
	capacity       chan struct{} // of one: there may be room again
	queuedBytes    atomic.Int64  // bytes given to the network
	writtenBytes   atomic.Int64  // bytes the network took
	awaitsCapacity atomic.Bool   // throttle looks for room

	lease pgbackend.Lease // the engine connection that the session is kept on

	readLock sync.Mutex                  // one goroutine reads the client; taken before mu
	copyPipe atomic.Pointer[copyin.Pipe] // takes the data of a COPY; nil: none runs

	mu             sync.Mutex
	session        *pgsession.Session
	current        *frontend.Query
	nextQuery      *enginequery.Query // to be taken once cur has ended in the module's books
	closed         bool
	readPaused     bool // left unread: too much was sent ahead
	connectionLost bool // its engine connection was lost while a query was under way
	closeWhenIdle  bool // to be told to go once idle
	startupTimer   *time.Timer
	drainTimer     *time.Timer // ends a client that came as a drain began
}

// New returns a server that hands queries to taker.
func New(cfg Config, taker frontend.Dispatcher, log *slog.Logger) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	s := &Server{dispatcher: taker, log: log, clients: map[uint32]*client{},
		budget: response.BufferBudget{MaxBytes: cfg.HoldBackTotal},
		// Edge-triggered, so that a client whose bytes have nowhere to go can be left unread at no cost.
		poller: nbio.NewEngine(nbio.Config{Name: "postgresql", EpollMod: nbio.EPOLLET})}
	s.cfg.Store(&cfg)
	s.poller.OnOpen(s.onOpen)
	s.poller.OnRead(func(nc *nbio.Conn) { s.clientOf(nc).readAvailable() })
	s.poller.OnClose(func(nc *nbio.Conn, err error) { s.clientOf(nc).onClose() })
	s.poller.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) { s.clientOf(nc).onWritten(n) })
	if err := s.poller.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts clients on a listener until Close.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, ln)
	s.acceptLoops.Add(1)
	go func() {
		defer s.acceptLoops.Done()
		for {
			nc, err := netlisten.ResilientListener{Listener: ln}.Accept()
			if err != nil {
				return
			}
			if _, err := s.poller.AddConn(nc); err != nil {
				s.log.Warn("client connection not taken", "error", err)
			}
		}
	}()
}

// Clients is the number of connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// Pending is the number of bytes held back, or given to the network and not yet taken by clients.
func (s *Server) Pending() int64 {
	n := s.budget.Used()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		n += c.queuedBytes.Load() - c.writtenBytes.Load()
	}
	return n
}

// Reload puts other settings in force: limits for what comes from now on.
func (s *Server) Reload(change func(cfg *Config)) {
	cfg := *s.cfg.Load()
	change(&cfg)
	s.cfg.Store(&cfg)
}

// Drain stops listening and tells idle clients 57P01; each other client is told so after its answer. A
// session that is kept on an engine stays until it is free, or until Cut; one kept by more than a transaction
// is told by a notice.
func (s *Server) Drain() {
	s.StopListening()
	s.mu.Lock()
	s.draining = true
	all := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		c.closeWhenIdle = true
		// One that has only just come is served once; it came to a listener that had not said no.
		idle := !c.session.Busy() && c.session.Started() && !c.session.Affinity.Bound()
		if c.session.Affinity.State() == affinity.StateSticky && !c.session.Busy() && !c.closed {
			c.sendWarning("the dispatcher is shutting down, and this session is kept on an engine by " +
				c.session.Affinity.Reason().String() + "; it will be ended")
		}
		if !c.session.Started() {
			c.drainTimer = time.AfterFunc(newClientGrace, func() { c.terminate("57P01", shutdownMessage) })
		}
		c.mu.Unlock()
		if idle {
			c.terminate("57P01", shutdownMessage)
		}
	}
}

// TerminateAll ends all clients that are left.
func (s *Server) TerminateAll() {
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range all {
		c.terminate("57P01", shutdownMessage)
	}
}

// newClientGrace is how long a client that had only just come when a drain began may take to ask.
const newClientGrace = 2 * time.Second

// shutdownMessage is what clients of a dispatcher that stops are told.
const shutdownMessage = "terminating connection: the dispatcher is shutting down"

// Close ends all connections: idle clients are told 57P01 and closed.
func (s *Server) Close() {
	s.StopListening()
	s.mu.Lock()
	s.closed = true
	all := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range all {
		c.terminate("57P01", shutdownMessage)
	}
	s.poller.Stop()
	s.acceptLoops.Wait()
}

// StopListening closes the listeners; connections stay.
func (s *Server) StopListening() {
	s.mu.Lock()
	lns := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	for _, ln := range lns {
		ln.Close()
	}
}

// clientOf returns a connection's client. The polling goroutine gets connections from the accepting one by
// way of epoll, which Go's memory model does not know of; opened orders the two.
func (s *Server) clientOf(nc *nbio.Conn) *client {
	s.opened.Load()
	return nc.Session().(*client)
}

func (s *Server) onOpen(nc *nbio.Conn) {
	defer s.opened.Add(1)
	secret := make([]byte, 32)
	rand.Read(secret)
	c := &client{server: s, netConn: nc, done: make(chan struct{}), capacity: make(chan struct{}, 1)}
	s.mu.Lock()
	for s.nextPID++; s.nextPID == 0 || s.clients[s.nextPID] != nil; s.nextPID++ {
	}
	c.pid = s.nextPID
	n := len(s.clients)
	cfg := s.cfg.Load()
	if c.closeWhenIdle = s.draining; c.closeWhenIdle {
		c.drainTimer = time.AfterFunc(newClientGrace, func() { c.terminate("57P01", shutdownMessage) })
	}
	s.clients[c.pid] = c
	closed := s.closed
	s.mu.Unlock()
	c.overLimit = !cfg.AcquireConnection()
	c.session = pgsession.New(&cfg.Session, c.pid, string(secret))
	c.lease.OnLost, c.lease.OnDrain, c.registration.Expire = c.onIdleConnectionLost, c.onEngineDraining, c.terminateIfDue
	nc.SetSession(c)
	nc.SetNoDelay(true)
	if closed || n >= cfg.MaxClients+maxRejectedConnections {
		time.AfterFunc(time.Millisecond, func() { nc.Close() }) // after the network has it in its books
		return
	}
	c.mu.Lock()
	c.startupTimer = time.AfterFunc(cfg.StartupTimeout, func() { c.onStartupTimeout(cfg.StartupTimeout) })
	c.mu.Unlock()
}

// onStartupTimeout ends a connection that has not started in time.
func (c *client) onStartupTimeout(limit time.Duration) {
	c.mu.Lock()
	started := c.session.Started()
	c.mu.Unlock()
	if !started {
		c.terminate("08P01", "no startup packet within "+limit.String())
	}
}

// terminate closes a connection from our side with a FATAL error. What runs for it is taken back.
func (c *client) terminate(code, message string) {
	c.mu.Lock()
	c.session.Terminate(code, message)
	c.flushOutput()
	c.mu.Unlock()
	c.netConn.Close()
}

// flushOutput writes what the session has to say. The caller holds c.mu.
func (c *client) flushOutput() {
	if b := c.session.Output(); len(b) > 0 && !c.closed {
		c.write(b)
	}
}

func (c *client) write(b []byte) {
	c.queuedBytes.Add(int64(len(b)))
	c.netConn.Write(b)
}

func (c *client) onWritten(n int) {
	if took := c.writtenBytes.Add(int64(n)); c.awaitsCapacity.Load() &&
		c.queuedBytes.Load()-took <= int64(c.server.cfg.Load().ClientBuffer)/2 {
		select {
		case c.capacity <- struct{}{}:
		default:
		}
	}
}

// readBuffers are for reading; they are held for the time of one call only.
var readBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// maxReadsPerTurn is how often a client is read in one go; another goroutine goes on, so that the polling
// one can see to the others.
const maxReadsPerTurn = 16

// readAvailable takes what the client has sent. Events tell of new bytes only, so it reads until there are
// none, or until a copy's pipe is full; whoever empties that calls it again.
func (c *client) readAvailable() {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	buf := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buf)
	for n := 0; ; n++ {
		if p := c.copyPipe.Load(); p != nil && p.Full() || c.pauseIfBacklogged() {
			return
		}
		if n == maxReadsPerTurn {
			go c.readAvailable()
			return
		}
		got, err := c.netConn.Read(*buf)
		switch {
		case err == nil && got > 0:
			c.onData((*buf)[:got])
			if got < len(*buf) {
				return // what comes later is a new event
			}
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default:
			c.netConn.Close()
			return
		}
	}
}

// pauseIfBacklogged reports whether the client has sent so much ahead that it is left unread until its query
// ends or asks for a copy's data. Drivers send that before they are asked.
func (c *client) pauseIfBacklogged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readPaused = c.session.Backlogged()
	return c.readPaused
}

// resumeReading reads a client on that was left unread. The caller holds c.mu.
func (c *client) resumeReading() {
	if c.readPaused {
		c.readPaused = false
		go c.readAvailable()
	}
}

// startCopyIn opens a COPY's pipe to the client.
func (c *client) startCopyIn(q *frontend.Query, p *copyin.Pipe) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != q || c.closed || !c.session.StartCopyIn() {
		return false
	}
	c.copyPipe.Store(p)
	c.feedCopyPipe()
	c.resumeReading()
	return true
}

// feedCopyPipe puts copy data into the pipe. The caller holds c.mu.
func (c *client) feedCopyPipe() {
	if p := c.copyPipe.Load(); p != nil {
		if b, end := c.session.TakeCopyData(); len(b) > 0 {
			p.Put(b, end)
		}
	}
}

// onData takes bytes of the client, in whatever goroutine reads it.
func (c *client) onData(b []byte) {
	c.mu.Lock()
	started := c.session.Started()
	c.session.Receive(b)
	if !started && c.session.Started() {
		if c.startupTimer != nil {
			c.startupTimer.Stop()
			c.startupTimer = nil
		}
		c.rejectIfUnservable()
	}
	c.feedCopyPipe()
	pending := c.session.TakeQuery()
	over, cancel := c.session.Closing(), c.session.CancelRequest()
	q := c.newQuery(pending)
	if q == nil { // else what there is to say goes out with the answer
		c.flushOutput()
	}
	c.mu.Unlock()
	if q != nil && c.rejectIfStickyLimit(q) {
		return
	}
	if cancel != nil {
		c.server.handleCancel(cancel)
	}
	if over {
		c.netConn.Close()
		return
	}
	if q != nil {
		c.server.dispatcher.Submit(q)
	}
}

// rejectIfUnservable tells a client that has started, in place of the welcome, where it cannot be served.
// The caller holds c.mu.
func (c *client) rejectIfUnservable() {
	cfg := c.server.cfg.Load()
	c.registration.User = c.session.User
	code, why := "", ""
	switch {
	case c.session.Closing():
		return
	case c.overLimit:
		code, why = "53300", fmt.Sprintf("too many clients: at most %d are served, by all fronts",
			cfg.MaxClients)
	case cfg.AdmitUser != nil:
		if why, c.admitted = cfg.AdmitUser(c.session.User); !c.admitted {
			code, why = "53300", "too many clients: "+why
		}
	}
	if code != "" {
		c.session.Output()
		c.session.Terminate(code, why)
	}
}

// newQuery makes a query of an Ask. The caller holds c.mu.
func (c *client) newQuery(k *enginequery.Query) *frontend.Query {
	if k == nil || c.closed {
		return nil
	}
	s := c.session
	q := &frontend.Query{Frontend: Name, EngineQuery: k, OnResponseEnded: c.submitNext,
		Client: classify.Client{User: s.User, Database: s.Database, Application: s.Application,
			Timeout: s.StatementTimeout}}
	q.Response = response.New(&sink{c, k.Kind}, &c.server.budget, c.server.cfg.Load().HoldBack)
	q.Throttle = func() { c.awaitCapacity(q.Response.Done()) }
	q.Lease = &c.lease
	q.StartCopyIn = func(p *copyin.Pipe) bool { return c.startCopyIn(q, p) }
	q.OnCopyCapacity = func() { go c.readAvailable() }
	q.Settle = func(end pgbackend.QueryEnd) pgbackend.Disposition { return c.settleQuery(q, end) }
	q.OnConnectionLost = func(sent bool) { c.onConnectionLost(q, sent) }
	c.current = q
	return q
}

// settleQuery takes the end of a query at its engine.
func (c *client) settleQuery(q *frontend.Query, end pgbackend.QueryEnd) pgbackend.Disposition {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != q {
		return pgbackend.Disposition{} // its answer has ended by other hands
	}
	p := c.session.Affinity
	p.Params.ConnectionHad(end.Settings)
	if end.SettingReported {
		p.UnexpectedParameterStatus()
	}
	for _, tag := range end.CommandTags {
		c.session.CommandComplete(tag)
	}
	book := c.server.cfg.Load().Registry
	changed := p.ReadyForQuery(book.Now(), end.TransactionStatus)
	keep := p.Bound()
	if changed {
		book.Update(&c.registration, keep, orphanedsession.Session{Engine: string(end.Engine), PID: end.PID,
			Secret: end.Secret})
	}
	return pgbackend.Disposition{Known: true, Keep: keep, Settings: p.Params.OnConnection()}
}

// onConnectionLost ends the session, whose engine connection was lost while a query of its was out.
func (c *client) onConnectionLost(q *frontend.Query, sent bool) {
	if !q.Response.Abandon() {
		return
	}
	c.mu.Lock()
	end := c.session.Affinity.ConnectionLost(sent)
	c.mu.Unlock()
	c.terminate(end.Code, end.Message+". "+end.Detail)
}

// Lost ends a session whose engine connection was lost at rest.
func (c *client) onIdleConnectionLost() {
	c.mu.Lock()
	busy, bound := c.session.Busy(), c.session.Affinity.Bound()
	var end affinity.Termination
	switch {
	case bound && !busy:
		end = c.session.Affinity.ConnectionLost(false)
	case bound: // the query that is under way is ended first; then the session is
		c.connectionLost = true
	}
	c.mu.Unlock()
	if end.Code != "" {
		c.terminate(end.Code, end.Message+". "+end.Detail)
	}
}

// onEngineDraining tells a session that its engine drains, and ends it at the limit.
func (c *client) onEngineDraining(within time.Duration) {
	c.mu.Lock()
	notice := c.session.Affinity.StartDrain(c.server.cfg.Load().Registry.Now() + within)
	if notice != "" && !c.session.Busy() && !c.closed {
		c.sendWarning(notice)
	}
	c.mu.Unlock()
}

// sendWarning sends a notice. The caller holds c.mu, and no query is out.
func (c *client) sendWarning(text string) {
	c.write(pgwire.AppendFields(nil, 'N', &pgwire.Fields{Severity: "WARNING", Code: "01000", Message: text}))
}

// terminateIfDue ends the session where its time has come.
func (c *client) terminateIfDue(now time.Duration, l affinity.Limits) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	end, due := c.session.Affinity.Expire(now, c.session.Busy(), l)
	cur := c.current
	c.mu.Unlock()
	if !due {
		return
	}
	if cur != nil && cur.Response.Abandon() {
		c.server.dispatcher.Withdraw(cur, true)
	}
	c.terminate(end.Code, end.Message+". "+end.Detail)
}

// submitNext takes the client's next query, where one came behind the one that ended.
func (c *client) submitNext() {
	c.mu.Lock()
	pending := c.nextQuery
	c.nextQuery = nil
	q := c.newQuery(pending)
	c.mu.Unlock()
	if q != nil && !c.rejectIfStickyLimit(q) {
		c.server.dispatcher.Submit(q)
	}
}

// rejectIfStickyLimit answers a query that would begin a session to be kept, where no more may be. Nothing
// of it ran.
func (c *client) rejectIfStickyLimit(q *frontend.Query) bool {
	if !q.EngineQuery.Stateful || q.Lease.Engine() != "" {
		return false
	}
	if !q.EngineQuery.Sticky && !q.EngineQuery.MayBecomeSticky {
		return false // it changes settings only
	}
	if q.EngineQuery.Sticky { // its connection is gone, and the session with it
		c.onConnectionLost(q, false)
		return true
	}
	why, ok := c.server.cfg.Load().Registry.Allow(c.session.User)
	if ok {
		return false
	}
	if q.Response.FinishWithVerdict(verdict.RejectOverLimit(why)) {
		c.submitNext()
	}
	return true
}

// awaitCapacity waits until little enough of what was sent is untaken.
func (c *client) awaitCapacity(ended <-chan struct{}) {
	most := int64(c.server.cfg.Load().ClientBuffer)
	for c.queuedBytes.Load()-c.writtenBytes.Load() > most {
		c.awaitsCapacity.Store(true)
		if c.queuedBytes.Load()-c.writtenBytes.Load() <= most { // room came before we waited for it
			break
		}
		select {
		case <-c.capacity:
		case <-ended:
			return
		case <-c.done:
			return
		}
	}
	c.awaitsCapacity.Store(false)
}

// onClose is called once for each connection, after it closed.
func (c *client) onClose() {
	c.mu.Lock()
	c.closed = true
	cur := c.current
	if c.startupTimer != nil {
		c.startupTimer.Stop()
	}
	if c.drainTimer != nil {
		c.drainTimer.Stop()
	}
	in := c.admitted
	c.mu.Unlock()
	close(c.done)
	c.lease.Close()
	s := c.server
	s.cfg.Load().Registry.Update(&c.registration, false, orphanedsession.Session{})
	cfg := s.cfg.Load()
	if in {
		cfg.ReleaseUser(c.session.User)
	}
	if !c.overLimit {
		cfg.ReleaseConnection()
	}
	s.mu.Lock()
	delete(s.clients, c.pid)
	s.mu.Unlock()
	if cur != nil && cur.Response.Abandon() {
		s.dispatcher.Withdraw(cur, false)
	}
}

// handleCancel carries out a cancel request ("Canceling Requests in Progress"). A wrong secret is ignored in
// silence.
func (s *Server) handleCancel(r *pgsession.CancelRequest) {
	s.mu.Lock()
	c := s.clients[r.PID]
	s.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	cur := c.current
	ok := cur != nil && subtle.ConstantTimeCompare([]byte(c.session.Secret), []byte(r.Secret)) == 1
	c.mu.Unlock()
	if ok && cur.Response.FinishWithVerdict(verdict.CancelledByClient()) {
		s.dispatcher.Withdraw(cur, true)
		c.submitNext()
	}
}

// sink passes an answer to its client.
type sink struct {
	client *client
	kind   enginequery.Kind
}

func (k *sink) WritePartial(b []byte) {
	c := k.client
	c.mu.Lock()
	c.flushOutput()
	if !c.closed && !c.session.Closing() { // nothing goes out behind a FATAL error
		c.write(b)
	}
	c.mu.Unlock()
}

// WriteVerdict puts a verdict into PostgreSQL's terms.
func (k *sink) WriteVerdict(v *verdict.Verdict) {
	f := &pgwire.Fields{Severity: "ERROR", Code: v.Code, Message: v.Message, Detail: v.Detail}
	if v.RetryAfter > 0 {
		f.Hint = fmt.Sprintf("Come back in %d ms.", v.RetryAfter.Milliseconds())
	}
	k.WriteFinal(pgwire.AppendFields(nil, 'E', f), true)
}

func (k *sink) WriteFinal(b []byte, failed bool) {
	c := k.client
	c.mu.Lock()
	c.current = nil
	if p := c.copyPipe.Swap(nil); p != nil && p.Full() {
		go c.readAvailable() // what it sends now is no copy's
	}
	var end affinity.Termination
	if c.connectionLost {
		end = c.session.Affinity.ConnectionLost(false)
	} else if c.lease.Engine() == "" {
		// Danger: a statement that was refused before an engine saw it would hold the session to nothing.
		c.session.Affinity.Reset()
	}
	c.session.QueryEnded(k.kind, b, failed)
	if end.Code != "" {
		c.session.Terminate(end.Code, end.Message+". "+end.Detail)
	} else if c.closeWhenIdle && !c.session.Busy() && !c.session.Affinity.Bound() {
		c.session.Terminate("57P01", shutdownMessage)
	}
	c.flushOutput()
	c.nextQuery = c.session.TakeQuery()
	c.resumeReading()
	over := c.session.Closing()
	c.mu.Unlock()
	if over {
		go c.netConn.Close()
	}
}
