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
