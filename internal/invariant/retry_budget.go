package invariant

import (
	"slices"
	"time"
)

// retryCount counts retries and served requests for a retry budget. Both lists are in ascending order.
type retryCount struct {
	budget  RetryBudget
	served  []time.Time // times at which the requests that were served had been accepted
	retries []time.Time // times at which retries began
}

// addServed counts a request that was served, at the time it was accepted.
func (c *retryCount) addServed(acceptedAt time.Time) {
	if !c.budget.Enabled {
		return
	}
	i, _ := slices.BinarySearchFunc(c.served, acceptedAt, time.Time.Compare)
	c.served = slices.Insert(c.served, i, acceptedAt)
	// A request older than the newest one by a window counts for no later retry. Without this, a dispatcher
	// that never retries would keep every request that it served.
	newest := c.served[len(c.served)-1]
	c.served = keepAfter(c.served, newest.Add(-c.budget.Window))
}

// addRetry counts a retry that begins now.
func (c *retryCount) addRetry(now time.Time) {
	if c.budget.Enabled {
		c.retries = append(c.retries, now)
	}
}

// allowsRetry reports whether one more retry at now is within the budget.
func (c *retryCount) allowsRetry(now time.Time) bool {
	if !c.budget.Enabled {
		return true
	}
	windowStart := now.Add(-c.budget.Window)
	c.served = keepAfter(c.served, windowStart.Add(c.budget.ClockSkew))
	c.retries = keepAfter(c.retries, windowStart.Add(-c.budget.ClockSkew))
	return float64(len(c.retries)+1) <= c.budget.Free+c.budget.Ratio*float64(len(c.served))
}

// keepAfter removes the times that are not after start. times is in ascending order.
func keepAfter(times []time.Time, start time.Time) []time.Time {
	n, _ := slices.BinarySearchFunc(times, start, func(t, start time.Time) int {
		if t.After(start) {
			return 1
		}
		return -1
	})
	return slices.Delete(times, 0, n)
}
