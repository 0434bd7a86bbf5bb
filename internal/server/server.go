// Package server puts the dispatcher together: fronts, the loop that owns the module, the pools of engine
// connections and the engine list. It is a shell; what it carries out is decided in the module.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/affinity/registry"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/config"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/discovery/starttime"
	"cresspass/internal/dispatch"
	"cresspass/internal/dispatch/verdict"
	front "cresspass/internal/frontend"
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
	cfg      *config.Config
	log      *slog.Logger
	classify atomic.Pointer[classify.Classifier]
	clock    dispatch.Clock
	loop     *dispatch.Loop
	pool     *pgbackend.Pool

	invariantGuard   *invariant.Guard // nothing is taken, sent, repeated or answered without it
	invariantCounter *invariant.Counter
	startClockLock   sync.Mutex
	startClock       *starttime.Converter // of engines; under startClockLock

	affinity        *registry.Registry // sessions kept on engines
	pgFrontend      *pgfrontend.Server
	flightFrontend  *flightsql.Server // nil: not served
	flightListener  net.Listener
	membership      atomic.Pointer[membership.Service] // nil: dispatchers do not talk
	observations    *observation.Store                 // what was learnt; under mu, or the peers' lock where there are any
	incarnation     uint64                             // number of this life
	engineList      atomic.Pointer[eds.List]           // the last
	incarnationName string                             // application_name of our connections to engines
	recorder        *recording.Recorder                // nil: nothing is recorded
	orphanCleanup   *orphanedsession.Cleanup           // for sessions of former lives; under mu
	store           atomic.Pointer[storage.Store]      // nil: nothing is kept
	recovery        *storage.RecoveryGuard             // what a dispatcher that came back must heed; under mu
	// when it came back
	recoveredAt       time.Time
	sentBeforeDurable atomic.Uint64 // loads that left before their records were durable
	overloadLock      sync.Mutex
	overloadGuard     *overload.Limiter
	activeConfig      *config.Config // the settings that were applied last; cfg are those of the start
	loopLagging       atomic.Bool
	discovery         eds.Source
	address           string
	cancel            context.CancelFunc
	background        sync.WaitGroup
	closeOnce         sync.Once
	listReady         chan struct{}
	listReadyOnce     sync.Once

	nextID atomic.Uint64

	mu            sync.Mutex
	queries       map[cresspass.QueryID]*queryRowCount
	describeCache *describeCache
}

// queryRowCount is a query with the attempts made for it.
type queryRowCount struct {
	*front.Query
	id          cresspass.QueryID
	attempts    map[int]*pgbackend.Attempt // that have no outcome; under the server's lock
	finished    bool
	admitted    bool // by the guard
	attempted   bool // an attempt was made
	class       string
	key         string
	lastError   string
	recordEntry *recording.Entry // until it has ended; nil: nothing is recorded
	arrivedAt   time.Time        // it was taken
	deadline    time.Time        // its client waits no longer
}

// version is what clients are told as server_version: the release whose protocol documentation was followed.
const version = "16.0 (cresspass)"

// Start starts a dispatcher and returns once it listens.
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

// StartOnListener starts a dispatcher that takes clients from a listener.
func StartOnListener(cfg *config.Config, log *slog.Logger, ln net.Listener) (*Server, error) {
	return StartWithDecider(cfg, log, ln, func(m cresspass.Config) (dispatch.Decider,
		error) {
		return cresspass.New(m)
	})
}

