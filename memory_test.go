package cresspass

import (
	"testing"
	"time"
)

// TestGrantShrinksOnlyOnEvidence: a class's grant is lowered only if progress notes or costs report spills,
// as nothing else would raise it again. Queries too short for a note lower it too, because longer queries of
// their class send notes.
func TestGrantShrinksOnlyOnEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		noteInterval time.Duration
		took         time.Duration
		neededMB     float64
		lowered      bool
	}{
		"nothing is reported":        {took: 3 * time.Second},
		"ended before a note":        {noteInterval: 2 * time.Second, took: 600 * ms, lowered: true},
		"ended after a note was due": {noteInterval: 2 * time.Second, took: 3 * time.Second, lowered: true},
		"costs are reported":         {took: 600 * ms, neededMB: 50, lowered: true},
	} {
		cfg := singleClassConfig()
		cfg.ProgressInterval, cfg.AcceptsMemoryGrants = c.noteInterval, true
		h := newHarness(t, cfg, standardEngine("e1"))
		for id := range QueryID(50) {
			h.advance(
				0,
				Event{Type: QueryArrived, Query: id + 1, Class: "short", RemainingDeadline: 9 * time.Second,
					MemoryEstimateMB: 100},
			)
			var sent Action
			for _, a := range h.lastActions {
				if a.Type == Send {
					sent = a
				}
			}
			h.now += c.took
			done := attemptDoneEvent(sent, 0, OutcomeOK, c.took)
			done.ActualMemoryMB = c.neededMB
			h.advance(0, done)
		}
		if got := h.g.classes["short"].grantFactor; (got < initialGrantFactor) != c.lowered ||
			got > initialGrantFactor {
			t.Errorf("%s: grant factor %v, started at %v", name, got, initialGrantFactor)
		}
	}
}

// TestPagingEngineIsSlow: an engine that granted twice its memory pages so much that no query ends, so only
// its report shows it (register, big-2).
func TestPagingEngineIsSlow(t *testing.T) {
	h := newHarness(t, loadReportConfig("x0"), standardEngines(2)...)
	free := estimateOn(h, "e00")
	h.advance(ms, healthCheckWithReport("e00", 2))
	if got := estimateOn(h, "e00"); got < 5*free {
		t.Errorf("Est %.3f s at twice the memory, %.3f s with none granted, want at least five times that",
			got, free)
	}
	for range 2400 {
		h.advance(50*ms, Event{Type: TimerFired})
	}
	if got := estimateOn(h, "e00"); got > 1.1*free {
		t.Errorf("Est still %.3f s two minutes after the report, want a decay", got)
	}
}
