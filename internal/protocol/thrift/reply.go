package thrift

import "encoding/binary"

// Answer is the reply to MethodDispatch or MethodAlive that holds the result.
type Answer struct {
	Method string
	Good   bool     // of MethodAlive: whether the dispatcher accepts queries
	Body   [][]byte // parts that are concatenated
}

// Append appends a frame with the reply to the call with sequence id seq.
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

// DispatchExceptionType identifies an exception of MethodDispatch. Its value is the id of the exception's
// field in the result struct.
type DispatchExceptionType uint16

// The exceptions of MethodDispatch.
const (
	ShedException  DispatchExceptionType = 1 // the query was rejected; a retry is harmless
	FaultException DispatchExceptionType = 2 // the query failed or was invalid
)

// DispatchException is the reply to a dispatch call that raises an exception instead of returning a result.
type DispatchException struct {
	Which  DispatchExceptionType
	Fields Fields
}

// Append appends a frame with the reply to the dispatch call with sequence id seq.
func (m DispatchException) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{MethodDispatch, Reply, seq})
	b = appendField(b, typeStruct, uint16(m.Which))
	b = appendFields(b, 1, m.Fields)
	return endFrame(append(b, typeStop, typeStop), start)
}

// ApplicationExceptionType is the type number of a Thrift application exception (TApplicationException).
type ApplicationExceptionType int32

// The application exceptions that the service sends.
const (
	UnknownMethod ApplicationExceptionType = 1
	ProtocolError ApplicationExceptionType = 7
)

// ApplicationException is the reply to a message that is not a valid call of the service.
type ApplicationException struct {
	Method string
	Type   ApplicationExceptionType
	Text   string
}

// Append appends a frame with the reply to the message with sequence id seq.
func (m ApplicationException) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{m.Method, Exception, seq})
	b = appendString(appendField(b, typeString, 1), m.Text)
	b = appendI32(appendField(b, typeI32, 2), int32(m.Type))
	return endFrame(append(b, typeStop), start)
}
