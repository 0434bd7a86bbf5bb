package wire

import (
	"bufio"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"cresspass"
)

// header is the first line of a batch.
const header = "clock now-us=1000\n"

func readMessage(t *testing.T, lines string) Message {
	t.Helper()
	b, err := NewReader(strings.NewReader(header + lines + "eob\n")).Next()
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Messages) != 1 {
		t.Fatalf("%d messages, want 1", len(b.Messages))
	}
	return b.Messages[0]
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		line string
		want cresspass.Event
	}{
		{"ask dispatcher=1 op-id=9 tables=11 opts=7 budget-us=240 category=short object=ff ram-mb=3 cost-us=12 later=x",
			cresspass.Event{Type: cresspass.QueryArrived, Query: 9, TableGroup: 11, HasCostEstimate: true,
				IsRetry: true, IsWrite: true,
				RemainingDeadline: 240 * time.Microsecond, Class: "short", Key: "ff", MemoryEstimateMB: 3,
				CostEstimate: 12 * time.Microsecond}},
		{"alarm dispatcher=1 label=77", cresspass.Event{Type: cresspass.TimerFired, Label: 77}},
		{"gone dispatcher=1 op-id=5", cresspass.Event{Type: cresspass.QueryAbandoned, Query: 5}},
		{"message dispatcher=1 sender=2 msg=6869", cresspass.Event{Type: cresspass.PeerMessageReceived,
			Peer: 2, Data: []byte("hi")}},
		{"check_result dispatcher=1 disposition=110 duration-us=7 node=a:1 health-info=0.5,3",
			cresspass.Event{Type: cresspass.HealthCheckDone, Outcome: cresspass.OutcomeTimedOut,
				Elapsed: 7 * time.Microsecond, Engine: "a:1",
				LoadReport: []float64{0.5, 3}, HasLoadReport: true}},
		{"closed_attempt dispatcher=1 op-id=5 trial=2 node=a:1 disposition=0 duration-us=7 finished=1 note=69728",
			cresspass.Event{Type: cresspass.AttemptDone, Query: 5, Attempt: 2, Engine: "a:1",
				Elapsed:       7 * time.Microsecond,
				QueryFinished: true, ActualCost: 17 * time.Millisecond, ActualMemoryMB: 384}},
		{"notice dispatcher=1 op-id=5 trial=0 node=a:1 topic=1 x=0.5",
			cresspass.Event{Type: cresspass.ProgressReported, Query: 5,
				Engine: "a:1", Note: cresspass.NoteFractionDone, Value: 0.5}},
		{"flowing dispatcher=1 op-id=5 trial=0 node=a:1 duration-us=3",
			cresspass.Event{Type: cresspass.ResponseStarted, Query: 5,
				Engine: "a:1", Elapsed: 3 * time.Microsecond}},
		{"sync dispatcher=1 scope=failed revision=3", cresspass.Event{Type: cresspass.EngineListReceived,
			ListType: cresspass.ListFailed}},
	} {
		if got := readMessage(t, c.line+"\n"); got.Instance != 1 || !reflect.DeepEqual(got.Event, c.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", c.line, got.Event, c.want)
		}
	}
}

// A later list replaces an earlier list with the same number within one batch; messages refer to the list
// that precedes them.
func TestListsResolveInOrder(t *testing.T) {
	b, err := NewReader(strings.NewReader(header +
		"roster sheet=0 elements=1\nentry state=on node=a:1 flavor=k area=z block=2 start-time-us=5\n" +
		"sync dispatcher=1 scope=full sheet=0\nroster sheet=0 elements=1\nentry state=off node=b:1\n" +
		"sync dispatcher=2 scope=delta sheet=0\neob\n")).Next()
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.Messages[0].Event.Engines[0], b.Messages[1].Event.Engines[0]
	if first.ID != "a:1" || first.Cell != 2 || second.ID != "b:1" || second.State != cresspass.EngineRemoved {
		t.Errorf("got %+v and %+v", first, second)
	}
}

func TestConfigErrors(t *testing.T) {
	c := readMessage(
		t,
		"provision dispatcher=3 rng-seed=8 peers-total=4 tick-us=5000 membership-mode=ask shapes=s,b "+
			"specifics.cpu-of-kind=8,16 specifics.when-short=page classes.count=1 classes.0.name=x classes.0.semantics=keyed "+
			"classes.0.key-scope=cell classes.0.deadline-us=6000000 classes.0.bound-to=b rules.look-back-us=7 unknown=1\n",
	).Config
	if c.GatewayCount != 4 || !c.PollEngineList || c.KindCores[1] != 16 ||
		c.OnMemoryShortage != cresspass.ShortagePages ||
		!c.Rules.HasRetryBudget {
		t.Errorf("got %+v", c)
	}
	if k := c.Classes[0]; k.Effect != cresspass.IdempotentWithKey ||
		k.DeduplicationScope != cresspass.ScopeCell ||
		k.AllowedKinds[0] != "b" ||
		k.Deadline != 6*time.Second {
		t.Errorf("got class %+v", k)
	}
}

