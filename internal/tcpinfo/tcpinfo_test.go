package tcpinfo

import (
	"testing"
	"time"

	"cresspass/internal/tcptest"
)

// TestSinceData checks that SinceData counts from the arrival of the bytes, even if they are not read.
func TestSinceData(t *testing.T) {
	const wait, slack = 200 * time.Millisecond, 20 * time.Millisecond
	conn, peer := tcptest.Pair(t)
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	peer.Write([]byte("x"))
	time.Sleep(wait)
	if since := SinceData(raw); since < wait-slack {
		t.Errorf("SinceData is %v, want at least about %v", since, wait)
	}
	conn.Close()
	if since := SinceData(raw); since != 0 {
		t.Errorf("SinceData of a closed connection is %v, want 0", since)
	}
}
