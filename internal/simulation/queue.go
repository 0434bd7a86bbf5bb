// Package simulation is the project's own emulator of what it balances: a fleet of dispatchers, engines,
// clients and the network between dispatchers, as discrete events in simulated time. The same module and the
// same pure packages decide as in service; there is no socket, goroutine or wall clock, and all chance comes
// from one seed.
package simulation

import "time"

// event is something that happens at a time; those of one time in the order of whom they concern, and those
// of one in the order in which they were set.
type event struct {
	at    time.Duration
	owner uint64
	seq   uint64
	apply func()
	local func() // goes before do; it concerns who alone
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

// Queue is the events to come, and the clock. The zero value is empty, at zero.
type Queue struct {
	heap     []event // of four children each: fewer levels than of two, and those of one node lie together
	seq      uint64
	now      time.Duration
	executed uint64
	parallelRunner
}

// Now is the time of the event that is happening.
func (q *Queue) Now() time.Duration { return q.now }

// Executed is how many events have happened.
func (q *Queue) Executed() uint64 { return q.executed }

// Len is how many are to come.
func (q *Queue) Len() int { return len(q.heap) }

// At has something happen at a time; one that is past means now.
func (q *Queue) At(at time.Duration, do func()) { q.AtFor(0, at, do) }

// AtFor does the same for one whom it concerns. Danger: many dispatchers tick at one moment; were their order
// that in which they were set, a change that has nothing to do with it would give another outcome.
func (q *Queue) AtFor(who uint64, at time.Duration, do func()) {
	q.push(event{at: max(at, q.now), owner: who, apply: do})
}

func (q *Queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = e
}

// In has something happen after a time.
func (q *Queue) In(after time.Duration, do func()) { q.At(q.now+after, do) }

// Run has all happen that is due up to a time, which it then is.
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

func (q *Queue) pop() event {
	top := q.heap[0]
	n := len(q.heap) - 1
	last := q.heap[n]
	q.heap[n] = event{}
	q.heap = q.heap[:n]
	if n == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, n); c++ {
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
