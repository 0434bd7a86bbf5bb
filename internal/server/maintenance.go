package server

import (
	"context"
	"time"

	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/pgfrontend"
)

// maintenanceInterval is the interval of the periodic tasks.
const maintenanceInterval = 100 * time.Millisecond

// runMaintenance runs the periodic tasks until the context ends.
func (s *Server) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	lastSnapshot := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.observeLoad()
		s.runOrphanCleanup()
		s.takeOver(ctx)
		if time.Since(lastSnapshot) >= s.cfg.SnapshotInterval {
			lastSnapshot = time.Now()
			s.saveLearned()
		}
	}
}

// observeLoad passes the event loop's lag and the bytes buffered for clients to the overload limiter.
func (s *Server) observeLoad() {
	s.overloadLock.Lock()
	lagging, changed := s.overloadLimiter.ObserveLag(s.loop.TakeLongestStep())
	s.overloadLimiter.SetBufferedBytes(pgfrontend.Name, s.pgFrontend.Pending())
	if s.flightFrontend != nil {
		s.overloadLimiter.SetBufferedBytes(flightsql.Name, s.flightFrontend.Pending())
	}
	s.overloadLock.Unlock()
	s.loopLagging.Store(lagging)
	if changed {
		s.log.Warn("event loop lag", "lagging", lagging)
	}
}

// takeOver opens the state folder and joins membership, each once the predecessor has released the folder or
// the address. What is already open or joined stays as it is.
func (s *Server) takeOver(ctx context.Context) {
	if s.cfg.StateDir != "" && s.store.Load() == nil {
		s.takeOverState()
	}
	if s.cfg.TakingOver && s.cfg.Peers.Listen != "" && s.membership.Load() == nil && ctx.Err() == nil {
		s.logMembershipError(s.joinMembership()) // retried after the next interval
	}
}
