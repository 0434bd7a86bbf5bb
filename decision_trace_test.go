package cresspass

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// The decision trace holds every action of scripted runs of gateways against simulated engines, bit for bit.
// A change that must not alter behaviour must not alter the trace.

// traceScenario is one scripted run.
type traceScenario struct {
	name             string
	cfg              Config
	instances        int // gateways that run; GatewayCount may be higher
	engines          []EngineInfo
	queriesPerSecond float64 // queries per second at each gateway
	seconds          int
	lostShare        float64 // share of answers that never arrive
	restore          bool    // the first gateway starts from the golden snapshot
}

func traceScenarios() []traceScenario {
	peers := allRulesConfig()
	peers.GatewayCount, peers.MayGossip, peers.MayCheckHealth = 6, true, true
	peers.AcceptsMemoryGrants, peers.AcceptsPriority, peers.KindMemoryMB = true, true, []float64{4096, 8192}
	peers.MaxGrantShare, peers.OnMemoryShortage = 0.25, ShortageQueues
	peers.ProgressInterval, peers.MaxSessionsPerEngine = 300*ms, 6
	peers.Tenants = []Tenant{{Name: "t1", QuotaPerSecond: 12, Share: 0.3}, {Name: "t2", QuotaPerSecond: 60}}
	five := []EngineInfo{
		standardEngine("e1"),
		standardEngine("e2"),
		standardEngine("e3"),
		{ID: "e4", Kind: "big", Zone: "b", Cell: 1},
		{ID: "e5", Kind: "big", Zone: "b", Cell: 1},
	}

	reporting := allRulesConfig()
	reporting.Seed, reporting.GatewayCount, reporting.MayCheckHealth, reporting.PollEngineList = 5, 40, true,
		true
	reporting.LoadReportFields = []string{"concurrent", "depth", "load_share", "x0"}
	reporting.OnMemoryShortage, reporting.KindMemoryMB = ShortagePages, []float64{8192, 16384}
	reporting.ReportsCost, reporting.AcceptsMemoryGrants, reporting.MaySendRetryAfter = true, true, false
	reporting.ProgressInterval, reporting.Rules.EngineListPollInterval = 0, 4*time.Second

	single := singleClassConfig()
	single.Seed, single.GatewayCount, single.ProgressInterval = 9, 1, 0
	single.OnMemoryShortage = ShortageShrinksGrant

	large := allRulesConfig()
	large.Seed, large.GatewayCount, large.MayGossip, large.ProgressInterval = 3, 200, true, 0
	large.Rules.HasRetryBudget = false
	var many []EngineInfo
	for i := range 24 {
		e := EngineInfo{ID: EngineID(fmt.Sprintf("n%02d", i)), Kind: "std", Zone: "a", Cell: i % 3}
		if i%4 == 0 {
			e.Kind, e.Zone = "big", "b"
		}
		if i < 3 {
			e.StartedAt = time.Hour - time.Second
		}
		many = append(many, e)
	}
	return []traceScenario{
		{name: "peers", cfg: peers, instances: 6, engines: five, queriesPerSecond: 11, seconds: 22},
		{
			name:             "reports",
			cfg:              reporting,
			instances:        2,
			engines:          five,
			queriesPerSecond: 14,
			seconds:          22,
			lostShare:        0.05,
		},
		{
			name:             "single",
			cfg:              single,
			instances:        1,
			engines:          []EngineInfo{standardEngine("e1"), standardEngine("e2"), standardEngine("e3")},
			queriesPerSecond: 40,
			seconds:          22,
			lostShare:        0.1,
		},
		{name: "large", cfg: large, instances: 4, engines: many, queriesPerSecond: 9, seconds: 22,
			restore: true},
	}
}

