package wire

import (
	"bufio"
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const us = time.Microsecond

// A configuration that is written as settings is read back unchanged.
func TestSettingsRoundTrip(t *testing.T) {
	want := cresspass.Config{
		Seed:           99,
		Ordinal:        3,
		GatewayCount:   40,
		Zone:           "z",
		BatchInterval:  5 * us,
		PollEngineList: true,
		Classes: []cresspass.Class{
			{Name: "a", LatencyObjective: 7 * us, ObjectiveStretch: 1.5, Deadline: 9 * us, PriorityWeight: 2,
				LateAnswerValue: 0.25, Effect: cresspass.IdempotentWithKey,
				DeduplicationScope: cresspass.ScopeZone, DeduplicationWindow: 3 * us,
				OrderedByKey: true,
				AllowedKinds: []string{"k", "l"}, AllowedZones: []string{"z"}},
			{Name: "b", Deadline: us,
				Effect: cresspass.NotIdempotent},
		},
		ClassThreads: []float64{
			1,
			2.5,
		},
		ClassIsBulkLoad:         []bool{false, true},
		ClassWaitsForBulkLoad:   []bool{true, false},
		KindNames:               []string{"k", "l"},
		KindCores:               []float64{8, 16},
		KindMemoryMB:            []float64{1e6, 2},
		Tenants:                 []cresspass.Tenant{{Name: "t", QuotaPerSecond: 3, Share: 0.5}},
		OverQuotaPriorityWeight: 0.1,
		Rules: cresspass.Rules{
			AnswerGrace:             us,
			DrainGrace:              2 * us,
			SlowStartFrom:           0.4,
			SlowStartDuration:       3 * us,
			SlowStartOverloadFactor: 3,
			SlowStartWindow:         4 * us,
			EngineListPollInterval:  5 * us,
			OrderSettleDelay:        6 * us,
			HasRetryBudget:          true,
			RetryBudgetFree:         2,
			RetryBudgetRatio:        0.1,
			RetryBudgetWindow:       7 * us,
		},
		MaxAttempts:         6,
		MaxRetryAfter:       8 * us,
		MayCancel:           true,
		MayHedge:            true,
		MayCheckHealth:      true,
		MayGossip:           true,
		MaySendRetryAfter:   true,
		LoadReportFields:    []string{"concurrent", "x0"},
		AcceptsMemoryGrants: true,
		AcceptsPriority:     true,
		MaxGrantShare:       0.4,
		OnMemoryShortage:    cresspass.ShortagePages,
		ProgressInterval:    9 * us,
		ReportsCost:         true,
	}
	got, err := ConfigFromSettings(SettingsFromConfig(&want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
}

// Events that are written for an instance are read back unchanged.
func TestEventsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := func(name string) int { return rapid.IntRange(0, 1<<30).Draw(t, name) }
		micros := func(name string) time.Duration { return time.Duration(whole(name)) * us }
		name := func(of string) string { return rapid.StringMatching(`[a-z0-9:]{1,8}`).Draw(t, of) }
		number := rapid.Float64Range(0, 1e9)
		var want []cresspass.Event
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			e := cresspass.Event{Query: cresspass.QueryID(whole("query"))}
			attempt := func() {
				e.Attempt, e.Engine = whole("attempt"), cresspass.EngineID(name("engine"))
			}
			report := func() {
				if e.HasLoadReport = rapid.Bool().Draw(t, "reports"); e.HasLoadReport {
					e.LoadReport = rapid.SliceOfN(number, 1, 3).Draw(t, "report")
				}
			}
			e.Type = cresspass.EventType(rapid.IntRange(0, int(cresspass.QueryAbandoned)).Draw(t, "type"))
			switch e.Type {
			case cresspass.EngineListReceived:
				e.Query, e.ListType = 0, cresspass.EngineListType(rapid.IntRange(0, 3).Draw(t, "listing"))
				for range rapid.IntRange(1, 3).Draw(t, "engines") {
					if e.ListType != cresspass.ListFailed {
						e.Engines = append(e.Engines, cresspass.EngineInfo{
							ID:    cresspass.EngineID(name("engine")),
							State: cresspass.EngineState(rapid.IntRange(0, 2).Draw(t, "state")),
							Kind:  name("kind"), Zone: name("zone"), Cell: whole("cell"),
							Size: number.Draw(t, "size"), StartedAt: micros("started")})
					}
				}
			case cresspass.QueryArrived:
				e.TableGroup, e.Class, e.RemainingDeadline = number.Draw(
					t,
					"tables",
				), name(
					"class",
				), micros(
					"left",
				)
				e.HasCostEstimate, e.IsRetry = rapid.Bool().Draw(t, "costs"), rapid.Bool().Draw(t, "repeats")
				e.IsWrite, e.MemoryEstimateMB = rapid.Bool().Draw(t, "writes"), number.Draw(t, "memory")
				e.CostEstimate, e.Key, e.Tenant = micros("cost"), name("key"), "t"+name("tenant")
			case cresspass.TimerFired:
				e.Query, e.Label = 0, uint64(whole("label"))
			case cresspass.PeerMessageReceived:
				e.Query, e.Peer = 0, whole("peer")
				e.Data = rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "data")
			case cresspass.HealthCheckDone:
				e.Query, e.Engine = 0, cresspass.EngineID(name("engine"))
				e.Outcome, e.Elapsed = cresspass.Outcome(whole("outcome")), micros("took")
				report()
			case cresspass.AttemptDone:
				attempt()
				e.Outcome, e.Elapsed = cresspass.Outcome(whole("outcome")), micros("took")
				e.QueryFinished = rapid.Bool().Draw(t, "finished")
				e.ActualCost = time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "work")) * time.Millisecond
				e.ActualMemoryMB = 4 * float64(rapid.IntRange(0, 4095).Draw(t, "needed"))
				report()
			case cresspass.ProgressReported:
				attempt()
				e.Note, e.Value = cresspass.NoteType(whole("note")), number.Draw(t, "value")
			case cresspass.ResponseStarted:
				attempt()
				e.Elapsed = micros("took")
			}
			want = append(want, e)
		}
		var encoded bytes.Buffer
		w := NewBatchWriter(&encoded)
		w.Begin(5 * us)
		for i := range want {
			if !w.Event(7, &want[i]) {
				t.Fatalf("%+v has no form on the wire", want[i])
			}
		}
		if err := w.End(); err != nil {
			t.Fatal(err)
		}
		b, err := NewReader(&encoded).Next()
		if err != nil || b.Now != 5*us || len(b.Messages) != len(want) {
			t.Fatalf("%+v, %v", b, err)
		}
		for i, m := range b.Messages {
			if m.Type != EventMessage || m.Instance != 7 || !reflect.DeepEqual(m.Event, want[i]) {
				t.Fatalf("event %d of %d:\n got %+v\nwant %+v", i, m.Instance, m.Event, want[i])
			}
		}
	})
}

