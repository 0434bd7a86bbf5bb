package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"

	"cresspass/internal/config"
	"cresspass/internal/daemon"
	"cresspass/internal/daemon/signals"
)

// serveCmd runs a dispatcher; its flags override the settings file.
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

// Run serves until a signal or a hand-over ends the dispatcher.
func (c serveCmd) Run() error {
	received, stop := signals.Notify() // first: before this, a signal ends the process at once
	defer stop()
	options, err := c.options()
	if err != nil {
		return err
	}
	options.Signals = received
	return daemon.Run(context.Background(), *options)
}

// options returns the daemon's options from the settings and the command line.
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
	options := &daemon.Options{
		Config:     cfg,
		LoadConfig: c.load,
		Logger:     log,
		LogLevel:   level,
		Takeover:   c.Takeover,
	}
	if c.WithParent {
		stop := make(chan struct{})
		options.Stop = stop
		go func() {
			_, _ = io.Copy(io.Discard, os.Stdin) // an error, too, means that the parent has ended
			close(stop)
		}()
	}
	return options, nil
}

// load reads the settings and applies the overrides of the command line.
func (c serveCmd) load() (*config.Config, error) {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return nil, err
	}
	overrides := config.Overrides{
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
	return cfg, overrides.Apply(cfg)
}

// newLogger returns a logger that writes to w in the format "text" or "json". It sets l to level; the caller
// may change l later.
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
	return nil, fmt.Errorf("log format %q: want text or json", format)
}
