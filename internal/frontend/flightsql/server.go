// Package flightsql serves Arrow Flight SQL over gRPC on the same core as the PostgreSQL front. It is a
// shell: what a ticket may do, who runs when in a session, and what a status says is decided in packages
// ticket, lane, bearer and grpcstatus. Sections named are of Arrow's "Flight SQL" and "Flight RPC" pages.
package flightsql

import (
	"context"
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
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"cresspass/internal/affinity/registry"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql/bearertoken"
	"cresspass/internal/frontend/flightsql/ticket"
	"cresspass/internal/netlisten"
	"cresspass/internal/overload/rapidreset"
)

// Config holds the settings of the front.
type Config struct {
	Version      string // told as the server's
	Registry     *registry.Registry
	HoldBack     int                    // bytes of an answer held back before the first goes out
	Budget       *response.BufferBudget // the same over all answers
	ClientBuffer int                    // bytes that a call may leave untaken before the engine is no longer read
	MaxMessage   int                    // bytes of a message of a client
	MaxStreams   int                    // calls at a time on one connection

	TicketLifetime  time.Duration
	MaxTickets      int // remembered fetches of statements that change data
	SessionLimits   bearertoken.Limits
	MaxTransactions int // open ones of a session
	MaxPrepared     int // statements of a session
	MaxWaiting      int // statements that wait for their turn in a session

	KeepAlive        time.Duration // a connection at rest is asked for a sign of life; 0: never
	MaxConnectionAge time.Duration // a connection so old is told to come anew; 0: never

	// AcquireConnection reports whether one more connection may be taken; Disconnect gives one back.
	AcquireConnection func() bool
	ReleaseConnection func()
	// AdmitUser reports whether a user may have one more session, and why not; Leave follows each that was
	// let in.
	AdmitUser   func(user string) (reason string, ok bool)
	ReleaseUser func(user string)
	// CachedDescription returns what a statement's Describe was answered with, as PostgreSQL's messages;
	// nil: nothing is known.
	CachedDescription func(key string) []byte
	// Idempotent reports whether a statement may be run any number of times.
	Idempotent func(who classify.Client, a *enginequery.Query) bool
	// StatelessFunction reports whether a function leaves nothing in a session; nil: none is known to.
	StatelessFunction func(name string) bool
}

// Name is the front's, in settings of shares.
const Name = "flight"

// Server serves Flight SQL. Make one with New.
type Server struct {
	flightsql.BaseServer
	cfg          Config
	dispatcher   frontend.Dispatcher
	log          *slog.Logger
	grpc         *grpc.Server
	health       *health.Server
	ticketKey    []byte // of tickets
	startTime    time.Time
	mem          memory.Allocator
	nextID       atomic.Uint64
	pendingBytes atomic.Int64 // untaken ones of all calls
	draining     atomic.Bool

	mu             sync.Mutex
	tickets        *ticket.FetchLedger
	sessionStore   *bearertoken.Store
	sessions       map[string]*session
	endReasons     map[string]string // why sessions ended, the last ones
	endOrder       []string          // their tokens in order
	runningFetches map[uint64]map[*call]struct{}
	clientConns    map[*clientConn]struct{}
	connsByAddr    map[string]*countedConn // by remote address
	listeners      []net.Listener
	stop           chan struct{}
	work           sync.WaitGroup
	once           sync.Once
}

// New returns a server that hands queries to taker.
func New(cfg Config, taker frontend.Dispatcher, log *slog.Logger) *Server {
	s := &Server{cfg: cfg, dispatcher: taker, log: log, ticketKey: make([]byte, 32), startTime: time.Now(),
		mem: memory.DefaultAllocator, tickets: ticket.NewFetchLedger(cfg.MaxTickets),
		sessionStore: bearertoken.New(cfg.SessionLimits),
		sessions:     map[string]*session{}, endReasons: map[string]string{}, runningFetches: map[uint64]map[*call]struct{}{},
		clientConns: map[*clientConn]struct{}{}, connsByAddr: map[string]*countedConn{}, stop: make(chan struct{}),
		health: health.NewServer()}
	rand.Read(s.ticketKey)
	s.Alloc = s.mem
	s.describeSelf()
	opts := []grpc.ServerOption{grpc.MaxConcurrentStreams(uint32(cfg.MaxStreams)),
		grpc.MaxRecvMsgSize(
			cfg.MaxMessage,
		), grpc.StatsHandler(s), grpc.ChainStreamInterceptor(s.streamInterceptor),
		grpc.ChainUnaryInterceptor(s.unaryInterceptor), grpc.WaitForHandlers(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second,
			PermitWithoutStream: true}),
		grpc.KeepaliveParams(
			keepalive.ServerParameters{Time: cfg.KeepAlive, MaxConnectionAge: cfg.MaxConnectionAge,
				Timeout: 10 * time.Second},
		)}
	s.grpc = grpc.NewServer(opts...)
	flight.RegisterFlightServiceServer(
		s.grpc,
		&handshakeService{flightsql.NewFlightServerWithAllocator(s, s.mem), s},
	)
	healthpb.RegisterHealthServer(s.grpc, s.health)
	reflection.Register(s.grpc)
	s.work.Add(1)
	go s.expireSessions()
	return s
}

// handshakeService is the library's, but for the handshake.
type handshakeService struct {
	flight.FlightServer
	server *Server
}

func (v *handshakeService) Handshake(stream flight.FlightService_HandshakeServer) error {
	return v.server.handshake(stream)
}

// Serve takes connections of a listener until Close.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		if err := s.grpc.Serve(&limitedListener{netlisten.ResilientListener{Listener: ln}, s}); err != nil &&
			!s.draining.Load() {
			s.log.Warn("Flight SQL", "error", err)
		}
	}()
}

