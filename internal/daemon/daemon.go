// Package daemon runs a dispatcher as a service: signals, readiness, health checks, reloads, the PID file,
// and the handover of its listening sockets to a successor process. It owns the process's sockets and files;
// what is done when is decided in package lifecycle, and queries are none of its business.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"cresspass/internal/config"
	"cresspass/internal/daemon/lifecycle"
	"cresspass/internal/daemon/signals"
	"cresspass/internal/netlisten"
	"cresspass/internal/server"
)

// Options say how a daemon is run.
type Options struct {
	Config *config.Config
	// LoadConfig reads the settings again, for a reload.
	LoadConfig func() (*config.Config, error)
	Logger     *slog.Logger
	// LogLevel is that of Logger, which a reload may change; nil: it is fixed.
	LogLevel *slog.LevelVar
	// Takeover takes the listening sockets from the dispatcher that runs.
	Takeover bool
	// Stop acts as SIGTERM once it is closed. It may be nil.
	Stop <-chan struct{}
	// Signals are of package signals, where they were asked for before the settings were read; nil: Run asks
	// for them.
	Signals <-chan os.Signal
	// StartServer starts the dispatcher on a listener; nil: server.StartOnListener.
	StartServer func(cfg *config.Config, logger *slog.Logger, ln net.Listener) (*server.Server, error)
}

// handoverTimeout is how long a successor has to say that it serves.
const handoverTimeout = 20 * time.Second

// daemon is a running service.
type daemon struct {
	options   Options
	logger    *slog.Logger
	machine   *lifecycle.Machine // of the event loop
	server    *server.Server
	listener  *net.TCPListener
	events    chan lifecycle.Event // from other goroutines to the event loop
	startedAt time.Time
	state     atomic.Int32    // the machine's, for health checks
	handover  *handoverServer // nil: the settings name no socket for it
	stopped   bool            // the event loop is to end
}

// Run runs a dispatcher until it is stopped or has handed over. The error says why it could not start.
func Run(ctx context.Context, o Options) error {
	d := &daemon{options: o, logger: o.Logger, machine: lifecycle.New(lifecycle.Config{
		DrainTimeout: o.Config.DrainTimeout, HandoverTimeout: handoverTimeout}),
		events: make(chan lifecycle.Event, 64), startedAt: time.Now()}
	received := o.Signals
	if received == nil {
		var stop func()
		received, stop = signals.Notify()
		defer stop()
	}
	// The sockets come first, so that clients wait and are not refused, then all else. The dispatcher is
	// ready once an endpoint list is known.
	predecessor, err := d.openListeners()
	if err != nil {
		return err
	}
	if predecessor != nil {
		defer predecessor.close()
	}
	if err := d.startServer(predecessor); err != nil {
		return errors.Join(err, d.listener.Close())
	}
	defer d.server.Close()
	if o.Config.PIDFile != "" {
		if err := writePIDFile(o.Config.PIDFile); err != nil {
			return err
		}
		defer d.removePIDFile(o.Config.PIDFile)
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

// openListeners opens the listening socket, or takes all from the dispatcher that runs. The connection to
// that one is nil where there is none.
func (d *daemon) openListeners() (*predecessorConn, error) {
	cfg := d.options.Config
	if !d.options.Takeover {
		ln, err := netlisten.Open(cfg.Listen)
		if err != nil {
			return nil, err
		}
		d.listener = ln.(*net.TCPListener)
		return nil, nil
	}
	listeners, predecessor, err := takeOverListeners(cfg.TakeoverSocket)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	d.listener = listeners[0]
	for _, ln := range listeners[1:] {
		if cfg.Flight.Listen != "" {
			cfg.FlightListener = ln
		} else {
			_ = ln.Close() // these settings serve no Flight SQL
		}
	}
	return predecessor, nil
}

// startServer starts the dispatcher, as the successor of a predecessor where there is one.
func (d *daemon) startServer(predecessor *predecessorConn) (err error) {
	o := d.options
	start := o.StartServer
	if start == nil {
		start = server.StartOnListener
	}
	o.Config.TakingOver = o.Takeover
	if predecessor != nil {
		d.server, err = startSuccessor(start, o, d.listener, predecessor)
	} else {
		d.server, err = start(o.Config, o.Logger, d.listener)
	}
	return err
}
