package cresspass

import (
	"testing"
	"time"
)

// TestSilentEngineIsEjected: an engine that accepts queries and never answers is ejected, and its attempts
// are cancelled so that their queries can run elsewhere.
func TestSilentEngineIsEjected(t *testing.T) {
	h := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
	for id := range QueryID(4) {
		h.submit(id+1, "short", "")
	}
	cancels := 0
	for range 60 {
		for _, a := range h.advance(50*ms, Event{Type: TimerFired}) {
			if a.Type == Cancel {
				cancels++
			}
		}
		if e := h.g.engines["e1"]; e.outlier.ejected {
			break
		}
	}
	if !h.g.engines["e1"].outlier.ejected || cancels < 2 {
		t.Errorf("ejected %v, %d attempts cancelled, want true and at least 2",
			h.g.engines["e1"].outlier.ejected, cancels)
	}
}

// TestEngineReportedDown: an engine that other gateways report down gets no query before a health check,
// unless this gateway has seen it respond.
func TestEngineReportedDown(t *testing.T) {
	cfg := singleClassConfig()
	cfg.MayCheckHealth, cfg.MayGossip = true, true
	h := newHarness(t, cfg, standardEngines(2)...)
	h.advance(
		ms,
		Event{Type: EngineReportedDown, Engine: "e00"},
		Event{Type: EngineReportedDown, Engine: "nobody"},
	)
	if !h.g.engines["e00"].outlier.ejected || h.g.engines["e01"].outlier.ejected {
		t.Error("the reported engine was not ejected, or another one was")
	}
	probed := false
	for range 30 {
		for _, a := range h.advance(50*ms, Event{Type: TimerFired}) {
			probed = probed || a.Type == CheckHealth && a.Engine == "e00"
		}
	}
	if !probed {
		t.Error("the health of the ejected engine was never checked")
	}
	h.g.engines["e01"].lastSeenAt = h.now
	if h.advance(ms, Event{Type: EngineReportedDown, Engine: "e01"}); h.g.engines["e01"].outlier.ejected {
		t.Error("an engine that this gateway has seen respond was ejected by a report")
	}
}

// TestOutlierState: consecutive failures eject an engine, and each failed probation ejects it for longer, up
// to maxEjectionTime. Two answers on probation end the ejection.
func TestOutlierState(t *testing.T) {
	var o outlierState
	now := time.Hour
	for i := range ejectConsecutiveFailures {
		if o.ejected {
			t.Fatalf("ejected after only %d failures", i)
		}
		o.recordFailure(now)
	}
	if !o.ejected || o.ejectedUntil != now+baseEjectionTime {
		t.Fatalf("after %d failures: %+v", ejectConsecutiveFailures, o)
	}
	o.onProbation = true
	if o.recordFailure(now); o.ejectionTime != 2*baseEjectionTime || o.onProbation {
		t.Errorf("after a failed probation: %+v", o)
	}
	for range 9 {
		o.onProbation = true
		o.recordFailure(now)
	}
	if o.ejectionTime != maxEjectionTime {
		t.Errorf("ejected for %v after many failed probations, want %v", o.ejectionTime, maxEjectionTime)
	}
	o.onProbation = true
	o.recordSuccess()
	if !o.ejected {
		t.Error("the ejection ended after one answer on probation")
	}
	if o.recordSuccess(); o.ejected || o.failureRate != 0 || o.ejectionTime != 0 {
		t.Errorf("after %d answers on probation: %+v", probationSuccessesNeeded, o)
	}
}
