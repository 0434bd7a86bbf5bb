package cresspass

import (
	"math"
	"testing"
)

// loadReportConfig returns the settings of one of 200 gateways without gossip, with health checks and load
// reports of the given fields.
func loadReportConfig(fields ...string) Config {
	cfg := largeFleetConfig()
	cfg.MayGossip, cfg.MayCheckHealth, cfg.LoadReportFields = false, true, fields
	cfg.OnMemoryShortage, cfg.KindMemoryMB = ShortagePages, []float64{8192}
	return cfg
}

func healthCheckWithReport(e EngineID, values ...float64) Event {
	return Event{
		Type:          HealthCheckDone,
		Engine:        e,
		Outcome:       OutcomeOK,
		HasLoadReport: true,
		LoadReport:    values,
	}
}

func estimateOn(h *harness, id EngineID) float64 {
	return h.g.estimate(&query{class: h.g.classList[0], rawBase: 0.1, memoryMB: 400}, h.g.engines[id])
}

// TestReportedQueriesCountInEst: without gossip, queries that an engine reported were not counted in Est
// (register).
func TestReportedQueriesCountInEst(t *testing.T) {
	h := newHarness(t, loadReportConfig("concurrent"), standardEngines(2)...)
	free := estimateOn(h, "e00")
	h.advance(ms, healthCheckWithReport("e00", 50))
	if got := estimateOn(h, "e00"); got < 2*free {
		t.Errorf("Est %.3f s with 50 queries reported on 8 cores, %.3f s before, want at least twice that",
			got, free)
	}
	if got := estimateOn(h, "e01"); got > 1.01*free {
		t.Errorf("Est %.3f s on an engine without a report, %.3f s before, want no change", got, free)
	}
}

func TestInvalidLoadReportsAreClipped(t *testing.T) {
	h := newHarness(t, loadReportConfig("concurrent", "x0"), standardEngines(2)...)
	free := estimateOn(h, "e00")
	for _, values := range [][]float64{nil, {1}, {1, 2, 3}, {math.NaN(), math.NaN()}, {-4, -1}} {
		h.advance(ms, healthCheckWithReport("e00", values...))
		if got := estimateOn(h, "e00"); got != free {
			t.Errorf("invalid report %v changed Est from %v to %v", values, free, got)
		}
	}
	h.advance(ms, healthCheckWithReport("e00", 1e300, 1e300), healthCheckWithReport("nobody", 3, 1))
	if got := estimateOn(h, "e00"); math.IsInf(got, 0) || math.IsNaN(got) ||
		h.g.engines["e00"].grantedMemory > maxReportedLoad {
		t.Errorf("after a huge report Est is %v and granted memory %v, want both clipped",
			got, h.g.engines["e00"].grantedMemory)
	}
}

// TestLoadReportDecaysToKindMean: many gateways act on the same report, so an engine that reported no load a
// second ago is assumed to be as full as its kind (incident id9c0b3).
func TestLoadReportDecaysToKindMean(t *testing.T) {
	h := newHarness(t, loadReportConfig("concurrent"), standardEngines(5)...)
	h.advance(ms, healthCheckWithReport("e00", 0))
	for range 30 {
		h.advance(
			50*ms,
			Event{Type: TimerFired},
			healthCheckWithReport("e01", 40),
			healthCheckWithReport("e02", 40),
		)
	}
	free, full := h.g.engines["e00"].runningCount[len(h.g.classList)],
		h.g.engines["e01"].runningCount[len(h.g.classList)]
	if free < full/2 {
		t.Errorf("%.1f threads counted on an engine free 1.5 s ago, %.1f on the others, want at least half",
			free, full)
	}
}