func playTrace(t *testing.T, s traceScenario, stored []byte, out *bytes.Buffer) {
	t.Helper()
	r := &traceRun{t: t, s: s, random: rand.New(rand.NewPCG(21, s.cfg.Seed)), now: time.Hour,
		queries: map[QueryID]*traceQuery{}, next: 1, rate: s.queriesPerSecond, out: out}
	fmt.Fprintf(out, "scenario %s\n", s.name)
	for _, info := range s.engines {
		r.engines = append(r.engines, &traceEngine{info: info, slowness: 1})
	}
	for i := range s.instances {
		cfg := s.cfg
		cfg.Ordinal = i
		g, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if s.restore && i == 0 {
			if err := g.Restore(stored, 5*time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		r.gateways = append(r.gateways, g)
		r.inbox = append(
			r.inbox,
			[]Event{{Type: EngineListReceived, ListType: ListCached, Engines: r.listedEngines()}},
		)
		r.timers = append(r.timers, nil)
	}
	for step := range s.seconds * int(time.Second/traceStep) {
		r.now = time.Hour + time.Duration(step)*traceStep
		r.script(step)
		r.step()
		if step%200 == 199 {
			for i, g := range r.gateways {
				fmt.Fprintf(out, "snapshot g%d %x\n", i, sha256.Sum256(g.Snapshot()))
			}
		}
	}
}

// write adds one action to the trace: its fields that are not zero. The first action of a Handle call is
// preceded by the time in ms and the gateway.
func (r *traceRun) write(i, j int, a *Action) {
	w := r.out
	if j == 0 {
		fmt.Fprintf(w, "%d g%d\n", (r.now - time.Hour).Milliseconds(), i)
	}
	fmt.Fprint(w, int(a.Type))
	field := func(name, value string) {
		if value != "" && value != "0" && value != "0x0p+00" && value != "false" {
			fmt.Fprint(w, " ", name, value)
		}
	}
	field("q", fmt.Sprint(uint64(a.Query)))
	field("n", fmt.Sprint(a.Attempt))
	field("e", string(a.Engine))
	field("w", fmt.Sprint(int64(a.Wait)))
	field("l", fmt.Sprint(a.Label))
	field("p", fmt.Sprint(a.Peer))
	field("d", fmt.Sprintf("%x", a.Data))
	field("r", fmt.Sprint(a.Priority))
	field("m", strconv.FormatFloat(a.MemoryGrantMB, 'x', -1, 64))
	field("t", a.Text)
	field("o", fmt.Sprint(a.Enabled))
	field("y", string(a.Reason))
	field("s", fmt.Sprint(int64(a.StartWithin)))
	fmt.Fprintln(w)
}

// TestGoldenDecisionTrace: the scripted runs yield the same actions, bit for bit, as when the golden trace
// was written.
func TestGoldenDecisionTrace(t *testing.T) {
	goldentest.Compare(t, "snapshot.json", trainedGateway(t).Snapshot())
	stored := goldentest.Read(t, "snapshot.json")
	var current bytes.Buffer
	for _, s := range traceScenarios() {
		playTrace(t, s, stored, &current)
	}
	var packed bytes.Buffer
	z, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if _, err := z.Write(current.Bytes()); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	// Traces are compared uncompressed, as another Go version may compress the same trace differently.
	const trace = "decision_trace.txt.gz"
	goldentest.Update(t, trace, packed.Bytes())
	unpack, err := gzip.NewReader(bytes.NewReader(goldentest.Read(t, trace)))
	if err != nil {
		t.Fatal(err)
	}
	want, err := io.ReadAll(unpack)
	if err != nil {
		t.Fatal(err)
	}
	checkTraceCoverage(t, string(want))
	if bytes.Equal(current.Bytes(), want) {
		return
	}
	gotLines, wantLines := strings.Split(current.String(), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d of the trace is\n%s\nwant\n%s", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("the trace has %d lines, want %d", len(gotLines), len(wantLines))
}

// checkTraceCoverage checks that each scenario has at least three of each action that it is meant to cover.
func checkTraceCoverage(t *testing.T, trace string) {
	t.Helper()
	counts := map[string]int{}
	scenario := ""
	for line := range strings.Lines(trace) {
		fields := strings.Fields(line)
		if fields[0] == "scenario" {
			scenario = fields[1]
		}
		counts[scenario+" "+fields[0]]++
	}
	for _, c := range []struct {
		scenario string
		types    []ActionType
	}{
		{"peers", []ActionType{Send, SetTimer, SendToPeer, Reject, Fail, CheckHealth, Cancel, SetResources}},
		{"reports", []ActionType{Send, SetTimer, Reject, Fail, CheckHealth, Cancel, SetResources,
			SubscribeEngineList}},
		{"single", []ActionType{Send, SetTimer, Reject, Cancel}},
		{"large", []ActionType{Send, SetTimer, SendToPeer, Reject, Fail, Cancel}},
	} {
		for _, a := range c.types {
			if n := counts[fmt.Sprint(c.scenario, " ", int(a))]; n < 3 {
				t.Errorf("scenario %s: action type %d occurs %d times, want 3 or more", c.scenario, int(a), n)
			}
		}
	}
}
