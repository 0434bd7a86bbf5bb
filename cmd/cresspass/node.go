package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"cresspass/internal/platform"
)

// nodeCmd runs a dispatcher on the platform.
type nodeCmd struct {
	Config   string `short:"c" env:"ROUTER_CONFIG" help:"The platform's configuration, as JSON."`
	LogLevel string `env:"CRESSPASS_LOG_LEVEL" default:"info" help:"debug shows each event of each request."`
}

// Run serves the platform until SIGTERM.
func (c nodeCmd) Run() error {
	if c.Config == "" {
		return errors.New("node: ROUTER_CONFIG is not set, and no --config is given")
	}
	level := new(slog.LevelVar)
	log, err := newLogger(os.Stdout, c.LogLevel, "text", level)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return platform.Run(c.Config, log)
}
