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

	acts       *invariant.Guard // nothing is taken, sent, repeated or answered without it
	invariants *invariant.Counter
	startsLock sync.Mutex
	starts     *starttime.Clock // of engines; under startsLock

	book     *registry.Book // sessions kept on engines
	front    *pgfrontend.Server
	flight   *flightsql.Server // nil: not served
	flightLn net.Listener
	peers    atomic.Pointer[membership.Peers] // nil: dispatchers do not talk
	known    *observation.Store               // what was learnt; under mu, or the peers' lock where there are any
	born     uint64                           // number of this life
	roster   atomic.Pointer[eds.List]         // the last
	life     string                           // application_name of our connections to engines
	recorder *recording.Recorder              // nil: nothing is recorded
	hunt     *orphanedsession.Hunt            // for sessions of former lives; under mu
	store    atomic.Pointer[storage.Store]    // nil: nothing is kept
	returned *storage.Returned                // what a dispatcher that came back must heed; under mu
	// when it came back
	returnedAt time.Time
	undurable  atomic.Uint64 // loads that left before their records were durable
	guarded    sync.Mutex
	guard      *overload.Guard
	inForce    *config.Config // the settings that were applied last; cfg are those of the start
	trouble    atomic.Bool
	source     eds.Source
	addr       string
	stop       context.CancelFunc
	work       sync.WaitGroup
	once       sync.Once
	listed     chan struct{}
	hasList    sync.Once

	nextID atomic.Uint64

	mu      sync.Mutex
	queries map[cresspass.QueryID]*query
	shapes  *shapes
}

// query is a query with the attempts made for it.
type query struct {
	*front.Query
	id       cresspass.QueryID
	attempts map[int]*pgbackend.Attempt // that have no outcome; under the server's lock
	over     bool
	taken    bool // by the guard
	started  bool // an attempt was made
	class    string
	key      string
	lastErr  string
	note     *recording.Entry // until it has ended; nil: nothing is recorded
	at       time.Time        // it was taken
	until    time.Time        // its client waits no longer
}

// version is what clients are told as server_version: the release whose protocol documentation was followed.
const version = "16.0 (cresspass)"

// Start starts a dispatcher and returns once it listens.
func Start(cfg *config.Config, log *slog.Logger) (*Server, error) {
	ln, err := netlisten.Open(cfg.Listen)
	if err != nil {
		return nil, err
	}
	s, err := StartOn(cfg, log, ln)
	if err != nil {
		ln.Close()
	}
	return s, err
}

// StartOn starts a dispatcher that takes clients from a listener.
func StartOn(cfg *config.Config, log *slog.Logger, ln net.Listener) (*Server, error) {
	return StartWith(cfg, log, ln, func(m cresspass.Config) (dispatch.Decider,
		error) {
		return cresspass.New(m)
	})
}

