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
		state, out := NewState(), map[uint64]WriteAttempt{}
		var records []Record
		now := t0
		for id := range uint64(rapid.IntRange(1, 50).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			var r Record
			if rapid.Bool().Draw(t, "send") {
				l := testWrite(id, now)
				out[id], r = l, WriteSentRecord(l)
			} else {
				end := uint64(rapid.IntRange(0, int(id)).Draw(t, "end"))
				delete(out, end)
				r = WriteEndedRecord(end)
			}
			records = append(records, r)
			state.Apply([]Record{r})
			if rapid.IntRange(0, 5).Draw(t, "again") == 0 { // a restart, perhaps after a rewrite
				again := NewState()
				if rapid.Bool().Draw(t, "rewritten") {
					records = state.Compacted(Instant{Wall: now})
				}
				again.Apply(records)
				state = again
			}
			want := 0
			for _, l := range out {
				if now.Sub(l.SentAt) <= l.Window {
					want++
				}
			}
			if got := state.PendingWrites(Instant{Wall: now}); len(got) != want {
				t.Fatalf("%d writes are pending, want %d", len(got), want)
			}
			setBack := now.Add(-time.Hour)
			for _, l := range state.PendingWrites(Instant{Wall: setBack}) {
				if l.SentAt.After(setBack) {
					t.Fatalf("a write from the future: %+v", l)
				}
			}
		}
	})
}
