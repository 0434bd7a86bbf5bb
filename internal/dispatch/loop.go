package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
)

// Clock tells the time since some zero, as the module counts it; it only advances.
type Clock func() time.Duration

// Monotonic returns a clock that starts at a day, so that the starts of engines still lie after its zero.
func Monotonic() Clock {
	zero := time.Now().Add(-24 * time.Hour)
	return func() time.Duration { return time.Since(zero) }
}

// Loop is the goroutine that owns a Core. Events may be posted from any goroutine and are taken in batches;
// the shell's do is called in the loop's goroutine for each output, and must not block.
type Loop struct {
	core  *Core
	clock Clock
	do    func(*Output)
	tick  time.Duration

	mu     sync.Mutex
	queue  []cresspass.Event
	asks   []func(*Core)
	closed bool
	wake   chan struct{}
	done   chan struct{}
	lag    atomic.Int64 // longest time a batch took since Lag was last called, in nanoseconds
}

// NewLoop returns a loop that is not yet running.
func NewLoop(core *Core, clock Clock, do func(*Output)) *Loop {
	return &Loop{core: core, clock: clock, do: do, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Paced has steps begin no more often than a tick, and less often while each takes long. Danger: the module
// looks at every held query in each step, so one step an event fills the core as queries pile up, and
// answers come too late. It is to be called before Run.
func (l *Loop) Paced(tick time.Duration) { l.tick = tick }

// Of a paced loop.
const (
	stepShare = 3                     // steps take one part of the core in so many
	stepMost  = 10 * time.Millisecond // from one step's beginning to the next, whatever they take
)

// pace is the least time from the beginning of a step, which took so long, to that of the next.
func pace(tick, took time.Duration) time.Duration {
	return max(tick, min(stepShare*took, stepMost))
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
	l.poke()
	return true
}

func (l *Loop) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Ask has f look at the Core between two steps and waits for it. It returns false where the loop is closed.
func (l *Loop) Ask(f func(*Core)) bool {
	ran := make(chan struct{})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.asks = append(l.asks, func(c *Core) { f(c); close(ran) })
	l.mu.Unlock()
	l.poke()
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Lag returns the longest time that a batch took since the last call.
func (l *Loop) Lag() time.Duration { return time.Duration(l.lag.Swap(0)) }

// Close ends the loop and waits for it. Run must have been called.
func (l *Loop) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.poke()
	<-l.done
}

// Run steps the core until Close.
func (l *Loop) Run() {
	defer close(l.done)
	var batch []cresspass.Event
	var asks []func(*Core)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		asks, l.asks = l.asks, nil
		closed := l.closed
		l.mu.Unlock()
		if closed {
			return
		}
		now := l.clock()
		for _, o := range l.core.Step(now, batch) {
			l.do(&o)
		}
		clear(batch)
		for _, f := range asks {
			f(l.core)
		}
		took := l.clock() - now
		if int64(took) > l.lag.Load() {
			l.lag.Store(int64(took))
		}
		if next, ok := l.core.Next(); ok {
			timer.Reset(max(next-l.clock(), 0))
		} else {
			timer.Stop()
		}
		select {
		case <-l.wake:
		case <-timer.C:
		}
		if l.tick > 0 {
			if early := pace(l.tick, took) - (l.clock() - now); early > 0 {
				time.Sleep(early)
			}
		}
	}
}
