// Package server assembles the dispatcher of `cresspass serve`: the frontends that clients connect to, the
// loop that owns the decision module, the pool of engine connections, session affinity, membership and the
// state folder. It starts and stops these parts and keeps the queries in flight. It executes decisions that
// are made elsewhere: the module decides which engine gets a query, package storage what survives a restart,
// and package overload whether the dispatcher is overloaded.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/affinity/registry"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/bytebudget"
	"cresspass/internal/config"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/discovery/starttime"
	"cresspass/internal/dispatch"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/pgfrontend"
	"cresspass/internal/frontend/pgfrontend/pgsession"
	"cresspass/internal/invariant"
	"cresspass/internal/membership"
	"cresspass/internal/membership/observation"
	"cresspass/internal/netlisten"
	"cresspass/internal/overload"
	"cresspass/internal/recording"
	"cresspass/internal/storage"
)

// Server is a running dispatcher.
type Server struct {
	cfg             *config.Config // the settings at the start; activeConfig has the current ones
	log             *slog.Logger
	clock           dispatch.Clock
	address         string
	incarnation     uint64 // greater than that of every earlier process with the same state folder
	incarnationName string // application_name of the connections to engines

	// The parts of the dispatcher. Each does its own locking; the pointers do not change after the start.
	loop             *dispatch.Loop
	pool             *pgbackend.Pool
	affinity         *registry.Registry
	pgFrontend       *pgfrontend.Server
	flightFrontend   *flightsql.Server // nil: Flight SQL is not served
	flightListener   net.Listener      // nil: Flight SQL is not served
	discovery        eds.Source
	recorder         *recording.Recorder // nil: queries are not recorded
	describeCache    *describeCache
	invariantGuard   *invariant.Guard // checks every query, attempt, retry and response
	invariantCounter *invariant.Counter
	nextID           atomic.Uint64 // of queries, write attempts and persisted sessions

	// Parts that may be set or replaced while the dispatcher runs.
	classifier  atomic.Pointer[classify.Classifier]
	membership  atomic.Pointer[membership.Service] // nil: not a member, or not yet
	store       atomic.Pointer[storage.Store]      // nil: no state is stored, or not yet
	engineList  atomic.Pointer[eds.List]           // the last list; nil: none yet
	loopLagging atomic.Bool
	// lastMembershipError is the last error of joining membership that was logged. Only the maintenance
	// goroutine uses it.
	lastMembershipError string
	// unrecordedWrites counts attempts at writes that were sent before their record was durable.
	unrecordedWrites atomic.Uint64

	startClockLock sync.Mutex
	startClock     *starttime.Converter // guarded by startClockLock

	overloadLock    sync.Mutex
	overloadLimiter *overload.Limiter // guarded by overloadLock
	activeConfig    *config.Config    // guarded by overloadLock

	mu            sync.Mutex
	queries       map[cresspass.QueryID]*query // guarded by mu
	observations  *observation.Store           // guarded by membership's lock if there is one, else by mu
	orphanCleanup *orphanedsession.Cleanup     // guarded by mu; nil: finished, or nothing to clean up
	recovery      *storage.RecoveryGuard       // guarded by mu; nil: no state folder, or not open yet
	recoveredAt   time.Time                    // guarded by mu; when recovery was created

	cancel        context.CancelFunc // of the background goroutines
	background    sync.WaitGroup
	closeOnce     sync.Once
	listReady     chan struct{} // closed once an engine list is known
	listReadyOnce sync.Once
}

// serverVersion is the server_version that clients receive: the PostgreSQL release whose protocol
// documentation the frontends follow.
const serverVersion = "16.0 (cresspass)"

// describeCacheEntries is the maximum number of statements whose descriptions are cached.
const describeCacheEntries = 4096

// firstIDRange is the range of the random first ID. The range makes it unlikely that two incarnations use the
// same IDs.
const firstIDRange = 1 << 40

// Start starts a dispatcher that listens at the settings' address, and returns once it accepts clients.
func Start(cfg *config.Config, log *slog.Logger) (*Server, error) {
	ln, err := netlisten.Open(cfg.Listen)
	if err != nil {
		return nil, err
	}
	s, err := StartOnListener(cfg, log, ln)
	if err != nil {
		ln.Close()
	}
	return s, err
}

