package statementqueue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes and goes: one that has the lane alone has it alone, a bound lane runs one at a time, those
// that run were the first of those that waited, nobody waits while the lane is free, and all run at last.
func TestStatementsRunInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Queue
		running, exclusive := map[StatementID]bool{}, map[StatementID]bool{}
		var waiting []StatementID
		sticky := false
		run := func(ids []StatementID) {
			for _, id := range ids {
				if waiting[0] != id {
					t.Fatalf("%d runs before %d", id, waiting[0])
				}
				waiting = waiting[1:]
				running[id] = true
				if exclusive[id] = exclusive[id] || sticky; exclusive[id] && len(running) > 1 {
					t.Fatalf("%d is to have the lane alone, and %d run", id, len(running))
				}
			}
			for id := range running {
				if exclusive[id] && len(running) > 1 {
					t.Fatalf("beside %d, which has the lane alone, %d run", id, len(running)-1)
				}
			}
			if len(running) == 0 && len(waiting) > 0 {
				t.Fatalf("the lane is free and %v wait", waiting)
			}
		}
		next := StatementID(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				next++
				exclusive[next] = rapid.IntRange(0, 2).Draw(t, "alone") == 0
				waiting = append(waiting, next)
				run(l.Enqueue(next, exclusive[next]))
			case 2, 3:
				id := StatementID(rapid.IntRange(0, int(next)).Draw(t, "id"))
				delete(running, id)
				if i := slices.Index(waiting, id); i >= 0 {
					waiting = slices.Delete(waiting, i, i+1)
				}
				run(l.Remove(id))
			case 4: // a statement that has the lane alone leaves something, or frees it
				for id := range running {
					if exclusive[id] {
						sticky = !sticky
						l.SetSticky(sticky)
					}
				}
			}
		}
		for len(running) > 0 {
			for id := range running {
				delete(running, id)
				run(l.Remove(id))
				break
			}
		}
		if !l.Idle() || len(waiting) > 0 {
			t.Fatalf("%v wait for ever", waiting)
		}
	})
}
