package platform

import (
	"errors"
	"net"
	"os"
	"time"
)

// lateMost is how long what came before a deadline may be read after it.
const lateMost = 20 * time.Millisecond

// lateReader reads from a connection with deadlines. Danger: on a full core a deadline may pass over bytes
// that came before it, and a read after a deadline does not look for them. What is there by then is read
// all the same, for a moment.
type lateReader struct {
	net    net.Conn
	unread func() bool                 // something is there
	extend func(by time.Duration) bool // sets the read deadline anew; false: the connection was given up
	since  time.Time                   // the first read after its deadline, of those in a row
}

func (r *lateReader) Read(b []byte) (int, error) {
	n, err := r.net.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		r.since = time.Time{}
		return n, err
	}
	if now := time.Now(); r.since.IsZero() {
		r.since = now
	} else if now.Sub(r.since) > lateMost {
		return 0, err
	}
	if !r.unread() || !r.extend(lateMost) {
		return 0, err
	}
	n, err = r.net.Read(b)
	r.extend(0)
	return n, err
}
