package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// parallelRunner has what concerns one dispatcher alone, of all those that do something at one moment,
// happen on several cores: they tick together, and most of the work of a large fleet is in those ticks. What
// comes of it happens in the queue's order, so that a run is the same on any number of cores.
type parallelRunner struct {
	workers int // 0: as many as there are cores
	batch   []event
	starts  []int // of each one's events in batch
	next    atomic.Int64
	wake    chan struct{}
	busy    sync.WaitGroup
}

// minParallelOwners is how many at one moment are worth waking others for.
const minParallelOwners = 8

// Workers sets on how many cores a run may be; 1: its own goroutine only. It is to be called before Run.
func (q *Queue) Workers(n int) { q.workers = n }

// AtParallel has own happen at a time, which may look at and change what is who's alone, and then do.
func (q *Queue) AtParallel(who uint64, at time.Duration, own, do func()) {
	q.push(event{at: max(at, q.now), owner: who, apply: do, local: own})
}

// runSimultaneous has an event with a part of its own happen, with those like it that follow it at once: first the
// parts of their own, then what they do.
func (q *Queue) runSimultaneous(first event) {
	batch, starts := append(q.batch[:0], first), append(q.starts[:0], 0)
	for len(q.heap) > 0 && q.heap[0].at == first.at && q.heap[0].local != nil {
		e := q.pop()
		if e.owner != batch[len(batch)-1].owner {
			starts = append(starts, len(batch))
		}
		batch = append(batch, e)
	}
	q.batch, q.starts = batch, starts
	if len(starts) < minParallelOwners || !q.startWorkers() {
		for i := range batch {
			batch[i].local()
		}
	} else {
		q.next.Store(0)
		for range q.workers - 1 {
			q.busy.Add(1)
			q.wake <- struct{}{}
		}
		q.runLocalParts()
		q.busy.Wait()
	}
	for i := range batch {
		q.executed++
		batch[i].apply()
	}
	clear(batch)
}

// runLocalParts has the parts of one after another happen, those of each in their order.
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

// startWorkers starts the helpers, once in a run. It reports whether there are any.
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

// stopWorkers has the helpers end.
func (q *Queue) stopWorkers() {
	if q.wake != nil {
		close(q.wake)
		q.wake = nil
	}
}
