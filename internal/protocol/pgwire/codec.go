package pgwire

import (
	"encoding/binary"
	"fmt"
)

// bodyDecoder reads the fields of a message's body. After a malformed field all reads return zero values.
type bodyDecoder struct {
	b         []byte // unread
	malformed bool
}

// text reads a string up to its terminating zero byte.
func (d *bodyDecoder) text() []byte {
	for i, c := range d.b {
		if c == 0 {
			s := d.b[:i:i]
			d.b = d.b[i+1:]
			return s
		}
	}
	d.malformed, d.b = true, nil
	return nil
}

func (d *bodyDecoder) byte() byte {
	if len(d.b) < 1 {
		d.malformed = true
		return 0
	}
	c := d.b[0]
	d.b = d.b[1:]
	return c
}

func (d *bodyDecoder) int16() int {
	if len(d.b) < 2 {
		d.malformed, d.b = true, nil
		return 0
	}
	v := int(binary.BigEndian.Uint16(d.b))
	d.b = d.b[2:]
	return v
}

func (d *bodyDecoder) int32() int32 {
	if len(d.b) < 4 {
		d.malformed, d.b = true, nil
		return 0
	}
	v := int32(binary.BigEndian.Uint32(d.b))
	d.b = d.b[4:]
	return v
}

// take reads n bytes.
func (d *bodyDecoder) take(n int) []byte {
	if n < 0 || len(d.b) < n {
		d.malformed, d.b = true, nil
		return nil
	}
	s := d.b[:n:n]
	d.b = d.b[n:]
	return s
}

// end returns an error unless the body was well formed and has been read completely. name is the message's
// name in the error.
func (d *bodyDecoder) end(name string) error {
	if d.malformed || len(d.b) > 0 {
		return fmt.Errorf("%w: %s", ErrFrame, name)
	}
	return nil
}

// begin appends the type of a message and a placeholder for its length. It returns the position of the
// length, which end needs.
func begin(out []byte, kind byte) (b []byte, at int) {
	return beginUntyped(append(out, kind))
}

// beginUntyped is begin for a packet of the startup phase, which has no type.
func beginUntyped(out []byte) (b []byte, at int) {
	return append(out, 0, 0, 0, 0), len(out)
}

// end fills in the length of the message that begin or beginUntyped started; at is what they returned.
func end(out []byte, at int) []byte {
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at))
	return out
}

// appendText appends a string and its terminating zero byte.
func appendText(out []byte, s string) []byte { return append(append(out, s...), 0) }

// Append appends a message of the type kind with the given body.
func Append(out []byte, kind byte, body []byte) []byte {
	out, at := begin(out, kind)
	return end(append(out, body...), at)
}

// AppendText appends a message of the type kind whose body consists of strings, each with a terminating zero
// byte.
func AppendText(out []byte, kind byte, texts ...string) []byte {
	out, at := begin(out, kind)
	for _, s := range texts {
		out = appendText(out, s)
	}
	return end(out, at)
}
