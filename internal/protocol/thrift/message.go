// Package thrift encodes and decodes the messages between clients and dispatchers: Apache Thrift's strict
// binary protocol in frames. Each message has a type, with its encoding and decoding beside each other. The
// bytes come from unknown clients, so every length is checked against what is there before it is used. The
// package does no I/O and does not judge what a message asks for.
package thrift

import (
	"encoding/binary"
	"fmt"
)

// MessageType is the type of a message in its header.
type MessageType byte

// The types of message of the protocol.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// The methods of the service.
const (
	MethodDispatch      = "dispatch"      // runs a query
	MethodCancelRequest = "cancelRequest" // takes a dispatch call back
	MethodAlive         = "alive"         // asks whether the dispatcher accepts queries
)

const (
	// FrameHeaderBytes is the length of the number before a frame.
	FrameHeaderBytes = 4
	// MaxMethodBytes is the longest name of a method.
	MaxMethodBytes = 64

	versionMask = 0xffff0000
	version1    = 0x80010000
)

// Header is how a message begins.
type Header struct {
	Name string // of the method
	Type MessageType
	Seq  int32
}

// header reads a message's header.
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

// beginFrame appends the length of a frame, to be written by endFrame, and a message's header.
func beginFrame(b []byte, h Header) []byte {
	b = append(b, make([]byte, FrameHeaderBytes)...)
	b = binary.BigEndian.AppendUint32(b, version1|uint32(h.Type))
	b = appendString(b, h.Name)
	return binary.BigEndian.AppendUint32(b, uint32(h.Seq))
}

// endFrame writes the length of the frame that begins at start and goes to the end of b.
func endFrame(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-FrameHeaderBytes))
	return b
}
