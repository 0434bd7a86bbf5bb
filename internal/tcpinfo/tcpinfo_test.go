package tcpinfo

import (
	"testing"
	"time"

	"cresspass/internal/tcptest"
)

// TestSinceData: how long ago bytes came counts from their arrival, however late they are read.
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
		t.Errorf("bytes came %v ago, want %v", since, wait)
	}
	conn.Close()
	if since := SinceData(raw); since != 0 {
		t.Errorf("of a closed connection: %v", since)
	}
}
