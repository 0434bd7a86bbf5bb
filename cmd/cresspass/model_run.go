package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"cresspass/experiments"
	"cresspass/internal/recording"
	"cresspass/internal/simulation/experiment"
	"cresspass/internal/simulation/plot"
	"cresspass/rehearsals"
)

// modelRunCmd plays experiments in the simulation.
type modelRunCmd struct {
	Experiments []string `arg:"" help:"Names of experiments, or files; a day's name plays the day."`
	Seeds       int      `help:"Seeds at most, in place of the experiment's."`
	After       uint64   `help:"Seeds begin after this one: two runs can share none."`
	Report      string   `help:"Folder for a page with plots and the figures as text."`
}

// experimentSources reads what an experiment may refer to: days, shared settings and recordings.
var experimentSources = experiment.Sources{
	Day: readDay,
	Shared: func(name string) ([]byte, error) {
		return rehearsals.Settings.ReadFile("settings/" + name + ".hcl")
	},
	Recording: func(path string) ([]recording.Entry, error) {
		_, entries, err := loadRecording(path)
		return entries, err
	},
}

// readDay returns the source of a day. It looks among the days that ship with the experiments, then among
// those of the rehearsals, and then takes the name as a path.
func readDay(name string) ([]byte, error) {
	if src, err := experiments.Files.ReadFile("days/" + name + ".hcl"); err == nil {
		return src, nil
	}
	if src, err := rehearsals.Days.ReadFile(name + ".hcl"); err == nil {
		return src, nil
	}
	return os.ReadFile(name)
}

// loadExperiment reads the experiment that ships under the name. Where there is none, a day's name gives an
// experiment that plays this day, and any other name is the path of a file.
func loadExperiment(name string) (*experiment.Experiment, error) {
	src, err := experiments.Files.ReadFile(name + ".hcl")
	if err != nil {
		if _, dayErr := readDay(name); dayErr == nil && !strings.HasSuffix(name, ".hcl") {
			src, err = []byte(fmt.Sprintf("day = %q\n", name)), nil
		} else {
			src, err = os.ReadFile(name)
		}
	}
	if err != nil {
		return nil, err
	}
	return experiment.Parse(name, src, experimentSources)
}

// gcPercent is the garbage collector's target for experiments. It is high because the live heap is small
// against the garbage of the simulated events.
const gcPercent = 400

// Run plays the experiments one after another.
func (c modelRunCmd) Run() error {
	debug.SetGCPercent(gcPercent)
	for _, name := range c.Experiments {
		if err := c.play(name); err != nil {
			return err
		}
	}
	return nil
}

// play plays one experiment, prints its figures and, where a folder is named, writes its report.
func (c modelRunCmd) play(name string) error {
	e, err := loadExperiment(name)
	if err != nil {
		return err
	}
	e.SeedOffset = c.After
	if c.Seeds > 1 {
		e.Seeds = c.Seeds
	}
	for _, kind := range experiment.OmittedFaults(e.Day) {
		fmt.Fprintf(os.Stderr,
			"%s: trouble %s is left out: it is of bytes, or of clients that give up\n", name, kind)
	}
	result, err := e.Run(func(done string) { fmt.Fprintln(os.Stderr, name, done) })
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s (model, simulated servers)\n", name, e.Title)
	if err := result.Print(os.Stdout); err != nil {
		return err
	}
	if c.Report == "" {
		return nil
	}
	base := strings.TrimSuffix(filepath.Base(name), ".hcl")
	if err := writePage(c.Report, base, plot.Experiment(result)); err != nil {
		return err
	}
	return writeFile(filepath.Join(c.Report, base+".txt"), result.Print)
}
