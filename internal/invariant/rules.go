package invariant

import (
	"time"

	"cresspass"
)

// Rules are the rules that the Ledger checks actions against.
type Rules struct {
	Classes     []cresspass.Class
	RetryBudget RetryBudget
	MayHedge    bool // more than one attempt of a request may be in flight at a time
}

// RetryBudget limits retries: in any period of length Window there are at most Free retries plus Ratio times
// the number of requests served.
//
// A request counts at the time it was accepted, but only once it was served: the platform does not count the
// requests of unknown clients. If a dispatcher counted these, it would allow itself more retries than the
// platform does. Requests are counted over a window that is shorter by ClockSkew, and retries over one that
// is longer by ClockSkew, so that the limit also holds by a clock that differs by that much.
type RetryBudget struct {
	Enabled   bool
	Free      float64
	Ratio     float64
	Window    time.Duration
	ClockSkew time.Duration
}

// clockSkewTicks is the largest difference between the dispatcher's clock and the platform's clocks that
// count retries, in ticks. A tick is the decision module's batch interval, but no less than 1 ms.
const clockSkewTicks = 4

// RulesFromConfig returns the rules in the settings of a decision module.
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
