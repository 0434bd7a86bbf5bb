// Package netlisten opens listeners and accepts connections where the machine fails for a moment: servers that
// take an error of accept for the listener's end would be deaf from then on.
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
	openAgain   = 50 * time.Millisecond // before a socket is asked for again...
	openMost    = 2 * time.Second       // ...until so much has passed
	acceptAgain = 10 * time.Millisecond // after an accept that failed by the machine
	failedMost  = 16                    // accepts in a row that fail by their connections, without a pause
)

// Open listens at a TCP address. Where the machine fails for a moment, or the address is yet held by a
// process that ends, it tries again for a while.
func Open(addr string) (net.Listener, error) {
	return OpenWith(addr, func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) })
}

// OpenWith is Open with another way to listen.
func OpenWith(addr string, listen func(addr string) (net.Listener, error)) (net.Listener, error) {
	for begun := time.Now(); ; time.Sleep(openAgain) {
		ln, err := listen(addr)
		passing := oserr.OwnMachine(err) || errors.Is(err, syscall.EADDRINUSE)
		if err == nil || !passing || time.Since(begun) > openMost {
			return ln, err
		}
	}
}

// Lasting is a listener whose Accept fails only by a deadline or once it is closed: what befalls one
// connection, or the machine for a moment, ends nothing.
type Lasting struct{ net.Listener }

// Accept waits for the next connection.
func (l Lasting) Accept() (net.Conn, error) {
	for failed := 1; ; failed++ {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if !oserr.OfOneConnection(err) || failed > failedMost {
			time.Sleep(acceptAgain)
		}
	}
}
