package main

import (
	"context"
	_ "embed"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"time"

	"cresspass/internal/config"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

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

func (c engineCmd) Run(ctx context.Context) error {
	if err := config.CheckLoopback(c.Listen); err != nil {
		return err
	}
	e, err := standin.NewEngine(
		standin.EngineConfig{Listen: c.Listen, Kind: testbed.EngineKind(c.Cores, c.MemoryMB),
			Cold:          c.Cold,
			ProgressEvery: c.Progress, ReportEvery: 200 * time.Millisecond, Window: 15 * time.Second},
	)
	if err != nil {
		return err
	}
	e.SetFaults(standin.Faults{Slow: c.Slow, Hang: c.Hang, LoseShare: c.Lose, ErrorShare: c.Errors, Cut: c.Cut,
		DieAfterRows: c.DieAfter, Garbage: c.Garbage, Full: c.Full})
	fmt.Println("engine", e.Addr())
	<-ctx.Done()
	e.Close()
	return nil
}

type rosterCmd struct {
	Listen  string   `default:"127.0.0.1:18000" help:"Address on the loopback interface."`
	Service string   `default:"engines" help:"Name of the resource."`
	Engines []string `arg:"" help:"Engines as address[,kind[,zone[,state]]]."`
}

func (c rosterCmd) Run(ctx context.Context) error {
	if err := config.CheckLoopback(c.Listen); err != nil {
		return err
	}
	var l eds.List
	for _, arg := range c.Engines {
		parts := append(strings.Split(arg, ","), "", "", "")
		e := eds.Engine{Address: parts[0], Kind: parts[1], Zone: parts[2], State: eds.EngineState(parts[3])}
		if e.State == "" {
			e.State = eds.StateActive
		}
		if _, _, err := net.SplitHostPort(e.Address); err != nil {
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

type demoCmd struct {
	Listen string        `default:"127.0.0.1:6432" help:"Address for clients, on the loopback interface."`
	Flight string        `default:"127.0.0.1:6433" help:"Address for clients of Flight SQL; empty: none."`
	For    time.Duration `help:"End after this time; 0: on a signal."`
	Level  string        `default:"warn" help:"Log level."`
}

//go:embed demo.hcl
var demoSettings string

func (c demoCmd) Run(ctx context.Context) error {
	cfg, err := config.Parse("demo.hcl", []byte(demoSettings))
	if err != nil {
		return err
	}
	if cfg.Listen = c.Listen; config.CheckLoopback(c.Listen) != nil {
		return config.CheckLoopback(c.Listen)
	}
	if cfg.Flight.Listen = c.Flight; c.Flight != "" && config.CheckLoopback(c.Flight) != nil {
		return config.CheckLoopback(c.Flight)
	}
	log, err := newLogger(os.Stderr, c.Level, "text", new(slog.LevelVar))
	if err != nil {
		return err
	}
	list, err := standin.NewDiscoveryServer("127.0.0.1:0", cfg.DiscoveryService)
	if err != nil {
		return err
	}
	defer list.Close()
	group := standin.NewDeduplicationGroup()
	var engines []eds.Engine
	for i := range 4 {
		e, err := standin.NewEngine(standin.EngineConfig{Listen: "127.0.0.1:0", Kind: testbed.EngineKind(8, 4096),
			Seed:          uint64(i),
			ProgressEvery: 2 * time.Second, ReportEvery: 200 * time.Millisecond, Window: 15 * time.Second,
			Group: group})
		if err != nil {
			return err
		}
		defer e.Close()
		engines = append(
			engines,
			eds.Engine{Address: e.Addr(), State: eds.StateActive, Kind: "std", Zone: "a"},
		)
	}
	list.Set(engines)
	cfg.DiscoveryAddr = list.Addr()
	s, err := server.Start(cfg, log)
	if err != nil {
		return err
	}
	defer s.Close()
	select {
	case <-s.ListReady():
	case <-ctx.Done():
		return nil
	}
	host, port, _ := net.SplitHostPort(s.Addr())
	fmt.Printf("dispatcher %s in front of %d engines; any user and database\n", s.Addr(), len(engines))
	fmt.Printf("  psql -h %s -p %s -U demo demo -c \"select 1 /*class='report',work_ms='300',rows='3'*/\"\n",
		host, port)
	if addr := s.FlightAddr(); addr != "" {
		fmt.Printf("  jdbc:arrow-flight-sql://%s/?useEncryption=false&user=demo&password=demo\n", addr)
	}
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	<-ctx.Done()
	st := s.Stats()
	fmt.Printf("taken %d: served %d, refused %d, failed %d, gone %d\n", st.Arrived, st.Served, st.Rejected,
		st.Failed, st.Abandoned)
	return nil
}
