package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"cresspass/internal/rehearsal"
)

// rehearseRunCmd plays days through real dispatchers.
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

// allDays is the argument that stands for all days that ship with the program.
const allDays = "all"

// Values of --view that the code distinguishes. viewTerminal shows the day in the terminal. viewAuto does so
// if standard output is a terminal and Jobs is at most 1. Otherwise the day is shown as log lines.
const (
	viewAuto     = "auto"
	viewTerminal = "terminal"
)

// playedDay is the outcome of one day.
type playedDay struct {
	result *rehearsal.Result
	err    error
}

// Run plays the days, some at once, and prints their results in the order of the arguments.
func (c rehearseRunCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Stderr, c.Level, "text", new(slog.LevelVar))
	if err != nil {
		return err
	}
	if len(c.Days) == 1 && c.Days[0] == allDays {
		if c.Days, err = dayNames(); err != nil {
			return err
		}
	}
	broken := 0
	for _, results := range c.playAll(ctx, self, log) {
		played := <-results
		if played.err != nil {
			return played.err
		}
		if err := played.result.Print(os.Stdout); err != nil {
			return err
		}
		if !played.result.Kept() || len(played.result.Missed) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d days broke a rule or missed an expectation", broken, len(c.Days))
	}
	return nil
}

// playAll starts to play the days, at most Jobs at once, and returns a channel for the outcome of each, in
// the order of the arguments.
func (c rehearseRunCmd) playAll(ctx context.Context, self string, log *slog.Logger) []chan playedDay {
	all := make([]chan playedDay, len(c.Days))
	slots := make(chan struct{}, max(c.Jobs, 1))
	for i, name := range c.Days {
		all[i] = make(chan playedDay, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			result, err := c.play(ctx, self, name, log)
			all[i] <- playedDay{result, err}
		}()
	}
	return all
}

// play plays one day and writes its report where a folder is named. It keeps the traffic of a day that broke
// a rule.
func (c rehearseRunCmd) play(ctx context.Context, self, name string,
	log *slog.Logger) (*rehearsal.Result, error) {
	day, err := c.prepare(name)
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(c.Keep, day.Name)
	if c.Keep == "" {
		if dir, err = os.MkdirTemp("", "cresspass-rehearse-*"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	}
	options := rehearsal.Options{
		Seed:    c.Seed,
		Program: []string{self},
		Dir:     dir,
		Log:     log,
		Policy:  c.Policy,
		Mutate:  c.Mutate,
		NoState: c.NoState,
		Gossip:  c.Talk,
	}
	stopView := func() {}
	if c.View == viewTerminal || c.View == viewAuto && c.Jobs <= 1 && isTerminal(os.Stdout) {
		options.Observe, stopView = watchInTerminal(day)
	} else {
		options.Observe = statusLogger(log)
	}
	result, err := rehearsal.Play(ctx, day, options)
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
		return result, c.keepTraffic(day, result)
	}
	return result, nil
}

// prepare reads a day, draws its random faults from the seed, and applies the short form and the speed.
func (c rehearseRunCmd) prepare(name string) (*rehearsal.Day, error) {
	day, err := loadDay(name)
	if err != nil {
		return nil, err
	}
	day = day.Drawn(c.Seed)
	if c.Short {
		day = day.Scaled(day.Short)
	}
	if c.Speed > 0 && c.Speed != 1 {
		day = day.Scaled(1 / c.Speed)
	}
	return day, nil
}

// keepTraffic writes the traffic of a day that broke a rule to a folder of its own, for rehearse judge.
func (c rehearseRunCmd) keepTraffic(day *rehearsal.Day, result *rehearsal.Result) error {
	folder := filepath.Join(c.Broken,
		fmt.Sprintf("%s-%d-%s", day.Name, c.Seed, time.Now().Format("150405")))
	if err := result.StoreEvidence(folder); err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "the traffic is kept in", folder)
	return nil
}