// StartWithDecider starts a dispatcher around the decider that decide makes.
func StartWithDecider(cfg *config.Config, log *slog.Logger, ln net.Listener,
	newDecider func(cresspass.Config) (dispatch.Decider, error)) (*Server, error) {
	s := &Server{
		cfg:           cfg,
		log:           log,
		activeConfig:  cfg,
		overloadGuard: overload.New(overloadLimits(cfg)),
		clock:         dispatch.NewMonotonicClock(),
		address:       ln.Addr().String(),
		queries:       map[cresspass.QueryID]*queryRowCount{},
		describeCache: newDescribeCache(4096),
		listReady:     make(chan struct{}),
	}
	s.invariantCounter = invariant.NewCounter(log)
	s.invariantGuard = invariant.NewGuard(invariant.RulesFromConfig(&cfg.Module), s.invariantCounter, nil)
	s.invariantGuard.SetServing(true)
	s.startClock = starttime.New(starttime.AllStarts, time.Now(), s.clock())
	s.classify.Store(classify.New(cfg))
	s.incarnationName = fmt.Sprintf("cresspass-%d-%08x", cfg.Module.Ordinal, rand.Uint32())
	decider, err := newDecider(cfg.Module)
	if err != nil {
		return nil, err
	}
	core := dispatch.NewCoreWithDecider(decider, cfg.Module, s.clock())
	s.observations = observation.New(s.memberName(), observation.DefaultLimits())
	if err := s.openState(); err != nil {
		return nil, err
	}
	s.nextID.Store(rand.Uint64N(1<<40) + 1)
	s.loop = dispatch.NewLoop(core, s.clock, s.handleOutput)
	s.pool = pgbackend.NewPool(pgbackend.Config{Application: s.incarnationName, User: cfg.EngineUser,
		Database:       cfg.EngineDatabase,
		MaxConnections: cfg.MaxConnections, MaxPrepared: cfg.MaxPrepared, MaxMessage: cfg.MaxMessage,
		ConnectTimeout: cfg.ConnectTimeout, CancelTimeout: cfg.CancelTimeout, IdleTimeout: cfg.IdleTimeout,
		LoadReportFields: len(cfg.Module.LoadReportFields), CopyBufferBytes: cfg.ClientBuffer})
	s.affinity = registry.New(
		registry.Config{
			Limits:  cfg.SessionLimits,
			Changed: s.stickySessionChanged,
			Persist: s.persistSession,
		},
	)
	// Danger: nbio does not bear its end just after its beginning, and hangs. What can fail comes first.
	undo := func(err error) error {
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
	if err := errors.Join(s.newFlightFrontend(), s.joinMembership()); err != nil {
		return nil, undo(err)
	}
	s.initializeEstimates(core)
	if cfg.RecordingDir != "" {
		if s.recorder, err = recording.NewRecorder(cfg.RecordingDir, cfg.RecordingLimits, log); err != nil {
			return nil, undo(err)
		}
	}
	s.pgFrontend, err = pgfrontend.New(pgfrontend.Config{MaxClients: cfg.MaxClients,
		StartupTimeout: cfg.StartupTimeout,
		HoldBack:       cfg.HoldBack, HoldBackTotal: cfg.HoldBackTotal, ClientBuffer: cfg.ClientBuffer,
		Session: pgsession.Config{
			ServerVersion:     version,
			MaxMessage:        cfg.MaxMessage,
			MaxPending:        cfg.MaxPending,
			CachedDescription: s.describeCache.get,
			StatelessFunction: harmlessFunctions(cfg.HarmlessFunctions),
		},
		AdmitUser: s.admitClient, ReleaseUser: s.releaseClient, Registry: s.affinity,
		AcquireConnection: func() bool { return s.admitConnection(pgfrontend.Name) },
		ReleaseConnection: func() { s.releaseConnection(pgfrontend.Name) }},
		s, log)
	if err != nil {
		return nil, undo(err)
	}
	s.discovery = eds.NewClient(
		cfg.DiscoveryAddr,
		cfg.DiscoveryService,
		fmt.Sprintf("cresspass-%d", cfg.Module.Ordinal),
		log,
	)
	s.loadCachedList()
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
	s.pgFrontend.Serve(ln)
	if s.flightFrontend != nil {
		s.flightFrontend.Serve(s.flightListener)
	}
	log.Info("listening", "address", s.address, "roster", cfg.DiscoveryAddr)
	return s, nil
}

// Addr is where clients connect.
func (s *Server) Addr() string { return s.address }

// ListReady is closed once an engine list is known, kept or told.
func (s *Server) ListReady() <-chan struct{} { return s.listReady }

// EngineActive reports whether an engine takes new queries by the last list.
func (s *Server) EngineActive(address string) bool {
	l := s.engineList.Load()
	if l == nil {
		return false
	}
	for _, e := range l.Engines {
		if e.Address == address {
			return e.State == eds.StateActive
		}
	}
	return false
}

// Clients is the number of client connections.
func (s *Server) Clients() int {
	n := s.pgFrontend.Clients()
	if s.flightFrontend != nil {
		n += s.flightFrontend.Clients()
	}
	return n
}

// FlightListener is where clients of Flight SQL come in; nil: nowhere.
func (s *Server) FlightListener() net.Listener { return s.flightListener }

// FlightAddr is where clients of Flight SQL connect; "": nowhere.
func (s *Server) FlightAddr() string {
	if s.flightListener == nil {
		return ""
	}
	return s.flightListener.Addr().String()
}

// StickySessions is the number of sessions kept on engines.
func (s *Server) StickySessions() int { return s.affinity.Total() }

// PendingBytes is the number of bytes that wait for clients to take them, held back ones included.
func (s *Server) PendingBytes() int64 {
	n := s.pgFrontend.Pending()
	if s.flightFrontend != nil {
		n += s.flightFrontend.Pending()
	}
	return n
}

// Stats returns the core's counts.
func (s *Server) Stats() (st dispatch.Stats) {
	s.loop.Inspect(func(c *dispatch.Core) { st = c.Stats() })
	return st
}

// Close stops taking clients, ends what runs, and waits until all is ended.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.pgFrontend.Close()
		if s.flightFrontend != nil {
			s.flightFrontend.Close()
		}
		s.affinity.Close()
		s.pool.Close()
		s.saveLearned()
		s.cancel()
		s.loop.Close()
		s.background.Wait()
		if s.recorder != nil {
			s.recorder.Close()
		}
		if p := s.membership.Load(); p != nil { // last: an heir may join until now
			p.Close()
		}
		if err := s.closeState(); err != nil {
			s.log.Error("state not closed", "error", err)
		}
	})
}

