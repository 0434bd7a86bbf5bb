package cresspass

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name       string
		invalidate func(*Config)
	}{
		{"no class", func(c *Config) { c.Classes = nil }},
		{"zero deadline", func(c *Config) { c.Classes[0].Deadline = 0 }},
		{"unequal lists", func(c *Config) { c.KindCores = []float64{8, 8} }},
		{"NaN", func(c *Config) { c.KindCores[0] = math.NaN() }},
		{"no cores", func(c *Config) { c.KindCores[0] = 0 }},
	} {
		cfg := singleClassConfig()
		c.invalidate(&cfg)
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: no error", c.name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []Action {
		h := newHarness(
			t,
			singleClassConfig(),
			standardEngine("e1"),
			standardEngine("e2"),
			standardEngine("e3"),
		)
		var all []Action
		for id := range QueryID(50) {
			all = append(all, h.submit(id+1, "short", "")...)
			all = append(all, h.advance(20*ms, Event{Type: TimerFired})...)
		}
		return all
	}
	first, second := play(), play()
	if len(first) != len(second) {
		t.Fatalf("first run has %d actions, second %d", len(first), len(second))
	}
	for i := range first {
		if first[i].Query != second[i].Query || first[i].Engine != second[i].Engine ||
			first[i].Type != second[i].Type {
			t.Fatalf("action %d: first run %+v, second %+v", i, first[i], second[i])
		}
	}
}

func TestStateStaysBounded(t *testing.T) {
	cfg := allRulesConfig()
	h := newHarness(t, cfg, standardEngine("e0"))
	id := QueryID(0)
	for i := range 3000 {
		old, fresh := standardEngine(fmt.Sprintf("e%d", i)), standardEngine(fmt.Sprintf("e%d", i+1))
		old.State = EngineRemoved
		h.advance(
			100*ms,
			Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{fresh, old}},
		)
		id++
		for _, a := range h.submit(id, "load", fmt.Sprintf("key%d", i)) {
			if a.Type == Send {
				h.advance(100*ms, attemptDoneEvent(a, 0, OutcomeOK, 100*ms))
			}
		}
	}
	g := h.g
	if len(g.engineList) > 2 || len(g.engines) > 2 || len(g.enginesByTag) > 2 {
		t.Errorf(
			"%d engines held, %d by ID, %d by tag, want at most 2",
			len(g.engineList),
			len(g.engines),
			len(g.enginesByTag),
		)
	}
	if len(g.keyOrder.keys) > 200 || len(g.queries) > 10 || len(g.attempts) > 10 {
		t.Errorf("%d keys, %d queries, %d attempts held, want at most 200, 10 and 10",
			len(g.keyOrder.keys), len(g.queries), len(g.attempts))
	}
}

func BenchmarkQuery(b *testing.B) {
	g, err := New(largeFleetConfig())
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	out := g.Handle(
		now,
		[]Event{{Type: EngineListReceived, ListType: ListComplete, Engines: standardEngines(40)}},
		nil,
	)
	for i := range b.N {
		now += 300 * ms
		out = g.Handle(
			now,
			[]Event{
				{
					Type:              QueryArrived,
					Query:             QueryID(i + 1),
					Class:             "short",
					RemainingDeadline: 10 * time.Second,
					HasCostEstimate:   true,
					CostEstimate:      100 * ms,
				},
			},
			out[:0],
		)
		for _, a := range out {
			if a.Type == Send {
				g.Handle(
					now,
					[]Event{
						{
							Type:          AttemptDone,
							Query:         a.Query,
							Engine:        a.Engine,
							Elapsed:       100 * ms,
							QueryFinished: true,
						},
					},
					nil,
				)
			}
		}
	}
}
