// Package standin has stand-ins for the peers of a dispatcher: an engine that speaks PostgreSQL around the
// engine model, and an endpoint discovery service. Both can be given the faults that real ones have. The
// engine decodes the protocol with pgproto3, which the dispatcher does not use, so that both sides cannot
// share one misreading. Tests and rehearsals use this package; the product does not.
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

// resetOnClose as SO_LINGER closes a TCP connection with a reset, as the crash of a process does.
const resetOnClose = 0

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Listen        string
	Kind          enginemodel.Kind
	Cold          bool // it starts with cold caches
	Seed          uint64
	ProgressEvery time.Duration       // interval of progress notices; 0: none are sent
	ReportEvery   time.Duration       // interval of load reports; 0: none are sent
	Window        time.Duration       // repeats of a load with an idempotency key are dropped for this long
	Group         *DeduplicationGroup // engines that drop repeats together; nil: this one alone
}

// Engine is a stand-in engine.
type Engine struct {
	cfg  EngineConfig
	addr string

	mu        sync.Mutex
	up        bool
	listener  net.Listener
	epoch     time.Time // zero of the model's clock
	started   time.Time
	model     *enginemodel.Model
	ended     map[*enginemodel.Running]chan Outcome // who waits for the end of each job
	timer     *time.Timer                           // fires at the end of the next job
	faults    Faults
	random    *rand.Rand
	conns     map[uint32]*engineConn
	nextPID   uint32
	runs      []*Run
	load      string // the load report sent last
	loadAt    time.Time
	copyBytes int
	locks     map[string]*engineConn // advisory locks of sessions, by key

	background sync.WaitGroup
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Group == nil {
		cfg.Group = NewDeduplicationGroup()
	}
	e := &Engine{cfg: cfg, addr: cfg.Listen, random: rand.New(rand.NewPCG(cfg.Seed, 7))}
	return e, e.start(cfg.Cold)
}

// Addr is the address on which the engine listens.
func (e *Engine) Addr() string { return e.addr }

// Started is the start time of the present process.
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
	e.ended = map[*enginemodel.Running]chan Outcome{}
	e.conns = map[uint32]*engineConn{}
	e.locks = map[string]*engineConn{}
	e.faults = Faults{}
	e.background.Add(1)
	go e.accept(ln)
	return nil
}

// Restart starts a crashed engine again under its address, as a new process with cold caches.
func (e *Engine) Restart() error {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if up {
		return errors.New("standin: engine " + e.addr + " is up")
	}
	return e.start(true)
}

// Crash ends the engine at once: connections are reset, jobs are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
}

// crash ends the process at once: connections are reset, jobs are lost. The caller holds e.mu.
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
		c.signalCancel() // releases a statement that waits for a cancel
	}
	for r, done := range e.ended {
		delete(e.ended, r)
		done <- OutcomeDied
	}
	if e.timer != nil {
		e.timer.Stop()
	}
}

// Close ends the engine and waits for its goroutines.
func (e *Engine) Close() {
	e.Crash()
	e.background.Wait()
}

// Up reports whether the engine runs, and whether it fell over from overload.
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

// Sessions is the number of connections with an open transaction or a temporary table.
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

// Threads is the number of threads that run in the engine now.
func (e *Engine) Threads() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Threads()
}

// Copied is the number of bytes that the engine has received by COPY FROM STDIN.
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

// finish notifies those who wait for jobs that have ended. The caller holds e.mu.
func (e *Engine) finish(ended []*enginemodel.Running) {
	for _, r := range ended {
		if done := e.ended[r]; done != nil {
			delete(e.ended, r)
			done <- OutcomeDone
		}
	}
}

// scheduleNext sets the timer for the next end. The caller holds e.mu.
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
				e.finish(e.model.Advance(e.now()))
				e.scheduleNext()
			}
		})
	}
}

// loadReport is the load report, refreshed at its interval; "": none is sent.
func (e *Engine) loadReport() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ReportEvery <= 0 {
		return ""
	}
	if now := time.Now(); now.Sub(e.loadAt) >= e.cfg.ReportEvery+e.faults.LateReports || e.load == "" {
		e.loadAt = now
		e.load = fmt.Sprintf("%d,%.3f", len(e.model.Jobs()), e.model.GrantedShare())
	}
	return e.load
}
