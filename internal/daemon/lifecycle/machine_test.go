package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTransitions(t *testing.T) {
	type step struct {
		at   int // s
		ev   Event
		want string
	}
	for name, steps := range map[string][]step{
		"start and stop": {{0, Event{Type: EndpointsKnown}, "[{0 0}]"}, {1, Event{Type: EndpointsKnown}, "[]"}, {2, Event{
			Type: Terminate}, "[{1 0} {5 0}]"},
			{3, Event{Type: Tick}, "[]"}, {4, Event{Type: Drained}, "[{7 0}]"}},
		"a drain that takes too long": {{0, Event{Type: Terminate}, "[{1 0} {5 0}]"}, {31, Event{Type: Tick},
			"[{6 0}]"},
			{32, Event{Type: Tick}, "[]"}, {33, Event{Type: Drained}, "[{7 0}]"}},
		"stopped twice": {{0, Event{Type: Terminate}, "[{1 0} {5 0}]"}, {1, Event{Type: Terminate},
			"[{6 0}]"}, {2, Event{Type: Terminate}, "[]"}},
		"reload not in a drain": {{0, Event{Type: Reload}, "[{2 0}]"}, {1, Event{Type: Terminate},
			"[{1 0} {5 0}]"}, {2, Event{Type: Reload}, "[]"}},
		"hand-over": {{0, Event{Type: EndpointsKnown}, "[{0 0}]"}, {1, Event{SuccessorConnected, 7}, "[{3 7}]"},
			{2, Event{SuccessorServing, 7}, "[{1 0} {5 0}]"}},
		"the successor dies": {{0, Event{Type: EndpointsKnown}, "[{0 0}]"}, {1, Event{SuccessorConnected, 7}, "[{3 7}]"}, {2,
			Event{SuccessorLost, 7}, "[]"},
			{3, Event{SuccessorConnected, 8}, "[{3 8}]"}, {4, Event{SuccessorServing, 8}, "[{1 0} {5 0}]"}},
		"the successor hangs": {{0, Event{Type: EndpointsKnown}, "[{0 0}]"}, {1, Event{SuccessorConnected, 7}, "[{3 7}]"}, {12,
			Event{Type: Tick}, "[{4 7}]"},
			{13, Event{SuccessorServing, 7}, "[]"}, {14, Event{SuccessorConnected, 8}, "[{3 8}]"}},
		"two successors": {{0, Event{Type: EndpointsKnown}, "[{0 0}]"}, {1, Event{SuccessorConnected, 7}, "[{3 7}]"}, {2,
			Event{SuccessorConnected, 8}, "[{4 8}]"},
			{3, Event{SuccessorServing, 8}, "[]"}, {4, Event{SuccessorServing, 7}, "[{1 0} {5 0}]"}, {5, Event{SuccessorConnected, 9},
				"[{4 9}]"}},
		"stopped in a hand-over": {{0, Event{SuccessorConnected, 7}, "[{3 7}]"}, {1, Event{Type: Terminate},
			"[{4 7} {1 0} {5 0}]"}},
	} {
		l := New(Config{DrainTimeout: 30 * time.Second, HandoverTimeout: 10 * time.Second})
		for i, s := range steps {
			if got := fmt.Sprint(l.Step(time.Duration(s.at)*time.Second, s.ev)); got != s.want {
				t.Errorf("%s, step %d: %s, want %s", name, i, got, s.want)
			}
		}
	}
}

// Whatever happens: it drains once, cuts at most once, exits once and only after a drain, never hands to two
// at a time, and while neither draining nor over it keeps serving.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{DrainTimeout: 30 * time.Second, HandoverTimeout: 10 * time.Second})
		now := time.Duration(0)
		count := map[ActionType]int{}
		given := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 12).Draw(t, "pass")) * time.Second
			ev := Event{
				EventType(rapid.IntRange(0, int(SuccessorLost)).Draw(t, "event")),
				uint64(rapid.IntRange(1,
					3).Draw(t, "who")),
			}
			for _, a := range l.Step(now, ev) {
				count[a.Type]++
				switch a.Type {
				case SendListeners:
					if given != 0 {
						t.Fatalf("sockets given to %d while %d has them", a.SuccessorID, given)
					}
					given = a.SuccessorID
				case RejectSuccessor:
					if a.SuccessorID == given {
						given = 0
					}
				}
			}
			if l.State() != HandingOver {
				given = 0
			}
			if count[StartDrain] > 1 || count[ForceClose] > 1 || count[Exit] > 1 ||
				count[Exit] > count[StartDrain] ||
				count[NotifyReady] > 1 {
				t.Fatalf("actions so far: %v", count)
			}
			if next, ok := l.NextDeadline(); ok && next > now+30*time.Second {
				t.Fatalf("next tick at %v, now %v", next, now)
			}
		}
	})
}
