package enginemodel

import (
	"math"
	"time"
)

// warmupStep is how long speeds are taken as constant while an engine warms up.
const warmupStep = 100 * time.Millisecond

// remainderTolerance is the remaining work, in thread seconds, at which a job counts as finished.
const remainderTolerance = 1e-9

// maxStepSeconds bounds the time to a job's end, so that a very slow one does not overflow a duration.
const maxStepSeconds = 1e6

// Advance lets time pass and returns the jobs that finished, in the order of their ends.
func (m *Model) Advance(now time.Duration) (finished []*Running) {
	m.advance(now)
	finished, m.finished = m.finished, nil
	return finished
}

// advance lets time pass and keeps the jobs that finish for the next Advance. Every method that takes a
// time calls it, and those that return no finished jobs would otherwise lose them: their clients would wait
// forever (TestJobFinishedBetweenAdvancesIsReported).
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

// work moves the clock forward, with speeds that are constant until then.
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

// toDuration rounds up, to a nanosecond at least: a step of none would not move the clock.
func toDuration(seconds float64) time.Duration {
	return max(time.Duration(math.Ceil(math.Min(seconds, maxStepSeconds)*1e9)), 1)
}

// NextEvent is when Advance should be called next, and whether anything is to be expected.
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
