package simulation

import "time"

// event is a function that is executed at a given time. Simultaneous events are executed in the order of
// their owners, and those of one owner in the order in which they were scheduled.
type event struct {
	at    time.Duration
	owner uint64
	seq   uint64
	apply func()
	local func() // runs before apply and uses only the owner's state; may be nil
}

func (e *event) before(o *event) bool {
	switch {
	case e.at != o.at:
		return e.at < o.at
	case e.owner != o.owner:
		return e.owner < o.owner
	}
	return e.seq < o.seq
}

// Queue holds the scheduled events and the simulated clock. The zero value is an empty queue at time zero. It
// must not be used by several goroutines at once.
type Queue struct {
	heap     []event // a heap with heapArity children for each node
	seq      uint64
	now      time.Duration
	executed uint64
	parallelRunner
}

// heapArity is the number of children of a node of the heap. Four children instead of two need fewer levels,
// and the children of a node are adjacent in memory.
const heapArity = 4

// Now returns the simulated time: that of the event being executed or, between runs, the end of the last run.
func (q *Queue) Now() time.Duration { return q.now }

// Executed returns the number of events executed so far.
func (q *Queue) Executed() uint64 { return q.executed }

// Len returns the number of scheduled events.
func (q *Queue) Len() int { return len(q.heap) }

// At schedules an event of owner 0. A time in the past means now.
func (q *Queue) At(at time.Duration, do func()) { q.AtFor(0, at, do) }

// AtFor schedules an event of an owner. Many dispatchers tick at the same time. Without owners, their ticks
// would be executed in the order in which they were scheduled, and an unrelated change to the program would
// change the results.
func (q *Queue) AtFor(owner uint64, at time.Duration, do func()) {
	q.push(event{at: max(at, q.now), owner: owner, apply: do})
}

// In schedules an event of owner 0 after a delay.
func (q *Queue) In(after time.Duration, do func()) { q.At(q.now+after, do) }

// Run executes all events that are due by until, and then sets the clock to until.
func (q *Queue) Run(until time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= until {
		e := q.pop()
		q.now = e.at
		if e.local != nil {
			q.runSimultaneous(e)
			continue
		}
		q.executed++
		e.apply()
	}
	q.stopWorkers()
	q.now = max(q.now, until)
}

// push adds an event to the heap.
func (q *Queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// pop removes the first event from the heap.
func (q *Queue) pop() event {
	top := q.heap[0]
	n := len(q.heap) - 1
	last := q.heap[n]
	q.heap[n] = event{} // so that its functions can be garbage collected
	q.heap = q.heap[:n]
	if n == 0 {
		return top
	}
	i := 0
	for {
		first := heapArity*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+heapArity, n); c++ {
			if q.heap[c].before(&q.heap[least]) {
				least = c
			}
		}
		if !q.heap[least].before(&last) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = last
	return top
}
