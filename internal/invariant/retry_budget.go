package invariant

import (
	"slices"
	"time"
)

// retryUsage counts retries and served requests for a retry budget. Both lists are in ascending order.
type retryUsage struct {
	budget  RetryBudget
	served  []time.Time // times at which the requests that were served had been accepted
	retries []time.Time // times at which retries began
}

// addServed counts a request that was served, at the time it was accepted.
func (u *retryUsage) addServed(acceptedAt time.Time) {
	if !u.budget.Enabled {
		return
	}
	i, _ := slices.BinarySearchFunc(u.served, acceptedAt, time.Time.Compare)
	u.served = slices.Insert(u.served, i, acceptedAt)
	// A request older than the newest one by a window counts for no later retry. Without this, a dispatcher
	// that never retries would keep every request that it served.
	newest := u.served[len(u.served)-1]
	u.served = keepAfter(u.served, newest.Add(-u.budget.Window))
}

// addRetry counts a retry that begins now.
func (u *retryUsage) addRetry(now time.Time) {
	if u.budget.Enabled {
		u.retries = append(u.retries, now)
	}
}

// allowsRetry reports whether one more retry at now is within the budget.
func (u *retryUsage) allowsRetry(now time.Time) bool {
	if !u.budget.Enabled {
		return true
	}
	windowStart := now.Add(-u.budget.Window)
	u.served = keepAfter(u.served, windowStart.Add(u.budget.ClockSkew))
	u.retries = keepAfter(u.retries, windowStart.Add(-u.budget.ClockSkew))
	return float64(len(u.retries)+1) <= u.budget.Free+u.budget.Ratio*float64(len(u.served))
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
