package main

import (
	"context"
	"fmt"
	"time"

	"cresspass/internal/rehearsal"
)

// loadCmd sends queries to dispatchers at a rate that does not depend on their answers (open loop).
type loadCmd struct {
	Addr     []string      `arg:"" help:"Addresses of dispatchers."`
	Class    string        `default:"lookup" help:"Class that statements name."`
	Rate     float64       `default:"50" help:"Arrivals a second, over all; they never wait for answers."`
	WorkMS   float64       `default:"20" help:"Mean work of a statement for a stand-in engine, in ms."`
	Spread   float64       `default:"0.8" help:"Spread of the work, as the sigma of its logarithm."`
	Rows     int           `default:"5" help:"Rows of an answer."`
	Deadline time.Duration `default:"10s" help:"How long a client waits."`
	For      time.Duration `default:"10s" help:"How long clients come."`
	Seed     uint64        `default:"1" help:"Seed of arrivals and work."`
}

// Run sends the queries, then prints their outcomes and the codes of those that failed.
//
//nolint:unparam // kong requires that Run returns an error
func (c loadCmd) Run(ctx context.Context) error {
	traffic := rehearsal.Traffic{
		Class:   c.Class,
		Rate:    c.Rate,
		Work:    c.WorkMS / 1000,
		Spread:  c.Spread,
		Threads: 1,
		Rows:    c.Rows,
	}
	counts, failures := rehearsal.Load(ctx, c.Addr, []rehearsal.Traffic{traffic}, c.Deadline, c.For, c.Seed)
	for i := range counts {
		fmt.Println(counts[i].String())
	}
	if len(failures) > 0 {
		fmt.Println("failures by code:", failures)
	}
	return nil
}
