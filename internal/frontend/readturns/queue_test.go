package readturns

import (
	"slices"
	"testing"
	"time"
)

// TestQueue checks that turns are granted one at a time, in the order of the requests, and that the pause
// after a turn follows from its duration.
func TestQueue(t *testing.T) {
	var pauses []time.Duration
	var pending func()
	q := NewQueue(func(pause time.Duration, grant func()) { pauses, pending = append(pauses, pause), grant })
	var granted []int
	for n := range 3 {
		q.Request(func() { granted = append(granted, n) })
	}
	for turn := range 3 {
		pending()
		if len(granted) != turn+1 || q.Idle() {
			t.Fatalf("after %d grants the turns %v were granted", turn+1, granted)
		}
		time.Sleep(10 * time.Millisecond)
		q.End()
	}
	if pending(); !slices.Equal(granted, []int{0, 1, 2}) || !q.Idle() {
		t.Errorf("turns %v were granted, idle: %v", granted, q.Idle())
	}
	if len(pauses) != 4 || pauses[0] != 0 || slices.Min(pauses[1:]) < 30*time.Millisecond ||
		slices.Max(pauses) > maxPause {
		t.Errorf("pauses %v, want none and then three times the turns, at most %v", pauses, maxPause)
	}
	if q.Request(func() { granted = append(granted, 3) }); len(pauses) != 5 || pauses[4] != 0 {
		t.Errorf("pauses %v; a request of an idle queue must not wait", pauses)
	}
}

// TestQueueWithTimer checks that a queue without a schedule grants all turns.
func TestQueueWithTimer(t *testing.T) {
	const turns = 50
	q := NewQueue(nil)
	done := make(chan struct{}, turns)
	for range turns {
		q.Request(func() {
			q.End()
			done <- struct{}{}
		})
	}
	for range turns {
		<-done
	}
}
