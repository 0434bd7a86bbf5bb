package cresspass

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// loadReportConfig is one of many gateways that tell each other nothing; engines report in answers and
// probes.
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

func estimateOn(b *harness, id EngineID) float64 {
	return b.g.estimate(&query{class: b.g.classList[0], rawBase: 0.1, memoryMB: 400}, b.g.engines[id])
}

// TestReportedQueriesCountInEst: where no peer tells, queries that an engine reports were not seen
// (register).
func TestReportedQueriesCountInEst(t *testing.T) {
	b := newHarness(t, loadReportConfig("concurrent"), standardEngines(2)...)
	free := estimateOn(b, "e00")
	b.advance(ms, healthCheckWithReport("e00", 50))
	if got := estimateOn(b, "e00"); got < 2*free {
		t.Errorf("Est %.3f s with 50 queries reported on 8 cores, %.3f s before", got, free)
	}
	if got := estimateOn(b, "e01"); got > 1.01*free {
		t.Errorf("Est %.3f s on an engine that reported nothing, %.3f s before", got, free)
	}
}

func TestInvalidLoadReportsAreClipped(t *testing.T) {
	b := newHarness(t, loadReportConfig("concurrent", "x0"), standardEngines(2)...)
	free := estimateOn(b, "e00")
	for _, values := range [][]float64{nil, {1}, {1, 2, 3}, {math.NaN(), math.NaN()}, {-4, -1}} {
		b.advance(ms, healthCheckWithReport("e00", values...))
		if got := estimateOn(b, "e00"); got != free {
			t.Errorf("report %v moved Est from %v to %v", values, free, got)
		}
	}
	b.advance(ms, healthCheckWithReport("e00", 1e300, 1e300), healthCheckWithReport("nobody", 3, 1))
	if got := estimateOn(b, "e00"); math.IsInf(got, 0) || math.IsNaN(got) ||
		b.g.engines["e00"].grantedMemory > maxReportedLoad {
		t.Errorf("a huge report makes Est %v, memory %v", got, b.g.engines["e00"].grantedMemory)
	}
}

// TestPagingEngineIsSlow: an engine with twice its memory granted pages to a standstill and shows no outcome
// (register, big-2).
func TestPagingEngineIsSlow(t *testing.T) {
	b := newHarness(t, loadReportConfig("x0"), standardEngines(2)...)
	free := estimateOn(b, "e00")
	b.advance(ms, healthCheckWithReport("e00", 2))
	if got := estimateOn(b, "e00"); got < 5*free {
		t.Errorf("Est %.3f s at twice the memory, %.3f s with none granted", got, free)
	}
	for range 2400 {
		b.advance(50*ms, Event{Type: TimerFired})
	}
	if got := estimateOn(b, "e00"); got > 1.1*free {
		t.Errorf("Est still %.3f s two minutes after the report", got)
	}
}

// TestLoadReportDecaysToKindMean: many gateways act on one report, so an engine that looked free a second
// ago is taken to be as full as its kind (incident id9c0b3).
func TestLoadReportDecaysToKindMean(t *testing.T) {
	b := newHarness(t, loadReportConfig("concurrent"), standardEngines(5)...)
	b.advance(ms, healthCheckWithReport("e00", 0))
	for range 30 {
		b.advance(
			50*ms,
			Event{Type: TimerFired},
			healthCheckWithReport("e01", 40),
			healthCheckWithReport("e02", 40),
		)
	}
	free, full := b.g.engines["e00"].runningCount[len(b.g.classList)], b.g.engines["e01"].runningCount[len(b.g.classList)]
	if free < full/2 {
		t.Errorf("%.1f threads counted on an engine free 1.5 s ago, %.1f on the others", free, full)
	}
}

