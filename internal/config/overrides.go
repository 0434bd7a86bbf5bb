package config

import (
	"errors"
	"fmt"
)

// Overrides holds settings from the command line, which replace those of a file. Zero values change nothing,
// except that an Ordinal of 0 replaces the file's value.
type Overrides struct {
	Listen            string
	FlightListen      string
	DiscoveryAddr     string
	EndpointCacheFile string
	EngineUser        string
	StateDir          string
	HealthAddr        string
	TakeoverSocket    string
	Ordinal           int // below 0: the file's value is kept
	Gateways          int
}

// Apply applies the overrides to a checked file's settings. It then checks the ordinal, and that the
// addresses are on the loopback interface. After an error cfg may be partly changed.
func (o *Overrides) Apply(cfg *Config) error {
	cfg.Listen = orDefault(o.Listen, cfg.Listen)
	cfg.Flight.Listen = orDefault(o.FlightListen, cfg.Flight.Listen)
	cfg.DiscoveryAddr = orDefault(o.DiscoveryAddr, cfg.DiscoveryAddr)
	cfg.EndpointCacheFile = orDefault(o.EndpointCacheFile, cfg.EndpointCacheFile)
	cfg.EngineUser = orDefault(o.EngineUser, cfg.EngineUser)
	cfg.HealthAddr = orDefault(o.HealthAddr, cfg.HealthAddr)
	cfg.TakeoverSocket = orDefault(o.TakeoverSocket, cfg.TakeoverSocket)
	if o.StateDir != "" {
		// The path of the cached endpoint list follows the state directory, unless the file names another
		// path.
		if cfg.EndpointCacheFile == "" || cfg.EndpointCacheFile == cacheFileIn(cfg.StateDir) {
			cfg.EndpointCacheFile = cacheFileIn(o.StateDir)
		}
		cfg.StateDir = o.StateDir
	}
	m := &cfg.Module
	m.GatewayCount = orDefault(o.Gateways, m.GatewayCount)
	if o.Ordinal >= 0 {
		m.Ordinal = o.Ordinal
	}
	if m.Ordinal < 0 || m.Ordinal >= m.GatewayCount {
		return fmt.Errorf("ordinal %d is not within the %d gateways", m.Ordinal, m.GatewayCount)
	}
	var invalid []error
	for _, address := range []string{cfg.Flight.Listen, cfg.HealthAddr} {
		if address != "" {
			invalid = append(invalid, CheckLoopback(address))
		}
	}
	return errors.Join(append(invalid, CheckLoopback(cfg.Listen), CheckLoopback(cfg.DiscoveryAddr))...)
}
