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

// fewest is how many at one moment are worth waking others for.
const fewest = 8

// Workers sets on how many cores a run may be; 1: its own goroutine only. It is to be called before Run.
func (q *Queue) Workers(n int) { q.workers = n }

// Both has own happen at a time, which may look at and change what is who's alone, and then do.
func (q *Queue) Both(who uint64, at time.Duration, own, do func()) {
	q.push(event{at: max(at, q.now), owner: who, do: do, own: own})
}

// moment has an event with a part of its own happen, with those like it that follow it at once: first the
// parts of their own, then what they do.
func (q *Queue) moment(first event) {
	batch, starts := append(q.batch[:0], first), append(q.starts[:0], 0)
	for len(q.heap) > 0 && q.heap[0].at == first.at && q.heap[0].own != nil {
		e := q.pop()
		if e.owner != batch[len(batch)-1].owner {
			starts = append(starts, len(batch))
		}
		batch = append(batch, e)
	}
	q.batch, q.starts = batch, starts
	if len(starts) < fewest || !q.begun() {
		for i := range batch {
			batch[i].own()
		}
	} else {
		q.next.Store(0)
		for range q.workers - 1 {
			q.busy.Add(1)
			q.wake <- struct{}{}
		}
		q.share()
		q.busy.Wait()
	}
	for i := range batch {
		q.done++
		batch[i].do()
	}
	clear(batch)
}

// share has the parts of one after another happen, those of each in their order.
func (q *Queue) share() {
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
			q.batch[j].own()
		}
	}
}

// begun starts the helpers, once in a run. It reports whether there are any.
func (q *Queue) begun() bool {
	if q.workers == 0 {
		q.workers = runtime.GOMAXPROCS(0)
	}
	if q.workers > 1 && q.wake == nil {
		q.wake = make(chan struct{})
		for range q.workers - 1 {
			go func(wake chan struct{}) {
				for range wake {
					q.share()
					q.busy.Done()
				}
			}(q.wake)
		}
	}
	return q.workers > 1
}

// end has the helpers end.
func (q *Queue) end() {
	if q.wake != nil {
		close(q.wake)
		q.wake = nil
	}
}
