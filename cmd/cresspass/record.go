package main

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"time"

	"cresspass/internal/recording"
)

type recordCmd struct {
	Show  recordShowCmd  `cmd:"" help:"What recordings hold: classes, outcomes, rates, shares."`
	Cut   recordCutCmd   `cmd:"" help:"A part of a recording."`
	Merge recordMergeCmd `cmd:"" help:"Several recordings, as those of several dispatchers, as one."`
	Scale recordScaleCmd `cmd:"" help:"More or less traffic over other dispatchers, its unevenness kept."`
}

// loadRecording reads a recording, and says what of it could not be read.
func loadRecording(path string) (recording.Header, []recording.Entry, error) {
	h, all, skipped, err := recording.Load(path)
	if errors.Is(err, recording.ErrTruncated) || errors.Is(err, recording.ErrDamaged) {
		fmt.Fprintf(os.Stderr, "%s: %v; %d entries before that are used\n", path, err, len(all))
		err = nil
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d damaged blocks left out\n", path, skipped)
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return h, all, err
}

// loadMerged reads recordings as one, their times by the wall clock of the earliest.
func loadMerged(paths []string) (recording.Header, []recording.Entry, error) {
	var heads []recording.Header
	var lists [][]recording.Entry
	for _, path := range paths {
		h, all, err := loadRecording(path)
		if err != nil {
			return h, nil, err
		}
		heads, lists = append(heads, h), append(lists, all)
	}
	first := heads[0]
	for _, h := range heads {
		if h.Start.Before(first.Start) {
			first = h
		}
	}
	var shifts []time.Duration
	for _, h := range heads {
		shifts = append(shifts, h.Start.Sub(first.Start))
	}
	return first, recording.Merge(lists, shifts), nil
}

// saveRecording writes a recording to a file that must not exist: a recording is never lost to a slip.
func saveRecording(path string, h recording.Header, all []recording.Entry) error {
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s exists", path)
	}
	if err := recording.Save(path, h, all); err != nil {
		return err
	}
	fmt.Printf("%s: %d entries\n", path, len(all))
	return nil
}

type recordShowCmd struct {
	Files []string `arg:"" help:"Recordings."`
}

func (c recordShowCmd) Run() error {
	h, all, err := loadMerged(c.Files)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		fmt.Println("no entries")
		return nil
	}
	length := max(all[len(all)-1].ArrivedAt, time.Millisecond)
	fmt.Printf("from %s, %s, %d entries, %.1f a second\n", h.Start.UTC().Format(time.RFC3339),
		length.Round(time.Millisecond), len(all), float64(len(all))/length.Seconds())
	type sum struct {
		n    int
		ends [4]int
		took []time.Duration
	}
	classes, shapes := map[string]*sum{}, map[uint64]bool{}
	for _, e := range all {
		s := classes[e.Class]
		if s == nil {
			s = &sum{}
			classes[e.Class] = s
		}
		s.n++
		s.ends[e.Outcome]++
		if e.Outcome == recording.Served {
			s.took = append(s.took, e.Elapsed)
		}
		shapes[e.Fingerprint] = true
	}
	var names []string
	for name := range classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s := classes[name]
		sort.Slice(s.took, func(i, j int) bool { return s.took[i] < s.took[j] })
		at := func(q float64) time.Duration {
			if len(s.took) == 0 {
				return 0
			}
			return s.took[int(q*float64(len(s.took)-1))].Round(time.Millisecond)
		}
		fmt.Printf("  %-14s %7d: served %d, refused %d, failed %d, given up %d; in %s (p50), %s (p99)\n",
			name, s.n, s.ends[0], s.ends[1], s.ends[2], s.ends[3], at(0.5), at(0.99))
	}
	shares := recording.Shares(all)
	tenth := 0.0
	for _, v := range shares[:max(1, len(shares)/10)] {
		tenth += v
	}
	fmt.Printf("%d shapes of text; %d dispatchers, the busiest tenth has %.1f%%\n", len(shapes),
		len(shares), 100*tenth)
	return nil
}

type recordCutCmd struct {
	File string        `arg:"" help:"Recording."`
	Out  string        `arg:"" help:"File to write."`
	From time.Duration `help:"Since its start."`
	To   time.Duration `default:"1000000h" help:"Since its start."`
}

func (c recordCutCmd) Run() error {
	h, all, err := loadRecording(c.File)
	if err != nil {
		return err
	}
	if c.To <= c.From {
		return fmt.Errorf("record cut: from %v to %v is nothing", c.From, c.To)
	}
	h.Start = h.Start.Add(c.From)
	return saveRecording(c.Out, h, recording.Cut(all, c.From, c.To))
}

type recordMergeCmd struct {
	Out   string   `arg:"" help:"File to write."`
	Files []string `arg:"" help:"Recordings."`
}

func (c recordMergeCmd) Run() error {
	h, all, err := loadMerged(c.Files)
	if err != nil {
		return err
	}
	return saveRecording(c.Out, h, all)
}

type recordScaleCmd struct {
	File        string        `arg:"" help:"Recording."`
	Out         string        `arg:"" help:"File to write."`
	Times       float64       `default:"1" help:"So many times the traffic."`
	Dispatchers int           `help:"Over so many dispatchers; 0: over its own."`
	Jitter      time.Duration `default:"50ms" help:"Copies of a query are put so far apart at most."`
	Seed        uint64        `default:"1" help:"Of what is left to chance."`
}

func (c recordScaleCmd) Run() error {
	h, all, err := loadRecording(c.File)
	if err != nil {
		return err
	}
	if c.Times <= 0 || c.Times > 1000 || c.Dispatchers < 0 || c.Dispatchers > 100000 {
		return fmt.Errorf("record scale: %g times over %d dispatchers", c.Times, c.Dispatchers)
	}
	var names []string
	for i := range c.Dispatchers {
		names = append(names, fmt.Sprintf("d%03d", i))
	}
	return saveRecording(c.Out, h, recording.Scale(all, c.Times, names, c.Jitter, c.Seed))
}
