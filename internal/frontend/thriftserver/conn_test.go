package thriftserver

import (
	"testing"
	"time"
)

// TestEvictionCandidate checks that many silent connections do not cause the eviction of a client that has
// just connected or has an open request.
func TestEvictionCandidate(t *testing.T) {
	ms := time.Millisecond
	type state struct {
		busy, sent bool
		silent     time.Duration
		midMessage bool // a message began to arrive at that time
	}
	for name, c := range map[string]struct {
		conns []state
		want  ConnID
	}{
		"silent":      {[]state{{sent: true, silent: 3e3 * ms}, {silent: 600 * ms}, {silent: 900 * ms}}, 3},
		"just made":   {[]state{{silent: ms}, {sent: true, silent: ms}, {sent: true, silent: 9 * ms}}, 3},
		"open":        {[]state{{busy: true, sent: true, silent: 9e3 * ms}, {sent: true, silent: ms}}, 2},
		"none can go": {[]state{{busy: true, sent: true, silent: ms}, {silent: 499 * ms}}, 0},
		"half a message": {[]state{{sent: true, silent: 499 * ms, midMessage: true},
			{sent: true, silent: ms}, {silent: 499 * ms, midMessage: true}}, 2},
		"half for long": {[]state{{sent: true, silent: 600 * ms, midMessage: true},
			{sent: true, silent: ms}}, 1},
	} {
		r, now := New(&cfg), startOfTest.Add(time.Hour)
		for i, s := range c.conns {
			id, at := ConnID(i+1), now.Add(-s.silent)
			r.AddConn(at, id)
			if s.sent {
				r.HandleMessage(at, id, r.Decode(aliveFrame(1)))
				r.RepliesWritten(at, id, 1)
			}
			if s.midMessage {
				r.BeginMessage(at, id)
			}
			if s.busy {
				request := r.Decode(dispatchFrame(1, "verb", "quick", "limit", "9", "txn", ticket(i)))
				if v := r.HandleMessage(at, id, request); v.Invalid {
					t.Fatalf("%s", v.Reply)
				}
			}
		}
		if got, ok := r.EvictionCandidate(now, 500*ms); got != c.want || ok != (c.want > 0) {
			t.Errorf("%s: candidate %d, found: %v, want %d", name, got, ok, c.want)
		}
	}
}