// StartWith starts a dispatcher around the decider that decide makes.
func StartWith(cfg *config.Config, log *slog.Logger, ln net.Listener,
	decide func(cresspass.Config) (dispatch.Decider, error)) (*Server, error) {
	s := &Server{cfg: cfg, log: log, inForce: cfg, guard: overload.New(limits(cfg)), clock: dispatch.Monotonic(),
		addr:    ln.Addr().String(),
		queries: map[cresspass.QueryID]*query{}, shapes: newShapes(4096), listed: make(chan struct{})}
	s.invariants = invariant.NewCounter(log)
	s.acts = invariant.NewGuard(invariant.RulesOf(&cfg.Module), s.invariants, nil)
	s.acts.Serve(true)
	s.starts = starttime.New(starttime.Every, time.Now(), s.clock())
	s.classify.Store(classify.New(cfg))
	s.life = fmt.Sprintf("cresspass-%d-%08x", cfg.Module.Ordinal, rand.Uint32())
	decider, err := decide(cfg.Module)
	if err != nil {
		return nil, err
	}
	core := dispatch.NewCoreWith(decider, cfg.Module, s.clock())
	s.known = observation.New(s.name(), observation.DefaultLimits())
	if err := s.recall(); err != nil {
		return nil, err
	}
	s.nextID.Store(rand.Uint64N(1<<40) + 1)
	s.loop = dispatch.NewLoop(core, s.clock, s.do)
	s.pool = pgbackend.NewPool(pgbackend.Config{Application: s.life, User: cfg.EngineUser,
		Database:       cfg.EngineDatabase,
		MaxConnections: cfg.MaxConnections, MaxPrepared: cfg.MaxPrepared, MaxMessage: cfg.MaxMessage,
		ConnectTimeout: cfg.ConnectTimeout, CancelTimeout: cfg.CancelTimeout, IdleTimeout: cfg.IdleTimeout,
		ReportFields: len(cfg.Module.ReportFields), CopyAhead: cfg.ClientBuffer})
	s.book = registry.New(registry.Config{Pins: cfg.Pins, Kept: s.keeps, Note: s.note})
	// Danger: nbio does not bear its end just after its beginning, and hangs. What can fail comes first.
	undo := func(err error) error {
		if s.flight != nil {
			s.flight.Close()
			s.flightLn.Close()
		}
		if p := s.peers.Load(); p != nil {
			p.Close()
		}
		if s.recorder != nil {
			s.recorder.Close()
		}
		s.book.Close()
		s.pool.Close()
		return errors.Join(err, s.keep())
	}
	if err := errors.Join(s.flightFront(), s.join()); err != nil {
		return nil, undo(err)
	}
	s.begin(core)
	if cfg.Record != "" {
		if s.recorder, err = recording.NewRecorder(cfg.Record, cfg.RecordLimits, log); err != nil {
			return nil, undo(err)
		}
	}
	s.front, err = pgfrontend.New(pgfrontend.Config{MaxClients: cfg.MaxClients,
		StartupTimeout: cfg.StartupTimeout,
		HoldBack:       cfg.HoldBack, HoldBackTotal: cfg.HoldBackTotal, ClientBuffer: cfg.ClientBuffer,
		Session: pgsession.Config{Version: version, MaxMessage: cfg.MaxMessage, MaxPending: cfg.MaxPending,
			Described: s.shapes.get, Harmless: harmless(cfg.Harmless)},
		Admit: s.admit, Leave: s.leave, Book: s.book,
		Connect:    func() bool { return s.room(pgfrontend.Name) },
		Disconnect: func() { s.roomAgain(pgfrontend.Name) }},
		s, log)
	if err != nil {
		return nil, undo(err)
	}
	s.source = eds.NewEDS(cfg.EDS, cfg.Service, fmt.Sprintf("cresspass-%d", cfg.Module.Ordinal), log)
	s.cached()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.work.Add(3)
	go func() {
		defer s.work.Done()
		s.watch(ctx)
	}()
	go func() {
		defer s.work.Done()
		s.loop.Run()
	}()
	go func() {
		defer s.work.Done()
		s.source.Run(ctx, s.list, s.unlisted)
	}()
	s.front.Serve(ln)
	if s.flight != nil {
		s.flight.Serve(s.flightLn)
	}
	log.Info("listening", "address", s.addr, "roster", cfg.EDS)
	return s, nil
}

// Addr is where clients connect.
func (s *Server) Addr() string { return s.addr }

// Listed is closed once an engine list is known, kept or told.
func (s *Server) Listed() <-chan struct{} { return s.listed }

// Lists reports whether an engine takes new queries by the last list.
func (s *Server) Lists(address string) bool {
	l := s.roster.Load()
	if l == nil {
		return false
	}
	for _, e := range l.Engines {
		if e.Address == address {
			return e.State == eds.On
		}
	}
	return false
}

// Clients is the number of client connections.
func (s *Server) Clients() int {
	n := s.front.Clients()
	if s.flight != nil {
		n += s.flight.Clients()
	}
	return n
}

// FlightListener is where clients of Flight SQL come in; nil: nowhere.
func (s *Server) FlightListener() net.Listener { return s.flightLn }

// FlightAddr is where clients of Flight SQL connect; "": nowhere.
func (s *Server) FlightAddr() string {
	if s.flightLn == nil {
		return ""
	}
	return s.flightLn.Addr().String()
}

// Kept is the number of sessions kept on engines.
func (s *Server) Kept() int { return s.book.Total() }

