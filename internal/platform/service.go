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
	softMemoryFraction = 0.55                   // of the memory limit, from which the collector works harder
	acceptAfterTerm    = 650 * time.Millisecond // in which connections and requests still come after SIGTERM
	maxShutdownWait    = 3 * time.Second        // of the longest deadline that the platform waits after SIGTERM
	answerMargin       = 400 * time.Millisecond // after that, all queries must have their answers...
	lastAnswerMargin   = 500 * time.Millisecond // ...those that have none, against all expectation, get one...
	exitMargin         = 600 * time.Millisecond // ...and the dispatcher ends; it would be killed at 700 ms
	statsInterval      = 10 * time.Second       // of the figures in the log
	sweepInterval      = 500 * time.Millisecond
	reloadRetryDelay   = 200 * time.Millisecond // before a configuration that can't be read is read again...
	fastReloadTries    = 10                     // ...so often: it may be half written...
	slowReloadDelay    = time.Second            // ...and from then on
	eventLogSize       = 1024                   // in memory, for the story of a request
)

// service is a running dispatcher on the platform.
type service struct {
	cfg          *Config
	configPath   string
	log          *slog.Logger
	system       *system
	events       *eventlog.Log
	clock        dispatch.Clock
	loop         *dispatch.Loop
	reportFields []string
	pool         *nodePool
	frontend     *frontend
	watcher      *watcher
	guard        *requestGuard
	stalls       *stallMonitor

	mu       sync.Mutex
	attempts map[attemptKey]*attempt
	outcomes map[cresspass.Outcome]uint64 // of attempts

	malformedResponses, brokenCalls, malformedMessages, evictedClients atomic.Uint64
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
		debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * softMemoryFraction * (1 << 20)))
	}
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	s, err := start(cfg, path, log)
	if err != nil {
		return err
	}
	return s.run(all)
}

// start brings a dispatcher up. It serves from then on.
func start(cfg *Config, path string, log *slog.Logger) (*service, error) {
	s := &service{
		cfg:          cfg,
		configPath:   path,
		log:          log,
		system:       newSystem(),
		clock:        dispatch.NewMonotonicClock(),
		reportFields: cfg.Module.LoadReportFields,
		attempts:     map[attemptKey]*attempt{},
		outcomes:     map[cresspass.Outcome]uint64{},
	}
	s.stalls = newStallMonitor(s.clock)
	s.events = eventlog.New(eventLogSize, log)
	s.guard = newRequestGuard(&cfg.Module, invariant.NewCounter(log), s.events)
	core, err := dispatch.NewCore(cfg.Module, s.clock())
	if err != nil {
		return nil, err
	}
	s.loop = dispatch.NewLoop(core, s.clock, s.execute)
	s.loop.SetMinStepInterval(cfg.Module.BatchInterval)
	sockets := cfg.Limits.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	b := newDescriptorBudget(sockets)
	s.pool = newNodePool(s.system, b, cfg.ConnectTimeout, cfg.ConnIdleTimeout)
	s.watcher = newWatcher(s, cfg.DiscoveryAddr)
	if err := s.watcher.applyKnown(cfg.Known.Notices); err != nil {
		return nil, err
	}
	ln, err := netlisten.OpenFunc(cfg.Listen, s.system.listen)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s.frontend = newFrontend(s, ln.(*net.TCPListener), b)
	log.Info(
		"serving",
		"name",
		cfg.Name,
		"listen",
		ln.Addr().String(),
		"board",
		cfg.DiscoveryAddr,
		"gateways",
		cfg.Module.GatewayCount,
		"classes",
		len(cfg.Module.Classes),
		"nodes",
		s.watcher.engineCount(),
		"sockets",
		sockets,
		"memory_mb",
		cfg.Limits.MemoryMB,
		"cores",
		cfg.Limits.Cores,
	)
	s.guard.setServing(true)
	go s.loop.Run()
	go s.watcher.run()
	go s.stalls.run(s.watcher.ctx)
	go s.frontend.run()
	return s, nil
}

