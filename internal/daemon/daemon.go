// Package daemon runs a dispatcher as a service: signals, readiness, health, reloads, and the hand-over of
// its sockets to a successor. What it does when is decided in package life.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"cresspass/internal/config"
	"cresspass/internal/daemon/lifecycle"
	"cresspass/internal/daemon/signals"
	"cresspass/internal/invariant"
	"cresspass/internal/netlisten"
	"cresspass/internal/server"
)

// Options say how a daemon is run.
type Options struct {
	Config     *config.Config
	LoadConfig func() (*config.Config, error) // reads the settings again
	Logger     *slog.Logger
	// of Log; a reload may change it; nil: fixed
	LogLevel *slog.LevelVar
	// take the listening socket from the dispatcher that runs
	Takeover bool
	// closed: as SIGTERM; may be nil
	Stop <-chan struct{}
	// of package signals, asked for before the settings were read; nil: asked for at the start
	Signals <-chan os.Signal
	// nil: server.StartOn
	StartServer func(cfg *config.Config, log *slog.Logger, ln net.Listener) (*server.Server, error)
}

// handoverTimeout is how long a successor has to say that it serves.
const handoverTimeout = 20 * time.Second

// daemon is a running service.
type daemon struct {
	options   Options
	logger    *slog.Logger
	machine   *lifecycle.Machine
	server    *server.Server
	listener  *net.TCPListener
	events    chan lifecycle.Event
	startedAt time.Time
	state     atomic.Int32
	handover  *handoverServer
	drain     time.Duration
	stopped   bool
}

// Run runs a dispatcher until it is stopped or has handed over. The error says why it could not start, or
// what went wrong at its end.
func Run(ctx context.Context, o Options) error {
	d := &daemon{
		options: o,
		logger:  o.Logger,
		machine: lifecycle.New(
			lifecycle.Config{DrainTimeout: o.Config.DrainTimeout, HandoverTimeout: handoverTimeout},
		),
		events:    make(chan lifecycle.Event, 64),
		startedAt: time.Now(),
	}
	received := o.Signals
	if received == nil {
		var stop func()
		received, stop = signals.Notify()
		defer stop()
	}
	// Start order: the socket, so that clients wait and are not refused; then all else; ready once a list is
	// known.
	var predecessor *predecessorConn
	var err error
	if o.Takeover {
		var sockets []*net.TCPListener
		if sockets, predecessor, err = takeOverListeners(o.Config.TakeoverSocket); err != nil {
			return fmt.Errorf("takeover: %w", err)
		}
		d.listener = sockets[0]
		for _, ln := range sockets[1:] {
			if o.Config.Flight.Listen != "" {
				o.Config.FlightListener = ln
			} else {
				ln.Close() // these settings serve no Flight SQL
			}
		}
		defer predecessor.close()
	} else {
		ln, err := netlisten.Open(o.Config.Listen)
		if err != nil {
			return err
		}
		d.listener = ln.(*net.TCPListener)
	}
	start := o.StartServer
	if start == nil {
		start = func(cfg *config.Config, log *slog.Logger, ln net.Listener) (*server.Server, error) {
			return server.StartOnListener(cfg, log, ln)
		}
	}
	if o.Config.TakingOver = o.Takeover; o.Takeover {
		// The former's state folder is its own until it ends; its list is enough to begin with.
		if d.server, err = startSuccessor(start, o, d.listener, predecessor); err != nil {
			return errors.Join(err, d.listener.Close())
		}
	} else if d.server, err = start(o.Config, o.Logger, d.listener); err != nil {
		return errors.Join(err, d.listener.Close())
	}
	defer d.server.Close()
	if o.Config.PIDFile != "" {
		if err := writePIDFile(o.Config.PIDFile); err != nil {
			return err
		}
		defer removePIDFile(o.Config.PIDFile)
	}
	if o.Config.HealthAddr != "" {
		stop, err := d.serveHealth(o.Config.HealthAddr, o.Takeover)
		if err != nil {
			return err
		}
		defer stop()
	}
	if o.Config.TakeoverSocket != "" {
		if d.handover, err = listenForSuccessors(o.Config.TakeoverSocket, d.events, o.Logger); err != nil {
			return err
		}
		defer d.handover.close()
	}
	go func() {
		select {
		case <-d.server.ListReady():
			d.events <- lifecycle.Event{Type: lifecycle.EndpointsKnown}
		case <-ctx.Done():
		}
	}()
	d.eventLoop(ctx, received)
	return nil
}

func (d *daemon) eventLoop(ctx context.Context, received <-chan os.Signal) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	stop, done := d.options.Stop, ctx.Done()
	for !d.stopped {
		select {
		case s := <-received:
			if s == syscall.SIGHUP {
				d.handle(lifecycle.Event{Type: lifecycle.Reload})
			} else {
				d.handle(lifecycle.Event{Type: lifecycle.Terminate})
			}
		case <-stop:
			stop = nil
			d.handle(lifecycle.Event{Type: lifecycle.Terminate})
		case <-done:
			done = nil
			d.handle(lifecycle.Event{Type: lifecycle.Terminate})
		case ev := <-d.events:
			d.handle(ev)
		case <-tick.C:
			d.handle(lifecycle.Event{Type: lifecycle.Tick})
			if d.machine.State() == lifecycle.Draining && d.server.Idle() {
				d.handle(lifecycle.Event{Type: lifecycle.Drained})
			}
		}
	}
}