func TestMalformedLinesNameTheirNumber(t *testing.T) {
	for _, lines := range []string{"ask\n", "ask dispatcher=1 op-id=x budget-us=1\neob\n",
		"alarm dispatcher=1 label\neob\n",
		"sync dispatcher=1 scope=odd sheet=0\neob\n", "=x\neob\n", "alarm dispatcher=1 label=1\n"} {
		_, err := NewReader(strings.NewReader(header + lines)).Next()
		if err == nil || !strings.HasPrefix(err.Error(), "line 2: ") ||
			!strings.Contains(err.Error(), "expected") {
			t.Errorf("%q: error %v", lines, err)
		}
	}
	if _, err := NewReader(strings.NewReader("")).Next(); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: %v, want EOF", err)
	}
	if b, err := NewReader(strings.NewReader(header +
		"novelty dispatcher=1 a=b\neob\n")).Next(); err != nil ||
		len(b.Messages) != 0 {
		t.Errorf("unknown event: %v", err)
	}
}

func TestActions(t *testing.T) {
	for _, c := range []struct {
		a    cresspass.Action
		want string
	}{
		{cresspass.Action{Type: cresspass.Send, Query: 5, Engine: "a:1", Wait: time.Millisecond},
			"dispatch dispatcher=3 op-id=5 node=a:1 patience-us=1000"},
		{cresspass.Action{Type: cresspass.SetTimer, Wait: time.Second, Label: 7},
			"defer dispatcher=3 delay-us=1000000 label=7"},
		{cresspass.Action{Type: cresspass.Reject, Query: 5, Wait: time.Millisecond},
			"deny dispatcher=3 op-id=5 not-before-for-us=1000"},
		{cresspass.Action{Type: cresspass.Fail, Query: 5}, "finish_error dispatcher=3 op-id=5"},
		{cresspass.Action{Type: cresspass.Cancel, Query: 5, Attempt: 1},
			"retract dispatcher=3 op-id=5 trial=1"},
		{cresspass.Action{Type: cresspass.SetResources, Query: 5, Priority: 2, MemoryGrantMB: 64.5},
			"allot dispatcher=3 op-id=5 rank=2 workspace-mb=64.5"},
		{cresspass.Action{Type: cresspass.SendToPeer, Peer: -1, Data: []byte("hi")},
			"share dispatcher=3 recipient=-1 msg=6869"},
		{cresspass.Action{Type: cresspass.CheckHealth, Engine: "a:1"}, "touch dispatcher=3 node=a:1"},
		{cresspass.Action{Type: cresspass.CloseIdleConnections, Engine: "a:1"},
			"let_go dispatcher=3 node=a:1"},
		{cresspass.Action{Type: cresspass.FetchEngineList}, "list_all dispatcher=3"},
		{cresspass.Action{Type: cresspass.SubscribeEngineList, Enabled: true}, "follow dispatcher=3 want=1"},
		{cresspass.Action{Type: cresspass.Log, Text: "two\nlines"}, "emit dispatcher=3 words=two lines"},
	} {
		var out strings.Builder
		w := bufio.NewWriter(&out)
		WriteAction(w, 3, &c.a)
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		if out.String() != c.want+"\n" {
			t.Errorf("got %q, want %q", out.String(), c.want)
		}
	}
}

// No input makes the reader panic, and every error except the end of the input names its line.
func FuzzReader(f *testing.F) {
	f.Add(header + "alarm dispatcher=1 label=1\neob\n")
	f.Add(
		header +
			"roster sheet=15 elements=1\nentry state=on node=a:1\nsync dispatcher=1 scope=full sheet=15\neob\n",
	)
	f.Add("clock now-us=-1\nroster sheet=0 elements=9999999\neob\n")
	f.Add(header + "closed_attempt dispatcher=1 op-id=1 disposition=0 note=99999999999 health-info=,\neob\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		for {
			_, err := r.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				if !strings.HasPrefix(err.Error(), "line ") {
					t.Errorf("error %q names no line", err)
				}
				return
			}
		}
	})
}