// run waits for signals and for the end.
func (s *service) run(signals <-chan os.Signal) error {
	look, sweep := time.NewTicker(statsInterval), time.NewTicker(sweepInterval)
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
		if tries++; tries < fastReloadTries {
			again = time.After(reloadRetryDelay)
		} else {
			again = time.After(slowReloadDelay)
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
			s.recordChange("leaving")
			s.frontend.mu.Lock()
			s.frontend.state.Drain()
			s.frontend.mu.Unlock()
			longest := time.Duration(0)
			for _, c := range s.cfg.Module.Classes {
				longest = max(longest, c.Deadline)
			}
			longest = min(longest, maxShutdownWait)
			// Danger: the platform kills what is still there, and with it queries that nobody then answers.
			if !mutated(noEnding) {
				s.loop.Post(
					cresspass.Event{
						Type:              cresspass.ShutdownScheduled,
						RemainingDeadline: longest + answerMargin,
					},
				)
			}
			lastCall, end = time.After(acceptAfterTerm), time.After(longest+exitMargin)
			last = time.After(max(longest+lastAnswerMargin, acceptAfterTerm))
			sweep.Reset(sweepInterval / 10)
		case <-lastCall:
			s.recordChange("takes no new connections")
			s.frontend.drainBacklog()
			lastCall = nil
		case <-sweep.C:
			s.pool.sweep()
			if end != nil && lastCall == nil {
				s.frontend.retireUnused()
				// Danger: a query that was given up runs on until its compute node knows, and the next life
				// of this name would send the next of its key beside it.
				if s.frontend.finished() && s.openAttempts() == 0 {
					s.logStats()
					return nil
				}
			}
		case <-last:
			if mutated(noEnding) {
				continue
			}
			s.recordChange("answers what is left")
			s.frontend.abortAll()
			s.guard.setServing(false)
		case <-look.C:
			s.logStats()
		case <-end:
			s.logStats()
			return nil
		}
	}
}

// openAttempts is how many attempts have not ended.
func (s *service) openAttempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// reload reads the configuration again, and reports whether it could be read. Danger: one that can't must not
// end the dispatcher.
func (s *service) reload() bool {
	cfg, err := Load(s.configPath)
	if err != nil {
		s.log.Error("configuration is left as it was", "error", err)
		return false
	}
	s.log.Info("configuration read again", "board", cfg.DiscoveryAddr)
	s.recordChange("configuration read again, discovery at " + cfg.DiscoveryAddr)
	if !mutated(deafToReload) {
		s.watcher.redirect(cfg.DiscoveryAddr)
	}
	// Danger: the discovery at its new address may be slow, and what the file knows counts as told.
	if err := s.watcher.applyKnown(cfg.Known.Notices); err != nil {
		s.log.Error("known events of the configuration left out", "error", err)
	}
	now, then := cfg.Module, s.cfg.Module
	now.Seed = then.Seed // new in each file
	if cfg.Listen != s.cfg.Listen || cfg.Limits != s.cfg.Limits || !reflect.DeepEqual(now, then) {
		s.log.Warn("listen, limits and settings stay as they were at the start; a restart takes the new ones")
	}
	return true
}

// recordChange enters a change of the dispatcher's own state.
func (s *service) recordChange(what string) {
	s.events.Add(eventlog.Event{Kind: eventlog.StateChanged, Attempt: -1, Reason: what})
}

// logStats writes figures to the log.
func (s *service) logStats() {
	st := s.stats()
	s.pool.mu.Lock()
	open, waiting := s.pool.state.OpenConns(), s.pool.state.Waiting()
	dials, reused, crowded, longest := s.pool.dials, s.pool.reused, s.pool.queued, s.pool.longestWait
	suspected := s.pool.suspected
	s.pool.longestWait = 0
	s.pool.mu.Unlock()
	s.mu.Lock()
	ends := fmt.Sprint(s.outcomes)
	s.mu.Unlock()
	s.log.Info(
		"figures",
		"core",
		fmt.Sprintf("%+v", st),
		"ends",
		ends,
		"clients",
		s.frontend.connCount(),
		"nodes",
		open,
		"waiting",
		waiting,
		"dials",
		dials,
		"reused",
		reused,
		"crowded",
		crowded,
		"longest",
		longest,
		"suspected",
		suspected,
		"spoilt",
		s.malformedResponses.Load(),
		"broken",
		s.brokenCalls.Load(),
		"unread",
		s.malformedMessages.Load(),
		"shut",
		s.evictedClients.Load(),
		"lag",
		s.loop.TakeLongestStep(),
		"closed",
		s.frontend.closeCounts(),
		"violations",
		invariant.FormatCounts(s.guard.counter.Violations()),
		"withheld",
		invariant.FormatCounts(s.guard.counter.Withheld()),
		"board",
		s.watcher.calls.Load(),
		"goroutines",
		runtime.NumGoroutine(),
		"heap",
		heapBytes(),
	)
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
	s.loop.Inspect(func(c *dispatch.Core) { st = c.Stats() })
	return st
}