// StartOnListener starts a dispatcher that accepts PostgreSQL clients from a listener. If it fails, the
// listener stays open.
func StartOnListener(cfg *config.Config, log *slog.Logger, ln net.Listener) (*Server, error) {
	newDecider := func(m cresspass.Config) (dispatch.Decider, error) { return cresspass.New(m) }
	return StartWithDecider(cfg, log, ln, newDecider)
}

// StartWithDecider is StartOnListener with the decider that newDecider returns in place of the module.
func StartWithDecider(cfg *config.Config, log *slog.Logger, ln net.Listener,
	newDecider func(cresspass.Config) (dispatch.Decider, error)) (*Server, error) {
	s := newServer(cfg, log, ln.Addr().String())
	decider, err := newDecider(cfg.Module)
	if err != nil {
		return nil, err
	}
	core := dispatch.NewCoreWithDecider(decider, cfg.Module, s.clock())
	s.observations = observation.New(s.memberName(), observation.DefaultLimits())
	if err := s.openState(); err != nil {
		return nil, err
	}
	s.nextID.Store(rand.Uint64N(firstIDRange) + 1)
	s.loop = dispatch.NewLoop(core, s.clock, s.handleOutput)
	s.pool = pgbackend.NewPool(s.poolConfig())
	s.affinity = registry.New(registry.Config{
		Limits:  cfg.SessionLimits,
		Changed: s.stickySessionChanged,
		Persist: s.persistSession,
	})
	if err := s.openFrontends(core); err != nil {
		return nil, s.abortStart(err)
	}
	s.discovery = eds.NewClient(cfg.DiscoveryAddr, cfg.DiscoveryService,
		fmt.Sprintf("cresspass-%d", cfg.Module.Ordinal), log)
	s.loadCachedList()
	s.startBackground()
	s.pgFrontend.Serve(ln)
	if s.flightFrontend != nil {
		s.flightFrontend.Serve(s.flightListener)
	}
	log.Info("listening", "address", s.address, "discovery", cfg.DiscoveryAddr)
	return s, nil
}

// newServer returns a server without the parts that have to be closed.
func newServer(cfg *config.Config, log *slog.Logger, address string) *Server {
	s := &Server{
		cfg:              cfg,
		log:              log,
		activeConfig:     cfg,
		overloadLimiter:  overload.New(overloadLimits(cfg)),
		clock:            dispatch.NewMonotonicClock(),
		address:          address,
		incarnationName:  fmt.Sprintf("cresspass-%d-%08x", cfg.Module.Ordinal, rand.Uint32()),
		invariantCounter: invariant.NewCounter(log),
		queries:          map[cresspass.QueryID]*query{},
		describeCache:    newDescribeCache(describeCacheEntries),
		listReady:        make(chan struct{}),
	}
	s.invariantGuard = invariant.NewGuard(invariant.RulesFromConfig(&cfg.Module), s.invariantCounter, nil)
	s.invariantGuard.SetServing(true)
	s.startClock = starttime.New(starttime.AllStarts, time.Now(), s.clock())
	s.classifier.Store(classify.New(cfg))
	return s
}

// poolConfig returns the settings of the engine connections.
func (s *Server) poolConfig() pgbackend.Config {
	return pgbackend.Config{
		Application:      s.incarnationName,
		User:             s.cfg.EngineUser,
		Database:         s.cfg.EngineDatabase,
		MaxConnections:   s.cfg.MaxConnections,
		MaxPrepared:      s.cfg.MaxPrepared,
		MaxMessage:       s.cfg.MaxMessage,
		ConnectTimeout:   s.cfg.ConnectTimeout,
		CancelTimeout:    s.cfg.CancelTimeout,
		IdleTimeout:      s.cfg.IdleTimeout,
		LoadReportFields: len(s.cfg.Module.LoadReportFields),
		CopyBufferBytes:  s.cfg.ClientBuffer,
	}
}

// openFrontends opens the parts whose start can fail: the Flight SQL frontend, membership, the recorder and
// the PostgreSQL frontend. The PostgreSQL frontend comes last, so that no later failure closes it: its event
// loop hangs if it is closed right after its start.
func (s *Server) openFrontends(core *dispatch.Core) (err error) {
	if err := errors.Join(s.openFlightFrontend(), s.joinMembership()); err != nil {
		return err
	}
	s.initializeEstimates(core)
	if s.cfg.RecordingDir != "" {
		s.recorder, err = recording.NewRecorder(s.cfg.RecordingDir, s.cfg.RecordingLimits, s.log)
		if err != nil {
			return err
		}
	}
	s.pgFrontend, err = pgfrontend.New(s.pgFrontendConfig(), s, s.log)
	return err
}

