// Package pgfrontend serves PostgreSQL clients on lesismal/nbio: a few polling goroutines for any number of
// connections, no goroutine and no buffer for an idle one. It is a shell around internal/frontend/pgfrontend/pgsession.
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
	// Connect reports whether there is room for one more client; Disconnect gives the room back.
	Connect        func() bool
	Disconnect     func()
	StartupTimeout time.Duration
	HoldBack       int   // bytes of an answer held back before the first goes out
	HoldBackTotal  int64 // the same over all answers
	ClientBuffer   int   // bytes a client may leave untaken before the engine is no longer read

	// Admit reports whether a user may have one more connection, and why not; Leave follows each that was let
	// in.
	Admit func(user string) (reason string, ok bool)
	Leave func(user string)

	Book *registry.Book // sessions that are kept on engines
}

// turnedAway is how many connections over the limit are told so; beyond, they are closed at once.
const turnedAway = 256

// Name is the front's, in settings of shares.
const Name = "postgresql"

// Server serves clients. Make one with New.
type Server struct {
	cfg    atomic.Pointer[Config]
	taker  frontend.Taker
	log    *slog.Logger
	budget response.Budget
	engine *nbio.Engine

	mu      sync.Mutex
	clients map[uint32]*client
	lns     []net.Listener
	closed  bool
	drains  bool
	accepts sync.WaitGroup
	opened  atomic.Uint64
	nextPID uint32
}

// client is one connection.
type client struct {
	srv  *Server
	nc   *nbio.Conn
	pid  uint32
	over bool // beyond the limit of clients
	in   bool // the user was admitted
	hold registry.Hold
	gone chan struct{}
	room chan struct{} // of one: there may be room again
	sent atomic.Int64  // bytes given to the network
	took atomic.Int64  // bytes the network took
	wait atomic.Bool   // throttle looks for room

	lease pgbackend.Lease // the engine connection that the session is kept on

	reads sync.Mutex                  // one goroutine reads the client; taken before mu
	pipe  atomic.Pointer[copyin.Pipe] // takes the data of a COPY; nil: none runs

	mu        sync.Mutex
	s         *pgsession.Session
	cur       *frontend.Query
	next      *enginequery.Ask // to be taken once cur has ended in the module's books
	closed    bool
	stalled   bool // left unread: too much was sent ahead
	lostLease bool // its engine connection was lost while a query was under way
	leave     bool // to be told to go once idle
	limit     *time.Timer
	farewell  *time.Timer // ends a client that came as a drain began
}