// TestLostAnswersAreNoPressureWhereEnginesReport: overdue attempts read as an overload of half-used engines
// (register, big-1).
func TestLostAnswersAreNoPressureWhereEnginesReport(t *testing.T) {
	b := newHarness(t, loadReportConfig("concurrent"), standardEngines(3)...)
	for id := range QueryID(30) {
		b.submit(id+1, "short", "") // none of them is ever answered
		for range 10 {
			b.advance(
				50*ms,
				Event{Type: TimerFired},
				healthCheckWithReport("e00", 4),
				healthCheckWithReport("e01", 4),
				healthCheckWithReport("e02", 4),
			)
		}
	}
	if b.g.pressure > 1 || b.g.fleetLogSlowness > 0.5 {
		t.Errorf(
			"pressure %.2f, slowness %.2f though engines report half a thread a core",
			b.g.pressure,
			b.g.fleetLogSlowness,
		)
	}
}

// TestLongQueryProbesLoadFirst: a jammed engine answers no query, so only a probe shows it (register, big-2).
func TestLongQueryProbesLoadFirst(t *testing.T) {
	b := newHarness(t, loadReportConfig("concurrent"), standardEngines(5)...)
	long := Event{
		Type:              QueryArrived,
		Query:             1,
		Class:             "short",
		RemainingDeadline: 10 * time.Second,
		HasCostEstimate:   true,
		CostEstimate:      1500 * ms,
	}
	got := append([]Action(nil), b.advance(0, long)...)
	wantActions(t, got, CheckHealth, CheckHealth, CheckHealth)
	asked := map[EngineID]bool{}
	var answers []Event
	for i, a := range got {
		asked[a.Engine] = true
		answers = append(
			answers,
			healthCheckWithReport(a.Engine, float64(100*min(i, 1))),
		) // the first alone is free
	}
	b.advance(2*ms, answers...)
	got = b.advance(loadProbeWait, Event{Type: TimerFired, Label: 2})
	if len(got) != 1 || got[0].Type != Send || len(asked) != 3 {
		t.Fatalf("after the reports of %d engines: %+v", len(asked), got)
	}
	for i, ev := range answers {
		if i > 0 && ev.Engine == got[0].Engine {
			t.Errorf("sent to %s, which reports 100 queries", ev.Engine)
		}
	}
	short := Event{
		Type:              QueryArrived,
		Query:             2,
		Class:             "short",
		RemainingDeadline: 10 * time.Second,
		HasCostEstimate:   true,
		CostEstimate:      100 * ms,
	}
	wantActions(t, b.advance(ms, short), Send)
}

// TestLostAnswerIsRetried: a tenth to a third of answers never arrive (Wellington, big-2).
func TestLostAnswerIsRetried(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ProgressInterval = 0
	b := newHarness(t, cfg, standardEngine("e1"), standardEngine("e2"))
	b.submit(1, "short", "")
	first := b.lastActions[0]
	var got []Action
	for range 20 {
		b.g.engines[first.Engine].lastHeardAt = b.now // others' answers arrive
		if got = b.advance(50*ms, Event{Type: TimerFired}); len(got) > 0 {
			break
		}
	}
	wantActions(t, got, Cancel)
	wantActions(t, b.advance(0, attemptDoneEvent(first, 0, OutcomeCancelled, 700*ms)), Send)
	if b.lastActions[0].Engine == first.Engine {
		t.Errorf("sent to %s again", first.Engine)
	}
}

// TestLongQueryOfUnknownCostIsNoBadPlan: calling off what is only long did its work thrice (Tallinn, big-1).
func TestLongQueryOfUnknownCostIsNoBadPlan(t *testing.T) {
	for _, told := range []bool{true, false} {
		b := newHarness(t, singleClassConfig(), standardEngine("e1"), standardEngine("e2"))
		b.g.classList[0].baseScale = 0.1
		ev := Event{Type: QueryArrived, Query: 1, Class: "short", RemainingDeadline: 10 * time.Second}
		if ev.HasCostEstimate = told; told {
			ev.CostEstimate = 2 * time.Second
		}
		wantActions(t, b.advance(0, ev), Send)
		note := Event{
			Type:   ProgressReported,
			Query:  1,
			Engine: b.lastActions[0].Engine,
			Note:   NoteFractionDone,
			Value:  0.25,
		}
		if got := b.advance(200*ms, note); told {
			wantActions(t, got, Cancel) // 0.8 s for an estimate of 0.2 s
		} else {
			wantActions(t, got)
		}
	}
}

