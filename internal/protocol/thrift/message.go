// Package thrift reads and writes the messages of the platform's front: Apache Thrift's strict binary
// protocol in frames. It reads bytes that a stranger sent, so every length is held against what is there
// before it is used. It does no I/O.
package thrift

import (
	"encoding/binary"
	"errors"
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

// The types of value on the wire.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

const (
	versionMask = 0xffff0000
	version1    = 0x80010000
	maxDepth    = 16 // structs and lists inside one another
	// MaxMethodBytes is the longest name of a method, in bytes.
	MaxMethodBytes = 64
	// MaxFields is how many entries the fields of a request may have.
	MaxFields = 64
)

// FrameHeaderBytes is the length of the number before a frame, in bytes.
const FrameHeaderBytes = 4

// Header is how a message begins.
type Header struct {
	Name string
	Type MessageType
	Seq  int32
}

// Request holds the arguments of the front's methods, as far as a message had them.
type Request struct {
	Header
	Fields    map[string]string // dispatch, 1
	Body      []byte            // dispatch, 2; it points into the frame
	CancelSeq int32             // cancelRequest, 1
}

var errTruncated = errors.New("thrift: message ends inside a value")

type decoder struct {
	data   []byte
	offset int
}

func (d *decoder) take(n int) ([]byte, error) {
	if n < 0 || n > len(d.data)-d.offset {
		return nil, errTruncated
	}
	b := d.data[d.offset : d.offset+n]
	d.offset += n
	return b, nil
}

func (d *decoder) u8() (byte, error) {
	b, err := d.take(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

func (d *decoder) u16() (uint16, error) {
	b, err := d.take(2)
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint16(b), nil
}

func (d *decoder) i32() (int32, error) {
	b, err := d.take(4)
	if err != nil {
		return 0, err
	}
	return int32(binary.BigEndian.Uint32(b)), nil
}

func (d *decoder) bytes() ([]byte, error) {
	n, err := d.i32()
	if err != nil {
		return nil, err
	}
	return d.take(int(n))
}

func (d *decoder) header() (h Header, err error) {
	v, err := d.i32()
	if err != nil {
		return h, err
	}
	if uint32(v)&versionMask != version1 {
		return h, fmt.Errorf("thrift: version %#x, want strict binary %#x", uint32(v)&versionMask,
			uint32(version1))
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

// ParseRequest reads a whole frame, without its length. The header stands also where the arguments give an
// error.
func ParseRequest(frame []byte) (r Request, err error) {
	d := decoder{data: frame}
	if r.Header, err = d.header(); err != nil {
		return r, err
	}
	for {
		kind, err := d.u8()
		if err != nil {
			return r, err
		}
		if kind == typeStop {
			break
		}
		id, err := d.u16()
		if err != nil {
			return r, err
		}
		switch {
		case kind == typeMap && id == 1 && r.Name == "dispatch":
			r.Fields, err = d.stringMap()
		case kind == typeString && id == 2 && r.Name == "dispatch":
			r.Body, err = d.bytes()
		case kind == typeI32 && id == 1 && r.Name == "cancelRequest":
			r.CancelSeq, err = d.i32()
		default:
			err = d.skip(kind, 0)
		}
		if err != nil {
			return r, err
		}
	}
	if d.offset != len(frame) {
		return r, fmt.Errorf("thrift: %d bytes after the message's end", len(frame)-d.offset)
	}
	return r, nil
}

func (d *decoder) stringMap() (map[string]string, error) {
	head, err := d.take(6)
	if err != nil {
		return nil, err
	}
	n := int32(binary.BigEndian.Uint32(head[2:]))
	if n < 0 || n > MaxFields || n > 0 && (head[0] != typeString || head[1] != typeString) {
		return nil, fmt.Errorf("thrift: a map of %d entries of types %d and %d, want at most %d of texts", n,
			head[0], head[1], MaxFields)
	}
	m := make(map[string]string, n)
	for range n {
		k, err := d.bytes()
		if err != nil {
			return nil, err
		}
		v, err := d.bytes()
		if err != nil {
			return nil, err
		}
		m[string(k)] = string(v)
	}
	return m, nil
}

// skip passes over a value that nobody asked for.
func (d *decoder) skip(kind byte, depth int) (err error) {
	if depth > maxDepth {
		return errors.New("thrift: values lie too deep in one another")
	}
	switch kind {
	case typeBool, typeByte:
		_, err = d.take(1)
	case typeI16:
		_, err = d.take(2)
	case typeI32:
		_, err = d.take(4)
	case typeI64, typeDouble:
		_, err = d.take(8)
	case typeString:
		_, err = d.bytes()
	case typeStruct:
		for {
			kind, err := d.u8()
			if err != nil || kind == typeStop {
				return err
			}
			if _, err = d.u16(); err != nil {
				return err
			}
			if err = d.skip(kind, depth+1); err != nil {
				return err
			}
		}
	case typeMap, typeSet, typeList:
		kinds := make([]byte, 1, 2)
		if kinds[0], err = d.u8(); err == nil && kind == typeMap {
			kinds = kinds[:2]
			kinds[1], err = d.u8()
		}
		if err != nil {
			return err
		}
		n, err := d.i32()
		if err != nil {
			return err
		}
		if int(n) < 0 || int(n) > len(d.data)-d.offset { // each value has a byte at least
			return errTruncated
		}
		for range n {
			for _, k := range kinds {
				if err := d.skip(k, depth+1); err != nil {
					return err
				}
			}
		}
	default:
		err = fmt.Errorf("thrift: value of type %d", kind)
	}
	return err
}

func appendString[T ~string | ~[]byte](b []byte, s T) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

func appendField(b []byte, kind byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), id)
}

func appendStringMap(b []byte, id uint16, m [][2]string) []byte {
	b = append(appendField(b, typeMap, id), typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(m)))
	for _, e := range m {
		b = appendString(appendString(b, e[0]), e[1])
	}
	return b
}

// beginFrame opens a frame; end writes its length.
func beginFrame(b []byte, t MessageType, name string, seq int32) []byte {
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, version1|uint32(t))
	b = appendString(b, name)
	return binary.BigEndian.AppendUint32(b, uint32(seq))
}

func endFrame(b []byte, from int) []byte {
	binary.BigEndian.PutUint32(b[from:], uint32(len(b)-from-FrameHeaderBytes))
	return b
}

// AppendAnswer adds a frame with an Answer whose body is the parts, one after another.
func AppendAnswer(b []byte, name string, seq int32, good bool, parts ...[]byte) []byte {
	from := len(b)
	b = beginFrame(b, Reply, name, seq)
	b = appendField(b, typeStruct, 0)
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	b = binary.BigEndian.AppendUint32(appendField(b, typeString, 1), uint32(n))
	for _, p := range parts {
		b = append(b, p...)
	}
	b = appendStringMap(b, 2, nil)
	b = appendField(b, typeBool, 3)
	if good {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return endFrame(append(b, typeStop, typeStop), from)
}

// The exceptions of the front's dispatch, by their field in its result.
const (
	ShedException  uint16 = 1
	FaultException uint16 = 2
)

// AppendDeclaredException adds a frame with one of the method's own exceptions.
func AppendDeclaredException(b []byte, name string, seq int32, which uint16, fields ...[2]string) []byte {
	from := len(b)
	b = beginFrame(b, Reply, name, seq)
	b = appendField(b, typeStruct, which)
	b = appendStringMap(b, 1, fields)
	return endFrame(append(b, typeStop, typeStop), from)
}

// AppendApplicationException adds a frame with an application exception of some type (7: protocol error, 1:
// unknown method).
func AppendApplicationException(b []byte, name string, seq int32, kind int32, text string) []byte {
	from := len(b)
	b = beginFrame(b, Exception, name, seq)
	b = appendString(appendField(b, typeString, 1), text)
	b = binary.BigEndian.AppendUint32(appendField(b, typeI32, 2), uint32(kind))
	return endFrame(append(b, typeStop), from)
}

// AppendDispatch adds a frame that asks; it is the clients' side.
func AppendDispatch(b []byte, seq int32, fields [][2]string, body []byte) []byte {
	from := len(b)
	b = beginFrame(b, Call, "dispatch", seq)
	b = appendStringMap(b, 1, fields)
	b = appendString(appendField(b, typeString, 2), body)
	return endFrame(append(b, typeStop), from)
}

// AppendCancel adds a frame that takes a request back; it is the clients' side.
func AppendCancel(b []byte, seq, number int32) []byte {
	from := len(b)
	b = beginFrame(b, Oneway, "cancelRequest", seq)
	b = binary.BigEndian.AppendUint32(appendField(b, typeI32, 1), uint32(number))
	return endFrame(append(b, typeStop), from)
}

// AppendAlive adds a frame that asks whether a dispatcher is there; it is the clients' side.
func AppendAlive(b []byte, seq int32) []byte {
	from := len(b)
	b = beginFrame(b, Call, "alive", seq)
	return endFrame(append(appendField(b, typeBool, 1), 0, typeStop), from)
}
