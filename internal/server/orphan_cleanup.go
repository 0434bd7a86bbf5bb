package server

import (
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/storage"
)

// This file terminates the sessions that earlier incarnations left open on engines. Package orphanedsession
// decides which requests are sent for that.

// startOrphanCleanup starts the cleanup of earlier incarnations' sessions and records this one's name.
func (s *Server) startOrphanCleanup(state *storage.State) {
	incarnations, sessions := state.IncarnationNames(), state.StickySessions()
	s.store.Load().Put(storage.IncarnationNameRecord(s.incarnationName))
	if len(incarnations) == 0 {
		return
	}
	s.log.Info("orphaned session cleanup started", "incarnations", len(incarnations),
		"recorded_sessions", len(sessions))
	s.mu.Lock()
	s.orphanCleanup = orphanedsession.New(s.clock(), incarnations, sessions)
	s.mu.Unlock()
}

// updateOrphanCleanup passes the listed engines to the cleanup.
func (s *Server) updateOrphanCleanup(l *eds.List) {
	var addresses []string
	for _, e := range l.Engines {
		addresses = append(addresses, e.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphanCleanup != nil {
		s.orphanCleanup.EnginesListed(addresses)
	}
}

// runOrphanCleanup sends the requests that are due, each in its own goroutine, and ends the cleanup once it
// is finished.
func (s *Server) runOrphanCleanup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphanCleanup == nil {
		return
	}
	for _, request := range s.orphanCleanup.DueRequests(s.clock()) {
		s.background.Add(1)
		go func() {
			defer s.background.Done()
			s.terminateOrphans(request)
		}()
	}
	if s.orphanCleanup.Finished() {
		s.orphanCleanup = nil
		if store := s.store.Load(); store != nil {
			store.Put(storage.OrphansCleanedRecord())
		}
	}
}

// terminateOrphans executes one request and removes the records of the sessions that it has terminated.
func (s *Server) terminateOrphans(request orphanedsession.Request) {
	terminated, err := s.pool.TerminateSessions(request)
	if err != nil {
		s.log.Warn("orphaned sessions not terminated", "engine", request.Engine, "error", err)
	} else if terminated > 0 {
		s.log.Info("orphaned sessions terminated", "engine", request.Engine, "sessions", terminated)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphanCleanup == nil {
		return
	}
	for _, session := range s.orphanCleanup.RequestDone(s.clock(), request.Engine, err == nil) {
		if store := s.store.Load(); store != nil {
			store.Put(storage.SessionReleasedRecord(session.ID))
		}
	}
}
