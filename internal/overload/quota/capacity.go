// Package quota divides a limit between the fronts: a part is reserved for each, the rest goes to whoever
// comes first. What is reserved for one front is never given to another, so that a front under attack takes
// no more than its own part and the rest. It does no I/O and has no clock.
package quota

import "math"

// Capacity is one limit, divided between fronts. The zero value sets no limit. It is for one goroutine at a
// time.
type Capacity struct {
	limit    int64            // 0: no limit
	reserved map[string]int64 // for each front that has a quota
	used     map[string]int64 // by each front
}

// New returns a capacity of limit units, of which each front has its quota (0 to 1) reserved. Quotas that
// together exceed 1 are cut in proportion.
func New(limit int64, quotas map[string]float64) *Capacity {
	c := &Capacity{used: map[string]int64{}}
	c.SetLimit(limit, quotas)
	return c
}

// SetLimit changes the limit. What is in use stays.
func (c *Capacity) SetLimit(limit int64, quotas map[string]float64) {
	total := 0.0
	for _, quota := range quotas {
		total += max(quota, 0)
	}
	total = max(total, 1)
	c.limit, c.reserved = limit, map[string]int64{}
	for front, quota := range quotas {
		c.reserved[front] = int64(float64(limit) * max(quota, 0) / total)
	}
}

// Available returns how much a front may acquire now; without a limit, the largest number.
func (c *Capacity) Available(front string) int64 {
	if c.limit == 0 {
		return math.MaxInt64
	}
	available := c.limit - max(c.used[front], 0)
	for other, reserved := range c.reserved {
		if other != front {
			available -= max(reserved, c.used[other])
		}
	}
	for other, used := range c.used {
		if _, ok := c.reserved[other]; !ok && other != front {
			available -= used
		}
	}
	// What is reserved for this front is available to it, even where the others use more than a limit that
	// was lowered leaves to them.
	return max(available, min(c.reserved[front], c.limit)-c.used[front], 0)
}

// Acquire takes n units for a front. It returns false, and takes none, where they are not available.
func (c *Capacity) Acquire(front string, n int64) bool {
	if n > c.Available(front) {
		return false
	}
	c.used[front] += n
	return true
}

// Release gives n units back.
func (c *Capacity) Release(front string, n int64) { c.used[front] = max(0, c.used[front]-n) }

// SetUsed notes how much a front uses, where that is measured and not acquired.
func (c *Capacity) SetUsed(front string, n int64) { c.used[front] = max(0, n) }

// Used returns what a front uses.
func (c *Capacity) Used(front string) int64 { return c.used[front] }

// TotalUsed returns what all fronts use.
func (c *Capacity) TotalUsed() (total int64) {
	for _, used := range c.used {
		total += used
	}
	return total
}
