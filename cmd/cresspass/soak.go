package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cresspass/internal/soak"
)

// soakCmd plays random faults through real dispatchers.
type soakCmd struct {
	Seed        uint64        `default:"1" help:"Seed of the first plan."`
	Seeds       int           `default:"1" help:"Number of plans, one after another."`
	For         time.Duration `default:"60s" help:"Length of each."`
	Dispatchers int           `default:"10" help:"Processes, 2 to 40."`
	Program     string        `help:"The dispatchers' program; this one, if none is named."`
	Faults      bool          `help:"The program was built with the tag faults: clocks step and calls fail."`
	Mutant      string        `help:"A guard to take out of that program, to see that it is missed."`
	Keep        string        `help:"Folder for logs; else they go with the run."`
	Plan        bool          `help:"Print the plans and play none."`
	Stress      bool          `help:"Plans in which the rare coincides: copies, crowds, stalls, few files."`
	Repeat      int           `default:"1" help:"Plays of each plan."`
}

// Bounds of the number of dispatchers: a soak needs peers, and one machine cannot run more processes well.
const (
	minSoakDispatchers = 2
	maxSoakDispatchers = 40
)

// errRulesBroken is wrapped by the error of a run in which a rule was broken.
var errRulesBroken = errors.New("soak: rules were broken")

// Run plays a plan of faults for each seed and prints its report. It returns errRulesBroken, wrapped, where a
// rule was broken.
func (c soakCmd) Run(ctx context.Context) error {
	if c.Dispatchers < minSoakDispatchers || c.Dispatchers > maxSoakDispatchers {
		return fmt.Errorf("soak: %d dispatchers, want %d to %d", c.Dispatchers, minSoakDispatchers,
			maxSoakDispatchers)
	}
	program := c.Program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return err
		}
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		plan := soak.NewPlan(soak.Options{Seed: seed, Duration: c.For, Dispatchers: c.Dispatchers,
			Faults: c.Faults, Stress: c.Stress})
		if c.Plan {
			fmt.Print(plan)
			continue
		}
		brokenPlays, err := c.playRepeatedly(ctx, plan, program)
		if err != nil {
			return err
		}
		broken += brokenPlays
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d of %d plays", errRulesBroken, broken, c.Seeds*c.Repeat)
	}
	return nil
}

// playRepeatedly plays a plan Repeat times and prints each report. It returns the number of plays in which a
// rule was broken.
func (c soakCmd) playRepeatedly(ctx context.Context, plan *soak.Plan, program string) (int, error) {
	broken := 0
	for number := 1; number <= c.Repeat && ctx.Err() == nil; number++ {
		report, err := c.play(ctx, plan, program, number)
		if err != nil {
			return broken, err
		}
		if err := report.Write(os.Stdout); err != nil {
			return broken, err
		}
		if report.Broken() {
			broken++
		}
	}
	if c.Repeat > 1 {
		fmt.Printf("seed %d: rules were broken in %d of %d plays\n", plan.Seed, broken, c.Repeat)
	}
	return broken, nil
}

// play plays one plan, with its logs in the Keep folder or in a temporary one.
func (c soakCmd) play(ctx context.Context, plan *soak.Plan, program string,
	number int) (*soak.Report, error) {
	dir := c.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	} else {
		dir = filepath.Join(dir, fmt.Sprint(plan.Seed))
	}
	if number > 1 { // each play has a folder of its own
		dir = filepath.Join(dir, fmt.Sprintf("play-%d", number))
	}
	return soak.Run(ctx, soak.Config{Plan: plan, Program: program, Dir: dir, Mutant: c.Mutant})
}
