package dispatch

import (
	"sync/atomic"
	"testing"
	"time"

	"cresspass"
)

// TestStepInterval checks the pacing: at the minimum interval while steps are short, at a third of a CPU core
// while they take longer, and never beyond maxStepInterval.
func TestStepInterval(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{0: ms, ms / 10: ms, 2 * ms: 6 * ms,
		time.Second: maxStepInterval} {
		if got := stepInterval(ms, took); got != want {
			t.Errorf("interval after a step of %v: %v, want %v", took, got, want)
		}
	}
}

// TestLoopStepsOncePerInterval checks that a paced loop handles many events, posted one by one, in few steps.
func TestLoopStepsOncePerInterval(t *testing.T) {
	decider := &countingDecider{}
	core := NewCoreWithDecider(decider, testConfig(), 0)
	l := NewLoop(core, NewMonotonicClock(), func(*Output) {})
	l.SetMinStepInterval(5 * time.Millisecond)
	go l.Run()
	startedAt := time.Now()
	for range 200 {
		l.Post(cresspass.Event{Type: cresspass.TimerFired, Label: 9})
		time.Sleep(100 * time.Microsecond)
	}
	l.Inspect(func(*Core) {})
	maxSteps := int64(time.Since(startedAt)/(5*time.Millisecond)) + 3
	l.Close()
	if decider.events != 200 || decider.steps > maxSteps {
		t.Errorf("%d events in %d steps, want 200 in at most %d", decider.events, decider.steps, maxSteps)
	}
}

// TestDeadlineCountsFromPost guards against late answers: when the process was stalled between a request's
// arrival and the step that handled it, the deadline was extended by the stall.
func TestDeadlineCountsFromPost(t *testing.T) {
	const limit, stalled = 500 * ms, 300 * ms
	var now atomic.Int64
	decider := &deadlineDecider{}
	core := NewCoreWithDecider(decider, testConfig(), 0)
	l := NewLoop(core, func() time.Duration { return time.Duration(now.Load()) }, func(*Output) {})
	go l.Run()
	stall, resume := make(chan struct{}), make(chan struct{})
	go l.Inspect(func(*Core) { close(stall); <-resume })
	<-stall
	l.Post(cresspass.Event{Type: cresspass.QueryArrived, Query: 1, RemainingDeadline: limit})
	now.Add(int64(stalled))
	close(resume)
	l.Inspect(func(*Core) {})
	l.Close()
	if decider.deadline != limit {
		t.Errorf("deadline %v after the arrival, want %v", decider.deadline, limit)
	}
}

// deadlineDecider records the deadline of the last query.
type deadlineDecider struct {
	countingDecider
	deadline time.Duration
}

func (d *deadlineDecider) Handle(now time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	for _, event := range events {
		d.deadline = now + event.RemainingDeadline
	}
	return actions
}

// countingDecider counts its steps and events and decides nothing.
type countingDecider struct{ steps, events int64 }

func (d *countingDecider) Handle(_ time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	d.steps++
	d.events += int64(len(events))
	return actions
}
func (d *countingDecider) Snapshot() []byte                    { return nil }
func (d *countingDecider) Restore([]byte, time.Duration) error { return nil }
