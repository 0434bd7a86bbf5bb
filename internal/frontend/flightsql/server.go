// Package flightsql serves Arrow Flight SQL over gRPC. Its queries go to the same dispatcher as those of the
// PostgreSQL frontend. The package owns the connections, sessions and transactions of its clients. It
// combines the decisions of other packages: whether a fetch of a ticket runs its statement (ticket), which
// statement of a session runs now (statementqueue), which session a token belongs to (bearertoken) and which
// gRPC status a response gets (grpcstatus). It must not know where or when a query runs.
// Quoted section names refer to Arrow's pages "Flight SQL" and "Flight RPC".
package flightsql

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"

	"cresspass/internal/affinity/registry"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql/bearertoken"
	"cresspass/internal/frontend/flightsql/ticket"
	"cresspass/internal/netlisten"
)

// Name is this frontend's name in the quota settings.
const Name = "flight"

const (
	ticketKeySize = 32
	// randomIDSize is the number of random bytes in tokens, handles and ids.
	randomIDSize = 16
	// minKeepAlive is the shortest interval at which a client may send keepalive pings.
	minKeepAlive = 5 * time.Second
	// keepAliveTimeout is how long a client may take to answer a keepalive ping.
	keepAliveTimeout = 10 * time.Second
	// expiryInterval is how often the server looks for expired sessions.
	expiryInterval = 100 * time.Millisecond
	// drainInterval is how often a drain checks whether sticky sessions remain.
	drainInterval = 10 * time.Millisecond
)

// Reasons for the end of a session, as clients receive them in errors.
const (
	idleTimeoutReached = "it rested for too long"
	connectionClosed   = "its connection is gone"
	closedByClient     = "its client closed it"
	shuttingDown       = "the dispatcher is shutting down"
)

// Config holds the settings of the frontend.
type Config struct {
	Version    string             // of the server, as clients see it
	Registry   *registry.Registry // of sticky sessions
	MaxMessage int                // bytes of a message from a client
	MaxStreams int                // concurrent calls on one connection

	HoldBack     int                    // bytes of a response that are buffered before the first is sent
	Budget       *response.BufferBudget // limits the bytes held back by all responses together
	ClientBuffer int                    // bytes that may wait for a call's client while the engine is read

	TicketLifetime  time.Duration
	MaxTickets      int // remembered fetches of statements that may change data
	SessionLimits   bearertoken.Limits
	MaxTransactions int // open transactions of a session; 0: no limit
	MaxPrepared     int // prepared statements of a session; 0: no limit
	MaxWaiting      int // statements that wait for their turn in a session or transaction; 0: no limit

	KeepAlive        time.Duration // idle time before a connection is pinged; 0: gRPC's default of 2 hours
	MaxConnectionAge time.Duration // an older connection is asked to reconnect (GOAWAY)

	// AcquireConnection reserves capacity for one more connection and reports whether there was any;
	// ReleaseConnection gives it back. Nil: connections are not limited.
	AcquireConnection func() bool
	ReleaseConnection func()
	// AdmitUser reports whether a user may have one more session, and if not, why. ReleaseUser is called at
	// the end of each session that was admitted. Nil: every session is admitted.
	AdmitUser   func(user string) (reason string, ok bool)
	ReleaseUser func(user string)
	// CachedDescription returns an engine's response to the Describe of a statement, as PostgreSQL's
	// messages, by its DescriptionKey; nil: none is cached.
	CachedDescription func(key string) []byte
	// Idempotent reports whether a statement may be run any number of times; nil: none may.
	Idempotent func(client classify.Client, q *enginequery.Query) bool
	// StatelessFunction reports whether a function leaves no state in a session; nil: none is known to.
	StatelessFunction func(name string) bool
}

// Server serves Flight SQL. New creates one. Its methods may be called from several goroutines at once.
type Server struct {
	flightsql.BaseServer
	cfg        Config
	dispatcher frontend.Dispatcher
	log        *slog.Logger
	grpc       *grpc.Server
	health     *health.Server
	ticketKey  []byte
	startTime  time.Time // when the clock of tickets and sessions (now) was 0
	mem        memory.Allocator

	holdBack     atomic.Int64 // bytes; from Config or SetBuffers, as is clientBuffer
	clientBuffer atomic.Int64
	nextID       atomic.Uint64
	pendingBytes atomic.Int64 // of responses that clients have not taken yet, over all calls
	draining     atomic.Bool
	stop         chan struct{}
	goroutines   sync.WaitGroup
	closeOnce    sync.Once

	mu             sync.Mutex
	tickets        *ticket.FetchLedger
	sessionStore   *bearertoken.Store
	sessions       map[string]*session           // by token
	endReasons     map[string]string             // why the latest maxEndReasons sessions ended, by token
	endOrder       []string                      // the tokens of endReasons, oldest first
	runningFetches map[uint64]map[*call]struct{} // by ticket nonce
	clientConns    map[*clientConn]struct{}
	connsByAddr    map[string]*countedConn // by remote address
	listeners      []net.Listener
}

// SetBuffers changes how many bytes of a response are buffered before the first is sent, and how many may
// wait for a call's client while the engine is read. holdBack applies to later statements, clientBuffer at
// once.
func (s *Server) SetBuffers(holdBack, clientBuffer int) {
	s.holdBack.Store(int64(holdBack))
	s.clientBuffer.Store(int64(clientBuffer))
}

