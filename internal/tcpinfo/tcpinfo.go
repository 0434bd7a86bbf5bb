// Package tcpinfo asks the kernel when data was last received on a TCP connection, by the TCP_INFO option of
// tcp(7). The time at which a goroutine reads the data is later by as long as the goroutine waits for a
// processor.
package tcpinfo

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceData returns how long ago the last bytes on a connection were received, or 0 if the kernel does not
// tell. The kernel counts in ticks of some milliseconds, and a busy machine may skip ticks, so the value
// cannot be used to order two events.
func SinceData(conn syscall.RawConn) (since time.Duration) {
	// Control fails on a closed connection; since is then 0.
	_ = conn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
