package rulecheck

import (
	"fmt"
	"slices"
	"time"
)

// Effect is whether a query of a class may run again without a second effect.
type Effect string

// The effects of classes, as stored evidence spells them.
const (
	EffectIdempotent        Effect = "safe"
	EffectIdempotentWithKey Effect = "keyed"
	EffectNotIdempotent     Effect = "unsafe"
)

// Scope is the set of engines among which a repeat with the same idempotency key is dropped.
type Scope string

// The scopes of deduplication, as stored evidence spells them.
const (
	ScopeAll  Scope = "all"
	ScopeZone Scope = "zone"
	ScopeCell Scope = "cell"
)

// Class holds the settings of a query class on which the rules depend.
type Class struct {
	Effect              Effect
	DeduplicationScope  Scope         `json:"Scope"` // "" is ScopeAll
	DeduplicationWindow time.Duration `json:"Window"`
	Deadline            time.Duration
	OrderedByKey        bool     `json:"InOrder"`
	AllowedKinds        []string `json:"Kinds"`
	AllowedZones        []string `json:"Zones"`
}

// Parameters holds the settings of the dispatchers on which the rules depend.
type Parameters struct {
	Classes                 map[string]Class
	AnswerGrace             time.Duration
	DrainGrace              time.Duration
	SlowStartFrom           float64       `json:"ColdFrom"`
	SlowStartDuration       time.Duration `json:"ColdFor"`
	SlowStartOverloadFactor float64       `json:"ColdMultiple"`
	SlowStartWindow         time.Duration `json:"ColdWindow"`
	OrderSettleDelay        time.Duration `json:"OrderRest"`
	HasRetryBudget          bool          `json:"HasBudget"`
	RetryBudgetFree         float64       `json:"BudgetFree"`
	RetryBudgetRatio        float64       `json:"BudgetShare"`
	RetryBudgetWindow       time.Duration `json:"BudgetLookBack"`
	// ClockSkew is the largest difference between the times that two relays record for the same moment: their
	// goroutines may have to wait for a processor.
	ClockSkew time.Duration `json:"Skew"`
}

// Verdict is the result of checking one rule.
type Verdict struct {
	Rule       int
	Name       string
	Kept       bool
	Judged     bool     // false: the log is incomplete, and Kept has no meaning
	Checked    int      // the number of items to which the rule was applied
	Violations int      `json:"Broken"`
	Evidence   []string // the first maxEvidence violations, and why the rule cannot be judged
	Note       string
}

// String returns the verdict on one line, and each piece of evidence on a line after it.
func (v Verdict) String() string {
	word := "kept"
	switch {
	case !v.Judged:
		word = "CANNOT BE JUDGED"
	case !v.Kept:
		word = fmt.Sprintf("BROKEN %d times", v.Violations)
	}
	s := fmt.Sprintf("rule %d %-12s %s (%d checked)", v.Rule, v.Name, word, v.Checked)
	if v.Note != "" {
		s += "; " + v.Note
	}
	for _, e := range v.Evidence {
		s += "\n    " + e
	}
	return s
}

// maxEvidence limits the violations that a verdict describes.
const maxEvidence = 5

// addViolation counts a violation, and describes it if it is one of the first maxEvidence.
func (v *Verdict) addViolation(format string, args ...any) {
	v.Kept = false
	if v.Violations++; len(v.Evidence) < maxEvidence {
		v.Evidence = append(v.Evidence, fmt.Sprintf(format, args...))
	}
}

// AllKept reports whether every rule could be judged and was kept.
func AllKept(all []Verdict) bool {
	for _, v := range all {
		if !v.Judged || !v.Kept {
			return false
		}
	}
	return true
}

// checker checks the rules on one log.
type checker struct {
	parameters Parameters
	log        *Log
	requests   map[string]*Request   // by request id
	attempts   map[string][]*Attempt // by request id, in the order in which they were sent
}

// Check checks a log against the seven rules, and as an eighth that each session stays on one engine
// connection. It returns a verdict on each of the eight. It sorts the slices of the log, so that two
// goroutines must not check the same log at once.
func Check(p Parameters, log *Log) []Verdict {
	c := newChecker(p, log)
	rules := []struct {
		name  string
		check func(*Verdict)
	}{
		{"answers", c.checkAnswers},
		{"effects", c.checkEffects},
		{"drains", c.checkDrains},
		{"cold starts", c.checkSlowStart},
		{"order", c.checkOrder},
		{"placement", c.checkPlacement},
		{"budget", c.checkRetryBudget},
		{"sessions", c.checkSessions},
	}
	var out []Verdict
	for i, rule := range rules {
		v := Verdict{Rule: i + 1, Name: rule.name, Kept: true, Judged: len(log.Unjudged) == 0}
		rule.check(&v)
		if !v.Judged {
			v.Evidence = append(v.Evidence, log.Unjudged...)
		}
		out = append(out, v)
	}
	return out
}

// newChecker sorts the log by time and indexes it by request id.
func newChecker(p Parameters, log *Log) *checker {
	slices.SortStableFunc(log.Attempts, func(a, b *Attempt) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(log.Requests, func(a, b *Request) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(log.Notifications, func(a, b Notification) int { return a.At.Compare(b.At) })
	c := &checker{parameters: p, log: log, requests: map[string]*Request{}, attempts: map[string][]*Attempt{}}
	for _, r := range log.Requests {
		c.requests[r.ID] = r
	}
	for _, a := range log.Attempts {
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	return c
}

// formatTime formats a time as the seconds since the log's first request, or as a clock time if the log has
// no request.
func (c *checker) formatTime(t time.Time) string {
	if len(c.log.Requests) == 0 {
		return t.Format("15:04:05.000")
	}
	return fmt.Sprintf("%.3fs", t.Sub(c.log.Requests[0].At).Seconds())
}

// endpoints returns for each engine its entry in the latest list that names it.
func (c *checker) endpoints() map[string]Endpoint {
	out := map[string]Endpoint{}
	for _, n := range c.log.Notifications {
		for address, e := range n.Engines {
			out[address] = e
		}
	}
	return out
}
