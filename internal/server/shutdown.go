package server

import "cresspass/internal/dispatch/verdict"

// Drain starts the graceful shutdown: no more clients are accepted, the frontends disconnect idle clients
// that have no sticky session, and queries in flight run to completion. Idle returns true once no client or
// query is left.
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

// TerminateAll ends the queries and clients that a drain has left, each query with one response, so that Idle
// returns true.
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

// Close stops accepting clients, ends the queries in flight, and returns once all parts have stopped. Further
// calls do nothing.
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
		// Membership is closed after the background goroutines have ended, as the maintenance goroutine of a
		// process that takes over may join membership until then.
		if p := s.membership.Load(); p != nil {
			p.Close()
		}
		if err := s.closeState(); err != nil {
			s.log.Error("state folder not closed", "error", err)
		}
	})
}
