package starttime

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

// TestNeverOlder checks that no node is converted to be older than it is, whether the wall clock was right,
// behind or far ahead when it was read, and in any order of reports. Once a node was reported without delay,
// and always if the clock was right, nodes that are reported for the first time get their true age.
func TestNeverOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		clockError := time.Duration(rapid.SampledFrom([]int64{0, rapid.Int64Range(-4e12, 0).Draw(t, "behind"),
			rapid.Int64Range(int64(maxRecentAge)+1, 4e12).
				Draw(t, "ahead"),
		}).Draw(t, "error of the wall clock"))
		c := New(RecentStarts, truth.Add(clockError), time.Hour)
		exact := clockError == 0
		for i := range 20 {
			now := time.Hour + time.Duration(i)*time.Second
			delay := time.Duration(rapid.Int64Range(0, 3).Draw(t, "delay")) * 5 * time.Second
			id := cresspass.EngineID(fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "node")))
			started := truth.Add(now - time.Hour - delay)
			_, known := c.starts[id]
			got := c.Convert(now, id, started)
			want := now - delay
			exact = exact || delay == 0
			if got < want || got > now {
				t.Fatalf("a node that started %v ago has the age %v", delay, now-got)
			}
			if exact && !known && got != want {
				t.Fatalf("after a report without delay, a node that started %v ago has the age %v", delay,
					now-got)
			}
			if again := c.Convert(now+time.Minute, id, started); again != got {
				t.Fatalf("converted to %v, then to %v when reported again", got, again)
			}
		}
	})
}

// TestFreshObservations checks that with a wall clock that is seconds or minutes ahead, no node is converted
// to be older than it is if its report was received within a second of its start, and that a node that is
// young by this clock shows that the clock is right.
func TestFreshObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		ahead := time.Duration(rapid.Int64Range(int64(maxFreshAge)+1, int64(maxRecentAge)).Draw(t, "ahead"))
		c := New(RecentStarts, truth.Add(ahead), time.Hour)
		for i := range 10 {
			now := time.Hour + time.Duration(i)*time.Second
			delay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
			id, started := cresspass.EngineID(fmt.Sprint(i)), truth.Add(now-time.Hour-delay)
			c.ObserveFresh(now, id, started)
			if got := c.Convert(now, id, started); got < now-delay || got > now {
				t.Fatalf("a node that started %v ago has the age %v", delay, now-got)
			}
		}
	})
	c := New(RecentStarts, time.Unix(1000, 0), time.Hour)
	c.ObserveFresh(time.Hour, "late report", time.Unix(995, 0))
	c.Observe(time.Hour, "young", time.Unix(1000, 0))
	if got := c.Convert(time.Hour, "old", time.Unix(990, 0)); got != time.Hour-10*time.Second {
		t.Errorf("by a clock that is right, a node that started 10 s ago has the age %v", time.Hour-got)
	}
}
