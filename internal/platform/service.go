package platform

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"

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
	defaultSockets = 1024 // descriptors, if the configuration sets no limit
	eventLogSize   = 1024 // events kept in memory
)

// service is a running dispatcher on the platform: it connects the parts of the package and carries out the
// outputs of the core. The fields above mu do not change after start.
type service struct {
	cfg          *Config // as read at startup; reloads do not replace it
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
	memory       *memoryBudget

	mu       sync.Mutex // guards the fields below
	attempts map[attemptKey]*attempt
	outcomes map[cresspass.Outcome]uint64 // number of ended attempts, by outcome

	malformedResponses, brokenCalls, malformedMessages, evictedClients atomic.Uint64
}

// Run runs a dispatcher on the platform until a signal shuts it down. path names the configuration file,
// which is read again on SIGHUP. Run returns an error if the dispatcher can't start.
func Run(path string, log *slog.Logger) error {
	sigs, stop := signals.Notify()
	defer stop()
	cfg, err := Load(path)
	if err != nil {
		return err
	}
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * softMemoryFraction * bytesPerMB))
	}
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	s, err := start(cfg, path, log)
	if err != nil {
		return err
	}
	return s.run(sigs)
}

// start starts a dispatcher, which is serving when start returns.
func start(cfg *Config, path string, log *slog.Logger) (*service, error) {
	s, descriptors, err := newService(cfg, path, log)
	if err != nil {
		return nil, err
	}
	if err := s.watcher.applyKnown(cfg.Known.Events); err != nil {
		return nil, err
	}
	listener, err := netlisten.OpenFunc(cfg.Listen, s.system.listen)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s.frontend = newFrontend(s, listener.(*net.TCPListener), descriptors)
	log.Info("serving", "name", cfg.Name, "listen", listener.Addr().String(), "discovery", cfg.DiscoveryAddr,
		"dispatchers", cfg.Module.GatewayCount, "classes", len(cfg.Module.Classes),
		"compute_nodes", s.watcher.engineCount(), "sockets", socketLimit(cfg),
		"memory_mb", cfg.Limits.MemoryMB, "cores", cfg.Limits.Cores)
	s.guard.setServing(true)
	go s.loop.Run()
	go s.watcher.run()
	go s.stalls.run(s.watcher.ctx)
	go s.frontend.run()
	return s, nil
}

// newService returns a service without a listener and without running goroutines, and its descriptor budget.
func newService(cfg *Config, path string, log *slog.Logger) (*service, *descriptorBudget, error) {
	s := &service{cfg: cfg, configPath: path, log: log, system: newSystem(),
		clock: dispatch.NewMonotonicClock(), reportFields: cfg.Module.LoadReportFields,
		attempts: map[attemptKey]*attempt{}, outcomes: map[cresspass.Outcome]uint64{}}
	s.stalls = newStallMonitor(s.clock)
	s.memory = newMemoryBudget(cfg.Limits.MemoryMB)
	s.events = eventlog.New(eventLogSize, log)
	s.guard = newRequestGuard(&cfg.Module, invariant.NewCounter(log), s.events)
	core, err := dispatch.NewCore(cfg.Module, s.clock())
	if err != nil {
		return nil, nil, err
	}
	s.loop = dispatch.NewLoop(core, s.clock, s.execute)
	s.loop.SetMinStepInterval(cfg.Module.BatchInterval)
	descriptors := newDescriptorBudget(socketLimit(cfg))
	s.pool = newNodePool(s.system, descriptors, cfg.ConnectTimeout, cfg.ConnIdleTimeout)
	s.watcher = newWatcher(s, cfg.DiscoveryAddr)
	return s, descriptors, nil
}

// socketLimit returns how many descriptors the process may have open.
func socketLimit(cfg *Config) int {
	if cfg.Limits.Sockets <= 0 {
		return defaultSockets
	}
	return cfg.Limits.Sockets
}

// close closes the listener, all connections and the core, and stops all attempts, without waiting for the
// attempts to end.
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

// execute carries out an output of the core. It runs in the core's goroutine and must not block.
func (s *service) execute(output *dispatch.Output) {
	switch output.Type {
	case dispatch.StartAttempt:
		s.startAttempt(output)
	case dispatch.StopAttempt:
		s.stopAttempt(output)
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

// startAttempt starts an attempt in its own goroutine.
func (s *service) startAttempt(output *dispatch.Output) {
	request, addr := s.frontend.retainRequest(output.Query), s.watcher.engineAddr(output.Engine)
	if request != nil && addr == "" {
		request.Memory.Release()
	}
	if request == nil || addr == "" { // the client or the compute node has gone
		outcome := cresspass.OutcomeNotStarted
		if request != nil {
			outcome = cresspass.OutcomeConnectFailed
		}
		s.loop.Post(cresspass.Event{Type: cresspass.AttemptDone, Query: output.Query, Attempt: output.Attempt,
			Engine: output.Engine, Outcome: outcome})
		return
	}
	a := s.newAttempt(output, request, addr)
	s.events.Add(a.event(eventlog.AttemptStarted, ""))
	a.ctx, a.cancel = context.WithCancel(context.Background()) // no timeout: the core stops the attempt
	s.mu.Lock()
	s.attempts[attemptKey{output.Query, output.Attempt}] = a
	s.mu.Unlock()
	go a.run()
}

// stopAttempt stops an attempt that has not ended.
func (s *service) stopAttempt(output *dispatch.Output) {
	s.mu.Lock()
	a := s.attempts[attemptKey{output.Query, output.Attempt}]
	s.mu.Unlock()
	if a != nil {
		s.events.Add(a.event(eventlog.AttemptStopped, outcomeName(output.Outcome)))
		a.stop(output.Outcome)
	}
}

// attemptEnded records the outcome of an attempt and removes it.
func (s *service) attemptEnded(a *attempt, outcome cresspass.Outcome) {
	s.guard.endAttempt(a, outcome)
	s.frontend.endAttempt(a, outcome)
	s.events.Add(a.event(eventlog.AttemptEnded, outcomeName(outcome)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
	delete(s.attempts, attemptKey{a.request.ID, a.number})
	a.request.Memory.Release()
}

// openAttempts returns how many attempts have not ended.
func (s *service) openAttempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// abandonRequest ends a request whose client no longer waits for it, and has the core cancel its query.
func (s *service) abandonRequest(request *thriftserver.Request, reason string) {
	s.guard.complete(request, false)
	s.events.Add(requestEvent(eventlog.ClientGone, request.Ticket, reason))
	s.loop.Post(cresspass.Event{Type: cresspass.QueryAbandoned, Query: request.ID,
		Outcome: cresspass.OutcomeCancelled})
}

// recordChange records a change of the dispatcher's own state in the event log.
func (s *service) recordChange(change string) {
	s.events.Add(requestEvent(eventlog.StateChanged, "", change))
}
