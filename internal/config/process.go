package config

import (
	"time"

	"cresspass"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
	gigabyte = 1 << 30
)

// Defaults of the settings outside of blocks. Sizes are in bytes.
const (
	defaultListen           = "127.0.0.1:6432"
	defaultMaxClients       = 10000
	defaultStartupTimeout   = 10 * time.Second
	defaultHoldBack         = 16 * kilobyte
	defaultHoldBackTotal    = 64 * megabyte
	defaultMaxMessage       = 16 * megabyte
	defaultMaxPending       = megabyte
	defaultMaxInputBytes    = 256 * megabyte
	defaultClientBuffer     = 256 * kilobyte
	defaultSnapshotInterval = 10 * time.Second
	defaultDrainTimeout     = 30 * time.Second
	defaultLagLimit         = 50 * time.Millisecond
	defaultMaxBufferedBytes = gigabyte
	defaultBatchInterval    = 5 * time.Millisecond
)

// applyListeners checks the settings for PostgreSQL clients and for health checks.
func (v *validator) applyListeners(cfg *Config, f *File) {
	cfg.Listen = orDefault(f.Listen, defaultListen)
	cfg.MaxClients = v.nonNegative("max_clients", f.MaxClients, defaultMaxClients)
	cfg.HoldBack = v.nonNegative("hold_back", f.HoldBack, defaultHoldBack)
	cfg.HoldBackTotal = int64(v.nonNegative("hold_back_total", f.HoldBackTotal, defaultHoldBackTotal))
	cfg.MaxMessage = v.nonNegative("max_message", f.MaxMessage, defaultMaxMessage)
	cfg.MaxPending = v.nonNegative("max_pending", f.MaxPending, defaultMaxPending)
	cfg.MaxInputBytes = int64(v.nonNegative("max_input_memory", f.MaxInputBytes, defaultMaxInputBytes))
	cfg.ClientBuffer = v.nonNegative("client_buffer", f.ClientBuffer, defaultClientBuffer)
	v.loopback(fileScope, "listen", cfg.Listen)
	if f.HealthAddr != "" {
		v.loopback(fileScope, "health", f.HealthAddr)
	}
	cfg.HealthAddr = f.HealthAddr
}

// applyProcess checks the settings of the process and its files.
func (v *validator) applyProcess(cfg *Config, f *File) {
	cfg.StateDir, cfg.PIDFile, cfg.TakeoverSocket = f.StateDir, f.PIDFile, f.TakeoverSocket
	cfg.SnapshotInterval = v.duration(fileScope, "state_every", f.SnapshotInterval, defaultSnapshotInterval)
	cfg.DrainTimeout = v.duration(fileScope, "drain_for", f.DrainTimeout, defaultDrainTimeout)
}

// applyOverload checks the limits that protect the dispatcher from overload.
func (v *validator) applyOverload(cfg *Config, f *File) {
	cfg.LagLimit = v.duration(fileScope, "lag_limit", f.LagLimit, defaultLagLimit)
	cfg.MaxBufferedBytes = int64(v.nonNegative("max_answer_memory", f.MaxBufferedBytes,
		defaultMaxBufferedBytes))
	cfg.MaxOpenQueries = v.nonNegative("max_held", f.MaxOpenQueries, 0)
	cfg.MaxConnectionsPerUser = v.nonNegative("max_per_user", f.MaxConnectionsPerUser, 0)
	cfg.StartupTimeout = v.duration(fileScope, "startup_timeout", f.StartupTimeout, defaultStartupTimeout)
}

// applyDispatcher checks the settings that describe this dispatcher, and its ordinal among the others, to the
// decision module.
func (v *validator) applyDispatcher(m *cresspass.Config, f *File) {
	m.Seed, m.Ordinal, m.Zone = uint64(f.Seed), f.Ordinal, f.Zone
	m.GatewayCount = orDefault(f.GatewayCount, 1)
	m.BatchInterval = v.duration(fileScope, "tick", f.BatchInterval, defaultBatchInterval)
	if m.GatewayCount < 1 || m.Ordinal < 0 || m.Ordinal >= m.GatewayCount {
		v.errorf(fileScope, "ordinal", "%d is not within the %d gateways", m.Ordinal, m.GatewayCount)
	}
	m.MayCancel, m.MaySendRetryAfter = true, true
}