// loadCachedList has the list of the last life taken as perhaps out of date.
func (s *Server) loadCachedList() {
	if s.cfg.EndpointCacheFile == "" {
		return
	}
	l, err := eds.LoadCache(s.cfg.EndpointCacheFile)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		s.log.Error("kept engine list not used", "error", err)
	default:
		s.log.Info("kept engine list", "version", l.Version, "engines", len(l.Engines), "age",
			time.Since(l.ReceivedAt).Round(time.Second))
		s.engineList.Store(l)
		s.postEngineList(cresspass.ListCached, l)
	}
}

func (s *Server) postEngineList(how cresspass.EngineListType, l *eds.List) {
	s.startClockLock.Lock()
	infos := l.EngineInfos(s.clock(), s.startClock)
	s.startClockLock.Unlock()
	s.loop.Post(cresspass.Event{Type: cresspass.EngineListReceived, ListType: how, Engines: infos})
	s.listReadyOnce.Do(func() { close(s.listReady) })
}

// handleEngineList takes a list from the roster.
func (s *Server) handleEngineList(l *eds.List) {
	s.postEngineList(cresspass.ListComplete, l)
	listed := map[cresspass.EngineID]bool{}
	for _, e := range l.Engines {
		listed[cresspass.EngineID(e.Address)] = true
	}
	s.pool.RetainEngines(listed)
	s.publishEngineList(l)
	s.updateOrphanCleanup(l)
	for _, e := range l.Engines {
		if e.State == eds.StateDraining { // what is kept there ends inside the rule's grace
			s.pool.Drain(cresspass.EngineID(e.Address), s.cfg.Module.Rules.DrainGrace*8/10)
		}
	}
	s.log.Info("engine list", "version", l.Version, "engines", len(l.Engines))
	if s.cfg.EndpointCacheFile != "" {
		if err := eds.SaveCache(s.cfg.EndpointCacheFile, l); err != nil {
			s.log.Error("engine list not kept", "error", err)
		}
	}
}

