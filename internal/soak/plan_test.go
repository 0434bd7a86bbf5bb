package soak

import (
	"testing"
	"time"
)

// TestPlanIsDeterministic: a seed gives the same plan each time, and most faults overlap another one.
func TestPlanIsDeterministic(t *testing.T) {
	o := Options{Seed: 7, Duration: time.Minute, Dispatchers: 10, Faults: true}
	p := NewPlan(o)
	if p.String() != NewPlan(o).String() {
		t.Error("the same seed gives another plan")
	}
	if o.Seed++; p.String() == NewPlan(o).String() {
		t.Error("another seed gives the same plan")
	}
	o.Stress = true
	stressed, again := NewPlan(o), NewPlan(o)
	if stressed.String() != again.String() {
		t.Error("the same seed gives another stressed plan")
	}
	if !stressed.Crowd || stressed.NodeBehavior.CopyShare == 0 {
		t.Errorf("a stressed plan without a crowd or without copies: %v", stressed)
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
		t.Errorf("%d of %d faults overlap an earlier one", overlap, len(p.Faults))
	}
}
