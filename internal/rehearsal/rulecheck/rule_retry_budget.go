package rulecheck

import (
	"slices"
	"time"
)

// checkRetryBudget checks rule 7: a dispatcher's retries within RetryBudgetWindow do not exceed
// RetryBudgetFree plus RetryBudgetRatio of the requests that it received in that window.
func (c *checker) checkRetryBudget(v *Verdict) {
	if !c.parameters.HasRetryBudget {
		v.Note = "no budget is set"
		return
	}
	requests := map[string][]time.Time{}
	for _, r := range c.log.Requests {
		requests[r.Dispatcher] = append(requests[r.Dispatcher], r.At)
	}
	retries := map[string][]time.Time{}
	for _, attempts := range c.attempts {
		for _, a := range attempts[min(1, len(attempts)):] {
			retries[a.Dispatcher] = append(retries[a.Dispatcher], a.At)
		}
	}
	for dispatcher, times := range retries {
		slices.SortFunc(times, time.Time.Compare)
		for i, at := range times {
			v.Checked++
			retried, allowed := c.retriesWithinWindow(times[:i+1], requests[dispatcher])
			if float64(retried) > allowed {
				v.addViolation("dispatcher %s at %s: %d further attempts within %v, %.1f allowed", dispatcher,
					c.formatTime(at), retried, c.parameters.RetryBudgetWindow, allowed)
			}
		}
	}
}

// retriesWithinWindow counts the retries in the window that ends with the last retry, and returns how many
// the budget allows there. The clock skew counts in the dispatcher's favour.
func (c *checker) retriesWithinWindow(retries, requests []time.Time) (retried int, allowed float64) {
	skew := c.parameters.ClockSkew
	at := retries[len(retries)-1]
	from := at.Add(-c.parameters.RetryBudgetWindow)
	for i := len(retries) - 1; i >= 0 && retries[i].After(from.Add(skew)); i-- {
		retried++
	}
	received := 0
	for _, t := range requests {
		if t.After(from.Add(-skew)) && t.Before(at.Add(skew)) {
			received++
		}
	}
	return retried, c.parameters.RetryBudgetFree + c.parameters.RetryBudgetRatio*float64(received)
}
