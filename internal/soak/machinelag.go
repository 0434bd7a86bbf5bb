package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	lagCheckInterval = 10 * time.Millisecond
	minRecordedLag   = 20 * time.Millisecond
	lagTraceMargin   = 500 * time.Millisecond // before the first and after the last event of a request
)

// lagMonitor records when this process itself ran late, because the times of its observations are then late
// too. It is safe for concurrent use.
type lagMonitor struct {
	mu   sync.Mutex
	lags []machineLag
}

// machineLag is a moment at which the process ran late, and by how much.
type machineLag struct {
	at   time.Time
	late time.Duration
}

// run measures lags until stop is closed.
func (m *lagMonitor) run(stop <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(lagCheckInterval):
		}
		now := time.Now()
		if late := now.Sub(last) - lagCheckInterval; late >= minRecordedLag {
			m.mu.Lock()
			m.lags = append(m.lags, machineLag{now, late})
			m.mu.Unlock()
		}
		last = now
	}
}

// between returns the lags between two times, widened by lagTraceMargin on both sides.
func (m *lagMonitor) between(from, to time.Time) (events []traceEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, to = from.Add(-lagTraceMargin), to.Add(lagTraceMargin)
	for _, lag := range m.lags {
		if lag.at.After(from) && lag.at.Before(to) {
			events = append(events, traceEvent{lag.at, fmt.Sprintf("the soak ran %v late", lag.late)})
		}
	}
	return events
}