// New returns a server that hands queries to taker.
func New(cfg Config, taker frontend.Taker, log *slog.Logger) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	s := &Server{taker: taker, log: log, clients: map[uint32]*client{},
		budget: response.Budget{Most: cfg.HoldBackTotal},
		// Edge-triggered, so that a client whose bytes have nowhere to go can be left unread at no cost.
		engine: nbio.NewEngine(nbio.Config{Name: "postgresql", EpollMod: nbio.EPOLLET})}
	s.cfg.Store(&cfg)
	s.engine.OnOpen(s.open)
	s.engine.OnRead(func(nc *nbio.Conn) { s.of(nc).read() })
	s.engine.OnClose(func(nc *nbio.Conn, err error) { s.of(nc).close() })
	s.engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) { s.of(nc).written(n) })
	if err := s.engine.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts clients on a listener until Close.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lns = append(s.lns, ln)
	s.accepts.Add(1)
	go func() {
		defer s.accepts.Done()
		for {
			nc, err := netlisten.Lasting{Listener: ln}.Accept()
			if err != nil {
				return
			}
			if _, err := s.engine.AddConn(nc); err != nil {
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
		n += c.sent.Load() - c.took.Load()
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
	s.drains = true
	all := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		c.leave = true
		// One that has only just come is served once; it came to a listener that had not said no.
		idle := !c.s.Busy() && c.s.Started() && !c.s.Pin.Bound()
		if c.s.Pin.State() == affinity.Pinned && !c.s.Busy() && !c.closed {
			c.warn("the dispatcher is shutting down, and this session is kept on an engine by " +
				c.s.Pin.Reason().String() + "; it will be ended")
		}
		if !c.s.Started() {
			c.farewell = time.AfterFunc(graceFor, func() { c.end("57P01", drained) })
		}
		c.mu.Unlock()
		if idle {
			c.end("57P01", drained)
		}
	}
}

// Cut ends all clients that are left.
func (s *Server) Cut() {
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range all {
		c.end("57P01", drained)
	}
}

// graceFor is how long a client that had only just come when a drain began may take to ask.
const graceFor = 2 * time.Second

// drained is what clients of a dispatcher that stops are told.
const drained = "terminating connection: the dispatcher is shutting down"

// Close ends all connections: idle clients are told 57P01 and closed.
func (s *Server) Close() {
	s.StopListening()
	s.mu.Lock()
	s.closed = true
	all := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range all {
		c.end("57P01", drained)
	}
	s.engine.Stop()
	s.accepts.Wait()
}

// StopListening closes the listeners; connections stay.
func (s *Server) StopListening() {
	s.mu.Lock()
	lns := s.lns
	s.lns = nil
	s.mu.Unlock()
	for _, ln := range lns {
		ln.Close()
	}
}

// of returns a connection's client. The polling goroutine gets connections from the accepting one by way of
// epoll, which Go's memory model does not know of; opened orders the two.
func (s *Server) of(nc *nbio.Conn) *client {
	s.opened.Load()
	return nc.Session().(*client)
}

func (s *Server) open(nc *nbio.Conn) {
	defer s.opened.Add(1)
	secret := make([]byte, 32)
	rand.Read(secret)
	c := &client{srv: s, nc: nc, gone: make(chan struct{}), room: make(chan struct{}, 1)}
	s.mu.Lock()
	for s.nextPID++; s.nextPID == 0 || s.clients[s.nextPID] != nil; s.nextPID++ {
	}
	c.pid = s.nextPID
	n := len(s.clients)
	cfg := s.cfg.Load()
	if c.leave = s.drains; c.leave {
		c.farewell = time.AfterFunc(graceFor, func() { c.end("57P01", drained) })
	}
	s.clients[c.pid] = c
	closed := s.closed
	s.mu.Unlock()
	c.over = !cfg.Connect()
	c.s = pgsession.New(&cfg.Session, c.pid, string(secret))
	c.lease.OnLost, c.lease.OnDrain, c.hold.Due = c.lost, c.drained, c.due
	nc.SetSession(c)
	nc.SetNoDelay(true)
	if closed || n >= cfg.MaxClients+turnedAway {
		time.AfterFunc(time.Millisecond, func() { nc.Close() }) // after the network has it in its books
		return
	}
	c.mu.Lock()
	c.limit = time.AfterFunc(cfg.StartupTimeout, func() { c.late(cfg.StartupTimeout) })
	c.mu.Unlock()
}

// late ends a connection that has not started in time.
func (c *client) late(limit time.Duration) {
	c.mu.Lock()
	started := c.s.Started()
	c.mu.Unlock()
	if !started {
		c.end("08P01", "no startup packet within "+limit.String())
	}
}

// end closes a connection from our side with a FATAL error. What runs for it is taken back.
func (c *client) end(code, message string) {
	c.mu.Lock()
	c.s.End(code, message)
	c.put()
	c.mu.Unlock()
	c.nc.Close()
}

// put writes what the session has to say. The caller holds c.mu.
func (c *client) put() {
	if b := c.s.Output(); len(b) > 0 && !c.closed {
		c.write(b)
	}
}

func (c *client) write(b []byte) {
	c.sent.Add(int64(len(b)))
	c.nc.Write(b)
}

func (c *client) written(n int) {
	if took := c.took.Add(int64(n)); c.wait.Load() &&
		c.sent.Load()-took <= int64(c.srv.cfg.Load().ClientBuffer)/2 {
		select {
		case c.room <- struct{}{}:
		default:
		}
	}
}

// buffers are for reading; they are held for the time of one call only.
var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// readsAtOnce is how often a client is read in one go; another goroutine goes on, so that the polling one can
// see to the others.
const readsAtOnce = 16

// read takes what the client has sent. Events tell of new bytes only, so it reads until there are none, or
// until a copy's pipe is full; whoever empties that calls it again.
func (c *client) read() {
	c.reads.Lock()
	defer c.reads.Unlock()
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for n := 0; ; n++ {
		if p := c.pipe.Load(); p != nil && p.Full() || c.stall() {
			return
		}
		if n == readsAtOnce {
			go c.read()
			return
		}
		got, err := c.nc.Read(*buf)
		switch {
		case err == nil && got > 0:
			c.data((*buf)[:got])
			if got < len(*buf) {
				return // what comes later is a new event
			}
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default:
			c.nc.Close()
			return
		}
	}
}

// stall reports whether the client has sent so much ahead that it is left unread until its query ends or asks
// for a copy's data. Drivers send that before they are asked.
func (c *client) stall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = c.s.Full()
	return c.stalled
}

