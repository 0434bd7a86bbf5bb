package cresspass

import (
	"testing"
	"time"
)

// TestGrantShrinksOnlyOnEvidence: a class's grant is lowered only if progress notes or costs report spills,
// as nothing else would raise it again. Queries too short for a note lower it too, because longer ones of
// their class report.
func TestGrantShrinksOnlyOnEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		notes  time.Duration
		took   time.Duration
		needed float64
		cut    bool
	}{
		"nothing is reported":  {took: 3 * time.Second},
		"ended before a note":  {notes: 2 * time.Second, took: 600 * ms, cut: true},
		"a note would be here": {notes: 2 * time.Second, took: 3 * time.Second, cut: true},
		"costs are reported":   {took: 600 * ms, needed: 50, cut: true},
	} {
		cfg := singleClassConfig()
		cfg.ProgressInterval, cfg.AcceptsMemoryGrants = c.notes, true
		b := newHarness(t, cfg, standardEngine("e1"))
		for id := range QueryID(50) {
			b.advance(
				0,
				Event{Type: QueryArrived, Query: id + 1, Class: "short", RemainingDeadline: 9 * time.Second,
					MemoryEstimateMB: 100},
			)
			var sent Action
			for _, a := range b.lastActions {
				if a.Type == Send {
					sent = a
				}
			}
			b.now += c.took
			done := attemptDoneEvent(sent, 0, OutcomeOK, c.took)
			done.ActualMemoryMB = c.needed
			b.advance(0, done)
		}
		if got := b.g.classes["short"].grantFactor; (got < initialGrantFactor) != c.cut ||
			got > initialGrantFactor {
			t.Errorf("%s: grant factor %v, started at %v", name, got, initialGrantFactor)
		}
	}
}

// TestPagingEngineIsSlow: an engine that granted twice its memory pages so much that no query ends, so only
// its report shows it (register, big-2).
func TestPagingEngineIsSlow(t *testing.T) {
	b := newHarness(t, loadReportConfig("x0"), standardEngines(2)...)
	free := estimateOn(b, "e00")
	b.advance(ms, healthCheckWithReport("e00", 2))
	if got := estimateOn(b, "e00"); got < 5*free {
		t.Errorf("Est %.3f s at twice the memory, %.3f s with none granted, want at least five times that",
			got, free)
	}
	for range 2400 {
		b.advance(50*ms, Event{Type: TimerFired})
	}
	if got := estimateOn(b, "e00"); got > 1.1*free {
		t.Errorf("Est still %.3f s two minutes after the report, want a decay", got)
	}
}