func (s *Server) handleListFailure(err error) {
	s.log.Warn("roster out of reach", "error", err)
	s.loop.Post(cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListFailed})
}

// Submit takes a query of a front.
func (s *Server) Submit(clientQuery *front.Query) {
	q := &queryRowCount{
		Query:    clientQuery,
		id:       cresspass.QueryID(s.nextID.Add(1)),
		attempts: map[int]*pgbackend.Attempt{},
	}
	clientQuery.ID.Store(uint64(q.id))
	ev, fault := s.classify.Load().Classify(q.id, clientQuery.Client, clientQuery.EngineQuery)
	if fault != nil {
		s.respond(q, verdict.Invalid(fault.Code, fault.Message))
		return
	}
	ev.StickyEngine, ev.OpensSession = clientQuery.Lease.Engine(), clientQuery.EngineQuery.MayBecomeSticky
	s.beginRecording(q, &ev)
	if why, ok := s.admitQuery(q); !ok {
		s.finishRecording(q, recording.Rejected)
		s.respond(q, verdict.RejectOverLimit(why))
		return
	}
	q.deadline = time.Now().Add(ev.RemainingDeadline)
	s.mu.Lock()
	s.queries[q.id] = q
	s.mu.Unlock()
	s.invariantGuard.Accept(
		invariant.Request{ID: q.id, Class: ev.Class, OrderingKey: ev.Key, Deadline: q.deadline},
		q.logName(),
	)
	if s.delayForRecovery(q, &ev) {
		return
	}
	if !s.loop.Post(ev) {
		s.forget(q, true)
		s.respond(q, verdict.ShuttingDown(false))
		return
	}
	select {
	case <-clientQuery.Response.Done():
		// Danger: a client that went before its query had an ID was not told of; the module would hold it on.
		s.Withdraw(clientQuery, false)
	default:
	}
}

// Withdraw takes a query back.
func (s *Server) Withdraw(clientQuery *front.Query, cancelled bool) {
	ev := cresspass.Event{Type: cresspass.QueryAbandoned, Query: cresspass.QueryID(clientQuery.ID.Load())}
	if cancelled {
		ev.Outcome = cresspass.OutcomeCancelled
	}
	if q := s.lookup(ev.Query); q != nil {
		s.finishRecording(q, recording.Abandoned)
		s.forget(q, true)
	}
	s.loop.Post(ev)
}

func (s *Server) lookup(id cresspass.QueryID) *queryRowCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[id]
}

// forget drops a query that is over and has no attempt without an outcome.
func (s *Server) forget(q *queryRowCount, finished bool) { s.finishQuery(q, finished, false) }

// finishQuery is forget; served: it is over with its result.
func (s *Server) finishQuery(q *queryRowCount, finished, served bool) {
	s.mu.Lock()
	first := finished && !q.finished
	if q.finished = q.finished || finished; q.finished && len(q.attempts) == 0 {
		delete(s.queries, q.id)
	}
	s.mu.Unlock()
	if first {
		s.invariantGuard.Complete(q.id, served, q.logName())
	}
	if first && q.admitted {
		s.overloadLock.Lock()
		s.overloadGuard.ReleaseQuery(q.Frontend)
		s.overloadLock.Unlock()
	}
}

// respond answers a query with a verdict of ours.
func (s *Server) respond(q *queryRowCount, v *verdict.Verdict) {
	if q.Response.FinishWithVerdict(v) {
		q.OnResponseEnded()
	}
}

