package tcpinfo

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection at this end.
type State int

// The states that this package tells apart.
const (
	Unknown    State = iota // the kernel does not tell
	Open                    // neither end has closed the connection
	PeerClosed              // the peer has closed or reset it; there may be unread input
	OtherState              // this end has closed it, or it is not established yet
)

// StateOf returns the state of a connection. Unlike a read, it notices that the peer has closed the
// connection before the input that came before is read.
func StateOf(conn syscall.RawConn) (state State) {
	// Control fails on a connection that this end has closed.
	state = OtherState
	_ = conn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
			state = Unknown
		case info.State == unix.BPF_TCP_ESTABLISHED:
			state = Open
		case info.State == unix.BPF_TCP_CLOSE_WAIT, info.State == unix.BPF_TCP_CLOSE:
			state = PeerClosed
		}
	})
	return state
}
