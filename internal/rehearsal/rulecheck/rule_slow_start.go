package rulecheck

import (
	"fmt"
	"time"
)

// checkSlowStart checks rule 4: the work that all dispatchers together send an engine within any
// SlowStartWindow of its slow start does not exceed SlowStartOverloadFactor times what the engine can do in
// that window. Each engine that fell over from overload is a violation as well.
func (c *checker) checkSlowStart(v *Verdict) {
	for _, e := range c.log.OverloadedEngines {
		v.addViolation("engine %s was pushed over", e)
	}
	if c.parameters.SlowStartOverloadFactor <= 0 || c.parameters.SlowStartDuration <= 0 {
		return
	}
	worst := 0.0
	for address, starts := range c.engineStarts() {
		for _, e := range starts {
			v.Checked++
			worst = max(worst, c.checkStart(v, address, e))
		}
	}
	v.Note = fmt.Sprintf("at most %.0f%% of the limit", worst*100)
}

// engineStarts returns the starts of each engine, by address and time, that the engine lists name.
func (c *checker) engineStarts() map[string]map[time.Time]Endpoint {
	out := map[string]map[time.Time]Endpoint{}
	for _, n := range c.log.Notifications {
		for address, e := range n.Engines {
			if e.Started.IsZero() {
				continue
			}
			if out[address] == nil {
				out[address] = map[time.Time]Endpoint{}
			}
			out[address][e.Started] = e
		}
	}
	return out
}

// checkStart checks one start of an engine, and returns its largest load in a window as a share of the limit.
func (c *checker) checkStart(v *Verdict, address string, e Endpoint) (worst float64) {
	p := &c.parameters
	var window []*Attempt
	for _, a := range c.log.Attempts {
		age := a.At.Sub(e.Started)
		if a.Engine != address || age < 0 || age > p.SlowStartDuration {
			continue
		}
		window = append(window, a)
		for a.At.Sub(window[0].At) > p.SlowStartWindow {
			window = window[1:]
		}
		sum := 0.0
		for _, w := range window {
			sum += w.Work
		}
		ramp := p.SlowStartFrom + (1-p.SlowStartFrom)*age.Seconds()/p.SlowStartDuration.Seconds()
		share := sum / (p.SlowStartOverloadFactor * e.Cores * ramp * p.SlowStartWindow.Seconds())
		worst = max(worst, share)
		if share > 1 {
			v.addViolation("engine %s, %v after its start: %.1f thread s in %v, %.0f%% of its limit", address,
				age.Round(time.Millisecond), sum, p.SlowStartWindow, share*100)
		}
	}
	return worst
}
