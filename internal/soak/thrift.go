package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// This file is the clients' side of the protocol: Thrift's strict binary protocol over framed transport. It
// uses none of the dispatcher's code.

// Message types, and the version in the header of a message.
const (
	messageCall      = 1
	messageReply     = 2
	messageException = 3
	messageOneway    = 4

	strictVersion1 = 0x8001
)

// Types of fields and values.
const (
	typeStop   = 0
	typeBool   = 2
	typeI32    = 8
	typeString = 11
	typeStruct = 12
	typeMap    = 13
)

// Methods of the dispatcher's service.
const (
	methodDispatch = "dispatch"
	methodCancel   = "cancelRequest"
	methodAlive    = "alive"
)

// appendText appends a string with its length.
func appendText(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// appendField appends a field's type and id.
func appendField(b []byte, valueType byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, valueType), id)
}

// message returns a frame that contains one message; arguments are its encoded fields.
func message(messageType byte, method string, seq int32, arguments []byte) []byte {
	body := binary.BigEndian.AppendUint16(nil, strictVersion1)
	body = appendText(append(body, 0, messageType), method)
	body = binary.BigEndian.AppendUint32(body, uint32(seq))
	body = append(append(body, arguments...), typeStop)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// dispatchMessage returns the frame of a request with its fields by name and its statement.
func dispatchMessage(seq int32, fields map[string]string, statement string) []byte {
	b := appendField(nil, typeMap, 1)
	b = binary.BigEndian.AppendUint32(append(b, typeString, typeString), uint32(len(fields)))
	for name, value := range fields {
		b = appendText(appendText(b, name), value)
	}
	return message(messageCall, methodDispatch, seq, appendText(appendField(b, typeString, 2), statement))
}

// cancelMessage returns the frame that cancels the request with a sequence number.
func cancelMessage(seq, canceled int32) []byte {
	b := binary.BigEndian.AppendUint32(appendField(nil, typeI32, 1), uint32(canceled))
	return message(messageOneway, methodCancel, seq, b)
}

// aliveMessage returns the frame that asks whether a dispatcher is ready.
func aliveMessage(seq int32) []byte {
	return message(messageCall, methodAlive, seq, append(appendField(nil, typeBool, 1), 0))
}

// answerKind is the outcome that an answer reports, as counts and findings print it.
type answerKind string

// The kinds of answer.
const (
	answerServed  answerKind = "served"
	answerRefused answerKind = "refused"
	answerFailed  answerKind = "failed"
	answerError   answerKind = "exception"
)

// answerKinds maps the field number of the reply's union to the kind.
var answerKinds = []answerKind{answerServed, answerRefused, answerFailed}

// answer is a decoded reply to a client.
type answer struct {
	method string
	seq    int32
	kind   answerKind
	body   string
	alive  bool // in an answer to methodAlive: the dispatcher is ready
}

// errMalformedAnswer is wrapped by every error of parseAnswer.
var errMalformedAnswer = errors.New("soak: malformed answer")

// frameReader decodes the values of a frame. Values read after an error are meaningless: callers check err
// before they use a value.
type frameReader struct {
	b   []byte
	err error
}

// take returns the next n bytes. If fewer are left, it sets err and returns n zero bytes, at most
// longestInteger, so that callers can decode an integer without a check.
func (r *frameReader) take(n int) []byte {
	const longestInteger = 8 // bytes
	if n < 0 || n > len(r.b) {
		r.err = errMalformedAnswer
		return make([]byte, max(min(n, longestInteger), 0))
	}
	taken := r.b[:n]
	r.b = r.b[n:]
	return taken
}

func (r *frameReader) byte() byte     { return r.take(1)[0] }
func (r *frameReader) uint16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *frameReader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *frameReader) text() string   { return string(r.take(int(int32(r.uint32())))) }

// parseAnswer decodes the reply in a frame, which is given without its length prefix.
func parseAnswer(frame []byte) (a answer, err error) {
	r := &frameReader{b: frame}
	head := r.uint32()
	a.method, a.seq = r.text(), int32(r.uint32())
	version, messageType := head>>16, head&0xff
	switch {
	case r.err != nil || version != strictVersion1:
		return a, fmt.Errorf("%w: header", errMalformedAnswer)
	case messageType == messageException:
		a.kind = answerError
		return a, nil
	case messageType != messageReply:
		return a, fmt.Errorf("%w: message type %d", errMalformedAnswer, messageType)
	}
	valueType, field := r.byte(), int(r.uint16())
	if r.err != nil || valueType != typeStruct || field >= len(answerKinds) {
		return a, fmt.Errorf("%w: result", errMalformedAnswer)
	}
	a.kind = answerKinds[field]
	if a.kind == answerServed {
		r.decodeServed(&a)
	}
	return a, r.err
}

// decodeServed decodes the fields of an answer of the kind answerServed into a.
func (r *frameReader) decodeServed(a *answer) {
	for r.err == nil {
		valueType := r.byte()
		if valueType == typeStop {
			return
		}
		switch field := r.uint16(); {
		case valueType == typeString && field == 1:
			a.body = r.text()
		case valueType == typeBool && field == 3:
			a.alive = r.byte() == 1
		case valueType == typeMap:
			r.skipTextMap()
		default:
			r.err = fmt.Errorf("%w: field %d of type %d", errMalformedAnswer, field, valueType)
		}
	}
}

// skipTextMap skips a map of strings to strings.
func (r *frameReader) skipTextMap() {
	r.take(2) // the types of its keys and values
	for range r.uint32() {
		if r.err != nil {
			return
		}
		r.text()
		r.text()
	}
}
