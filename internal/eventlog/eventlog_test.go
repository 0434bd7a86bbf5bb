package eventlog

import (
	"log/slog"
	"testing"
)

// TestRingKeepsLastEventsInOrder: the last events of a request are told in order, however often the ring has
// gone round.
func TestRingKeepsLastEventsInOrder(t *testing.T) {
	for _, n := range []int{3, 8, 9, 21} {
		l := New(8, slog.New(slog.DiscardHandler))
		var want []int
		for i := range n {
			request := []string{"a", "b"}[i%2]
			l.Add(Event{Kind: AttemptSent, RequestID: request, Attempt: i})
			if request == "a" && i >= n-8 {
				want = append(want, i)
			}
		}
		got := l.Events("a")
		for i := range want {
			if len(got) != len(want) || got[i].Attempt != want[i] {
				t.Fatalf("after %d events: %v, want attempts %v", n, got, want)
			}
		}
	}
}
