package thriftserver

import (
	"bytes"
	"testing"

	"cresspass/internal/goldentest"
	"cresspass/internal/protocol/thrift"
)

// TestGoldenReplies checks that immediate replies to messages, including their texts, equal the recorded
// bytes.
func TestGoldenReplies(t *testing.T) {
	const long = "0123456789012345678901234567890123456789 and more"
	good := func(seq int32, pairs ...string) []byte {
		usual := []string{"verb", "quick", "limit", "100", "txn", ticket(int(seq))}
		return dispatchFrame(seq, append(usual, pairs...)...)
	}
	empty := thrift.Dispatch{Fields: thrift.Fields{{Name: "verb", Value: "quick"},
		{Name: "limit", Value: "100"}, {Name: "txn", Value: ticket(5)}}}
	endsConn := thrift.Answer{Method: "alive", Good: true}.Append(nil, 17)
	for _, c := range []struct {
		name  string
		frame []byte
	}{
		{"accepted", good(1)}, // no reply
		{"number_open", good(1, "txn", ticket(9))},
		{"txn_open", good(2, "txn", ticket(1))},
		{"txn_form", good(3, "txn", long)},
		{"verb_unknown", good(4, "verb", "none")},
		{"no_statement", empty.Append(nil, 5)[thrift.FrameHeaderBytes:]},
		{"team_too_long", good(6, "team", string(make([]byte, 257)))},
		{"unique_form", good(7, "unique", "xyz")},
		{"unique_wanted", good(8, "verb", "load")},
		{"limit_zero", good(9, "limit", "0")},
		{"limit_negative", good(10, "limit", "-1")},
		{"limit_too_large", good(11, "limit", "3600001")},
		{"limit_no_number", good(12, "limit", "NaN")},
		{"cpu_no_number", good(13, "cpu", "much")},
		{"heap_too_large", good(14, "heap_mb", "1e10")},
		{"cancel", cancelFrame(15, 1)}, // no reply
		{"alive", aliveFrame(16)},
		{"reply", endsConn[thrift.FrameHeaderBytes:]}, // no reply to a reply
	} {
		checkReply(t, New(&cfg), c.name, c.frame, good(1))
	}
	full, now := New(&cfg), startOfTest
	full.AddConn(now, 1)
	for seq := range int32(MaxOpenRequests) {
		full.HandleMessage(now, 1, full.Decode(good(seq+100)))
	}
	reply := full.HandleMessage(now, 1, full.Decode(good(99))).Reply
	compareGolden(t, "too_many_open", reply)
	draining := New(&cfg)
	draining.AddConn(now, 1)
	draining.Drain()
	compareGolden(t, "alive_draining", draining.HandleMessage(now, 1,
		draining.Decode(aliveFrame(3))).Reply)
	// A call of an unknown method, and malformed frames.
	unknown := []byte{0x80, 1, 0, 1, 0, 0, 0, 1, 'x', 0, 0, 0, 1, 0}
	checkReply(t, New(&cfg), "unknown_method_call", unknown, good(1))
	checkReply(t, New(&cfg), "cut", good(18)[:40], good(1))
	tooDeep := append([]byte{0x80, 1, 0, 1, 0, 0, 0, 1, 'x', 0, 0, 0, 1},
		bytes.Repeat([]byte{12, 0, 9}, 40)...)
	checkReply(t, New(&cfg), "too_deep", tooDeep, good(1))
	checkReply(t, New(&cfg), "bytes_after", append(good(19), 0), good(1))
	checkReply(t, New(&cfg), "type_unknown", []byte{0x80, 1, 0, 1, 0, 0, 0, 1, 'x', 0, 0, 0, 1, 99, 0, 1},
		good(1))
}

// checkReply compares the reply to a frame with the recorded bytes. The frame follows another one on a new
// connection.
func checkReply(t *testing.T, r *Registry, name string, frame, before []byte) {
	t.Helper()
	r.AddConn(startOfTest, 1)
	if name != "accepted" {
		r.HandleMessage(startOfTest, 1, r.Decode(before))
	}
	compareGolden(t, name, r.HandleMessage(startOfTest, 1, r.Decode(frame)).Reply)
}

// compareGolden compares a reply with the recorded bytes of testdata/golden.
func compareGolden(t *testing.T, name string, reply []byte) {
	t.Helper()
	goldentest.Compare(t, "golden/"+name+".bin", reply)
}
