// Package timingwheel has a hierarchical timing wheel (Varghese and Lauck 1987, scheme 7) for timers that are set
// in great number, never withdrawn, and may fire up to a tick late but never early. It reads no clock.
package timingwheel

import (
	"math/bits"
	"time"
)

const (
	slotBits = 8
	slots    = 1 << slotBits
	levels   = 4
)

type entry[T any] struct {
	tick  uint64
	value T
}

// Wheel holds timers with values of type T. Setting one and firing it take constant time each.
type Wheel[T any] struct {
	tick  time.Duration
	now   uint64 // ticks up to here have fired
	count int
	slot  [levels][slots][]entry[T]
	used  [levels][slots / 64]uint64
	free  [][]entry[T] // emptied slots, for use again
}

// New returns a wheel that begins at a time and fires at whole multiples of tick, in which all durations are
// measured from the same zero. It spans 2^32 ticks; later timers fire and are set again inside.
func New[T any](now, tick time.Duration) *Wheel[T] {
	return &Wheel[T]{tick: tick, now: uint64(now / tick)}
}

// Len is the number of timers that wait.
func (w *Wheel[T]) Len() int { return w.count }

// Set adds a timer due at a time; one that is past fires at the next tick.
func (w *Wheel[T]) Set(due time.Duration, value T) {
	at := uint64((due + w.tick - 1) / w.tick)
	w.count++
	w.put(entry[T]{max(at, w.now+1), value})
}

func (w *Wheel[T]) put(e entry[T]) {
	ahead := e.tick - w.now
	level := 0
	for level < levels-1 && ahead >= 1<<(slotBits*(level+1)) {
		level++
	}
	at := min(e.tick, w.now+1<<(slotBits*levels)-1)
	i := at >> (slotBits * level) & (slots - 1)
	list := w.slot[level][i]
	if list == nil && len(w.free) > 0 {
		list = w.free[len(w.free)-1]
		w.free = w.free[:len(w.free)-1]
	}
	w.slot[level][i] = append(list, e)
	w.used[level][i/64] |= 1 << (i % 64)
}

// take empties a slot.
func (w *Wheel[T]) take(level int, i uint64) []entry[T] {
	list := w.slot[level][i]
	w.slot[level][i] = nil
	w.used[level][i/64] &^= 1 << (i % 64)
	return list
}

func (w *Wheel[T]) give(list []entry[T]) {
	if cap(list) > 0 && len(w.free) < slots {
		clear(list)
		w.free = append(w.free, list[:0])
	}
}

// Advance brings the wheel to a time and calls fire for every timer that is due, in the order of their ticks.
// fire may set timers.
func (w *Wheel[T]) Advance(now time.Duration, fire func(T)) {
	to := uint64(now / w.tick)
	for w.now < to {
		next := w.nextTick()
		if next > to {
			w.now = to
			return
		}
		w.now = next
		for level := levels - 1; level > 0; level-- { // the coarse ones first: they fall to the finer ones
			if w.now&(1<<(slotBits*level)-1) == 0 {
				list := w.take(level, w.now>>(slotBits*level)&(slots-1))
				for _, e := range list {
					if e.tick <= w.now {
						w.count--
						fire(e.value)
					} else {
						w.put(e)
					}
				}
				w.give(list)
			}
		}
		list := w.take(0, w.now&(slots-1))
		for _, e := range list {
			w.count--
			fire(e.value)
		}
		w.give(list)
	}
}

// nextTick is the next tick with something to do: a timer, or a coarse slot that has to fall.
func (w *Wheel[T]) nextTick() uint64 {
	best := ^uint64(0)
	for level := range levels {
		shift := slotBits * level
		here := w.now >> shift
		for ahead := uint64(1); ahead <= slots; {
			i := (here + ahead) & (slots - 1)
			if word := w.used[level][i/64] >> (i % 64); word != 0 {
				ahead += uint64(bits.TrailingZeros64(word))
				if ahead <= slots {
					best = min(best, (here+ahead)<<shift)
				}
				break
			}
			ahead += 64 - i%64
		}
	}
	return best
}

// Next returns the time until which nothing fires, and whether any timer waits at all.
func (w *Wheel[T]) Next() (due time.Duration, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return time.Duration(w.nextTick()) * w.tick, true
}
