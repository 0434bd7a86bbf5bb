package cresspass

import (
	"fmt"
	"testing"
	"time"
)

// singleClassConfig returns settings with one idempotent class, one kind and no optional rule.
func singleClassConfig() Config {
	return Config{
		GatewayCount:     2,
		BatchInterval:    5 * ms,
		MayCancel:        true,
		ProgressInterval: 2 * time.Second,
		MaxAttempts:      4,
		Classes: []Class{
			{
				Name:             "short",
				LatencyObjective: 2 * time.Second,
				ObjectiveStretch: 1,
				Deadline:         10 * time.Second,
				PriorityWeight:   1,
			},
		},
		KindNames: []string{"std"},
		KindCores: []float64{8},
	}
}

const ms = time.Millisecond

// allRulesConfig returns settings with a class of each effect, two kinds and all rules enabled.
func allRulesConfig() Config {
	return Config{
		Seed: 1, GatewayCount: 2, Zone: "a", BatchInterval: 5 * ms,
		Classes: []Class{
			{
				Name:             "short",
				LatencyObjective: time.Second,
				ObjectiveStretch: 1,
				Deadline:         5 * time.Second,
				PriorityWeight:   1,
				Effect:           Idempotent,
			},
			{
				Name:                "load",
				LatencyObjective:    4 * time.Second,
				ObjectiveStretch:    2,
				Deadline:            20 * time.Second,
				PriorityWeight:      5,
				LateAnswerValue:     0.5,
				Effect:              IdempotentWithKey,
				DeduplicationWindow: 3 * time.Second,
				OrderedByKey:        true,
			},
			{
				Name:             "once",
				LatencyObjective: 4 * time.Second,
				Deadline:         20 * time.Second,
				PriorityWeight:   5,
				Effect:           NotIdempotent,
			},
			{
				Name:             "bound",
				LatencyObjective: 2 * time.Second,
				Deadline:         9 * time.Second,
				PriorityWeight:   2,
				Effect:           Idempotent,
				AllowedKinds:     []string{"big"},
				AllowedZones:     []string{"b"},
			},
			{
				Name:                "cell",
				LatencyObjective:    4 * time.Second,
				Deadline:            20 * time.Second,
				PriorityWeight:      5,
				Effect:              IdempotentWithKey,
				DeduplicationScope:  ScopeCell,
				DeduplicationWindow: 6 * time.Second,
			},
		},
		ClassThreads: []float64{1, 2, 2, 1, 1}, ClassIsBulkLoad: []bool{false, true, false, false, false},
		KindNames: []string{"std", "big"}, KindCores: []float64{8, 16},
		Rules: Rules{
			AnswerGrace:             20 * ms,
			DrainGrace:              time.Second,
			SlowStartFrom:           0.4,
			SlowStartDuration:       10 * time.Second,
			SlowStartOverloadFactor: 3,
			SlowStartWindow:         2 * time.Second,
			OrderSettleDelay:        500 * ms,
			HasRetryBudget:          true,
			RetryBudgetFree:         2,
			RetryBudgetRatio:        0.2,
			RetryBudgetWindow:       5 * time.Second,
		},
		MaxAttempts: 4, MaxRetryAfter: time.Second, MayCancel: true, MaySendRetryAfter: true,
		ProgressInterval: 2 * time.Second,
	}
}

// harness runs a gateway step by step and keeps its last actions.
type harness struct {
	t           *testing.T
	g           *Gateway
	now         time.Duration
	lastActions []Action
}

func newHarness(t *testing.T, cfg Config, engines ...EngineInfo) *harness {
	t.Helper()
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, g: g, now: time.Hour}
	h.advance(0, Event{Type: EngineListReceived, ListType: ListCached, Engines: engines})
	return h
}

// advance moves the clock, delivers events and returns the actions other than SetTimer and SetResources. The
// next call overwrites the result.
func (h *harness) advance(pass time.Duration, events ...Event) []Action {
	h.now += pass
	h.lastActions = h.lastActions[:0]
	for _, a := range h.g.Handle(h.now, events, nil) {
		if a.Type != SetTimer && a.Type != SetResources {
			h.lastActions = append(h.lastActions, a)
		}
	}
	return h.lastActions
}

func (h *harness) submit(id QueryID, class, key string) []Action {
	left := h.g.classes[class].Deadline
	return h.advance(
		0,
		Event{
			Type:              QueryArrived,
			Query:             id,
			Class:             class,
			Key:               key,
			RemainingDeadline: left,
			HasCostEstimate:   true,
			CostEstimate:      200 * ms,
		},
	)
}

func attemptDoneEvent(a Action, n int, o Outcome, took time.Duration) Event {
	return Event{
		Type:          AttemptDone,
		Query:         a.Query,
		Attempt:       n,
		Engine:        a.Engine,
		Outcome:       o,
		Elapsed:       took,
		QueryFinished: o == OutcomeOK,
	}
}

func standardEngine(id string) EngineInfo {
	return EngineInfo{ID: EngineID(id), Kind: "std", Zone: "a"}
}

func wantActions(t *testing.T, got []Action, types ...ActionType) {
	t.Helper()
	ok := len(got) == len(types)
	for i := 0; ok && i < len(got); i++ {
		ok = got[i].Type == types[i]
	}
	if !ok {
		t.Fatalf("got %+v, want action types %v", got, types)
	}
}

// largeFleetConfig returns the settings of one of 200 gateways with gossip.
func largeFleetConfig() Config {
	cfg := singleClassConfig()
	cfg.GatewayCount, cfg.MayGossip, cfg.Seed = 200, true, 7
	return cfg
}

func standardEngines(n int) (list []EngineInfo) {
	for i := range n {
		list = append(list, standardEngine(fmt.Sprintf("e%02d", i)))
	}
	return list
}
