package config

import "path/filepath"

// RosterBlock is the block of the discovery service that provides the endpoint list.
type RosterBlock struct {
	EDS     string `hcl:"eds"`
	Service string `hcl:"service,optional"`
	Cache   string `hcl:"cache,optional"`
}

const (
	defaultDiscoveryService = "engines"
	// cacheFileName is the default name of the cached endpoint list in the state directory.
	cacheFileName = "list"
)

func (v *validator) applyRoster(cfg *Config, b *RosterBlock) {
	if b == nil {
		v.errorf(fileScope, "roster", "a block roster { eds = \"host:port\" } is wanted")
		return
	}
	cfg.DiscoveryAddr, cfg.EndpointCacheFile = b.EDS, b.Cache
	cfg.DiscoveryService = orDefault(b.Service, defaultDiscoveryService)
	if cfg.EndpointCacheFile == "" && cfg.StateDir != "" {
		cfg.EndpointCacheFile = cacheFileIn(cfg.StateDir)
	}
	v.loopback(inBlock("roster"), "eds", b.EDS)
}

func cacheFileIn(stateDir string) string { return filepath.Join(stateDir, cacheFileName) }
