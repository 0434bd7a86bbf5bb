package experiment

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// buildAdapter builds cmd/adapter, which serves the module as a separate program, and returns its path.
func buildAdapter(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "adapter")
	out, err := exec.Command("go", "build", "-o", path, "cresspass/cmd/adapter").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// TestBinaryArm checks that the module in a separate program has the same figures as the module in the
// process, on the same seeds.
func TestBinaryArm(t *testing.T) {
	e, err := Parse("x.hcl", []byte(`
day = "little"
length = "30s"
seeds = 4
arm "in the process" { talk = "no" }
arm "as a binary" {
  talk = "no"
  binary = "`+buildAdapter(t)+`"
}
`), sources(t))
	if err != nil {
		t.Fatal(err)
	}
	r, err := e.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	for f, name := range Figures {
		// Times are truncated to microseconds on the wire, which changes individual queries but not the
		// figures.
		if d := r.Difference(1, 0, f); d.IsSignificant() && (d.Mean > 0.01 || d.Mean < -0.01) {
			t.Errorf("%s differs by %.4f ±%.4f", name, d.Mean, d.HalfWidth)
		}
	}
	// An instance that lost its first timer still serves queries, but none of its timers fires, so it has
	// fewer events.
	if a, b := float64(r.Cells[0][0].Events), float64(r.Cells[1][0].Events); b < 0.95*a || b > 1.05*a {
		t.Errorf("%.0f events with a binary, %.0f in the process", b, a)
	}
	if c := &r.Cells[1][0]; c.Estimate(0).Mean < 0.5 || c.Estimate(len(Figures)-1).Mean != 0 {
		t.Errorf("with a binary: served in time %.3f, rules broken %.1f", c.Estimate(0).Mean,
			c.Estimate(len(Figures)-1).Mean)
	}
}

// TestFailingBinary checks that a program that exits, reports an error or sends an invalid reply ends the
// experiment with an error that contains the reason and the path of the program.
func TestFailingBinary(t *testing.T) {
	each := `while read l; do test "$l" = eob && `
	for script, want := range map[string]string{
		`exit 3`:                                 "exit status 3",
		`echo no such thing >&2; read x; exit 1`: "no such thing",
		each + `echo "give_in dispatcher=1 words=out of range"; done`: "out of range",
		each + `echo "hello dispatcher=1"; done`:                      "no action",
	} {
		path := filepath.Join(t.TempDir(), "program")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
			t.Fatal(err)
		}
		e, err := Parse("x.hcl", []byte("day = \"little\"\nseeds = 2\narm \"b\" { binary = \""+path+"\" }\n"),
			sources(t))
		if err != nil {
			t.Fatal(err)
		}
		if _, err = e.Run(nil); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", script, err)
		}
	}
}
