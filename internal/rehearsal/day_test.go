package rehearsal

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cresspass/internal/rehearsal/rulecheck"
	"cresspass/rehearsals"
)

// shared reads a file of settings that days share.
func shared(name string) ([]byte, error) {
	return rehearsals.Settings.ReadFile("settings/" + name + ".hcl")
}

// TestShippedDaysParse checks that all shipped days parse, that a seed always draws the same faults, and that
// some faults overlap in time.
func TestShippedDaysParse(t *testing.T) {
	files, err := rehearsals.Days.ReadDir(".")
	if err != nil || len(files) < 12 {
		t.Fatal(len(files), err)
	}
	overlapping := 0
	for _, f := range files {
		src, _ := rehearsals.Days.ReadFile(f.Name())
		d, err := ParseDay(strings.TrimSuffix(f.Name(), ".hcl"), src, shared)
		if err != nil {
			t.Error(err)
			continue
		}
		first, second := d.Drawn(7), d.Drawn(7)
		if !reflect.DeepEqual(first.Faults, second.Faults) || len(first.Faults) != len(d.Faults)+d.Random ||
			len(first.Faults) == 0 {
			t.Errorf("%s: seed 7 draws faults %v, then %v", d.Name, first.Faults, second.Faults)
		}
		if s := d.Scaled(0.5); s.Length != d.Length/2 || len(s.Faults) != len(d.Faults) {
			t.Errorf("%s: scaled by 0.5 to length %v, or another number of faults", d.Name, s.Length)
		}
		for i, fault := range d.Faults {
			for _, other := range d.Faults[i+1:] {
				if fault.At < other.At+other.For && other.At < fault.At+fault.For {
					overlapping++
				}
			}
		}
	}
	if overlapping < 3 {
		t.Errorf("%d pairs of faults overlap, want at least 3", overlapping)
	}
}

// TestInvalidDays checks the error for each kind of mistake in a day.
func TestInvalidDays(t *testing.T) {
	const good = `title = "x"
length = "10s"
base = "search"
trouble "slow" {
  at = "1s"
  engines = [1]
}
`
	if _, err := ParseDay("d", []byte(good), shared); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][3]string{{`"10s"`, `"soon"`, "no time"}, {`"slow"`, `"swift"`, `no kind "swift"`},
		{"[1]", "[9]", "no engine 9"}, {"engines = [1]", "", "engines wanted"}, {`"search"`, `"none"`,
			"none"},
		{"base = \"search\"", "", "a fleet and settings are wanted"}, {"title", "titel",
			`"title" is required`},
		{"base = \"search\"", "base = \"search\"\nset = { speed = \"3\" }", "do not have one speed"},
		{"engines = [1]", "engines = [1]\n  dispatcher = 5", "no dispatcher 5"}} {
		if _, err := ParseDay("d", []byte(strings.Replace(good, c[0], c[1], 1)), shared); err == nil ||
			!strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s in place of %s: error %v, want %q", c[1], c[0], err, c[2])
		}
	}
}

// TestReportAndStoredEvidence checks that a report has its plots and verdicts, and that CheckEvidence finds
// the broken rule again in the stored traffic.
func TestReportAndStoredEvidence(t *testing.T) {
	src, _ := rehearsals.Days.ReadFile("deploy.hcl")
	d, err := ParseDay("deploy", src, shared)
	if err != nil {
		t.Fatal(err)
	}
	at := time.Now()
	log := &rulecheck.Log{
		Requests: []*rulecheck.Request{{ID: "q", Class: "lookup", Dispatcher: "d0", At: at, FinalCount: 2,
			FinalAt: at}},
	}
	r := &Result{
		Day:      d,
		Seed:     5,
		Log:      log,
		Verdicts: rulecheck.Check(d.Parameters(), log),
		Samples: []Sample{{
			At:    time.Second,
			Class: "lookup", Took: time.Millisecond}},
		EngineSamples: []EngineSample{{At: time.Second, Threads: make([]float64,
			d.Engines)}},
	}
	r.Classes = []Count{{Class: "lookup", Times: hdrhistogram.New(1, 1000, 3)}}
	dir := t.TempDir()
	if err := r.Report(dir); err != nil {
		t.Fatal(err)
	}
	page, _ := os.ReadFile(filepath.Join(dir, "deploy.html"))
	for _, want := range []string{"Answers by kind", "Time to answer", "Threads of each engine", "preemption",
		"BROKEN"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the HTML page lacks %q", want)
		}
	}
	if err := r.StoreEvidence(dir); err != nil {
		t.Fatal(err)
	}
	name, seed, all, err := CheckEvidence(dir)
	if err != nil || name != "deploy" || seed != 5 || rulecheck.AllKept(all) || all[0].Kept {
		t.Errorf("stored evidence: day %s, seed %d, verdicts %v, error %v; want deploy, 5, rule 1 broken",
			name, seed, all, err)
	}
	if _, _, _, err := CheckEvidence(t.TempDir()); err == nil {
		t.Error("CheckEvidence of an empty folder returned no error")
	}
}