// Pending is the number of bytes that wait for clients to take them, held back ones included.
func (s *Server) Pending() int64 {
	n := s.front.Pending()
	if s.flight != nil {
		n += s.flight.Pending()
	}
	return n
}

// Stats returns the core's counts.
func (s *Server) Stats() (st dispatch.Stats) {
	s.loop.Ask(func(c *dispatch.Core) { st = c.Stats() })
	return st
}

// Close stops taking clients, ends what runs, and waits until all is ended.
func (s *Server) Close() {
	s.once.Do(func() {
		s.front.Close()
		if s.flight != nil {
			s.flight.Close()
		}
		s.book.Close()
		s.pool.Close()
		s.learnt()
		s.stop()
		s.loop.Close()
		s.work.Wait()
		if s.recorder != nil {
			s.recorder.Close()
		}
		if p := s.peers.Load(); p != nil { // last: an heir may join until now
			p.Close()
		}
		if err := s.keep(); err != nil {
			s.log.Error("state not closed", "error", err)
		}
	})
}

// cached has the list of the last life taken as perhaps out of date.
func (s *Server) cached() {
	if s.cfg.Cache == "" {
		return
	}
	l, err := eds.Load(s.cfg.Cache)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		s.log.Error("kept engine list not used", "error", err)
	default:
		s.log.Info("kept engine list", "version", l.Version, "engines", len(l.Engines), "age",
			time.Since(l.At).Round(time.Second))
		s.roster.Store(l)
		s.post(cresspass.ListCached, l)
	}
}

func (s *Server) post(how cresspass.Listing, l *eds.List) {
	s.startsLock.Lock()
	infos := l.Infos(s.clock(), s.starts)
	s.startsLock.Unlock()
	s.loop.Post(cresspass.Event{Type: cresspass.EngineList, Listing: how, Engines: infos})
	s.hasList.Do(func() { close(s.listed) })
}

// list takes a list from the roster.
func (s *Server) list(l *eds.List) {
	s.post(cresspass.ListFull, l)
	listed := map[cresspass.EngineID]bool{}
	for _, e := range l.Engines {
		listed[cresspass.EngineID(e.Address)] = true
	}
	s.pool.Keep(listed)
	s.named(l)
	s.hunted(l)
	for _, e := range l.Engines {
		if e.State == eds.Draining { // what is kept there ends inside the rule's grace
			s.pool.Drain(cresspass.EngineID(e.Address), s.cfg.Module.Rules.DrainGrace*8/10)
		}
	}
	s.log.Info("engine list", "version", l.Version, "engines", len(l.Engines))
	if s.cfg.Cache != "" {
		if err := eds.Save(s.cfg.Cache, l); err != nil {
			s.log.Error("engine list not kept", "error", err)
		}
	}
}

func (s *Server) unlisted(err error) {
	s.log.Warn("roster out of reach", "error", err)
	s.loop.Post(cresspass.Event{Type: cresspass.EngineList, Listing: cresspass.ListFailed})
}

// Take takes a query of a front.
func (s *Server) Take(fq *front.Query) {
	q := &query{Query: fq, id: cresspass.QueryID(s.nextID.Add(1)), attempts: map[int]*pgbackend.Attempt{}}
	fq.ID.Store(uint64(q.id))
	ev, fault := s.classify.Load().Query(q.id, fq.Who, fq.Ask)
	if fault != nil {
		s.end(q, verdict.Fault(fault.Code, fault.Message))
		return
	}
	ev.Only, ev.Stays = fq.Lease.Engine(), fq.Ask.Begins
	s.noted(q, &ev)
	if why, ok := s.takeOn(q); !ok {
		s.recorded(q, recording.Refused)
		s.end(q, verdict.Limit(why))
		return
	}
	q.until = time.Now().Add(ev.TimeLeft)
	s.mu.Lock()
	s.queries[q.id] = q
	s.mu.Unlock()
	s.acts.Take(invariant.Request{ID: q.id, Class: ev.Class, Key: ev.Key, Until: q.until}, q.name())
	if s.rest(q, &ev) {
		return
	}
	if !s.loop.Post(ev) {
		s.forget(q, true)
		s.end(q, verdict.Stopping(false))
		return
	}
	select {
	case <-fq.Answer.Ended():
		// Danger: a client that went before its query had an ID was not told of; the module would hold it on.
		s.Gone(fq, false)
	default:
	}
}

