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
	Book         *registry.Book
	HoldBack     int              // bytes of an answer held back before the first goes out
	Budget       *response.Budget // the same over all answers
	ClientBuffer int              // bytes that a call may leave untaken before the engine is no longer read
	MaxMessage   int              // bytes of a message of a client
	MaxStreams   int              // calls at a time on one connection

	TicketLife      time.Duration
	MaxTickets      int // remembered fetches of statements that change data
	Sessions        bearertoken.Limits
	MaxTransactions int // open ones of a session
	MaxPrepared     int // statements of a session
	MaxWaiting      int // statements that wait for their turn in a session

	KeepAlive time.Duration // a connection at rest is asked for a sign of life; 0: never
	MaxAge    time.Duration // a connection so old is told to come anew; 0: never

	// Connect reports whether one more connection may be taken; Disconnect gives one back.
	Connect    func() bool
	Disconnect func()
	// Admit reports whether a user may have one more session, and why not; Leave follows each that was let
	// in.
	Admit func(user string) (reason string, ok bool)
	Leave func(user string)
	// Described returns what a statement's Describe was answered with, as PostgreSQL's messages; nil: nothing
	// is known.
	Described func(key string) []byte
	// Safe reports whether a statement may be run any number of times.
	Safe func(who classify.Client, a *enginequery.Ask) bool
	// Harmless reports whether a function leaves nothing in a session; nil: none is known to.
	Harmless func(name string) bool
}

// Name is the front's, in settings of shares.
const Name = "flight"

// Server serves Flight SQL. Make one with New.
type Server struct {
	flightsql.BaseServer
	cfg    Config
	taker  frontend.Taker
	log    *slog.Logger
	grpc   *grpc.Server
	health *health.Server
	key    []byte // of tickets
	zero   time.Time
	mem    memory.Allocator
	nextID atomic.Uint64
	bytes  atomic.Int64 // untaken ones of all calls
	drains atomic.Bool

	mu       sync.Mutex
	tickets  *ticket.Book
	bearers  *bearertoken.Book
	sessions map[string]*session
	ended    map[string]string // why sessions ended, the last ones
	endings  []string          // their tokens in order
	running  map[uint64]map[*call]struct{}
	peers    map[*peer]struct{}
	nets     map[string]*conn // by remote address
	lns      []net.Listener
	stop     chan struct{}
	work     sync.WaitGroup
	once     sync.Once
}

// New returns a server that hands queries to taker.
func New(cfg Config, taker frontend.Taker, log *slog.Logger) *Server {
	s := &Server{cfg: cfg, taker: taker, log: log, key: make([]byte, 32), zero: time.Now(),
		mem: memory.DefaultAllocator, tickets: ticket.NewBook(cfg.MaxTickets),
		bearers:  bearertoken.New(cfg.Sessions),
		sessions: map[string]*session{}, ended: map[string]string{}, running: map[uint64]map[*call]struct{}{},
		peers: map[*peer]struct{}{}, nets: map[string]*conn{}, stop: make(chan struct{}),
		health: health.NewServer()}
	rand.Read(s.key)
	s.Alloc = s.mem
	s.describeSelf()
	opts := []grpc.ServerOption{grpc.MaxConcurrentStreams(uint32(cfg.MaxStreams)),
		grpc.MaxRecvMsgSize(cfg.MaxMessage), grpc.StatsHandler(s), grpc.ChainStreamInterceptor(s.stream),
		grpc.ChainUnaryInterceptor(s.unary), grpc.WaitForHandlers(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second,
			PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: cfg.KeepAlive, MaxConnectionAge: cfg.MaxAge,
			Timeout: 10 * time.Second})}
	s.grpc = grpc.NewServer(opts...)
	flight.RegisterFlightServiceServer(s.grpc, &service{flightsql.NewFlightServerWithAllocator(s, s.mem), s})
	healthpb.RegisterHealthServer(s.grpc, s.health)
	reflection.Register(s.grpc)
	s.work.Add(1)
	go s.sweep()
	return s
}

// service is the library's, but for the handshake.
type service struct {
	flight.FlightServer
	s *Server
}

func (v *service) Handshake(stream flight.FlightService_HandshakeServer) error {
	return v.s.handshake(stream)
}

// Serve takes connections of a listener until Close.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.lns = append(s.lns, ln)
	s.mu.Unlock()
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		if err := s.grpc.Serve(&listener{netlisten.Lasting{Listener: ln}, s}); err != nil && !s.drains.Load() {
			s.log.Warn("Flight SQL", "error", err)
		}
	}()
}

// listener takes as many connections as there is room for.
type listener struct {
	net.Listener
	s *Server
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if f := l.s.cfg.Connect; f == nil || f() {
			v := &conn{Conn: c, s: l.s}
			l.s.mu.Lock()
			l.s.nets[c.RemoteAddr().String()] = v
			l.s.mu.Unlock()
			return v, nil
		}
		c.Close() // gRPC knows no word for it before its own handshake
	}
}

