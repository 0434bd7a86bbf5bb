package lifecycle

import (
	"slices"
	"testing"
	"time"
)

// Guards against a reload that reports a new drain_for, while the next drain still uses the old one.
func TestReloadedDrainTimeoutHolds(t *testing.T) {
	m := New(Config{DrainTimeout: 30 * time.Second})
	m.SetDrainTimeout(5 * time.Second)
	m.Step(0, Event{Type: EndpointsKnown})
	m.Step(time.Second, Event{Type: Terminate})
	cutShort := func(at time.Duration) bool {
		return slices.ContainsFunc(m.Step(at, Event{Type: Tick}),
			func(a Action) bool { return a.Type == ForceClose })
	}
	if cutShort(5900*time.Millisecond) || !cutShort(6*time.Second) {
		t.Error("a drain that began at 1 s is not cut short at 6 s")
	}
}
