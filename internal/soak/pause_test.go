package soak

import (
	"testing"
	"time"
)

// TestDueAfterRunning guards against killing a process too early, during a pause. That happened when only
// finished pauses extended its time.
func TestDueAfterRunning(t *testing.T) {
	zero := time.Now()
	at := func(milliseconds int) time.Time { return zero.Add(time.Duration(milliseconds) * time.Millisecond) }
	for name, test := range map[string]struct {
		pauses pauseList
		want   int // milliseconds; 1000 without pauses
	}{
		"no pause":                 {nil, 1000},
		"before":                   {pauseList{{at(-500), at(-100)}}, 1000},
		"under way at the start":   {pauseList{{at(-100), at(300)}}, 1300},
		"over":                     {pauseList{{at(100), at(500)}}, 1400},
		"under way at the end":     {pauseList{{at(900), at(1300)}}, 1400},
		"begins as it is due":      {pauseList{{at(1000), at(1400)}}, 1000},
		"begins in the time added": {pauseList{{at(900), at(1300)}, {at(1350), at(1750)}}, 1800},
		"one in the other":         {pauseList{{at(100), at(500)}, {at(200), at(400)}}, 1400},
		"overlapping":              {pauseList{{at(100), at(500)}, {at(400), at(600)}}, 1500},
	} {
		if got := test.pauses.dueAfterRunning(zero, time.Second); !got.Equal(at(test.want)) {
			t.Errorf("%s: got due after %v, want %d ms", name, got.Sub(zero), test.want)
		}
	}
}
