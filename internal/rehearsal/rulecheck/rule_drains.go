package rulecheck

import (
	"time"
)

// checkDrains checks rule 3: a dispatcher sends nothing to an engine later than DrainGrace after it
// acknowledged a list on which the engine drains or is removed.
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

// inactiveSince returns when the dispatcher acknowledged the first list without the attempt's engine, among
// the lists up to the attempt and after the last list that has the engine. It returns zero if the engine
// was active, or if there is no such list in the log.
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
