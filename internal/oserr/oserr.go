// Package oserr tells what errors of system calls mean: that they come from our own machine, and tell nothing
// of the other side, or from one connection alone.
package oserr

import (
	"errors"
	"slices"
	"syscall"
)

var (
	localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR}
	perConnectionErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.ENETDOWN, syscall.EPROTO,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
		syscall.ENETUNREACH, syscall.EINTR}
	transientErrors = []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}
)

// IsLocal reports whether a call failed by our own machine, which tells nothing of the other side.
func IsLocal(err error) bool { return isAny(err, localErrors) }

// IsPerConnection reports whether an accept failed by the connection that it was to take. Linux passes on
// what befell that connection; others wait behind it, and there is nothing to wait for (accept(2), "Error
// handling").
func IsPerConnection(err error) bool { return isAny(err, perConnectionErrors) }

// IsTransient reports whether a call that does not wait failed in a way that tells nothing of its connection.
func IsTransient(err error) bool { return isAny(err, transientErrors) }

func isAny(err error, of []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(of, errno)
}
