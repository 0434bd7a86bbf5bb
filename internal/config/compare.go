package config

import (
	"reflect"
	"slices"
)

// comparison holds whether a setting is the same in two files (same), and whether a running dispatcher can
// apply a changed value (live).
type comparison struct {
	name string
	same bool
	live bool
}

// Compare returns the names of the settings that differ between two checked files: those that a running
// dispatcher can apply, and those that need a restart. The decision module's own settings need a restart,
// because the queries in flight depend on them.
func Compare(old, updated *Config) (live, restart []string) {
	for _, c := range compareAll(old, updated) {
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

// compareAll compares all settings. A reload reports the names of those that differ, in this order.
func compareAll(old, updated *Config) []comparison {
	return []comparison{
		{"default_class", old.DefaultClass == updated.DefaultClass, true},
		{"write_class", old.WriteClass == updated.WriteClass, true},
		{"describe_class", old.DescribeClass == updated.DescribeClass, true},
		{"match", equalMatches(old.Matches, updated.Matches), true},
		{"max_clients", old.MaxClients == updated.MaxClients, true},
		{"hold_back", old.HoldBack == updated.HoldBack, true},
		{"startup_timeout", old.StartupTimeout == updated.StartupTimeout, true},
		{"client_buffer", old.ClientBuffer == updated.ClientBuffer, true},
		{"max_held", old.MaxOpenQueries == updated.MaxOpenQueries, true},
		{"max_per_user", old.MaxConnectionsPerUser == updated.MaxConnectionsPerUser, true},
		{"max_answer_memory", old.MaxBufferedBytes == updated.MaxBufferedBytes, true},
		{"lag_limit", old.LagLimit == updated.LagLimit, true},
		{"drain_for", old.DrainTimeout == updated.DrainTimeout, true},
		{"log", old.LogLevel == updated.LogLevel, true},
		{"log format", old.LogFormat == updated.LogFormat, false},
		{"listen", old.Listen == updated.Listen, false},
		{"sessions", old.SessionLimits == updated.SessionLimits &&
			slices.Equal(old.HarmlessFunctions, updated.HarmlessFunctions), false},
		{"hold_back_total", old.HoldBackTotal == updated.HoldBackTotal, false},
		{"peers", reflect.DeepEqual(old.Peers.withKeys(updated.Peers.Keys), updated.Peers), false},
		{"keys of peers", reflect.DeepEqual(old.Peers.Keys, updated.Peers.Keys), true},
		{"flight", old.Flight == updated.Flight, false},
		{"record", old.RecordingDir == updated.RecordingDir &&
			old.RecordingLimits == updated.RecordingLimits, false},
		{"shares", old.FrontQuotas == updated.FrontQuotas, true},
		{"max_message", old.MaxMessage == updated.MaxMessage, false},
		{"max_pending", old.MaxPending == updated.MaxPending, false},
		{"max_input_memory", old.MaxInputBytes == updated.MaxInputBytes, false},
		{"roster", sameDiscovery(old, updated), false},
		{"state", old.StateDir == updated.StateDir &&
			old.SnapshotInterval == updated.SnapshotInterval, false},
		{"pid_file", old.PIDFile == updated.PIDFile, false},
		{"health", old.HealthAddr == updated.HealthAddr, false},
		{"takeover", old.TakeoverSocket == updated.TakeoverSocket, false},
		{"engines", sameEngines(old, updated), false},
		{"classes, kinds, tenants, rules, limits, ordinal, gateways, zone, seed or tick",
			reflect.DeepEqual(old.Module, updated.Module), false},
	}
}

func sameDiscovery(old, updated *Config) bool {
	return old.DiscoveryAddr == updated.DiscoveryAddr && old.DiscoveryService == updated.DiscoveryService &&
		old.EndpointCacheFile == updated.EndpointCacheFile
}

func sameEngines(old, updated *Config) bool {
	return old.EngineUser == updated.EngineUser && old.EngineDatabase == updated.EngineDatabase &&
		old.MaxConnections == updated.MaxConnections && old.MaxPrepared == updated.MaxPrepared &&
		old.ConnectTimeout == updated.ConnectTimeout && old.CancelTimeout == updated.CancelTimeout &&
		old.IdleTimeout == updated.IdleTimeout
}
