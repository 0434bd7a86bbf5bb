package oserr

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestClassesOfErrors checks that an errno is found inside the errors that wrap it. Some errnos count both as
// local and as per connection, because connect and accept report them with different meanings.
func TestClassesOfErrors(t *testing.T) {
	for name, c := range map[string]struct {
		err                             error
		local, perConnection, transient bool
	}{
		"none":                {nil, false, false, false},
		"no errno":            {errors.New("x"), false, false, false},
		"refused":             {syscall.ECONNREFUSED, false, false, false},
		"descriptors":         {syscall.EMFILE, true, false, false},
		"ports":               {syscall.EADDRNOTAVAIL, true, false, false},
		"memory":              {syscall.ENOMEM, true, false, true},
		"interrupted":         {syscall.EINTR, true, true, true},
		"aborted":             {syscall.ECONNABORTED, false, true, false},
		"network unreachable": {syscall.ENETUNREACH, true, true, false},
		"wrapped": {&net.OpError{Op: "accept", Err: os.NewSyscallError("accept", syscall.ENFILE)},
			true, false, false},
	} {
		local, perConnection, transient := IsLocal(c.err), IsPerConnection(c.err), IsTransient(c.err)
		if local != c.local || perConnection != c.perConnection || transient != c.transient {
			t.Errorf("%s: local %v, per connection %v, transient %v", name, local, perConnection, transient)
		}
	}
}
