package enginemodel

import (
	"math"
	"time"
)

// warmupStep is how long speeds are assumed to be constant while an engine warms up.
const warmupStep = 100 * time.Millisecond

// remainderTolerance is the remaining work, in thread seconds, at which a job counts as finished.
const remainderTolerance = 1e-9

// maxStepSeconds bounds the time to a job's end, so that a very slow job does not overflow a time.Duration.
const maxStepSeconds = 1e6

// Advance moves the clock to now and returns the jobs that finished since the last Advance, in the order of
// their ends.
func (m *Model) Advance(now time.Duration) (finished []*Running) {
	m.advance(now)
	finished, m.finished = m.finished, nil
	return finished
}

// advance moves the clock to now and keeps the jobs that finish for the next Advance. Every method that takes
// the time calls it. Methods that do not return finished jobs would otherwise lose them, and their clients
// would wait forever (TestJobFinishedBetweenAdvancesIsReported).
func (m *Model) advance(now time.Duration) {
	for m.now < now {
		until := now
		if m.RampFraction() < 1 {
			until = min(until, m.now+warmupStep)
		}
		speeds := m.speeds()
		for i, r := range m.jobs {
			if speeds[i] > 0 {
				until = min(until, m.now+toDuration(r.remainingWork/speeds[i]))
			}
		}
		m.work(until, speeds)
	}
}

// work moves the clock to until, at constant speeds.
func (m *Model) work(until time.Duration, speeds []float64) {
	elapsed := (until - m.now).Seconds()
	m.now = until
	var finished []*Running
	for i, r := range m.jobs {
		done := math.Min(speeds[i]*elapsed, r.remainingWork)
		m.workDone += done
		if r.remainingWork -= done; r.remainingWork <= remainderTolerance {
			finished = append(finished, r)
		}
	}
	for _, r := range finished {
		m.remove(r)
	}
	m.finished = append(m.finished, finished...)
}

// toDuration rounds up, and to at least a nanosecond: a step of zero would not move the clock.
func toDuration(seconds float64) time.Duration {
	return max(time.Duration(math.Ceil(math.Min(seconds, maxStepSeconds)*1e9)), 1)
}

// NextEvent returns the time at which Advance should be called next; false if no job will finish.
func (m *Model) NextEvent() (time.Duration, bool) {
	if len(m.finished) > 0 {
		return m.now, true
	}
	next, ok := time.Duration(math.MaxInt64), false
	speeds := m.speeds()
	for i, r := range m.jobs {
		if speeds[i] > 0 {
			next, ok = min(next, m.now+toDuration(r.remainingWork/speeds[i])), true
		}
	}
	if ok && m.RampFraction() < 1 {
		next = min(next, m.now+warmupStep)
	}
	return next, ok
}
