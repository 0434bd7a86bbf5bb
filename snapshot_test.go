package cresspass

import (
	"math"
	"testing"
	"time"
)

// TestSnapshotDecaysWithAge: a later gateway starts from the snapshot, which counts less the older it is. It
// loads nothing from an invalid snapshot.
func TestSnapshotDecaysWithAge(t *testing.T) {
	h := newHarness(t, allRulesConfig(), standardEngine("e1"))
	for id := range QueryID(200) {
		for _, a := range h.submit(id+1, "short", "") {
			h.advance(900*ms, attemptDoneEvent(a, 0, OutcomeOK, 900*ms))
		}
	}
	was := h.g.classes["short"].baseScale
	if was < 1.5 {
		t.Fatalf("scale %v: nothing was learnt, want at least 1.5", was)
	}
	data := h.g.Snapshot()
	last := math.Inf(1)
	for _, age := range []time.Duration{0, 10 * time.Minute, time.Hour, 24 * time.Hour} {
		g, err := New(allRulesConfig())
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Restore(data, age); err != nil {
			t.Fatal(err)
		}
		scale := g.classes["short"].baseScale
		if scale > last || age == 0 && math.Abs(scale-was) > 1e-9 ||
			age > 20*time.Hour && math.Abs(scale-1) > 1e-6 {
			t.Errorf("age %v: scale %v, learnt %v", age, scale, was)
		}
		last = scale
	}
	g, _ := New(allRulesConfig())
	for _, bad := range []string{"", "{", `{"version":9}`,
		`{"version":1,"classes":[{"name":"short","scale":-1,"work":1,"grant":1}]}`,
		`{"version":1,"classes":[{"name":"short","scale":1,"work":1,"grant":1}],"kinds":{"std":[[1]]}}`} {
		if g.Restore([]byte(bad), 0) == nil {
			t.Errorf("invalid snapshot %q was accepted", bad)
		}
	}
	other := allRulesConfig() // with other classes, bases are restored by name and weights not at all
	other.Classes = other.Classes[1:]
	other.ClassThreads, other.ClassIsBulkLoad = nil, nil
	if g, err := New(other); err != nil || g.Restore(data, 0) != nil || g.kinds["std"].weights[0][0] != 0 {
		t.Error("a snapshot of other classes was refused, or its weights were restored")
	}
}

func FuzzRestore(f *testing.F) {
	g, _ := New(allRulesConfig())
	f.Add(g.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		g, _ := New(allRulesConfig())
		if g.Restore(data, time.Minute) == nil {
			for _, c := range g.classList {
				if math.IsNaN(c.baseScale) || c.baseScale <= 0 || math.IsNaN(c.meanWork) {
					t.Fatalf("class %s: scale %v, work %v", c.Name, c.baseScale, c.meanWork)
				}
			}
		}
	})
}
