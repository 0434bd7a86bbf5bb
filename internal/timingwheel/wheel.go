// Package timingwheel has a hierarchical timing wheel (Varghese and Lauck 1987, scheme 7) for timers that are
// set in great number, never withdrawn, and may fire up to a tick late but never early. It reads no clock.
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
	expiry uint64 // tick
	value  T
}

// Wheel holds timers with values of type T. To set one and to fire it take constant time each.
//
// Level 0 has a slot for each of the next ticks; a slot of each level above spans all slots of the level
// below, to which its timers are moved when the time gets there.
type Wheel[T any] struct {
	resolution  time.Duration // length of a tick
	currentTick uint64        // ticks up to this one have fired
	count       int
	slots       [levels][slotsPerLevel][]timer[T]
	occupied    [levels][slotsPerLevel / wordBits]uint64 // a bit for each slot that holds timers
	spare       [][]timer[T]                             // memory of emptied slots, for use again
}

// New returns a wheel that begins at a time and fires at whole multiples of its resolution, in which all
// durations are measured from the same zero. It spans 2^32 ticks; later timers are set again inside.
func New[T any](now, resolution time.Duration) *Wheel[T] {
	return &Wheel[T]{resolution: resolution, currentTick: uint64(now / resolution)}
}

// Len returns the number of timers that wait.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule sets a timer; one whose time is past fires at the next tick.
func (w *Wheel[T]) Schedule(due time.Duration, value T) {
	expiry := uint64((due + w.resolution - 1) / w.resolution)
	w.count++
	w.insert(timer[T]{max(expiry, w.currentTick+1), value})
}

// insert puts a timer into the slot of the lowest level that reaches as far.
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

// slotIndex returns the index of a tick's slot on a level.
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

// recycle keeps the memory of an emptied slot.
func (w *Wheel[T]) recycle(timers []timer[T]) {
	if cap(timers) > 0 && len(w.spare) < maxSpareSlots {
		clear(timers)
		w.spare = append(w.spare, timers[:0])
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
		for level := levels - 1; level >= 0; level-- { // coarse levels first: they refill the finer ones
			slotStarts := w.currentTick&(1<<(bitsPerLevel*level)-1) == 0
			if slotStarts {
				w.expireSlot(level, fire)
			}
		}
	}
}

// expireSlot fires the timers of a level's current slot that are due, and moves the others to finer levels.
// On level 0 all are due.
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

// nextTick returns the next tick with something to do: a timer that is due, or a coarse slot whose timers
// have to be moved.
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

// NextExpiry returns the time until which nothing fires, and whether any timer waits at all.
func (w *Wheel[T]) NextExpiry() (due time.Duration, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return time.Duration(w.nextTick()) * w.resolution, true
}
