package server

import (
	"context"
	"time"

	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/pgfrontend"
)

// maintenanceInterval is how often the dispatcher looks after itself.
const maintenanceInterval = 100 * time.Millisecond

// runMaintenance does what is due at intervals, until the context ends.
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

// observeLoad tells the overload limiter how the event loop keeps up and what is buffered for clients.
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

// takeOver takes the state folder and the membership's address over once the process that had them has let
// go.
func (s *Server) takeOver(ctx context.Context) {
	if s.cfg.StateDir != "" && s.store.Load() == nil {
		s.takeOverState()
	}
	if s.cfg.TakingOver && s.cfg.Peers.Listen != "" && s.membership.Load() == nil && ctx.Err() == nil {
		s.logMembershipError(s.joinMembership()) // tried again after the next interval
	}
}
