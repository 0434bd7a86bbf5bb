package simulation

import (
	"slices"
	"time"

	"cresspass"
)

// RuleViolations counts violations of the module's rules. The rules have the numbers of docs/design.md.
type RuleViolations struct {
	LateAnswers         int // after the client's deadline (rule 1)
	SendsToDrained      int // to a draining or removed engine, after the drain grace (rule 3)
	InformedCollapses   int // of engines that warm up, by dispatchers that knew of the start (rule 4)
	RetriesOverBudget   int // rule 7
	UninformedCollapses int // over a third of the work by dispatchers that did not know: no violation
}

// Total returns the number of violations.
func (r RuleViolations) Total() int {
	return r.LateAnswers + r.SendsToDrained + r.InformedCollapses + r.RetriesOverBudget
}

// lateTolerance allows for the transit time to the client and the resolution of timers.
const lateTolerance = 100 * time.Millisecond

// checkSend counts the violations of rules 3 and 7 by sending a query to an engine.
func (f *Fleet) checkSend(d *dispatcher, e *engine, attempt int) {
	now, rules := f.queue.Now(), &f.cfg.Module.Rules
	if e.state != cresspass.EngineActive && e.listedAt > 0 && now > e.listedAt+rules.DrainGrace {
		f.result.Violations.SendsToDrained++
	}
	if attempt == 0 || !rules.HasRetryBudget {
		return
	}
	from := now - rules.RetryBudgetWindow
	expired := func(at time.Duration) bool { return at < from }
	d.acceptTimes = slices.DeleteFunc(d.acceptTimes, expired)
	d.retryTimes = append(slices.DeleteFunc(d.retryTimes, expired), now)
	budget := rules.RetryBudgetFree + rules.RetryBudgetRatio*float64(len(d.acceptTimes))
	if float64(len(d.retryTimes)) > budget {
		f.result.Violations.RetriesOverBudget++
	}
}

// arrival is work that reached an engine during its warm-up.
type arrival struct {
	at       time.Duration
	work     float64
	informed bool // its dispatcher knew of the engine's start
}

// recordArrival records work that reaches an engine during its warm-up, and drops work that is older than the
// overload window.
func (f *Fleet) recordArrival(e *engine, work float64, informed bool) {
	now := f.queue.Now()
	if e.startedAt == 0 || now-e.startedAt > e.Machine.SlowStartDuration {
		e.arrivals = nil
		return
	}
	e.arrivals = slices.DeleteFunc(e.arrivals,
		func(a arrival) bool { return now-a.at > e.Machine.SlowStartWindow })
	e.arrivals = append(e.arrivals, arrival{now, work, informed})
}

// checkCollapse counts the collapse of an engine that warms up. It violates rule 4 if at least two thirds of
// the work came from dispatchers that knew of the engine's start.
func (f *Fleet) checkCollapse(e *engine) {
	informed, all := 0.0, 0.0
	for _, a := range e.arrivals {
		if all += a.work; a.informed {
			informed += a.work
		}
	}
	if 3*informed >= 2*all {
		f.result.Violations.InformedCollapses++
	} else {
		f.result.Violations.UninformedCollapses++
	}
}
