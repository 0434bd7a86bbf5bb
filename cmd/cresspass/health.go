package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cresspass/internal/daemon"
)

// healthCmd asks a dispatcher for its health.
type healthCmd struct {
	Addr string `arg:"" help:"Health address of a running dispatcher."`
}

// healthTimeout bounds the request.
const healthTimeout = 5 * time.Second

// Run prints a dispatcher's health; the error is for one that is not ready.
func (c healthCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	h, err := daemon.FetchHealth(ctx, c.Addr)
	if err != nil {
		return err
	}
	// Where the output is closed, the exit status still has the result.
	_ = json.NewEncoder(os.Stdout).Encode(h)
	if !h.Ready {
		return fmt.Errorf("%s is not ready: %s", c.Addr, h.State)
	}
	return nil
}
