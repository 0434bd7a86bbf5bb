// Package replayguard decides whether a message of a peer is new, by the sender's incarnation and the
// message's sequence number. Messages arrive late, twice and out of order, and an eavesdropper may replay a
// message. The package owns the record of the accepted messages, does no I/O and reads no clock.
package replayguard

// windowSize is the number of sequence numbers, counted down from the highest accepted one, whose messages
// may still be accepted: networks reorder messages.
const windowSize = 1024

const wordBits = 64

// Window is the record of one sender's messages. The zero value has accepted no message.
type Window struct {
	incarnation uint64
	highest     uint64                        // greatest sequence number accepted
	accepted    [windowSize / wordBits]uint64 // a bit for each of the windowSize numbers up to highest
}

// Accept reports whether a message is new, and records it as accepted. Sequence numbers begin at 1. Messages
// of earlier incarnations, and those too far behind the highest number, count as not new.
func (w *Window) Accept(incarnation, seq uint64) bool {
	switch {
	case seq == 0 || incarnation < w.incarnation:
		return false
	case incarnation > w.incarnation:
		*w = Window{incarnation: incarnation}
	}
	if seq > w.highest {
		w.advance(seq)
		w.mark(seq, true)
		return true
	}
	if w.highest-seq >= windowSize || w.isMarked(seq) {
		return false
	}
	w.mark(seq, true)
	return true
}

// advance moves the window up to a new highest number. The bits of skipped numbers may still be set for
// numbers that have left the window, so they are cleared.
func (w *Window) advance(highest uint64) {
	if highest-w.highest >= windowSize {
		clear(w.accepted[:])
	} else {
		for skipped := w.highest + 1; skipped < highest; skipped++ {
			w.mark(skipped, false)
		}
	}
	w.highest = highest
}

func (w *Window) isMarked(seq uint64) bool {
	return w.accepted[seq%windowSize/wordBits]&(1<<(seq%wordBits)) != 0
}

func (w *Window) mark(seq uint64, accepted bool) {
	word, bit := &w.accepted[seq%windowSize/wordBits], uint64(1)<<(seq%wordBits)
	if accepted {
		*word |= bit
	} else {
		*word &^= bit
	}
}
