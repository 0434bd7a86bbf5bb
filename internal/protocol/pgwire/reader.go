// Package pgwire reads and writes the messages of the PostgreSQL frontend/backend protocol, version 3, as a
// server to clients and as a client to engines. It follows PostgreSQL's documentation, part VII, chapter
// "Frontend/Backend Protocol"; the sections named below are of that chapter.
//
// Reading is incremental: however the bytes are split, the same messages come out. Nothing is allocated for a
// message; its body is a view of the reader's bytes, valid until the next call.
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Codes that a startup packet carries in place of a version ("Message Formats": StartupMessage and its kin).
const (
	Version30  = 3 << 16
	Version32  = 3<<16 | 2
	CodeCancel = 1234<<16 | 5678
	CodeTLS    = 1234<<16 | 5679
	CodeGSS    = 1234<<16 | 5680
)

// Limits of what a reader believes, in bytes.
const (
	MaxStartup = 10000   // as PostgreSQL's own MAX_STARTUP_PACKET_LENGTH
	MaxMessage = 1 << 26 // default for a message's body
)

// ErrFrame is the kind of every error of a broken frame. After one, a connection cannot be read on.
var ErrFrame = errors.New("pgwire: broken frame")

// Message is one message. Type is 0 for a packet of the startup phase.
type Message struct {
	Type byte
	Body []byte // without type and length
}

// Reader cuts a stream of bytes into messages. The zero value reads typed messages of up to MaxMessage bytes.
type Reader struct {
	Startup bool // the next packet has no type byte
	Max     int  // largest body in bytes; 0: MaxMessage
	Known   func(kind byte) bool

	kept []byte // bytes of a message that is not complete
	data []byte // unread bytes of the present Push, or of kept
	own  bool   // data is a view of kept
}

// Push gives the reader bytes that arrived. It keeps no reference to them after Rest was called.
func (r *Reader) Push(b []byte) {
	if len(r.kept) == 0 {
		r.data, r.own = b, false
		return
	}
	r.kept = append(r.kept, b...)
	r.data, r.own = r.kept, true
}

// Next returns the next complete message, or ok false where bytes are wanting.
func (r *Reader) Next() (m Message, ok bool, err error) {
	head := 5
	if r.Startup {
		head = 4
	}
	if !r.Startup && len(r.data) > 0 && r.Known != nil && !r.Known(r.data[0]) {
		// Danger: a stream that lost its frame would wait for ever for a length that is none.
		return m, false, fmt.Errorf("%w: message type %q", ErrFrame, r.data[0])
	}
	if len(r.data) < head {
		return m, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(r.data[head-4:]))) - 4
	most := r.Max
	if most == 0 {
		most = MaxMessage
	}
	if r.Startup {
		most = MaxStartup
		if n < 4 {
			return m, false, fmt.Errorf("%w: startup packet of %d bytes", ErrFrame, n)
		}
	}
	if n < 0 || n > most {
		return m, false, fmt.Errorf("%w: length %d, at most %d", ErrFrame, n, most)
	}
	if len(r.data) < head+n {
		return m, false, nil
	}
	if !r.Startup {
		m.Type = r.data[0]
	}
	m.Body = r.data[head : head+n : head+n]
	r.data = r.data[head+n:]
	return m, true, nil
}

// Rest keeps what is not yet read, so that the bytes of Push may be used again, and returns how many it
// keeps. An idle reader holds no buffer.
func (r *Reader) Rest() int {
	n := len(r.data)
	switch {
	case n == 0:
		if cap(r.kept) > 1024 {
			r.kept = nil
		}
		r.kept = r.kept[:0]
	case r.own:
		r.kept = r.kept[:copy(r.kept, r.data)]
	default:
		r.kept = append(r.kept[:0], r.data...)
	}
	r.data = nil
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
	case 'R', 'K', '2', '3', 'C', 'd', 'c', 'G', 'H', 'W', 'D', 'I', 'E', 'V', 'v', 'n', 'N', 'A', 't', 'S',
		'1',
		's', 'Z', 'T':
		return true
	}
	return false
}

// body reads the fields of a message. After a fault all reads return zero values.
type body struct {
	b   []byte
	bad bool
}

func (d *body) text() []byte {
	for i, c := range d.b {
		if c == 0 {
			s := d.b[:i:i]
			d.b = d.b[i+1:]
			return s
		}
	}
	d.bad, d.b = true, nil
	return nil
}

func (d *body) byte() byte {
	if len(d.b) < 1 {
		d.bad = true
		return 0
	}
	c := d.b[0]
	d.b = d.b[1:]
	return c
}

func (d *body) int16() int {
	if len(d.b) < 2 {
		d.bad, d.b = true, nil
		return 0
	}
	v := int(binary.BigEndian.Uint16(d.b))
	d.b = d.b[2:]
	return v
}

func (d *body) int32() int32 {
	if len(d.b) < 4 {
		d.bad, d.b = true, nil
		return 0
	}
	v := int32(binary.BigEndian.Uint32(d.b))
	d.b = d.b[4:]
	return v
}

func (d *body) take(n int) []byte {
	if n < 0 || len(d.b) < n {
		d.bad, d.b = true, nil
		return nil
	}
	s := d.b[:n:n]
	d.b = d.b[n:]
	return s
}

// end returns an error unless the message was read whole and without a fault.
func (d *body) end(name string) error {
	if d.bad || len(d.b) > 0 {
		return fmt.Errorf("%w: %s", ErrFrame, name)
	}
	return nil
}