// conn is one connection on its way from the network.
type conn struct {
	net.Conn
	s      *Server
	closed atomic.Bool
}

func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.s.mu.Lock()
		delete(c.s.nets, c.RemoteAddr().String())
		c.s.mu.Unlock()
		if c.s.cfg.Disconnect != nil {
			c.s.cfg.Disconnect()
		}
	}
	return c.Conn.Close()
}

// peer is a connection as gRPC sees it: it has the session of calls that bring no token.
type peer struct {
	token string
	more  []string // tokens of its sessions by Basic; under the server's lock
	nc    *conn
	meter *rapidreset.Meter // under the server's lock
	away  bool              // the same
}

type connKey struct{}

// TagConn gives each connection a name for its session.
func (s *Server) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	p := &peer{token: "conn-" + name(), meter: rapidreset.New(rapidreset.Default(), s.now())}
	s.mu.Lock()
	p.nc = s.nets[info.RemoteAddr.String()]
	s.peers[p] = struct{}{}
	s.mu.Unlock()
	return context.WithValue(ctx, connKey{}, p)
}

// HandleConn ends a connection's session with it.
func (s *Server) HandleConn(ctx context.Context, st stats.ConnStats) {
	if _, ok := st.(*stats.ConnEnd); ok {
		p := ctx.Value(connKey{}).(*peer)
		s.mu.Lock()
		delete(s.peers, p)
		all := append(p.more, p.token)
		p.more = nil
		s.mu.Unlock()
		for _, token := range all {
			s.end(token, "its connection is gone")
		}
	}
}

// TagRPC has nothing to do.
func (s *Server) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC watches calls' ends for a flood of such as are taken back.
func (s *Server) HandleRPC(ctx context.Context, st stats.RPCStats) {
	end, ok := st.(*stats.End)
	p, known := ctx.Value(connKey{}).(*peer)
	if !ok || !known {
		return
	}
	takenBack := status.Code(end.Error) == codes.Canceled
	s.mu.Lock()
	away := p.meter.Ended(s.now(), end.EndTime.Sub(end.BeginTime), takenBack) && !p.away
	p.away = p.away || away
	s.mu.Unlock()
	if away {
		s.log.Warn("connection closed: it opens calls only to take them back", "peer", p.nc.RemoteAddr())
		go p.nc.Close()
	}
}

// name is a name nobody guesses.
func name() string {
	b := make([]byte, 16)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// now is the time by which tickets and sessions live.
func (s *Server) now() time.Duration { return time.Since(s.zero) }

const restedOut = "it rested for too long"

// sweepEvery is the grain of the sessions' rest.
const sweepEvery = 100 * time.Millisecond

func (s *Server) sweep() {
	defer s.work.Done()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		due := s.bearers.Due(s.now())
		s.mu.Unlock()
		for _, token := range due {
			s.end(token, restedOut)
		}
	}
}

// Clients is the number of connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// Sessions is the number of sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bearers.Len()
}

// Pending is the number of bytes of answers that wait for clients to take them.
func (s *Server) Pending() int64 { return s.bytes.Load() }

// Drain stops listening. What belongs to a transaction or a kept session is served on; anything else is
// answered UNAVAILABLE, as nothing of it ran. Once nothing is kept, connections are told to go (GOAWAY) and
// close as their last call ends.
func (s *Server) Drain() {
	s.mu.Lock()
	lns := s.lns
	s.lns = nil
	s.mu.Unlock()
	first := !s.drains.Swap(true)
	for _, ln := range lns {
		ln.Close()
	}
	if !first {
		return
	}
	s.health.Shutdown()
	s.warn()
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for s.holds() {
			select {
			case <-s.stop:
				return
			case <-tick.C:
			}
		}
		s.grpc.GracefulStop()
	}()
}

// warn has the calls of sessions and transactions that are kept told of the drain.
func (s *Server) warn() {
	for _, v := range s.all() {
		for _, t := range v.lanes() {
			t.mu.Lock()
			if t.pin.Bound() {
				t.notice = "the dispatcher is shutting down; what is kept on an engine will be ended"
			}
			t.mu.Unlock()
		}
	}
}

// all are the sessions.
func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, v := range s.sessions {
		all = append(all, v)
	}
	return all
}

// holds reports whether a session or transaction is kept on an engine.
func (s *Server) holds() bool {
	for _, v := range s.all() {
		if v.holds() {
			return true
		}
	}
	return false
}

// Cut ends all sessions and connections that are left.
func (s *Server) Cut() {
	s.mu.Lock()
	var tokens []string
	for t := range s.sessions {
		tokens = append(tokens, t)
	}
	s.mu.Unlock()
	for _, t := range tokens {
		s.end(t, "the dispatcher is shutting down")
	}
	s.grpc.Stop()
}

// Close ends everything and waits for it.
func (s *Server) Close() {
	s.once.Do(func() {
		s.Drain()
		close(s.stop)
		s.Cut()
		s.work.Wait()
	})
}
