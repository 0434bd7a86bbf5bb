package experiment

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"cresspass/internal/recording"
)

const dayText = `
title    = "a little day"
length   = "20s"
settings = "x"
fleet {
  engines     = 2
  dispatchers = 4
  kinds       = ["std"]
}
traffic "board" {
  rate    = 12
  work_ms = 600
  threads = 2
}
`

func sources(t *testing.T) Sources {
	t.Helper()
	settings, err := os.ReadFile("../../../rehearsals/settings/model-city.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return Sources{
		Day: func(name string) ([]byte, error) {
			if name != "little" {
				return nil, fmt.Errorf("no day %q", name)
			}
			return []byte(dayText), nil
		},
		Shared: func(string) ([]byte, error) { return settings, nil },
		Recording: func(string) (out []recording.Entry, err error) {
			for i := range 200 {
				out = append(out, recording.Entry{
					ArrivedAt:   time.Duration(i) * 90 * time.Millisecond,
					Class:       "board",
					Elapsed:     300 * time.Millisecond,
					Threads:     2,
					Fingerprint: uint64(i % 3),
					Dispatcher:  fmt.Sprint("d", i*i%4),
				})
			}
			return out, nil
		},
	}
}

// Parse returns an error that describes what is wrong with an experiment.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		`day = "none"`: "no day",
		`day = "little"
arm "a" { policy = "best" }`: "no policy",
		`day = "little"
arm "a" { talk = "loud" }`: "talk is",
		`day = "little"
arm "a" {}
arm "a" {}`: "given twice",
		`day = "little"
sweep "colour" { values = [1] }`: "sweep over",
		`day = "little"
length = "soon"`: "no time",
		`day = "little"
arm "a" { set = { nothing = "1" } }`: "do not have one nothing",
		`day = "little"
arm "a" { loss = 3 }`: "out of its bounds",
		`day = "little"
seeds = 1`: "seeds",
		`days = 3`: "argument",
	} {
		_, err := Parse("x", []byte(text), sources(t))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// Two equal arms have equal figures on each seed. Halving the engines makes a significant difference. The
// swept field changes the figures.
func TestRun(t *testing.T) {
	e, err := Parse("x", []byte(`
day    = "little"
length = "20s"
seeds  = 3
arm "one" { talk = "ask" }
arm "same" { talk = "ask" }
arm "half the engines" {
  talk    = "ask"
  engines = 1
}
sweep "rate" { values = [1, 8] }
`), sources(t))
	if err != nil {
		t.Fatal(err)
	}
	r, err := e.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	for f := range Figures {
		if d := r.Difference(1, 0, f); d.Mean != 0 || d.IsSignificant() {
			t.Errorf("difference of %s between equal arms: %+v", Figures[f], d)
		}
	}
	if a, b := r.Cells[0][0].Estimate(0), r.Cells[0][1].Estimate(0); a.Mean < 0.95 || b.Mean > a.Mean-0.1 {
		t.Errorf("served in time at a fifth of capacity %+v, at eight times that %+v", a, b)
	}
	if d := r.Difference(2, 1, 0); !d.IsSignificant() || d.Mean > 0 {
		t.Errorf("difference in time served by half of the engines: %+v", d)
	}
	var b strings.Builder
	err = r.Print(&b)
	if err != nil || !strings.Contains(b.String(), "equal") || !strings.Contains(b.String(), "differs") {
		t.Errorf("%v\n%s", err, b.String())
	}
}

// A recording replaces the random arrivals, the work of its queries follows from their response times, and
// two runs have the same result.
func TestReplay(t *testing.T) {
	e, err := Parse("x", []byte("day = \"little\"\nrecording = \"r\"\nseeds = 2\nwarm_up = \"1s\""),
		sources(t))
	if err != nil {
		t.Fatal(err)
	}
	c, err := e.Config(0, 0, 1)
	if err != nil || len(c.Replay) != 200 || c.Traffic[0].Rate != 0 {
		t.Fatalf("%d queries replayed, want 200, error %v", len(c.Replay), err)
	}
	if w := c.Replay[5].Work; math.Abs(w-0.6) > 1e-9 {
		t.Errorf("work of a query of 0.3 s with two threads: %g thread seconds, want 0.6", w)
	}
	a, err := e.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	again, err := e.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	if x, y := a.Cells[0][0].Samples[0], again.Cells[0][0].Samples[0]; len(x) != 2 || x[0] != y[0] ||
		x[0] < 0.9 {
		t.Errorf("served in time: %v, then %v", x, y)
	}
}
