package server

import "cresspass/internal/dispatch/verdict"

// Drain starts the graceful shutdown: no more clients are accepted, idle ones are told to leave, and
// queries in flight run to their end. Idle returns true once nothing is left.
func (s *Server) Drain() {
	s.pgFrontend.Drain()
	if s.flightFrontend != nil {
		s.flightFrontend.Drain()
	}
}

// Idle reports whether no client is connected and no query is in flight.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clients() == 0 && len(s.queries) == 0
}

// TerminateAll ends what a drain has left, each query by one response, so that Idle becomes true.
func (s *Server) TerminateAll() {
	s.mu.Lock()
	var left []*query
	for _, q := range s.queries {
		left = append(left, q)
	}
	s.mu.Unlock()
	for _, q := range left {
		s.mu.Lock()
		v := verdict.ShuttingDown(q.attempted)
		s.mu.Unlock()
		s.Withdraw(q.Query, true)
		s.respond(q, v)
	}
	s.pgFrontend.TerminateAll()
	if s.flightFrontend != nil {
		s.flightFrontend.TerminateAll()
	}
}

// Close stops accepting clients, ends what is in flight, and returns once nothing runs any more.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.pgFrontend.Close()
		if s.flightFrontend != nil {
			s.flightFrontend.Close()
		}
		s.affinity.Close()
		s.pool.Close()
		s.saveLearned()
		s.cancel()
		s.loop.Close()
		s.background.Wait()
		if s.recorder != nil {
			s.recorder.Close()
		}
		// After the background goroutines: the maintenance of a successor process may join until they end.
		if p := s.membership.Load(); p != nil {
			p.Close()
		}
		if err := s.closeState(); err != nil {
			s.log.Error("closing the state failed", "error", err)
		}
	})
}
