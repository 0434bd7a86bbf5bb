package netlisten

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// scriptedListener returns the errors of a list from Accept, and then net.ErrClosed.
type scriptedListener struct {
	net.Listener
	errs  []error
	calls int
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.calls++
	if l.calls > len(l.errs) {
		return nil, net.ErrClosed
	}
	return nil, l.errs[l.calls-1]
}

// TestAcceptOutlivesErrors checks that Accept retries after an error of one connection or of the local
// machine, and returns after a deadline or a close.
func TestAcceptOutlivesErrors(t *testing.T) {
	perConnection, local := os.NewSyscallError("accept", syscall.ECONNABORTED), syscall.EMFILE
	for name, c := range map[string]struct {
		errs  []error
		calls int
		want  error
	}{
		"closed":         {nil, 1, net.ErrClosed},
		"per connection": {[]error{perConnection, perConnection}, 3, net.ErrClosed},
		"local":          {[]error{local, perConnection}, 3, net.ErrClosed},
		"deadline":       {[]error{local, os.ErrDeadlineExceeded}, 2, os.ErrDeadlineExceeded},
	} {
		l := &scriptedListener{errs: c.errs}
		if _, err := (ResilientListener{l}).Accept(); !errors.Is(err, c.want) || l.calls != c.calls {
			t.Errorf("%s: %v after %d calls, want %v after %d", name, err, l.calls, c.want, c.calls)
		}
	}
}

// TestOpenRetriesWhatPasses checks that Open retries if the address is in use or the local machine has a
// temporary error, and returns any other error at once.
func TestOpenRetriesWhatPasses(t *testing.T) {
	for name, c := range map[string]struct {
		errs  []error
		calls int
		want  error
	}{
		"in use, then no descriptors left": {[]error{syscall.EADDRINUSE, syscall.EMFILE, nil}, 3, nil},
		"not permitted":                    {[]error{syscall.EACCES, nil}, 1, syscall.EACCES},
	} {
		calls := 0
		_, err := OpenFunc("addr", func(string) (net.Listener, error) {
			calls++
			return nil, c.errs[calls-1]
		})
		if !errors.Is(err, c.want) || calls != c.calls {
			t.Errorf("%s: %v after %d calls, want %v after %d", name, err, calls, c.want, c.calls)
		}
	}
}
