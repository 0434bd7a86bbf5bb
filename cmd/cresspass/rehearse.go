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
	"cresspass/internal/simulation/plot"
	"cresspass/rehearsals"
)

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

type rehearseRunCmd struct {
	Days    []string `arg:"" help:"Names of days, files, or all."`
	Short   bool     `help:"Play the short form."`
	Seed    uint64   `default:"1" help:"Seed of arrivals and chances."`
	Keep    string   `help:"Folder for settings and logs; without it they go to a temporary one."`
	Level   string   `default:"warn" help:"Log level."`
	NoState bool     `help:"Dispatchers keep nothing but their lists."`
	Talk    string   `enum:",no,cold,ask" default:"" help:"How dispatchers talk: no, cold or ask."`
	Policy  string   `help:"round-robin or least-connections in the module's place."`
	Mutate  int      `help:"The module without the guard of this rule, 1 to 7."`
	Jobs    int      `default:"1" help:"Days that are played at once."`
	Report  string   `help:"Folder for a page with plots and the same as JSON, for each day."`
	Broken  string   `default:"broken" help:"Folder for the traffic of days whose rules broke."`
	View    string   `default:"auto" enum:"auto,terminal,lines" help:"How the day is shown while it runs."`
	Speed   float64  `default:"1" help:"Times of a day are divided by this; rates stay."`
}

// loadDay reads a day by the name it ships under, or from a file.
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

func dayNames() ([]string, error) {
	files, err := rehearsals.Days.ReadDir(".")
	if err != nil {
		return nil, err
	}
	var out []string
	for _, f := range files {
		out = append(out, strings.TrimSuffix(f.Name(), ".hcl"))
	}
	return out, nil
}

func (c rehearseRunCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Stderr, c.Level, "text", new(slog.LevelVar))
	if err != nil {
		return err
	}
	if len(c.Days) == 1 && c.Days[0] == "all" {
		if c.Days, err = dayNames(); err != nil {
			return err
		}
	}
	type played struct {
		result *rehearsal.Result
		err    error
	}
	results := make([]chan played, len(c.Days))
	slots := make(chan struct{}, max(c.Jobs, 1))
	for i, name := range c.Days {
		results[i] = make(chan played, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			result, err := c.play(ctx, self, name, log)
			results[i] <- played{result, err}
		}()
	}
	broken := 0
	for _, ch := range results {
		p := <-ch
		if p.err != nil {
			return p.err
		}
		p.result.Print(os.Stdout)
		if !p.result.Kept() || len(p.result.Missed) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d days broke a rule or missed an expectation", broken, len(c.Days))
	}
	return nil
}

