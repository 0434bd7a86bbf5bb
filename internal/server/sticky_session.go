package server

import (
	"path"
	"strings"

	"cresspass"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/storage"
)

// This file handles sticky sessions, which are bound to an engine. Package affinity decides which sessions
// are sticky; the module places them.

// stickySessionChanged reports to the module that a session has become sticky on an engine, or is no longer
// sticky there.
func (s *Server) stickySessionChanged(engine cresspass.EngineID, sticky bool) {
	change := -1.0
	if sticky {
		change = 1
	}
	s.loop.Post(cresspass.Event{Type: cresspass.SessionCountChanged, Engine: engine, Value: change})
}

// persistSession records a sticky session for the next incarnation, or removes its record. It sets the ID and
// the incarnation name of a session that it records.
func (s *Server) persistSession(session *orphanedsession.Session, sticky bool) {
	store := s.store.Load()
	if store == nil {
		return
	}
	if !sticky {
		store.Put(storage.SessionReleasedRecord(session.ID))
		return
	}
	session.ID, session.IncarnationName = s.nextID.Add(1), s.incarnationName
	store.Put(storage.StickySessionRecord(*session))
}

// functionMatcher returns a function that reports whether an SQL function's name, in any case, matches one of
// the patterns. It returns nil if there are no patterns. Their syntax was checked with the settings.
func functionMatcher(patterns []string) func(name string) bool {
	if len(patterns) == 0 {
		return nil
	}
	return func(name string) bool {
		name = strings.ToLower(name)
		for _, pattern := range patterns {
			if ok, err := path.Match(pattern, name); ok && err == nil {
				return true
			}
		}
		return false
	}
}
