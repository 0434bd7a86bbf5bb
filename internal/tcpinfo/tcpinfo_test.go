package tcpinfo

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestSince: how long ago bytes, and then the end, came counts from their arrival, however late they are
// read.
func TestSince(t *testing.T) {
	const wait, slack = 200 * time.Millisecond, 20 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
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