// Gone takes a query back.
func (s *Server) Gone(fq *front.Query, cancelled bool) {
	ev := cresspass.Event{Type: cresspass.ClientGone, Query: cresspass.QueryID(fq.ID.Load())}
	if cancelled {
		ev.Outcome = cresspass.Cancelled
	}
	if q := s.find(ev.Query); q != nil {
		s.recorded(q, recording.GivenUp)
		s.forget(q, true)
	}
	s.loop.Post(ev)
}

func (s *Server) find(id cresspass.QueryID) *query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[id]
}

// forget drops a query that is over and has no attempt without an outcome.
func (s *Server) forget(q *query, over bool) { s.settle(q, over, false) }

// settle is forget; served: it is over with its result.
func (s *Server) settle(q *query, over, served bool) {
	s.mu.Lock()
	first := over && !q.over
	if q.over = q.over || over; q.over && len(q.attempts) == 0 {
		delete(s.queries, q.id)
	}
	s.mu.Unlock()
	if first {
		s.acts.Answer(q.id, served, q.name())
	}
	if first && q.taken {
		s.guarded.Lock()
		s.guard.Ended(q.Front)
		s.guarded.Unlock()
	}
}

// end answers a query with a verdict of ours.
func (s *Server) end(q *query, v *verdict.Verdict) {
	if q.Answer.End(v) {
		q.After()
	}
}

// do carries out one output of the core, in the loop's goroutine.
func (s *Server) do(o *dispatch.Output) {
	switch o.Type {
	case dispatch.Start:
		s.start(o)
	case dispatch.Stop:
		q := s.find(o.Query)
		if q == nil {
			return
		}
		s.mu.Lock()
		a := q.attempts[o.Attempt]
		s.mu.Unlock()
		if a != nil {
			s.pool.Stop(a, o.Outcome)
		}
	case dispatch.Refuse:
		if q := s.find(o.Query); q != nil {
			s.recorded(q, recording.Refused)
			s.forget(q, true)
			s.end(q, verdict.Refuse(o.Wait, o.Ran, s.last(q)))
		}
	case dispatch.Fail:
		if q := s.find(o.Query); q != nil {
			s.recorded(q, recording.Failed)
			s.forget(q, true)
			s.end(q, verdict.Fail(s.last(q)))
		}
	case dispatch.Probe:
		s.probe(o.Engine)
	case dispatch.Fetch, dispatch.Subscribe:
		s.source.Refresh()
	case dispatch.CloseIdle:
		s.pool.CloseIdle(o.Engine)
	case dispatch.Tell:
		if p := s.peers.Load(); p != nil {
			p.Tell(o.Peer, o.Data)
		}
	case dispatch.Log:
		s.log.Info("module", "text", o.Text)
	}
}

// mayBegin looks again, in the moment in which an attempt is written: at its client, its time, and whether
// its engine still takes new work. A session's statements go where it is kept, on a draining engine too.
func (s *Server) mayBegin(q *query, attempt int, engine cresspass.EngineID,
	latest time.Time) (cresspass.Outcome, bool) {
	stale := func(name invariant.Name) bool {
		return s.acts.Judge(invariant.Verdict{Kind: invariant.Stale, Name: name}, q.name())
	}
	select {
	case <-q.Answer.Ended():
		return cresspass.Moot, stale(invariant.SentAfterEnd)
	default:
	}
	if !time.Now().Before(latest) {
		return cresspass.Full, stale(invariant.SentTooLate)
	}
	v := s.acts.Begin(q.id, attempt, s.place(q, engine), q.name())
	switch {
	case v.OK(), s.cfg.Unguarded:
		return 0, true
	case v.Name == invariant.SentTooLate, v.Name == invariant.SentToDrained, v.Name == invariant.RepeatedLate:
		return cresspass.Full, false // it may go elsewhere, or be refused
	}
	return cresspass.Moot, false // no other engine helps
}

