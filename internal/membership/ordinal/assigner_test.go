package ordinal

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{SettleTime: time.Second, LossGrace: 5 * time.Second, MinCount: 1}

// Whatever comes, goes, returns and splits: when the network has healed and been still, all have ordinals of
// their own below one count, those that never left keep theirs, and nothing changes any more.
func TestAssignersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "members")
		now := time.Duration(0)
		var all []*Assigner
		born := uint64(0)
		start := func(i int) *Assigner {
			born++
			return New(
				Member{Name: fmt.Sprint("d", i), Incarnation: born, Claim: rapid.IntRange(-1, 3).Draw(t,
					"claim")},
				limits,
				now,
			)
		}
		for i := range n {
			all = append(all, start(i))
		}
		side := make([]int, n)
		round := func() {
			now += 500 * time.Millisecond
			for i, a := range all {
				for k, o := range all {
					if i == k {
						continue
					}
					if side[i] == side[k] {
						a.MemberAlive(now, o.Self())
					} else {
						a.MemberLost(now, o.Self().Name, false)
					}
				}
			}
			for _, a := range all {
				a.Update(now)
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "rounds") {
			switch i := rapid.IntRange(0, n-1).Draw(t, "who"); rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				side[i] = 1 - side[i]
			case 1:
				all[i] = start(i) // a new life of the name, which claims what it likes
			}
			round()
		}
		clear(side)
		for range 40 {
			round()
		}
		seen := map[int]string{}
		for _, a := range all {
			v, changed := a.Update(now)
			if other := seen[v.Ordinal]; other != "" || v.Ordinal < 0 || v.Ordinal >= v.Count ||
				v.Count != n || changed {
				t.Fatalf("%s has %+v (changed %v), as has %q; %d members", a.self.Name, v, changed, other, n)
			}
			seen[v.Ordinal] = a.self.Name
		}
		before := all[0].view
		all[n-1] = start(n - 1) // returns with any claim
		for range 40 {
			round()
		}
		if n > 2 && all[0].view.Count != before.Count {
			t.Fatalf("a return changed %+v to %+v", before, all[0].view)
		}
	})
}

// A split: for the grace the others still count; a member that says that it leaves does not; a twin that was
// born later has the name.
func TestSplitLeaveDuplicateName(t *testing.T) {
	a := New(Member{Name: "a", Incarnation: 1, Claim: 0}, limits, 0)
	for i, name := range []string{"b", "c", "d"} {
		a.MemberAlive(0, Member{Name: name, Incarnation: 1, Claim: i + 1})
	}
	at := func(now time.Duration, want View, how string) {
		t.Helper()
		if v, _ := a.Update(now); v != want {
			t.Errorf("%s: %+v, want %+v", how, v, want)
		}
	}
	at(500*time.Millisecond, View{0, 1}, "the list is not still")
	at(time.Second, View{0, 4}, "still")
	a.MemberLost(2*time.Second, "c", false)
	a.MemberLost(2*time.Second, "d", false)
	at(6*time.Second, View{0, 4}, "within the grace of a loss")
	a.MemberAlive(6500*time.Millisecond, Member{Name: "c", Incarnation: 1, Claim: 2})
	at(7*time.Second, View{0, 4}, "the grace of the other is over, the list not still")
	at(8*time.Second, View{0, 3}, "one is gone")
	a.MemberLost(8*time.Second, "b", true)
	at(9*time.Second, View{0, 2}, "one left")
	a.MemberAlive(9*time.Second, Member{Name: "c", Incarnation: 0, Claim: 0})
	at(10*time.Second, View{0, 2}, "the word of an earlier life")
	if a.SupersededBy(Member{Name: "a", Incarnation: 1}) ||
		!a.SupersededBy(Member{Name: "a", Incarnation: 2}) ||
		a.SupersededBy(Member{Name: "b",
			Incarnation: 9}) {
		t.Error("who has the name")
	}
}
