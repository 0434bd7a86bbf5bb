package platform

import (
	"context"
	"net"
	"syscall"
	"time"
)

// system holds the calls to the operating system that may fail for a moment, and the wall clock. Tests
// and the build for the fault soak replace them. It does not change once a service has it.
type system struct {
	dial   func(ctx context.Context, timeout time.Duration, addr string) (net.Conn, error)
	listen func(addr string) (net.Listener, error)
	accept func(listener *net.TCPListener) (*net.TCPConn, error)
	peek   func(fd uintptr) (int, error)
	now    func() time.Time // the wall clock, which may step
}

// newSystem returns the calls of a new service. The build for the fault soak replaces it.
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
		now:    time.Now,
	}
}

// peek looks at what is in a socket without waiting: 0 and no error at the end of the stream, EAGAIN where
// nothing is there.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// expired is a deadline that is over.
var expired = time.Unix(1, 0)

// sleepContext waits for a duration, or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
