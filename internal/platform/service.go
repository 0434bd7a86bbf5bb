package platform

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/daemon/signals"
	"cresspass/internal/dispatch"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/invariant"
	"cresspass/internal/netlisten"
	"cresspass/internal/protocol/thrift"
)

const (
	heapShare    = 0.55                   // of the memory limit, from which the collector works harder
	newAfterTerm = 650 * time.Millisecond // in which connections and requests still come after SIGTERM
	waitMost     = 3 * time.Second        // of the longest deadline that the platform waits after SIGTERM
	answersBy    = 400 * time.Millisecond // after that, all queries must have their answers...
	lastWords    = 500 * time.Millisecond // ...those that have none, against all expectation, get one...
	endSlack     = 600 * time.Millisecond // ...and the dispatcher ends; it would be killed at 700 ms
	lookEvery    = 10 * time.Second       // of the figures in the log
	sweepEvery   = 500 * time.Millisecond
	reloadAgain  = 200 * time.Millisecond // before a configuration that can't be read is read again...
	reloadTries  = 10                     // ...so often: it may be half written...
	reloadSlow   = time.Second            // ...and from then on
	eventsKept   = 1024                   // in memory, for the story of a request
)

// service is a running dispatcher on the platform.
type service struct {
	cfg          *Config
	path         string
	log          *slog.Logger
	system       *system
	events       *eventlog.Log
	clock        dispatch.Clock
	loop         *dispatch.Loop
	reportFields []string
	pool         *pool
	front        *front
	watch        *watcher
	acts         *acts
	stalls       *stalls

	mu       sync.Mutex
	attempts map[attemptKey]*attempt
	outcomes map[cresspass.Outcome]uint64 // of attempts

	spoilt, broken, unread, shut atomic.Uint64
}

type attemptKey struct {
	query  cresspass.QueryID
	number int
}

// Run is a dispatcher on the platform, by the configuration in a file, until SIGTERM.
func Run(path string, log *slog.Logger) error {
	all, stop := signals.Notify()
	defer stop()
	cfg, err := Load(path)
	if err != nil {
		return err
	}
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapShare * (1 << 20)))
	}
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	s, err := start(cfg, path, log)
	if err != nil {
		return err
	}
	return s.live(all)
}

// start brings a dispatcher up. It serves from then on.
func start(cfg *Config, path string, log *slog.Logger) (*service, error) {
	s := &service{cfg: cfg, path: path, log: log, system: newSystem(), clock: dispatch.Monotonic(),
		reportFields: cfg.Module.ReportFields, attempts: map[attemptKey]*attempt{},
		outcomes: map[cresspass.Outcome]uint64{}}
	s.stalls = newStalls(s.clock)
	s.events = eventlog.New(eventsKept, log)
	s.acts = newActs(&cfg.Module, invariant.NewCounter(log), s.events)
	core, err := dispatch.NewCore(cfg.Module, s.clock())
	if err != nil {
		return nil, err
	}
	s.loop = dispatch.NewLoop(core, s.clock, s.do)
	s.loop.Paced(cfg.Module.Tick)
	sockets := cfg.Limits.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	b := newBudget(sockets)
	s.pool = newPool(s.system, b, cfg.ConnectTimeout, cfg.ConnIdle)
	s.watch = newWatcher(s, cfg.Board)
	if err := s.watch.learn(cfg.Known.Notices); err != nil {
		return nil, err
	}
	ln, err := netlisten.OpenWith(cfg.Listen, s.system.listen)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s.front = newFront(s, ln.(*net.TCPListener), b)
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String(), "board", cfg.Board,
		"gateways", cfg.Module.Gateways, "classes", len(cfg.Module.Classes), "nodes", s.watch.known(),
		"sockets", sockets, "memory_mb", cfg.Limits.MemoryMB, "cores", cfg.Limits.Cores)
	s.acts.serve(true)
	go s.loop.Run()
	go s.watch.run()
	go s.stalls.run(s.watch.life)
	go s.front.run()
	return s, nil
}

