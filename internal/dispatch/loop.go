package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
)

// Clock returns the time since some zero, in which the decision module counts. It only advances.
type Clock func() time.Duration

// clockOffset is the reading of a new monotonic clock.
const clockOffset = 24 * time.Hour

// NewMonotonicClock returns a clock that starts at one day, so that the start times of engines lie after its
// zero.
func NewMonotonicClock() Clock {
	zero := time.Now().Add(-clockOffset)
	return func() time.Duration { return time.Since(zero) }
}

// Loop is the goroutine that owns a Core. Events may be posted from any goroutine and are handled in batches.
// The shell's execute function is called in the loop's goroutine for each output, and must not block.
type Loop struct {
	core            *Core
	clock           Clock
	execute         func(*Output)
	minStepInterval time.Duration // 0: steps are not paced

	mu          sync.Mutex
	queue       []cresspass.Event
	postedAt    []time.Duration // of the events in queue
	inspections []func(*Core)
	closed      bool

	wake        chan struct{}
	done        chan struct{}
	longestStep atomic.Int64 // nanoseconds, since TakeLongestStep was last called
}

// NewLoop returns a loop that is not yet running.
func NewLoop(core *Core, clock Clock, execute func(*Output)) *Loop {
	return &Loop{core: core, clock: clock, execute: execute, wake: make(chan struct{}, 1),
		done: make(chan struct{})}
}

// SetMinStepInterval paces the loop: steps start no more often than an interval, and less often while each
// takes long. The decision module looks at every queued query in each step, so that one step for each event
// would fill the core as queries pile up, and answers would come too late. It must be called before Run.
func (l *Loop) SetMinStepInterval(interval time.Duration) { l.minStepInterval = interval }

const (
	stepCostFactor  = 3                     // steps of a paced loop take at most a third of a core
	maxStepInterval = 10 * time.Millisecond // between the starts of two steps, whatever they take
)

// stepInterval returns the least time from the start of a step, which took so long, to the next one's.
func stepInterval(minInterval, took time.Duration) time.Duration {
	return max(minInterval, min(stepCostFactor*took, maxStepInterval))
}

// Post hands events to the loop, in order. A RemainingDeadline counts from now. After Close they are dropped,
// and Post returns false.
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

// Inspect calls a function with the Core between two steps and waits for it. It returns false if the loop is
// closed.
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

// signal wakes the loop, unless a signal is pending already.
func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// TakeLongestStep returns the longest time that a step took since the last call.
func (l *Loop) TakeLongestStep() time.Duration { return time.Duration(l.longestStep.Swap(0)) }

// Close ends the loop and waits for it. Run must have been called.
func (l *Loop) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.signal()
	<-l.done
}

// Run steps the core until Close.
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
		batch.chargeWait(startedAt)
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

// pendingBatch is what was posted between two steps.
type pendingBatch struct {
	events      []cresspass.Event
	postedAt    []time.Duration // of events
	inspections []func(*Core)
}

// chargeWait counts the time that events waited for a step against their deadlines.
func (b *pendingBatch) chargeWait(now time.Duration) {
	for i := range b.events {
		if event := &b.events[i]; event.RemainingDeadline > 0 {
			event.RemainingDeadline -= now - b.postedAt[i]
		}
	}
}

// takePending fills a batch with what was posted since the last call, and reports whether the loop is closed.
// The queue goes on in the memory of what was in the batch, which has been handled.
func (l *Loop) takePending(batch *pendingBatch) (closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch.events, l.queue = l.queue, batch.events[:0]
	batch.postedAt, l.postedAt = l.postedAt, batch.postedAt[:0]
	batch.inspections, l.inspections = l.inspections, nil
	return l.closed
}

// step has the core handle a batch, carries out its outputs, and returns how long that took.
func (l *Loop) step(now time.Duration, batch *pendingBatch) time.Duration {
	for _, output := range l.core.Step(now, batch.events) {
		l.execute(&output)
	}
	clear(batch.events) // so that it keeps nothing alive while its memory waits for the next batch
	for _, inspect := range batch.inspections {
		inspect(l.core)
	}
	took := l.clock() - now
	if int64(took) > l.longestStep.Load() {
		l.longestStep.Store(int64(took))
	}
	return took
}
