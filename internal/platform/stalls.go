package platform

import (
	"context"
	"sync"
	"time"

	"cresspass/internal/dispatch"
	"cresspass/internal/overload/stall"
)

// stalls is the shell of a stall.Meter: its heartbeat.
type stalls struct {
	clock dispatch.Clock
	mu    sync.Mutex
	meter *stall.Meter
}

func newStalls(clock dispatch.Clock) *stalls {
	return &stalls{clock: clock, meter: stall.NewMeter(clock())}
}

// run beats until the context ends.
func (s *stalls) run(ctx context.Context) {
	beat := time.NewTicker(stall.Every)
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

// waited returns how long something that is read now may have lain there, if there was nothing at since.
func (s *stalls) waited(since time.Duration) time.Duration {
	if mutated(noStalls) {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meter.Waited(s.clock(), since)
}
