// Package clocksync lets the members of a fleet agree on one clock, by which they take turns as aggregators.
// Each process's own clock begins when the process starts, and wall clocks may be an hour off, so no single
// member's clock is the reference. The fleet's clock is a clock near the median of the clocks that members
// send: the one with which most of them agree. The package does no I/O and reads no clock.
package clocksync

import (
	"slices"
	"time"
)

const (
	// sampleTTL is how long a member's sample counts.
	sampleTTL = 10 * time.Second
	// tolerance is the difference below which clocks agree: samples are late by their time on the network.
	tolerance = 250 * time.Millisecond
	// maxClock bounds the clocks that are accepted, so that differences cannot overflow.
	maxClock = 1 << 62
	// candidateDivisor sets how many samples may be followed in place of the median: on each side of the
	// median, 1/candidateDivisor of all samples.
	candidateDivisor = 16
)

// sample is a member's clock, as its offset from ours.
type sample struct{ receivedAt, offset time.Duration }

// Clock is one member's estimate of the fleet's clock. Make one with New. It is not safe for concurrent use.
type Clock struct {
	offset  time.Duration // of the fleet's clock from ours
	samples map[string]sample
	scratch []time.Duration // reused by Sync
}

// New returns the clock of a member without samples, which is the member's own.
func New() *Clock { return &Clock{samples: map[string]sample{}} }

// At returns the fleet's clock at a time of the member's own.
func (c *Clock) At(now time.Duration) time.Duration { return now + c.offset }

// AddSample records the fleet's clock as a member has sent it. Negative clocks, and those of maxClock and
// above, are ignored.
func (c *Clock) AddSample(now time.Duration, name string, clock time.Duration) {
	if clock >= 0 && clock < maxClock {
		c.samples[name] = sample{now, clock - now}
	}
}

// Forget drops a member's sample.
func (c *Clock) Forget(name string) { delete(c.samples, name) }

// Sync moves the clock to a sample near the median of all samples and its own clock: the sample with which
// most of them agree. It reports whether the clock was moved. The median alone is not enough: a single
// Byzantine member may have sent it. If equally many agree with several samples, the sample nearest to the
// median counts, and of two that are equally near the later one, so that two halves of a healed split, or a
// fleet of two, choose the same.
//
// A clock that agrees with most samples is not moved: if it followed the median at each step, it would fall
// behind by the samples' network delay each time, and the fleet's clock would run slow.
func (c *Clock) Sync(now time.Duration) (moved bool) {
	offsets := c.scratch[:0]
	offsets = append(offsets, c.offset)
	agreeing := 1 // our own
	for name, s := range c.samples {
		if now-s.receivedAt > sampleTTL {
			delete(c.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
		if c.agrees(s.offset) {
			agreeing++
		}
	}
	c.scratch = offsets
	if 2*agreeing > len(offsets) { // the median is then among the offsets that agree
		return false
	}
	slices.Sort(offsets)
	target := mostSupported(offsets)
	if c.agrees(target) {
		return false
	}
	c.offset = target
	return true
}

// mostSupported returns, of the sorted offsets near the median, the offset with which most of all offsets
// agree. If there are several, it returns the nearest to the median, and of two that are equally near the
// later one. So members that agree on a false clock are followed only if their offsets are at the median or
// near it.
func mostSupported(offsets []time.Duration) time.Duration {
	middle := len(offsets) / 2
	best, bestAgreeing := offsets[middle], 0
	for distance := range len(offsets)/candidateDivisor + 1 {
		for _, i := range [...]int{min(middle+distance, len(offsets)-1), middle - distance} {
			if agreeing := countAgreeing(offsets, i); agreeing > bestAgreeing {
				best, bestAgreeing = offsets[i], agreeing
			}
		}
	}
	return best
}

// countAgreeing counts the sorted offsets that agree with the one at an index, itself included.
func countAgreeing(offsets []time.Duration, index int) int {
	first, _ := slices.BinarySearch(offsets, offsets[index]-tolerance+1)
	end, _ := slices.BinarySearch(offsets, offsets[index]+tolerance)
	return end - first
}

// agrees reports whether an offset differs from the clock's own by less than the tolerance.
func (c *Clock) agrees(offset time.Duration) bool {
	difference := offset - c.offset
	return difference > -tolerance && difference < tolerance
}
