// Package stall detects scheduling stalls of the process: intervals in which it did not run, because its core
// was busy or it was stopped. Input that is read after a stall may have been unread since the stall began,
// and its deadline counts from then. The package does no I/O and reads no clock: the caller sends heartbeats
// to a Detector.
package stall

import "time"

// HeartbeatInterval is the time between heartbeats.
const HeartbeatInterval = 50 * time.Millisecond

const (
	// lateThreshold is the delay of a heartbeat above which the process counts as stalled.
	lateThreshold = 50 * time.Millisecond
	// catchUpPeriod is how long after a stall input that arrived during it is assumed to be unread.
	catchUpPeriod = 2 * HeartbeatInterval
	// memoryPeriod is how long after a stall MaxDelay allows that input arrived during it. The caller then
	// asks the system when the input arrived.
	memoryPeriod = 5 * time.Second
)

// Detector detects stalls from heartbeats. It must not be used concurrently. Its methods take times of one
// clock.
type Detector struct {
	lastBeat             time.Duration
	stallBegin, stallEnd time.Duration // of the last stall; one that begins within catchUpPeriod extends it
	seriesBegin          time.Duration // of a series of stalls with at most memoryPeriod between them
}

// NewDetector returns a Detector for a process that runs at the time now.
func NewDetector(now time.Duration) *Detector { return &Detector{lastBeat: now} }

// Beat records a heartbeat.
func (d *Detector) Beat(now time.Duration) {
	if d.isLate(now) {
		if d.stallEnd == 0 || d.lastBeat-d.stallEnd > memoryPeriod {
			d.seriesBegin = d.lastBeat
		}
		d.stallBegin, d.stallEnd = d.lateSince(), now
	}
	d.lastBeat = now
}

// lateSince returns when a stall that is detected now began.
func (d *Detector) lateSince() time.Duration {
	if d.stallEnd != 0 && d.lastBeat-d.stallEnd <= catchUpPeriod {
		return d.stallBegin
	}
	return d.lastBeat
}

// isLate reports whether a heartbeat at the time now is late.
func (d *Detector) isLate(now time.Duration) bool {
	return now-d.lastBeat > HeartbeatInterval+lateThreshold
}

// ReadDelay returns how long input that is read now may have been unread, if there was no input at emptyAt.
// It considers only a current stall and one that ended at most catchUpPeriod ago.
func (d *Detector) ReadDelay(now, emptyAt time.Duration) time.Duration {
	begin := d.lateSince() // of a stall that may still continue
	if !d.isLate(now) {
		if d.stallEnd == 0 || emptyAt >= d.stallEnd || now-d.stallEnd > catchUpPeriod {
			return 0
		}
		begin = d.stallBegin
	}
	return max(now-max(begin, emptyAt), 0)
}

// MaxDelay returns an upper bound of how long input that is read now may have been unread, if there was no
// input at emptyAt: the time since the last series of stalls began, or 0 if it ended more than memoryPeriod
// ago.
func (d *Detector) MaxDelay(now, emptyAt time.Duration) time.Duration {
	if d.stallEnd == 0 || emptyAt >= d.stallEnd || now-d.stallEnd > memoryPeriod {
		return 0
	}
	return max(now-max(d.seriesBegin, emptyAt), 0)
}
