// Package stall detects scheduling stalls of the process: times in which it did not run, because its core was
// busy or it was stopped. What is read after a stall may have lain unread since the stall began, and its time
// counts from then. A Detector is fed by a heartbeat. It does no I/O and reads no clock.
package stall

import "time"

// HeartbeatInterval is the time between heartbeats.
const HeartbeatInterval = 50 * time.Millisecond

const (
	// lateThreshold is how far behind its time a heartbeat is when the process counts as stalled.
	lateThreshold = 50 * time.Millisecond
	// catchUpPeriod is how long after a stall something that came during it may still be unread.
	catchUpPeriod = 2 * HeartbeatInterval
	// memoryPeriod is how long after a stall a system is asked how long what is read now lay unread.
	memoryPeriod = 5 * time.Second
)

// Detector is what the heartbeats showed. It is for one goroutine at a time.
type Detector struct {
	lastBeat             time.Duration
	stallBegin, stallEnd time.Duration // of the last stall; one that follows within catchUpPeriod prolongs it
	seriesBegin          time.Duration // of the stalls that followed one another within memoryPeriod
}

// NewDetector returns a Detector of a process that runs at now.
func NewDetector(now time.Duration) *Detector { return &Detector{lastBeat: now} }

// Beat takes in a heartbeat.
func (d *Detector) Beat(now time.Duration) {
	if d.isLate(now) {
		if d.stallEnd == 0 || d.lastBeat-d.stallEnd > memoryPeriod {
			d.seriesBegin = d.lastBeat
		}
		d.stallBegin, d.stallEnd = d.lateSince(), now
	}
	d.lastBeat = now
}

// lateSince is when a stall began that is noticed now.
func (d *Detector) lateSince() time.Duration {
	if d.stallEnd != 0 && d.lastBeat-d.stallEnd <= catchUpPeriod {
		return d.stallBegin
	}
	return d.lastBeat
}

// isLate reports whether a heartbeat that comes only now is late.
func (d *Detector) isLate(now time.Duration) bool {
	return now-d.lastBeat > HeartbeatInterval+lateThreshold
}

// ReadDelay returns how long something that is read now may have lain unread, if there was nothing at
// emptyAt.
func (d *Detector) ReadDelay(now, emptyAt time.Duration) time.Duration {
	begin := d.lateSince() // of a stall that may go on
	if !d.isLate(now) {
		if d.stallEnd == 0 || emptyAt >= d.stallEnd || now-d.stallEnd > catchUpPeriod {
			return 0
		}
		begin = d.stallBegin
	}
	return max(now-max(begin, emptyAt), 0)
}

// MaxDelay returns for how long at most something that is read now may have lain unread, if there was nothing
// at emptyAt: since the first of the last stalls began. 0: they are long over.
func (d *Detector) MaxDelay(now, emptyAt time.Duration) time.Duration {
	if d.stallEnd == 0 || emptyAt >= d.stallEnd || now-d.stallEnd > memoryPeriod {
		return 0
	}
	return max(now-max(d.seriesBegin, emptyAt), 0)
}
