package standin

import (
	"sync"
	"time"
)

// DeduplicationGroup records when loads with an idempotency key ran, for all engines that share it. Its
// methods may be called from several goroutines.
type DeduplicationGroup struct {
	mu      sync.Mutex
	lastRun map[string]time.Time   // by the load's id
	runs    map[string][]time.Time // by the load's id
}

// NewDeduplicationGroup returns a group in which nothing has run.
func NewDeduplicationGroup() *DeduplicationGroup {
	return &DeduplicationGroup{lastRun: map[string]time.Time{}, runs: map[string][]time.Time{}}
}

// recordFirst reports whether a load runs for the first time within the window before now, and if so records
// the run.
func (g *DeduplicationGroup) recordFirst(id string, now time.Time, window time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.lastRun[id]; ok && now.Sub(at) < window {
		return false
	}
	g.lastRun[id] = now
	g.runs[id] = append(g.runs[id], now)
	return true
}

// Ran returns, by the load's id, the times at which each load had its effect.
func (g *DeduplicationGroup) Ran() map[string][]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string][]time.Time{}
	for id, times := range g.runs {
		out[id] = append([]time.Time(nil), times...)
	}
	return out
}
