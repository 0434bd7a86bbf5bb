// Package netlisten opens listeners and accepts connections on a machine that fails for a moment. Servers
// that take any error of Accept for the listener's end would accept nothing from then on.
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
	openRetryInterval   = 50 * time.Millisecond
	openRetryLimit      = 2 * time.Second       // after which the last error is returned
	acceptRetryInterval = 10 * time.Millisecond // after an Accept that failed on the local machine
	maxImmediateRetries = 16                    // of Accepts in a row that failed by their connections
)

// Open listens on a TCP address. If the machine fails for a moment, or a process that is ending still holds
// the address, it retries for a while.
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

// ResilientListener is a listener whose Accept fails only on a deadline or once the listener is closed. An
// error of one connection, or of the machine for a moment, does not end it.
type ResilientListener struct{ net.Listener }

// Accept waits for the next connection.
func (l ResilientListener) Accept() (net.Conn, error) {
	for failures := 1; ; failures++ {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if !oserr.IsPerConnection(err) || failures > maxImmediateRetries {
			time.Sleep(acceptRetryInterval)
		}
	}
}
