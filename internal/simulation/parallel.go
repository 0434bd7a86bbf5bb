package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// parallelRunner runs the local parts of simultaneous events on several cores. Dispatchers tick at the same
// time, and most of the work of a large fleet is in these ticks. The apply parts run one after another in the
// queue's order, so a run has the same result on any number of cores.
type parallelRunner struct {
	workers int // goroutines that run local parts, including the caller of Run; 0: GOMAXPROCS
	batch   []event
	starts  []int // index in batch of each owner's first event
	next    atomic.Int64
	wake    chan struct{}
	busy    sync.WaitGroup
}

// minParallelOwners is the smallest number of owners with simultaneous events for which workers are woken.
const minParallelOwners = 8

// Workers sets the number of goroutines that execute events in parallel: 1 uses only the goroutine that calls
// Run, 0 uses GOMAXPROCS. It must be called before Run.
func (q *Queue) Workers(n int) { q.workers = n }

// AtParallel schedules an event in two parts. local may read and change only the owner's state, and may run
// concurrently with the local parts of other owners. apply runs afterwards, with no other part running.
func (q *Queue) AtParallel(owner uint64, at time.Duration, local, apply func()) {
	q.push(event{at: max(at, q.now), owner: owner, apply: apply, local: local})
}

// runSimultaneous executes an event that has a local part, together with the events that directly follow it
// at the same time and have one too: first all local parts, then all apply parts.
func (q *Queue) runSimultaneous(first event) {
	q.batch, q.starts = append(q.batch[:0], first), append(q.starts[:0], 0)
	for len(q.heap) > 0 && q.heap[0].at == first.at && q.heap[0].local != nil {
		e := q.pop()
		if e.owner != q.batch[len(q.batch)-1].owner {
			q.starts = append(q.starts, len(q.batch))
		}
		q.batch = append(q.batch, e)
	}
	if len(q.starts) < minParallelOwners || !q.startWorkers() {
		for i := range q.batch {
			q.batch[i].local()
		}
	} else {
		q.runLocalPartsInParallel()
	}
	for i := range q.batch {
		q.executed++
		q.batch[i].apply()
	}
	clear(q.batch)
}

// runLocalPartsInParallel runs the local parts of the batch on all workers and waits for them.
func (q *Queue) runLocalPartsInParallel() {
	q.next.Store(0)
	for range q.workers - 1 {
		q.busy.Add(1)
		q.wake <- struct{}{}
	}
	q.runLocalParts()
	q.busy.Wait()
}

// runLocalParts claims one owner after another and runs the local parts of its events in their order.
func (q *Queue) runLocalParts() {
	for {
		i := int(q.next.Add(1)) - 1
		if i >= len(q.starts) {
			return
		}
		end := len(q.batch)
		if i+1 < len(q.starts) {
			end = q.starts[i+1]
		}
		for j := q.starts[i]; j < end; j++ {
			q.batch[j].local()
		}
	}
}

// startWorkers starts the workers unless they are running. It reports whether there are any.
func (q *Queue) startWorkers() bool {
	if q.workers == 0 {
		q.workers = runtime.GOMAXPROCS(0)
	}
	if q.workers > 1 && q.wake == nil {
		q.wake = make(chan struct{})
		for range q.workers - 1 {
			go func(wake chan struct{}) {
				for range wake {
					q.runLocalParts()
					q.busy.Done()
				}
			}(q.wake)
		}
	}
	return q.workers > 1
}

// stopWorkers ends the worker goroutines.
func (q *Queue) stopWorkers() {
	if q.wake != nil {
		close(q.wake)
		q.wake = nil
	}
}
