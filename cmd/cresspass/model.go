package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/go-echarts/go-echarts/v2/components"

	"cresspass/experiments"
	"cresspass/internal/recording"
	"cresspass/internal/simulation"
	"cresspass/internal/simulation/experiment"
	"cresspass/internal/simulation/plot"
	"cresspass/rehearsals"
)

type modelCmd struct {
	Run       modelRunCmd       `cmd:"" help:"Play experiments: days, arms, sweeps, with error bars."`
	Calibrate modelCalibrateCmd `cmd:"" help:"A day through sockets against the same day in the model."`
	Members   modelMembersCmd   `cmd:"" help:"Fleets that begin: time until all agree, bytes each says."`
	Newcomers modelNewcomersCmd `cmd:"" help:"Half of the dispatchers return: newcomers against cold starts."`
}

type modelMembersCmd struct {
	Sizes   []int  `default:"10,50,200,500" help:"Members."`
	Engines int    `default:"63" help:"Engines."`
	Seed    uint64 `default:"1" help:"Seed of all chance."`
	Storm   bool   `help:"The network loses a fifth, doubles and delays."`
	Report  string `help:"Folder for a page with plots."`
}

func (c modelMembersCmd) Run() error {
	w := simulation.CalmNetwork()
	if c.Storm {
		w = simulation.StormyNetwork()
	}
	for _, n := range c.Sizes {
		if n < 1 || n > 5000 || c.Engines < 1 {
			return fmt.Errorf("model members: %d members, %d engines", n, c.Engines)
		}
	}
	all, err := simulation.Parallel(len(c.Sizes), func(i int) (simulation.Convergence, error) {
		return simulation.Converge(c.Seed, c.Sizes[i], c.Engines, w), nil
	})
	if err != nil {
		return err
	}
	fmt.Println("members   agreed    known   return   kB/s each (mean, most)")
	for _, v := range all {
		fmt.Printf("%7d %7.1f s %6.1f s %6.1f s %6.1f %6.1f\n", v.Members, v.Agreed.Seconds(),
			v.Propagated.Seconds(),
			v.Reconverged.Seconds(), v.BytesSecond/1000, v.MaxBytesSecond/1000)
	}
	return writePage(c.Report, "members", plot.Convergence(all))
}

type modelNewcomersCmd struct {
	Seeds  int     `default:"12" help:"Independent days for each way."`
	Told   float64 `default:"0.33" help:"Costs are told as so many times the truth; 0: not at all."`
	Report string  `help:"Folder for a page with plots."`
}

func (c modelNewcomersCmd) Run() error {
	if c.Seeds < 2 || c.Seeds > 1000 || c.Told < 0 {
		return fmt.Errorf("model newcomers: %d seeds, costs told as %g of the truth", c.Seeds, c.Told)
	}
	arms := []simulation.Arm{
		{Name: "no talk", Gossip: simulation.NoGossip},
		{Name: "cold", Gossip: simulation.GossipOnly},
		{Name: "newcomers", Gossip: simulation.GossipAndBootstrap},
		{Name: "cold, 1 in 5 lies", Gossip: simulation.GossipOnly,
			Byzantine: 4},
		{Name: "newcomers, 1 in 5 lies", Gossip: simulation.GossipAndBootstrap, Byzantine: 4},
	}
	n, err := simulation.CompareNewcomers(arms, c.Seeds, c.Told)
	if err != nil {
		return err
	}
	printNewcomers(n, 1)
	return writePage(c.Report, "newcomers", plot.Newcomers(n, "model, simulated servers"))
}

// writePage writes a page with plots into a folder, where one is named.
func writePage(dir, name string, all []components.Charter) error {
	if dir == "" {
		return nil
	}
	return writeFile(filepath.Join(dir, name+".html"), func(w io.Writer) error {
		return plot.Page(w, "Model: "+name, all...)
	})
}

