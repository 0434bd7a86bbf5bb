package tcpinfo

import (
	"testing"
	"time"

	"cresspass/internal/tcptest"
)

// TestSince: how long ago bytes, and then the end, came counts from their arrival, however late they are
// read.
func TestSince(t *testing.T) {
	const wait, slack = 200 * time.Millisecond, 20 * time.Millisecond
	conn, peer := tcptest.Pair(t)
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	peer.Write([]byte("x"))
	time.Sleep(wait)
	if since := SinceData(raw); since < wait-slack {
		t.Errorf("bytes came %v ago, want %v", since, wait)
	}
	peer.Close()
	if since := SinceSegment(raw); since > wait/2 {
		t.Errorf("the end came %v ago, want nearly 0", since)
	}
	time.Sleep(wait)
	if data, end := SinceData(raw), SinceSegment(raw); data < 2*wait-slack || end < wait-slack || end > data {
		t.Errorf("bytes came %v ago, the end %v ago; want %v and %v", data, end, 2*wait, wait)
	}
	conn.Close()
	if since := SinceData(raw); since != 0 {
		t.Errorf("of a closed connection: %v", since)
	}
}

// TestSinceIsNeverTooLong guards against an end of a connection that counted as earlier than its cause: the
// kernel counts in ticks.
func TestSinceIsNeverTooLong(t *testing.T) {
	const rounds = 3000
	conn, peer := tcptest.Pair(t)
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for range rounds {
		before := time.Now()
		peer.Write([]byte("x"))
		if data, segment := SinceData(raw), SinceSegment(raw); max(data, segment) > time.Since(before) {
			t.Fatalf("bytes came %v or %v ago, and were sent %v ago", data, segment, time.Since(before))
		}
		conn.Read(make([]byte, 1))
	}
}
