package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// plainHeap is a binary heap for container/heap, the reference for Queue.
type plainHeap []event

func (h plainHeap) Len() int           { return len(h) }
func (h plainHeap) Less(i, j int) bool { return h[i].before(&h[j]) }
func (h plainHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *plainHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *plainHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// BenchmarkQueue measures executing one event and scheduling another while the queue holds a constant number
// of events.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{1000, 100000} {
		b.Run(fmt.Sprint("ours/", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			q := &Queue{}
			var again func()
			again = func() { q.In(time.Duration(r.ExpFloat64()*1e9), again) }
			for range n {
				again()
			}
			for b.Loop() {
				e := q.pop()
				q.now = e.at
				e.apply()
			}
		})
		b.Run(fmt.Sprint("container/", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			h := &plainHeap{}
			now, seq := time.Duration(0), uint64(0)
			var again func()
			again = func() {
				seq++
				heap.Push(h, event{at: now + time.Duration(r.ExpFloat64()*1e9), seq: seq, apply: again})
			}
			for range n {
				again()
			}
			for b.Loop() {
				e := heap.Pop(h).(event)
				now = e.at
				e.apply()
			}
		})
	}
}

// calendar is a calendar queue, an alternative to Queue: buckets ("days") of equal width, each a sorted list,
// that are reused every year. It doubles the number of days as it fills, and derives their width from the
// times of the queued events.
type calendar struct {
	days  [][]event
	width time.Duration
	n     int
	at    time.Duration // time of the last event popped
}

func newCalendar() *calendar { return &calendar{days: make([][]event, 2), width: time.Second} }

func (c *calendar) day(at time.Duration) int { return int(at/c.width) % len(c.days) }

func (c *calendar) push(e event) {
	d := c.day(e.at)
	list := c.days[d]
	i := len(list)
	for i > 0 && e.before(&list[i-1]) {
		i--
	}
	c.days[d] = slices.Insert(list, i, e)
	if c.n++; c.n > 2*len(c.days) {
		c.resize(2 * len(c.days))
	}
}

func (c *calendar) resize(days int) {
	old := c.days
	last := c.at
	for _, list := range old {
		for i := range list {
			last = max(last, list[i].at)
		}
	}
	c.days, c.width = make([][]event, days), max((last-c.at)/time.Duration(days), 1)
	c.n = 0
	for _, list := range old {
		for _, e := range list {
			c.push(e)
		}
	}
}

func (c *calendar) pop() event {
	for first, start := c.day(c.at), c.at/c.width; ; {
		for k := range c.days {
			list := c.days[(first+k)%len(c.days)]
			if len(list) > 0 && list[0].at/c.width <= start+time.Duration(k) {
				e := list[0]
				c.days[(first+k)%len(c.days)] = list[1:]
				c.n--
				c.at = e.at
				return e
			}
		}
		start += time.Duration(len(c.days))
	}
}

// BenchmarkCalendar compares Queue with a calendar queue. In the mixed cases half of the events are due in
// microseconds and half in seconds, as in a fleet.
func BenchmarkCalendar(b *testing.B) {
	for _, mixed := range []bool{false, true} {
		for _, n := range []int{1000, 100000} {
			for _, ours := range []bool{true, false} {
				b.Run(fmt.Sprintf("mixed=%v/ours=%v/%d", mixed, ours, n), func(b *testing.B) {
					r := rand.New(rand.NewPCG(1, 1))
					q, c := &Queue{}, newCalendar()
					next := func() time.Duration {
						if mixed && r.IntN(2) == 0 {
							return time.Duration(r.ExpFloat64() * 1e5)
						}
						return time.Duration(r.ExpFloat64() * 1e9)
					}
					seq := uint64(0)
					push := func(now time.Duration) {
						if seq++; ours {
							q.At(now+next(), nil)
						} else {
							c.push(event{at: now + next(), seq: seq})
						}
					}
					for range n {
						push(0)
					}
					for b.Loop() {
						if ours {
							q.now = q.pop().at
							push(q.now)
						} else {
							push(c.pop().at)
						}
					}
				})
			}
		}
	}
}
