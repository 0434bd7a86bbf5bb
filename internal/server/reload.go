package server

import (
	"fmt"

	"cresspass/internal/config"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/pgfrontend"
)

// Reload applies new settings and returns the names of those that changed. If a change needs a restart or a
// hand-over to a new process, the error names the setting and nothing changes. Nothing changes either if the
// peers' keys cannot be set.
func (s *Server) Reload(cfg *config.Config) ([]string, error) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	changed, restart := config.Compare(s.activeConfig, cfg)
	if len(restart) > 0 {
		return nil, fmt.Errorf("nothing is changed: %v need a restart", restart)
	}
	if p := s.membership.Load(); p != nil {
		if err := p.SetKeys(cfg.Peers.Keys); err != nil {
			return nil, fmt.Errorf("nothing is changed: %w", err)
		}
	}
	s.activeConfig = cfg
	s.classifier.Store(classify.New(cfg))
	s.pgFrontend.Reload(func(f *pgfrontend.Config) {
		f.MaxClients, f.StartupTimeout = cfg.MaxClients, cfg.StartupTimeout
		f.HoldBack, f.ClientBuffer = cfg.HoldBack, cfg.ClientBuffer
	})
	if s.flightFrontend != nil {
		s.flightFrontend.SetBuffers(cfg.HoldBack, cfg.ClientBuffer)
	}
	s.overloadLimiter.SetLimits(overloadLimits(cfg))
	return changed, nil
}
