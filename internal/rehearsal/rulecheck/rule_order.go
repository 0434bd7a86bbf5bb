package rulecheck

import (
	"time"
)

// checkOrder checks rule 5: queries of an ordered class with the same key run one after another, in the
// order in which their dispatcher received them.
func (c *checker) checkOrder(v *Verdict) {
	type queue struct{ dispatcher, key string }
	queues := map[queue][]*Request{}
	for _, r := range c.log.Requests {
		if c.parameters.Classes[r.Class].OrderedByKey && r.Key != "" && !r.Skipped {
			q := queue{r.Dispatcher, r.Key}
			queues[q] = append(queues[q], r)
		}
	}
	for q, requests := range queues {
		for n, later := range requests {
			for _, a := range c.attempts[later.ID] {
				v.Checked++
				for _, earlier := range requests[:n] {
					// The order of two requests within the clock skew is not known, and a dispatcher that
					// went down in between has lost the earlier one.
					if later.At.Sub(earlier.At) < c.parameters.ClockSkew ||
						c.wentDownBetween(q.dispatcher, earlier.At, a.At) {
						continue
					}
					c.checkPrecedence(v, earlier, later, a)
				}
			}
		}
	}
}

// wentDownBetween reports whether an outage of a dispatcher began between two times.
func (c *checker) wentDownBetween(dispatcher string, from, to time.Time) bool {
	for _, o := range c.log.Outages {
		if o.Dispatcher == dispatcher && o.At.After(from) && o.At.Before(to) {
			return true
		}
	}
	return false
}

// checkPrecedence checks that an attempt at a later query begins after an earlier query with the same key,
// and all attempts at it, have ended.
func (c *checker) checkPrecedence(v *Verdict, earlier, later *Request, a *Attempt) {
	skewed := a.At.Add(c.parameters.ClockSkew)
	end := earlier.FinalAt
	if earlier.FinalCount == 0 {
		end = earlier.ConnectionEnded
	}
	if end.IsZero() || skewed.Before(end) {
		v.addViolation("key %s: %s sent to %s while %s, taken before it, was not over", later.Key, later.ID,
			a.Engine, earlier.ID)
		return
	}
	for _, before := range c.attempts[earlier.ID] {
		if !before.At.Before(a.At) {
			continue
		}
		ended, uncertain := before.endOrCancel()
		switch {
		case ended.IsZero() || skewed.Before(ended):
			v.addViolation("key %s: %s sent to %s while an attempt of %s at %s had no outcome", later.Key,
				later.ID, a.Engine, earlier.ID, before.Engine)
		case uncertain && skewed.Before(ended.Add(c.parameters.OrderSettleDelay)):
			v.addViolation("key %s: %s sent %v after a doubtful end of %s, rest %v", later.Key, later.ID,
				a.At.Sub(ended), earlier.ID, c.parameters.OrderSettleDelay)
		}
	}
}

// endOrCancel returns when an attempt ended or was cancelled, and whether the engine may still run it after
// that time.
func (a *Attempt) endOrCancel() (ended time.Time, uncertain bool) {
	if !a.Cancel.IsZero() && (a.End.IsZero() || a.Cancel.Before(a.End)) {
		return a.Cancel, true
	}
	return a.End, a.Lost || a.Code == stateQueryCanceled
}
