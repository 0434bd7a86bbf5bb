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

// keeps tells the module of a session that is kept on an engine from here on, or is no more.
func (s *Server) keeps(engine cresspass.EngineID, kept bool) {
	ev := cresspass.Event{Type: cresspass.SessionKept, Engine: engine, Value: -1}
	if kept {
		ev.Value = 1
	}
	s.loop.Post(ev)
}

// note keeps a session for a later life, or forgets it.
func (s *Server) note(k *orphanedsession.Session, kept bool) {
	store := s.store.Load()
	switch {
	case store == nil:
	case kept:
		k.ID, k.Life = s.nextID.Add(1), s.life
		store.Put(storage.Kept(*k))
	default:
		store.Put(storage.Freed(k.ID))
	}
}

// mourn begins the hunt for what a former life left at engines, and enters this life's name.
func (s *Server) mourn(book *storage.Book) {
	lives, kept := book.Lives(), book.Kept()
	s.store.Load().Put(storage.Life(s.life))
	if len(lives) == 0 {
		return
	}
	s.log.Info("looking for sessions of a former life", "lives", len(lives), "noted", len(kept))
	s.mu.Lock()
	s.hunt = orphanedsession.New(s.clock(), lives, kept)
	s.mu.Unlock()
}

// hunted tells the hunt of a list.
func (s *Server) hunted(l *eds.List) {
	var engines []string
	for _, e := range l.Engines {
		engines = append(engines, e.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hunt != nil {
		s.hunt.Listed(engines)
	}
}

// visits carries out what the hunt asks for.
func (s *Server) visits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hunt == nil {
		return
	}
	for _, v := range s.hunt.Step(s.clock()) {
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			s.visit(v)
		}()
	}
	if s.hunt.Over() {
		s.hunt = nil
		if store := s.store.Load(); store != nil {
			store.Put(storage.Swept())
		}
	}
}

func (s *Server) visit(v orphanedsession.Visit) {
	n, err := s.pool.Terminate(v)
	if err != nil {
		s.log.Warn("sessions of a former life not ended", "engine", v.Engine, "error", err)
	} else if n > 0 {
		s.log.Info("sessions of a former life ended", "engine", v.Engine, "sessions", n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hunt == nil {
		return
	}
	for _, k := range s.hunt.Done(s.clock(), v.Engine, err == nil) {
		if store := s.store.Load(); store != nil {
			store.Put(storage.Freed(k.ID))
		}
	}
}

// harmless returns whether a function's name fits one of the patterns.
func harmless(patterns []string) func(name string) bool {
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
