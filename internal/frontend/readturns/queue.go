// Package readturns shares the reading of clients that send without a pause. Such a client's connection is
// read for one turn, and then waits for the next one: one connection at a time has a turn, in the order in
// which they began to wait, and a pause follows each turn. Without it a few such clients would keep a
// processor busy and delay all others. The package does no I/O.
package readturns

import (
	"sync"
	"time"
)

const (
	// pauseFactor is how many times as long as a turn the pause after it is. It leaves most of the
	// processor's time to other clients.
	pauseFactor = 3
	// maxPause limits the pause after a turn during which the process was not scheduled.
	maxPause = 100 * time.Millisecond
)

// Queue grants turns. It is safe for concurrent use.
type Queue struct {
	schedule func(pause time.Duration, grant func())

	mu        sync.Mutex // guards the fields below
	waiting   []func()
	granted   time.Time // when the current turn began
	scheduled bool      // a turn was granted and is not over, or the next one will be granted
}

// NewQueue returns a queue. schedule calls a function once, after a pause that may be 0, and does not wait
// for it. If it is nil, a timer calls the function.
func NewQueue(schedule func(pause time.Duration, grant func())) *Queue {
	if schedule == nil {
		schedule = func(pause time.Duration, grant func()) { time.AfterFunc(pause, grant) }
	}
	return &Queue{schedule: schedule}
}

// Request asks for a turn. begin is called when it is granted, and must not block. End must be called when
// the turn is over: until then no other turn is granted.
func (q *Queue) Request(begin func()) {
	q.mu.Lock()
	q.waiting = append(q.waiting, begin)
	idle := !q.scheduled
	q.scheduled = true
	q.mu.Unlock()
	if idle {
		q.schedule(0, q.grant)
	}
}

// End ends the current turn. The next one is granted after a pause.
func (q *Queue) End() {
	q.mu.Lock()
	pause := min(pauseFactor*time.Since(q.granted), maxPause)
	q.mu.Unlock()
	q.schedule(pause, q.grant)
}

// Idle reports whether no connection has a turn or waits for one.
func (q *Queue) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.scheduled
}

// grant grants a turn to the connection that has waited longest.
func (q *Queue) grant() {
	q.mu.Lock()
	if q.scheduled = len(q.waiting) > 0; !q.scheduled {
		q.mu.Unlock()
		return
	}
	begin := q.waiting[0]
	q.waiting = append([]func(){}, q.waiting[1:]...)
	q.granted = time.Now()
	q.mu.Unlock()
	begin()
}
