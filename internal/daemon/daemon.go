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
	Config *config.Config
	Load   func() (*config.Config, error) // reads the settings again
	Log    *slog.Logger
	// of Log; a reload may change it; nil: fixed
	Level *slog.LevelVar
	// take the listening socket from the dispatcher that runs
	Takeover bool
	// closed: as SIGTERM; may be nil
	Stop <-chan struct{}
	// of package signals, asked for before the settings were read; nil: asked for at the start
	Signals <-chan os.Signal
	// nil: server.StartOn
	Start func(cfg *config.Config, log *slog.Logger, ln net.Listener) (*server.Server, error)
}

// handFor is how long a successor has to say that it serves.
const handFor = 20 * time.Second

// daemon is a running service.
type daemon struct {
	o      Options
	log    *slog.Logger
	life   *lifecycle.Life
	server *server.Server
	ln     *net.TCPListener
	events chan lifecycle.Event
	zero   time.Time
	state  atomic.Int32
	heirs  *heirs
	drain  time.Duration
	over   bool
}

// Run runs a dispatcher until it is stopped or has handed over. The error says why it could not start, or
// what went wrong at its end.
func Run(ctx context.Context, o Options) error {
	d := &daemon{o: o, log: o.Log, life: lifecycle.New(lifecycle.Config{DrainFor: o.Config.DrainFor, HandFor: handFor}),
		events: make(chan lifecycle.Event, 64), zero: time.Now()}
	all := o.Signals
	if all == nil {
		var stop func()
		all, stop = signals.Notify()
		defer stop()
	}
	// Start order: the socket, so that clients wait and are not refused; then all else; ready once a list is
	// known.
	var former *former
	var err error
	if o.Takeover {
		var sockets []*net.TCPListener
		if sockets, former, err = takeSockets(o.Config.Takeover); err != nil {
			return fmt.Errorf("takeover: %w", err)
		}
		d.ln = sockets[0]
		for _, ln := range sockets[1:] {
			if o.Config.Flight.Listen != "" {
				o.Config.FlightListener = ln
			} else {
				ln.Close() // these settings serve no Flight SQL
			}
		}
		defer former.close()
	} else {
		ln, err := netlisten.Open(o.Config.Listen)
		if err != nil {
			return err
		}
		d.ln = ln.(*net.TCPListener)
	}
	start := o.Start
	if start == nil {
		start = func(cfg *config.Config, log *slog.Logger, ln net.Listener) (*server.Server, error) {
			return server.StartOn(cfg, log, ln)
		}
	}
	if o.Config.Heir = o.Takeover; o.Takeover {
		// The former's state folder is its own until it ends; its list is enough to begin with.
		if d.server, err = startHeir(start, o, d.ln, former); err != nil {
			return errors.Join(err, d.ln.Close())
		}
	} else if d.server, err = start(o.Config, o.Log, d.ln); err != nil {
		return errors.Join(err, d.ln.Close())
	}
	defer d.server.Close()
	if o.Config.PidFile != "" {
		if err := writePid(o.Config.PidFile); err != nil {
			return err
		}
		defer removePid(o.Config.PidFile)
	}
	if o.Config.Health != "" {
		stop, err := d.health(o.Config.Health, o.Takeover)
		if err != nil {
			return err
		}
		defer stop()
	}
	if o.Config.Takeover != "" {
		if d.heirs, err = listenHeirs(o.Config.Takeover, d.events, o.Log); err != nil {
			return err
		}
		defer d.heirs.close()
	}
	go func() {
		select {
		case <-d.server.Listed():
			d.events <- lifecycle.Event{Type: lifecycle.Listed}
		case <-ctx.Done():
		}
	}()
	d.loop(ctx, all)
	return nil
}

func (d *daemon) loop(ctx context.Context, signals <-chan os.Signal) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	stop, done := d.o.Stop, ctx.Done()
	for !d.over {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.step(lifecycle.Event{Type: lifecycle.Reload})
			} else {
				d.step(lifecycle.Event{Type: lifecycle.Terminate})
			}
		case <-stop:
			stop = nil
			d.step(lifecycle.Event{Type: lifecycle.Terminate})
		case <-done:
			done = nil
			d.step(lifecycle.Event{Type: lifecycle.Terminate})
		case ev := <-d.events:
			d.step(ev)
		case <-tick.C:
			d.step(lifecycle.Event{Type: lifecycle.Tick})
			if d.life.State() == lifecycle.Draining && d.server.Idle() {
				d.step(lifecycle.Event{Type: lifecycle.Empty})
			}
		}
	}
}

