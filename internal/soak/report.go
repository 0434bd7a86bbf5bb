package soak

import (
	"fmt"
	"io"
	"strings"
)

// Report is what a run found.
type Report struct {
	Plan       *Plan
	Findings   []Finding
	Violations []string // logged by the dispatchers themselves
	Counts     map[string]int
	traces     map[string][]string // lines by ticket
}

// maxTraces bounds the requests that a report traces.
const maxTraces = 5

// Broken reports whether any rule was broken.
func (r *Report) Broken() bool { return len(r.Findings) > 0 || len(r.Violations) > 0 }

// Write writes the report, with the plan and traces where a rule was broken.
func (r *Report) Write(w io.Writer) error {
	if _, err := io.WriteString(w, r.String()); err != nil {
		return fmt.Errorf("soak: writing the report: %w", err)
	}
	return nil
}

// String is the report's text.
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

// report judges the run.
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
			lines = append(lines, d.logOf(finding.Ticket)...)
		}
		r.traces[finding.Ticket] = lines
	}
	return r
}

// counts returns how many requests ended in which way, and how many were retried.
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
