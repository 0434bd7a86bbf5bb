// Command cresspass is the dispatcher and its tools. serve and node run a dispatcher, check verifies its
// settings and health asks it for its state. engine, roster and load are stand-ins for its engines, its
// discovery service and its clients; demo runs a dispatcher with stand-in engines on one machine. rehearse
// and soak test dispatchers as processes under faults, and model tests them in simulated time. record works
// on recordings of queries.
//
// Each sub-command is a struct that kong fills from the command line; its flags are the struct's fields.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli is the command line; each field is a sub-command.
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

// parserOptions returns the options of the command-line parser.
func parserOptions() []kong.Option {
	return []kong.Option{kong.Name("cresspass"), kong.UsageOnError(),
		kong.Description("Admits queries and routes them to analytic engines, by PostgreSQL's protocol."),
		kong.BindSingletonProvider(signalContext)}
}

// signalContext returns the context that kong passes to each Run method with a context parameter; SIGINT and
// SIGTERM cancel it. The commands serve, node and rehearse dispatcher must not have the parameter: the
// context catches those signals, and a signal that arrives before the dispatcher itself listens for them
// would be lost.
func signalContext() (context.Context, error) {
	// The process ends with the command, so nothing needs to stop the notification.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx, nil
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version and the revision that the program was built from.
//
//nolint:unparam // kong requires that Run returns an error
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
