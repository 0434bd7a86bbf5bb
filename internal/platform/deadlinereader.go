package platform

import (
	"errors"
	"net"
	"os"
	"time"
)

// maxReadPastDeadline is how long after a deadline bytes that arrived before it can still be read.
const maxReadPastDeadline = 20 * time.Millisecond

// deadlineReader reads from a connection with deadlines. After a deadline it still reads bytes that are
// already in the socket: on a saturated core a deadline may pass before the goroutine runs, and a read after
// its deadline does not check for bytes that arrived before it. It belongs to the goroutine that reads the
// connection.
type deadlineReader struct {
	conn       net.Conn
	hasUnread  func() bool                      // reports whether there are bytes in the socket
	setTimeout func(timeout time.Duration) bool // for the next read; false if the connection was abandoned
	expiredAt  time.Time                        // first of the consecutive reads that passed their deadline
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
