package copyin

import (
	"bytes"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// TestPipe: all bytes come out once and in order, no more is queued than the limit plus one read, and each
// time the pipe asks the reader to stop it later signals that there is capacity.
func TestPipe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 300).Draw(t, "limit")
		var mu sync.Mutex
		stopped, resumed := 0, 0
		p := New(limit, func() { mu.Lock(); resumed++; mu.Unlock() })
		var in, out []byte
		var spare []byte
		queued := 0
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
				if queued += len(b); queued > limit+200 {
					t.Fatalf("%d bytes are queued at a limit of %d", queued, limit)
				}
				continue
			}
			b, end := p.Take(spare)
			if end != Open {
				t.Fatalf("ended by %v", end)
			}
			out = append(out, b...)
			queued -= len(b)
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
			t.Fatalf("stopped %d times, resumed %d times, full %v", stopped, resumed, p.Full())
		}
		p.Put([]byte("x"), Done)
		p.Put([]byte("late"), Open) // dropped, as the data has ended
		if b, end := p.Take(nil); string(b) != "x" || end != Done {
			t.Fatalf("%q, %v", b, end)
		}
	})
}
