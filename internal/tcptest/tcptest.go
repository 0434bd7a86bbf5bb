// Package tcptest creates TCP connections for tests.
package tcptest

import (
	"net"
	"testing"
)

// Pair returns the two ends of a new connection over the loopback interface: the accepted end and its peer.
// Both are closed at the end of the test.
func Pair(t *testing.T) (accepted, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err = net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	accepted, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted, peer
}
