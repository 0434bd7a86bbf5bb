// Package quota divides a limit between the fronts: a part is set apart for each, the rest goes to whoever
// comes. What is set apart for one front is never given to another, so that a front under attack takes no
// more than its own part and the rest. It does no I/O and has no clock.
package quota

// Room is one limit, divided. The zero value sets no limit. It is for one goroutine at a time.
type Room struct {
	most  int64 // 0: no limit
	apart map[string]int64
	used  map[string]int64
}

// New returns a room of most units, of which each front has a share (0 to 1) to itself. Shares that together
// exceed the whole are cut in proportion.
func New(most int64, shares map[string]float64) *Room {
	r := &Room{used: map[string]int64{}}
	r.Set(most, shares)
	return r
}

// Set changes the limit. What is in use stays.
func (r *Room) Set(most int64, shares map[string]float64) {
	total := 0.0
	for _, s := range shares {
		total += max(s, 0)
	}
	total = max(total, 1)
	r.most, r.apart = most, map[string]int64{}
	for front, s := range shares {
		r.apart[front] = int64(float64(most) * max(s, 0) / total)
	}
}

// Free is how much a front may take now; a limit of none gives the largest number.
func (r *Room) Free(front string) int64 {
	if r.most == 0 {
		return 1<<63 - 1
	}
	left := r.most - max(r.used[front], 0)
	for other, apart := range r.apart {
		if other != front {
			left -= max(apart, r.used[other])
		}
	}
	for other, used := range r.used {
		if _, ok := r.apart[other]; !ok && other != front {
			left -= used
		}
	}
	// What is set apart for this front is free to it, whatever others hold beyond a limit that was lowered.
	return max(left, min(r.apart[front], r.most)-r.used[front], 0)
}

// Take takes n units for a front. It returns false, and takes none, where there is no room.
func (r *Room) Take(front string, n int64) bool {
	if n > r.Free(front) {
		return false
	}
	r.used[front] += n
	return true
}

// Give gives n units back.
func (r *Room) Give(front string, n int64) { r.used[front] = max(0, r.used[front]-n) }

// Hold tells how much a front holds, where that is measured and not taken.
func (r *Room) Hold(front string, n int64) { r.used[front] = max(0, n) }

// Used is what a front holds.
func (r *Room) Used(front string) int64 { return r.used[front] }

// Total is what all fronts hold.
func (r *Room) Total() (n int64) {
	for _, u := range r.used {
		n += u
	}
	return n
}
