package cresspass

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// reportConfig is one of many gateways that tell each other nothing; engines report in answers and probes.
func reportConfig(fields ...string) Config {
	cfg := fleetConfig()
	cfg.MayTell, cfg.MayProbe, cfg.ReportFields = false, true, fields
	cfg.WhenShort, cfg.KindMemoryMB = ShortagePage, []float64{8192}
	return cfg
}

func reports(e EngineID, values ...float64) Event {
	return Event{Type: ProbeDone, Engine: e, Outcome: OK, HasReport: true, Report: values}
}

func est(b *bench, id EngineID) float64 {
	return b.g.estimate(&query{c: b.g.order[0], unit: 0.1, memory: 400}, b.g.engines[id])
}

// TestReportedQueriesCountInEst: where no peer tells, queries that an engine reports were not seen (register).
func TestReportedQueriesCountInEst(t *testing.T) {
	b := newBench(t, reportConfig("concurrent"), fleet(2)...)
	free := est(b, "e00")
	b.at(ms, reports("e00", 50))
	if got := est(b, "e00"); got < 2*free {
		t.Errorf("Est %.3f s with 50 queries reported on 8 cores, %.3f s before", got, free)
	}
	if got := est(b, "e01"); got > 1.01*free {
		t.Errorf("Est %.3f s on an engine that reported nothing, %.3f s before", got, free)
	}
}

func TestOddReportsMoveNothingBeyondTheirClip(t *testing.T) {
	b := newBench(t, reportConfig("concurrent", "x0"), fleet(2)...)
	free := est(b, "e00")
	for _, values := range [][]float64{nil, {1}, {1, 2, 3}, {math.NaN(), math.NaN()}, {-4, -1}} {
		b.at(ms, reports("e00", values...))
		if got := est(b, "e00"); got != free {
			t.Errorf("report %v moved Est from %v to %v", values, free, got)
		}
	}
	b.at(ms, reports("e00", 1e300, 1e300), reports("nobody", 3, 1))
	if got := est(b, "e00"); math.IsInf(got, 0) || math.IsNaN(got) || b.g.engines["e00"].granted > reportMost {
		t.Errorf("a huge report makes Est %v, memory %v", got, b.g.engines["e00"].granted)
	}
}

// TestPagingEngineIsSlow: an engine with twice its memory granted pages to a standstill and shows no outcome
// (register, big-2).
func TestPagingEngineIsSlow(t *testing.T) {
	b := newBench(t, reportConfig("x0"), fleet(2)...)
	free := est(b, "e00")
	b.at(ms, reports("e00", 2))
	if got := est(b, "e00"); got < 5*free {
		t.Errorf("Est %.3f s at twice the memory, %.3f s with none granted", got, free)
	}
	for range 2400 {
		b.at(50*ms, Event{Type: TimerDue})
	}
	if got := est(b, "e00"); got > 1.1*free {
		t.Errorf("Est still %.3f s two minutes after the report", got)
	}
}

// TestReportSoonCountsAsItsKind: many gateways act on one report, so an engine that looked free a second ago is
// taken to be as full as its kind (incident id9c0b3).
func TestReportSoonCountsAsItsKind(t *testing.T) {
	b := newBench(t, reportConfig("concurrent"), fleet(5)...)
	b.at(ms, reports("e00", 0))
	for range 30 {
		b.at(50*ms, Event{Type: TimerDue}, reports("e01", 40), reports("e02", 40))
	}
	free, full := b.g.engines["e00"].count[len(b.g.order)], b.g.engines["e01"].count[len(b.g.order)]
	if free < full/2 {
		t.Errorf("%.1f threads counted on an engine free 1.5 s ago, %.1f on the others", free, full)
	}
}

// TestLostAnswersAreNoPressureWhereEnginesReport: overdue attempts read as an overload of half-used engines
// (register, big-1).
func TestLostAnswersAreNoPressureWhereEnginesReport(t *testing.T) {
	b := newBench(t, reportConfig("concurrent"), fleet(3)...)
	for id := range QueryID(30) {
		b.ask(id+1, "short", "") // none of them is ever answered
		for range 10 {
			b.at(50*ms, Event{Type: TimerDue}, reports("e00", 4), reports("e01", 4), reports("e02", 4))
		}
	}
	if b.g.pressure > 1 || b.g.fleet > 0.5 {
		t.Errorf("pressure %.2f, slowness %.2f though engines report half a thread a core", b.g.pressure, b.g.fleet)
	}
}

