package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of the lengths that a reader accepts, in bytes.
const (
	MaxStartup = 10000   // as PostgreSQL's own MAX_STARTUP_PACKET_LENGTH
	MaxMessage = 1 << 26 // default for a message's body
)

const (
	lengthBytes = 4               // a message's length, which counts itself
	headBytes   = 1 + lengthBytes // a message's type and length

	minStartup = 4 // a startup packet's code

	// maxRetainedBuffer is the size of the buffer that an idle reader may keep, in bytes.
	maxRetainedBuffer = 1024
)

// ErrFrame is the kind of every error of a malformed message. After one, a connection cannot be read on.
var ErrFrame = errors.New("pgwire: broken frame")

// Message is one message. Type is 0 for a packet of the startup phase.
type Message struct {
	Type byte
	Body []byte // without type and length
}

// Reader cuts a stream of bytes into messages. The zero value reads typed messages of up to MaxMessage bytes.
type Reader struct {
	Startup bool                 // the next packet has no type byte
	Max     int                  // largest body in bytes; 0: MaxMessage
	Known   func(kind byte) bool // message types that are accepted; nil: all

	pending         []byte // bytes of a message that is not complete
	unread          []byte // unread bytes of the present Push, or of pending
	unreadIsPending bool   // unread is a view of pending
}

// Push gives the reader bytes that arrived. It keeps no reference to them after Rest was called.
func (r *Reader) Push(b []byte) {
	if len(r.pending) == 0 {
		r.unread, r.unreadIsPending = b, false
		return
	}
	r.pending = append(r.pending, b...)
	r.unread, r.unreadIsPending = r.pending, true
}

// Next returns the next complete message, or ok false where bytes are missing.
func (r *Reader) Next() (m Message, ok bool, err error) {
	head := headBytes
	if r.Startup {
		head = lengthBytes
	}
	if !r.Startup && len(r.unread) > 0 && r.Known != nil && !r.Known(r.unread[0]) {
		// The type is judged before the length has come: in a stream that lost its frame, the bytes where the
		// length should stand may ask for more than ever arrives, and the connection would wait for ever.
		return m, false, fmt.Errorf("%w: message type %q", ErrFrame, r.unread[0])
	}
	if len(r.unread) < head {
		return m, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(r.unread[head-lengthBytes:]))) - lengthBytes
	if err := r.checkLength(n); err != nil {
		return m, false, err
	}
	if len(r.unread) < head+n {
		return m, false, nil
	}
	if !r.Startup {
		m.Type = r.unread[0]
	}
	m.Body = r.unread[head : head+n : head+n]
	r.unread = r.unread[head+n:]
	return m, true, nil
}

// checkLength returns an error unless a body may have n bytes.
func (r *Reader) checkLength(n int) error {
	limit := r.Max
	if limit == 0 {
		limit = MaxMessage
	}
	if r.Startup {
		limit = MaxStartup
		if n < minStartup {
			return fmt.Errorf("%w: startup packet of %d bytes", ErrFrame, n)
		}
	}
	if n < 0 || n > limit {
		return fmt.Errorf("%w: length %d, at most %d", ErrFrame, n, limit)
	}
	return nil
}

// Rest copies what is not yet read, so that the caller may use the bytes of Push again, and returns how many
// bytes that is. An idle reader holds no buffer.
func (r *Reader) Rest() int {
	n := len(r.unread)
	switch {
	case n == 0:
		if cap(r.pending) > maxRetainedBuffer {
			r.pending = nil
		}
		r.pending = r.pending[:0]
	case r.unreadIsPending:
		r.pending = r.pending[:copy(r.pending, r.unread)]
	default:
		r.pending = append(r.pending[:0], r.unread...)
	}
	r.unread = nil
	return n
}

// FrontendType reports whether a client may send messages of this type ("Message Formats", F).
func FrontendType(t byte) bool {
	switch t {
	case 'B', 'C', 'd', 'c', 'f', 'D', 'E', 'H', 'F', 'p', 'P', 'Q', 'S', 'X':
		return true
	}
	return false
}

// BackendType reports whether a server may send messages of this type ("Message Formats", B).
func BackendType(t byte) bool {
	switch t {
	case 'R', 'K', '2', '3', 'C', 'd', 'c', 'G', 'H', 'W', 'D', 'I',
		'E', 'V', 'v', 'n', 'N', 'A', 't', 'S', '1', 's', 'Z', 'T':
		return true
	}
	return false
}
