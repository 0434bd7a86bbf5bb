// Package replayguard decides whether a message of a peer is new. Messages come late, doubled and out of order,
// and somebody who listens may send one again. It does no I/O and reads no clock.
package replayguard

// width is how far behind the newest a message may come: networks put some out of order.
const width = 1024

// Window is what was taken of one sender. The zero value has taken nothing.
type Window struct {
	born uint64 // the sender's life
	top  uint64 // greatest number taken
	seen [width / 64]uint64
}

// Take reports whether a message of a life and with a number, from 1 on, is new, and remembers it. Messages
// of earlier lives, and such as are too far behind, are not.
func (w *Window) Take(born, seq uint64) bool {
	switch {
	case seq == 0 || born < w.born:
		return false
	case born > w.born:
		*w = Window{born: born}
	}
	if seq > w.top {
		if seq-w.top >= width {
			clear(w.seen[:])
		} else {
			for n := w.top + 1; n < seq; n++ {
				w.set(n, false)
			}
		}
		w.top = seq
		w.set(seq, true)
		return true
	}
	if w.top-seq >= width || w.seen[seq%width/64]&(1<<(seq%64)) != 0 {
		return false
	}
	w.set(seq, true)
	return true
}

func (w *Window) set(seq uint64, on bool) {
	if bit := uint64(1) << (seq % 64); on {
		w.seen[seq%width/64] |= bit
	} else {
		w.seen[seq%width/64] &^= bit
	}
}

// Windows are those of many senders, a bounded number: the ones heard of last.
type Windows struct {
	most  int
	of    map[string]*Window
	order []string
}

// NewWindows returns windows for up to most senders.
func NewWindows(most int) *Windows { return &Windows{most: most, of: map[string]*Window{}} }

// Take is Window's, by sender. known says that the sender is a member: of others nothing is remembered, and
// nothing taken.
func (w *Windows) Take(sender string, known bool, born, seq uint64) bool {
	if !known {
		return false
	}
	v := w.of[sender]
	if v == nil {
		if len(w.order) >= w.most {
			delete(w.of, w.order[0])
			w.order = w.order[1:]
		}
		v = &Window{}
		w.of[sender] = v
		w.order = append(w.order, sender)
	}
	return v.Take(born, seq)
}
