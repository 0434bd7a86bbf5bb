package clocksync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testFleet is a number of members whose own clocks begin at different times. The first are liars.
type testFleet struct {
	now     time.Duration
	random  *rand.Rand
	clocks  []*Clock
	started []time.Duration
	liars   int
	claim   time.Duration // what all liars say; 0: each something else each time
}

// newTestFleet returns members that started at times drawn from a seed; of ten or more a fifth are liars.
func newTestFleet(members int, seed uint64) *testFleet {
	f := &testFleet{now: 100 * time.Hour, random: rand.New(rand.NewPCG(seed, 1))}
	if members >= 10 {
		f.liars = members / 5
	}
	for range members {
		f.clocks = append(f.clocks, New())
		f.started = append(f.started, time.Duration(f.random.Int64N(int64(100*time.Hour))))
	}
	return f
}

// fleetClock is the fleet's clock as member i has it.
func (f *testFleet) fleetClock(i int) time.Duration { return f.clocks[i].At(f.now - f.started[i]) }

// round has each member hear up to four others by chance, late by up to 100 ms.
func (f *testFleet) round() {
	f.now += time.Second
	for i, c := range f.clocks {
		for range 4 {
			k := f.random.IntN(len(f.clocks))
			clock := f.fleetClock(k) - time.Duration(f.random.Int64N(int64(100*time.Millisecond)))
			switch {
			case k < f.liars && f.claim > 0:
				clock = f.claim
			case k < f.liars:
				clock = time.Duration(f.random.Int64N(int64(1000 * time.Hour)))
			}
			if k != i {
				c.AddSample(f.now-f.started[i], fmt.Sprint(k), clock)
			}
		}
	}
	for i, c := range f.clocks {
		c.Sync(f.now - f.started[i])
	}
}

// spread is the greatest difference between the honest members' clocks.
func (f *testFleet) spread() time.Duration {
	least, most := f.fleetClock(f.liars), f.fleetClock(f.liars)
	for i := f.liars; i < len(f.clocks); i++ {
		least, most = min(least, f.fleetClock(i)), max(most, f.fleetClock(i))
	}
	return most - least
}

// However far apart the clocks of up to 60 members begin, with one in five that says what it likes each
// time and samples late by up to 100 ms: within 40 rounds in which each hears a few by chance, the honest
// ones differ by less than an aggregator's turn can bear, and one that returns changes nothing for the
// others.
func TestClocksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "members")
		f := newTestFleet(n, rapid.Uint64().Draw(t, "seed"))
		for range 40 {
			f.round()
		}
		if spread := f.spread(); spread > 600*time.Millisecond {
			t.Fatalf("%d members, %d of them liars: clocks lie %v apart", n, f.liars, spread)
		}
		before := f.fleetClock(n-1) - f.now
		if n > 12 {
			f.clocks[n-2], f.started[n-2] = New(), f.now // one returns
			for range 40 {
				f.round()
			}
			if moved := f.fleetClock(n-1) - f.now - before; moved > time.Second || moved < -time.Second ||
				f.spread() > 600*time.Millisecond {
				t.Fatalf("one that returned moved the fleet's clock by %v, spread %v", moved, f.spread())
			}
		}
	})
}

// Guards against slow agreement: with this seed the fleet's members took 49 rounds, since they moved to what
// single liars said.
func TestClocksConvergeDespiteLoneLiars(t *testing.T) {
	f := newTestFleet(60, 0xc3)
	for range 40 {
		f.round()
	}
	if spread := f.spread(); spread > 600*time.Millisecond {
		t.Errorf("clocks lie %v apart", spread)
	}
}

// Guards against following the largest group alone: a fifth that states one clock from the start is one.
func TestAgreeingLiarsSetNoClock(t *testing.T) {
	for seed := range uint64(10) {
		f := newTestFleet(60, seed)
		f.claim = 900 * time.Hour // honest members began at 100 h or less
		for range 40 {
			f.round()
		}
		if clock := f.fleetClock(f.liars); clock > 200*time.Hour {
			t.Errorf("seed %d: the fleet follows its liars to %v", seed, clock)
		}
	}
}

// Two halves of a healed split, each with its own clock, come to agree: the later clock counts, also in a
// fleet of two.
func TestHealedSplit(t *testing.T) {
	for _, n := range []int{2, 10} {
		f := &testFleet{now: 100 * time.Hour, random: rand.New(rand.NewPCG(1, 1))}
		for i := range n {
			f.clocks = append(f.clocks, New())
			f.started = append(f.started, time.Duration(i%2)*time.Hour)
		}
		for range 40 {
			f.round()
		}
		if spread := f.spread(); spread > 600*time.Millisecond {
			t.Errorf("%d members: clocks lie %v apart", n, spread)
		}
	}
}
