package baseline

import (
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
)

// Each decider serves a plain day through the core, books even, and each mutation is a decider that decides.
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
	for name, f := range deciders {
		d, err := f()
		if err != nil {
			t.Fatal(name, err)
		}
		now := time.Hour
		core := dispatch.NewCoreWithDecider(d, cfg, now)
		core.Step(
			now,
			[]cresspass.Event{{Type: cresspass.EngineListReceived, ListType: cresspass.ListComplete,
				Engines: []cresspass.EngineInfo{
					{ID: "a", Kind: "std"}, {ID: "b", Kind: "std"}, {ID: "c", Kind: "std",
						State: cresspass.EngineRemoved}}}},
		)
		sent := map[cresspass.EngineID]int{}
		for id := range cresspass.QueryID(100) {
			now += 20 * time.Millisecond
			out := append([]dispatch.Output(nil), core.Step(now, []cresspass.Event{{
				Type: cresspass.QueryArrived, Query: id + 1, Class: "q",
				RemainingDeadline: 4 * time.Second}})...)
			for _, o := range out {
				if o.Type == dispatch.StartAttempt {
					sent[o.Engine]++
					end := cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt,
						Engine: o.Engine, Outcome: cresspass.OutcomeOK, Elapsed: 5 * time.Millisecond,
						QueryFinished: true}
					if id%10 == 3 {
						end.Outcome, end.QueryFinished = cresspass.OutcomeConnectionReset, false
					}
					for _, again := range core.Step(now+5*time.Millisecond, []cresspass.Event{end}) {
						if again.Type == dispatch.StartAttempt {
							core.Step(now+9*time.Millisecond, []cresspass.Event{{Type: cresspass.AttemptDone,
								Query: again.Query, Attempt: again.Attempt, Engine: again.Engine,
								Outcome: cresspass.OutcomeOK, Elapsed: time.Millisecond,
								QueryFinished: true}})
						}
					}
				}
			}
		}
		core.Step(now+time.Minute, nil)
		if st := core.Stats(); st.Served < 95 || st.Open != 0 || sent["c"] > 0 || name == "round-robin" &&
			(sent["a"] < 40 || sent["b"] < 40) {
			t.Errorf("%s: %+v, sent %v", name, st, sent)
		}
	}
	if _, err := New("other", 0, cfg); err == nil {
		t.Error("an unknown policy")
	}
}