// live waits for signals and for the end.
func (s *service) live(signals <-chan os.Signal) error {
	look, sweep := time.NewTicker(lookEvery), time.NewTicker(sweepEvery)
	defer look.Stop()
	defer sweep.Stop()
	var lastCall, last, end, again <-chan time.Time
	tries := 0
	reload := func() {
		again = nil
		if s.reload() {
			return
		}
		// Danger: the old discovery tells nothing more, so the file is wanted however long it takes.
		if tries++; tries < reloadTries {
			again = time.After(reloadAgain)
		} else {
			again = time.After(reloadSlow)
		}
	}
	for {
		select {
		case <-again:
			reload()
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				tries = 0
				reload()
				continue
			}
			if end != nil {
				continue
			}
			s.log.Info("leaving", "signal", sig.String())
			s.changed("leaving")
			s.front.mu.Lock()
			s.front.state.Leave()
			s.front.mu.Unlock()
			longest := time.Duration(0)
			for _, c := range s.cfg.Module.Classes {
				longest = max(longest, c.Deadline)
			}
			longest = min(longest, waitMost)
			// Danger: the platform kills what is still there, and with it queries that nobody then answers.
			if !mutated(noEnding) {
				s.loop.Post(cresspass.Event{Type: cresspass.Ending, TimeLeft: longest + answersBy})
			}
			lastCall, end = time.After(newAfterTerm), time.After(longest+endSlack)
			last = time.After(max(longest+lastWords, newAfterTerm))
			sweep.Reset(sweepEvery / 10)
		case <-lastCall:
			s.changed("takes no new connections")
			s.front.lastCall()
			lastCall = nil
		case <-sweep.C:
			s.pool.sweep()
			if end != nil && lastCall == nil {
				s.front.closeIdle()
				// Danger: a query that was given up runs on until its compute node knows, and the next life
				// of this name would send the next of its key beside it.
				if s.front.over() && s.attemptsOut() == 0 {
					s.look()
					return nil
				}
			}
		case <-last:
			if mutated(noEnding) {
				continue
			}
			s.changed("answers what is left")
			s.front.finish()
			s.acts.serve(false)
		case <-look.C:
			s.look()
		case <-end:
			s.look()
			return nil
		}
	}
}

// attemptsOut is how many attempts have not ended.
func (s *service) attemptsOut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// reload reads the configuration again, and reports whether it could be read. Danger: one that can't must not
// end the dispatcher.
func (s *service) reload() bool {
	cfg, err := Load(s.path)
	if err != nil {
		s.log.Error("configuration is left as it was", "error", err)
		return false
	}
	s.log.Info("configuration read again", "board", cfg.Board)
	s.changed("configuration read again, discovery at " + cfg.Board)
	if !mutated(deafToReload) {
		s.watch.move(cfg.Board)
	}
	// Danger: the discovery at its new address may be slow, and what the file knows counts as told.
	if err := s.watch.learn(cfg.Known.Notices); err != nil {
		s.log.Error("known events of the configuration left out", "error", err)
	}
	now, then := cfg.Module, s.cfg.Module
	now.Seed = then.Seed // new in each file
	if cfg.Listen != s.cfg.Listen || cfg.Limits != s.cfg.Limits || !reflect.DeepEqual(now, then) {
		s.log.Warn("listen, limits and settings stay as they were at the start; a restart takes the new ones")
	}
	return true
}

// changed enters a change of the dispatcher's own state.
func (s *service) changed(what string) {
	s.events.Add(eventlog.Event{What: eventlog.Changed, Attempt: -1, Why: what})
}

// look writes figures to the log.
func (s *service) look() {
	st := s.stats()
	s.pool.mu.Lock()
	open, waiting := s.pool.state.Open(), s.pool.state.Waiting()
	dials, reused, crowded, longest := s.pool.dials, s.pool.reused, s.pool.crowded, s.pool.longest
	suspected := s.pool.suspected
	s.pool.longest = 0
	s.pool.mu.Unlock()
	s.mu.Lock()
	ends := fmt.Sprint(s.outcomes)
	s.mu.Unlock()
	s.log.Info("figures", "core", fmt.Sprintf("%+v", st), "ends", ends, "clients", s.front.size(),
		"nodes", open, "waiting", waiting, "dials", dials, "reused", reused, "crowded", crowded,
		"longest", longest, "suspected", suspected,
		"spoilt", s.spoilt.Load(), "broken", s.broken.Load(), "unread", s.unread.Load(),
		"shut", s.shut.Load(), "lag", s.loop.Lag(),
		"closed", s.front.closes(), "violations", invariant.Text(s.acts.counter.Violations()),
		"withheld", invariant.Text(s.acts.counter.Withheld()),
		"board", s.watch.asked.Load(), "goroutines", runtime.NumGoroutine(), "heap", heapBytes())
}

