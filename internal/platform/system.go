package platform

import (
	"context"
	"net"
	"syscall"
	"time"
)

// system holds the operating system calls that may fail transiently, and the wall clock. Tests and the fault
// soak's build replace them. It does not change once a service uses it.
type system struct {
	dial   func(ctx context.Context, timeout time.Duration, addr string) (net.Conn, error)
	listen func(addr string) (net.Listener, error)
	accept func(listener *net.TCPListener) (*net.TCPConn, error)
	peek   func(fd uintptr) (int, error)
	now    func() time.Time // the wall clock, which may jump
}

// newSystem returns the system of a new service. The fault soak's build and tests replace it.
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

// peek checks for input in a socket without waiting or consuming it. It returns 0 and no error at the end of
// the stream, and EAGAIN if there is no input.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// expired is a deadline in the past, which ends reads and writes at once.
var expired = time.Unix(1, 0)

// sleepContext sleeps for a duration, or until the context is done.
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
