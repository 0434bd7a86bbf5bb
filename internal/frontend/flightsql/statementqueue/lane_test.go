package statementqueue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes and goes: one that has the lane alone has it alone, a bound lane runs one at a time, those
// that run were the first of those that waited, nobody waits while the lane is free, and all run at last.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lane
		running, alone := map[ID]bool{}, map[ID]bool{}
		var waiting []ID
		bound := false
		run := func(ids []ID) {
			for _, id := range ids {
				if waiting[0] != id {
					t.Fatalf("%d runs before %d", id, waiting[0])
				}
				waiting = waiting[1:]
				running[id] = true
				if alone[id] = alone[id] || bound; alone[id] && len(running) > 1 {
					t.Fatalf("%d is to have the lane alone, and %d run", id, len(running))
				}
			}
			for id := range running {
				if alone[id] && len(running) > 1 {
					t.Fatalf("beside %d, which has the lane alone, %d run", id, len(running)-1)
				}
			}
			if len(running) == 0 && len(waiting) > 0 {
				t.Fatalf("the lane is free and %v wait", waiting)
			}
		}
		next := ID(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				next++
				alone[next] = rapid.IntRange(0, 2).Draw(t, "alone") == 0
				waiting = append(waiting, next)
				run(l.Enter(next, alone[next]))
			case 2, 3:
				id := ID(rapid.IntRange(0, int(next)).Draw(t, "id"))
				delete(running, id)
				if i := slices.Index(waiting, id); i >= 0 {
					waiting = slices.Delete(waiting, i, i+1)
				}
				run(l.Leave(id))
			case 4: // a statement that has the lane alone leaves something, or frees it
				for id := range running {
					if alone[id] {
						bound = !bound
						l.Bind(bound)
					}
				}
			}
		}
		for len(running) > 0 {
			for id := range running {
				delete(running, id)
				run(l.Leave(id))
				break
			}
		}
		if !l.Idle() || len(waiting) > 0 {
			t.Fatalf("%v wait for ever", waiting)
		}
	})
}
