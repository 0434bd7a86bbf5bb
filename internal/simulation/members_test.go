package simulation

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
)

const s = time.Second

// newTestMembers starts n members 10 ms apart, with the ordinals that they claim. Their clocks differ by the
// times between their starts.
func newTestMembers(seed uint64, n int, conditions NetworkConditions, claim func(i int) int) *Members {
	q := &Queue{}
	f := NewMembers(q, seed, n, conditions, DefaultDetection(), GossipConfig(1, 2), func(t *gossip.Node) {
		t.SetEngines(map[cresspass.EngineID]float64{"e0": 8, "e1": 8})
	})
	for i := range n {
		q.At(time.Duration(i)*10*time.Millisecond, func() { f.Start(i, claim(i), 0) })
	}
	q.Run(time.Duration(n) * 10 * time.Millisecond)
	return f
}

// waitUntil advances the simulation until ok returns true, and fails the test after limit.
func (f *Members) waitUntil(t interface {
	Fatalf(string, ...any)
	Helper()
}, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for begin := f.Queue.Now(); !ok(); f.Queue.Run(f.Queue.Now() + 200*time.Millisecond) {
		if f.Queue.Now()-begin > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func (f *Members) ordinalOf(i int) int { return f.All[i].Node.Stats().Ordinal }

// Events are executed in time order, and simultaneous ones in the order in which they were scheduled, also
// when events schedule further events.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{}
		var last time.Duration
		lastSeq, seq, pending := 0, 0, 0
		var schedule func()
		schedule = func() {
			at := q.Now() + time.Duration(rapid.IntRange(-2, 6).Draw(t, "in"))
			seq++
			eventSeq := seq
			pending++
			q.At(at, func() {
				pending--
				if q.Now() < last || q.Now() == last && eventSeq < lastSeq || q.Now() < at {
					t.Fatalf("event %d executed at %v after event %d at %v", eventSeq, q.Now(), lastSeq, last)
				}
				if last, lastSeq = q.Now(), eventSeq; seq < 300 && rapid.Bool().Draw(t, "more") {
					schedule()
				}
			})
		}
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			schedule()
		}
		if q.Run(1 << 30); pending != 0 || q.Len() != 0 || q.Now() != 1<<30 {
			t.Fatalf("%d events not executed, clock at %v", pending, q.Now())
		}
	})
}

// The order in which simultaneous events of different owners are executed does not depend on the order in
// which they were scheduled.
func TestSimultaneousEventsHaveOneOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "events")
		execute := func(order []int) (done []int) {
			q := &Queue{}
			for _, i := range order {
				q.AtFor(uint64(i), time.Duration(i%3), func() { done = append(done, i) })
			}
			q.Run(s)
			return done
		}
		var order []int
		for i := range n {
			order = append(order, i)
		}
		want := execute(order)
		if got := execute(rapid.Permutation(order).Draw(t, "order")); !reflect.DeepEqual(got, want) {
			t.Fatalf("executed in order %v, want %v", got, want)
		}
	})
}

