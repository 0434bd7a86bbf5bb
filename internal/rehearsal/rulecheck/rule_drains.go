package rulecheck

import (
	"time"
)

// checkDrains checks rule 3: nothing is sent to an engine once its dispatcher has been notified, a grace ago,
// that the engine drains or is removed.
func (c *checker) checkDrains(v *Verdict) {
	notifications := map[string][]Notification{}
	for _, n := range c.log.Notifications {
		notifications[n.Dispatcher] = append(notifications[n.Dispatcher], n)
	}
	for _, a := range c.log.Attempts {
		v.Checked++
		since := inactiveSince(notifications[a.Dispatcher], a)
		if !since.IsZero() && a.At.Sub(since) > c.parameters.DrainGrace+c.parameters.ClockSkew {
			v.addViolation("%s %s: sent to %s by %s %v after that was told to drain or be gone", a.Class,
				a.ID, a.Engine, a.Dispatcher, a.At.Sub(since))
		}
	}
}

// inactiveSince is when the dispatcher acknowledged the first of the lists without the attempt's engine,
// of those up to the attempt and after the last list with it. It is zero where the engine was active, or
// where the dispatcher's lists came before the log begins.
func inactiveSince(notifications []Notification, a *Attempt) (since time.Time) {
	for _, n := range notifications {
		_, active := n.Engines[a.Engine]
		switch {
		case active && !n.sentAt().After(a.At):
			since = time.Time{}
		case !active && since.IsZero() && !n.At.After(a.At):
			since = n.At
		}
	}
	return since
}
