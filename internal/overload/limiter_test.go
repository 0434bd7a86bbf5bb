package overload

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Counts never pass their limits, go back to nothing when all is given back, and a refusal names the limit it
// met.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			OpenQueries:         rapid.IntRange(0, 5).Draw(t, "open"),
			ConnectionsPerUser:  rapid.IntRange(0, 3).Draw(t, "user"),
			FileDescriptors:     100,
			ReservedDescriptors: 10,
			BufferedBytes:       1000,
		}
		g := New(l)
		open, users := 0, map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			user := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				held := int64(rapid.SampledFrom([]int{0, 999, 1000}).Draw(t, "held"))
				g.SetBufferedBytes("a", held)
				why, ok := g.AcquireQuery("a")
				if want := (l.OpenQueries == 0 || open < l.OpenQueries) && held < 1000; ok != want ||
					ok != (why == "") {
					t.Fatalf("%d open, %d held, limits %+v: %v %q", open, held, l, ok, why)
				}
				if ok {
					open++
				}
			case 1:
				if open > 0 {
					open--
					g.ReleaseQuery("a")
				}
			case 2:
				files := rapid.SampledFrom([]int{5, 89, 90}).Draw(t, "files")
				why, ok := g.AcquireUserConnection(user, files)
				if want := (l.ConnectionsPerUser == 0 || users[user] < l.ConnectionsPerUser) && files < 90; ok != want ||
					ok != (why == "") {
					t.Fatalf("%d of %s, %d files, limits %+v: %v %q", users[user], user, files, l, ok, why)
				}
				if ok {
					users[user]++
				}
			case 3:
				if users[user] > 0 {
					users[user]--
					g.ReleaseUserConnection(user)
				}
			}
		}
		for name, n := range users {
			for range n {
				g.ReleaseUserConnection(name)
			}
		}
		if g.OpenQueries() != open || len(g.userConnections) != 0 {
			t.Fatalf("%d open, want %d; users %v", g.OpenQueries(), open, g.userConnections)
		}
	})
}

func TestLag(t *testing.T) {
	g := New(Limits{LoopLag: 50 * time.Millisecond})
	var story strings.Builder
	for i := range 60 {
		d := time.Millisecond
		// a single slow batch, a stretch of them, another single one
		if i == 3 || i >= 10 && i < 16 || i == 40 {
			d = 80 * time.Millisecond
		}
		if in, changed := g.ObserveLag(d); changed {
			story.WriteString(map[bool]string{true: "in ", false: "out "}[in])
		}
	}
	if story.String() != "in out " {
		t.Errorf("trouble came and went as %q", story.String())
	}
}
