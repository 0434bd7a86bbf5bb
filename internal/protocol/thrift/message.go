// Package thrift encodes and decodes the messages between clients and dispatchers, in Apache Thrift's strict
// binary protocol with framing. Each message has a Go type with methods for its encoding and decoding. The
// bytes come from untrusted clients, so every length is checked against the bytes that are left before it is
// used. The package does no I/O and does not check whether a request makes sense.
package thrift

import (
	"encoding/binary"
	"fmt"
)

// MessageType is the message type in a message's header.
type MessageType byte

// The message types of the protocol.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// The methods of the service.
const (
	MethodDispatch      = "dispatch"      // runs a query
	MethodCancelRequest = "cancelRequest" // cancels an earlier dispatch call
	MethodAlive         = "alive"         // asks whether the dispatcher accepts queries
)

const (
	// FrameHeaderBytes is the size of the length that precedes each frame.
	FrameHeaderBytes = 4
	// MaxMethodBytes is the largest length of a method name that is accepted, in bytes.
	MaxMethodBytes = 64

	versionMask = 0xffff0000
	version1    = 0x80010000
)

// Header is the header of a message.
type Header struct {
	Name string // name of the method
	Type MessageType
	Seq  int32 // sequence id, which a reply repeats from its call
}

// header reads a message header.
func (d *decoder) header() (h Header, err error) {
	v, err := d.i32()
	if err != nil {
		return h, err
	}
	if version := uint32(v) & versionMask; version != version1 {
		return h, fmt.Errorf("thrift: version %#x, want strict binary %#x", version, uint32(version1))
	}
	if h.Type = MessageType(v); h.Type < Call || h.Type > Oneway {
		return h, fmt.Errorf("thrift: message type %d", byte(v))
	}
	name, err := d.bytes()
	if err != nil {
		return h, err
	}
	if len(name) > MaxMethodBytes {
		return h, fmt.Errorf("thrift: a method's name of %d bytes, at most %d", len(name), MaxMethodBytes)
	}
	h.Name = string(name)
	h.Seq, err = d.i32()
	return h, err
}

// beginFrame appends space for the length of a frame, which endFrame fills in, and a message header.
func beginFrame(b []byte, h Header) []byte {
	b = append(b, make([]byte, FrameHeaderBytes)...)
	b = binary.BigEndian.AppendUint32(b, version1|uint32(h.Type))
	b = appendString(b, h.Name)
	return binary.BigEndian.AppendUint32(b, uint32(h.Seq))
}

// endFrame fills in the length of the frame that begins at start and ends at the end of b.
func endFrame(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-FrameHeaderBytes))
	return b
}
