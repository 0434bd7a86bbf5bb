// Package pgfrontend serves PostgreSQL clients. It uses lesismal/nbio: a few polling goroutines serve any
// number of connections, and an idle connection has neither a goroutine nor a buffer. The package owns the
// client connections and their limits. Package pgsession implements the protocol, and queries go to a
// dispatcher through the interface in package frontend.
package pgfrontend

import (
	"crypto/rand"
	"crypto/subtle"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"cresspass/internal/affinity/registry"
	"cresspass/internal/bytebudget"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/pgfrontend/pgsession"
	"cresspass/internal/frontend/readturns"
	"cresspass/internal/netlisten"
	"cresspass/internal/protocol/sqlstate"
)

// Name is this frontend's name in the quota settings.
const Name = "postgresql"

const (
	// freeInputBytes is what a client's session may hold of its input without a reservation.
	freeInputBytes = 4 << 10
	// maxRejectedConnections is the number of connections beyond the limit that receive an error; further
	// ones are closed without a message.
	maxRejectedConnections = 256
	// newClientGrace is the time in which a client that had just connected when a drain began may send a
	// query.
	newClientGrace = 2 * time.Second
	// closeDelay is the time for which a connection that is closed without a message stays open, so that the
	// poller can register it first.
	closeDelay = time.Millisecond
	secretSize = 32 // bytes
)

// shutdownMessage is the error message for clients of a dispatcher that shuts down.
const shutdownMessage = "terminating connection: the dispatcher is shutting down"

// Config holds the settings of the frontend.
type Config struct {
	Session        pgsession.Config
	MaxClients     int // further ones are rejected with SQLSTATE 53300
	StartupTimeout time.Duration
	HoldBack       int                // bytes of a response that are buffered before any are sent
	HoldBackTotal  int64              // limit of the bytes buffered in all responses together
	InputBudget    *bytebudget.Budget // of input that all clients' sessions hold; nil: no limit
	ClientBuffer   int                // unsent bytes of one client above which its engine is no longer read

	// AcquireConnection reserves capacity for one more connection and returns false if there is none.
	// ReleaseConnection frees it.
	AcquireConnection func() bool
	ReleaseConnection func()
	// AdmitUser reports whether a user may open one more connection and, if not, the reason. ReleaseUser is
	// called when an admitted connection has closed.
	AdmitUser   func(user string) (reason string, ok bool)
	ReleaseUser func(user string)

	Registry *registry.Registry // of sticky sessions
}

// Server serves PostgreSQL clients. Make one with New. Its methods may be called from several goroutines, but
// Reload only from one at a time.
type Server struct {
	cfg        atomic.Pointer[Config]
	dispatcher frontend.Dispatcher
	log        *slog.Logger
	budget     response.BufferBudget
	poller     *nbio.Engine
	turns      *readturns.Queue // of clients that send without a pause

	mu          sync.Mutex
	clients     map[uint32]*client // by PID
	listeners   []net.Listener
	closed      bool
	draining    bool
	nextPID     uint32
	acceptLoops sync.WaitGroup
	opened      atomic.Uint64 // connections opened so far; see clientOf for its role in synchronization
}

// New returns a running server that submits queries to dispatcher. It has no listener until Serve; Close
// stops it.
func New(cfg Config, dispatcher frontend.Dispatcher, log *slog.Logger) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	s := &Server{dispatcher: dispatcher, log: log, clients: map[uint32]*client{},
		budget: response.BufferBudget{MaxBytes: cfg.HoldBackTotal},
		// Edge-triggered, so that pausing reads from a client costs nothing.
		poller: nbio.NewEngine(nbio.Config{Name: Name, EpollMod: nbio.EPOLLET})}
	s.turns = readturns.NewQueue(nil)
	s.cfg.Store(&cfg)
	s.poller.OnOpen(s.onOpen)
	s.poller.OnRead(func(nc *nbio.Conn) { s.clientOf(nc).readAvailable() })
	s.poller.OnClose(func(nc *nbio.Conn, _ error) { s.clientOf(nc).onClose() })
	s.poller.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) { s.clientOf(nc).onWritten(n) })
	if err := s.poller.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts clients on a listener until StopListening, Drain or Close. It does not block.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, ln)
	s.acceptLoops.Add(1)
	go func() {
		defer s.acceptLoops.Done()
		s.acceptLoop(netlisten.ResilientListener{Listener: ln})
	}()
}

func (s *Server) acceptLoop(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return // the listener is closed
		}
		if _, err := s.poller.AddConn(nc); err != nil {
			s.log.Warn("client connection rejected", "error", err)
		}
	}
}

