package config

import (
	"path"
	"strings"

	"cresspass/internal/affinity"
)

// SessionsBlock is the block of the limits on sticky sessions.
type SessionsBlock struct {
	IdleInTransaction string `hcl:"idle_in_transaction,optional"`
	MaxAge            string `hcl:"max_age,optional"`
	MaxTotal          int    `hcl:"max,optional"`
	MaxPerUser        int    `hcl:"max_per_user,optional"`

	MaxPerEngine      int      `hcl:"max_per_engine,optional"`
	HarmlessFunctions []string `hcl:"harmless,optional"` // patterns of functions that leave no state: "geo_*"
}

// applySessions checks the block. Without the block there are no limits.
func (v *validator) applySessions(cfg *Config, b *SessionsBlock) {
	if b == nil {
		return
	}
	in := inBlock("sessions")
	cfg.SessionLimits = affinity.Limits{
		IdleInTransaction: v.duration(in, "idle_in_transaction", b.IdleInTransaction, 0),
		MaxAge:            v.duration(in, "max_age", b.MaxAge, 0),
		MaxTotal:          b.MaxTotal,
		MaxPerUser:        b.MaxPerUser,
	}
	if b.MaxTotal < 0 || b.MaxPerUser < 0 || b.MaxPerEngine < 0 {
		v.errorf(in, "max", "is negative")
	}
	cfg.Module.MaxSessionsPerEngine = b.MaxPerEngine
	for _, pattern := range b.HarmlessFunctions {
		if _, err := path.Match(pattern, ""); err != nil {
			v.errorf(in, "harmless", "%q is not a valid pattern: %v", pattern, err)
		}
		cfg.HarmlessFunctions = append(cfg.HarmlessFunctions, strings.ToLower(pattern))
	}
}
