// Package stall tells how long something that is read now may have lain unread because the process did not
// run: its core was full, or it was stopped. A Meter is fed by a heartbeat. It does no I/O and reads no
// clock.
package stall

import "time"

// Every is the pace of the heartbeat.
const Every = 50 * time.Millisecond

const (
	// late is how far behind its time a heartbeat is when the process counts as stalled.
	late = 50 * time.Millisecond
	// catchUp is how long after a stall there may be something that came during it and was not read yet.
	catchUp = 2 * Every
)

// Meter is what a heartbeat showed. It is for one goroutine at a time.
type Meter struct {
	last     time.Duration // the last beat
	from, to time.Duration // the last stall
}

// NewMeter returns a Meter of a process that runs at now.
func NewMeter(now time.Duration) *Meter { return &Meter{last: now} }

// Beat takes in a beat of the heart.
func (m *Meter) Beat(now time.Duration) {
	if m.behind(now) {
		m.from, m.to = m.last, now
	}
	m.last = now
}

// behind reports whether a beat that comes only now is late.
func (m *Meter) behind(now time.Duration) bool { return now-m.last > Every+late }

// Waited returns how long something that is read now may have lain there, if there was nothing at since.
func (m *Meter) Waited(now, since time.Duration) time.Duration {
	from := m.last // it may go on
	if !m.behind(now) {
		if m.to == 0 || since >= m.to || now-m.to > catchUp {
			return 0
		}
		from = m.from
	}
	return max(now-max(from, since), 0)
}
