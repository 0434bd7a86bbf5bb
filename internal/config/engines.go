package config

import (
	"strings"
	"time"

	"cresspass"
)

// EnginesBlock is the block of the settings for connections to engines, and of what engines support and
// report.
type EnginesBlock struct {
	User                string   `hcl:"user,optional"`
	Database            string   `hcl:"database,optional"`
	MaxConnections      int      `hcl:"max_connections,optional"`
	ConnectTimeout      string   `hcl:"connect_timeout,optional"`
	CancelTimeout       string   `hcl:"cancel_timeout,optional"`
	IdleTimeout         string   `hcl:"idle_timeout,optional"`
	MaxPrepared         int      `hcl:"max_prepared,optional"`
	AcceptsMemoryGrants bool     `hcl:"takes_grants,optional"`
	AcceptsPriority     bool     `hcl:"takes_priority,optional"`
	MaxGrantShare       float64  `hcl:"max_grant_share,optional"`
	OnMemoryShortage    string   `hcl:"when_short,optional"`
	ProgressInterval    string   `hcl:"progress_every,optional"`
	LoadReportFields    []string `hcl:"report_fields,optional"`
	MayCheckHealth      bool     `hcl:"may_probe,optional"`
}

const (
	defaultEngineUser     = "cresspass"
	defaultEngineDatabase = "cresspass"
	defaultMaxConnections = 100
	defaultMaxPrepared    = 200
	defaultConnectTimeout = time.Second
	defaultCancelTimeout  = 2 * time.Second
	defaultIdleTimeout    = time.Minute
)

var memoryShortages = map[string]cresspass.MemoryShortage{
	"":       cresspass.ShortageUnknown,
	"wait":   cresspass.ShortageQueues,
	"shrink": cresspass.ShortageShrinksGrant,
	"page":   cresspass.ShortagePages,
}

func (v *validator) applyEngines(cfg *Config, b *EnginesBlock) {
	if b == nil {
		b = &EnginesBlock{}
	}
	in := inBlock("engines")
	cfg.EngineUser = orDefault(b.User, defaultEngineUser)
	cfg.EngineDatabase = orDefault(b.Database, defaultEngineDatabase)
	cfg.MaxConnections = orDefault(b.MaxConnections, defaultMaxConnections)
	cfg.MaxPrepared = orDefault(b.MaxPrepared, defaultMaxPrepared)
	if b.MaxConnections < 0 || b.MaxPrepared < 0 {
		v.errorf(in, "max_connections", "is negative")
	}
	cfg.ConnectTimeout = v.duration(in, "connect_timeout", b.ConnectTimeout, defaultConnectTimeout)
	cfg.CancelTimeout = v.duration(in, "cancel_timeout", b.CancelTimeout, defaultCancelTimeout)
	cfg.IdleTimeout = v.duration(in, "idle_timeout", b.IdleTimeout, defaultIdleTimeout)
	m := &cfg.Module
	m.AcceptsMemoryGrants, m.AcceptsPriority = b.AcceptsMemoryGrants, b.AcceptsPriority
	m.MayCheckHealth = b.MayCheckHealth
	m.MaxGrantShare = b.MaxGrantShare
	m.ProgressInterval = v.duration(in, "progress_every", b.ProgressInterval, 0)
	m.LoadReportFields = b.LoadReportFields
	m.OnMemoryShortage = oneOf(v, in, "when_short", b.OnMemoryShortage, memoryShortages)
	for _, name := range b.LoadReportFields {
		if strings.ContainsAny(name, ", ") || name == "" {
			v.errorf(in, "report_fields", "%q is not a field name", name)
		}
	}
}
