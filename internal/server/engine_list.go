package server

import (
	"errors"
	"os"
	"time"

	"cresspass"
	"cresspass/internal/discovery/eds"
)

// sessionDrainTenths is the part of the drain grace, in tenths, after which the sticky sessions on a draining
// engine are ended. The rest ensures that no statement is sent to the engine after the grace.
const sessionDrainTenths = 8

// EngineActive reports whether an engine accepts new queries according to the last engine list.
func (s *Server) EngineActive(address string) bool {
	e := s.listedEngine(address)
	return e != nil && e.State == eds.StateActive
}

// listedEngine returns an engine's entry in the last engine list, or nil.
func (s *Server) listedEngine(address string) *eds.Engine {
	l := s.engineList.Load()
	if l == nil {
		return nil
	}
	return l.Lookup(address)
}

// loadCachedList passes the cached engine list of an earlier process to the module, marked as cached because
// it may be out of date.
func (s *Server) loadCachedList() {
	if s.cfg.EndpointCacheFile == "" {
		return
	}
	l, err := eds.LoadCache(s.cfg.EndpointCacheFile)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		s.log.Error("cached engine list not used", "error", err)
		return
	}
	age := time.Since(l.ReceivedAt).Round(time.Second)
	s.log.Info("cached engine list loaded", "version", l.Version, "engines", len(l.Engines), "age", age)
	s.engineList.Store(l)
	s.postEngineList(cresspass.ListCached, l)
}

// postEngineList passes an engine list to the module.
func (s *Server) postEngineList(listType cresspass.EngineListType, l *eds.List) {
	s.startClockLock.Lock()
	infos := l.EngineInfos(s.clock(), s.startClock)
	s.startClockLock.Unlock()
	s.loop.Post(cresspass.Event{Type: cresspass.EngineListReceived, ListType: listType, Engines: infos})
	s.listReadyOnce.Do(func() { close(s.listReady) })
}

// handleEngineList handles an engine list that endpoint discovery has delivered.
func (s *Server) handleEngineList(l *eds.List) {
	s.postEngineList(cresspass.ListComplete, l)
	listed := map[cresspass.EngineID]bool{}
	for _, e := range l.Engines {
		listed[cresspass.EngineID(e.Address)] = true
	}
	s.pool.RetainEngines(listed)
	s.publishEngineList(l)
	s.updateOrphanCleanup(l)
	sessionGrace := s.cfg.Module.Rules.DrainGrace * sessionDrainTenths / 10
	for _, e := range l.Engines {
		if e.State == eds.StateDraining {
			s.pool.Drain(cresspass.EngineID(e.Address), sessionGrace)
		}
	}
	s.log.Info("engine list received", "version", l.Version, "engines", len(l.Engines))
	if s.cfg.EndpointCacheFile == "" {
		return
	}
	if err := eds.SaveCache(s.cfg.EndpointCacheFile, l); err != nil {
		s.log.Error("engine list not cached", "error", err)
	}
}

// handleListFailure handles the end of a subscription to endpoint discovery.
func (s *Server) handleListFailure(err error) {
	s.log.Warn("endpoint discovery unavailable", "error", err)
	s.loop.Post(cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListFailed})
}
