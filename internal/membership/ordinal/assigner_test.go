package ordinal

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{SettleTime: time.Second, LossGrace: 5 * time.Second, MinCount: 1}

// testFleet is a number of assigners on a network that may be split in two sides, 0 and 1.
type testFleet struct {
	now         time.Duration
	assigners   []*Assigner
	side        []int // of the network that each assigner is on
	incarnation uint64
}

// start starts member i, or restarts it, with a claim.
func (f *testFleet) start(i, claim int) {
	f.incarnation++
	self := Member{Name: fmt.Sprint("d", i), Incarnation: f.incarnation, Claim: claim}
	f.assigners[i] = New(self, testLimits, f.now)
}

// round advances time by 500 ms and shows each member those on its side as alive and the others as lost.
func (f *testFleet) round() {
	f.now += 500 * time.Millisecond
	for i, a := range f.assigners {
		for k, other := range f.assigners {
			switch {
			case i == k:
			case f.side[i] == f.side[k]:
				a.MemberAlive(f.now, other.Self())
			default:
				a.MemberLost(f.now, other.Self().Name, false)
			}
		}
	}
	for _, a := range f.assigners {
		a.Update(f.now)
	}
}

// After any sequence of restarts and network splits, once the network has healed and settled, all members
// have distinct ordinals below one count, and nothing changes any more. A restart of one member then leaves
// the count as it is.
func TestAssignersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "members")
		f := &testFleet{assigners: make([]*Assigner, n), side: make([]int, n)}
		claim := func() int { return rapid.IntRange(-1, 3).Draw(t, "claim") }
		for i := range n {
			f.start(i, claim())
		}
		for range rapid.IntRange(0, 40).Draw(t, "rounds") {
			switch i := rapid.IntRange(0, n-1).Draw(t, "who"); rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				f.side[i] = 1 - f.side[i]
			case 1:
				f.start(i, claim()) // a new incarnation of the name, with any claim
			}
			f.round()
		}
		clear(f.side)
		for range 40 {
			f.round()
		}
		seen := map[int]string{}
		for _, a := range f.assigners {
			v, changed := a.Update(f.now)
			if other := seen[v.Ordinal]; other != "" || v.Ordinal < 0 || v.Ordinal >= v.Count ||
				v.Count != n || changed {
				t.Fatalf("%s has %+v (changed %v), as has %q; %d members", a.self.Name, v, changed, other, n)
			}
			seen[v.Ordinal] = a.self.Name
		}
		before := f.assigners[0].view
		f.start(n-1, claim()) // the member returns with any claim
		for range 40 {
			f.round()
		}
		if after := f.assigners[0].view; n > 2 && after.Count != before.Count {
			t.Fatalf("a return changed %+v to %+v", before, after)
		}
	})
}

// Members lost in a split count until their grace is over. A member that announced its leave does not count
// any more, as these tests have no LeaveGrace. A later process with our name supersedes us.
func TestSplitLeaveDuplicateName(t *testing.T) {
	a := New(Member{Name: "a", Incarnation: 1, Claim: 0}, testLimits, 0)
	for i, name := range []string{"b", "c", "d"} {
		a.MemberAlive(0, Member{Name: name, Incarnation: 1, Claim: i + 1})
	}
	expect := func(now time.Duration, want View, when string) {
		t.Helper()
		if v, _ := a.Update(now); v != want {
			t.Errorf("%s: %+v, want %+v", when, v, want)
		}
	}
	expect(500*time.Millisecond, View{0, 1}, "the members have not settled")
	expect(time.Second, View{0, 4}, "settled")
	a.MemberLost(2*time.Second, "c", false)
	a.MemberLost(2*time.Second, "d", false)
	expect(6*time.Second, View{0, 4}, "within the grace of a loss")
	a.MemberAlive(6500*time.Millisecond, Member{Name: "c", Incarnation: 1, Claim: 2})
	expect(7*time.Second, View{0, 4}, "the grace of the other is over, the members have not settled")
	expect(8*time.Second, View{0, 3}, "one is gone")
	a.MemberLost(8*time.Second, "b", true)
	expect(9*time.Second, View{0, 2}, "one left")
	a.MemberAlive(9*time.Second, Member{Name: "c", Incarnation: 0, Claim: 0})
	expect(10*time.Second, View{0, 2}, "metadata of an earlier incarnation")
	if a.SupersededBy(Member{Name: "a", Incarnation: 1}) ||
		!a.SupersededBy(Member{Name: "a", Incarnation: 2}) ||
		a.SupersededBy(Member{Name: "b", Incarnation: 9}) {
		t.Error("not exactly the later process with our name supersedes us")
	}
}