// handleOutput carries out one output of the core, in the loop's goroutine.
func (s *Server) handleOutput(o *dispatch.Output) {
	switch o.Type {
	case dispatch.StartAttempt:
		s.startAttempt(o)
	case dispatch.StopAttempt:
		q := s.lookup(o.Query)
		if q == nil {
			return
		}
		s.mu.Lock()
		a := q.attempts[o.Attempt]
		s.mu.Unlock()
		if a != nil {
			s.pool.Stop(a, o.Outcome)
		}
	case dispatch.RejectQuery:
		if q := s.lookup(o.Query); q != nil {
			s.finishRecording(q, recording.Rejected)
			s.forget(q, true)
			s.respond(q, verdict.Reject(o.RetryAfter, o.MayHaveRun, s.lastError(q)))
		}
	case dispatch.FailQuery:
		if q := s.lookup(o.Query); q != nil {
			s.finishRecording(q, recording.Failed)
			s.forget(q, true)
			s.respond(q, verdict.Fail(s.lastError(q)))
		}
	case dispatch.CheckHealth:
		s.startHealthCheck(o.Engine)
	case dispatch.FetchEngineList, dispatch.SubscribeEngineList:
		s.discovery.Refresh()
	case dispatch.CloseIdleConnections:
		s.pool.CloseIdle(o.Engine)
	case dispatch.SendToPeer:
		if p := s.membership.Load(); p != nil {
			p.SendMessage(o.Peer, o.Data)
		}
	case dispatch.WriteLog:
		s.log.Info("module", "text", o.Text)
	}
}

// checkBeforeSend looks again, in the moment in which an attempt is written: at its client, its time, and
// whether its engine still takes new work. A session's statements go where it is kept, on a draining engine
// too.
func (s *Server) checkBeforeSend(q *queryRowCount, attempt int, engine cresspass.EngineID,
	latest time.Time) (cresspass.Outcome, bool) {
	stale := func(name invariant.Name) bool {
		return s.invariantGuard.Record(invariant.Result{Kind: invariant.Stale, Name: name}, q.logName())
	}
	select {
	case <-q.Response.Done():
		return cresspass.OutcomeNotStarted, stale(invariant.SentAfterEnd)
	default:
	}
	if !time.Now().Before(latest) {
		return cresspass.OutcomeRejected, stale(invariant.SentAfterDeadline)
	}
	v := s.invariantGuard.BeginAttempt(q.id, attempt, s.invariantPlace(q, engine), q.logName())
	switch {
	case v.OK(), s.cfg.AllowViolations:
		return 0, true
	case v.Name == invariant.SentAfterDeadline,
		v.Name == invariant.SentToDraining,
		v.Name == invariant.RetriedAfterWindow:
		return cresspass.OutcomeRejected, false // it may go elsewhere, or be refused
	}
	return cresspass.OutcomeNotStarted, false // no other engine helps
}

// invariantPlace is an engine as the invariants see it. A session's statements go where it is kept.
func (s *Server) invariantPlace(q *queryRowCount, engine cresspass.EngineID) invariant.Target {
	at := invariant.Target{Engine: engine, Accepting: q.EngineQuery.Sticky}
	l := s.engineList.Load()
	if l == nil {
		return at
	}
	for i := range l.Engines {
		if e := &l.Engines[i]; e.Address == string(engine) {
			at.Kind, at.Zone = e.Kind, e.Zone
			at.Accepting = at.Accepting || e.State == eds.StateActive
		}
	}
	return at
}

// logName is the query's in the log.
func (q *queryRowCount) logName() string { return strconv.FormatUint(uint64(q.id), 10) }

// Invariants returns how often each was violated, and how often an act was withheld that had been lawful.
func (s *Server) Invariants() (violated, withheld map[invariant.Name]uint64) {
	return s.invariantCounter.Violations(), s.invariantCounter.Withheld()
}

// lastError is the last error seen for a query.
func (s *Server) lastError(q *queryRowCount) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.lastError
}

