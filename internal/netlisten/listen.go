// Package netlisten opens listeners and accepts connections where the machine fails for a moment: servers
// that take an error of accept for the listener's end would be deaf from then on.
package netlisten

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cresspass/internal/oserr"
)

const (
	openRetryInterval   = 50 * time.Millisecond // before a socket is asked for again...
	openRetryLimit      = 2 * time.Second       // ...until so much has passed
	acceptRetryInterval = 10 * time.Millisecond // after an accept that failed by the machine
	maxImmediateRetries = 16                    // accepts in a row that fail by their connections, without a pause
)

// Open listens at a TCP address. Where the machine fails for a moment, or the address is yet held by a
// process that ends, it tries again for a while.
func Open(addr string) (net.Listener, error) {
	return OpenFunc(addr, func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) })
}

// OpenFunc is Open with another way to listen.
func OpenFunc(addr string, listen func(addr string) (net.Listener, error)) (net.Listener, error) {
	for startedAt := time.Now(); ; time.Sleep(openRetryInterval) {
		ln, err := listen(addr)
		temporary := oserr.IsLocal(err) || errors.Is(err, syscall.EADDRINUSE)
		if err == nil || !temporary || time.Since(startedAt) > openRetryLimit {
			return ln, err
		}
	}
}

// ResilientListener is a listener whose Accept fails only by a deadline or once it is closed: what befalls
// one connection, or the machine for a moment, ends nothing.
type ResilientListener struct{ net.Listener }

// Accept waits for the next connection.
func (l ResilientListener) Accept() (net.Conn, error) {
	for failures := 1; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if !oserr.IsPerConnection(err) || failures > maxImmediateRetries {
			time.Sleep(acceptRetryInterval)
		}
	}
}
