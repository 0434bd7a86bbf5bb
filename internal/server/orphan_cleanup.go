package server

import (
	"path"
	"strings"

	"cresspass"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/storage"
)

// What the dispatcher does for sessions that are kept on engines. The decisions are in packages pin and
// params, and in the module.

// stickySessionChanged tells the module of a session that is kept on an engine from here on, or is no more.
func (s *Server) stickySessionChanged(engine cresspass.EngineID, kept bool) {
	ev := cresspass.Event{Type: cresspass.SessionCountChanged, Engine: engine, Value: -1}
	if kept {
		ev.Value = 1
	}
	s.loop.Post(ev)
}

// persistSession keeps a session for a later life, or forgets it.
func (s *Server) persistSession(k *orphanedsession.Session, kept bool) {
	store := s.store.Load()
	switch {
	case store == nil:
	case kept:
		k.ID, k.IncarnationName = s.nextID.Add(1), s.incarnationName
		store.Put(storage.StickySessionRecord(*k))
	default:
		store.Put(storage.SessionReleasedRecord(k.ID))
	}
}

// startOrphanCleanup begins the hunt for what a former life left at engines, and enters this life's name.
func (s *Server) startOrphanCleanup(book *storage.State) {
	lives, kept := book.IncarnationNames(), book.StickySessions()
	s.store.Load().Put(storage.IncarnationNameRecord(s.incarnationName))
	if len(lives) == 0 {
		return
	}
	s.log.Info("looking for sessions of a former life", "lives", len(lives), "noted", len(kept))
	s.mu.Lock()
	s.orphanCleanup = orphanedsession.New(s.clock(), lives, kept)
	s.mu.Unlock()
}

// updateOrphanCleanup tells the hunt of a list.
func (s *Server) updateOrphanCleanup(l *eds.List) {
	var engines []string
	for _, e := range l.Engines {
		engines = append(engines, e.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphanCleanup != nil {
		s.orphanCleanup.EnginesListed(engines)
	}
}

// runOrphanCleanup carries out what the hunt asks for.
func (s *Server) runOrphanCleanup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphanCleanup == nil {
		return
	}
	for _, v := range s.orphanCleanup.DueRequests(s.clock()) {
		s.background.Add(1)
		go func() {
			defer s.background.Done()
			s.terminateOrphans(v)
		}()
	}
	if s.orphanCleanup.Finished() {
		s.orphanCleanup = nil
		if store := s.store.Load(); store != nil {
			store.Put(storage.OrphansCleanedRecord())
		}
	}
}

func (s *Server) terminateOrphans(v orphanedsession.Request) {
	n, err := s.pool.TerminateSessions(v)
	if err != nil {
		s.log.Warn("sessions of a former life not ended", "engine", v.Engine, "error", err)
	} else if n > 0 {
		s.log.Info("sessions of a former life ended", "engine", v.Engine, "sessions", n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphanCleanup == nil {
		return
	}
	for _, k := range s.orphanCleanup.RequestDone(s.clock(), v.Engine, err == nil) {
		if store := s.store.Load(); store != nil {
			store.Put(storage.SessionReleasedRecord(k.ID))
		}
	}
}

// harmlessFunctions returns whether a function's name fits one of the patterns.
func harmlessFunctions(patterns []string) func(name string) bool {
	if len(patterns) == 0 {
		return nil
	}
	return func(name string) bool {
		name = strings.ToLower(name)
		for _, p := range patterns {
			if ok, _ := path.Match(p, name); ok {
				return true
			}
		}
		return false
	}
}
