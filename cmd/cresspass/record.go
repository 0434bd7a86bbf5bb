package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"cresspass/internal/recording"
)

// recordCmd works on recordings of queries.
type recordCmd struct {
	Show  recordShowCmd  `cmd:"" help:"What recordings hold: classes, outcomes, rates, shares."`
	Cut   recordCutCmd   `cmd:"" help:"A part of a recording."`
	Merge recordMergeCmd `cmd:"" help:"Several recordings, as those of several dispatchers, as one."`
	Scale recordScaleCmd `cmd:"" help:"More or less traffic over other dispatchers, its unevenness kept."`
}

// loadRecording reads a recording. Of a truncated or damaged recording it returns the entries that can be
// read, and reports the rest on standard error.
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

// loadMerged reads recordings and merges them. Times count from the start of the earliest recording by wall
// clock.
func loadMerged(paths []string) (recording.Header, []recording.Entry, error) {
	var headers []recording.Header
	var recordings [][]recording.Entry
	for _, path := range paths {
		header, entries, err := loadRecording(path)
		if err != nil {
			return header, nil, err
		}
		headers, recordings = append(headers, header), append(recordings, entries)
	}
	first := headers[0]
	for _, header := range headers {
		if header.Start.Before(first.Start) {
			first = header
		}
	}
	var shifts []time.Duration
	for _, header := range headers {
		shifts = append(shifts, header.Start.Sub(first.Start))
	}
	return first, recording.Merge(recordings, shifts), nil
}

// saveRecording writes a recording to a new file and prints the number of its entries. It fails where the
// path exists, so that no recording is overwritten by mistake.
func saveRecording(path string, h recording.Header, all []recording.Entry) error {
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("write recording: %s exists", path)
	}
	if err := recording.Save(path, h, all); err != nil {
		return err
	}
	fmt.Printf("%s: %d entries\n", path, len(all))
	return nil
}

// recordShowCmd summarizes recordings.
type recordShowCmd struct {
	Files []string `arg:"" help:"Recordings."`
}

// Run prints the length and the rate of the recordings, a line for each class, the number of distinct
// text fingerprints, and the share of the busiest tenth of the dispatchers.
func (c recordShowCmd) Run() error {
	header, entries, err := loadMerged(c.Files)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		fmt.Println("no entries")
		return nil
	}
	length := max(entries[len(entries)-1].ArrivedAt, time.Millisecond)
	fmt.Printf("from %s, %s, %d entries, %.1f a second\n", header.Start.UTC().Format(time.RFC3339),
		length.Round(time.Millisecond), len(entries), float64(len(entries))/length.Seconds())
	printClasses(entries)
	fingerprints := map[uint64]bool{}
	for _, e := range entries {
		fingerprints[e.Fingerprint] = true
	}
	shares := recording.Shares(entries)
	busiestTenth := 0.0
	for _, share := range shares[:max(1, len(shares)/10)] {
		busiestTenth += share
	}
	fmt.Printf("%d shapes of text; %d dispatchers, the busiest tenth has %.1f%%\n", len(fingerprints),
		len(shares), 100*busiestTenth)
	return nil
}

// classSummary holds the outcomes and the latencies of the entries of one class.
type classSummary struct {
	entries  int
	outcomes [outcomeCount]int
	latency  []time.Duration // of served queries
}

// outcomeCount is the number of values of recording.Outcome.
const outcomeCount = 4

// printClasses prints a line for each class: its outcomes, and the median and p99 latency of served queries.
func printClasses(entries []recording.Entry) {
	classes := map[string]*classSummary{}
	for _, e := range entries {
		class := classes[e.Class]
		if class == nil {
			class = &classSummary{}
			classes[e.Class] = class
		}
		class.entries++
		class.outcomes[e.Outcome]++
		if e.Outcome == recording.Served {
			class.latency = append(class.latency, e.Elapsed)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		class := classes[name]
		slices.Sort(class.latency)
		n := class.outcomes
		fmt.Printf("  %-14s %7d: served %d, refused %d, failed %d, given up %d; in %s (p50), %s (p99)\n",
			name, class.entries, n[recording.Served], n[recording.Rejected], n[recording.Failed],
			n[recording.Abandoned], quantile(class.latency, 0.5), quantile(class.latency, 0.99))
	}
}

// quantile returns the q-quantile of sorted durations, rounded to milliseconds; 0 where there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// recordCutCmd writes a part of a recording.
type recordCutCmd struct {
	File string        `arg:"" help:"Recording."`
	Out  string        `arg:"" help:"File to write."`
	From time.Duration `help:"Since its start."`
	To   time.Duration `default:"1000000h" help:"Since its start."`
}

// Run writes the entries that arrived from From on and before To.
func (c recordCutCmd) Run() error {
	h, all, err := loadRecording(c.File)
	if err != nil {
		return err
	}
	if c.To <= c.From {
		return fmt.Errorf("record cut: from %v to %v is an empty range", c.From, c.To)
	}
	h.Start = h.Start.Add(c.From)
	return saveRecording(c.Out, h, recording.Cut(all, c.From, c.To))
}

// recordMergeCmd writes several recordings as one.
type recordMergeCmd struct {
	Out   string   `arg:"" help:"File to write."`
	Files []string `arg:"" help:"Recordings."`
}

// Run writes the entries of all recordings, ordered by time.
func (c recordMergeCmd) Run() error {
	h, all, err := loadMerged(c.Files)
	if err != nil {
		return err
	}
	return saveRecording(c.Out, h, all)
}

// Bounds of a scaled recording.
const (
	maxScale            = 1000
	maxScaleDispatchers = 100000
)

// recordScaleCmd writes a recording with more or less traffic, over other dispatchers.
type recordScaleCmd struct {
	File        string        `arg:"" help:"Recording."`
	Out         string        `arg:"" help:"File to write."`
	Times       float64       `default:"1" help:"So many times the traffic."`
	Dispatchers int           `help:"Over so many dispatchers; 0: over its own."`
	Jitter      time.Duration `default:"50ms" help:"Copies of a query are put so far apart at most."`
	Seed        uint64        `default:"1" help:"Of what is left to chance."`
}

// Run writes c.Times copies of each entry, over c.Dispatchers dispatchers or, if that is 0, over those of the
// recording. The fraction of c.Times is the chance of one more copy.
func (c recordScaleCmd) Run() error {
	h, all, err := loadRecording(c.File)
	if err != nil {
		return err
	}
	if c.Times <= 0 || c.Times > maxScale || c.Dispatchers < 0 || c.Dispatchers > maxScaleDispatchers {
		return fmt.Errorf("record scale: %g times over %d dispatchers", c.Times, c.Dispatchers)
	}
	var names []string
	for i := range c.Dispatchers {
		names = append(names, fmt.Sprintf("d%03d", i))
	}
	return saveRecording(c.Out, h, recording.Scale(all, c.Times, names, c.Jitter, c.Seed))
}
