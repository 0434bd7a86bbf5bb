package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLife(t *testing.T) {
	type step struct {
		at   int // s
		ev   Event
		want string
	}
	for name, steps := range map[string][]step{
		"start and stop": {{0, Event{Type: Listed}, "[{0 0}]"}, {1, Event{Type: Listed}, "[]"}, {2, Event{
			Type: Terminate}, "[{1 0} {5 0}]"},
			{3, Event{Type: Tick}, "[]"}, {4, Event{Type: Empty}, "[{7 0}]"}},
		"a drain that takes too long": {{0, Event{Type: Terminate}, "[{1 0} {5 0}]"}, {31, Event{Type: Tick},
			"[{6 0}]"},
			{32, Event{Type: Tick}, "[]"}, {33, Event{Type: Empty}, "[{7 0}]"}},
		"stopped twice": {{0, Event{Type: Terminate}, "[{1 0} {5 0}]"}, {1, Event{Type: Terminate},
			"[{6 0}]"}, {2, Event{Type: Terminate}, "[]"}},
		"reload not in a drain": {{0, Event{Type: Reload}, "[{2 0}]"}, {1, Event{Type: Terminate},
			"[{1 0} {5 0}]"}, {2, Event{Type: Reload}, "[]"}},
		"hand-over": {{0, Event{Type: Listed}, "[{0 0}]"}, {1, Event{Successor, 7}, "[{3 7}]"},
			{2, Event{Took, 7}, "[{1 0} {5 0}]"}},
		"the successor dies": {{0, Event{Type: Listed}, "[{0 0}]"}, {1, Event{Successor, 7}, "[{3 7}]"}, {2,
			Event{Lost, 7}, "[]"},
			{3, Event{Successor, 8}, "[{3 8}]"}, {4, Event{Took, 8}, "[{1 0} {5 0}]"}},
		"the successor hangs": {{0, Event{Type: Listed}, "[{0 0}]"}, {1, Event{Successor, 7}, "[{3 7}]"}, {12,
			Event{Type: Tick}, "[{4 7}]"},
			{13, Event{Took, 7}, "[]"}, {14, Event{Successor, 8}, "[{3 8}]"}},
		"two successors": {{0, Event{Type: Listed}, "[{0 0}]"}, {1, Event{Successor, 7}, "[{3 7}]"}, {2,
			Event{Successor, 8}, "[{4 8}]"},
			{3, Event{Took, 8}, "[]"}, {4, Event{Took, 7}, "[{1 0} {5 0}]"}, {5, Event{Successor, 9},
				"[{4 9}]"}},
		"stopped in a hand-over": {{0, Event{Successor, 7}, "[{3 7}]"}, {1, Event{Type: Terminate},
			"[{4 7} {1 0} {5 0}]"}},
	} {
		l := New(Config{DrainFor: 30 * time.Second, HandFor: 10 * time.Second})
		for i, s := range steps {
			if got := fmt.Sprint(l.Step(time.Duration(s.at)*time.Second, s.ev)); got != s.want {
				t.Errorf("%s, step %d: %s, want %s", name, i, got, s.want)
			}
		}
	}
}

// Whatever happens: it drains once, cuts at most once, exits once and only after a drain, never hands to two
// at a time, and while neither draining nor over it keeps serving.
func TestLifeKeepsItsWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{DrainFor: 30 * time.Second, HandFor: 10 * time.Second})
		now := time.Duration(0)
		count := map[ActionType]int{}
		given := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 12).Draw(t, "pass")) * time.Second
			ev := Event{EventType(rapid.IntRange(0, int(Lost)).Draw(t, "event")), uint64(rapid.IntRange(1,
				3).Draw(t, "who"))}
			for _, a := range l.Step(now, ev) {
				count[a.Type]++
				switch a.Type {
				case GiveSockets:
					if given != 0 {
						t.Fatalf("sockets given to %d while %d has them", a.Who, given)
					}
					given = a.Who
				case Decline:
					if a.Who == given {
						given = 0
					}
				}
			}
			if l.State() != Handing {
				given = 0
			}
			if count[Drain] > 1 || count[Cut] > 1 || count[Exit] > 1 || count[Exit] > count[Drain] ||
				count[TellReady] > 1 {
				t.Fatalf("actions so far: %v", count)
			}
			if next, ok := l.Next(); ok && next > now+30*time.Second {
				t.Fatalf("next tick at %v, now %v", next, now)
			}
		}
	})
}
