package clocksync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testFleet is a number of members whose own clocks begin at different times. The first ones are Byzantine.
type testFleet struct {
	now        time.Duration
	random     *rand.Rand
	clocks     []*Clock
	started    []time.Duration
	byzantine  int
	falseClock time.Duration // the clock that all Byzantine members send; 0: a random one each time
}

// newTestFleet returns members that started at times drawn from a seed. Of ten or more members a fifth are
// Byzantine.
func newTestFleet(members int, seed uint64) *testFleet {
	f := &testFleet{now: 100 * time.Hour, random: rand.New(rand.NewPCG(seed, 1))}
	if members >= 10 {
		f.byzantine = members / 5
	}
	for range members {
		f.clocks = append(f.clocks, New())
		f.started = append(f.started, time.Duration(f.random.Int64N(int64(100*time.Hour))))
	}
	return f
}

// fleetClock is the fleet's clock as member i has it.
func (f *testFleet) fleetClock(i int) time.Duration { return f.clocks[i].At(f.now - f.started[i]) }

// round lets each member receive the clocks of up to four random others, late by up to 100 ms.
func (f *testFleet) round() {
	f.now += time.Second
	for i, c := range f.clocks {
		for range 4 {
			k := f.random.IntN(len(f.clocks))
			clock := f.fleetClock(k) - time.Duration(f.random.Int64N(int64(100*time.Millisecond)))
			switch {
			case k < f.byzantine && f.falseClock > 0:
				clock = f.falseClock
			case k < f.byzantine:
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
	least, most := f.fleetClock(f.byzantine), f.fleetClock(f.byzantine)
	for i := f.byzantine; i < len(f.clocks); i++ {
		least, most = min(least, f.fleetClock(i)), max(most, f.fleetClock(i))
	}
	return most - least
}

// Up to 60 members begin with any clocks, one in five sends random clocks, and samples are late by up to
// 100 ms. Within 40 rounds, in each of which a member receives a few random samples, the honest members'
// clocks differ by less than an aggregator's turn tolerates. A member that restarts does not move the clock
// of the others.
func TestClocksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "members")
		f := newTestFleet(n, rapid.Uint64().Draw(t, "seed"))
		for range 40 {
			f.round()
		}
		if spread := f.spread(); spread > 600*time.Millisecond {
			t.Fatalf("%d members, %d of them Byzantine: clocks are %v apart", n, f.byzantine, spread)
		}
		before := f.fleetClock(n-1) - f.now
		if n > 12 {
			f.clocks[n-2], f.started[n-2] = New(), f.now // one member restarts
			for range 40 {
				f.round()
			}
			if moved := f.fleetClock(n-1) - f.now - before; moved > time.Second || moved < -time.Second ||
				f.spread() > 600*time.Millisecond {
				t.Fatalf("one that restarted moved the fleet's clock by %v, spread %v", moved, f.spread())
			}
		}
	})
}

// Guards against slow agreement: with this seed the members took 49 rounds, because they moved to the clocks
// of single Byzantine members.
func TestClocksConvergeDespiteLoneLiars(t *testing.T) {
	f := newTestFleet(60, 0xc3)
	for range 40 {
		f.round()
	}
	if spread := f.spread(); spread > 600*time.Millisecond {
		t.Errorf("clocks are %v apart", spread)
	}
}

// Guards against following the largest group that agrees, wherever it is: a fifth of the members that send
// one false clock from the start would be that group.
func TestAgreeingLiarsSetNoClock(t *testing.T) {
	for seed := range uint64(10) {
		f := newTestFleet(60, seed)
		f.falseClock = 900 * time.Hour // honest members began at 100 h or less
		for range 40 {
			f.round()
		}
		if clock := f.fleetClock(f.byzantine); clock > 200*time.Hour {
			t.Errorf("seed %d: the fleet follows its Byzantine members to %v", seed, clock)
		}
	}
}

// Two halves of a healed split, each with its own clock, come to agree, because the later clock counts. So do
// the members of a fleet of two.
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
			t.Errorf("%d members: clocks are %v apart", n, spread)
		}
	}
}
