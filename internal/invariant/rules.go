package invariant

import (
	"time"

	"cresspass"
)

// Rules are what the Ledger checks acts against.
type Rules struct {
	Classes     []cresspass.Class
	RetryBudget RetryBudget
	MayHedge    bool // two attempts of a request may be in flight at a time
}

// RetryBudget bounds retries: at most Free plus Ratio of the requests served, over each span of Window.
//
// A request counts from when it was accepted, but only once it was served: the platform does not count the
// requests of unknown clients, and with these a dispatcher would allow itself more retries than it has.
// Requests are counted over a window shorter by ClockSkew, and retries over one longer by it, so that clocks
// that differ by as much see the bound kept.
type RetryBudget struct {
	Enabled   bool
	Free      float64
	Ratio     float64
	Window    time.Duration
	ClockSkew time.Duration
}

// clockSkewTicks is by how much the platform's clocks may differ from ours where they count retries, in ticks
// of the decision module.
const clockSkewTicks = 4

// RulesFromConfig returns the rules in a decision module's settings.
func RulesFromConfig(cfg *cresspass.Config) Rules {
	return Rules{
		Classes:  cfg.Classes,
		MayHedge: cfg.MayHedge,
		RetryBudget: RetryBudget{
			Enabled:   cfg.Rules.HasRetryBudget,
			Free:      cfg.Rules.RetryBudgetFree,
			Ratio:     cfg.Rules.RetryBudgetRatio,
			Window:    cfg.Rules.RetryBudgetWindow,
			ClockSkew: clockSkewTicks * max(cfg.BatchInterval, time.Millisecond),
		},
	}
}