// again reads a client on that was left unread. The caller holds c.mu.
func (c *client) again() {
	if c.stalled {
		c.stalled = false
		go c.read()
	}
}

// copy opens a COPY's pipe to the client.
func (c *client) copy(q *frontend.Query, p *copyin.Pipe) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cur != q || c.closed || !c.s.Copy() {
		return false
	}
	c.pipe.Store(p)
	c.feed()
	c.again()
	return true
}

// feed puts copy data into the pipe. The caller holds c.mu.
func (c *client) feed() {
	if p := c.pipe.Load(); p != nil {
		if b, end := c.s.Copied(); len(b) > 0 {
			p.Put(b, end)
		}
	}
}

// data takes bytes of the client, in whatever goroutine reads it.
func (c *client) data(b []byte) {
	c.mu.Lock()
	started := c.s.Started()
	c.s.Data(b)
	if !started && c.s.Started() {
		if c.limit != nil {
			c.limit.Stop()
			c.limit = nil
		}
		c.welcome()
	}
	c.feed()
	ask := c.s.Ask()
	over, cancel := c.s.Over(), c.s.Cancel()
	q := c.query(ask)
	if q == nil { // else what there is to say goes out with the answer
		c.put()
	}
	c.mu.Unlock()
	if q != nil && c.turnedAway(q) {
		return
	}
	if cancel != nil {
		c.srv.cancel(cancel)
	}
	if over {
		c.nc.Close()
		return
	}
	if q != nil {
		c.srv.taker.Take(q)
	}
}

// welcome tells a client that has started, in place of the welcome, where it cannot be served. The caller
// holds c.mu.
func (c *client) welcome() {
	cfg := c.srv.cfg.Load()
	c.hold.User = c.s.User
	code, why := "", ""
	switch {
	case c.s.Over():
		return
	case c.over:
		code, why = "53300", fmt.Sprintf("too many clients: at most %d are served, by all fronts",
			cfg.MaxClients)
	case cfg.Admit != nil:
		if why, c.in = cfg.Admit(c.s.User); !c.in {
			code, why = "53300", "too many clients: "+why
		}
	}
	if code != "" {
		c.s.Output()
		c.s.End(code, why)
	}
}