// Each kind of network fault has its defined effect on membership.
func TestMembership(t *testing.T) {
	agreed := func(f *Members) func() bool { return func() bool { return f.Agreed(1, s) } }
	for name, w := range map[string]NetworkConditions{"calm": CalmNetwork(), "storm": StormyNetwork()} {
		t.Run(name, func(t *testing.T) {
			f := newTestMembers(1, 9, w, func(i int) int { return i / 2 }) // each is claimed by two
			f.waitUntil(t, "two members claim each ordinal", 30*s, agreed(f))

			before := f.ordinalOf(3)
			f.Stop(3, false)
			f.Queue.Run(f.Queue.Now() + s)
			f.Start(3, before, 0)
			others := f.ordinalOf(4)
			f.waitUntil(t, "a member returns with its old ordinal", 30*s, agreed(f))
			if f.ordinalOf(3) != before || f.ordinalOf(4) != others {
				t.Errorf("ordinal %d came back as %d", before, f.ordinalOf(3))
			}

			f.Stop(5, false)
			f.Queue.Run(f.Queue.Now() + 5*s)
			if n := f.All[0].Node.Stats().Members; n != 9 {
				t.Errorf("one lost for 5 s, within the loss grace: %d members, want 9", n)
			}
			f.waitUntil(t, "a member is lost for longer than the grace", 60*s, agreed(f))
			f.Start(5, -1, 0)
			f.waitUntil(t, "the lost member returns without a claim", 30*s, agreed(f))

			f.Split(func(i int) int { return i % 2 })
			f.Queue.Run(f.Queue.Now() + 20*s)
			if n := f.All[0].Node.Stats().Members; n != 9 {
				t.Errorf("after a partition of 20 s: %d members, want 9: each would take the other's share",
					n)
			}
			f.Queue.Run(f.Queue.Now() + 40*s)
			if a, b := f.All[0].Node.Stats().Members, f.All[1].Node.Stats().Members; a != 5 || b != 4 {
				t.Errorf("after a partition of a minute: %d and %d members, want 5 and 4", a, b)
			}
			f.Split(nil)
			f.waitUntil(t, "a partition heals", 40*s, agreed(f))

			f.Net.SetLinks(func(from, to int) bool { return from != 2 || to != 6 })
			f.Queue.Run(f.Queue.Now() + 40*s)
			if !f.Agreed(1, s) {
				t.Error("no agreement with one link cut in one direction")
			}
			f.Net.SetLinks(nil)
			f.SetLag(1, 2*s)
			f.Queue.Run(f.Queue.Now() + 40*s)
			if n := f.All[0].Node.Stats().Members; n != 9 {
				t.Errorf("one member alive but slow: %d members, want 9", n)
			}
			// The slow member's clock is behind by its delay. No other member follows it, and its
			// observations of engines are weighted by their age.
			f.SetLag(1, 0)
			f.waitUntil(t, "the slow member is no longer slow", 60*s, agreed(f))
		})
	}
}

// After random faults in a fleet of up to 40 members on a random network, and once the loss grace has passed,
// all members agree, and what one member then observes becomes known to all.
func TestMembersAgreeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		w := NetworkConditions{Loss: rapid.Float64Range(0, 0.3).Draw(t, "loss"), Duplication: 0.1,
			MinDelay: time.Millisecond,
			Spread:   100 * time.Millisecond, LateShare: 0.05, LateDelay: 3 * s}
		f := newTestMembers(rapid.Uint64().Draw(t, "seed"), n, w, func(int) int {
			return rapid.IntRange(-1, 5).Draw(t, "claim")
		})
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			i := rapid.IntRange(0, n-1).Draw(t, "member")
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				f.Stop(i, rapid.Bool().Draw(t, "leaves"))
			case 1:
				if !f.All[i].Up {
					f.Start(i, rapid.IntRange(-1, n).Draw(t, "claim"), 0)
				}
			case 2:
				f.Split(func(k int) int { return (k + i) % 3 })
			case 3:
				f.Split(nil)
			case 4:
				f.Net.SetLinks(func(from, to int) bool { return from != i })
			case 5:
				f.SetLag(i, time.Duration(rapid.IntRange(0, 3).Draw(t, "lag, s"))*s)
			}
			pause := time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond
			f.Queue.Run(f.Queue.Now() + pause)
		}
		f.Split(nil)
		for i, m := range f.All {
			f.SetLag(i, 0)
			if !m.Up {
				f.Start(i, -1, 0)
			}
		}
		f.waitUntil(t, "all members agree", 90*s, func() bool { return f.Agreed(1, s) })
		k := observation.Key{Engine: "e1", Property: observation.Uptime}
		f.All[0].Node.Store().Observe(f.All[0].now(f.Queue), k, 9)
		f.waitUntil(t, "observation known to all", 120*s, func() bool { return f.Propagated(k, 9) == 1 })
	})
}

// A hundred members that start together agree, and what one observes becomes known to all, each within a
// minute of simulated time.
func TestLargeFleetConverges(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical test: the race detector sees the same concurrent code in other tests")
	}
	c := Converge(1, 100, 30, CalmNetwork())
	if c.Agreed < 0 || c.Propagated < 0 || c.Reconverged < 0 || c.Agreed > time.Minute ||
		c.Propagated > time.Minute {
		t.Errorf("%+v", c)
	}
}
