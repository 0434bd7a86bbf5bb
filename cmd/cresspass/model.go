package main

import (
	"context"
	"fmt"
	"os"

	"cresspass/internal/simulation"
	"cresspass/internal/simulation/experiment"
	"cresspass/internal/simulation/plot"
)

// modelCmd runs experiments in simulated time.
type modelCmd struct {
	Run       modelRunCmd       `cmd:"" help:"Play experiments: days, arms, sweeps, with error bars."`
	Calibrate modelCalibrateCmd `cmd:"" help:"A day through sockets against the same day in the model."`
	Members   modelMembersCmd   `cmd:"" help:"Fleets that begin: time until all agree, bytes each says."`
	Newcomers modelNewcomersCmd `cmd:"" help:"Half of the dispatchers return: newcomers against cold starts."`
}

// modelMembersCmd measures how long simulated fleets of different sizes take until their members agree.
type modelMembersCmd struct {
	Sizes   []int  `default:"10,50,200,500" help:"Members."`
	Engines int    `default:"63" help:"Engines."`
	Seed    uint64 `default:"1" help:"Seed of all chance."`
	Storm   bool   `help:"The network loses a fifth, doubles and delays."`
	Report  string `help:"Folder for a page with plots."`
}

// maxModelMembers bounds the size of a simulated fleet.
const maxModelMembers = 5000

// Run simulates the start of a fleet of each size and prints its convergence times and its traffic.
func (c modelMembersCmd) Run() error {
	network := simulation.CalmNetwork()
	if c.Storm {
		network = simulation.StormyNetwork()
	}
	for _, n := range c.Sizes {
		if n < 1 || n > maxModelMembers || c.Engines < 1 {
			return fmt.Errorf("model members: %d members and %d engines are out of bounds", n, c.Engines)
		}
	}
	all, err := simulation.Parallel(len(c.Sizes), func(i int) (simulation.Convergence, error) {
		return simulation.Converge(c.Seed, c.Sizes[i], c.Engines, network), nil
	})
	if err != nil {
		return err
	}
	fmt.Println("members   agreed    known   return   kB/s each (mean, most)")
	for _, v := range all {
		fmt.Printf("%7d %7.1f s %6.1f s %6.1f s %6.1f %6.1f\n", v.Members, v.Agreed.Seconds(),
			v.Propagated.Seconds(), v.Reconverged.Seconds(), v.BytesSecond/1000, v.MaxBytesSecond/1000)
	}
	return writePage(c.Report, "members", plot.Convergence(all))
}

// modelNewcomersCmd compares, in simulated time, ways in which half of the dispatchers return: without
// gossip, cold with gossip, or as newcomers that learn from their peers. The ways with gossip are also
// simulated with one member in five that sends forged reports.
type modelNewcomersCmd struct {
	Seeds  int     `default:"12" help:"Independent days for each way."`
	Told   float64 `default:"0.33" help:"Costs are told as so many times the truth; 0: not at all."`
	Report string  `help:"Folder for a page with plots."`
}

// Bounds of the number of seeds of a comparison.
const (
	minModelSeeds = 2
	maxModelSeeds = 1000
)

// Run simulates independent days for each way and prints the figures of each.
func (c modelNewcomersCmd) Run() error {
	if c.Seeds < minModelSeeds || c.Seeds > maxModelSeeds || c.Told < 0 {
		return fmt.Errorf("model newcomers: %d seeds, costs told as %g of the truth: out of bounds", c.Seeds,
			c.Told)
	}
	arms := []simulation.Arm{
		{Name: "no talk", Gossip: simulation.NoGossip},
		{Name: "cold", Gossip: simulation.GossipOnly},
		{Name: "newcomers", Gossip: simulation.GossipAndBootstrap},
		{Name: "cold, 1 in 5 lies", Gossip: simulation.GossipOnly, Byzantine: 4},
		{Name: "newcomers, 1 in 5 lies", Gossip: simulation.GossipAndBootstrap, Byzantine: 4},
	}
	comparison, err := simulation.CompareNewcomers(arms, c.Seeds, c.Told)
	if err != nil {
		return err
	}
	printComparison(comparison, coldArm)
	return writePage(c.Report, "newcomers", plot.Newcomers(comparison, "model, simulated servers"))
}

// modelCalibrateCmd compares the figures of the simulation with those of real processes on the same day.
type modelCalibrateCmd struct {
	Day   string `arg:"" help:"A day of the rehearsal."`
	Seeds int    `default:"5" help:"Plays of each."`
	Jobs  int    `default:"2" help:"Days that are played through sockets at once."`
	Short bool   `help:"The day's short form."`
}

// Run plays a day through sockets and in the simulation, and prints the figures of both.
func (c modelCalibrateCmd) Run(ctx context.Context) error {
	d, err := loadDay(c.Day)
	if err != nil {
		return err
	}
	if c.Short {
		d = d.Scaled(d.Short)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Seeds < minModelSeeds {
		return fmt.Errorf("model calibrate: %d seeds are too few", c.Seeds)
	}
	rows, err := experiment.Calibrate(ctx, d, []string{self}, c.Seeds, c.Jobs)
	if err != nil {
		return err
	}
	return experiment.PrintRows(os.Stdout, rows)
}