// query makes a query of an Ask. The caller holds c.mu.
func (c *client) query(k *enginequery.Ask) *frontend.Query {
	if k == nil || c.closed {
		return nil
	}
	s := c.s
	q := &frontend.Query{Front: Name, Ask: k, After: c.after,
		Who: classify.Client{User: s.User, Database: s.Database, Application: s.Application,
			Timeout: s.Timeout}}
	q.Answer = response.New(&sink{c, k.Kind}, &c.srv.budget, c.srv.cfg.Load().HoldBack)
	q.Throttle = func() { c.throttle(q.Answer.Ended()) }
	q.Lease = &c.lease
	q.Copy = func(p *copyin.Pipe) bool { return c.copy(q, p) }
	q.Room = func() { go c.read() }
	q.Settled = func(end pgbackend.End) pgbackend.Stay { return c.settled(q, end) }
	q.Broken = func(sent bool) { c.broken(q, sent) }
	c.cur = q
	return q
}

// settled takes the end of a query at its engine.
func (c *client) settled(q *frontend.Query, end pgbackend.End) pgbackend.Stay {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cur != q {
		return pgbackend.Stay{} // its answer has ended by other hands
	}
	p := c.s.Pin
	p.Params.Ran(end.Had)
	if end.Told {
		p.Told()
	}
	for _, tag := range end.Tags {
		c.s.Tag(tag)
	}
	book := c.srv.cfg.Load().Book
	changed := p.Ready(book.Now(), end.Status)
	keep := p.Bound()
	if changed {
		book.Count(&c.hold, keep, orphanedsession.Session{Engine: string(end.Engine), PID: end.PID,
			Secret: end.Secret})
	}
	return pgbackend.Stay{Known: true, Keep: keep, Has: p.Params.Real()}
}

// broken ends the session, whose engine connection was lost while a query of its was out.
func (c *client) broken(q *frontend.Query, sent bool) {
	if !q.Answer.Abandon() {
		return
	}
	c.mu.Lock()
	end := c.s.Pin.Lost(sent)
	c.mu.Unlock()
	c.end(end.Code, end.Message+". "+end.Detail)
}

// Lost ends a session whose engine connection was lost at rest.
func (c *client) lost() {
	c.mu.Lock()
	busy, bound := c.s.Busy(), c.s.Pin.Bound()
	var end affinity.End
	switch {
	case bound && !busy:
		end = c.s.Pin.Lost(false)
	case bound: // the query that is under way is ended first; then the session is
		c.lostLease = true
	}
	c.mu.Unlock()
	if end.Code != "" {
		c.end(end.Code, end.Message+". "+end.Detail)
	}
}

// drained tells a session that its engine drains, and ends it at the limit.
func (c *client) drained(within time.Duration) {
	c.mu.Lock()
	notice := c.s.Pin.Drain(c.srv.cfg.Load().Book.Now() + within)
	if notice != "" && !c.s.Busy() && !c.closed {
		c.warn(notice)
	}
	c.mu.Unlock()
}

// warn sends a notice. The caller holds c.mu, and no query is out.
func (c *client) warn(text string) {
	c.write(pgwire.AppendFields(nil, 'N', &pgwire.Fields{Severity: "WARNING", Code: "01000", Message: text}))
}

// due ends the session where its time has come.
func (c *client) due(now time.Duration, l affinity.Limits) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	end, due := c.s.Pin.Due(now, c.s.Busy(), l)
	cur := c.cur
	c.mu.Unlock()
	if !due {
		return
	}
	if cur != nil && cur.Answer.Abandon() {
		c.srv.taker.Gone(cur, true)
	}
	c.end(end.Code, end.Message+". "+end.Detail)
}

// after takes the client's next query, where one came behind the one that ended.
func (c *client) after() {
	c.mu.Lock()
	ask := c.next
	c.next = nil
	q := c.query(ask)
	c.mu.Unlock()
	if q != nil && !c.turnedAway(q) {
		c.srv.taker.Take(q)
	}
}

// turnedAway answers a query that would begin a session to be kept, where no more may be. Nothing of it ran.
func (c *client) turnedAway(q *frontend.Query) bool {
	if !q.Ask.Pinned || q.Lease.Engine() != "" {
		return false
	}
	if !q.Ask.Bound && !q.Ask.Begins {
		return false // it changes settings only
	}
	if q.Ask.Bound { // its connection is gone, and the session with it
		c.broken(q, false)
		return true
	}
	why, ok := c.srv.cfg.Load().Book.May(c.s.User)
	if ok {
		return false
	}
	if q.Answer.End(verdict.Limit(why)) {
		c.after()
	}
	return true
}

