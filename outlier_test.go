package cresspass

import (
	"testing"
)

// TestSilentEngineIsEjected: an engine that takes work and answers nothing gets no more, and its queries
// move.
func TestSilentEngineIsEjected(t *testing.T) {
	b := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	for id := range QueryID(4) {
		b.submit(id+1, "short", "")
	}
	cancels := 0
	for range 60 {
		for _, a := range b.advance(50*ms, Event{Type: TimerFired}) {
			if a.Type == Cancel {
				cancels++
			}
		}
		if e := b.g.engines["e1"]; e.ejected {
			break
		}
	}
	if !b.g.engines["e1"].ejected || cancels < 2 {
		t.Errorf("sick %v, %d attempts called off", b.g.engines["e1"].ejected, cancels)
	}
}

// An engine that others tell to be dead is not tried before a probe; one that was heard here is.
func TestEngineReportedDown(t *testing.T) {
	cfg := singleClassConfig()
	cfg.MayCheckHealth, cfg.MayGossip = true, true
	b := newHarness(t, cfg, standardEngines(2)...)
	b.advance(
		ms,
		Event{Type: EngineReportedDown, Engine: "e00"},
		Event{Type: EngineReportedDown, Engine: "nobody"},
	)
	if !b.g.engines["e00"].ejected || b.g.engines["e01"].ejected {
		t.Error("others' word was not taken")
	}
	probed := false
	for range 30 {
		for _, a := range b.advance(50*ms, Event{Type: TimerFired}) {
			probed = probed || a.Type == CheckHealth && a.Engine == "e00"
		}
	}
	if !probed {
		t.Error("it was never probed")
	}
	b.g.engines["e01"].lastHeardAt = b.now
	if b.advance(ms, Event{Type: EngineReportedDown, Engine: "e01"}); b.g.engines["e01"].ejected {
		t.Error("others' word stands against what was seen here")
	}
}
