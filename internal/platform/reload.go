package platform

import (
	"reflect"
	"time"
)

const (
	reloadRetryDelay = 200 * time.Millisecond // between the first tries: the file may be half written
	fastReloadTries  = 10                     // number of tries with reloadRetryDelay
	slowReloadDelay  = time.Second            // between later tries
)

// reloadRetry retries a reload until the configuration can be read: the old discovery service may be gone, so
// the new configuration is needed however long that takes. It belongs to the lifecycle's goroutine.
type reloadRetry struct {
	service *service
	timer   <-chan time.Time // of the next try; nil if none is due
	tries   int
}

// start begins a reload. It replaces one that is being retried.
func (r *reloadRetry) start() {
	r.tries = 0
	r.try()
}

// try reloads the configuration. If it can't be read, try sets the timer for the next try.
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

// reload reads the configuration again, and reports whether it could be read. A configuration that can't be
// read changes nothing and must not end the dispatcher.
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
	// The events are applied without waiting for the discovery service: it may be slow at its new address,
	// and the dispatcher is judged by the events in the file.
	if err := s.watcher.applyKnown(cfg.Known.Events); err != nil {
		s.log.Error("known discovery events ignored", "error", err)
	}
	updated, current := cfg.Module, s.cfg.Module
	updated.Seed = current.Seed // each file has a new seed
	if cfg.Listen != s.cfg.Listen || cfg.Limits != s.cfg.Limits || !reflect.DeepEqual(updated, current) {
		s.log.Warn("changes of listen, limits and settings need a restart")
	}
	return true
}
