package soak

import (
	"syscall"
	"time"
)

// pauseInterval is a time in which a process does not run.
type pauseInterval struct{ from, to time.Time }

// pauseList holds pauses in the order of their beginnings. The last may still be under way.
type pauseList []pauseInterval

// dueAfterRunning returns when a process has run for wait since a moment.
func (l pauseList) dueAfterRunning(since time.Time, wait time.Duration) time.Time {
	due := since.Add(wait)
	counted := since // up to here
	for _, p := range l {
		from := p.from
		if from.Before(counted) {
			from = counted
		}
		if from.Before(due) && p.to.After(from) {
			due = due.Add(p.to.Sub(from))
			counted = p.to
		}
	}
	return due
}

// pause has the process not run for a while.
func (d *dispatcher) pause(duration time.Duration) {
	d.mu.Lock()
	process, ready := d.process, d.ready
	if ready {
		now := time.Now()
		d.pauses = append(d.pauses, pauseInterval{now, now.Add(duration)})
	}
	d.mu.Unlock()
	if !ready {
		return
	}
	sendSignal(process, syscall.SIGSTOP)
	time.Sleep(duration)
	sendSignal(process, syscall.SIGCONT)
}

// afterRunning delivers the time when the process has run for wait since a moment.
func (d *dispatcher) afterRunning(since time.Time, wait time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	go func() {
		for {
			d.mu.Lock()
			due := d.pauses.dueAfterRunning(since, wait)
			d.mu.Unlock()
			if !time.Now().Before(due) {
				over <- due
				return
			}
			time.Sleep(time.Until(due))
		}
	}()
	return over
}
