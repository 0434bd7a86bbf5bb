package copyin

import (
	"bytes"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// What goes in comes out in order and once, no more than the limit and one read wait, and who was told to
// stop is told of room.
func TestPipe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 300).Draw(t, "most")
		var mu sync.Mutex
		stopped, resumed := 0, 0
		p := New(most, func() { mu.Lock(); resumed++; mu.Unlock() })
		var in, out []byte
		var spare []byte
		waits := 0
		next := byte(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") && !p.Full() {
				b := make([]byte, rapid.IntRange(0, 200).Draw(t, "n"))
				for i := range b {
					b[i] = next
					next++
				}
				in = append(in, b...)
				if p.Put(b, Open) {
					stopped++
				}
				if waits += len(b); waits > most+200 {
					t.Fatalf("%d bytes wait at a limit of %d", waits, most)
				}
				continue
			}
			b, end := p.Take(spare)
			if end != Open {
				t.Fatalf("ended by %v", end)
			}
			out = append(out, b...)
			waits -= len(b)
			spare = b
			p.MarkSent()
		}
		b, _ := p.Take(nil)
		out = append(out, b...)
		p.MarkSent()
		if !bytes.Equal(in, out) {
			t.Fatalf("%d bytes in, %d out", len(in), len(out))
		}
		if resumed != stopped || p.Full() {
			t.Fatalf("stopped %d times, told of room %d times, full %v", stopped, resumed, p.Full())
		}
		p.Put([]byte("x"), Done)
		p.Put([]byte("late"), Open) // behind the end nothing counts
		if b, end := p.Take(nil); string(b) != "x" || end != Done {
			t.Fatalf("%q, %v", b, end)
		}
	})
}
