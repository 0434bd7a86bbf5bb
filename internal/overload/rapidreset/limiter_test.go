package rapidreset

import (
	"testing"
	"time"
)

// TestLimiter checks that a client which cancels its calls at once exceeds the limits after its burst. A
// client does not exceed them if it lets calls run for a while before it cancels them, cancels no faster than
// the rate, or lets as many calls run to their end as it cancels.
func TestLimiter(t *testing.T) {
	limits := DefaultLimits()
	for name, c := range map[string]struct {
		pause, duration time.Duration
		completed       int // calls that run to their end for each cancelled one
		exceeds         bool
	}{
		"cancelled at once":            {exceeds: true},
		"a little above the rate":      {pause: 19 * time.Millisecond, exceeds: true},
		"at the rate":                  {pause: 20 * time.Millisecond},
		"cancelled at EarlyCancel":     {duration: limits.EarlyCancel},
		"as many run to their end":     {completed: 1},
		"cancelled before EarlyCancel": {duration: limits.EarlyCancel - 1, exceeds: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			l := New(limits, now)
			exceededAt := 0
			for i := 1; i <= 20000 && exceededAt == 0; i++ {
				now += c.pause
				for range c.completed {
					if l.CallEnded(now, 0, false) {
						t.Fatalf("call %d that ran to its end exceeded the limits", i)
					}
				}
				if l.CallEnded(now, c.duration, true) {
					exceededAt = i
				}
			}
			if c.exceeds != (exceededAt > 0) {
				t.Errorf("exceeded at call %d, want it to: %v", exceededAt, c.exceeds)
			}
			if c.exceeds && exceededAt <= int(limits.Burst) {
				t.Errorf("exceeded at call %d, within the burst of %v", exceededAt, limits.Burst)
			}
		})
	}
}
