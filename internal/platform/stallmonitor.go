package platform

import (
	"context"
	"sync"
	"time"

	"cresspass/internal/dispatch"
	"cresspass/internal/overload/stall"
)

// stallMonitor detects intervals in which the process was not scheduled: it beats a stall.Detector from a
// goroutine of its own. Its lock guards the detector, which any goroutine may ask.
type stallMonitor struct {
	clock dispatch.Clock

	mu       sync.Mutex
	detector *stall.Detector
}

func newStallMonitor(clock dispatch.Clock) *stallMonitor {
	return &stallMonitor{clock: clock, detector: stall.NewDetector(clock())}
}

// run beats until the context ends.
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

// maxWait returns how long something that is read now may have been in its socket, which was empty at a time.
// Where a stall may be the reason that it is read late, the system is asked.
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
