// Package quota divides a limit between the fronts: a part is reserved for each front, and the rest is shared
// in order of demand. A part that is reserved for one front is never given to another, so that a front under
// attack takes no more than its own part and the rest. The package does no I/O and reads no clock.
package quota

import "math"

// Capacity is a limit that is divided between fronts. It must be created by New and must not be used
// concurrently.
type Capacity struct {
	limit    int64            // 0 for no limit
	reserved map[string]int64 // for each front that has a quota
	used     map[string]int64 // by each front
}

// New returns a capacity of limit units, 0 for no limit. Of these, the quota (from 0 to 1) of each front is
// reserved for it. Quotas that add up to more than 1 are reduced in proportion.
func New(limit int64, quotas map[string]float64) *Capacity {
	c := &Capacity{used: map[string]int64{}}
	c.SetLimit(limit, quotas)
	return c
}

// SetLimit changes the limit and the quotas. Units in use stay in use.
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

// Available returns how many units a front may acquire now, or math.MaxInt64 without a limit.
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
	// What is reserved for this front is available to it even if the others use more than is left to them
	// after the limit was lowered.
	return max(available, min(c.reserved[front], c.limit)-c.used[front], 0)
}

// Acquire acquires n units for a front. If they are not available, it returns false and acquires none.
func (c *Capacity) Acquire(front string, n int64) bool {
	if n > c.Available(front) {
		return false
	}
	c.used[front] += n
	return true
}

// Release releases n units of a front.
func (c *Capacity) Release(front string, n int64) { c.used[front] = max(0, c.used[front]-n) }

// SetUsed sets how many units a front uses, if use is measured instead of acquired.
func (c *Capacity) SetUsed(front string, n int64) { c.used[front] = max(0, n) }

// Used returns how many units a front uses.
func (c *Capacity) Used(front string) int64 { return c.used[front] }

// TotalUsed returns how many units all fronts use.
func (c *Capacity) TotalUsed() (total int64) {
	for _, used := range c.used {
		total += used
	}
	return total
}
