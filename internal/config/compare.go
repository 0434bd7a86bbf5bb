package config

import (
	"reflect"
	"slices"
)

// comparison says whether a setting is the same in two files, and whether a running dispatcher can apply a
// changed value.
type comparison struct {
	name string
	same bool
	live bool
}

// Compare returns the names of the settings that differ between two checked files: those that a running
// dispatcher can apply, and those that need a restart. The decision module's own settings need a restart,
// because the queries in flight depend on them.
func Compare(old, now *Config) (live, restart []string) {
	for _, c := range compareAll(old, now) {
		switch {
		case c.same:
		case c.live:
			live = append(live, c.name)
		default:
			restart = append(restart, c.name)
		}
	}
	return live, restart
}

// compareAll compares all settings. Operators see the names, in this order.
func compareAll(old, now *Config) []comparison {
	return []comparison{
		{"default_class", old.DefaultClass == now.DefaultClass, true},
		{"write_class", old.WriteClass == now.WriteClass, true},
		{"describe_class", old.DescribeClass == now.DescribeClass, true},
		{"match", equalMatches(old.Matches, now.Matches), true},
		{"max_clients", old.MaxClients == now.MaxClients, true},
		{"hold_back", old.HoldBack == now.HoldBack, true},
		{"startup_timeout", old.StartupTimeout == now.StartupTimeout, true},
		{"client_buffer", old.ClientBuffer == now.ClientBuffer, true},
		{"max_held", old.MaxOpenQueries == now.MaxOpenQueries, true},
		{"max_per_user", old.MaxConnectionsPerUser == now.MaxConnectionsPerUser, true},
		{"max_answer_memory", old.MaxBufferedBytes == now.MaxBufferedBytes, true},
		{"lag_limit", old.LagLimit == now.LagLimit, true},
		{"drain_for", old.DrainTimeout == now.DrainTimeout, true},
		{"log", old.LogLevel == now.LogLevel, true},
		{"log format", old.LogFormat == now.LogFormat, false},
		{"listen", old.Listen == now.Listen, false},
		{"sessions", old.SessionLimits == now.SessionLimits &&
			slices.Equal(old.HarmlessFunctions, now.HarmlessFunctions), false},
		{"hold_back_total", old.HoldBackTotal == now.HoldBackTotal, false},
		{"peers", reflect.DeepEqual(old.Peers.withKeys(now.Peers.Keys), now.Peers), false},
		{"keys of peers", reflect.DeepEqual(old.Peers.Keys, now.Peers.Keys), true},
		{"flight", old.Flight == now.Flight, false},
		{"record", old.RecordingDir == now.RecordingDir && old.RecordingLimits == now.RecordingLimits, false},
		{"shares", old.FrontQuotas == now.FrontQuotas, true},
		{"max_message", old.MaxMessage == now.MaxMessage, false},
		{"max_pending", old.MaxPending == now.MaxPending, false},
		{"roster", sameDiscovery(old, now), false},
		{"state", old.StateDir == now.StateDir && old.SnapshotInterval == now.SnapshotInterval, false},
		{"pid_file", old.PIDFile == now.PIDFile, false},
		{"health", old.HealthAddr == now.HealthAddr, false},
		{"takeover", old.TakeoverSocket == now.TakeoverSocket, false},
		{"engines", sameEngines(old, now), false},
		{"classes, kinds, tenants, rules, limits, ordinal, gateways, zone, seed or tick",
			reflect.DeepEqual(old.Module, now.Module), false},
	}
}

func sameDiscovery(old, now *Config) bool {
	return old.DiscoveryAddr == now.DiscoveryAddr && old.DiscoveryService == now.DiscoveryService &&
		old.EndpointCacheFile == now.EndpointCacheFile
}

func sameEngines(old, now *Config) bool {
	return old.EngineUser == now.EngineUser && old.EngineDatabase == now.EngineDatabase &&
		old.MaxConnections == now.MaxConnections && old.MaxPrepared == now.MaxPrepared &&
		old.ConnectTimeout == now.ConnectTimeout && old.CancelTimeout == now.CancelTimeout &&
		old.IdleTimeout == now.IdleTimeout
}
