package thrift

import "encoding/binary"

// Answer is the result of MethodDispatch and MethodAlive.
type Answer struct {
	Method string
	Good   bool
	Body   [][]byte // in parts, one after another
}

// Append appends a frame with the reply.
func (m Answer) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{m.Method, Reply, seq})
	b = appendField(b, typeStruct, 0)
	n := 0
	for _, part := range m.Body {
		n += len(part)
	}
	b = binary.BigEndian.AppendUint32(appendField(b, typeString, 1), uint32(n))
	for _, part := range m.Body {
		b = append(b, part...)
	}
	b = appendFields(b, 2, nil)
	b = appendBool(appendField(b, typeBool, 3), m.Good)
	return endFrame(append(b, typeStop, typeStop), start)
}

// DispatchExceptionType says which of its exceptions MethodDispatch raises, by the field in its result.
type DispatchExceptionType uint16

// The exceptions of MethodDispatch.
const (
	ShedException  DispatchExceptionType = 1 // rejected: a retry is harmless
	FaultException DispatchExceptionType = 2
)

// DispatchException is the reply to a query that is not answered.
type DispatchException struct {
	Which  DispatchExceptionType
	Fields Fields
}

// Append appends a frame with the reply.
func (m DispatchException) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{MethodDispatch, Reply, seq})
	b = appendField(b, typeStruct, uint16(m.Which))
	b = appendFields(b, 1, m.Fields)
	return endFrame(append(b, typeStop, typeStop), start)
}

// ApplicationExceptionType is a number of Thrift's application exception.
type ApplicationExceptionType int32

// The application exceptions of the service.
const (
	UnknownMethod ApplicationExceptionType = 1
	ProtocolError ApplicationExceptionType = 7
)

// ApplicationException is the reply to a message that is no call of the service.
type ApplicationException struct {
	Method string
	Type   ApplicationExceptionType
	Text   string
}

// Append appends a frame with the reply.
func (m ApplicationException) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{m.Method, Exception, seq})
	b = appendString(appendField(b, typeString, 1), m.Text)
	b = appendI32(appendField(b, typeI32, 2), int32(m.Type))
	return endFrame(append(b, typeStop), start)
}