// close ends what start began. Attempts under way end by themselves.
func (s *service) close() {
	s.frontend.listener.Close()
	s.frontend.closeAll()
	s.watcher.stop()
	s.mu.Lock()
	for _, a := range s.attempts {
		a.stop(cresspass.OutcomeCancelled)
	}
	s.mu.Unlock()
	s.loop.Close()
	s.pool.closeAll()
}

// clientLeft ends a request for which nobody waits.
func (s *service) clientLeft(q *thriftserver.Request, why string) {
	s.guard.complete(q, false)
	s.events.Add(eventlog.Event{Kind: eventlog.ClientGone, RequestID: q.Ticket, Attempt: -1, Reason: why})
	s.loop.Post(
		cresspass.Event{Type: cresspass.QueryAbandoned, Query: q.ID, Outcome: cresspass.OutcomeCancelled},
	)
}

// attemptEnded takes an attempt out of the books.
func (s *service) attemptEnded(a *attempt, o cresspass.Outcome) {
	s.guard.endAttempt(a, o)
	s.events.Add(a.event(eventlog.AttemptEnded, outcomeText(o)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[o]++
	delete(s.attempts, attemptKey{a.request.ID, a.number})
}

// execute carries out what the core puts out. It never waits.
func (s *service) execute(output *dispatch.Output) {
	switch output.Type {
	case dispatch.StartAttempt:
		s.startAttempt(output)
	case dispatch.StopAttempt:
		s.mu.Lock()
		a := s.attempts[attemptKey{output.Query, output.Attempt}]
		s.mu.Unlock()
		if a != nil {
			s.events.Add(a.event(eventlog.AttemptStopped, outcomeText(output.Outcome)))
			a.stop(output.Outcome)
		}
	case dispatch.RejectQuery:
		s.frontend.respondError(output.Query, thrift.ShedException, output.RetryAfter, output.Reason)
	case dispatch.FailQuery:
		s.frontend.respondError(output.Query, thrift.FaultException, 0, output.Reason)
	case dispatch.CheckHealth:
		if addr := s.watcher.engineAddr(output.Engine); addr != "" {
			go s.checkHealth(output.Engine, addr)
		} else {
			s.loop.Post(cresspass.Event{Type: cresspass.HealthCheckDone, Engine: output.Engine,
				Outcome: cresspass.OutcomeConnectFailed})
		}
	case dispatch.CloseIdleConnections:
		s.pool.closeIdleTo(output.Engine)
	case dispatch.WriteLog:
		s.log.Info(output.Text)
	}
}

// startAttempt starts an attempt.
func (s *service) startAttempt(output *dispatch.Output) {
	request, addr := s.frontend.request(output.Query), s.watcher.engineAddr(output.Engine)
	if request == nil || addr == "" { // its client has gone, or the compute node
		outcome := cresspass.OutcomeNotStarted
		if request != nil {
			outcome = cresspass.OutcomeConnectFailed
		}
		s.loop.Post(cresspass.Event{Type: cresspass.AttemptDone, Query: output.Query, Attempt: output.Attempt,
			Engine: output.Engine, Outcome: outcome})
		return
	}
	a := &attempt{
		service:        s,
		request:        request,
		number:         output.Attempt,
		engine:         output.Engine,
		addr:           addr,
		clientDeadline: request.Deadline,
		decidedAt:      time.Now(),
	}
	a.startBy = a.decidedAt.Add(output.StartWithin)
	for _, c := range s.cfg.Module.Classes {
		if c.Name == request.Class {
			a.exclusive = c.Effect != cresspass.Idempotent || c.OrderedByKey
		}
	}
	if output.MemoryGrantMB > 0 {
		a.memoryGrant = strconv.FormatInt(int64(math.Ceil(output.MemoryGrantMB)), 10)
	}
	if output.Priority >= 0 {
		a.priority = strconv.Itoa(output.Priority)
	}
	s.events.Add(a.event(eventlog.AttemptStarted, ""))
	a.ctx, a.cancel = context.WithCancel(context.Background()) // the module stops it in time
	s.mu.Lock()
	s.attempts[attemptKey{output.Query, output.Attempt}] = a
	s.mu.Unlock()
	go a.run()
}
