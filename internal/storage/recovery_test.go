package storage

import (
	"testing"
	"time"
)

func TestRecoveryGuard(t *testing.T) {
	state := NewState()
	oneGroup, allGroups := testWrite(1, t0), testWrite(2, t0)
	allGroups.AllEngines = true
	state.Apply([]Record{WriteSentRecord(oneGroup), WriteSentRecord(allGroups)})
	restartedAt := t0.Add(time.Second)
	guard := NewRecoveryGuard(state, Instant{Wall: restartedAt}, 500*time.Millisecond)
	for _, c := range []struct {
		after time.Duration
		key   string
		hash  uint64
		want  Decision
		wait  time.Duration
	}{
		// the same write; only one group of engines drops it
		{0, "k1", 1, Reject, 14 * time.Second},
		// the same write; all engines drop it, so only its key is held back
		{0, "k2", 2, Delay, 500 * time.Millisecond},
		{0, "k1", 9, Delay, 500 * time.Millisecond},                         // another write with the key
		{0, "k9", 9, Allow, 0},                                              // another key
		{600 * time.Millisecond, "k2", 2, Allow, 0},                         // the key may be used again
		{600 * time.Millisecond, "k1", 1, Reject, 13400 * time.Millisecond}, // the write's window is not over
		{15 * time.Second, "k1", 1, Allow, 0},                               // the write's window is over
	} {
		if got, wait := guard.Check(c.after, "load", c.key, c.hash); got != c.want || wait != c.wait {
			t.Errorf("after %v key %s: %v for %v; want %v for %v", c.after, c.key, got, wait, c.want, c.wait)
		}
	}
	if guard.Remaining() != 0 {
		t.Errorf("%d writes are remembered after the end of their windows", guard.Remaining())
	}
}

// A wall clock that steps between two incarnations of a process does not shorten a window. After a reboot of
// the machine the elapsed time is not known, and the whole window counts.
func TestWindowsIgnoreWallClockSteps(t *testing.T) {
	sent := Instant{Wall: t0, BootID: "one", SinceBoot: time.Hour}
	w := testWrite(1, sent.Wall)
	w.BootID, w.SentSinceBoot = sent.BootID, sent.SinceBoot
	state := NewState()
	state.Apply([]Record{WriteSentRecord(w)})
	for _, c := range []struct {
		at   Instant
		want Decision
		wait time.Duration
	}{
		{Instant{t0.Add(time.Hour), "one", time.Hour + time.Second}, Reject, 14 * time.Second},
		{Instant{t0.Add(-time.Hour), "one", time.Hour + time.Second}, Reject, 14 * time.Second},
		{Instant{t0.Add(-time.Hour), "one", time.Hour + time.Minute}, Allow, 0},
		{Instant{t0.Add(time.Hour), "two", time.Second}, Reject, 15 * time.Second},
	} {
		if got, wait := NewRecoveryGuard(state, c.at, 0).Check(0, w.Class, "", w.Hash); got != c.want ||
			wait != c.wait {
			t.Errorf("restarted at %+v: %v for %v; want %v for %v", c.at, got, wait, c.want, c.wait)
		}
	}
}