// TestFleetWideFailuresAddNoLoad: lost answers on all engines were told as four times their load
// (Wellington, big-2).
func TestFleetWideFailuresAddNoLoad(t *testing.T) {
	b := newHarness(t, largeFleetConfig(), standardEngines(4)...)
	for _, e := range b.g.engineList {
		e.succeededTotal, e.failedTotal = 70, 30
	}
	b.g.peerReports[1] = uniformPeerReport(b, 8)
	b.g.broadcastAggregate()
	for _, e := range b.g.engineList {
		if load := e.runningCount[len(b.g.classList)] / b.g.unobservedShare(e); load > 9 {
			t.Errorf("8 threads on %s are told as %.1f", e.ID, load)
		}
	}
}

// TestFailingEngineIsReportedAsFuller: what befalls one engine alone still counts against it.
func TestFailingEngineIsReportedAsFuller(t *testing.T) {
	b := newHarness(t, largeFleetConfig(), standardEngines(4)...)
	for _, e := range b.g.engineList {
		e.succeededTotal = 100
	}
	bad := b.g.engineList[0]
	bad.succeededTotal, bad.failedTotal = 60, 40
	b.g.peerReports[1] = uniformPeerReport(b, 8)
	b.g.broadcastAggregate()
	if load := bad.runningCount[len(b.g.classList)] / b.g.unobservedShare(bad); load < 12 {
		t.Errorf("8 threads on an engine that fails two in five are told as %.1f", load)
	}
}

// uniformPeerReport is a peer's report of the same load on all engines.
func uniformPeerReport(b *harness, load float64) receivedReport {
	r := receivedReport{at: b.now}
	for _, e := range b.g.engineList {
		r.entries = append(r.entries, peerEntry{tag: e.tag, load: load})
	}
	return r
}

// TestMeanWorkComesFromAnswers: without estimates a class's work stood at its aim (Tallinn).
func TestMeanWorkComesFromAnswers(t *testing.T) {
	cfg := singleClassConfig()
	cfg.ReportsCost = true
	b := newHarness(t, cfg, standardEngine("e1"))
	for id := range QueryID(200) {
		b.advance(
			0,
			Event{Type: QueryArrived, Query: id + 1, Class: "short", RemainingDeadline: 10 * time.Second},
		)
		done := attemptDoneEvent(b.lastActions[0], 0, OutcomeOK, 200*ms)
		done.ActualCost = 200 * ms
		b.advance(200*ms, done)
	}
	if got := b.g.classList[0].meanWork; math.Abs(got-0.2) > 0.05 {
		t.Errorf("mean work %.2f s after 200 answers of 0.2 s", got)
	}
}

// TestCrowdedEngineAdmitsByItsThreads: weights start small and learn nothing where nothing ends (Tallinn,
// big-1).
func TestCrowdedEngineAdmitsByItsThreads(t *testing.T) {
	for _, c := range []struct {
		threads float64
		want    ActionType
	}{{0, Send}, {160, Reject}} {
		b := newHarness(t, largeFleetConfig(), standardEngines(1)...)
		e := b.g.engineList[0]
		e.runningCount[len(b.g.classList)], e.loadKnownAt = c.threads, b.now
		got := b.advance(
			0,
			Event{Type: QueryArrived, Query: 1, Class: "short", RemainingDeadline: 10 * time.Second,
				HasCostEstimate: true, CostEstimate: 250 * ms},
		)
		wantActions(t, got, c.want)
	}
}

