package standin

import (
	"sync"
	"time"
)

// DeduplicationGroup remembers which loads with an idempotency key ran, for all engines that share it.
type DeduplicationGroup struct {
	mu      sync.Mutex
	lastRun map[string]time.Time
	runs    map[string][]time.Time
}

// NewDeduplicationGroup returns a group in which nothing has run.
func NewDeduplicationGroup() *DeduplicationGroup {
	return &DeduplicationGroup{lastRun: map[string]time.Time{}, runs: map[string][]time.Time{}}
}

// first reports whether a load is no repeat within the window, and remembers that it ran.
func (g *DeduplicationGroup) first(id string, now time.Time, window time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.lastRun[id]; ok && now.Sub(at) < window {
		return false
	}
	g.lastRun[id] = now
	g.runs[id] = append(g.runs[id], now)
	return true
}

// Ran returns when each load had its effect.
func (g *DeduplicationGroup) Ran() map[string][]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string][]time.Time{}
	for id, times := range g.runs {
		out[id] = append([]time.Time(nil), times...)
	}
	return out
}