func writeFile(path string, to func(w io.Writer) error) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := to(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// printNewcomers prints each figure, and its difference from one of the arms.
func printNewcomers(n *simulation.Comparison, against int) {
	for f := range simulation.Figures {
		fmt.Println(simulation.Figures[f].Name)
		for w, since := range n.Windows {
			for a, arm := range n.Arms {
				b := simulation.EstimateMean(n.Samples(a, w, f))
				d := simulation.EstimateMean(simulation.Differences(n.Samples(a, w, f), n.Samples(against, w, f)))
				fmt.Printf("  %4.0f s  %-24s %6.1f%% ±%4.1f   against cold %+6.1f ±%4.1f\n",
					since.Seconds(), arm.Name, 100*b.Mean, 100*b.HalfWidth, 100*d.Mean, 100*d.HalfWidth)
			}
		}
	}
}

type modelRunCmd struct {
	Experiments []string `arg:"" help:"Names of experiments, or files; a day's name plays the day."`
	Seeds       int      `help:"Seeds at most, in place of the experiment's."`
	After       uint64   `help:"Seeds begin after this one: two runs can share none."`
	Report      string   `help:"Folder for a page with plots and the figures as text."`
}

// loadExperiment reads an experiment by the name it ships under, from a file, or one of a day.
func loadExperiment(name string) (*experiment.Experiment, error) {
	from := experiment.Sources{
		Day: func(name string) ([]byte, error) {
			for _, read := range []func() ([]byte, error){
				func() ([]byte, error) { return experiments.Files.ReadFile("days/" + name + ".hcl") },
				func() ([]byte, error) { return rehearsals.Days.ReadFile(name + ".hcl") },
			} {
				if src, err := read(); err == nil {
					return src, nil
				}
			}
			return os.ReadFile(name)
		},
		Shared: func(name string) ([]byte, error) {
			return rehearsals.Settings.ReadFile("settings/" + name + ".hcl")
		},
		Recording: func(path string) ([]recording.Entry, error) {
			_, all, err := loadRecording(path)
			return all, err
		},
	}
	src, err := experiments.Files.ReadFile(name + ".hcl")
	if err != nil {
		if _, dayErr := from.Day(name); dayErr == nil && !strings.HasSuffix(name, ".hcl") {
			src, err = []byte(fmt.Sprintf("day = %q\n", name)), nil
		} else {
			src, err = os.ReadFile(name)
		}
	}
	if err != nil {
		return nil, err
	}
	return experiment.Parse(name, src, from)
}

// gcPercent is the garbage collector's percentage for experiments: what they keep is little against what
// their events throw away.
const gcPercent = 400

func (c modelRunCmd) Run() error {
	debug.SetGCPercent(gcPercent)
	for _, name := range c.Experiments {
		e, err := loadExperiment(name)
		if err != nil {
			return err
		}
		if e.After = c.After; c.Seeds > 1 {
			e.Seeds = c.Seeds
		}
		for _, kind := range experiment.OmittedFigures(e.Day) {
			fmt.Fprintf(os.Stderr,
				"%s: trouble %s is left out: it is of bytes, or of clients that give up\n", name, kind)
		}
		r, err := e.Run(func(done string) { fmt.Fprintln(os.Stderr, name, done) })
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s (model, simulated servers)\n", name, e.Title)
		r.Print(os.Stdout)
		if c.Report == "" {
			continue
		}
		base := strings.TrimSuffix(filepath.Base(name), ".hcl")
		if err := writePage(c.Report, base, plot.Experiment(r)); err != nil {
			return err
		}
		if err := writeFile(filepath.Join(c.Report, base+".txt"), func(w io.Writer) error {
			r.Print(w)
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

type modelCalibrateCmd struct {
	Day   string `arg:"" help:"A day of the rehearsal."`
	Seeds int    `default:"5" help:"Plays of each."`
	Jobs  int    `default:"2" help:"Days that are played through sockets at once."`
	Short bool   `help:"The day's short form."`
}

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
	if c.Seeds < 2 {
		return fmt.Errorf("model calibrate: %d seeds", c.Seeds)
	}
	rows, err := experiment.Calibrate(ctx, d, []string{self}, c.Seeds, c.Jobs)
	if err != nil {
		return err
	}
	experiment.PrintRows(os.Stdout, rows)
	return nil
}
