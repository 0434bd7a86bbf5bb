// Command cresspass is the dispatcher and its kit: serve and check run it, demo shows it on one machine,
// engine and roster are stand-ins for what it talks to, rehearse plays a day of trouble and judges it from
// the sockets.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cresspass/internal/config"
	"cresspass/internal/daemon"
	"cresspass/internal/daemon/signals"
)

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run a dispatcher."`
	Check    checkCmd    `cmd:"" help:"Verify a settings file; names faults by file:line:column."`
	Node     nodeCmd     `cmd:"" help:"Run a dispatcher on the platform, by its protocol and configuration."`
	Engine   engineCmd   `cmd:"" help:"Run a stand-in engine."`
	Roster   rosterCmd   `cmd:"" help:"Run a stand-in engine list (endpoint discovery over gRPC)."`
	Load     loadCmd     `cmd:"" help:"Ask dispatchers at a rate, open loop, and count what became of it."`
	Rehearse rehearseCmd `cmd:"" help:"Play a day of trouble through real dispatchers and judge the rules."`
	Model    modelCmd    `cmd:"" help:"Experiments in the model: fleets without sockets, in simulated time."`
	Record   recordCmd   `cmd:"" help:"What dispatchers recorded of the queries they took."`
	Soak     soakCmd     `cmd:"" help:"Play random faults through real dispatchers and judge the rules."`
	Demo     demoCmd     `cmd:"" help:"Run a roster, four engines and a dispatcher on this machine."`
	Health   healthCmd   `cmd:"" help:"Ask a running dispatcher for its health; exit 1 unless it is ready."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

func main() {
	var c cli
	k := kong.Parse(&c, parserOptions()...)
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cresspass:", err)
		os.Exit(1)
	}
}

// parserOptions are those of the command line.
func parserOptions() []kong.Option {
	return []kong.Option{kong.Name("cresspass"), kong.UsageOnError(),
		kong.Description("Admits queries and routes them to analytic engines, by PostgreSQL's protocol."),
		kong.BindSingletonProvider(signalContext)}
}

// signalContext returns the context of the commands that take one: it ends with SIGINT or SIGTERM. Danger:
// for a dispatcher it must not be made. It takes those signals, and one that comes before the dispatcher
// itself listens for them would be lost.
func signalContext() (context.Context, error) {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx, nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	v, revision := "(devel)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	fmt.Printf("cresspass %s%s\n", v, revision)
	return nil
}

type checkCmd struct {
	Config string `short:"c" required:"" help:"Settings file."`
}

func (c checkCmd) Run() error {
	if _, err := config.Load(c.Config); err != nil {
		return err
	}
	fmt.Println(c.Config + ": good")
	return nil
}

type serveCmd struct {
	Config     string `short:"c" required:"" help:"Settings file."`
	Listen     string `help:"Address for clients, in place of the file's."`
	Flight     string `help:"Address for clients of Flight SQL, in place of the file's."`
	EDS        string `help:"Address of the endpoint discovery service, in place of the file's."`
	Cache      string `help:"File that keeps the last engine list, in place of the file's."`
	EngineUser string `help:"User name towards engines, in place of the file's."`
	Ordinal    int    `default:"-1" help:"Which of the gateways this is, from 0, in place of the file's."`
	Gateways   int    `help:"Number of gateways, in place of the file's."`
	State      string `help:"Folder for state, in place of the file's."`
	Health     string `help:"Address for health checks, in place of the file's."`
	Socket     string `help:"Unix socket for hand-overs, in place of the file's."`
	Takeover   bool   `help:"Take the socket over from the dispatcher that runs; it drains."`
	WithParent bool   `help:"Stop when standard input ends, as it does with the process that holds it."`
}

func (c serveCmd) Run() error {
	all, stop := signals.Notify()
	defer stop()
	o, err := c.options()
	if err != nil {
		return err
	}
	o.Signals = all
	return daemon.Run(context.Background(), *o)
}

// options are the daemon's, of the settings and the command line.
func (c serveCmd) options() (*daemon.Options, error) {
	cfg, err := c.load()
	if err != nil {
		return nil, err
	}
	level := new(slog.LevelVar)
	log, err := newLogger(os.Stderr, cfg.LogLevel, cfg.LogFormat, level)
	if err != nil {
		return nil, err
	}
	o := &daemon.Options{Config: cfg, LoadConfig: c.load, Logger: log, LogLevel: level, Takeover: c.Takeover}
	if c.WithParent {
		stop := make(chan struct{})
		o.Stop = stop
		go func() {
			io.Copy(io.Discard, os.Stdin)
			close(stop)
		}()
	}
	return o, nil
}

// load reads the settings, with what the command line puts in their place.
func (c serveCmd) load() (*config.Config, error) {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return nil, err
	}
	over := config.Overrides{
		Listen:            c.Listen,
		FlightListen:      c.Flight,
		DiscoveryAddr:     c.EDS,
		EndpointCacheFile: c.Cache,
		EngineUser:        c.EngineUser,
		Ordinal:           c.Ordinal,
		Gateways:          c.Gateways,
		StateDir:          c.State,
		HealthAddr:        c.Health,
		TakeoverSocket:    c.Socket,
	}
	return cfg, over.Apply(cfg)
}

type healthCmd struct {
	Addr string `arg:"" help:"Health address of a running dispatcher."`
}

// Run prints a dispatcher's health; the error is for one that is not ready.
func (c healthCmd) Run(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	h, err := daemon.FetchHealth(limit, c.Addr)
	if err != nil {
		return err
	}
	json.NewEncoder(os.Stdout).Encode(h)
	if !h.Ready {
		return fmt.Errorf("%s is not ready: %s", c.Addr, h.State)
	}
	return nil
}

// newLogger returns a logger of a level, kept in l so that it can change, and a format.
func newLogger(w io.Writer, level, format string, l *slog.LevelVar) (*slog.Logger, error) {
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	options := &slog.HandlerOptions{Level: l}
	switch format {
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	}
	return nil, fmt.Errorf("log format %q: text or json", format)
}
