package invariant

import (
	"slices"
	"time"
)

// retryCount counts retries against their budget. Both lists are in ascending order.
type retryCount struct {
	budget  RetryBudget
	served  []time.Time // when requests were accepted that have been served
	retries []time.Time // when retries were begun
}

// addServed counts a request that was served, by when it was accepted.
func (c *retryCount) addServed(acceptedAt time.Time) {
	if !c.budget.Enabled {
		return
	}
	i, _ := slices.BinarySearchFunc(c.served, acceptedAt, time.Time.Compare)
	c.served = slices.Insert(c.served, i, acceptedAt)
	// A request that is a window older than the newest counts for no retry to come. Without this, a
	// dispatcher that never retries would keep each request it served.
	newest := c.served[len(c.served)-1]
	c.served = keepAfter(c.served, newest.Add(-c.budget.Window))
}

// addRetry counts a retry that begins now.
func (c *retryCount) addRetry(now time.Time) {
	if c.budget.Enabled {
		c.retries = append(c.retries, now)
	}
}

// allowsRetry reports whether one more retry is within the budget now.
func (c *retryCount) allowsRetry(now time.Time) bool {
	if !c.budget.Enabled {
		return true
	}
	windowStart := now.Add(-c.budget.Window)
	c.served = keepAfter(c.served, windowStart.Add(c.budget.ClockSkew))
	c.retries = keepAfter(c.retries, windowStart.Add(-c.budget.ClockSkew))
	return float64(len(c.retries)+1) <= c.budget.Free+c.budget.Ratio*float64(len(c.served))
}

// keepAfter drops the times, in ascending order, that are not after a start.
func keepAfter(times []time.Time, start time.Time) []time.Time {
	n, _ := slices.BinarySearchFunc(times, start, func(t, start time.Time) int {
		if t.After(start) {
			return 1
		}
		return -1
	})
	return slices.Delete(times, 0, n)
}
