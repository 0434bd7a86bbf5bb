package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/config"
	"cresspass/internal/daemon"
	"cresspass/internal/dispatch"
	"cresspass/internal/rehearsal"
	"cresspass/internal/rehearsal/rulecheck"
	"cresspass/internal/server"
	"cresspass/internal/simulation/baseline"
	"cresspass/rehearsals"
)

// rehearseCmd plays days of faults through real dispatchers and judges the rules from the sockets.
type rehearseCmd struct {
	Run        rehearseRunCmd        `cmd:"" help:"Play days and judge the seven rules; exit 1 if one broke."`
	List       rehearseListCmd       `cmd:"" help:"List the days that ship with the program."`
	Judge      rehearseJudgeCmd      `cmd:"" help:"Judge the folder of a broken day again."`
	Show       rehearseShowCmd       `cmd:"" help:"Show a day's timeline."`
	Dispatcher rehearseDispatcherCmd `cmd:"" hidden:"" help:"A dispatcher with another decider, for run."`
	Newcomers  rehearseNewcomersCmd  `cmd:"" help:"Half a fleet returns: newcomers against cold starts."`
	Fairness   rehearseFairnessCmd   `cmd:"" help:"Flood each front; measure what calm clients get."`
	Check      rehearseCheckCmd      `cmd:"" help:"Read and verify a day's file."`
}

// loadDay reads the day that ships under the name, or else takes the name as the path of a file.
func loadDay(name string) (*rehearsal.Day, error) {
	src, err := rehearsals.Days.ReadFile(name + ".hcl")
	if errors.Is(err, os.ErrNotExist) {
		src, err = os.ReadFile(name)
		name = strings.TrimSuffix(filepath.Base(name), ".hcl")
	}
	if err != nil {
		return nil, err
	}
	return rehearsal.ParseDay(name, src, func(name string) ([]byte, error) {
		return rehearsals.Settings.ReadFile("settings/" + name + ".hcl")
	})
}

// dayNames returns the names of the days that ship with the program.
func dayNames() ([]string, error) {
	files, err := rehearsals.Days.ReadDir(".")
	if err != nil {
		return nil, err
	}
	var names []string
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".hcl"))
	}
	return names, nil
}

// rehearseListCmd lists the days that ship with the program.
type rehearseListCmd struct{}

// Run prints each day with its length and title.
func (rehearseListCmd) Run() error {
	names, err := dayNames()
	if err != nil {
		return err
	}
	for _, name := range names {
		d, err := loadDay(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-20s %v  %s\n", name, d.Length, d.Title)
	}
	return nil
}

// rehearseCheckCmd verifies a day's file.
type rehearseCheckCmd struct {
	File string `arg:"" help:"A day's file."`
}

// Run prints that the file is good, or returns an error that describes what is wrong with it.
func (c rehearseCheckCmd) Run() error {
	if _, err := loadDay(c.File); err != nil {
		return err
	}
	fmt.Println(c.File + ": good")
	return nil
}

// rehearseShowCmd shows a day's timeline.
type rehearseShowCmd struct {
	Day  string `arg:"" help:"Name of a day, or a file."`
	Seed uint64 `default:"1" help:"Seed of random troubles."`
}

// timelineWidth is the width of a timeline in characters; it stands for the day's whole length.
const timelineWidth = 60

// Run prints a line for each fault of a day, with a bar from its start to its end.
func (c rehearseShowCmd) Run() error {
	d, err := loadDay(c.Day)
	if err != nil {
		return err
	}
	d = d.Drawn(c.Seed)
	fmt.Printf("%s: %s\n%d engines, %d dispatchers, %v\n", d.Name, d.Title, d.Engines, d.Dispatchers,
		d.Length)
	for _, t := range d.Faults {
		from := int(int64(t.At) * timelineWidth / int64(d.Length))
		length := min(max(1, int(int64(t.For)*timelineWidth/int64(d.Length))), timelineWidth-from)
		fmt.Printf("%-12s |%s%s%s| at %v for %v, engines %v, dispatcher %d, size %g\n", t.Kind,
			strings.Repeat(" ", from), strings.Repeat("=", length),
			strings.Repeat(" ", timelineWidth-from-length),
			t.At.Round(time.Second), t.For.Round(time.Second), t.Engines, t.Dispatcher, t.Size)
	}
	return nil
}

// rehearseJudgeCmd judges the rules again on the traffic that a broken day left.
type rehearseJudgeCmd struct {
	Folder string `arg:"" help:"Folder that a broken day left."`
}

// errRuleBroken is returned where the kept traffic breaks a rule.
var errRuleBroken = errors.New("a rule broke")

// Run prints the verdict of each rule on the kept traffic.
func (c rehearseJudgeCmd) Run() error {
	name, seed, verdicts, err := rehearsal.CheckEvidence(c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("%s, seed %d\n", name, seed)
	for _, v := range verdicts {
		fmt.Println(v)
	}
	if !rulecheck.AllKept(verdicts) {
		return errRuleBroken
	}
	return nil
}

// rehearseDispatcherCmd runs a dispatcher as serve does, with another policy in place of the module or with
// the module's guard of one rule removed. If rehearse run is given --policy or --mutate, it starts its
// dispatchers by this command.
type rehearseDispatcherCmd struct {
	serveCmd
	Policy string `help:"Policy in the module's place."`
	Mutate int    `help:"Rule whose guard is taken away."`
}

// Run serves with the decider that Policy and Mutate choose in place of the module.
func (c rehearseDispatcherCmd) Run() error {
	options, err := c.options()
	if err != nil {
		return err
	}
	options.StartServer = func(cfg *config.Config, log *slog.Logger,
		ln net.Listener) (*server.Server, error) {
		module := cfg.Module
		baseline.LoosenRule(c.Mutate, &cfg.Module)
		cfg.AllowViolations = c.Mutate != 0
		return server.StartWithDecider(cfg, log, ln, func(cresspass.Config) (dispatch.Decider, error) {
			return baseline.New(c.Policy, c.Mutate, module)
		})
	}
	return daemon.Run(context.Background(), *options)
}
