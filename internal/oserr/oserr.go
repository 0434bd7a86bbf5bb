// Package oserr classifies errors of system calls by what they concern: the local machine, which says
// nothing of the other side, or one connection alone.
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

// IsLocal reports whether a call failed on the local machine, which says nothing of the other side.
func IsLocal(err error) bool { return isAny(err, localErrors) }

// IsPerConnection reports whether an accept failed by the connection that it was to return. Linux passes on
// the pending network errors of that connection; others wait behind it, so that the accept is to be retried
// at once (accept(2), "Error handling").
func IsPerConnection(err error) bool { return isAny(err, perConnectionErrors) }

// IsTransient reports whether a non-blocking call failed in a way that says nothing of its connection.
func IsTransient(err error) bool { return isAny(err, transientErrors) }

func isAny(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
