package stall

import (
	"testing"
	"time"
)

// TestReadDelay checks that input which is read during a stall, or soon after one, may have arrived when the
// stall began, but not before the time at which there was no input.
func TestReadDelay(t *testing.T) {
	const ms = time.Millisecond
	m := NewDetector(1000 * ms)
	for at := 1050 * ms; at <= 1500*ms; at += HeartbeatInterval {
		m.Beat(at + 10*ms) // a little late, as usual
	}
	want := func(what string, now, since, waited time.Duration) {
		t.Helper()
		if got := m.ReadDelay(now*ms, since*ms); got != waited*ms {
			t.Errorf("%s: %v, want %v", what, got, waited*ms)
		}
	}
	want("no stall", 1520, 0, 0)
	want("in a stall, before its heartbeat", 2200, 0, 690)
	want("in a stall, no input in the middle of it", 2200, 2000, 200)
	m.Beat(2200 * ms)
	want("right after a stall", 2210, 1000, 700)
	want("right after a stall, no input in the middle of it", 2210, 2100, 110)
	want("no input after a stall", 2210, 2205, 0)
	m.Beat(2250 * ms)
	m.Beat(2300 * ms)
	m.Beat(2350 * ms)
	want("long after a stall", 2350, 0, 0)
	wantMax := func(now, emptyAt, bound time.Duration) {
		t.Helper()
		if got := m.MaxDelay(now*ms, emptyAt*ms); got != bound*ms {
			t.Errorf("at %d, empty at %d: at most %v, want %d ms", now, emptyAt, got, bound)
		}
	}
	wantMax(2350, 0, 840)
	wantMax(2350, 2100, 250)
	wantMax(2350, 2200, 0)
	wantMax(7201, 0, 0)
	m.Beat(2800 * ms) // a second stall soon after: input that arrived in the first may still be unread
	wantMax(2850, 0, 1340)
	want("after a stall soon after another", 2850, 0, 500)
	m.Beat(2850 * ms)
	m.Beat(3200 * ms)
	want("after a stall directly after another", 3210, 0, 860)
	want("in a third stall directly after these", 3600, 0, 1250)
}
