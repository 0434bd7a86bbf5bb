// Package tcpinfo asks the kernel when something last came on a TCP connection, by TCP_INFO of tcp(7). The
// time at which a goroutine reads it is later by as long as the goroutine waited for a processor.
package tcpinfo

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceData returns how long ago the last bytes on a connection came; 0: the kernel does not say. The kernel
// counts in ticks of some milliseconds, and a busy machine may skip some: it is not fit to order two events.
func SinceData(conn syscall.RawConn) (since time.Duration) {
	// Control fails on a closed connection, and leaves it at 0.
	_ = conn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
