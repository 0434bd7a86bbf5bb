// Package oserr classifies errors of system calls: those of the local machine, which say nothing about the
// peer, and those of a single connection. Its functions may be called from several goroutines.
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

// IsLocal reports whether a call failed because of the local machine, which says nothing about the peer.
func IsLocal(err error) bool { return isAny(err, localErrors) }

// IsPerConnection reports whether an accept failed because of the connection it would have returned. Linux
// returns pending network errors of that connection from accept. Other connections may wait behind it, so the
// accept should be retried at once (accept(2), "Error handling").
func IsPerConnection(err error) bool { return isAny(err, perConnectionErrors) }

// IsTransient reports whether a non-blocking call failed for a temporary reason that has nothing to do with
// its connection.
func IsTransient(err error) bool { return isAny(err, transientErrors) }

func isAny(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
