package platform

import (
	"errors"
	"net"
	"os"
	"time"
)

// maxReadPastDeadline is how long after a deadline bytes that arrived before it may still be read.
const maxReadPastDeadline = 20 * time.Millisecond

// deadlineReader reads from a connection with deadlines, and after a deadline still reads what is there by
// then. Without that, on a saturated core, a deadline expires over bytes that arrived before it, and a read
// after a deadline does not look for them. It belongs to the goroutine that reads the connection.
type deadlineReader struct {
	conn       net.Conn
	hasUnread  func() bool                      // bytes are in the socket
	setTimeout func(timeout time.Duration) bool // of a read; false: the connection was given up
	expiredAt  time.Time                        // of the first of the reads in a row that met their deadline
}

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		r.expiredAt = time.Time{}
		return n, err
	}
	if now := time.Now(); r.expiredAt.IsZero() {
		r.expiredAt = now
	} else if now.Sub(r.expiredAt) > maxReadPastDeadline {
		return 0, err
	}
	if !r.hasUnread() || !r.setTimeout(maxReadPastDeadline) {
		return 0, err
	}
	n, err = r.conn.Read(b)
	r.setTimeout(0)
	return n, err
}
