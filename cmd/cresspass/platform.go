package main

import (
	"fmt"
	"log/slog"
	"os"

	"cresspass/internal/platform"
)

type platformCmd struct {
	Config string `short:"c" env:"ROUTER_CONFIG" required:"" help:"The platform's configuration, as JSON."`
}

// Run serves the platform until SIGTERM.
func (c platformCmd) Run() error {
	level := new(slog.LevelVar)
	log, err := logger(os.Stdout, "info", "text", level)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return platform.Run(c.Config, log)
}