// place is an engine as the invariants see it. A session's statements go where it is kept.
func (s *Server) place(q *query, engine cresspass.EngineID) invariant.Place {
	at := invariant.Place{Engine: engine, Takes: q.Ask.Bound}
	l := s.roster.Load()
	if l == nil {
		return at
	}
	for i := range l.Engines {
		if e := &l.Engines[i]; e.Address == string(engine) {
			at.Kind, at.Zone = e.Kind, e.Zone
			at.Takes = at.Takes || e.State == eds.On
		}
	}
	return at
}

// name is the query's in the log.
func (q *query) name() string { return strconv.FormatUint(uint64(q.id), 10) }

// Invariants returns how often each was violated, and how often an act was withheld that had been lawful.
func (s *Server) Invariants() (violated, withheld map[invariant.Name]uint64) {
	return s.invariants.Violations(), s.invariants.Withheld()
}

// last is the last error seen for a query.
func (s *Server) last(q *query) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.lastErr
}

func (s *Server) start(o *dispatch.Output) {
	q := s.find(o.Query)
	ended := cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt,
		Engine: o.Engine}
	if q == nil || !q.Answer.Begin(o.Attempt) {
		// Its end crossed the module's decision: the client is gone, or cancelled it.
		ended.Outcome, ended.Finished = cresspass.Moot, true
		s.loop.Post(ended)
		return
	}
	id, attempt, engine := o.Query, o.Attempt, o.Engine
	a := &pgbackend.Attempt{Ask: q.Ask, Number: attempt, Answer: q.Answer, Priority: o.Priority,
		MemoryMB: o.MemoryMB,
		Throttle: q.Throttle, Described: s.shapes.put, Lease: q.Lease, Pinned: q.Ask.Pinned,
		Settled: q.Settled, Broken: q.Broken, Copy: q.Copy, Room: q.Room}
	a.Failure = func() *verdict.Verdict {
		return verdict.Fail("engine " + string(engine) + " broke off its answer")
	}
	a.Noted = func(note cresspass.NoteType, v float64) {
		s.loop.Post(cresspass.Event{Type: cresspass.Progress, Query: id, Attempt: attempt, Engine: engine,
			Note: note, Value: v})
	}
	latest := time.Now().Add(o.Within)
	a.MayBegin = func() (cresspass.Outcome, bool) { return s.mayBegin(q, attempt, engine, latest) }
	sent, durable := s.sending(q, engine)
	a.Ended = func(r pgbackend.Result) {
		s.sentEnded(sent, r)
		s.saw(engine, &r)
		ev := ended
		ev.Outcome, ev.Took, ev.Finished = r.Outcome, r.Took, r.Finished
		ev.Report, ev.HasReport = r.Report, r.Report != nil
		s.mu.Lock()
		delete(q.attempts, attempt)
		if r.Outcome != cresspass.OK && r.Message != "" {
			q.lastErr = r.Message
		}
		s.mu.Unlock()
		if r.Finished && r.Outcome == cresspass.OK {
			s.recorded(q, recording.Served)
		} else if r.Finished {
			s.recorded(q, recording.Failed)
		}
		s.settle(q, r.Finished, r.Finished && r.Outcome == cresspass.OK)
		s.acts.Done(id, attempt, r.Outcome)
		s.loop.Post(ev)
		if r.Finished {
			q.After()
		}
	}
	s.mu.Lock()
	q.attempts[attempt] = a
	q.started = true
	s.mu.Unlock()
	s.afterDurable(durable, func() { s.pool.Start(engine, a) })
}

// probe asks an engine for a sign of life: an empty query, with whatever load report comes with its end.
func (s *Server) probe(engine cresspass.EngineID) {
	at := s.clock()
	a := &pgbackend.Attempt{Priority: -1}
	a.Ended = func(r pgbackend.Result) {
		s.loop.Post(cresspass.Event{Type: cresspass.ProbeDone, Engine: engine, Outcome: r.Outcome,
			Took: s.clock() - at, Report: r.Report, HasReport: r.Report != nil})
	}
	// Danger: an engine that hangs answers no probe, and the module waits for its end before it asks again.
	time.AfterFunc(s.cfg.ConnectTimeout, func() { s.pool.Stop(a, cresspass.TimedOut) })
	s.pool.Start(engine, a)
}
