package pgsession

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/protocol/pgwire"
)

// extendedMessages are messages of the extended protocol that a client may send between two Syncs.
var extendedMessages = map[string][]byte{
	"parse":              parse("", "select n from t"),
	"parse of two":       parse("", "select 1; select 2"),
	"bind":               bind("", ""),
	"bind of unknown":    bind("p", "unknown"),
	"describe statement": target('D', 'S', ""),
	"describe portal":    target('D', 'P', ""),
	"execute":            execute("", 0),
	"close portal":       target('C', 'P', ""),
	"flush":              pgwire.AppendFlush(nil),
}

// endQueries ends the queries that the session submits, some with an error: the engine's, or one that comes
// before the engine ends the query.
func endQueries(t *rapid.T, s *Session) {
	for q := s.TakeQuery(); q != nil; q = s.TakeQuery() {
		switch rapid.SampledFrom([]string{"completed", "failed", "answered early"}).Draw(t, "end") {
		case "completed":
			finish(q.Kind, "", enginequery.StatusIdle, done, false)(s)
		case "failed":
			finish(q.Kind, "", enginequery.StatusIdle, failed, true)(s)
		case "answered early":
			s.AnsweredEarly(0, true)
			s.QueryEnded(q.Kind, failed, true)
		}
	}
}

// countReady returns the number of ReadyForQuery messages.
func countReady(t *rapid.T, b []byte) (n int) {
	var r pgwire.Reader
	r.Known = pgwire.BackendType
	r.Push(b)
	for {
		m, ok, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return n
		}
		if m.Type == 'Z' {
			n++
		}
	}
}

// TestEachSyncIsAnsweredOnce guards against a client that waits without end: a Sync behind the Describe of a
// portal was dropped if the Describe failed.
func TestEachSyncIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(&Config{}, 7, strings.Repeat("k", 32))
		user(s)
		s.Output()
		names := slices.Sorted(maps.Keys(extendedMessages))
		pipelines := rapid.IntRange(1, 4).Draw(t, "pipelines")
		var sent []byte
		for range pipelines {
			for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 0, 6).Draw(t, "messages") {
				sent = append(sent, extendedMessages[name]...)
			}
			sent = pgwire.AppendSync(sent)
		}
		for len(sent) > 0 { // in pieces, as they arrive
			n := rapid.IntRange(1, len(sent)).Draw(t, "bytes")
			s.Receive(sent[:n])
			sent = sent[n:]
			endQueries(t, s)
		}
		if n := countReady(t, s.Output()); n != pipelines || s.Busy() {
			t.Errorf("%d times ready for %d Syncs, busy: %v", n, pipelines, s.Busy())
		}
	})
}
