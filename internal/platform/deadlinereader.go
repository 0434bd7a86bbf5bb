package platform

import (
	"errors"
	"net"
	"os"
	"time"
)

// maxReadPastDeadline is how long what came before a deadline may be read after it.
const maxReadPastDeadline = 20 * time.Millisecond

// deadlineReader reads from a connection with deadlines. Danger: on a full core a deadline may pass over
// bytes that came before it, and a read after a deadline does not look for them. What is there by then is
// read all the same, for a moment.
type deadlineReader struct {
	conn       net.Conn
	hasUnread  func() bool                 // something is there
	setTimeout func(by time.Duration) bool // sets the read deadline anew; false: the connection was given up
	expiredAt  time.Time                   // the first read after its deadline, of those in a row
}

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
