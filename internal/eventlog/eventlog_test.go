package eventlog

import (
	"log/slog"
	"strings"
	"testing"
)

// TestRingKeepsLastEventsInOrder checks that the last events of a request are kept in order, however often
// the ring has wrapped around.
func TestRingKeepsLastEventsInOrder(t *testing.T) {
	for _, n := range []int{3, 8, 9, 21} {
		l := New(8, slog.New(slog.DiscardHandler))
		var want []int
		for i := range n {
			requestID := []string{"a", "b"}[i%2]
			l.Add(Event{Kind: AttemptSent, RequestID: requestID, Attempt: i})
			if requestID == "a" && i >= n-8 {
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

// TestEventsAsLines checks that an event is written to the log as a debug line and is part of its request's
// trace, and that both use the same keys for attempt, node and reason.
func TestEventsAsLines(t *testing.T) {
	var lines strings.Builder
	l := New(8, slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelDebug})))
	l.Add(Event{Kind: RequestReceived, RequestID: "a", Attempt: NoAttempt, Reason: "short"})
	l.Add(Event{Kind: AttemptSent, RequestID: "a", Attempt: 0, Node: "n:1"})
	for _, want := range []string{
		`msg="request received" request=a attempt=-1 node="" reason=short`,
		`msg="attempt sent" request=a attempt=0 node=n:1 reason=""`,
	} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("logged %q, want %q in it", lines.String(), want)
		}
	}
	trace := l.Trace("a")
	for _, want := range []string{
		`s request received reason="short" | `,
		`s attempt sent attempt=0 node=n:1`,
	} {
		if !strings.Contains(trace, want) {
			t.Errorf("trace %q, want %q in it", trace, want)
		}
	}
}
