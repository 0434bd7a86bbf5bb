package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
)

// Clock tells the time since some zero, as the module counts it; it only advances.
type Clock func() time.Duration

// NewMonotonicClock returns a clock that starts at a day, so that the starts of engines still lie after its
// zero.
func NewMonotonicClock() Clock {
	zero := time.Now().Add(-24 * time.Hour)
	return func() time.Duration { return time.Since(zero) }
}

// Loop is the goroutine that owns a Core. Events may be posted from any goroutine and are taken in batches;
// the shell's do is called in the loop's goroutine for each output, and must not block.
type Loop struct {
	core            *Core
	clock           Clock
	execute         func(*Output)
	minStepInterval time.Duration

	mu          sync.Mutex
	queue       []cresspass.Event
	inspections []func(*Core)
	closed      bool
	wake        chan struct{}
	done        chan struct{}
	longestStep atomic.Int64 // longest time a batch took since Lag was last called, in nanoseconds
}

// NewLoop returns a loop that is not yet running.
func NewLoop(core *Core, clock Clock, execute func(*Output)) *Loop {
	return &Loop{
		core:    core,
		clock:   clock,
		execute: execute,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// SetMinStepInterval has steps begin no more often than a tick, and less often while each takes long.
// Danger: the module looks at every held query in each step, so one step an event fills the core as queries
// pile up, and answers come too late. It is to be called before Run.
func (l *Loop) SetMinStepInterval(interval time.Duration) { l.minStepInterval = interval }

// Of a paced loop.
const (
	stepCostFactor  = 3                     // steps take one part of the core in so many
	maxStepInterval = 10 * time.Millisecond // from one step's beginning to the next, whatever they take
)

// stepInterval is the least time from the beginning of a step, which took so long, to that of the next.
func stepInterval(minInterval, took time.Duration) time.Duration {
	return max(minInterval, min(stepCostFactor*took, maxStepInterval))
}

// Post hands events to the loop, in order. After Close they are dropped, and Post returns false.
func (l *Loop) Post(events ...cresspass.Event) bool {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.queue = append(l.queue, events...)
	l.mu.Unlock()
	l.signal()
	return true
}

func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Inspect has f look at the Core between two steps and waits for it. It returns false where the loop is
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

// TakeLongestStep returns the longest time that a batch took since the last call.
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
	var batch []cresspass.Event
	var inspections []func(*Core)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		inspections, l.inspections = l.inspections, nil
		closed := l.closed
		l.mu.Unlock()
		if closed {
			return
		}
		now := l.clock()
		for _, output := range l.core.Step(now, batch) {
			l.execute(&output)
		}
		clear(batch)
		for _, inspect := range inspections {
			inspect(l.core)
		}
		took := l.clock() - now
		if int64(took) > l.longestStep.Load() {
			l.longestStep.Store(int64(took))
		}
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
			if pause := stepInterval(l.minStepInterval, took) - (l.clock() - now); pause > 0 {
				time.Sleep(pause)
			}
		}
	}
}
