package thriftserver

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
	"cresspass/internal/protocol/thrift"
)

var cfg = cresspass.Config{Classes: []cresspass.Class{{Name: "quick"},
	{Name: "load", Effect: cresspass.IdempotentWithKey}}}

var startOfTest = time.Unix(1e9, 0)

func ticket(n int) string { return fmt.Sprintf("%016x", n) }

// dispatchFrame is a client's request as the Thrift codec of this repository writes it.
func dispatchFrame(seq int32, pairs ...string) []byte {
	call := thrift.Dispatch{Body: []byte("SELECT a FROM t_3.u")}
	for i := 0; i < len(pairs); i += 2 {
		call.Fields = append(call.Fields, thrift.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return call.Append(nil, seq)[thrift.FrameHeaderBytes:]
}

func cancelFrame(seq, target int32) []byte {
	return thrift.CancelRequest{TargetSeq: target}.Append(nil, seq)[thrift.FrameHeaderBytes:]
}

func aliveFrame(seq int32) []byte { return thrift.Alive{}.Append(nil, seq)[thrift.FrameHeaderBytes:] }

// TestRequestEndsOnce: whatever clients send, cancel and break off, each request that was accepted has one
// end: it is replied to where it came, is cancelled, or ends with its connection. No two that are open
// share a number on a connection or an id, and no connection is evicted that is in use.
func TestRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(&cfg), startOfTest
		open := map[cresspass.QueryID]ReplyTarget{}
		tickets := map[string]cresspass.QueryID{}
		unwritten := map[ConnID]int{}
		alive := map[ConnID]bool{}
		closing, midMessage := map[ConnID]bool{}, map[ConnID]bool{}
		end := func(q *Request, how string) {
			if at, ok := open[q.ID]; !ok || at != (ReplyTarget{q.Conn, q.Seq}) {
				t.Fatalf("request %d of %+v %s, it is open: %v, at %+v", q.ID, q.Conn, how, ok, at)
			}
			delete(open, q.ID)
			delete(tickets, q.Ticket)
		}
		used := func(id ConnID) bool {
			for _, at := range open {
				if at.Conn == id {
					return true
				}
			}
			return false
		}
		conn := func() ConnID { return ConnID(rapid.IntRange(1, 3).Draw(t, "conn")) }
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := conn()
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0:
				if !alive[id] {
					r.AddConn(now, id)
					alive[id], unwritten[id], closing[id], midMessage[id] = true, 0, false, false
				}
			case 1, 2, 3, 4:
				frame := rapid.SampledFrom([][]byte{
					dispatchFrame(
						int32(rapid.IntRange(1, 50).Draw(t, "seq")),
						"verb",
						"quick",
						"limit",
						"100",
						"txn",
						ticket(rapid.IntRange(1, 60).Draw(t, "txn")),
					),
					dispatchFrame(1, "verb", "load", "limit", "100", "txn", ticket(1)),
					dispatchFrame(2, "verb", "quick", "limit", "-1", "txn", ticket(2)),
					dispatchFrame(2, "verb", "quick", "limit", "NaN", "txn", ticket(2)),
					dispatchFrame(3, "verb", "none", "limit", "100", "txn", ticket(3)),
					dispatchFrame(4, "verb", "quick", "limit", "100", "txn", "x"),
					aliveFrame(9),
					cancelFrame(1, int32(rapid.IntRange(1, 50).Draw(t, "target"))),
					{0x80, 1, 0, 1, 0xff}, {},
				}).Draw(t, "frame")
				v := r.HandleMessage(now, id, r.Decode(frame))
				switch midMessage[id] = false; {
				case (!alive[id] || closing[id]) && !v.EndOfInput:
					t.Fatal("a message on no connection, or on one that is closing, was accepted")
				case v.Accepted != nil:
					q := v.Accepted
					of := 0
					for other, at := range open {
						if at.Conn == q.Conn {
							of++
						}
						if other == q.ID || at == (ReplyTarget{q.Conn, q.Seq}) {
							t.Fatalf("%+v accepted beside %d at %+v", q, other, at)
						}
					}
					if _, twice := tickets[q.Ticket]; twice || of >= MaxOpenRequests ||
						v.Event.Query != q.ID || !q.Deadline.After(now) ||
						v.Event.RemainingDeadline <= 0 || v.Reply != nil {
						t.Fatalf("%+v accepted, its id is open: %v, of %d open, %+v", q, twice, of, v.Event)
					}
					open[q.ID], tickets[q.Ticket] = ReplyTarget{q.Conn, q.Seq}, q.ID
				case v.Cancelled != nil:
					end(v.Cancelled, "cancelled")
				case v.Invalid && v.Reply == nil:
					t.Fatal("an invalid request has no reply")
				}
				if v.Reply != nil {
					unwritten[id]++
				}
			case 5, 6:
				q := cresspass.QueryID(rapid.IntRange(1, 40).Draw(t, "reply"))
				at, is := open[q]
				to, ok := r.ClaimReply(now, q)
				if ok != is || ok && to != at {
					t.Fatalf("reply to %d: %v at %+v, open: %v at %+v", q, ok, to, is, at)
				}
				if ok {
					unwritten[to.Conn]++
					for ticket, other := range tickets {
						if other == q {
							delete(tickets, ticket)
						}
					}
					delete(open, q)
				}
			case 7:
				if n := unwritten[id]; n > 0 && alive[id] {
					r.RepliesWritten(now, id, n)
					unwritten[id] = 0
				}
			case 8:
				malformed := rapid.Bool().Draw(t, "malformed")
				var orphaned []*Request
				if malformed {
					orphaned = r.EndMalformed(id)
					unwritten[id] += len(orphaned)
					closing[id] = alive[id]
				} else {
					orphaned = r.RemoveConn(id)
					alive[id] = false
				}
				for _, q := range orphaned {
					end(q, "orphaned")
				}
				late := r.Decode(dispatchFrame(70, "verb", "quick", "limit", "9", "txn", ticket(99)))
				if v := r.HandleMessage(now, id, late); !v.EndOfInput {
					t.Fatalf("a message after the end: %+v", v)
				}
			case 9:
				which, ok := r.EvictionCandidate(now, 500*time.Millisecond)
				if !ok {
					break
				}
				for _, at := range open {
					if at.Conn == which {
						t.Fatalf("connection %d is evicted, %+v is open there", which, at)
					}
				}
				if !alive[which] || unwritten[which] > 0 {
					t.Fatalf("connection %d is evicted, %d messages are not written", which, unwritten[which])
				}
			case 10:
				if ok := r.BeginMessage(now, id); ok != (alive[id] && !closing[id]) {
					t.Fatalf("a message begins: %v; alive %v, closing %v", ok, alive[id], closing[id])
				} else if ok {
					midMessage[id] = true
				}
			case 11:
				wasUsed := used(id)
				orphaned, last := r.ReadTimedOut(id)
				for _, q := range orphaned {
					end(q, "overdue")
				}
				unwritten[id] += len(orphaned)
				over := !alive[id] || closing[id] || midMessage[id] || unwritten[id] == 0 && !wasUsed
				if over != last {
					t.Fatalf("overdue: ends %v, want %v", last, over)
				}
				closing[id] = alive[id] && last
			case 12:
				was := closing[id]
				ok := r.Retire(id)
				if want := alive[id] && !was && unwritten[id] == 0 && !used(id); ok != want {
					t.Fatalf("retired: %v, want %v", ok, want)
				}
				closing[id] = was || ok
				for _, other := range r.UnusedConns() {
					if closing[other] || midMessage[other] || unwritten[other] > 0 || used(other) {
						t.Fatalf("connection %d is listed as unused", other)
					}
				}
			}
			if r.OpenRequests() != len(open) {
				t.Fatalf("%d open, want %d", r.OpenRequests(), len(open))
			}
		}
	})
}

