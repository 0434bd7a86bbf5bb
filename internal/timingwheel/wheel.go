// Package timingwheel implements a hierarchical timing wheel (Varghese and Lauck 1987, scheme 7). It is meant
// for large numbers of timers that are never cancelled and may fire up to one tick late but never early. It
// reads no clock.
package timingwheel

import (
	"math"
	"math/bits"
	"time"
)

const (
	bitsPerLevel  = 8
	slotsPerLevel = 1 << bitsPerLevel
	levels        = 4
	maxSpareSlots = slotsPerLevel

	wordBits = 64
)

type timer[T any] struct {
	expiry uint64 // tick at which it fires
	value  T
}

// Wheel holds timers with values of type T. Setting a timer and firing it each take constant time. A Wheel is
// not safe for concurrent use.
//
// Level 0 has one slot for each of the next slotsPerLevel ticks. Each slot of a higher level spans as many
// ticks as the whole level below it; when the current tick reaches the slot, its timers move to lower levels.
type Wheel[T any] struct {
	resolution  time.Duration // length of a tick
	currentTick uint64        // timers up to this tick have fired
	count       int           // pending timers
	slots       [levels][slotsPerLevel][]timer[T]
	occupied    [levels][slotsPerLevel / wordBits]uint64 // one bit per slot, set if the slot holds timers
	spare       [][]timer[T]                             // empty slices of former slots, for reuse
}

// New returns a wheel whose time is now and whose timers fire at whole multiples of resolution. All times are
// durations since the same zero. The wheel spans 2^32 ticks; timers beyond that wait in its farthest slot
// and are inserted again from there.
func New[T any](now, resolution time.Duration) *Wheel[T] {
	return &Wheel[T]{resolution: resolution, currentTick: uint64(now / resolution)}
}

// Len returns the number of pending timers.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule sets a timer that fires with value at due, rounded up to a tick. A timer that is due already fires
// at the next tick.
func (w *Wheel[T]) Schedule(due time.Duration, value T) {
	expiry := uint64((due + w.resolution - 1) / w.resolution)
	w.count++
	w.insert(timer[T]{max(expiry, w.currentTick+1), value})
}

// insert adds a timer to a slot of the lowest level that spans its expiry.
func (w *Wheel[T]) insert(pending timer[T]) {
	ahead := pending.expiry - w.currentTick
	level := 0
	for level < levels-1 && ahead >= 1<<(bitsPerLevel*(level+1)) {
		level++
	}
	expiry := min(pending.expiry, w.currentTick+1<<(bitsPerLevel*levels)-1)
	slot := slotIndex(expiry, level)
	timers := w.slots[level][slot]
	if timers == nil && len(w.spare) > 0 {
		timers = w.spare[len(w.spare)-1]
		w.spare = w.spare[:len(w.spare)-1]
	}
	w.slots[level][slot] = append(timers, pending)
	w.occupied[level][slot/wordBits] |= 1 << (slot % wordBits)
}

// slotIndex returns the index of the slot that holds a tick on a level.
func slotIndex(tick uint64, level int) uint64 {
	return tick >> (bitsPerLevel * level) & (slotsPerLevel - 1)
}

// takeSlot empties a slot and returns its timers.
func (w *Wheel[T]) takeSlot(level int, slot uint64) []timer[T] {
	timers := w.slots[level][slot]
	w.slots[level][slot] = nil
	w.occupied[level][slot/wordBits] &^= 1 << (slot % wordBits)
	return timers
}

// recycle keeps the slice of an emptied slot for reuse, up to maxSpareSlots slices.
func (w *Wheel[T]) recycle(timers []timer[T]) {
	if cap(timers) > 0 && len(w.spare) < maxSpareSlots {
		clear(timers)
		w.spare = append(w.spare, timers[:0])
	}
}

// Advance moves the wheel's time to now and calls fire for every timer that is due, in the order of their
// ticks. fire may call Schedule.
func (w *Wheel[T]) Advance(now time.Duration, fire func(T)) {
	targetTick := uint64(now / w.resolution)
	for w.currentTick < targetTick {
		next := w.nextTick()
		if next > targetTick {
			w.currentTick = targetTick
			return
		}
		w.currentTick = next
		for level := levels - 1; level >= 0; level-- { // higher levels first: their timers move to lower ones
			slotStarts := w.currentTick&(1<<(bitsPerLevel*level)-1) == 0
			if slotStarts {
				w.expireSlot(level, fire)
			}
		}
	}
}

// expireSlot fires the due timers in the current slot of a level and moves the others to lower levels. On
// level 0 all timers in the slot are due.
func (w *Wheel[T]) expireSlot(level int, fire func(T)) {
	timers := w.takeSlot(level, slotIndex(w.currentTick, level))
	for _, t := range timers {
		if t.expiry <= w.currentTick {
			w.count--
			fire(t.value)
		} else {
			w.insert(t)
		}
	}
	w.recycle(timers)
}

// nextTick returns the next tick at which a timer is due or a slot of a higher level begins whose timers have
// to move.
func (w *Wheel[T]) nextTick() uint64 {
	earliest := uint64(math.MaxUint64)
	for level := range levels {
		shift := bitsPerLevel * level
		current := w.currentTick >> shift
		for ahead := uint64(1); ahead <= slotsPerLevel; {
			slot := (current + ahead) & (slotsPerLevel - 1)
			if word := w.occupied[level][slot/wordBits] >> (slot % wordBits); word != 0 {
				ahead += uint64(bits.TrailingZeros64(word))
				if ahead <= slotsPerLevel {
					earliest = min(earliest, (current+ahead)<<shift)
				}
				break
			}
			ahead += wordBits - slot%wordBits
		}
	}
	return earliest
}

// NextExpiry returns a time before which no timer fires, and whether there are pending timers. At that time
// there may be only timers to move to a lower level.
func (w *Wheel[T]) NextExpiry() (due time.Duration, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return time.Duration(w.nextTick()) * w.resolution, true
}
