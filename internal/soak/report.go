package soak

import (
	"fmt"
	"io"
	"strings"
)

// Report is the result of a run.
type Report struct {
	Plan       *Plan
	Findings   []Finding
	Violations []string            // violated invariants and panics that the dispatchers logged
	Counts     map[string]int      // requests by outcome, and those that were sent again
	traces     map[string][]string // lines by ticket
}

// maxTraces is the greatest number of requests that a report traces.
const maxTraces = 5

// Broken reports whether the run has a finding or a dispatcher logged a violation.
func (r *Report) Broken() bool { return len(r.Findings) > 0 || len(r.Violations) > 0 }

// Write writes the text of String. An error wraps that of w.
func (r *Report) Write(w io.Writer) error {
	if _, err := io.WriteString(w, r.String()); err != nil {
		return fmt.Errorf("soak: writing the report: %w", err)
	}
	return nil
}

// String returns the report's text. It includes the plan and the traces only if the run is broken.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d findings, %d violations logged, %v\n",
		r.Plan.Seed, len(r.Findings), len(r.Violations), r.Counts)
	if !r.Broken() {
		return b.String()
	}
	for _, f := range r.Findings {
		fmt.Fprintln(&b, " ", f)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&b, " ", v)
	}
	fmt.Fprint(&b, r.Plan)
	for _, lines := range r.traces {
		for _, line := range lines {
			fmt.Fprintln(&b, " ", line)
		}
	}
	return b.String()
}

// report judges the run and collects its findings, counts, logged violations and traces.
func (f *fleet) report() *Report {
	r := &Report{
		Plan:     f.plan,
		Findings: f.oracle.judge(),
		Counts:   f.oracle.counts(),
		traces:   map[string][]string{},
	}
	for _, d := range f.dispatchers {
		for _, v := range d.violations() {
			r.Violations = append(r.Violations, fmt.Sprintf("dispatcher %d: %s", d.index, v))
		}
	}
	for _, finding := range r.Findings {
		if finding.Ticket == "" || len(r.traces) >= maxTraces {
			continue
		}
		lines := f.oracle.trace(finding.Ticket)
		for _, d := range f.dispatchers {
			lines = append(lines, d.logLinesWith(finding.Ticket)...)
		}
		r.traces[finding.Ticket] = lines
	}
	return r
}

// counts returns the number of requests by outcome, and the number of those that were sent to a compute node
// more than once.
func (o *oracle) counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := map[string]int{}
	for _, r := range o.requests {
		switch {
		case len(r.answers) > 0:
			counts[string(r.answers[0].kind)]++
		case !r.clientGoneAt.IsZero():
			counts["gone"]++
		case r.excused != "":
			counts["excused"]++
		default:
			counts["none"]++
		}
		if len(r.posts) > 1 {
			counts["sent again"]++
		}
	}
	return counts
}
