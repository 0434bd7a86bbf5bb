package rulecheck

// checkEffects checks rule 2: a query that may have run is sent again only if a repeat has no second effect,
// and is not rejected unless it may be repeated on any engine.
func (c *checker) checkEffects(v *Verdict) {
	endpoints := c.endpoints()
	for _, r := range c.log.Requests {
		class := c.parameters.Classes[r.Class]
		if class.Effect == EffectIdempotent {
			continue
		}
		v.Checked++
		attempts := c.attempts[r.ID]
		for i, a := range attempts {
			if first := mayHaveRun(attempts[:i]); first != nil {
				c.checkRepeat(v, r, class, first, a, endpoints)
			}
		}
		mayRepeatAnywhere := class.Effect == EffectIdempotentWithKey &&
			(class.DeduplicationScope == ScopeAll || class.DeduplicationScope == "")
		if r.Code == stateRejected && mayHaveRun(attempts) != nil && !mayRepeatAnywhere {
			v.addViolation("%s %s: refused though an attempt may have run", r.Class, r.ID)
		}
	}
}

// mayHaveRun returns the first attempt that may have run; nil: there is none.
func mayHaveRun(attempts []*Attempt) *Attempt {
	for _, a := range attempts {
		if !a.neverRan() {
			return a
		}
	}
	return nil
}

// checkRepeat checks an attempt that follows a first one that may have run.
func (c *checker) checkRepeat(v *Verdict, r *Request, class Class, first, repeat *Attempt,
	endpoints map[string]Endpoint) {
	from, to := endpoints[first.Engine], endpoints[repeat.Engine]
	elapsed := repeat.At.Sub(first.At)
	switch {
	case class.Effect == EffectNotIdempotent:
		v.addViolation("%s %s: sent again to %s though an attempt at %s may have run", r.Class, r.ID,
			repeat.Engine, first.Engine)
	case elapsed > class.DeduplicationWindow+c.parameters.ClockSkew:
		v.addViolation("%s %s: sent again %v after the first, window %v", r.Class, r.ID, elapsed,
			class.DeduplicationWindow)
	case class.DeduplicationScope == ScopeZone && to.Zone != from.Zone,
		class.DeduplicationScope == ScopeCell && (to.Cell != from.Cell || to.Zone != from.Zone):
		v.addViolation("%s %s: sent again to %s, outside the %s of %s", r.Class, r.ID, repeat.Engine,
			class.DeduplicationScope, first.Engine)
	}
}
