package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	lagCheckInterval = 10 * time.Millisecond
	minRecordedLag   = 20 * time.Millisecond
	lagTraceMargin   = 500 * time.Millisecond // around what was seen of a request
)

// lagMonitor records when this process itself ran late: then its times of what it saw are late too. It is
// safe for concurrent use.
type lagMonitor struct {
	mu   sync.Mutex
	lags []machineLag
}

// machineLag is how late the process ran at a time.
type machineLag struct {
	at   time.Time
	late time.Duration
}

// run checks until stop is closed.
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

// between returns when the process ran late between two times, and shortly before and after.
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