// pgFrontendConfig returns the settings of the PostgreSQL frontend.
func (s *Server) pgFrontendConfig() pgfrontend.Config {
	return pgfrontend.Config{
		MaxClients:     s.cfg.MaxClients,
		StartupTimeout: s.cfg.StartupTimeout,
		HoldBack:       s.cfg.HoldBack,
		HoldBackTotal:  s.cfg.HoldBackTotal,
		InputBudget:    bytebudget.New(s.cfg.MaxInputBytes),
		ClientBuffer:   s.cfg.ClientBuffer,
		Session: pgsession.Config{
			ServerVersion:     serverVersion,
			MaxMessage:        s.cfg.MaxMessage,
			MaxPending:        s.cfg.MaxPending,
			CachedDescription: s.describeCache.get,
			StatelessFunction: functionMatcher(s.cfg.HarmlessFunctions),
		},
		Registry:          s.affinity,
		AdmitUser:         s.admitUser,
		ReleaseUser:       s.releaseUser,
		AcquireConnection: func() bool { return s.acquireConnection(pgfrontend.Name) },
		ReleaseConnection: func() { s.releaseConnection(pgfrontend.Name) },
	}
}

// abortStart closes the parts that a failed start has opened, and returns the start's error.
func (s *Server) abortStart(err error) error {
	if s.flightFrontend != nil {
		s.flightFrontend.Close()
		s.flightListener.Close()
	}
	if p := s.membership.Load(); p != nil {
		p.Close()
	}
	if s.recorder != nil {
		s.recorder.Close()
	}
	s.affinity.Close()
	s.pool.Close()
	return errors.Join(err, s.closeState())
}

// startBackground starts the goroutines that run until Close.
func (s *Server) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.background.Add(3)
	go func() {
		defer s.background.Done()
		s.runMaintenance(ctx)
	}()
	go func() {
		defer s.background.Done()
		s.loop.Run()
	}()
	go func() {
		defer s.background.Done()
		s.discovery.Run(ctx, s.handleEngineList, s.handleListFailure)
	}()
}

// Addr returns the address that PostgreSQL clients connect to.
func (s *Server) Addr() string { return s.address }

// ListReady returns a channel that is closed once an engine list is known, received or cached.
func (s *Server) ListReady() <-chan struct{} { return s.listReady }

// FlightListener returns the listener for Flight SQL clients, or nil if Flight SQL is not served.
func (s *Server) FlightListener() net.Listener { return s.flightListener }

// FlightAddr returns the address that Flight SQL clients connect to, or "" if Flight SQL is not served.
func (s *Server) FlightAddr() string {
	if s.flightListener == nil {
		return ""
	}
	return s.flightListener.Addr().String()
}

// Membership returns the dispatcher's membership in a fleet, or nil if it is not a member.
func (s *Server) Membership() *membership.Service { return s.membership.Load() }

// Clients returns the number of client connections.
func (s *Server) Clients() int {
	n := s.pgFrontend.Clients()
	if s.flightFrontend != nil {
		n += s.flightFrontend.Clients()
	}
	return n
}

// StickySessions returns the number of sessions that are bound to an engine.
func (s *Server) StickySessions() int { return s.affinity.Total() }

// PendingBytes returns the number of response bytes that are buffered for clients, including those of
// responses that are not yet passed on.
func (s *Server) PendingBytes() int64 {
	n := s.pgFrontend.Pending()
	if s.flightFrontend != nil {
		n += s.flightFrontend.Pending()
	}
	return n
}

// Stats returns the statistics of the queries and attempts. They are zero once the server is closed.
func (s *Server) Stats() (stats dispatch.Stats) {
	s.loop.Inspect(func(c *dispatch.Core) { stats = c.Stats() })
	return stats
}

// Invariants returns how often each invariant was violated, and how often an operation was withheld because
// it was no longer allowed.
func (s *Server) Invariants() (violated, withheld map[invariant.Name]uint64) {
	return s.invariantCounter.Violations(), s.invariantCounter.Withheld()
}
