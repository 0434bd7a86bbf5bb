package standin

import (
	"time"
)

// Faults holds the faults of an engine. The zero value has no faults; shares are from 0 to 1.
type Faults struct {
	Slow         float64       // factor of service times; 0 means 1
	Hang         bool          // the engine accepts queries and answers none
	LoseShare    float64       // share of the answers that are never sent
	ErrorShare   float64       // share of the queries that fail at once
	DieAfterRows int           // an answer that reaches this number of rows crashes the engine; 0: none
	Garbage      bool          // answers are bytes that violate the protocol
	Cut          float64       // share of the answers during which the connection is closed
	Full         bool          // all queries are rejected with 53300
	SlowCancel   time.Duration // delay before a cancel request is carried out
	LateReports  time.Duration // added to the interval of load reports
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	now := e.now()
	slow := f.Slow
	if slow == 0 {
		slow = 1
	}
	e.notifyWaiters(e.model.Advance(now))
	e.model.SetSlowdown(now, slow)
	e.model.SetHalted(now, f.Hang)
	e.scheduleNext()
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// chance returns true, at random, for the given share of its calls.
func (e *Engine) chance(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return share > 0 && e.random.Float64() < share
}
