// Package daemon runs a dispatcher as a service: signals, readiness, health checks, reloads, the PID file,
// and the handover of its listening sockets to a successor process. It owns the process's sockets and files.
// Package lifecycle decides which actions follow an event, and package server handles the queries.
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

// Options configure a daemon.
type Options struct {
	Config *config.Config
	// LoadConfig reads the settings again, for a reload.
	LoadConfig func() (*config.Config, error)
	Logger     *slog.Logger
	// LogLevel is Logger's level, which a reload sets; nil: the level is fixed.
	LogLevel *slog.LevelVar
	// Takeover takes the listening sockets over from the running dispatcher, and does not open new ones.
	Takeover bool
	// Stop has the effect of SIGTERM once it is closed. It may be nil.
	Stop <-chan struct{}
	// Signals is the channel that signals.Notify returned, if the caller called it before it read the
	// settings; nil: Run calls signals.Notify.
	Signals <-chan os.Signal
	// StartServer starts the dispatcher on a listener; nil: server.StartOnListener.
	StartServer func(cfg *config.Config, logger *slog.Logger, ln net.Listener) (*server.Server, error)
}

// handoverTimeout is how long a successor may take to report that it serves.
const handoverTimeout = 20 * time.Second

// eventQueueCapacity is how many events may wait for the event loop.
const eventQueueCapacity = 64

// daemon is a running service.
type daemon struct {
	options   Options
	logger    *slog.Logger
	machine   *lifecycle.Machine // used by the event loop alone
	server    *server.Server
	listener  *net.TCPListener
	events    chan lifecycle.Event // from other goroutines to the event loop
	startedAt time.Time
	state     atomic.Int32    // the machine's state, for health checks
	handover  *handoverServer // nil: the settings name no takeover socket
	stopped   bool            // set by Exit; ends the event loop
}

// Run runs a dispatcher until it is stopped or has handed over. It returns an error only if the dispatcher
// could not start.
func Run(ctx context.Context, o Options) error {
	d := &daemon{options: o, logger: o.Logger, machine: lifecycle.New(lifecycle.Config{
		DrainTimeout: o.Config.DrainTimeout, HandoverTimeout: handoverTimeout}),
		events: make(chan lifecycle.Event, eventQueueCapacity), startedAt: time.Now()}
	received := o.Signals
	if received == nil {
		var stop func()
		received, stop = signals.Notify()
		defer stop()
	}
	// The sockets are opened first, so that clients that connect early wait and are not refused. The
	// dispatcher is ready once an endpoint list is known.
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

// openListeners opens the listening socket for PostgreSQL clients, or takes all listening sockets over from
// the running dispatcher. It returns the connection to that predecessor; nil: there is none.
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

// startServer starts the dispatcher, as a successor if there is a predecessor.
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
