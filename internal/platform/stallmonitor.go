package platform

import (
	"context"
	"sync"
	"time"

	"cresspass/internal/dispatch"
	"cresspass/internal/overload/stall"
)

// stallMonitor detects intervals in which the process was not scheduled: its own goroutine sends heartbeats
// to a stall.Detector. It is safe for concurrent use; its lock guards the detector.
type stallMonitor struct {
	clock dispatch.Clock

	mu       sync.Mutex
	detector *stall.Detector
}

func newStallMonitor(clock dispatch.Clock) *stallMonitor {
	return &stallMonitor{clock: clock, detector: stall.NewDetector(clock())}
}

// run sends heartbeats until the context ends.
func (s *stallMonitor) run(ctx context.Context) {
	beat := time.NewTicker(stall.HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			s.mu.Lock()
			s.detector.Beat(s.clock())
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// maxWait returns how long input that is read now may have been in its socket, which was last seen empty at
// emptyAt. If an earlier stall may have delayed the read, it calls measure, which asks the system for the
// time since the last input.
func (s *stallMonitor) maxWait(emptyAt time.Duration, measure func() time.Duration) time.Duration {
	if mutantEnabled(mutantNoStallDetection) {
		return 0
	}
	now := s.clock()
	s.mu.Lock()
	delay := s.detector.ReadDelay(now, emptyAt)
	limit := s.detector.MaxDelay(now, emptyAt)
	s.mu.Unlock()
	if limit <= delay {
		return delay
	}
	return max(delay, min(measure(), limit))
}
