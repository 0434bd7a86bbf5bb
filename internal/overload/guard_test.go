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
		l := Limits{Open: rapid.IntRange(0, 5).Draw(t, "open"), PerUser: rapid.IntRange(0, 3).Draw(t, "user"),
			Files: 100, FilesLeft: 10,
			HeldBytes: 1000}
		g := New(l)
		open, users := 0, map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			user := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				held := int64(rapid.SampledFrom([]int{0, 999, 1000}).Draw(t, "held"))
				g.Held("a", held)
				why, ok := g.Query("a")
				if want := (l.Open == 0 || open < l.Open) && held < 1000; ok != want || ok != (why == "") {
					t.Fatalf("%d open, %d held, limits %+v: %v %q", open, held, l, ok, why)
				}
				if ok {
					open++
				}
			case 1:
				if open > 0 {
					open--
					g.Ended("a")
				}
			case 2:
				files := rapid.SampledFrom([]int{5, 89, 90}).Draw(t, "files")
				why, ok := g.Connect(user, files)
				if want := (l.PerUser == 0 || users[user] < l.PerUser) && files < 90; ok != want ||
					ok != (why == "") {
					t.Fatalf("%d of %s, %d files, limits %+v: %v %q", users[user], user, files, l, ok, why)
				}
				if ok {
					users[user]++
				}
			case 3:
				if users[user] > 0 {
					users[user]--
					g.Disconnect(user)
				}
			}
		}
		for name, n := range users {
			for range n {
				g.Disconnect(name)
			}
		}
		if g.Open() != open || len(g.users) != 0 {
			t.Fatalf("%d open, want %d; users %v", g.Open(), open, g.users)
		}
	})
}

func TestLag(t *testing.T) {
	g := New(Limits{Lag: 50 * time.Millisecond})
	var story strings.Builder
	for i := range 60 {
		d := time.Millisecond
		// a single slow batch, a stretch of them, another single one
		if i == 3 || i >= 10 && i < 16 || i == 40 {
			d = 80 * time.Millisecond
		}
		if in, changed := g.Lag(d); changed {
			story.WriteString(map[bool]string{true: "in ", false: "out "}[in])
		}
	}
	if story.String() != "in out " {
		t.Errorf("trouble came and went as %q", story.String())
	}
}
