package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestShort runs a short plan with real dispatchers that are built with the tag faults. It checks that no
// rule is broken and that, with a guard left out, the rule that the guard enforces is found broken.
func TestShort(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cresspass")
	build := exec.Command("go", "build", "-tags", "faults", "-o", program, "cresspass/cmd/cresspass")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	const busyRate = 40 // requests a second to each dispatcher; some of one ordering key then overlap
	for mutant, want := range map[string]string{"": "", "second-answer": "second_answer",
		"full-deadline": "told_deadline", "no-order": "out_of_order"} {
		t.Run("mutant "+mutant, func(t *testing.T) {
			t.Parallel()
			plan := NewPlan(Options{Seed: 1, Duration: 8 * time.Second, Dispatchers: 3, Faults: true})
			if mutant == "no-order" {
				plan.Rate = busyRate
			}
			report, err := Run(context.Background(), Config{Plan: plan, Program: program, Dir: t.TempDir(),
				Mutant: mutant})
			if err != nil {
				t.Fatal(err)
			}
			if report.Counts[string(answerServed)] < 50 {
				t.Errorf("fewer than 50 requests served: %v", report.Counts)
			}
			found := want == "" && !report.Broken()
			for _, f := range report.Findings {
				found = found || string(f.Invariant) == want
			}
			if !found {
				var b strings.Builder
				report.Write(&b)
				t.Errorf("want a finding of %q, or none if empty; got\n%s", want, b.String())
			}
		})
	}
}
