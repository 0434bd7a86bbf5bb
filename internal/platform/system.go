package platform

import (
	"context"
	"net"
	"syscall"
	"time"
)

// system is the calls of the operating system that may fail for a moment, and its wall clock. Tests and the
// build for the fault soak put others in their place.
type system struct {
	dial   func(ctx context.Context, timeout time.Duration, addr string) (net.Conn, error)
	listen func(addr string) (net.Listener, error)
	accept func(ln *net.TCPListener) (*net.TCPConn, error)
	peek   func(fd uintptr) (int, error)
	wall   func() time.Time
}

// newSystem returns the calls of a new dispatcher. The build for the fault soak replaces it.
var newSystem = realSystem

func realSystem() *system {
	return &system{
		dial: func(ctx context.Context, timeout time.Duration, addr string) (net.Conn, error) {
			d := net.Dialer{Timeout: timeout, KeepAlive: -1}
			return d.DialContext(ctx, "tcp", addr)
		},
		listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		accept: (*net.TCPListener).AcceptTCP,
		peek:   peek,
		wall:   time.Now,
	}
}

// peek looks at what is there to be read: 0 and no error at the end.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