func (c rehearseRunCmd) play(ctx context.Context, self, name string, log *slog.Logger) (*rehearsal.Result,
	error) {
	d, err := loadDay(name)
	if err != nil {
		return nil, err
	}
	d = d.Drawn(c.Seed)
	if c.Short {
		d = d.Scaled(d.Short)
	}
	if c.Speed > 0 && c.Speed != 1 {
		d = d.Scaled(1 / c.Speed)
	}
	dir := filepath.Join(c.Keep, d.Name)
	if c.Keep == "" {
		if dir, err = os.MkdirTemp("", "cresspass-rehearse-*"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	o := rehearsal.Options{Seed: c.Seed, Program: []string{self}, Dir: dir, Log: log, Policy: c.Policy,
		Mutate:  c.Mutate,
		NoState: c.NoState, Gossip: c.Talk}
	stopView := func() {}
	if c.View == "terminal" || c.View == "auto" && c.Jobs <= 1 && isTerminal(os.Stdout) {
		o.Observe, stopView = watchInTerminal(d)
	} else {
		o.Observe = statusLogger(log)
	}
	result, err := rehearsal.Play(ctx, d, o)
	stopView()
	if err != nil {
		return nil, err
	}
	if c.Report != "" {
		if err := result.Report(c.Report); err != nil {
			return nil, err
		}
	}
	if !result.Kept() {
		folder := filepath.Join(c.Broken, fmt.Sprintf("%s-%d-%s", d.Name, c.Seed,
			time.Now().Format("150405")))
		if err := result.StoreEvidence(folder); err != nil {
			return nil, err
		}
		fmt.Fprintln(os.Stderr, "the traffic is kept in", folder)
	}
	return result, nil
}

type rehearseJudgeCmd struct {
	Folder string `arg:"" help:"Folder that a broken day left."`
}

// Run prints the verdicts on the kept traffic.
func (c rehearseJudgeCmd) Run() error {
	name, seed, all, err := rehearsal.JudgeAgain(c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("%s, seed %d\n", name, seed)
	for _, v := range all {
		fmt.Println(v)
	}
	if !rulecheck.AllKept(all) {
		return errors.New("a rule broke")
	}
	return nil
}

type rehearseShowCmd struct {
	Day  string `arg:"" help:"Name of a day, or a file."`
	Seed uint64 `default:"1" help:"Seed of random troubles."`
}

// Run prints a day's timeline: each trouble as a bar over the day's length.
func (c rehearseShowCmd) Run() error {
	d, err := loadDay(c.Day)
	if err != nil {
		return err
	}
	d = d.Drawn(c.Seed)
	fmt.Printf("%s: %s\n%d engines, %d dispatchers, %v\n", d.Name, d.Title, d.Engines, d.Dispatchers,
		d.Length)
	const width = 60
	for _, t := range d.Faults {
		from := int(int64(t.At) * width / int64(d.Length))
		long := min(max(1, int(int64(t.For)*width/int64(d.Length))), width-from)
		fmt.Printf("%-12s |%s%s%s| at %v for %v, engines %v, dispatcher %d, size %g\n", t.Kind,
			strings.Repeat(" ", from), strings.Repeat("=", long), strings.Repeat(" ", width-from-long),
			t.At.Round(time.Second), t.For.Round(time.Second), t.Engines, t.Dispatcher, t.Size)
	}
	return nil
}

type rehearseDispatcherCmd struct {
	serveCmd
	Policy string `help:"Policy in the module's place."`
	Mutate int    `help:"Rule whose guard is taken away."`
}

// Run is serve with a decider of the kit.
func (c rehearseDispatcherCmd) Run() error {
	o, err := c.options()
	if err != nil {
		return err
	}
	o.StartServer = func(cfg *config.Config, log *slog.Logger, ln net.Listener) (*server.Server, error) {
		module := cfg.Module
		baseline.LoosenRule(c.Mutate, &cfg.Module)
		cfg.AllowViolations = c.Mutate != 0
		return server.StartWithDecider(cfg, log, ln, func(cresspass.Config) (dispatch.Decider, error) {
			return baseline.New(c.Policy, c.Mutate, module)
		})
	}
	return daemon.Run(context.Background(), *o)
}

type rehearseNewcomersCmd struct {
	Day    string `default:"half-return" help:"The day; it has one return."`
	Seeds  int    `default:"3" help:"Plays of each way."`
	First  int    `default:"1" help:"The first one's seed."`
	Jobs   int    `default:"3" help:"Days that are played at once."`
	Report string `help:"Folder for a page with plots."`
}

func (c rehearseNewcomersCmd) Run(ctx context.Context) error {
	d, err := loadDay(c.Day)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	n, err := rehearsal.CompareReturns(ctx, d, []string{self}, c.First, c.Seeds, c.Jobs)
	if err != nil {
		return err
	}
	printNewcomers(n, 1)
	return writePage(c.Report, "newcomers", plot.Newcomers(n, "processes on one machine, stand-in engines"))
}

type rehearseFairnessCmd struct {
	Report string `help:"Folder for a page with plots."`
	Seed   uint64 `default:"1" help:"Seed of arrivals."`
}

// Run prints what calm clients of each front got in each stretch, with and without shares.
func (c rehearseFairnessCmd) Run(ctx context.Context) error {
	with, without, err := rehearsal.Fairness(ctx, c.Report, c.Seed)
	if err != nil {
		return err
	}
	fmt.Printf("%-12s %-20s %22s %22s\n", "calm clients", "stretch", "with shares", "without")
	for i, v := range with {
		w := without[i]
		fmt.Printf("%-12s %-20s %6.1f%% of %4d, %5d ms %6.1f%% of %4d, %5d ms\n", v.Front, v.Phase,
			v.Served*100,
			v.Tries, v.P99.Milliseconds(), w.Served*100, w.Tries, w.P99.Milliseconds())
	}
	return nil
}

type rehearseListCmd struct{}

func (rehearseListCmd) Run() error {
	all, err := dayNames()
	if err != nil {
		return err
	}
	for _, name := range all {
		d, err := loadDay(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-20s %v  %s\n", name, d.Length, d.Title)
	}
	return nil
}

type rehearseCheckCmd struct {
	File string `arg:"" help:"A day's file."`
}

func (c rehearseCheckCmd) Run() error {
	if _, err := loadDay(c.File); err != nil {
		return err
	}
	fmt.Println(c.File + ": good")
	return nil
}
