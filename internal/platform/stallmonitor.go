package platform

import (
	"context"
	"sync"
	"time"

	"cresspass/internal/dispatch"
	"cresspass/internal/overload/stall"
)

// stallMonitor is the shell of a stall.Meter: its heartbeat.
type stallMonitor struct {
	clock dispatch.Clock
	mu    sync.Mutex
	meter *stall.Detector
}

func newStallMonitor(clock dispatch.Clock) *stallMonitor {
	return &stallMonitor{clock: clock, meter: stall.NewDetector(clock())}
}

// run beats until the context ends.
func (s *stallMonitor) run(ctx context.Context) {
	beat := time.NewTicker(stall.HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			s.mu.Lock()
			s.meter.Beat(s.clock())
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// maxWait returns how long something that is read now may have lain there, if there was nothing at since.
func (s *stallMonitor) maxWait(since time.Duration) time.Duration {
	if mutated(noStalls) {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meter.ReadDelay(s.clock(), since)
}
