// Package tcpinfo asks the kernel when something last came on a TCP connection, by TCP_INFO of tcp(7). The
// time at which a goroutine reads it is later by as long as the goroutine waited for a processor.
package tcpinfo

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tick is the step in which the kernel counts (CONFIG_HZ of 250 or more): a time may seem longer by one.
const tick = 4 * time.Millisecond

// SinceData returns for how long at least the last bytes on a connection have been there, to a few
// milliseconds; 0: the kernel does not say.
func SinceData(conn syscall.RawConn) time.Duration {
	return milliseconds(get(conn).Last_data_recv)
}

// SinceSegment returns how long ago at least the kernel received the last segment with an acknowledgement, to
// a few milliseconds; 0: it does not say. After the end of a stream that is the end itself, for whoever has
// closed a connection acknowledges nothing more.
func SinceSegment(conn syscall.RawConn) time.Duration {
	return milliseconds(get(conn).Last_ack_recv)
}

// get returns what the kernel knows of a connection; all is 0 where it does not say.
func get(conn syscall.RawConn) (info unix.TCPInfo) {
	// Control fails on a closed connection, and leaves all at 0.
	_ = conn.Control(func(fd uintptr) {
		if answer, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *answer
		}
	})
	return info
}

func milliseconds(n uint32) time.Duration {
	return max(time.Duration(n)*time.Millisecond-tick, 0)
}
