package lifecycle

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTransitions(t *testing.T) {
	type step struct {
		second int
		event  Event
		want   []Action
	}
	notifyReady, reload := []Action{{Type: NotifyReady}}, []Action{{Type: ReloadConfig}}
	startDrain := []Action{{Type: NotifyStopping}, {Type: StartDrain}}
	forceClose, exit := []Action{{Type: ForceClose}}, []Action{{Type: Exit}}
	send := func(id uint64) []Action { return []Action{{SendListeners, id}} }
	reject := func(id uint64) []Action { return []Action{{RejectSuccessor, id}} }
	for name, steps := range map[string][]step{
		"start and stop": {
			{0, Event{Type: EndpointsKnown}, notifyReady},
			{1, Event{Type: EndpointsKnown}, nil},
			{2, Event{Type: Terminate}, startDrain},
			{3, Event{Type: Tick}, nil},
			{4, Event{Type: Drained}, exit},
		},
		"a drain that takes too long": {
			{0, Event{Type: Terminate}, startDrain},
			{31, Event{Type: Tick}, forceClose},
			{32, Event{Type: Tick}, nil},
			{33, Event{Type: Drained}, exit},
		},
		"stopped twice": {
			{0, Event{Type: Terminate}, startDrain},
			{1, Event{Type: Terminate}, forceClose},
			{2, Event{Type: Terminate}, nil},
		},
		"no reload in a drain": {
			{0, Event{Type: Reload}, reload},
			{1, Event{Type: Terminate}, startDrain},
			{2, Event{Type: Reload}, nil},
		},
		"handover": {
			{0, Event{Type: EndpointsKnown}, notifyReady},
			{1, Event{SuccessorConnected, 7}, send(7)},
			{2, Event{SuccessorServing, 7}, startDrain},
		},
		"the successor dies": {
			{0, Event{Type: EndpointsKnown}, notifyReady},
			{1, Event{SuccessorConnected, 7}, send(7)},
			{2, Event{SuccessorLost, 7}, nil},
			{3, Event{SuccessorConnected, 8}, send(8)},
			{4, Event{SuccessorServing, 8}, startDrain},
		},
		"the successor hangs": {
			{0, Event{Type: EndpointsKnown}, notifyReady},
			{1, Event{SuccessorConnected, 7}, send(7)},
			{12, Event{Type: Tick}, reject(7)},
			{13, Event{SuccessorServing, 7}, nil},
			{14, Event{SuccessorConnected, 8}, send(8)},
		},
		"two successors": {
			{0, Event{Type: EndpointsKnown}, notifyReady},
			{1, Event{SuccessorConnected, 7}, send(7)},
			{2, Event{SuccessorConnected, 8}, reject(8)},
			{3, Event{SuccessorServing, 8}, nil},
			{4, Event{SuccessorServing, 7}, startDrain},
			{5, Event{SuccessorConnected, 9}, reject(9)},
		},
		"stopped in a handover": {
			{0, Event{SuccessorConnected, 7}, send(7)},
			{1, Event{Type: Terminate}, append(reject(7), startDrain...)},
		},
	} {
		m := New(Config{DrainTimeout: 30 * time.Second, HandoverTimeout: 10 * time.Second})
		for i, s := range steps {
			if got := m.Step(time.Duration(s.second)*time.Second, s.event); !slices.Equal(got, s.want) {
				t.Errorf("%s, step %d: %v, want %v", name, i, got, s.want)
			}
		}
	}
}

// Under any sequence of events the machine drains, closes by force and exits at most once each, exits only
// after a drain, never hands over to two successors at a time, and never waits longer than a drain may take.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{DrainTimeout: 30 * time.Second, HandoverTimeout: 10 * time.Second})
		now := time.Duration(0)
		count := map[ActionType]int{}
		holder := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 12).Draw(t, "pass")) * time.Second
			ev := Event{
				EventType(rapid.IntRange(0, int(SuccessorLost)).Draw(t, "event")),
				uint64(rapid.IntRange(1, 3).Draw(t, "successor")),
			}
			for _, a := range m.Step(now, ev) {
				count[a.Type]++
				switch a.Type {
				case SendListeners:
					if holder != 0 {
						t.Fatalf("sockets sent to %d while %d has them", a.SuccessorID, holder)
					}
					holder = a.SuccessorID
				case RejectSuccessor:
					if a.SuccessorID == holder {
						holder = 0
					}
				}
			}
			if m.State() != HandingOver {
				holder = 0
			}
			if count[StartDrain] > 1 || count[ForceClose] > 1 || count[Exit] > 1 ||
				count[Exit] > count[StartDrain] || count[NotifyReady] > 1 {
				t.Fatalf("actions so far: %v", count)
			}
			if next, ok := m.NextDeadline(); ok && next > now+30*time.Second {
				t.Fatalf("next tick at %v, now %v", next, now)
			}
		}
	})
}
