package main

import (
	"context"
	_ "embed"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"cresspass/internal/config"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

// demoCmd runs a dispatcher, stand-in engines and a stand-in discovery service in one process.
type demoCmd struct {
	Listen string        `default:"127.0.0.1:6432" help:"Address for clients, on the loopback interface."`
	Flight string        `default:"127.0.0.1:6433" help:"Address for clients of Flight SQL; empty: none."`
	For    time.Duration `help:"End after this time; 0: on a signal."`
	Level  string        `default:"warn" help:"Log level."`
}

// demoSettings is the dispatcher's settings file; it is parsed like any other.
//
//go:embed demo.hcl
var demoSettings string

// demoEngines is the number of stand-in engines.
const demoEngines = 4

// Run starts the stand-ins and the dispatcher and prints how to connect. It ends on a signal, or after c.For
// if that is not 0, and then prints how many queries had each outcome.
func (c demoCmd) Run(ctx context.Context) error {
	cfg, err := c.settings()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Stderr, c.Level, "text", new(slog.LevelVar))
	if err != nil {
		return err
	}
	discovery, err := standin.NewDiscoveryServer("127.0.0.1:0", cfg.DiscoveryService)
	if err != nil {
		return err
	}
	defer discovery.Close()
	group := standin.NewDeduplicationGroup()
	var engines []eds.Engine
	for i := range demoEngines {
		e, err := newDemoEngine(uint64(i), group)
		if err != nil {
			return err
		}
		defer e.Close()
		engines = append(engines,
			eds.Engine{Address: e.Addr(), State: eds.StateActive, Kind: "std", Zone: "a"})
	}
	discovery.Set(engines)
	cfg.DiscoveryAddr = discovery.Addr()
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
	if err := printConnect(s); err != nil {
		return err
	}
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	<-ctx.Done()
	stats := s.Stats()
	fmt.Printf("taken %d: served %d, refused %d, failed %d, gone %d\n", stats.Arrived, stats.Served,
		stats.Rejected, stats.Failed, stats.Abandoned)
	return nil
}

// settings parses demoSettings and sets the addresses of the command line, which must be loopback addresses.
func (c demoCmd) settings() (*config.Config, error) {
	cfg, err := config.Parse("demo.hcl", []byte(demoSettings))
	if err != nil {
		return nil, err
	}
	cfg.Listen, cfg.Flight.Listen = c.Listen, c.Flight
	if err := config.CheckLoopback(c.Listen); err != nil {
		return nil, err
	}
	if c.Flight == "" {
		return cfg, nil
	}
	return cfg, config.CheckLoopback(c.Flight)
}

// newDemoEngine starts a stand-in engine, with the cores and the memory of kind "std" in demo.hcl.
func newDemoEngine(seed uint64, group *standin.DeduplicationGroup) (*standin.Engine, error) {
	return standin.NewEngine(standin.EngineConfig{
		Listen:        "127.0.0.1:0",
		Kind:          testbed.EngineKind(8, 4096),
		Seed:          seed,
		ProgressEvery: 2 * time.Second,
		ReportEvery:   engineReportInterval,
		Window:        engineDeduplicationWindow,
		Group:         group,
	})
}

// printConnect prints how clients connect to the dispatcher, over PostgreSQL's protocol and Flight SQL.
func printConnect(s *server.Server) error {
	host, port, err := net.SplitHostPort(s.Addr())
	if err != nil {
		return err
	}
	fmt.Printf("dispatcher %s in front of %d engines; any user and database\n", s.Addr(), demoEngines)
	fmt.Printf("  psql -h %s -p %s -U demo demo -c \"select 1 /*class='report',work_ms='300',rows='3'*/\"\n",
		host, port)
	if addr := s.FlightAddr(); addr != "" {
		fmt.Printf("  jdbc:arrow-flight-sql://%s/?useEncryption=false&user=demo&password=demo\n", addr)
	}
	return nil
}
