package baseline

import (
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
)

// Each policy, and each mutant, serves queries through the core and leaves none open. No query is sent to a
// removed engine, and round robin uses both active engines.
func TestDecidersServe(t *testing.T) {
	cfg := cresspass.Config{
		Seed:          1,
		GatewayCount:  1,
		BatchInterval: 5 * time.Millisecond,
		MayCancel:     true,
		MaxAttempts:   3,
		KindNames:     []string{"std"},
		KindCores:     []float64{8},
		Classes: []cresspass.Class{{Name: "q", LatencyObjective: time.Second,
			Deadline: 4 * time.Second, PriorityWeight: 1}},
	}
	deciders := map[string]func() (dispatch.Decider, error){}
	for _, p := range []string{"cresspass", "round-robin", "least-connections"} {
		deciders[p] = func() (dispatch.Decider, error) { return New(p, 0, cfg) }
	}
	for m := 1; m <= 7; m++ {
		deciders["mutant "+string(rune('0'+m))] = func() (dispatch.Decider, error) { return New("", m, cfg) }
	}
	for name, newDecider := range deciders {
		d, err := newDecider()
		if err != nil {
			t.Fatal(name, err)
		}
		stats, sent := serveQueries(dispatch.NewCoreWithDecider(d, cfg, time.Hour))
		if stats.Served < 95 || stats.Open != 0 || sent["c"] > 0 || name == "round-robin" &&
			(sent["a"] < 40 || sent["b"] < 40) {
			t.Errorf("%s: %+v, sent %v", name, stats, sent)
		}
	}
	if _, err := New("other", 0, cfg); err == nil {
		t.Error("no error for an unknown policy")
	}
}

// serveQueries sends 100 queries through a core with two active engines and a removed one. A tenth of them
// lose their first attempt. It returns the core's statistics a minute later, and the number of first attempts
// by engine.
func serveQueries(core *dispatch.Core) (dispatch.Stats, map[cresspass.EngineID]int) {
	now := time.Hour
	core.Step(now, []cresspass.Event{{
		Type:     cresspass.EngineListReceived,
		ListType: cresspass.ListComplete,
		Engines: []cresspass.EngineInfo{{ID: "a", Kind: "std"}, {ID: "b", Kind: "std"},
			{ID: "c", Kind: "std", State: cresspass.EngineRemoved}},
	}})
	sent := map[cresspass.EngineID]int{}
	for id := range cresspass.QueryID(100) {
		now += 20 * time.Millisecond
		out := append([]dispatch.Output(nil), core.Step(now, []cresspass.Event{{
			Type: cresspass.QueryArrived, Query: id + 1, Class: "q", RemainingDeadline: 4 * time.Second}})...)
		for _, o := range out {
			if o.Type != dispatch.StartAttempt {
				continue
			}
			sent[o.Engine]++
			end := finished(o, 5*time.Millisecond)
			if id%10 == 3 {
				end.Outcome, end.QueryFinished = cresspass.OutcomeConnectionReset, false
			}
			for _, retry := range core.Step(now+5*time.Millisecond, []cresspass.Event{end}) {
				if retry.Type == dispatch.StartAttempt {
					core.Step(now+9*time.Millisecond, []cresspass.Event{finished(retry, time.Millisecond)})
				}
			}
		}
	}
	core.Step(now+time.Minute, nil)
	return core.Stats(), sent
}

// finished returns the event of an attempt that served its query.
func finished(o dispatch.Output, elapsed time.Duration) cresspass.Event {
	return cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt, Engine: o.Engine,
		Outcome: cresspass.OutcomeOK, Elapsed: elapsed, QueryFinished: true}
}
