package orphanedsession

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whichever requests fail, no engine has two requests in flight or gets a request after a success, and no
// more requests are in flight than the limit. Each reachable engine gets a request that succeeds, and the
// cleanup finishes.
func TestCleanup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
		var sessions []Session
		for i := range rapid.IntRange(0, 20).Draw(t, "sessions") {
			sessions = append(sessions, Session{ID: uint64(i + 1), PID: uint32(i),
				Engine: rapid.SampledFrom(names).Draw(t, "engine")})
		}
		c := New(0, []string{"incarnation"}, sessions)
		dead := map[string]bool{}
		for _, n := range names {
			dead[n] = rapid.IntRange(0, 4).Draw(t, "dead") == 0
		}
		listed := names[:rapid.IntRange(1, len(names)).Draw(t, "listed")]
		inFlight, reached, released := map[string]bool{}, map[string]bool{}, map[uint64]bool{}
		now := time.Duration(0)
		for step := 0; !c.Finished(); step++ {
			if step == 3 {
				c.EnginesListed(listed)
			}
			for _, request := range c.DueRequests(now) {
				if inFlight[request.Engine] || reached[request.Engine] {
					t.Fatalf("%s gets another request", request.Engine)
				}
				inFlight[request.Engine] = true
			}
			if len(inFlight) > MaxConcurrent {
				t.Fatalf("%d requests in flight", len(inFlight))
			}
			for _, n := range names {
				if inFlight[n] && rapid.Bool().Draw(t, "ends") {
					ok := !dead[n] && rapid.Bool().Draw(t, "ok")
					for _, s := range c.RequestDone(now, n, ok) {
						released[s.ID] = true
					}
					delete(inFlight, n)
					reached[n] = reached[n] || ok
				}
			}
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			if now > GiveUpAfter+time.Hour {
				t.Fatal("the cleanup does not finish")
			}
		}
		for _, n := range listed {
			if !dead[n] && !reached[n] && now < GiveUpAfter {
				t.Fatalf("%s was not reached", n)
			}
		}
		for _, s := range sessions {
			if reached[s.Engine] != released[s.ID] {
				t.Fatalf("session %d: reached %v, released %v", s.ID, reached[s.Engine], released[s.ID])
			}
		}
	})
}
