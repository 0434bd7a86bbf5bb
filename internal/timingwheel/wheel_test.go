package timingwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestWheelMatchesList checks that for random timers and steps of the clock, the wheel fires the same timers
// at the same ticks as a plain list.
func TestWheelMatchesList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		w := New[int](now, ms)
		due := map[int]time.Duration{}
		for id := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "set") {
				wait := time.Duration(rapid.SampledFrom([]int64{0, 1, 900, 1e6, 255e6, 256e6, 257e6, 7e9,
					66e9, 5e13}).Draw(t, "wait"))
				w.Schedule(now+wait, id)
				due[id] = max((now+wait+ms-1)/ms, now/ms+1) * ms
				continue
			}
			now += time.Duration(rapid.SampledFrom([]int64{1e5, 1e6, 3e6, 256e6, 1e9, 65536e6, 6e13}).Draw(t,
				"step"))
			last := time.Duration(0)
			w.Advance(now, func(id int) {
				if due[id] > now || due[id] < last {
					t.Fatalf("at %v: fired a timer due at %v after one due at %v", now, due[id], last)
				}
				last = due[id]
				delete(due, id)
			})
			first := time.Duration(1 << 62)
			for id, d := range due {
				if d <= now {
					t.Fatalf("at %v: timer %d, due at %v, has not fired", now, id, d)
				}
				first = min(first, d)
			}
			next, ok := w.NextExpiry()
			if ok != (len(due) > 0) || ok && (next > first || next <= now/ms*ms) || w.Len() != len(due) {
				t.Fatalf("at %v: NextExpiry is %v, %v; the earliest of the timers is due at %v; %d wait", now,
					next, ok, first, len(due))
			}
		}
	})
}

type timerHeap []timer[int]

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].expiry < h[j].expiry }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(v any)        { *h = append(*h, v.(timer[int])) }
func (h *timerHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

// BenchmarkTimers measures the wheel against a heap with n pending timers. One operation sets a timer that is
// due in 4 to 20 s, as queries do, and advances the clock by 12 s / n.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1000, 100000} {
		step := 12 * time.Second / time.Duration(n)
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			w, now, r := New[int](0, ms), time.Duration(0), rand.New(rand.NewPCG(1, 1))
			for i := 0; i < n || b.Loop(); i++ {
				if i == n {
					b.ResetTimer()
				}
				w.Schedule(now+4*time.Second+time.Duration(r.Int64N(16e9)), i)
				now += step
				w.Advance(now, func(int) {})
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			h, now, r := timerHeap{}, time.Duration(0), rand.New(rand.NewPCG(1, 1))
			for i := 0; i < n || b.Loop(); i++ {
				if i == n {
					b.ResetTimer()
				}
				heap.Push(&h, timer[int]{uint64((now + 4*time.Second + time.Duration(r.Int64N(16e9))) / ms),
					i})
				now += step
				for len(h) > 0 && h[0].expiry <= uint64(now/ms) {
					heap.Pop(&h)
				}
			}
		})
	}
}
