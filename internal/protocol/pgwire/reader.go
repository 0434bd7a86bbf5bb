package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of the body lengths that a Reader accepts, in bytes.
const (
	MaxStartup = 10000   // same as PostgreSQL's MAX_STARTUP_PACKET_LENGTH
	MaxMessage = 1 << 26 // default limit of a message's body
)

const (
	lengthBytes = 4               // size of a message's length field, which counts itself
	headerBytes = 1 + lengthBytes // size of a message's type and length

	minStartupSize = 4 // size of a startup packet's code, in bytes

	// maxRetainedBuffer is the largest buffer that an idle reader keeps, in bytes.
	maxRetainedBuffer = 1024
)

// ErrFrame is wrapped by every error about a malformed message. After such an error, nothing more can be read
// from the connection.
var ErrFrame = errors.New("pgwire: broken frame")

// Message is one message of the protocol. Type is 0 for a packet of the startup phase.
type Message struct {
	Type byte
	Body []byte // without type and length
}

// Reader splits a stream of bytes into messages. The zero value reads typed messages of up to MaxMessage
// bytes. It is not safe for concurrent use.
type Reader struct {
	Startup bool                 // the next packet has no type byte
	Max     int                  // largest body in bytes; 0: MaxMessage
	Known   func(kind byte) bool // message types that are accepted; nil: all

	pending         []byte // bytes of an incomplete message
	unread          []byte // unread bytes of the last Push, or of pending
	unreadIsPending bool   // unread is a view of pending
}

// Push adds received bytes to the stream. The reader keeps no reference to them once Rest has been called.
func (r *Reader) Push(b []byte) {
	if len(r.pending) == 0 {
		r.unread, r.unreadIsPending = b, false
		return
	}
	r.pending = append(r.pending, b...)
	r.unread, r.unreadIsPending = r.pending, true
}

// Next returns the next complete message. ok is false if more bytes are needed.
func (r *Reader) Next() (m Message, ok bool, err error) {
	header := headerBytes
	if r.Startup {
		header = lengthBytes
	}
	if !r.Startup && len(r.unread) > 0 && r.Known != nil && !r.Known(r.unread[0]) {
		// The type is checked before the length has arrived. In a stream with broken framing, the bytes in
		// place of the length may ask for more than ever arrives, and the connection would wait forever.
		return m, false, fmt.Errorf("%w: message type %q", ErrFrame, r.unread[0])
	}
	if len(r.unread) < header {
		return m, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(r.unread[header-lengthBytes:]))) - lengthBytes
	if err := r.checkLength(n); err != nil {
		return m, false, err
	}
	if len(r.unread) < header+n {
		return m, false, nil
	}
	if !r.Startup {
		m.Type = r.unread[0]
	}
	m.Body = r.unread[header : header+n : header+n]
	r.unread = r.unread[header+n:]
	return m, true, nil
}

// checkLength returns an error unless a body of n bytes is allowed.
func (r *Reader) checkLength(n int) error {
	limit := r.Max
	if limit == 0 {
		limit = MaxMessage
	}
	if r.Startup {
		limit = MaxStartup
		if n < minStartupSize {
			return fmt.Errorf("%w: startup packet of %d bytes", ErrFrame, n)
		}
	}
	if n < 0 || n > limit {
		return fmt.Errorf("%w: length %d, at most %d", ErrFrame, n, limit)
	}
	return nil
}

// Rest copies the unread bytes, so that the caller may reuse the slice passed to Push, and returns their
// number. If nothing is unread, the reader keeps at most a buffer of maxRetainedBuffer bytes.
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

// FrontendType reports whether a client may send messages of type t ("Message Formats", F).
func FrontendType(t byte) bool {
	switch t {
	case 'B', 'C', 'd', 'c', 'f', 'D', 'E', 'H', 'F', 'p', 'P', 'Q', 'S', 'X':
		return true
	}
	return false
}

// BackendType reports whether a server may send messages of type t ("Message Formats", B).
func BackendType(t byte) bool {
	switch t {
	case 'R', 'K', '2', '3', 'C', 'd', 'c', 'G', 'H', 'W', 'D', 'I',
		'E', 'V', 'v', 'n', 'N', 'A', 't', 'S', '1', 's', 'Z', 'T':
		return true
	}
	return false
}
