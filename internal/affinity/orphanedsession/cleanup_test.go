package orphanedsession

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However visits fail, no engine is visited twice at once, nor after a good visit, nor more at a time than
// the limit; each that can be reached is visited, and the hunt ends.
func TestCleanup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
		var sessions []Session
		for i := range rapid.IntRange(0, 20).Draw(t, "sessions") {
			sessions = append(sessions, Session{ID: uint64(i + 1), PID: uint32(i),
				Engine: rapid.SampledFrom(names).Draw(t, "engine")})
		}
		h := New(0, []string{"life"}, sessions)
		dead := map[string]bool{}
		for _, n := range names {
			dead[n] = rapid.IntRange(0, 4).Draw(t, "dead") == 0
		}
		listed := names[:rapid.IntRange(1, len(names)).Draw(t, "listed")]
		out, visited, ended := map[string]bool{}, map[string]bool{}, map[uint64]bool{}
		now := time.Duration(0)
		for step := 0; !h.Finished(); step++ {
			if step == 3 {
				h.EnginesListed(listed)
			}
			for _, v := range h.DueRequests(now) {
				if out[v.Engine] || visited[v.Engine] {
					t.Fatalf("%s visited again", v.Engine)
				}
				out[v.Engine] = true
			}
			if len(out) > MaxConcurrent {
				t.Fatalf("%d visits at once", len(out))
			}
			for _, n := range names {
				if out[n] && rapid.Bool().Draw(t, "ends") {
					ok := !dead[n] && rapid.Bool().Draw(t, "ok")
					for _, s := range h.RequestDone(now, n, ok) {
						ended[s.ID] = true
					}
					delete(out, n)
					visited[n] = visited[n] || ok
				}
			}
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			if now > GiveUpAfter+time.Hour {
				t.Fatal("the hunt does not end")
			}
		}
		for _, n := range listed {
			if !dead[n] && !visited[n] && now < GiveUpAfter {
				t.Fatalf("%s was not visited", n)
			}
		}
		for _, s := range sessions {
			if visited[s.Engine] != ended[s.ID] {
				t.Fatalf("session %d: visited %v, ended %v", s.ID, visited[s.Engine], ended[s.ID])
			}
		}
	})
}
