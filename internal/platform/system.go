package platform

import (
	"context"
	"errors"
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

// ownMachine reports whether a call failed by our own machine, which tells nothing of the other side.
func ownMachine(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// ofOneConnection reports whether an accept failed by the connection that it was to take. Linux passes on
// what befell that connection; others wait behind it, and there is nothing to wait for (accept(2), "Error
// handling").
func ofOneConnection(err error) bool {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENETDOWN, syscall.EPROTO,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
		syscall.ENETUNREACH, syscall.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// transient reports whether a call that does not wait failed in a way that tells nothing of its connection.
func transient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// peek looks at what is there to be read: 0 and no error at the end.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
