package daemon

import "time"

// The protocol of a handover, between processes that may be of different builds. Each message is a line.
//
// The successor connects to the predecessor's Unix socket and sends "socket". The predecessor answers "here"
// with its listening sockets as a control message (SCM_RIGHTS, unix(7)), PostgreSQL's first and then Flight
// SQL's where it is served, or "no" and a reason. Both accept connections from then on. The successor sends
// "serving" once it does. The predecessor then sends "draining", drains, and lets go of its state directory
// and of the Unix socket, which the successor then holds. A connection that ends before "serving" is a
// successor that died: the predecessor goes on alone.
const (
	messageRequest   = "socket"
	messageListeners = "here"
	messageRejected  = "no"
	messageServing   = "serving"
	messageDraining  = "draining"
)

// maxListeners are handed over: one for each front.
const maxListeners = 2

const (
	// successorWriteTimeout bounds a write to a successor, which may hang.
	successorWriteTimeout = time.Second
	// predecessorTimeout bounds the wait for the listening sockets of a predecessor, which may hang.
	predecessorTimeout = 10 * time.Second
	// endpointListTimeout is how long a successor waits for an endpoint list before it gives up.
	endpointListTimeout = 10 * time.Second
	// socketTimeout is how long a Unix socket that another process answers on is waited for, and
	// socketInterval the time between two looks at it.
	socketTimeout  = 5 * time.Second
	socketInterval = 20 * time.Millisecond
)
