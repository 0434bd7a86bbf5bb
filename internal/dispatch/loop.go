package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
)

// Clock returns the time since an arbitrary origin. The time that it returns never decreases. The decision
// module's times are readings of a Clock.
type Clock func() time.Duration

// clockOffset is the first reading of a monotonic clock.
const clockOffset = 24 * time.Hour

// NewMonotonicClock returns a clock that starts at 24 hours, so that the start times of engines that are
// older than this process come after the clock's origin.
func NewMonotonicClock() Clock {
	zero := time.Now().Add(-clockOffset)
	return func() time.Duration { return time.Since(zero) }
}

// Loop owns a Core and steps it in one goroutine, that of Run. Events may be posted from any goroutine and
// are handled in batches. The shell's execute function is called in the loop's goroutine for each output and
// must not block.
type Loop struct {
	core            *Core
	clock           Clock
	execute         func(*Output)
	minStepInterval time.Duration // 0: steps are not paced

	mu          sync.Mutex // guards the fields up to closed
	queue       []cresspass.Event
	postedAt    []time.Duration // of the events in queue, by index
	inspections []func(*Core)
	closed      bool

	wake        chan struct{}
	done        chan struct{}
	longestStep atomic.Int64 // nanoseconds, since TakeLongestStep was last called
}

// NewLoop returns a loop around a core. It handles events once Run is called.
func NewLoop(core *Core, clock Clock, execute func(*Output)) *Loop {
	return &Loop{core: core, clock: clock, execute: execute, wake: make(chan struct{}, 1),
		done: make(chan struct{})}
}

// SetMinStepInterval paces the loop: consecutive steps start at least an interval apart, and further apart
// while steps take long. The decision module looks at every queued query in each step. One step per event
// would therefore use up a CPU core as the queue grows, and answers would come too late. SetMinStepInterval
// must be called before Run.
func (l *Loop) SetMinStepInterval(interval time.Duration) { l.minStepInterval = interval }

const (
	// stepCostFactor limits the steps of a paced loop to a third of a CPU core, as long as a step takes no
	// more than a third of maxStepInterval.
	stepCostFactor = 3
	// maxStepInterval is the longest interval between the starts of two steps that follows from the duration
	// of a step.
	maxStepInterval = 10 * time.Millisecond
)

// stepInterval returns the minimum time between the start of a step that took the given time and the start of
// the next step.
func stepInterval(minInterval, took time.Duration) time.Duration {
	return max(minInterval, min(stepCostFactor*took, maxStepInterval))
}

// Post queues events for the loop, in order. A RemainingDeadline counts from the call. After Close the events
// are dropped and Post returns false. It may be called from any goroutine.
func (l *Loop) Post(events ...cresspass.Event) bool {
	now := l.clock()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.queue = append(l.queue, events...)
	for range events {
		l.postedAt = append(l.postedAt, now)
	}
	l.mu.Unlock()
	l.signal()
	return true
}

// Inspect calls a function with the Core in the loop's goroutine, after a step, and waits until it returns.
// Inspect returns false if the loop is closed. It may be called from any goroutine but the loop's own.
func (l *Loop) Inspect(inspect func(*Core)) bool {
	inspected := make(chan struct{})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.inspections = append(l.inspections, func(c *Core) { inspect(c); close(inspected) })
	l.mu.Unlock()
	l.signal()
	select {
	case <-inspected:
		return true
	case <-l.done:
		return false
	}
}

// AfterStep schedules a call of a function in the loop's goroutine, after the next step that begins. It does
// not wait. Once the loop is closed the function is not called. The function must not block.
func (l *Loop) AfterStep(call func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.inspections = append(l.inspections, func(*Core) { call() })
		l.signal()
	}
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// signal wakes the loop. It does nothing if a signal is already pending.
func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// TakeLongestStep returns the duration of the longest step since the last call, 0 if there was none. It may
// be called from any goroutine.
func (l *Loop) TakeLongestStep() time.Duration { return time.Duration(l.longestStep.Swap(0)) }

// Close ends the loop and waits until Run returns. If Run is never called, Close does not return.
func (l *Loop) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.signal()
	<-l.done
}

// Run steps the core when events arrive and when timers are due, until Close.
func (l *Loop) Run() {
	defer close(l.done)
	var batch pendingBatch
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		closed := l.takePending(&batch)
		if closed {
			return
		}
		startedAt := l.clock()
		batch.deductQueueTime(startedAt)
		took := l.step(startedAt, &batch)
		if next, scheduled := l.core.NextWakeup(); scheduled {
			timer.Reset(max(next-l.clock(), 0))
		} else {
			timer.Stop()
		}
		select {
		case <-l.wake:
		case <-timer.C:
		}
		if l.minStepInterval > 0 {
			pause := stepInterval(l.minStepInterval, took) - (l.clock() - startedAt)
			if pause > 0 {
				time.Sleep(pause)
			}
		}
	}
}

// pendingBatch holds the events and inspections that were queued between two steps.
type pendingBatch struct {
	events      []cresspass.Event
	postedAt    []time.Duration // of events, by index
	inspections []func(*Core)
}

// deductQueueTime deducts the time that events waited in the queue from their remaining deadlines.
func (b *pendingBatch) deductQueueTime(now time.Duration) {
	for i := range b.events {
		if event := &b.events[i]; event.RemainingDeadline > 0 {
			event.RemainingDeadline -= now - b.postedAt[i]
		}
	}
}

// takePending moves what was queued since the last call into a batch, whose old contents have been handled.
// It reports whether the loop is closed. The queue reuses the memory of the old batch.
func (l *Loop) takePending(batch *pendingBatch) (closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch.events, l.queue = l.queue, batch.events[:0]
	batch.postedAt, l.postedAt = l.postedAt, batch.postedAt[:0]
	batch.inspections, l.inspections = l.inspections, nil
	return l.closed
}

// step lets the core handle a batch, executes the outputs, runs the inspections and returns how long that
// took.
func (l *Loop) step(now time.Duration, batch *pendingBatch) time.Duration {
	for _, output := range l.core.Step(now, batch.events) {
		l.execute(&output)
	}
	clear(batch.events) // the memory is reused: what the events refer to can be collected meanwhile
	for _, inspect := range batch.inspections {
		inspect(l.core)
	}
	took := l.clock() - now
	if int64(took) > l.longestStep.Load() {
		l.longestStep.Store(int64(took))
	}
	return took
}
