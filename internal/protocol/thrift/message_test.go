package thrift

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// TestRequestRoundTrip checks that an encoded request decodes to the same values, and that every truncation
// of it, and a trailing byte, is an error.
func TestRequestRoundTrip(t *testing.T) {
	call := Dispatch{Fields: Fields{{"verb", "report"}, {"txn", "00ff"}}, Body: []byte("SELECT 1")}
	frame := call.Append(nil, 7)
	if n := binary.BigEndian.Uint32(frame); int(n) != len(frame)-FrameHeaderBytes {
		t.Fatalf("the frame header gives a length of %d bytes, want %d", n, len(frame)-FrameHeaderBytes)
	}
	r, err := ParseRequest(frame[FrameHeaderBytes:])
	if err != nil || r.Name != "dispatch" || r.Seq != 7 || r.Type != Call ||
		r.Dispatch.Fields.Get("verb") != "report" ||
		r.Dispatch.Fields.Get("txn") != "00ff" || string(r.Dispatch.Body) != "SELECT 1" {
		t.Fatalf("decoded dispatch call: %+v, error %v", r, err)
	}
	for i := FrameHeaderBytes; i < len(frame); i++ {
		if _, err := ParseRequest(frame[FrameHeaderBytes:i]); err == nil {
			t.Fatalf("no error for the first %d bytes of %d", i, len(frame))
		}
	}
	if _, err := ParseRequest(append(frame[FrameHeaderBytes:], 0)); err == nil {
		t.Error("no error for a byte after the message")
	}
	r, err = ParseRequest(CancelRequest{TargetSeq: 7}.Append(nil, 9)[FrameHeaderBytes:])
	if err != nil || r.Name != "cancelRequest" || r.Type != Oneway || r.Cancel.TargetSeq != 7 {
		t.Errorf("decoded cancel request: %+v, error %v", r, err)
	}
	if r, err = ParseRequest(Alive{}.Append(nil, 2)[FrameHeaderBytes:]); err != nil || r.Name != "alive" {
		t.Errorf("decoded alive call: %+v, error %v", r, err)
	}
}

// FuzzRequest checks that decoding arbitrary bytes ends without a panic, and that the body is not longer than
// the frame.
func FuzzRequest(f *testing.F) {
	f.Add(Dispatch{Fields: Fields{{"verb", "x"}}, Body: []byte("SELECT 1")}.Append(nil, 1)[FrameHeaderBytes:])
	f.Add(CancelRequest{TargetSeq: 2}.Append(nil, 1)[FrameHeaderBytes:])
	f.Add([]byte{0x80, 1, 0, 1, 0, 0, 0, 1, 'x', 0, 0, 0, 1, 15, 0, 1, 12, 0x7f, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0x80, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1}, bytes.Repeat([]byte{12, 0, 9}, 40)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ParseRequest(b)
		if err == nil && len(r.Dispatch.Body) > len(b) {
			t.Error("the body is longer than its frame")
		}
	})
}

// TestFieldsLookup checks that a repeated name has its last value, and that a missing name is distinguished
// from one with an empty value.
func TestFieldsLookup(t *testing.T) {
	fields := Fields{{"verb", "first"}, {"team", ""}, {"verb", "last"}}
	if got := fields.Get("verb"); got != "last" {
		t.Errorf("verb is %q, want the last value", got)
	}
	if value, ok := fields.Lookup("team"); !ok || value != "" {
		t.Errorf("team is %q, present: %v, want an empty value", value, ok)
	}
	if value, ok := fields.Lookup("item"); ok || value != "" {
		t.Errorf("item is %q, present: %v, want none", value, ok)
	}
}
