// Package quota divides a limit between the fronts: a part is set apart for each, the rest goes to whoever
// comes. What is set apart for one front is never given to another, so that a front under attack takes no
// more than its own part and the rest. It does no I/O and has no clock.
package quota

// Capacity is one limit, divided. The zero value sets no limit. It is for one goroutine at a time.
type Capacity struct {
	limit    int64 // 0: no limit
	reserved map[string]int64
	used     map[string]int64
}

// New returns a room of most units, of which each front has a share (0 to 1) to itself. Shares that together
// exceed the whole are cut in proportion.
func New(limit int64, quotas map[string]float64) *Capacity {
	r := &Capacity{used: map[string]int64{}}
	r.SetLimit(limit, quotas)
	return r
}

// SetLimit changes the limit. What is in use stays.
func (r *Capacity) SetLimit(limit int64, quotas map[string]float64) {
	total := 0.0
	for _, s := range quotas {
		total += max(s, 0)
	}
	total = max(total, 1)
	r.limit, r.reserved = limit, map[string]int64{}
	for front, s := range quotas {
		r.reserved[front] = int64(float64(limit) * max(s, 0) / total)
	}
}

// Available is how much a front may take now; a limit of none gives the largest number.
func (r *Capacity) Available(front string) int64 {
	if r.limit == 0 {
		return 1<<63 - 1
	}
	available := r.limit - max(r.used[front], 0)
	for other, reserved := range r.reserved {
		if other != front {
			available -= max(reserved, r.used[other])
		}
	}
	for other, used := range r.used {
		if _, ok := r.reserved[other]; !ok && other != front {
			available -= used
		}
	}
	// What is set apart for this front is free to it, whatever others hold beyond a limit that was lowered.
	return max(available, min(r.reserved[front], r.limit)-r.used[front], 0)
}

// Acquire takes n units for a front. It returns false, and takes none, where there is no room.
func (r *Capacity) Acquire(front string, n int64) bool {
	if n > r.Available(front) {
		return false
	}
	r.used[front] += n
	return true
}

// Release gives n units back.
func (r *Capacity) Release(front string, n int64) { r.used[front] = max(0, r.used[front]-n) }

// SetUsed tells how much a front holds, where that is measured and not taken.
func (r *Capacity) SetUsed(front string, n int64) { r.used[front] = max(0, n) }

// Used is what a front holds.
func (r *Capacity) Used(front string) int64 { return r.used[front] }

// TotalUsed is what all fronts hold.
func (r *Capacity) TotalUsed() (n int64) {
	for _, u := range r.used {
		n += u
	}
	return n
}
