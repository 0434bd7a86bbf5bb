package rulecheck

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// timespecSize is the size in bytes of the kernel's arrival time: seconds and nanoseconds of 8 bytes each.
const timespecSize = 16

// arrivalReader reads a TCP connection and returns the times at which the kernel received the bytes. A time
// taken by the reading goroutine would be later, by as long as the goroutine had to wait for a processor.
type arrivalReader struct {
	raw     syscall.RawConn
	control []byte // buffer for the control message with the time
}

// newArrivalReader makes the kernel record, from now on, the times at which it receives the bytes of a
// connection (SO_TIMESTAMPNS).
func newArrivalReader(conn *net.TCPConn) (*arrivalReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err := errors.Join(err, optionErr); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	return &arrivalReader{raw: raw, control: make([]byte, unix.CmsgSpace(timespecSize))}, nil
}

// Read reads bytes as a net.Conn does. arrived is the time at which the kernel received the last of them, or
// the current time if the kernel recorded none.
func (r *arrivalReader) Read(b []byte) (n int, arrived time.Time, err error) {
	var controlSize int
	var readErr error
	err = r.raw.Read(func(fd uintptr) (done bool) {
		for {
			n, controlSize, _, _, readErr = unix.Recvmsg(int(fd), b, r.control, 0)
			if !errors.Is(readErr, unix.EINTR) {
				return !errors.Is(readErr, unix.EAGAIN)
			}
		}
	})
	now := time.Now()
	switch {
	case err != nil:
		return 0, now, err
	case readErr != nil:
		return 0, now, os.NewSyscallError("recvmsg", readErr)
	case n == 0:
		return 0, now, io.EOF
	}
	return n, now.Add(-waitSince(now, r.control[:controlSize])), nil
}

// waitSince returns how long before now the bytes arrived, according to the control message that came with
// them; 0: the message has no time.
func waitSince(now time.Time, control []byte) time.Duration {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		isTime := m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SCM_TIMESTAMPNS
		if isTime && len(m.Data) >= timespecSize {
			seconds := int64(binary.NativeEndian.Uint64(m.Data))
			nanoseconds := int64(binary.NativeEndian.Uint64(m.Data[timespecSize/2:]))
			return max(now.Sub(time.Unix(seconds, nanoseconds)), 0)
		}
	}
	return 0
}
