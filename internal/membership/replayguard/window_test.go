package replayguard

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The window accepts the same messages as a model that records all messages: none twice, none of an earlier
// incarnation, none too far behind, and all others.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		accepted := map[[2]uint64]bool{}
		current, highest := uint64(1), uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			incarnation := current
			if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
				incarnation = uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
			}
			far := rapid.SampledFrom([]int{3, 70, 1100, 3000}).Draw(t, "far")
			seq := uint64(max(0, int(highest)+rapid.IntRange(-far, far).Draw(t, "step")))
			got := w.Accept(incarnation, seq)
			if incarnation > current && seq > 0 {
				current, highest = incarnation, 0
			}
			want := seq > 0 && incarnation == current && !accepted[[2]uint64{incarnation, seq}] &&
				(seq > highest || highest-seq < windowSize)
			if got != want {
				t.Fatalf("incarnation %d message %d after %d: accepted %v, want %v",
					incarnation, seq, highest, got, want)
			}
			if got {
				accepted[[2]uint64{incarnation, seq}] = true
				highest = max(highest, seq)
			}
		}
	})
}

// A guard accepts no message of unknown senders and records nothing about them. It keeps a bounded number of
// windows, and drops the oldest.
func TestGuard(t *testing.T) {
	g := NewGuard(2)
	if g.Accept("x", false, 1, 1) || len(g.windows) != 0 {
		t.Error("a message of an unknown sender")
	}
	for i := range 3 {
		sender := fmt.Sprint("m", i)
		if !g.Accept(sender, true, 1, 1) || g.Accept(sender, true, 1, 1) {
			t.Errorf("%s: not accepted once", sender)
		}
	}
	if len(g.windows) != 2 || len(g.senders) != 2 || g.windows["m0"] != nil {
		t.Errorf("windows of %v are kept", g.senders)
	}
	if g.Accept("m2", true, 1, 1) {
		t.Error("a message of a sender with a window was accepted twice")
	}
}
