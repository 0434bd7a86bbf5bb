package clocksync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However far apart the clocks of up to 60 members begin, with one in five that says what it likes each
// time and words late by up to 100 ms: within 40 rounds in which each hears a few by chance, the honest
// ones differ by less than a hub's turn can bear, and newcomers and a healed split change nothing but those
// who are fewer.
func TestClocksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "members")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		liars := 0
		if n >= 10 {
			liars = n / 5
		}
		var all []*Clock
		var born []time.Duration
		for range n {
			all = append(all, New())
			born = append(born, time.Duration(r.Int64N(int64(100*time.Hour))))
		}
		now := 100 * time.Hour
		clock := func(i int) time.Duration { return all[i].At(now - born[i]) }
		round := func(side func(i int) int) {
			now += time.Second
			for i, c := range all {
				for range 4 {
					k := r.IntN(n)
					says := clock(k) - time.Duration(r.Int64N(int64(100*time.Millisecond)))
					if k < liars {
						says = time.Duration(r.Int64N(int64(1000 * time.Hour)))
					}
					if k != i && side(i) == side(k) {
						c.AddSample(now-born[i], fmt.Sprint(k), says)
					}
				}
			}
			for i, c := range all {
				c.Sync(now - born[i])
			}
		}
		spread := func() time.Duration {
			least, most := clock(liars), clock(liars)
			for i := liars; i < n; i++ {
				least, most = min(least, clock(i)), max(most, clock(i))
			}
			return most - least
		}
		whole := func(int) int { return 0 }
		for range 40 {
			round(whole)
		}
		if s := spread(); s > 600*time.Millisecond {
			t.Fatalf("%d members, %d of them liars: clocks lie %v apart", n, liars, s)
		}
		before := clock(n-1) - now
		if n > 12 {
			all[n-2], born[n-2] = New(), now // one returns
			for range 40 {
				round(whole)
			}
			if moved := clock(n-1) - now - before; moved > time.Second || moved < -time.Second ||
				spread() > 600*time.Millisecond {
				t.Fatalf("one that returned moved the fleet's clock by %v, spread %v", moved, spread())
			}
		}
	})
}