// Clients returns the number of connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// Pending returns the number of bytes that are buffered in responses or not yet written to the clients'
// sockets.
func (s *Server) Pending() int64 {
	n := s.budget.Used()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		n += c.unsentBytes()
	}
	return n
}

// Reload changes the settings. The new limits apply from now on.
func (s *Server) Reload(change func(cfg *Config)) {
	cfg := *s.cfg.Load()
	change(&cfg)
	s.cfg.Store(&cfg)
}

// Drain stops listening and terminates idle clients with SQLSTATE 57P01; busy clients are terminated after
// their response. A sticky session stays until it is no longer sticky, or until TerminateAll. A session that
// runs no query and is in no transaction, but sticky for another reason, is sent a notice.
func (s *Server) Drain() {
	s.StopListening()
	s.mu.Lock()
	s.draining = true
	clients := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range clients {
		c.drain()
	}
}

// TerminateAll terminates all remaining clients with SQLSTATE 57P01.
func (s *Server) TerminateAll() {
	s.mu.Lock()
	clients := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range clients {
		c.terminate(sqlstate.AdminShutdown, shutdownMessage)
	}
}

// Close terminates all clients with SQLSTATE 57P01 and waits until the frontend has stopped.
func (s *Server) Close() {
	s.StopListening()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.TerminateAll()
	s.poller.Stop()
	s.acceptLoops.Wait()
}

// StopListening closes the listeners. Connections stay open.
func (s *Server) StopListening() {
	s.mu.Lock()
	listeners := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	for _, ln := range listeners {
		_ = ln.Close() // only fails if the listener is closed already
	}
}

// clientOf returns a connection's client. The polling goroutine receives connections from the accepting
// goroutine through epoll, which is not synchronization in Go's memory model. The atomic counter opened
// orders the two.
func (s *Server) clientOf(nc *nbio.Conn) *client {
	s.opened.Load()
	return nc.Session().(*client)
}

// onOpen is called once for each new connection, before anything is read from it.
func (s *Server) onOpen(nc *nbio.Conn) {
	defer s.opened.Add(1)
	secret := make([]byte, secretSize)
	rand.Read(secret)
	c := &client{server: s, netConn: nc, done: make(chan struct{}), capacity: make(chan struct{}, 1)}
	cfg := s.cfg.Load()
	rejected := s.register(c, cfg)
	c.overLimit = !cfg.AcquireConnection()
	c.session = pgsession.New(&cfg.Session, c.pid, string(secret))
	c.lease.OnLost, c.lease.OnDrain = c.onIdleConnectionLost, c.onEngineDraining
	c.lease.OnParameterStatus = c.sendParameterStatus
	c.registration.Expire = c.terminateIfDue
	nc.SetSession(c)
	_ = nc.SetNoDelay(true) // if it fails, responses are slower or the connection has closed
	if rejected {
		time.AfterFunc(closeDelay, c.closeConn)
		return
	}
	c.mu.Lock()
	c.startupTimer = time.AfterFunc(cfg.StartupTimeout, func() { c.onStartupTimeout(cfg.StartupTimeout) })
	c.mu.Unlock()
}

// register assigns a PID to a client and adds it to s.clients. rejected reports whether the connection must
// be closed without a message.
func (s *Server) register(c *client, cfg *Config) (rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.nextPID++; s.nextPID == 0 || s.clients[s.nextPID] != nil; s.nextPID++ {
	}
	c.pid = s.nextPID
	rejected = s.closed || len(s.clients) >= cfg.MaxClients+maxRejectedConnections
	if c.closeWhenIdle = s.draining; c.closeWhenIdle {
		c.terminateAfterGrace()
	}
	s.clients[c.pid] = c
	return rejected
}

// handleCancel executes a cancel request ("Canceling Requests in Progress"). A request with an unknown PID or
// a wrong secret is silently ignored.
func (s *Server) handleCancel(r *pgsession.CancelRequest) {
	s.mu.Lock()
	c := s.clients[r.PID]
	s.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	q := c.current
	ok := q != nil && subtle.ConstantTimeCompare([]byte(c.session.Secret), []byte(r.Secret)) == 1
	c.mu.Unlock()
	if ok && q.Response.FinishWithVerdict(verdict.CancelledByClient()) {
		s.dispatcher.Withdraw(q, true)
		c.submitNext()
	}
}

// unregister removes a client whose connection has closed.
func (s *Server) unregister(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c.pid)
}
