package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cresspass/internal/daemon"
)

// healthCmd fetches a dispatcher's health.
type healthCmd struct {
	Addr string `arg:"" help:"Health address of a running dispatcher."`
}

// healthTimeout bounds the request, connecting included.
const healthTimeout = 5 * time.Second

// Run prints a dispatcher's health as JSON. It returns an error unless the dispatcher answers and is ready.
func (c healthCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	h, err := daemon.FetchHealth(ctx, c.Addr)
	if err != nil {
		return err
	}
	// A write fails where the output is closed; the exit status still reports readiness.
	_ = json.NewEncoder(os.Stdout).Encode(h)
	if !h.Ready {
		return fmt.Errorf("%s is not ready: %s", c.Addr, h.State)
	}
	return nil
}
