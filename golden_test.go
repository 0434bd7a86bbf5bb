package cresspass

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// Snapshots are stored, and peer messages are sent between processes of different versions. So testdata holds
// bytes that an earlier version wrote. They must be read with the same values and written identically.

// trainedGateway returns a gateway that has learnt from a fixed sequence of outcomes.
func trainedGateway(t *testing.T) *Gateway {
	t.Helper()
	cfg := allRulesConfig()
	cfg.AcceptsMemoryGrants, cfg.KindMemoryMB, cfg.ReportsCost = true, []float64{8192, 16384}, true
	h := newHarness(
		t,
		cfg,
		standardEngine("e1"),
		standardEngine("e2"),
		EngineInfo{ID: "e3", Kind: "big", Zone: "b"},
	)
	random := rand.New(rand.NewPCG(11, 13))
	for id := range QueryID(400) {
		class := []string{"short", "load", "bound", "cell"}[random.IntN(4)]
		ev := Event{
			Type:              QueryArrived,
			Query:             id + 1,
			Class:             class,
			RemainingDeadline: h.g.classes[class].Deadline,
			HasCostEstimate:   random.IntN(3) > 0,
			CostEstimate:      time.Duration(50+random.IntN(400)) * ms,
			MemoryEstimateMB:  float64(100 + random.IntN(300)),
		}
		for _, a := range append([]Action(nil), h.advance(20*ms, ev)...) {
			if a.Type == Send {
				took := time.Duration(100+random.IntN(900)) * ms
				done := attemptDoneEvent(a, 0, OutcomeOK, took)
				done.ActualCost, done.ActualMemoryMB = took, float64(random.IntN(500))
				h.advance(20*ms, done)
			}
		}
	}
	return h.g
}

// TestGoldenSnapshot: a snapshot of an earlier version is read with its values, and the same outcomes yield
// the same bytes.
func TestGoldenSnapshot(t *testing.T) {
	trained := trainedGateway(t)
	goldentest.Compare(t, "snapshot.json", trained.Snapshot())
	data := goldentest.Read(t, "snapshot.json")
	g, err := New(allRulesConfig())
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Restore(data, 0); err != nil {
		t.Fatal(err)
	}
	checkNear := func(what string, got, want float64) {
		if math.Abs(got-want) > 1e-12*math.Max(1, math.Abs(want)) {
			t.Errorf("%s: %v restored, want %v", what, got, want)
		}
	}
	for i, c := range g.classList {
		was := trained.classList[i]
		checkNear(c.Name+" scale", c.baseScale, was.baseScale)
		checkNear(c.Name+" seen", c.outcomesSeen, was.outcomesSeen)
		checkNear(c.Name+" work", c.meanWork, was.meanWork)
		checkNear(c.Name+" grant", c.grantFactor, was.grantFactor)
	}
	for name, k := range g.kinds {
		for i, row := range k.weights {
			for j, v := range row {
				checkNear(fmt.Sprintf("kind %s weight %d,%d", name, i, j), v,
					trained.kinds[name].weights[i][j])
			}
		}
	}
	if trained.kinds["std"].weights[0][0] == 0 || trained.classList[0].baseScale == 1 {
		t.Error("the golden snapshot holds no learnt values")
	}
}

// goldenPeerMessages returns the four message types with entries at, between and beyond their limits.
func goldenPeerMessages() (all []struct {
	m       PeerMessageType
	entries []PeerLoad
}) {
	var many []PeerLoad
	for i := range 90 {
		many = append(
			many,
			PeerLoad{Tag: uint16(i * 727), Threads: float64(i * 3), Succeeded: i % 18, Failed: i % 5},
		)
	}
	few := []PeerLoad{{Tag: 0, Threads: 0}, {Tag: 0xffff, Threads: 254.9, Succeeded: 15, Failed: 15},
		{
			Tag:       EngineTag("10.0.0.1:7000"),
			Threads:   1e9,
			Succeeded: 99,
			Failed:    99,
		}, {Tag: 0x1234, Threads: -3, Succeeded: 1}}
	for _, m := range []PeerMessageType{1, 2, 3, 4} {
		for _, entries := range [][]PeerLoad{nil, few, many} {
			all = append(all, struct {
				m       PeerMessageType
				entries []PeerLoad
			}{m, entries})
		}
	}
	return all
}

// TestGoldenPeerMessages: messages of gateways of an earlier version are read and written byte for byte.
func TestGoldenPeerMessages(t *testing.T) {
	var current bytes.Buffer
	var want []string
	for _, c := range goldenPeerMessages() {
		for _, data := range encodePeerMessage(c.m, c.entries) {
			fmt.Fprintln(&current, hex.EncodeToString(data))
		}
		if len(c.entries) == 0 {
			want = append(want, fmt.Sprint(int(c.m)))
		}
		for _, e := range c.entries {
			succeeded, failed := min(e.Succeeded, 15), min(e.Failed, 15)
			if c.m != 1 {
				succeeded, failed = 0, 0
			}
			load := math.Floor(math.Min(math.Max(e.Threads, 0), 255))
			want = append(want, fmt.Sprint(int(c.m), " ", e.Tag, " ", load, " ", succeeded, " ", failed))
		}
	}
	goldentest.Compare(t, "peer_messages.txt", current.Bytes())
	data := goldentest.Read(t, "peer_messages.txt")
	var got []string
	for _, line := range bytes.Fields(data) {
		message, err := hex.DecodeString(string(line))
		if err != nil {
			t.Fatal(err)
		}
		m, entries := DecodePeerMessage(message)
		if len(entries) == 0 {
			got = append(got, fmt.Sprint(int(m)))
		}
		for _, e := range entries {
			got = append(got, fmt.Sprint(int(m), " ", e.Tag, " ", e.Threads, " ", e.Succeeded, " ", e.Failed))
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("messages decoded as\n%v\nwant\n%v", got, want)
	}
	if got := EngineTag("10.0.0.1:7000"); got != goldenTag {
		t.Errorf("tag of an engine is %#x, want %#x", got, goldenTag)
	}
}

// goldenTag is the tag of the engine 10.0.0.1:7000.
const goldenTag = 0x53fa