func (d *daemon) step(ev lifecycle.Event) {
	was := d.life.State()
	for _, a := range d.life.Step(time.Since(d.zero), ev) {
		switch a.Type {
		case lifecycle.TellReady:
			d.notify("READY=1")
		case lifecycle.TellStopping:
			d.notify("STOPPING=1")
		case lifecycle.ReadSettings:
			d.reload()
		case lifecycle.GiveSockets:
			all := []*net.TCPListener{d.ln}
			if ln, ok := d.server.FlightListener().(*net.TCPListener); ok {
				all = append(all, ln)
			}
			d.heirs.give(a.Who, all...)
		case lifecycle.Decline:
			d.heirs.decline(a.Who)
		case lifecycle.Drain:
			d.log.Info("draining", "at most", d.o.Config.DrainFor)
			if d.heirs != nil {
				d.heirs.let()
			}
			d.server.Drain()
		case lifecycle.Cut:
			d.log.Warn("drain cut short")
			d.server.Cut()
		case lifecycle.Exit:
			d.over = true
		}
	}
	if now := d.life.State(); now != was {
		d.state.Store(int32(now))
		d.log.Info("state", "was", was.String(), "is", now.String())
	}
}

// reload reads the settings again and applies them whole or not at all.
func (d *daemon) reload() {
	d.notify("RELOADING=1\nMONOTONIC_USEC=" + strconv.FormatInt(monotonic(), 10))
	defer d.notify("READY=1")
	cfg, err := d.o.Load()
	if err != nil {
		d.log.Error("settings not reloaded, the last good ones stay", "error", err)
		return
	}
	changed, err := d.server.Reload(cfg)
	if err != nil {
		d.log.Error("settings not reloaded, the last good ones stay", "error", err)
		return
	}
	if d.o.Level != nil {
		d.o.Level.UnmarshalText([]byte(cfg.LogLevel))
	}
	d.log.Info("settings reloaded", "changed", changed)
}

// notify tells the service manager, by the protocol of sd_notify(3).
func (d *daemon) notify(text string) {
	path := os.Getenv("NOTIFY_SOCKET")
	if path == "" {
		return
	}
	if path[0] == '@' {
		path = "\x00" + path[1:]
	}
	c, err := net.DialUnix("unixgram", nil, &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		d.log.Warn("service manager not told", "error", err)
		return
	}
	defer c.Close()
	if _, err := c.Write([]byte(text)); err != nil {
		d.log.Warn("service manager not told", "error", err)
	}
}

// Health is what a health check is told.
type Health struct {
	State   string `json:"state"`
	Ready   bool   `json:"ready"`
	Trouble bool   `json:"trouble"` // the loop lags
	Clients int    `json:"clients"`
	Open    int    `json:"open"`
	Taken   uint64 `json:"taken"`
	Served  uint64 `json:"served"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	Gone    uint64 `json:"gone"`

	Violations map[invariant.Name]uint64 `json:"violations"` // of each invariant; any is a defect
	// acts that no longer held when their moment came
	Withheld map[invariant.Name]uint64 `json:"withheld"`
}

// health serves /live (200 while it runs), /ready (200 while it takes clients) and /health (JSON). In a
// hand-over the former still has the address: the heir tries until it is free.
func (d *daemon) health(addr string, wait bool) (stop func(), err error) {
	mux := http.NewServeMux()
	tell := func() Health {
		st := d.server.Stats()
		state := lifecycle.State(d.state.Load())
		violations, withheld := d.server.Invariants()
		return Health{Violations: violations, Withheld: withheld, State: state.String(),
			Ready:   state == lifecycle.Ready || state == lifecycle.Handing,
			Trouble: d.server.Trouble(),
			Clients: d.server.Clients(), Open: st.Open, Taken: st.Taken, Served: st.Served,
			Refused: st.Refused,
			Failed:  st.Failed, Gone: st.Gone}
	}
	mux.HandleFunc("/live", func(w http.ResponseWriter, r *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("/ready", func(w http.ResponseWriter, r *http.Request) {
		if h := tell(); !h.Ready {
			http.Error(w, h.State, http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/health", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(tell())
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ln, err := net.Listen("tcp", addr)
	if err != nil && !wait {
		if ln, err = netlisten.Open(addr); err != nil {
			return nil, err
		}
	}
	ended := make(chan struct{})
	halt := make(chan struct{})
	go func() {
		defer close(ended)
		for ln == nil {
			select {
			case <-halt:
				return
			case <-time.After(50 * time.Millisecond):
				ln, _ = net.Listen("tcp", addr)
			}
		}
		s.Serve(netlisten.Lasting{Listener: ln})
	}()
	return func() {
		close(halt)
		s.Close()
		<-ended
	}, nil
}

// Ask asks a running daemon for its health.
func Ask(ctx context.Context, addr string) (h Health, err error) {
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

func writePid(path string) error {
	tmp := path + ".new"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(tmp, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// removePid removes the file where it is still ours: a successor has written its own.
func removePid(path string) {
	if b, err := os.ReadFile(path); err == nil && string(b) == strconv.Itoa(os.Getpid())+"\n" {
		os.Remove(path)
	}
}

// monotonic is CLOCK_MONOTONIC in microseconds, as sd_notify wants it.
func monotonic() int64 {
	var ts syscall.Timespec
	const clockMonotonic = 1
	syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(ptr(&ts)), 0)
	return ts.Sec*1e6 + ts.Nsec/1e3
}
