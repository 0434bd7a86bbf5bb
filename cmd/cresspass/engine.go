package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"cresspass/internal/config"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// engineCmd runs a stand-in engine with the faults that its flags set.
type engineCmd struct {
	Listen   string        `default:"127.0.0.1:0" help:"Address on the loopback interface."`
	Cores    float64       `default:"8" help:"Cores that queries share."`
	MemoryMB float64       `default:"4096" help:"Memory in MB."`
	Cold     bool          `help:"Start cold: 31% of its capacity, warm after 15 s."`
	Progress time.Duration `default:"2s" help:"Pace of progress notes; 0: none."`
	Slow     float64       `default:"1" help:"So many times slower."`
	Hang     bool          `help:"Take queries and answer none."`
	Lose     float64       `help:"Share of the answers that never come."`
	Errors   float64       `help:"Share of the queries that fail at once."`
	Cut      float64       `help:"Share of the answers cut off in the middle."`
	DieAfter int           `help:"Die once an answer has reached so many rows."`
	Garbage  bool          `help:"Answer with bytes that are no protocol."`
	Full     bool          `help:"Turn every query away."`
}

// Properties of stand-in engines that no flag sets.
const (
	engineReportInterval      = 200 * time.Millisecond // between two load reports
	engineDeduplicationWindow = 15 * time.Second       // repeats of a keyed load are dropped for this long
)

// Run starts the engine, prints its address, and ends on a signal.
func (c engineCmd) Run(ctx context.Context) error {
	if err := config.CheckLoopback(c.Listen); err != nil {
		return err
	}
	e, err := standin.NewEngine(standin.EngineConfig{
		Listen:        c.Listen,
		Kind:          testbed.EngineKind(c.Cores, c.MemoryMB),
		Cold:          c.Cold,
		ProgressEvery: c.Progress,
		ReportEvery:   engineReportInterval,
		Window:        engineDeduplicationWindow,
	})
	if err != nil {
		return err
	}
	e.SetFaults(standin.Faults{
		Slow:         c.Slow,
		Hang:         c.Hang,
		LoseShare:    c.Lose,
		ErrorShare:   c.Errors,
		Cut:          c.Cut,
		DieAfterRows: c.DieAfter,
		Garbage:      c.Garbage,
		Full:         c.Full,
	})
	fmt.Println("engine", e.Addr())
	<-ctx.Done()
	e.Close()
	return nil
}

// rosterCmd runs a stand-in endpoint discovery service.
type rosterCmd struct {
	Listen  string   `default:"127.0.0.1:18000" help:"Address on the loopback interface."`
	Service string   `default:"engines" help:"Name of the resource."`
	Engines []string `arg:"" help:"Engines as address[,kind[,zone[,state]]]."`
}

// Run validates the engine list, prints the service's address and serves the list until a signal.
func (c rosterCmd) Run(ctx context.Context) error {
	if err := config.CheckLoopback(c.Listen); err != nil {
		return err
	}
	var l eds.List
	for _, arg := range c.Engines {
		e, err := parseEngine(arg)
		if err != nil {
			return err
		}
		l.Engines = append(l.Engines, e)
	}
	if err := l.Validate(); err != nil {
		return err
	}
	r, err := standin.NewDiscoveryServer(c.Listen, c.Service)
	if err != nil {
		return err
	}
	defer r.Close()
	r.Set(l.Engines)
	fmt.Println("roster", r.Addr())
	<-ctx.Done()
	return nil
}

// parseEngine parses an argument of the form address[,kind[,zone[,state]]]. The state is active where it is
// left out.
func parseEngine(arg string) (eds.Engine, error) {
	parts := append(strings.Split(arg, ","), "", "", "")
	e := eds.Engine{Address: parts[0], Kind: parts[1], Zone: parts[2], State: eds.EngineState(parts[3])}
	if e.State == "" {
		e.State = eds.StateActive
	}
	_, _, err := net.SplitHostPort(e.Address)
	return e, err
}
