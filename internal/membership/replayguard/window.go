// Package replayguard decides whether a message of a peer is new. Messages come late, doubled and out of
// order, and somebody who listens may send one again. It does no I/O and reads no clock.
package replayguard

// windowSize is how far behind the newest a message may come: networks put some out of order.
const windowSize = 1024

// Window is what was taken of one sender. The zero value has taken nothing.
type Window struct {
	incarnation uint64 // the sender's life
	highest     uint64 // greatest number taken
	accepted    [windowSize / 64]uint64
}

// Accept reports whether a message of a life and with a number, from 1 on, is new, and remembers it. Messages
// of earlier lives, and such as are too far behind, are not.
func (w *Window) Accept(born, seq uint64) bool {
	switch {
	case seq == 0 || born < w.incarnation:
		return false
	case born > w.incarnation:
		*w = Window{incarnation: born}
	}
	if seq > w.highest {
		if seq-w.highest >= windowSize {
			clear(w.accepted[:])
		} else {
			for n := w.highest + 1; n < seq; n++ {
				w.mark(n, false)
			}
		}
		w.highest = seq
		w.mark(seq, true)
		return true
	}
	if w.highest-seq >= windowSize || w.accepted[seq%windowSize/64]&(1<<(seq%64)) != 0 {
		return false
	}
	w.mark(seq, true)
	return true
}

func (w *Window) mark(seq uint64, on bool) {
	if bit := uint64(1) << (seq % 64); on {
		w.accepted[seq%windowSize/64] |= bit
	} else {
		w.accepted[seq%windowSize/64] &^= bit
	}
}

// Guard are those of many senders, a bounded number: the ones heard of last.
type Guard struct {
	maxSenders int
	windows    map[string]*Window
	senders    []string
}

// NewGuard returns windows for up to most senders.
func NewGuard(most int) *Guard { return &Guard{maxSenders: most, windows: map[string]*Window{}} }

// Accept is Window's, by sender. known says that the sender is a member: of others nothing is remembered, and
// nothing taken.
func (w *Guard) Accept(sender string, known bool, born, seq uint64) bool {
	if !known {
		return false
	}
	v := w.windows[sender]
	if v == nil {
		if len(w.senders) >= w.maxSenders {
			delete(w.windows, w.senders[0])
			w.senders = w.senders[1:]
		}
		v = &Window{}
		w.windows[sender] = v
		w.senders = append(w.senders, sender)
	}
	return v.Accept(born, seq)
}