func (s *Server) startAttempt(o *dispatch.Output) {
	q := s.lookup(o.Query)
	ended := cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt,
		Engine: o.Engine}
	if q == nil || !q.Response.BeginAttempt(o.Attempt) {
		// Its end crossed the module's decision: the client is gone, or cancelled it.
		ended.Outcome, ended.QueryFinished = cresspass.OutcomeNotStarted, true
		s.loop.Post(ended)
		return
	}
	id, attempt, engine := o.Query, o.Attempt, o.Engine
	a := &pgbackend.Attempt{Query: q.EngineQuery, Number: attempt, Response: q.Response, Priority: o.Priority,
		MemoryMB: o.MemoryGrantMB,
		Throttle: q.Throttle, OnDescribed: s.describeCache.put, Lease: q.Lease, Stateful: q.EngineQuery.Stateful,
		Settle: q.Settle, OnConnectionLost: q.OnConnectionLost, StartCopyIn: q.StartCopyIn, OnCopyCapacity: q.OnCopyCapacity}
	a.FailureVerdict = func() *verdict.Verdict {
		return verdict.Fail("engine " + string(engine) + " broke off its answer")
	}
	a.OnProgress = func(note cresspass.NoteType, v float64) {
		s.loop.Post(
			cresspass.Event{Type: cresspass.ProgressReported, Query: id, Attempt: attempt, Engine: engine,
				Note: note, Value: v},
		)
	}
	latest := time.Now().Add(o.StartWithin)
	a.MayStart = func() (cresspass.Outcome, bool) { return s.checkBeforeSend(q, attempt, engine, latest) }
	sent, durable := s.recordSent(q, engine)
	a.OnEnded = func(r pgbackend.Result) {
		s.recordSentOutcome(sent, r)
		s.observeOutcome(engine, &r)
		ev := ended
		ev.Outcome, ev.Elapsed, ev.QueryFinished = r.Outcome, r.ServiceTime, r.ResponseFinished
		ev.LoadReport, ev.HasLoadReport = r.LoadReport, r.LoadReport != nil
		s.mu.Lock()
		delete(q.attempts, attempt)
		if r.Outcome != cresspass.OutcomeOK && r.Message != "" {
			q.lastError = r.Message
		}
		s.mu.Unlock()
		if r.ResponseFinished && r.Outcome == cresspass.OutcomeOK {
			s.finishRecording(q, recording.Served)
		} else if r.ResponseFinished {
			s.finishRecording(q, recording.Failed)
		}
		s.finishQuery(q, r.ResponseFinished, r.ResponseFinished && r.Outcome == cresspass.OutcomeOK)
		s.invariantGuard.EndAttempt(id, attempt, r.Outcome)
		s.loop.Post(ev)
		if r.ResponseFinished {
			q.OnResponseEnded()
		}
	}
	s.mu.Lock()
	q.attempts[attempt] = a
	q.attempted = true
	s.mu.Unlock()
	s.afterDurable(durable, func() { s.pool.Start(engine, a) })
}

// startHealthCheck asks an engine for a sign of life: an empty query, with whatever load report comes with
// its end.
func (s *Server) startHealthCheck(engine cresspass.EngineID) {
	at := s.clock()
	a := &pgbackend.Attempt{Priority: -1}
	a.OnEnded = func(r pgbackend.Result) {
		s.loop.Post(cresspass.Event{Type: cresspass.HealthCheckDone, Engine: engine, Outcome: r.Outcome,
			Elapsed: s.clock() - at, LoadReport: r.LoadReport, HasLoadReport: r.LoadReport != nil})
	}
	// Danger: an engine that hangs answers no probe, and the module waits for its end before it asks again.
	time.AfterFunc(s.cfg.ConnectTimeout, func() { s.pool.Stop(a, cresspass.OutcomeTimedOut) })
	s.pool.Start(engine, a)
}
