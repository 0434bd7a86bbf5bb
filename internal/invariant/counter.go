package invariant

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Counter counts verdicts by invariant and logs violations. It is for any number of goroutines.
type Counter struct {
	log *slog.Logger

	mu       sync.Mutex
	withheld map[Name]uint64
	violated map[Name]uint64
}

// NewCounter returns a Counter that logs violations.
func NewCounter(log *slog.Logger) *Counter {
	return &Counter{log: log, withheld: map[Name]uint64{}, violated: map[Name]uint64{}}
}

// Record takes in a verdict on an act for a request, by the id that its client gave it. It reports whether
// the act may be done.
func (c *Counter) Record(v Result, request string) bool {
	if v.OK() {
		return true
	}
	c.mu.Lock()
	counts := c.withheld
	if v.Kind == Violated {
		counts = c.violated
	}
	counts[v.Name]++
	c.mu.Unlock()
	if v.Kind == Violated {
		c.log.Error(violatedMessage, "invariant", string(v.Name), "request", request,
			"detail", v.Detail)
	}
	return false
}

// LogTrace logs what is known of a request that a violation concerns.
func (c *Counter) LogTrace(request, story string) {
	c.log.Error("story of a request", "request", request, "events", story)
}

// Violations returns how often each invariant was violated.
func (c *Counter) Violations() map[Name]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.violated)
}

// Withheld returns how often an act was stopped that had been lawful when it was decided.
func (c *Counter) Withheld() map[Name]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.withheld)
}

// FormatCounts writes counts as name=count, in the order of names.
func FormatCounts(counts map[Name]uint64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}
