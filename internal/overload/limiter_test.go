package overload

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLimits checks that counts never exceed their limits and return to zero when everything is released, and
// that each rejection has a reason.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			OpenQueries:         rapid.IntRange(0, 5).Draw(t, "open"),
			ConnectionsPerUser:  rapid.IntRange(0, 3).Draw(t, "user"),
			FileDescriptors:     100,
			ReservedDescriptors: 10,
			BufferedBytes:       1000,
		}
		limiter := New(l)
		open, users := 0, map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			user := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				buffered := int64(rapid.SampledFrom([]int{0, 999, 1000}).Draw(t, "buffered"))
				limiter.SetBufferedBytes("a", buffered)
				reason, ok := limiter.AcquireQuery("a")
				want := (l.OpenQueries == 0 || open < l.OpenQueries) && buffered < 1000
				if ok != want || ok != (reason == "") {
					t.Fatalf("%d open, %d buffered, limits %+v: admitted: %v, reason %q",
						open, buffered, l, ok, reason)
				}
				if ok {
					open++
				}
			case 1:
				if open > 0 {
					open--
					limiter.ReleaseQuery("a")
				}
			case 2:
				files := rapid.SampledFrom([]int{5, 89, 90}).Draw(t, "files")
				reason, ok := limiter.AcquireUserConnection(user, files)
				want := (l.ConnectionsPerUser == 0 || users[user] < l.ConnectionsPerUser) && files < 90
				if ok != want || ok != (reason == "") {
					t.Fatalf("%d of user %s, %d files, limits %+v: admitted: %v, reason %q",
						users[user], user, files, l, ok, reason)
				}
				if ok {
					users[user]++
				}
			case 3:
				if users[user] > 0 {
					users[user]--
					limiter.ReleaseUserConnection(user)
				}
			}
		}
		for name, n := range users {
			for range n {
				limiter.ReleaseUserConnection(name)
			}
		}
		if limiter.OpenQueries() != open || len(limiter.userConnections) != 0 {
			t.Fatalf("%d open, want %d; users %v", limiter.OpenQueries(), open, limiter.userConnections)
		}
	})
}

// TestLag checks that the loop lags from the fourth late sample on, until at most one of the last sixteen
// samples is late, and that single late samples do not make it lag.
func TestLag(t *testing.T) {
	limiter := New(Limits{LoopLag: 50 * time.Millisecond})
	var changes strings.Builder
	for i := range 60 {
		longest := time.Millisecond
		// A single late sample, a series of them, and another single one.
		if i == 3 || i >= 10 && i < 16 || i == 40 {
			longest = 80 * time.Millisecond
		}
		if lagging, changed := limiter.ObserveLag(longest); changed {
			changes.WriteString(map[bool]string{true: "in ", false: "out "}[lagging])
		}
	}
	if changes.String() != "in out " {
		t.Errorf("the lag changed as %q, want it to begin and end once", changes.String())
	}
}