// heapBytes is how much memory the heap holds.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	if metrics.Read(sample); sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

func (s *service) stats() (st dispatch.Stats) {
	s.loop.Ask(func(c *dispatch.Core) { st = c.Stats() })
	return st
}

// stop ends what start began. Attempts under way end by themselves.
func (s *service) stop() {
	s.front.ln.Close()
	s.front.closeAll()
	s.watch.stop()
	s.mu.Lock()
	for _, a := range s.attempts {
		a.stop(cresspass.Cancelled)
	}
	s.mu.Unlock()
	s.loop.Close()
	s.pool.closeAll()
}

// clientGone ends a request for which nobody waits.
func (s *service) clientGone(q *thriftserver.Request, why string) {
	s.acts.end(q, false)
	s.events.Add(eventlog.Event{What: eventlog.Gone, Request: q.Ticket, Attempt: -1, Why: why})
	s.loop.Post(cresspass.Event{Type: cresspass.ClientGone, Query: q.ID, Outcome: cresspass.Cancelled})
}

// ended takes an attempt out of the books.
func (s *service) ended(a *attempt, o cresspass.Outcome) {
	s.acts.done(a, o)
	s.events.Add(a.event(eventlog.Ended, outcomeText(o)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[o]++
	delete(s.attempts, attemptKey{a.q.ID, a.number})
}

// do carries out what the core puts out. It never waits.
func (s *service) do(o *dispatch.Output) {
	switch o.Type {
	case dispatch.Start:
		s.begin(o)
	case dispatch.Stop:
		s.mu.Lock()
		a := s.attempts[attemptKey{o.Query, o.Attempt}]
		s.mu.Unlock()
		if a != nil {
			s.events.Add(a.event(eventlog.Stopped, outcomeText(o.Outcome)))
			a.stop(o.Outcome)
		}
	case dispatch.Refuse:
		s.front.replyError(o.Query, thrift.Shed, o.Wait, o.Reason)
	case dispatch.Fail:
		s.front.replyError(o.Query, thrift.Fault, 0, o.Reason)
	case dispatch.Probe:
		if addr := s.watch.addr(o.Engine); addr != "" {
			go s.probe(o.Engine, addr)
		} else {
			s.loop.Post(cresspass.Event{Type: cresspass.ProbeDone, Engine: o.Engine,
				Outcome: cresspass.ConnectFailed})
		}
	case dispatch.CloseIdle:
		s.pool.closeIdle(o.Engine)
	case dispatch.Log:
		s.log.Info(o.Text)
	}
}

// begin starts an attempt.
func (s *service) begin(o *dispatch.Output) {
	q, addr := s.front.get(o.Query), s.watch.addr(o.Engine)
	if q == nil || addr == "" { // its client has gone, or the compute node
		outcome := cresspass.Moot
		if q != nil {
			outcome = cresspass.ConnectFailed
		}
		s.loop.Post(cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt,
			Engine: o.Engine, Outcome: outcome})
		return
	}
	a := &attempt{s: s, q: q, number: o.Attempt, engine: o.Engine, addr: addr, until: q.Until,
		begun: time.Now()}
	a.latest = a.begun.Add(o.Within)
	for _, c := range s.cfg.Module.Classes {
		if c.Name == q.Class {
			a.alone = c.Effect != cresspass.Safe || c.InOrder
		}
	}
	if o.MemoryMB > 0 {
		a.grant = strconv.FormatInt(int64(math.Ceil(o.MemoryMB)), 10)
	}
	if o.Priority >= 0 {
		a.rank = strconv.Itoa(o.Priority)
	}
	s.events.Add(a.event(eventlog.Decided, ""))
	a.ctx, a.cancel = context.WithCancel(context.Background()) // the module stops it in time
	s.mu.Lock()
	s.attempts[attemptKey{o.Query, o.Attempt}] = a
	s.mu.Unlock()
	go a.run()
}
