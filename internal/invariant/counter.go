package invariant

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Counter counts the actions that were not allowed, by invariant, and logs violations. It is safe for
// concurrent use.
type Counter struct {
	log *slog.Logger

	mu       sync.Mutex
	withheld map[Name]uint64
	violated map[Name]uint64
}

// NewCounter returns a Counter that logs violations to log.
func NewCounter(log *slog.Logger) *Counter {
	return &Counter{log: log, withheld: map[Name]uint64{}, violated: map[Name]uint64{}}
}

// Record counts the result of a check and reports whether the action is allowed. requestID is the request's
// name in the log.
func (c *Counter) Record(result Result, requestID string) bool {
	if result.OK() {
		return true
	}
	c.mu.Lock()
	counts := c.withheld
	if result.Kind == Violated {
		counts = c.violated
	}
	counts[result.Name]++
	c.mu.Unlock()
	if result.Kind == Violated {
		c.logViolation(result, requestID)
	}
	return false
}

// LogTrace logs the events of a request for which an invariant was violated.
func (c *Counter) LogTrace(requestID, trace string) {
	c.log.Error("request trace", "request", requestID, "events", trace)
}

// Violations returns how often each invariant was violated.
func (c *Counter) Violations() map[Name]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.violated)
}

// Withheld returns how often each invariant prevented an action that had been allowed when it was decided on.
func (c *Counter) Withheld() map[Name]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.withheld)
}

// FormatCounts formats counts as name=count, separated by spaces and sorted by name.
func FormatCounts(counts map[Name]uint64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}