// TestEvictionCandidate: many connections that send nothing evict neither a client that just connected nor
// one with a request open.
func TestEvictionCandidate(t *testing.T) {
	ms := time.Millisecond
	type seen struct {
		busy, sent bool
		silent     time.Duration
		midMessage bool // a message began then
	}
	for name, c := range map[string]struct {
		conns []seen
		want  ConnID
	}{
		"silent":      {[]seen{{sent: true, silent: 3e3 * ms}, {silent: 600 * ms}, {silent: 900 * ms}}, 3},
		"just made":   {[]seen{{silent: ms}, {sent: true, silent: ms}, {sent: true, silent: 9 * ms}}, 3},
		"open":        {[]seen{{busy: true, sent: true, silent: 9e3 * ms}, {sent: true, silent: ms}}, 2},
		"none can go": {[]seen{{busy: true, sent: true, silent: ms}, {silent: 499 * ms}}, 0},
		"half a message": {[]seen{{sent: true, silent: 499 * ms, midMessage: true}, {sent: true, silent: ms},
			{silent: 499 * ms, midMessage: true}}, 2},
		"half for long": {[]seen{{sent: true, silent: 600 * ms, midMessage: true},
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
				ask := r.Decode(dispatchFrame(1, "verb", "quick", "limit", "9", "txn", ticket(i)))
				if v := r.HandleMessage(at, id, ask); v.Invalid {
					t.Fatalf("%s", v.Reply)
				}
			}
		}
		if got, ok := r.EvictionCandidate(now, 500*ms); got != c.want || ok != (c.want > 0) {
			t.Errorf("%s: %d %v, want %d", name, got, ok, c.want)
		}
	}
}
