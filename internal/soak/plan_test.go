package soak

import (
	"testing"
	"time"
)

// TestPlanIsDeterministic checks that the same options always give the same plan, that another seed gives
// another one, and that at least half of the faults overlap an earlier one.
func TestPlanIsDeterministic(t *testing.T) {
	o := Options{Seed: 7, Duration: time.Minute, Dispatchers: 10, Faults: true}
	p := NewPlan(o)
	if p.String() != NewPlan(o).String() {
		t.Error("the same seed gives two different plans")
	}
	if o.Seed++; p.String() == NewPlan(o).String() {
		t.Error("another seed gives the same plan")
	}
	o.Stress = true
	stressed, again := NewPlan(o), NewPlan(o)
	if stressed.String() != again.String() {
		t.Error("the same seed gives two different stressed plans")
	}
	if !stressed.Crowd || stressed.NodeBehavior.CopyShare == 0 {
		t.Errorf("the stressed plan has no crowd or no copies: %v", stressed)
	}
	overlap := 0
	for i, a := range p.Faults {
		for _, b := range p.Faults[:i] {
			if a.At < b.At+b.Duration {
				overlap++
				break
			}
		}
	}
	if 2*overlap < len(p.Faults) {
		t.Errorf("only %d of %d faults overlap an earlier one, want half or more", overlap, len(p.Faults))
	}
}
