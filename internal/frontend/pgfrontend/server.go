// Package pgfrontend serves PostgreSQL clients on lesismal/nbio: a few polling goroutines serve any number of
// connections, and an idle one has no goroutine and no buffer. It owns the client connections and their
// limits; the protocol is package pgsession's, and queries go to the dispatcher behind package frontend.
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
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/pgfrontend/pgsession"
	"cresspass/internal/netlisten"
	"cresspass/internal/protocol/sqlstate"
)

// Name is the front's in the settings of quotas.
const Name = "postgresql"

const (
	// maxRejectedConnections is how many connections beyond the limit receive an error; further ones are
	// closed at once.
	maxRejectedConnections = 256
	// newClientGrace is how long a client that had just connected when a drain began may take to send a
	// query.
	newClientGrace = 2 * time.Second
	// closeDelay is how long a connection beyond all limits stays open, until the poller has registered it.
	closeDelay = time.Millisecond
	secretSize = 32
)

// shutdownMessage is what clients of a dispatcher that stops are sent.
const shutdownMessage = "terminating connection: the dispatcher is shutting down"

// Config holds the settings of the front.
type Config struct {
	Session        pgsession.Config
	MaxClients     int // further ones are answered with 53300
	StartupTimeout time.Duration
	HoldBack       int   // bytes of a response that are buffered before the first goes out
	HoldBackTotal  int64 // the same over all responses
	ClientBuffer   int   // bytes that a client may leave untaken before the engine is no longer read

	// AcquireConnection reports whether there is capacity for one more connection; ReleaseConnection gives it
	// back.
	AcquireConnection func() bool
	ReleaseConnection func()
	// AdmitUser reports whether a user may have one more connection, and why not; ReleaseUser follows each
	// that was admitted.
	AdmitUser   func(user string) (reason string, ok bool)
	ReleaseUser func(user string)

	Registry *registry.Registry // of sticky sessions
}

// Server serves clients. Make one with New.
type Server struct {
	cfg        atomic.Pointer[Config]
	dispatcher frontend.Dispatcher
	log        *slog.Logger
	budget     response.BufferBudget
	poller     *nbio.Engine

	mu          sync.Mutex
	clients     map[uint32]*client // by PID
	listeners   []net.Listener
	closed      bool
	draining    bool
	nextPID     uint32
	acceptLoops sync.WaitGroup
	opened      atomic.Uint64 // see clientOf
}

// New returns a server that submits queries to dispatcher.
func New(cfg Config, dispatcher frontend.Dispatcher, log *slog.Logger) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	s := &Server{dispatcher: dispatcher, log: log, clients: map[uint32]*client{},
		budget: response.BufferBudget{MaxBytes: cfg.HoldBackTotal},
		// Edge-triggered, so that a client whose bytes have nowhere to go can be left unread at no cost.
		poller: nbio.NewEngine(nbio.Config{Name: Name, EpollMod: nbio.EPOLLET})}
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

// Serve accepts clients on a listener until Close.
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

// Pending returns the number of bytes that are buffered, or given to the network and not yet taken by
// clients.
func (s *Server) Pending() int64 {
	n := s.budget.Used()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		n += c.untakenBytes()
	}
	return n
}

// Reload puts other settings in force: limits for what comes from now on.
func (s *Server) Reload(change func(cfg *Config)) {
	cfg := *s.cfg.Load()
	change(&cfg)
	s.cfg.Store(&cfg)
}

// Drain stops listening and terminates idle clients with 57P01; each other client is terminated after its
// response. A sticky session stays until it is free, or until TerminateAll; one that is sticky by more than a
// transaction is sent a notice.
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

// TerminateAll terminates all clients that are left.
func (s *Server) TerminateAll() {
	s.mu.Lock()
	clients := slices.Collect(maps.Values(s.clients))
	s.mu.Unlock()
	for _, c := range clients {
		c.terminate(sqlstate.AdminShutdown, shutdownMessage)
	}
}

// Close terminates all clients with 57P01 and waits until the front has stopped.
func (s *Server) Close() {
	s.StopListening()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.TerminateAll()
	s.poller.Stop()
	s.acceptLoops.Wait()
}

// StopListening closes the listeners; connections stay.
func (s *Server) StopListening() {
	s.mu.Lock()
	listeners := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	for _, ln := range listeners {
		_ = ln.Close() // it fails on a listener that is closed already only
	}
}

// clientOf returns a connection's client. The polling goroutine gets connections from the accepting one by
// way of epoll, which Go's memory model does not know of; opened orders the two.
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
	c.registration.Expire = c.terminateIfDue
	nc.SetSession(c)
	_ = nc.SetNoDelay(true) // where it fails responses are slower, or the connection has closed
	if rejected {
		time.AfterFunc(closeDelay, c.closeConn)
		return
	}
	c.mu.Lock()
	c.startupTimer = time.AfterFunc(cfg.StartupTimeout, func() { c.onStartupTimeout(cfg.StartupTimeout) })
	c.mu.Unlock()
}

// register gives a client its PID and counts it. rejected: it must be closed without a message.
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
	q := c.current
	ok := q != nil && subtle.ConstantTimeCompare([]byte(c.session.Secret), []byte(r.Secret)) == 1
	c.mu.Unlock()
	if ok && q.Response.FinishWithVerdict(verdict.CancelledByClient()) {
		s.dispatcher.Withdraw(q, true)
		c.submitNext()
	}
}

// unregister forgets a client that has closed.
func (s *Server) unregister(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c.pid)
}
