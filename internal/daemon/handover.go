package daemon

import "time"

// The handover protocol runs between two processes, which may be different builds. Each message is one line.
//
// The successor connects to the predecessor's Unix socket and sends "socket". The predecessor answers "here"
// with its listening sockets in a control message (SCM_RIGHTS, unix(7)), PostgreSQL's first and then Flight
// SQL's if it is served. Or it answers "no" and a reason. After "here" both processes accept connections. The
// successor sends "serving" once it serves. The predecessor then releases the Unix socket, sends "draining",
// drains, and releases its state directory. The successor takes over the Unix socket and the state directory.
// If the connection ends before "serving", the successor has died or given up, and the predecessor continues
// alone.
const (
	messageRequest   = "socket"
	messageListeners = "here"
	messageRejected  = "no"
	messageServing   = "serving"
	messageDraining  = "draining"
)

// maxListeners is how many listening sockets are handed over at most: one for each frontend.
const maxListeners = 2

const (
	descriptorSize = 4   // bytes of a file descriptor in a control message
	maxAnswerSize  = 256 // bytes that a successor reads of the predecessor's first answer
)

const (
	// successorWriteTimeout bounds a write to a successor that may hang.
	successorWriteTimeout = time.Second
	// predecessorTimeout bounds the wait for the listening sockets of a predecessor that may hang.
	predecessorTimeout = 10 * time.Second
	// endpointListTimeout is how long a successor waits for its first endpoint list before it gives up.
	endpointListTimeout = 10 * time.Second
	// socketTimeout is how long listenUnix waits for another process to release the Unix socket, and
	// socketInterval is the time between two attempts.
	socketTimeout  = 5 * time.Second
	socketInterval = 20 * time.Millisecond
)