// TestLongQueryAsksFirst: a jammed engine answers no query, so only a probe shows it (register, big-2).
func TestLongQueryAsksFirst(t *testing.T) {
	b := newBench(t, reportConfig("concurrent"), fleet(5)...)
	long := Event{Type: QueryTaken, Query: 1, Class: "short", TimeLeft: 10 * time.Second, HasCost: true, Cost: 1500 * ms}
	got := append([]Action(nil), b.at(0, long)...)
	want(t, got, Probe, Probe, Probe)
	asked := map[EngineID]bool{}
	var answers []Event
	for i, a := range got {
		asked[a.Engine] = true
		answers = append(answers, reports(a.Engine, float64(100*min(i, 1)))) // the first alone is free
	}
	b.at(2*ms, answers...)
	got = b.at(scoutWait, Event{Type: TimerDue, Label: 2})
	if len(got) != 1 || got[0].Type != Send || len(asked) != 3 {
		t.Fatalf("after the reports of %d engines: %+v", len(asked), got)
	}
	for i, ev := range answers {
		if i > 0 && ev.Engine == got[0].Engine {
			t.Errorf("sent to %s, which reports 100 queries", ev.Engine)
		}
	}
	short := Event{Type: QueryTaken, Query: 2, Class: "short", TimeLeft: 10 * time.Second, HasCost: true, Cost: 100 * ms}
	want(t, b.at(ms, short), Send)
}

// TestLostAnswerIsSentAgain: a tenth to a third of answers never arrive (Wellington, big-2).
func TestLostAnswerIsSentAgain(t *testing.T) {
	cfg := plainConfig()
	cfg.ProgressEvery = 0
	b := newBench(t, cfg, std("e1"), std("e2"))
	b.ask(1, "short", "")
	first := b.last[0]
	var got []Action
	for range 20 {
		b.g.engines[first.Engine].heard = b.now // others' answers arrive
		if got = b.at(50*ms, Event{Type: TimerDue}); len(got) > 0 {
			break
		}
	}
	want(t, got, Cancel)
	want(t, b.at(0, ended(first, 0, Cancelled, 700*ms)), Send)
	if b.last[0].Engine == first.Engine {
		t.Errorf("sent to %s again", first.Engine)
	}
}

// TestLongQueryOfUntoldCostIsNoBadPlan: calling off what is only long did its work thrice (Tallinn, big-1).
func TestLongQueryOfUntoldCostIsNoBadPlan(t *testing.T) {
	for _, told := range []bool{true, false} {
		b := newBench(t, plainConfig(), std("e1"), std("e2"))
		b.g.order[0].scale = 0.1
		ev := Event{Type: QueryTaken, Query: 1, Class: "short", TimeLeft: 10 * time.Second}
		if ev.HasCost = told; told {
			ev.Cost = 2 * time.Second
		}
		want(t, b.at(0, ev), Send)
		note := Event{Type: Progress, Query: 1, Engine: b.last[0].Engine, Note: NoteShareDone, Value: 0.25}
		if got := b.at(200*ms, note); told {
			want(t, got, Cancel) // 0.8 s for an estimate of 0.2 s
		} else {
			want(t, got)
		}
	}
}

// TestWhatBefallsAllIsNoLoad: lost answers on all engines were told as four times their load (Wellington, big-2).
func TestWhatBefallsAllIsNoLoad(t *testing.T) {
	b := newBench(t, fleetConfig(), fleet(4)...)
	for _, e := range b.g.list {
		e.goodSum, e.badSum = 70, 30
	}
	b.g.reports[1] = reportOf(b, 8)
	b.g.tellSums()
	for _, e := range b.g.list {
		if load := e.count[len(b.g.order)] / b.g.hidden(e); load > 9 {
			t.Errorf("8 threads on %s are told as %.1f", e.ID, load)
		}
	}
}

// TestOneWorseEngineIsToldAsFuller: what befalls one engine alone still counts against it.
func TestOneWorseEngineIsToldAsFuller(t *testing.T) {
	b := newBench(t, fleetConfig(), fleet(4)...)
	for _, e := range b.g.list {
		e.goodSum = 100
	}
	bad := b.g.list[0]
	bad.goodSum, bad.badSum = 60, 40
	b.g.reports[1] = reportOf(b, 8)
	b.g.tellSums()
	if load := bad.count[len(b.g.order)] / b.g.hidden(bad); load < 12 {
		t.Errorf("8 threads on an engine that fails two in five are told as %.1f", load)
	}
}