// Actions are read back as they were written; malformed replies are errors that name the line.
func TestReplies(t *testing.T) {
	want := []cresspass.Action{{Type: cresspass.Send, Query: 1, Engine: "a:1", Wait: 3 * us},
		{Type: cresspass.SetTimer, Wait: us, Label: 9}, {Type: cresspass.FetchEngineList},
		{
			Type:   cresspass.CloseIdleConnections,
			Engine: "a:1",
		}, {Type: cresspass.SendToPeer, Peer: -1, Data: []byte("hi")},
		{Type: cresspass.Reject, Query: 2, Wait: us}, {Type: cresspass.Fail, Query: 3},
		{Type: cresspass.CheckHealth, Engine: "b:2"}, {Type: cresspass.Cancel, Query: 4, Attempt: 2},
		{Type: cresspass.SetResources, Query: 5, Priority: 2, MemoryGrantMB: 1.5},
		{Type: cresspass.SubscribeEngineList, Enabled: true}}
	var encoded bytes.Buffer
	w := bufio.NewWriter(&encoded)
	for i := range want {
		WriteAction(w, 4, &want[i])
		WriteAction(w, 4, &cresspass.Action{Type: cresspass.Log, Text: "two = engines known"})
	}
	w.WriteString("ready\n")
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	got, err := NewReplyReader(&encoded).Next(4, nil)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
	for text, wantErr := range map[string]string{
		"":                                      "line 0: the output ended, expected ready",
		"give_in dispatcher=4 words=it is so\n": "line 1: give_in dispatcher=4 words=it is so",
		"dispatch dispatcher=5 op-id=1\n":       "line 1: dispatcher is 5, expected 4",
		"hello dispatcher=4\n":                  `line 1: "hello" is no action`,
		"defer dispatcher=4 label=1\nready\n": "line 1: delay-us is nothing, expected microseconds in whole " +
			"numbers",
	} {
		_, err := NewReplyReader(strings.NewReader(text)).Next(4, nil)
		if err == nil || err.Error() != wantErr {
			t.Errorf("%q: %v, want %q", text, err, wantErr)
		}
	}
}
