// Package timingwheel has a hierarchical timing wheel (Varghese and Lauck 1987, scheme 7) for timers that
// are set in great number, never withdrawn, and may fire up to a tick late but never early. It reads no
// clock.
package timingwheel

import (
	"math/bits"
	"time"
)

const (
	bitsPerLevel  = 8
	slotsPerLevel = 1 << bitsPerLevel
	levels        = 4
)

type timer[T any] struct {
	expiry uint64
	value  T
}

// Wheel holds timers with values of type T. Setting one and firing it take constant time each.
type Wheel[T any] struct {
	resolution  time.Duration
	currentTick uint64 // ticks up to here have fired
	count       int
	slots       [levels][slotsPerLevel][]timer[T]
	occupied    [levels][slotsPerLevel / 64]uint64
	spare       [][]timer[T] // emptied slots, for use again
}

// New returns a wheel that begins at a time and fires at whole multiples of tick, in which all durations are
// measured from the same zero. It spans 2^32 ticks; later timers fire and are set again inside.
func New[T any](now, tick time.Duration) *Wheel[T] {
	return &Wheel[T]{resolution: tick, currentTick: uint64(now / tick)}
}

// Len is the number of timers that wait.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule adds a timer due at a time; one that is past fires at the next tick.
func (w *Wheel[T]) Schedule(due time.Duration, value T) {
	expiry := uint64((due + w.resolution - 1) / w.resolution)
	w.count++
	w.insert(timer[T]{max(expiry, w.currentTick+1), value})
}

func (w *Wheel[T]) insert(pending timer[T]) {
	ahead := pending.expiry - w.currentTick
	level := 0
	for level < levels-1 && ahead >= 1<<(bitsPerLevel*(level+1)) {
		level++
	}
	expiry := min(pending.expiry, w.currentTick+1<<(bitsPerLevel*levels)-1)
	slot := expiry >> (bitsPerLevel * level) & (slotsPerLevel - 1)
	list := w.slots[level][slot]
	if list == nil && len(w.spare) > 0 {
		list = w.spare[len(w.spare)-1]
		w.spare = w.spare[:len(w.spare)-1]
	}
	w.slots[level][slot] = append(list, pending)
	w.occupied[level][slot/64] |= 1 << (slot % 64)
}

// takeSlot empties a slot.
func (w *Wheel[T]) takeSlot(level int, i uint64) []timer[T] {
	list := w.slots[level][i]
	w.slots[level][i] = nil
	w.occupied[level][i/64] &^= 1 << (i % 64)
	return list
}

func (w *Wheel[T]) recycle(list []timer[T]) {
	if cap(list) > 0 && len(w.spare) < slotsPerLevel {
		clear(list)
		w.spare = append(w.spare, list[:0])
	}
}

// Advance brings the wheel to a time and calls fire for every timer that is due, in the order of their ticks.
// fire may set timers.
func (w *Wheel[T]) Advance(now time.Duration, fire func(T)) {
	targetTick := uint64(now / w.resolution)
	for w.currentTick < targetTick {
		next := w.nextTick()
		if next > targetTick {
			w.currentTick = targetTick
			return
		}
		w.currentTick = next
		for level := levels - 1; level > 0; level-- { // the coarse ones first: they fall to the finer ones
			if w.currentTick&(1<<(bitsPerLevel*level)-1) == 0 {
				list := w.takeSlot(level, w.currentTick>>(bitsPerLevel*level)&(slotsPerLevel-1))
				for _, e := range list {
					if e.expiry <= w.currentTick {
						w.count--
						fire(e.value)
					} else {
						w.insert(e)
					}
				}
				w.recycle(list)
			}
		}
		list := w.takeSlot(0, w.currentTick&(slotsPerLevel-1))
		for _, e := range list {
			w.count--
			fire(e.value)
		}
		w.recycle(list)
	}
}

// nextTick is the next tick with something to do: a timer, or a coarse slot that has to fall.
func (w *Wheel[T]) nextTick() uint64 {
	best := ^uint64(0)
	for level := range levels {
		shift := bitsPerLevel * level
		here := w.currentTick >> shift
		for ahead := uint64(1); ahead <= slotsPerLevel; {
			i := (here + ahead) & (slotsPerLevel - 1)
			if word := w.occupied[level][i/64] >> (i % 64); word != 0 {
				ahead += uint64(bits.TrailingZeros64(word))
				if ahead <= slotsPerLevel {
					best = min(best, (here+ahead)<<shift)
				}
				break
			}
			ahead += 64 - i%64
		}
	}
	return best
}

// NextExpiry returns the time until which nothing fires, and whether any timer waits at all.
func (w *Wheel[T]) NextExpiry() (due time.Duration, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return time.Duration(w.nextTick()) * w.resolution, true
}
