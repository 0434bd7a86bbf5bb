package platform

import (
	"reflect"
	"time"
)

const (
	reloadRetryDelay = 200 * time.Millisecond // before a configuration that can't be read is read again...
	fastReloadTries  = 10                     // ...so often: it may be half written...
	slowReloadDelay  = time.Second            // ...and from then on
)

// reloadRetry reads the configuration again until it can be read: the old discovery service may be
// gone, so the file is needed however long it takes. It belongs to the lifecycle's goroutine.
type reloadRetry struct {
	service *service
	timer   <-chan time.Time // of the next try; nil: there is none
	tries   int
}

// start begins a reload, in place of one that goes on.
func (r *reloadRetry) start() {
	r.tries = 0
	r.try()
}

// try reads the configuration, or sets the timer of the next try.
func (r *reloadRetry) try() {
	r.timer = nil
	if r.service.reload() {
		return
	}
	if r.tries++; r.tries < fastReloadTries {
		r.timer = time.After(reloadRetryDelay)
	} else {
		r.timer = time.After(slowReloadDelay)
	}
}

// reload reads the configuration again, and reports whether it could be read. One that can't be read must
// not end the dispatcher, and changes nothing.
func (s *service) reload() bool {
	cfg, err := Load(s.configPath)
	if err != nil {
		s.log.Error("configuration not reloaded", "error", err)
		return false
	}
	s.log.Info("configuration reloaded", "discovery", cfg.DiscoveryAddr)
	s.recordChange("configuration reloaded, discovery at " + cfg.DiscoveryAddr)
	if !mutantEnabled(mutantIgnoreReload) {
		s.watcher.redirect(cfg.DiscoveryAddr)
	}
	// Not left to the discovery service: it may be slow at its new address, and the dispatcher is
	// judged by what the file knows.
	if err := s.watcher.applyKnown(cfg.Known.Events); err != nil {
		s.log.Error("known discovery events ignored", "error", err)
	}
	now, then := cfg.Module, s.cfg.Module
	now.Seed = then.Seed // each file has a new one
	if cfg.Listen != s.cfg.Listen || cfg.Limits != s.cfg.Limits || !reflect.DeepEqual(now, then) {
		s.log.Warn("changes of listen, limits and settings need a restart")
	}
	return true
}
