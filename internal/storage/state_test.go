package storage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.UnixMilli(1767600000000)

func testWrite(id uint64, at time.Time) WriteAttempt {
	return WriteAttempt{ID: id, Class: "load", Key: fmt.Sprint("k", id%3), Hash: id, Engine: "e", SentAt: at,
		Window: 15 * time.Second}
}

// Compares the state with a map of the writes without an outcome, while the records are replayed or compacted
// at random and the clock jumps.
func TestStateAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, expected := NewState(), map[uint64]WriteAttempt{}
		var records []Record
		now := t0
		for id := range uint64(rapid.IntRange(1, 50).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			var r Record
			if rapid.Bool().Draw(t, "send") {
				w := testWrite(id, now)
				expected[id], r = w, WriteSentRecord(w)
			} else {
				ended := uint64(rapid.IntRange(0, int(id)).Draw(t, "end"))
				delete(expected, ended)
				r = WriteEndedRecord(ended)
			}
			records = append(records, r)
			state.Apply([]Record{r})
			if rapid.IntRange(0, 5).Draw(t, "again") == 0 { // a restart, perhaps after a rewrite
				restored := NewState()
				if rapid.Bool().Draw(t, "rewritten") {
					records = state.Compacted(Instant{Wall: now})
				}
				restored.Apply(records)
				state = restored
			}
			want := 0
			for _, w := range expected {
				if now.Sub(w.SentAt) <= w.Window {
					want++
				}
			}
			if got := state.PendingWrites(Instant{Wall: now}); len(got) != want {
				t.Fatalf("%d writes are pending, want %d", len(got), want)
			}
			setBack := now.Add(-time.Hour)
			for _, w := range state.PendingWrites(Instant{Wall: setBack}) {
				if w.SentAt.After(setBack) {
					t.Fatalf("a write from the future: %+v", w)
				}
			}
		}
	})
}
