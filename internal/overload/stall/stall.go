// Package stall tells how long something that is read now may have lain unread because the process did not
// run: its core was full, or it was stopped. A Meter is fed by a heartbeat. It does no I/O and reads no
// clock.
package stall

import "time"

// HeartbeatInterval is the pace of the heartbeat.
const HeartbeatInterval = 50 * time.Millisecond

const (
	// lateThreshold is how far behind its time a heartbeat is when the process counts as stalled.
	lateThreshold = 50 * time.Millisecond
	// catchUpPeriod is how long after a stall there may be something that came during it and was not read
	// yet.
	catchUpPeriod = 2 * HeartbeatInterval
)

// Detector is what a heartbeat showed. It is for one goroutine at a time.
type Detector struct {
	lastBeat             time.Duration // the last beat
	stallBegin, stallEnd time.Duration // the last stall
}

// NewDetector returns a Meter of a process that runs at now.
func NewDetector(now time.Duration) *Detector { return &Detector{lastBeat: now} }

// Beat takes in a beat of the heart.
func (m *Detector) Beat(now time.Duration) {
	if m.isLate(now) {
		m.stallBegin, m.stallEnd = m.lastBeat, now
	}
	m.lastBeat = now
}

// isLate reports whether a beat that comes only now is late.
func (m *Detector) isLate(now time.Duration) bool {
	return now-m.lastBeat > HeartbeatInterval+lateThreshold
}

// ReadDelay returns how long something that is read now may have lain there, if there was nothing at since.
func (m *Detector) ReadDelay(now, since time.Duration) time.Duration {
	from := m.lastBeat // it may go on
	if !m.isLate(now) {
		if m.stallEnd == 0 || since >= m.stallEnd || now-m.stallEnd > catchUpPeriod {
			return 0
		}
		from = m.stallBegin
	}
	return max(now-max(from, since), 0)
}