// throttle waits until little enough of what was sent is untaken.
func (c *client) throttle(ended <-chan struct{}) {
	most := int64(c.srv.cfg.Load().ClientBuffer)
	for c.sent.Load()-c.took.Load() > most {
		c.wait.Store(true)
		if c.sent.Load()-c.took.Load() <= most { // room came before we waited for it
			break
		}
		select {
		case <-c.room:
		case <-ended:
			return
		case <-c.gone:
			return
		}
	}
	c.wait.Store(false)
}

// close is called once for each connection, after it closed.
func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	cur := c.cur
	if c.limit != nil {
		c.limit.Stop()
	}
	if c.farewell != nil {
		c.farewell.Stop()
	}
	in := c.in
	c.mu.Unlock()
	close(c.gone)
	c.lease.Drop()
	s := c.srv
	s.cfg.Load().Book.Count(&c.hold, false, orphanedsession.Session{})
	cfg := s.cfg.Load()
	if in {
		cfg.Leave(c.s.User)
	}
	if !c.over {
		cfg.Disconnect()
	}
	s.mu.Lock()
	delete(s.clients, c.pid)
	s.mu.Unlock()
	if cur != nil && cur.Answer.Abandon() {
		s.taker.Gone(cur, false)
	}
}

// cancel carries out a cancel request ("Canceling Requests in Progress"). A wrong secret is ignored in
// silence.
func (s *Server) cancel(r *pgsession.Cancel) {
	s.mu.Lock()
	c := s.clients[r.PID]
	s.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	cur := c.cur
	ok := cur != nil && subtle.ConstantTimeCompare([]byte(c.s.Secret), []byte(r.Secret)) == 1
	c.mu.Unlock()
	if ok && cur.Answer.End(verdict.Cancel()) {
		s.taker.Gone(cur, true)
		c.after()
	}
}

// sink passes an answer to its client.
type sink struct {
	c    *client
	kind enginequery.Kind
}

func (k *sink) Rows(b []byte) {
	c := k.c
	c.mu.Lock()
	c.put()
	if !c.closed && !c.s.Over() { // nothing goes out behind a FATAL error
		c.write(b)
	}
	c.mu.Unlock()
}

// Ruled puts a verdict into PostgreSQL's terms.
func (k *sink) Ruled(v *verdict.Verdict) {
	f := &pgwire.Fields{Severity: "ERROR", Code: v.Code, Message: v.Message, Detail: v.Detail}
	if v.Wait > 0 {
		f.Hint = fmt.Sprintf("Come back in %d ms.", v.Wait.Milliseconds())
	}
	k.Final(pgwire.AppendFields(nil, 'E', f), true)
}

func (k *sink) Final(b []byte, failed bool) {
	c := k.c
	c.mu.Lock()
	c.cur = nil
	if p := c.pipe.Swap(nil); p != nil && p.Full() {
		go c.read() // what it sends now is no copy's
	}
	var end affinity.End
	if c.lostLease {
		end = c.s.Pin.Lost(false)
	} else if c.lease.Engine() == "" {
		// Danger: a statement that was refused before an engine saw it would hold the session to nothing.
		c.s.Pin.Clear()
	}
	c.s.Done(k.kind, b, failed)
	if end.Code != "" {
		c.s.End(end.Code, end.Message+". "+end.Detail)
	} else if c.leave && !c.s.Busy() && !c.s.Pin.Bound() {
		c.s.End("57P01", drained)
	}
	c.put()
	c.next = c.s.Ask()
	c.again()
	over := c.s.Over()
	c.mu.Unlock()
	if over {
		go c.nc.Close()
	}
}
