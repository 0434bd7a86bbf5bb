package soak

import (
	"syscall"
	"time"
)

// pauseInterval is a period in which a process is stopped.
type pauseInterval struct{ from, to time.Time }

// pauseList holds pauses ordered by their start. Pauses may overlap and may still be in progress.
type pauseList []pauseInterval

// dueAfterRunning returns the time at which a process has run for wait since the given time, not counting
// pauses.
func (l pauseList) dueAfterRunning(since time.Time, wait time.Duration) time.Time {
	due := since.Add(wait)
	counted := since // pauses up to here are included in due
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

// pause stops the process by SIGSTOP for the given duration. It does nothing if the process is not ready.
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

// afterRunning returns a channel that delivers the due time once the process has run for wait since the given
// time, not counting pauses.
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