// limitedListener takes as many connections as there is room for.
type limitedListener struct {
	net.Listener
	server *Server
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if f := l.server.cfg.AcquireConnection; f == nil || f() {
			v := &countedConn{Conn: c, server: l.server}
			l.server.mu.Lock()
			l.server.connsByAddr[c.RemoteAddr().String()] = v
			l.server.mu.Unlock()
			return v, nil
		}
		c.Close() // gRPC knows no word for it before its own handshake
	}
}

// countedConn is one connection on its way from the network.
type countedConn struct {
	net.Conn
	server *Server
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.server.mu.Lock()
		delete(c.server.connsByAddr, c.RemoteAddr().String())
		c.server.mu.Unlock()
		if c.server.cfg.ReleaseConnection != nil {
			c.server.cfg.ReleaseConnection()
		}
	}
	return c.Conn.Close()
}

// clientConn is a connection as gRPC sees it: it has the session of calls that bring no token.
type clientConn struct {
	token       string
	basicTokens []string // tokens of its sessions by Basic; under the server's lock
	netConn     *countedConn
	meter       *rapidreset.Limiter // under the server's lock
	rejected    bool                // the same
}

type connContextKey struct{}

// TagConn gives each connection a name for its session.
func (s *Server) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	p := &clientConn{
		token: "conn-" + randomName(),
		meter: rapidreset.New(rapidreset.DefaultLimits(), s.now()),
	}
	s.mu.Lock()
	p.netConn = s.connsByAddr[info.RemoteAddr.String()]
	s.clientConns[p] = struct{}{}
	s.mu.Unlock()
	return context.WithValue(ctx, connContextKey{}, p)
}

// HandleConn ends a connection's session with it.
func (s *Server) HandleConn(ctx context.Context, st stats.ConnStats) {
	if _, ok := st.(*stats.ConnEnd); ok {
		p := ctx.Value(connContextKey{}).(*clientConn)
		s.mu.Lock()
		delete(s.clientConns, p)
		all := append(p.basicTokens, p.token)
		p.basicTokens = nil
		s.mu.Unlock()
		for _, token := range all {
			s.endSession(token, "its connection is gone")
		}
	}
}

// TagRPC has nothing to do.
func (s *Server) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC watches calls' ends for a flood of such as are taken back.
func (s *Server) HandleRPC(ctx context.Context, st stats.RPCStats) {
	end, ok := st.(*stats.End)
	p, known := ctx.Value(connContextKey{}).(*clientConn)
	if !ok || !known {
		return
	}
	takenBack := status.Code(end.Error) == codes.Canceled
	s.mu.Lock()
	away := p.meter.CallEnded(s.now(), end.EndTime.Sub(end.BeginTime), takenBack) && !p.rejected
	p.rejected = p.rejected || away
	s.mu.Unlock()
	if away {
		s.log.Warn("connection closed: it opens calls only to take them back", "peer", p.netConn.RemoteAddr())
		go p.netConn.Close()
	}
}

// randomName is a name nobody guesses.
func randomName() string {
	b := make([]byte, 16)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// now is the time by which tickets and sessions live.
func (s *Server) now() time.Duration { return time.Since(s.startTime) }

const idleTooLong = "it rested for too long"

// expiryInterval is the grain of the sessions' rest.
const expiryInterval = 100 * time.Millisecond

func (s *Server) expireSessions() {
	defer s.work.Done()
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		due := s.sessionStore.Expired(s.now())
		s.mu.Unlock()
		for _, token := range due {
			s.endSession(token, idleTooLong)
		}
	}
}

// Clients is the number of connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clientConns)
}

// Sessions is the number of sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessionStore.Len()
}

// Pending is the number of bytes of answers that wait for clients to take them.
func (s *Server) Pending() int64 { return s.pendingBytes.Load() }

// Drain stops listening. What belongs to a transaction or a kept session is served on; anything else is
// answered UNAVAILABLE, as nothing of it ran. Once nothing is kept, connections are told to go (GOAWAY) and
// close as their last call ends.
func (s *Server) Drain() {
	s.mu.Lock()
	lns := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	first := !s.draining.Swap(true)
	for _, ln := range lns {
		ln.Close()
	}
	if !first {
		return
	}
	s.health.Shutdown()
	s.notifyDraining()
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for s.hasStickySessions() {
			select {
			case <-s.stop:
				return
			case <-tick.C:
			}
		}
		s.grpc.GracefulStop()
	}()
}

// notifyDraining has the calls of sessions and transactions that are kept told of the drain.
func (s *Server) notifyDraining() {
	for _, v := range s.allSessions() {
		for _, t := range v.scopes() {
			t.mu.Lock()
			if t.affinity.Bound() {
				t.notice = "the dispatcher is shutting down; what is kept on an engine will be ended"
			}
			t.mu.Unlock()
		}
	}
}

// allSessions are the sessions.
func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, v := range s.sessions {
		all = append(all, v)
	}
	return all
}

// hasStickySessions reports whether a session or transaction is kept on an engine.
func (s *Server) hasStickySessions() bool {
	for _, v := range s.allSessions() {
		if v.isSticky() {
			return true
		}
	}
	return false
}

// TerminateAll ends all sessions and connections that are left.
func (s *Server) TerminateAll() {
	s.mu.Lock()
	var tokens []string
	for t := range s.sessions {
		tokens = append(tokens, t)
	}
	s.mu.Unlock()
	for _, t := range tokens {
		s.endSession(t, "the dispatcher is shutting down")
	}
	s.grpc.Stop()
}

// Close ends everything and waits for it.
func (s *Server) Close() {
	s.once.Do(func() {
		s.Drain()
		close(s.stop)
		s.TerminateAll()
		s.work.Wait()
	})
}
