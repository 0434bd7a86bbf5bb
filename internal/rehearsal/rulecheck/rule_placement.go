package rulecheck

import (
	"slices"
)

// checkPlacement checks rule 6: a query runs on the kinds and in the zones that its class allows.
func (c *checker) checkPlacement(v *Verdict) {
	endpoints := c.endpoints()
	for _, a := range c.log.Attempts {
		class := c.parameters.Classes[a.Class]
		if len(class.AllowedKinds)+len(class.AllowedZones) == 0 {
			continue
		}
		v.Checked++
		e := endpoints[a.Engine]
		if !allows(class.AllowedKinds, e.Kind) || !allows(class.AllowedZones, e.Zone) {
			v.addViolation("%s %s: sent to %s of kind %q in zone %q", a.Class, a.ID, a.Engine, e.Kind, e.Zone)
		}
	}
}

// allows reports whether a list contains a name; an empty list allows every name.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
