// Package standin has stand-ins for the peers of a dispatcher: an engine that speaks PostgreSQL's protocol
// and takes its timing from the engine model, and an endpoint discovery service. Both can be given faults
// that real ones have. The engine decodes the protocol with pgproto3, which the dispatcher does not use, so
// that the two sides cannot share a misreading of the protocol. Tests, rehearsals and the tools of the
// command cresspass use this package; a dispatcher does not.
package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cresspass/internal/simulation/enginemodel"
)

// resetOnClose is the SO_LINGER time in seconds with which closing a TCP connection resets it, as the crash
// of a process does.
const resetOnClose = 0

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Listen        string
	Kind          enginemodel.Kind
	Cold          bool                // the engine warms up after its first start; else it starts warm
	Seed          uint64              // of the engine's random choices
	ProgressEvery time.Duration       // interval of progress notices; 0: none are sent
	ReportEvery   time.Duration       // interval of load reports; 0: none are sent
	Window        time.Duration       // repeats of a load with an idempotency key are dropped for this long
	Group         *DeduplicationGroup // shared by engines that drop repeats together; nil: this one alone
}

// Engine is a stand-in engine. All methods but Addr and Restart may be called from several goroutines.
type Engine struct {
	cfg  EngineConfig
	addr string

	mu             sync.Mutex
	up             bool
	listener       net.Listener
	epoch          time.Time // zero of the model's clock
	started        time.Time
	model          *enginemodel.Model
	waiters        map[*enginemodel.Running]chan Outcome // receives the outcome of each running job
	timer          *time.Timer                           // fires at the model's next event
	faults         Faults
	random         *rand.Rand
	conns          map[uint32]*engineConn
	nextPID        uint32
	runs           []*Run
	lastLoadReport string                 // see loadReport
	loadReportedAt time.Time              // when lastLoadReport was made
	copyBytes      int                    // received by COPY FROM STDIN
	locks          map[string]*engineConn // owners of advisory locks, by key

	background sync.WaitGroup
}

// NewEngine starts an engine that listens on cfg.Listen.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Group == nil {
		cfg.Group = NewDeduplicationGroup()
	}
	e := &Engine{cfg: cfg, addr: cfg.Listen, random: rand.New(rand.NewPCG(cfg.Seed, 7))}
	return e, e.start(cfg.Cold)
}

// Addr returns the address on which the engine listens; it stays the same after a restart.
func (e *Engine) Addr() string { return e.addr }

// Started returns the time of the last start or restart.
func (e *Engine) Started() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

func (e *Engine) start(cold bool) error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.listener, e.up = ln.Addr().String(), ln, true
	e.started = time.Now()
	e.epoch = e.started
	e.model = enginemodel.New(e.cfg.Kind, 0, cold)
	e.waiters = map[*enginemodel.Running]chan Outcome{}
	e.conns = map[uint32]*engineConn{}
	e.locks = map[string]*engineConn{}
	e.faults = Faults{}
	e.background.Add(1)
	go e.accept(ln)
	return nil
}

// Restart starts a crashed engine again on the same address, as a new process: with empty caches, a warm-up
// and no faults. It returns an error if the engine is up.
func (e *Engine) Restart() error {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if up {
		return errors.New("standin: restart: engine " + e.addr + " is already up")
	}
	return e.start(true)
}

// Crash ends the engine at once, as the crash of a process does: connections are reset and jobs are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
}

// crash implements Crash. The caller holds e.mu.
func (e *Engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	e.listener.Close()
	for _, c := range e.conns {
		if t, ok := c.netConn.(*net.TCPConn); ok {
			_ = t.SetLinger(resetOnClose) // fails only on a connection that has ended already
		}
		c.netConn.Close()
		c.signalCancel() // releases a statement that waits only for a cancel
	}
	for r, done := range e.waiters {
		delete(e.waiters, r)
		done <- OutcomeDied
	}
	if e.timer != nil {
		e.timer.Stop()
	}
}

// Close crashes the engine and waits until its goroutines have ended.
func (e *Engine) Close() {
	e.Crash()
	e.background.Wait()
}

// Up reports whether the engine runs, and whether it has fallen over from overload since its last start.
func (e *Engine) Up() (up, fallen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up, e.model.Collapsed()
}

// Flush empties the engine's caches.
func (e *Engine) Flush() {
	e.mu.Lock()
	e.model.FlushCache()
	e.mu.Unlock()
}

// Sessions returns the number of connections with an open transaction or a temporary table.
func (e *Engine) Sessions() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		if c.hasSessionState.Load() {
			n++
		}
	}
	return n
}

// Threads returns the number of threads that run in the engine now.
func (e *Engine) Threads() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Threads()
}

// Copied returns the number of bytes that the engine has received by COPY FROM STDIN, over all its restarts.
func (e *Engine) Copied() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copyBytes
}

func (e *Engine) addCopied(n int) {
	e.mu.Lock()
	e.copyBytes += n
	e.mu.Unlock()
}

func (e *Engine) now() time.Duration { return time.Since(e.epoch) }

// notifyWaiters sends OutcomeDone to the waiters of jobs that have ended. The caller holds e.mu.
func (e *Engine) notifyWaiters(ended []*enginemodel.Running) {
	for _, r := range ended {
		if done := e.waiters[r]; done != nil {
			delete(e.waiters, r)
			done <- OutcomeDone
		}
	}
}

// scheduleNext sets the timer for the model's next event. The caller holds e.mu.
func (e *Engine) scheduleNext() {
	if e.timer != nil {
		e.timer.Stop()
	}
	if next, ok := e.model.NextEvent(); ok && e.up {
		model := e.model
		e.timer = time.AfterFunc(max(next-e.now(), 0), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up && e.model == model {
				e.notifyWaiters(e.model.Advance(e.now()))
				e.scheduleNext()
			}
		})
	}
}

// loadReport returns the load report, "RUNNING,GRANTED": the number of jobs, and the share of memory granted.
// The report is refreshed when it is older than the configured interval plus the fault LateReports. "" means
// that no report is sent.
func (e *Engine) loadReport() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ReportEvery <= 0 {
		return ""
	}
	if now := time.Now(); now.Sub(e.loadReportedAt) >= e.cfg.ReportEvery+e.faults.LateReports ||
		e.lastLoadReport == "" {
		e.loadReportedAt = now
		e.lastLoadReport = fmt.Sprintf("%d,%.3f", len(e.model.Jobs()), e.model.GrantedShare())
	}
	return e.lastLoadReport
}
