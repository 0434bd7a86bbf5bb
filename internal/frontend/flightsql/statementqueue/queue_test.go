package statementqueue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestStatementsRunInOrder adds and removes statements at random and checks that a statement that runs
// exclusively runs alone, that a sticky session runs one statement at a time, that statements start in the
// order of arrival, that none waits while nothing runs, and that all run in the end.
func TestStatementsRunInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		running, exclusive := map[StatementID]bool{}, map[StatementID]bool{}
		var waiting []StatementID
		sticky := false
		start := func(ids []StatementID) {
			for _, id := range ids {
				if waiting[0] != id {
					t.Fatalf("statement %d started before %d, which arrived first", id, waiting[0])
				}
				waiting = waiting[1:]
				running[id] = true
				if exclusive[id] = exclusive[id] || sticky; exclusive[id] && len(running) > 1 {
					t.Fatalf("statement %d started exclusively, but %d statements run", id, len(running))
				}
			}
			for id := range running {
				if exclusive[id] && len(running) > 1 {
					t.Fatalf("statement %d runs exclusively, but %d others run", id, len(running)-1)
				}
			}
			if len(running) == 0 && len(waiting) > 0 {
				t.Fatalf("no statement runs, but %v wait", waiting)
			}
		}
		next := StatementID(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				next++
				exclusive[next] = rapid.IntRange(0, 2).Draw(t, "exclusive") == 0
				waiting = append(waiting, next)
				start(q.Enqueue(next, exclusive[next]))
			case 2, 3:
				id := StatementID(rapid.IntRange(0, int(next)).Draw(t, "id"))
				delete(running, id)
				if i := slices.Index(waiting, id); i >= 0 {
					waiting = slices.Delete(waiting, i, i+1)
				}
				start(q.Remove(id))
			case 4: // a statement that runs exclusively leaves or removes session state
				for id := range running {
					if exclusive[id] {
						sticky = !sticky
						q.SetSticky(sticky)
					}
				}
			}
		}
		for len(running) > 0 {
			for id := range running {
				delete(running, id)
				start(q.Remove(id))
				break
			}
		}
		if !q.Idle() || len(waiting) > 0 {
			t.Fatalf("the queue is not idle at the end: %v still wait", waiting)
		}
	})
}
