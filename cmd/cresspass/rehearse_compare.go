package main

import (
	"context"
	"fmt"
	"os"

	"cresspass/internal/rehearsal"
	"cresspass/internal/simulation"
	"cresspass/internal/simulation/plot"
)

// rehearseNewcomersCmd compares ways in which dispatchers return: without gossip, cold with gossip, or as
// newcomers that learn from their peers.
type rehearseNewcomersCmd struct {
	Day    string `default:"half-return" help:"The day; it has one return."`
	Seeds  int    `default:"3" help:"Plays of each way."`
	First  int    `default:"1" help:"The first one's seed."`
	Jobs   int    `default:"3" help:"Days that are played at once."`
	Report string `help:"Folder for a page with plots."`
}

// Run plays the day in each way for each seed, and prints the figures of each way.
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
	printComparison(n, coldArm)
	return writePage(c.Report, "newcomers", plot.Newcomers(n, "processes on one machine, stand-in engines"))
}

// coldArm is the index of the arm "cold" in the comparisons of rehearse newcomers and model newcomers.
const coldArm = 1

// printComparison prints each figure of each arm with its error bar, and the difference from the same figure
// of the arm with the index against.
func printComparison(n *simulation.Comparison, against int) {
	for f := range simulation.Figures {
		fmt.Println(simulation.Figures[f].Name)
		for w, since := range n.Windows {
			for a, arm := range n.Arms {
				estimate := simulation.EstimateMean(n.Samples(a, w, f))
				differences := simulation.Differences(n.Samples(a, w, f), n.Samples(against, w, f))
				difference := simulation.EstimateMean(differences)
				fmt.Printf("  %4.0f s  %-24s %6.1f%% ±%4.1f   against cold %+6.1f ±%4.1f\n",
					since.Seconds(), arm.Name, 100*estimate.Mean, 100*estimate.HalfWidth,
					100*difference.Mean, 100*difference.HalfWidth)
			}
		}
	}
}

// rehearseFairnessCmd floods each frontend in turn and measures what calm clients get.
type rehearseFairnessCmd struct {
	Report string `help:"Folder for a page with plots."`
	Seed   uint64 `default:"1" help:"Seed of arrivals."`
}

// Run prints, for the calm clients of each frontend in each phase, the share of served requests and the p99
// latency, with and without quotas.
func (c rehearseFairnessCmd) Run(ctx context.Context) error {
	with, without, err := rehearsal.Fairness(ctx, c.Report, c.Seed)
	if err != nil {
		return err
	}
	fmt.Printf("%-12s %-20s %22s %22s\n", "calm clients", "stretch", "with shares", "without")
	for i, a := range with {
		b := without[i]
		fmt.Printf("%-12s %-20s %6.1f%% of %4d, %5d ms %6.1f%% of %4d, %5d ms\n", a.Protocol, a.Phase,
			a.Served*100, a.Requests, a.P99.Milliseconds(),
			b.Served*100, b.Requests, b.P99.Milliseconds())
	}
	return nil
}
