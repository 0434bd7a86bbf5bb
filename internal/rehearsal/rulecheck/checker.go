package rulecheck

import (
	"fmt"
	"slices"
	"time"
)

// Effect is what repeating a query of a class may do.
type Effect string

// The effects of classes.
const (
	EffectIdempotent        Effect = "safe"
	EffectIdempotentWithKey Effect = "keyed"
	EffectNotIdempotent     Effect = "unsafe"
)

// Scope is where repeats with an idempotency key are dropped.
type Scope string

// The scopes of deduplication.
const (
	ScopeAll  Scope = "all"
	ScopeZone Scope = "zone"
	ScopeCell Scope = "cell"
)

// Class holds the parameters of a class.
type Class struct {
	Effect              Effect
	DeduplicationScope  Scope         `json:"Scope"` // "" is ScopeAll
	DeduplicationWindow time.Duration `json:"Window"`
	Deadline            time.Duration
	OrderedByKey        bool     `json:"InOrder"`
	AllowedKinds        []string `json:"Kinds"`
	AllowedZones        []string `json:"Zones"`
}

// Parameters are those of the rules.
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
	// ClockSkew is how much the times of two relays may differ for one moment: their goroutines may have to
	// wait for a processor.
	ClockSkew time.Duration `json:"Skew"`
}

// Verdict is the result for one rule.
type Verdict struct {
	Rule       int
	Name       string
	Kept       bool
	Judged     bool
	Checked    int      // the number of items
	Violations int      `json:"Broken"`
	Evidence   []string // of the first few
	Note       string
}

// String is the verdict on one line.
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

type checker struct {
	parameters Parameters
	log        *Log
	requests   map[string]*Request
	attempts   map[string][]*Attempt // of a request, in the order of their sending
}

// Check returns a verdict on each of the seven rules, and as an eighth on sessions, which stay on one engine.
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

// newChecker sorts the log by time and indexes it by request.
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

// timeOfDay shows a time by its second within the log.
func (c *checker) timeOfDay(t time.Time) string {
	if len(c.log.Requests) == 0 {
		return t.Format("15:04:05.000")
	}
	return fmt.Sprintf("%.3fs", t.Sub(c.log.Requests[0].At).Seconds())
}

// endpoints is what the latest list says of each engine.
func (c *checker) endpoints() map[string]Endpoint {
	out := map[string]Endpoint{}
	for _, n := range c.log.Notifications {
		for address, e := range n.Engines {
			out[address] = e
		}
	}
	return out
}