// New returns a server that submits queries to dispatcher, and starts its expiry of idle sessions. Close
// stops both.
func New(cfg Config, dispatcher frontend.Dispatcher, log *slog.Logger) *Server {
	s := &Server{cfg: cfg, dispatcher: dispatcher, log: log, ticketKey: make([]byte, ticketKeySize),
		startTime: time.Now(), mem: memory.DefaultAllocator, health: health.NewServer(),
		stop:    make(chan struct{}),
		tickets: ticket.NewFetchLedger(cfg.MaxTickets), sessionStore: bearertoken.New(cfg.SessionLimits),
		sessions: map[string]*session{}, endReasons: map[string]string{},
		runningFetches: map[uint64]map[*call]struct{}{}, clientConns: map[*clientConn]struct{}{},
		connsByAddr: map[string]*countedConn{}}
	s.SetBuffers(cfg.HoldBack, cfg.ClientBuffer)
	rand.Read(s.ticketKey)
	s.Alloc = s.mem
	s.registerSQLInfo()
	s.grpc = s.newGRPCServer()
	s.goroutines.Add(1)
	go s.expireSessions()
	return s
}

func (s *Server) newGRPCServer() *grpc.Server {
	g := grpc.NewServer(
		grpc.MaxConcurrentStreams(uint32(s.cfg.MaxStreams)),
		grpc.MaxRecvMsgSize(s.cfg.MaxMessage),
		grpc.StatsHandler(s),
		grpc.ChainStreamInterceptor(s.streamInterceptor),
		grpc.ChainUnaryInterceptor(s.unaryInterceptor),
		grpc.WaitForHandlers(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepAlive,
			PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: s.cfg.KeepAlive,
			MaxConnectionAge: s.cfg.MaxConnectionAge, Timeout: keepAliveTimeout}))
	flight.RegisterFlightServiceServer(g,
		&handshakeService{flightsql.NewFlightServerWithAllocator(s, s.mem), s})
	healthpb.RegisterHealthServer(g, s.health)
	reflection.Register(g)
	return g
}

// handshakeService is the library's Flight service with the handshake of Server.
type handshakeService struct {
	flight.FlightServer
	server *Server
}

func (h *handshakeService) Handshake(stream flight.FlightService_HandshakeServer) error {
	return h.server.handshake(stream)
}

// Serve accepts connections on ln in the background, until Drain or Close. It returns at once.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		err := s.grpc.Serve(&limitedListener{netlisten.ResilientListener{Listener: ln}, s})
		if err != nil && !s.draining.Load() {
			s.log.Warn("Flight SQL server stopped", "error", err)
		}
	}()
}

// newRandomID returns a random string that cannot be guessed, in hexadecimal.
func newRandomID() string {
	b := make([]byte, randomIDSize)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// now returns the time since the server was created: the clock of tickets and sessions.
func (s *Server) now() time.Duration { return time.Since(s.startTime) }

// expireSessions ends sessions that have been idle for too long, until Close.
func (s *Server) expireSessions() {
	defer s.goroutines.Done()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		expired := s.sessionStore.Expired(s.now())
		s.mu.Unlock()
		for _, token := range expired {
			s.endSession(token, idleTimeoutReached)
		}
	}
}

// Clients returns the number of connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clientConns)
}

// Sessions returns the number of sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessionStore.Len()
}

// Pending returns the number of response bytes that wait for clients to take them.
func (s *Server) Pending() int64 { return s.pendingBytes.Load() }

// Drain stops listening and returns at once. Statements of a transaction or a sticky session are still
// served; all others are answered UNAVAILABLE, as nothing of them ran. Once no session is sticky, connections
// are sent a GOAWAY and close when their last call ends.
func (s *Server) Drain() {
	s.mu.Lock()
	listeners := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	first := !s.draining.Swap(true)
	for _, ln := range listeners {
		_ = ln.Close() // the only error is that of a listener that is already closed
	}
	if !first {
		return
	}
	s.health.Shutdown()
	s.notifyDraining()
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		if s.awaitNoSticky() {
			s.grpc.GracefulStop()
		}
	}()
}

// awaitNoSticky waits until no session is sticky. It returns false if the server is closed first.
func (s *Server) awaitNoSticky() bool {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.hasStickySessions() {
		select {
		case <-s.stop:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// notifyDraining sets a notice of the drain for the clients of sticky sessions and transactions.
func (s *Server) notifyDraining() {
	for _, sess := range s.allSessions() {
		for _, sc := range sess.scopes() {
			sc.mu.Lock()
			if sc.affinity.Bound() {
				sc.notice = "the dispatcher is shutting down; what is kept on an engine will be ended"
			}
			sc.mu.Unlock()
		}
	}
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		sessions = append(sessions, sess)
	}
	return sessions
}

// hasStickySessions reports whether any session or transaction is sticky.
func (s *Server) hasStickySessions() bool {
	for _, sess := range s.allSessions() {
		if sess.isSticky() {
			return true
		}
	}
	return false
}

// TerminateAll ends all remaining sessions and closes all connections.
func (s *Server) TerminateAll() {
	for _, sess := range s.allSessions() {
		s.endSession(sess.token, shuttingDown)
	}
	s.grpc.Stop()
}

// Close drains the server, ends all sessions and connections, and waits for its goroutines.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.Drain()
		close(s.stop)
		s.TerminateAll()
		s.goroutines.Wait()
	})
}