// reportOf is a peer's report of the same load on all engines.
func reportOf(b *bench, load float64) report {
	r := report{at: b.now}
	for _, e := range b.g.list {
		r.entries = append(r.entries, peerEntry{tag: e.tag, load: load})
	}
	return r
}

// TestMeanWorkComesFromAnswers: without estimates a class's work stood at its aim (Tallinn).
func TestMeanWorkComesFromAnswers(t *testing.T) {
	cfg := plainConfig()
	cfg.TellsCost = true
	b := newBench(t, cfg, std("e1"))
	for id := range QueryID(200) {
		b.at(0, Event{Type: QueryTaken, Query: id + 1, Class: "short", TimeLeft: 10 * time.Second})
		done := ended(b.last[0], 0, OK, 200*ms)
		done.WorkDone = 200 * ms
		b.at(200*ms, done)
	}
	if got := b.g.order[0].work; math.Abs(got-0.2) > 0.05 {
		t.Errorf("mean work %.2f s after 200 answers of 0.2 s", got)
	}
}

// TestCrowdedEngineLetsInByItsThreads: weights start small and learn nothing where nothing ends (Tallinn, big-1).
func TestCrowdedEngineLetsInByItsThreads(t *testing.T) {
	for _, c := range []struct {
		threads float64
		want    ActionType
	}{{0, Send}, {160, Refuse}} {
		b := newBench(t, fleetConfig(), fleet(1)...)
		e := b.g.list[0]
		e.count[len(b.g.order)], e.toldAt = c.threads, b.now
		got := b.at(0, Event{Type: QueryTaken, Query: 1, Class: "short", TimeLeft: 10 * time.Second,
			HasCost: true, Cost: 250 * ms})
		want(t, got, c.want)
	}
}

// TestColdTurnsStayInTheBudget plays 1 to 300 gateways on one cold engine, with even and uneven traffic and with
// gateways that restart: together they use it from the start, and no window of what they send passes the rule.
func TestColdTurnsStayInTheBudget(t *testing.T) {
	for _, c := range []struct {
		gateways int
		busy     int // one gateway in so many has traffic
		restart  bool
	}{{1, 1, false}, {30, 1, false}, {300, 1, false}, {300, 5, false}, {300, 1, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			cfg := plainConfig()
			cfg.Gateways, cfg.ProgressEvery = c.gateways, 0
			cfg.Rules = Rules{ColdFrom: 0.3, ColdFor: 15 * time.Second, ColdMultiple: 2.5, ColdWindow: 2 * time.Second}
			e := std("e1")
			e.Started = time.Hour
			start := func(i int, seed uint64) *bench {
				own := cfg
				own.Ordinal, own.Seed = i, seed
				return newBench(t, own, e)
			}
			var all []*bench
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
					events := []Event{{Type: TimerDue}}
					if i%c.busy == 0 {
						id++
						events = append(events, Event{Type: QueryTaken, Query: id, Class: "short", TimeLeft: 10 * time.Second,
							HasCost: true, Cost: time.Duration(cost * float64(time.Second))})
					}
					for _, a := range b.at(0, events...) {
						if a.Type == Send {
							sent = append(sent, now)
							b.at(0, ended(a, 0, OK, 150*ms))
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
					if at < from+cfg.Rules.ColdWindow {
						n++
					}
				}
				budget := 2.5 * 8 * cpuShare * (0.3 + 0.7*age/15) * 2
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
	b := newBench(t, reportConfig("load_share"), fleet(3)...)
	b.g.fleet = 3 // outcomes show a fleet twenty times slower than its bases
	b.at(50*ms, reports("e00", 1), reports("e01", 1), reports("e02", 1), Event{Type: TimerDue})
	if b.g.pressure < 1 {
		t.Errorf("pressure %.2f: cores in full use read as calm", b.g.pressure)
	}
}

// TestEngineThatChangesKindIsMeasuredAnew: an address may come back as another machine, with no or an older start.
func TestEngineThatChangesKindIsMeasuredAnew(t *testing.T) {
	big := EngineInfo{ID: "e1", Kind: "big", Zone: "b", Started: time.Minute}
	b := newBench(t, testConfig(), big)
	old := std("e1")
	old.Started = time.Second
	b.at(ms, Event{Type: EngineList, Listing: ListChanges, Engines: []EngineInfo{old}})
	if e := b.g.engines["e1"]; e.kind.cores != 8 {
		t.Errorf("an engine of 8 cores is taken for one of %v", e.kind.cores)
	}
	want(t, b.ask(1, "bound", "")) // its kind is gone
	want(t, b.ask(2, "short", ""), Send)
}
