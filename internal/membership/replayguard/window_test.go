package replayguard

import (
	"testing"

	"pgregory.net/rapid"
)

// Against a model that remembers all: nothing is taken twice, nothing of an earlier life, and whatever is new
// and not far behind is taken.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		taken := map[[2]uint64]bool{}
		born, top := uint64(1), uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			b := born
			switch rapid.IntRange(0, 9).Draw(t, "life") {
			case 0:
				b = uint64(rapid.IntRange(1, 4).Draw(t, "born"))
			}
			far := rapid.SampledFrom([]int{3, 70, 1100, 3000}).Draw(t, "far")
			seq := uint64(max(0, int(top)+rapid.IntRange(-far, far).Draw(t, "step")))
			got := w.Accept(b, seq)
			if b > born && seq > 0 {
				born, top = b, 0
			}
			want := seq > 0 && b == born && !taken[[2]uint64{b, seq}] && (seq > top || top-seq < windowSize)
			if got != want {
				t.Fatalf("life %d message %d after %d: taken %v, want %v", b, seq, top, got, want)
			}
			if got {
				taken[[2]uint64{b, seq}] = true
				top = max(top, seq)
			}
		}
	})
}
