package enginemodel

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// The number of jobs that finish and the work that is done do not depend on the steps in which time advances.
// The work never exceeds what the cores can do.
func TestResultIndependentOfStepSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := Kind{Cores: 4, MemoryMB: 100, SpillCost: 2, CachedDataSets: 2, CacheSaving: 0.3}
		a, b := New(kind, 0, false), New(kind, 0, false)
		endA, endB := map[int]time.Duration{}, map[int]time.Duration{}
		ids := map[*Running]int{}
		at := time.Duration(0)
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * ms
			j := Job{
				Work:     float64(rapid.IntRange(1, 900).Draw(t, "work")) / 1000,
				Threads:  float64(rapid.IntRange(1, 3).Draw(t, "threads")),
				Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
				NeedMB:   float64(rapid.IntRange(0, 60).Draw(t, "need")),
				DataSet:  rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(t, "set"),
				IsLoad:   rapid.Bool().Draw(t, "loads"),
			}
			for _, r := range a.Advance(at) {
				endA[ids[r]] = at
			}
			for { // b goes from one expected end to the next
				next, ok := b.NextEvent()
				if !ok || next > at {
					break
				}
				for _, r := range b.Advance(next) {
					endB[ids[r]] = next
				}
			}
			ids[a.Start(at, j)], ids[b.Start(at, j)] = i, i
		}
		for _, r := range a.Advance(at + time.Hour) {
			endA[ids[r]] = 0
		}
		for {
			next, ok := b.NextEvent()
			if !ok {
				break
			}
			for _, r := range b.Advance(next) {
				endB[ids[r]] = next
			}
		}
		if len(endA) != len(endB) || len(a.Jobs()) != 0 || math.Abs(a.WorkDone()-b.WorkDone()) > 1e-6 {
			t.Fatalf("%d jobs finished with work %v, in small steps %d with %v", len(endA), a.WorkDone(),
				len(endB), b.WorkDone())
		}
		last := time.Duration(0)
		for _, v := range endB {
			last = max(last, v)
		}
		if b.WorkDone() > kind.Cores*last.Seconds()+1e-6 {
			t.Fatalf("work %v done by %v exceeds the capacity of %v cores", b.WorkDone(), last, kind.Cores)
		}
	})
}

func TestCoresAreShared(t *testing.T) {
	m := New(Kind{Cores: 2}, 0, false)
	m.Start(0, Job{Work: 1, Threads: 1, Priority: 1})
	if next, _ := m.NextEvent(); next != time.Second {
		t.Errorf("one thread alone: %v, want 1s", next)
	}
	m.Start(0, Job{Work: 1, Threads: 1, Priority: 1})
	m.Start(0, Job{Work: 1, Threads: 1, Priority: 1})
	if next, _ := m.NextEvent(); next != 1500*ms {
		t.Errorf("three on two cores: %v, want 1.5s", next)
	}
	m.SetHalted(0, true)
	if _, ok := m.NextEvent(); ok {
		t.Error("a halted engine expects a job to finish")
	}
}

func TestLoadBlocksReadersOfItsTables(t *testing.T) {
	m := New(Kind{Cores: 8}, 0, false)
	load := m.Start(0, Job{Work: 1, Threads: 1, DataSet: "x", IsLoad: true})
	read := m.Start(0, Job{Work: 0.1, Threads: 1, DataSet: "x"})
	other := m.Start(0, Job{Work: 0.1, Threads: 1, DataSet: "y"})
	if load.IsBlocked() || !read.IsBlocked() || other.IsBlocked() {
		t.Fatal("want only the reader of the loaded data set to be blocked")
	}
	if got := m.Advance(1100 * ms); len(got) != 3 || got[0] != other || got[1] != load || got[2] != read {
		t.Errorf("finished jobs %v, want the other reader, the load and the blocked reader", got)
	}
}

func TestOverloadedColdEngineCollapses(t *testing.T) {
	kind := Kind{
		Cores:                   2,
		SlowStartFrom:           0.5,
		SlowStartDuration:       10 * time.Second,
		SlowStartOverloadFactor: 2,
		SlowStartWindow:         time.Second,
	}
	m := New(kind, 0, true)
	if r := m.Start(0, Job{Work: 1.9, Threads: 1}); r == nil || m.Collapsed() {
		t.Fatal("collapsed within its budget of 2")
	}
	if r := m.Start(900*ms, Job{Work: 0.5, Threads: 1}); r != nil || !m.Collapsed() {
		t.Fatal("accepted work of 2.4 in a window with a budget of 2")
	}
	if m = New(kind, 0, false); m.Start(0, Job{Work: 50, Threads: 1}) == nil {
		t.Fatal("a warm engine collapsed")
	}
}

// A job that finishes during another call than Advance is returned by the next Advance.
func TestJobFinishedBetweenAdvancesIsReported(t *testing.T) {
	m := New(Kind{Cores: 4}, 0, false)
	r := m.Start(0, Job{Work: 0.01, Threads: 1})
	m.Start(20*ms, Job{Work: 1, Threads: 1})
	if next, ok := m.NextEvent(); !ok || next > 20*ms {
		t.Errorf("finished job not returned yet: next event at %v, %v, want at most 20ms", next, ok)
	}
	if finished := m.Advance(21 * ms); len(finished) != 1 || finished[0] != r {
		t.Errorf("%d finished jobs returned, want the first job alone", len(finished))
	}
}