func (d *daemon) handle(ev lifecycle.Event) {
	before := d.machine.State()
	for _, a := range d.machine.Step(time.Since(d.startedAt), ev) {
		switch a.Type {
		case lifecycle.NotifyReady:
			d.notifyServiceManager("READY=1")
		case lifecycle.NotifyStopping:
			d.notifyServiceManager("STOPPING=1")
		case lifecycle.ReloadConfig:
			d.reload()
		case lifecycle.SendListeners:
			all := []*net.TCPListener{d.listener}
			if ln, ok := d.server.FlightListener().(*net.TCPListener); ok {
				all = append(all, ln)
			}
			d.handover.sendListeners(a.SuccessorID, all...)
		case lifecycle.RejectSuccessor:
			d.handover.reject(a.SuccessorID)
		case lifecycle.StartDrain:
			d.logger.Info("draining", "at most", d.options.Config.DrainTimeout)
			if d.handover != nil {
				d.handover.announceDrain()
			}
			d.server.Drain()
		case lifecycle.ForceClose:
			d.logger.Warn("drain cut short")
			d.server.TerminateAll()
		case lifecycle.Exit:
			d.stopped = true
		}
	}
	if after := d.machine.State(); after != before {
		d.state.Store(int32(after))
		d.logger.Info("state", "was", before.String(), "is", after.String())
	}
}

// reload reads the settings again and applies them whole or not at all.
func (d *daemon) reload() {
	d.notifyServiceManager("RELOADING=1\nMONOTONIC_USEC=" + strconv.FormatInt(monotonicMicros(), 10))
	defer d.notifyServiceManager("READY=1")
	cfg, err := d.options.LoadConfig()
	if err != nil {
		d.logger.Error("settings not reloaded, the last good ones stay", "error", err)
		return
	}
	changed, err := d.server.Reload(cfg)
	if err != nil {
		d.logger.Error("settings not reloaded, the last good ones stay", "error", err)
		return
	}
	if d.options.LogLevel != nil {
		d.options.LogLevel.UnmarshalText([]byte(cfg.LogLevel))
	}
	d.logger.Info("settings reloaded", "changed", changed)
}

// notifyServiceManager tells the service manager, by the protocol of sd_notify(3).
func (d *daemon) notifyServiceManager(text string) {
	path := os.Getenv("NOTIFY_SOCKET")
	if path == "" {
		return
	}
	if path[0] == '@' {
		path = "\x00" + path[1:]
	}
	c, err := net.DialUnix("unixgram", nil, &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		d.logger.Warn("service manager not told", "error", err)
		return
	}
	defer c.Close()
	if _, err := c.Write([]byte(text)); err != nil {
		d.logger.Warn("service manager not told", "error", err)
	}
}

// Health is what a health check is told.
type Health struct {
	State       string `json:"state"`
	Ready       bool   `json:"ready"`
	LoopLagging bool   `json:"trouble"` // the loop lags
	Clients     int    `json:"clients"`
	OpenQueries int    `json:"open"`
	Accepted    uint64 `json:"taken"`
	Served      uint64 `json:"served"`
	Rejected    uint64 `json:"refused"`
	Failed      uint64 `json:"failed"`
	Abandoned   uint64 `json:"gone"`

	Violations map[invariant.Name]uint64 `json:"violations"` // of each invariant; any is a defect
	// acts that no longer held when their moment came
	Withheld map[invariant.Name]uint64 `json:"withheld"`
}

// serveHealth serves /live (200 while it runs), /ready (200 while it takes clients) and /health (JSON). In a
// hand-over the former still has the address: the heir tries until it is free.
func (d *daemon) serveHealth(addr string, retryListen bool) (stop func(), err error) {
	mux := http.NewServeMux()
	current := func() Health {
		st := d.server.Stats()
		state := lifecycle.State(d.state.Load())
		violations, withheld := d.server.Invariants()
		return Health{Violations: violations, Withheld: withheld, State: state.String(),
			Ready:       state == lifecycle.Ready || state == lifecycle.HandingOver,
			LoopLagging: d.server.LoopLagging(),
			Clients:     d.server.Clients(), OpenQueries: st.Open, Accepted: st.Arrived, Served: st.Served,
			Rejected: st.Rejected,
			Failed:   st.Failed, Abandoned: st.Abandoned}
	}
	mux.HandleFunc("/live", func(w http.ResponseWriter, r *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("/ready", func(w http.ResponseWriter, r *http.Request) {
		if h := current(); !h.Ready {
			http.Error(w, h.State, http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/health", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(current())
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ln, err := net.Listen("tcp", addr)
	if err != nil && !retryListen {
		if ln, err = netlisten.Open(addr); err != nil {
			return nil, err
		}
	}
	ended := make(chan struct{})
	stopping := make(chan struct{})
	go func() {
		defer close(ended)
		for ln == nil {
			select {
			case <-stopping:
				return
			case <-time.After(50 * time.Millisecond):
				ln, _ = net.Listen("tcp", addr)
			}
		}
		s.Serve(netlisten.ResilientListener{Listener: ln})
	}()
	return func() {
		close(stopping)
		s.Close()
		<-ended
	}, nil
}

// FetchHealth asks a running daemon for its health.
func FetchHealth(ctx context.Context, addr string) (h Health, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/health", nil)
	if err != nil {
		return h, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return h, err
	}
	defer resp.Body.Close()
	return h, json.NewDecoder(resp.Body).Decode(&h)
}

func writePIDFile(path string) error {
	tmp := path + ".new"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(tmp, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// removePIDFile removes the file where it is still ours: a successor has written its own.
func removePIDFile(path string) {
	if b, err := os.ReadFile(path); err == nil && string(b) == strconv.Itoa(os.Getpid())+"\n" {
		os.Remove(path)
	}
}

// monotonicMicros is CLOCK_MONOTONIC in microseconds, as sd_notify wants it.
func monotonicMicros() int64 {
	var ts syscall.Timespec
	const clockMonotonic = 1
	syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(ptr(&ts)), 0)
	return ts.Sec*1e6 + ts.Nsec/1e3
}