// TestSlowStartSlotsStayInBudget plays 1 to 300 gateways on one cold engine, with even and uneven traffic
// and with gateways that restart: together they use it from the start, and no window of what they send
// passes the rule.
func TestSlowStartSlotsStayInBudget(t *testing.T) {
	for _, c := range []struct {
		gateways int
		busy     int // one gateway in so many has traffic
		restart  bool
	}{{1, 1, false}, {30, 1, false}, {300, 1, false}, {300, 5, false}, {300, 1, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			cfg := singleClassConfig()
			cfg.GatewayCount, cfg.ProgressInterval = c.gateways, 0
			cfg.Rules = Rules{
				SlowStartFrom:           0.3,
				SlowStartDuration:       15 * time.Second,
				SlowStartOverloadFactor: 2.5,
				SlowStartWindow:         2 * time.Second,
			}
			e := standardEngine("e1")
			e.StartedAt = time.Hour
			start := func(i int, seed uint64) *harness {
				own := cfg
				own.Ordinal, own.Seed = i, seed
				return newHarness(t, own, e)
			}
			var all []*harness
			for i := range c.gateways {
				all = append(all, start(i, 1))
			}
			const cost = 0.15
			var sent []time.Duration
			id := QueryID(0)
			for step := range 280 {
				now := time.Hour + time.Duration(step)*50*ms
				for i, b := range all {
					if c.restart && step == 100 && i%2 == 0 {
						b = start(i, 2)
						all[i] = b
					}
					b.now = now
					events := []Event{{Type: TimerFired}}
					if i%c.busy == 0 {
						id++
						events = append(
							events,
							Event{
								Type:              QueryArrived,
								Query:             id,
								Class:             "short",
								RemainingDeadline: 10 * time.Second,
								HasCostEstimate:   true,
								CostEstimate:      time.Duration(cost * float64(time.Second)),
							},
						)
					}
					for _, a := range b.advance(0, events...) {
						if a.Type == Send {
							sent = append(sent, now)
							b.advance(0, attemptDoneEvent(a, 0, OutcomeOK, 150*ms))
						}
					}
				}
			}
			if len(sent) == 0 {
				t.Fatal("nothing was sent to the cold engine")
			}
			worst := 0.0
			for i, from := range sent {
				age := (from - time.Hour).Seconds()
				n := 0
				for _, at := range sent[i:] {
					if at < from+cfg.Rules.SlowStartWindow {
						n++
					}
				}
				budget := 2.5 * 8 * capacityCPUShare * (0.3 + 0.7*age/15) * 2
				worst = math.Max(worst, float64(n)*cost/budget)
			}
			if worst > 1 {
				t.Errorf("a window reached %.0f%% of the budget", 100*worst)
			}
			if first := sent[0] - time.Hour; first > 4*time.Second {
				t.Errorf("first sent after %v", first)
			}
		})
	}
}

// TestUseOfCoresGivesNoPressure: it ends at one, so a crowd never shows in it (Montreal grown).
func TestUseOfCoresGivesNoPressure(t *testing.T) {
	b := newHarness(t, loadReportConfig("load_share"), standardEngines(3)...)
	b.g.fleetLogSlowness = 3 // outcomes show a fleet twenty times slower than its bases
	b.advance(
		50*ms,
		healthCheckWithReport("e00", 1),
		healthCheckWithReport("e01", 1),
		healthCheckWithReport("e02", 1),
		Event{Type: TimerFired},
	)
	if b.g.pressure < 1 {
		t.Errorf("pressure %.2f: cores in full use read as calm", b.g.pressure)
	}
}

// TestEngineThatChangesKindIsReset: an address may come back as another machine, with no or an older start.
func TestEngineThatChangesKindIsReset(t *testing.T) {
	big := EngineInfo{ID: "e1", Kind: "big", Zone: "b", StartedAt: time.Minute}
	b := newHarness(t, allRulesConfig(), big)
	old := standardEngine("e1")
	old.StartedAt = time.Second
	b.advance(ms, Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{old}})
	if e := b.g.engines["e1"]; e.kind.cores != 8 {
		t.Errorf("an engine of 8 cores is taken for one of %v", e.kind.cores)
	}
	wantActions(t, b.submit(1, "bound", "")) // its kind is gone
	wantActions(t, b.submit(2, "short", ""), Send)
}
