// Package netlisten opens listeners and accepts connections despite temporary errors of the local machine.
// Servers that treat any error of Accept as the end of the listener would accept no more connections after
// such an error.
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
	openRetryLimit      = 2 * time.Second       // after this, the last error is returned
	acceptRetryInterval = 10 * time.Millisecond // after an error of the local machine
	maxImmediateRetries = 16                    // failures in a row; after them, Accept waits after any error
)

// Open listens on a TCP address. It retries for openRetryLimit after a temporary error of the local machine,
// or while another process, such as one that is exiting, still holds the address.
func Open(addr string) (net.Listener, error) {
	return OpenFunc(addr, func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) })
}

// OpenFunc is like Open but calls listen to open the listener.
func OpenFunc(addr string, listen func(addr string) (net.Listener, error)) (net.Listener, error) {
	for startedAt := time.Now(); ; time.Sleep(openRetryInterval) {
		ln, err := listen(addr)
		temporary := oserr.IsLocal(err) || errors.Is(err, syscall.EADDRINUSE)
		if err == nil || !temporary || time.Since(startedAt) > openRetryLimit {
			return ln, err
		}
	}
}

// ResilientListener is a listener whose Accept returns an error only if a deadline passes or the listener is
// closed. After an error of one connection or of the local machine it tries again.
type ResilientListener struct{ net.Listener }

// Accept waits for the next connection and retries after errors other than a deadline or a closed listener.
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
