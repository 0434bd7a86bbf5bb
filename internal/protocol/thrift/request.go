package thrift

import "fmt"

// Request is a message of a client. Of the arguments, those of the header's method count, as far as the
// message had them.
type Request struct {
	Header
	Dispatch Dispatch
	Cancel   CancelRequest
}

// ParseRequest reads a complete frame, without its length. The header counts also where the arguments give an
// error.
func ParseRequest(frame []byte) (req Request, err error) {
	d := decoder{data: frame}
	if req.Header, err = d.header(); err != nil {
		return req, err
	}
	for {
		fieldType, err := d.u8()
		if err != nil {
			return req, err
		}
		if fieldType == typeStop {
			break
		}
		id, err := d.u16()
		if err != nil {
			return req, err
		}
		if err := req.decodeField(&d, fieldType, id); err != nil {
			return req, err
		}
	}
	if left := d.left(); left != 0 {
		return req, fmt.Errorf("thrift: %d bytes after the message's end", left)
	}
	return req, nil
}

// decodeField reads an argument of the header's method.
func (r *Request) decodeField(d *decoder, fieldType byte, id uint16) error {
	switch r.Name {
	case MethodDispatch:
		return r.Dispatch.decodeField(d, fieldType, id)
	case MethodCancelRequest:
		return r.Cancel.decodeField(d, fieldType, id)
	}
	return d.skip(fieldType, 0)
}

// Fields is a map from strings to strings in the order of the message.
type Fields []Field

// Field is an entry of Fields.
type Field struct{ Name, Value string }

// Lookup returns the value of a name, the last one where it comes twice.
func (f Fields) Lookup(name string) (string, bool) {
	for i := len(f) - 1; i >= 0; i-- {
		if f[i].Name == name {
			return f[i].Value, true
		}
	}
	return "", false
}

// Get returns the value of a name; "" where there is none.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Dispatch is the arguments of a call of MethodDispatch: a query.
type Dispatch struct {
	Fields Fields // field 1
	Body   []byte // field 2; decoded, it points into the frame
}

// Append appends a frame with the call.
func (m Dispatch) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{MethodDispatch, Call, seq})
	b = appendFields(b, 1, m.Fields)
	b = appendString(appendField(b, typeString, 2), m.Body)
	return endFrame(append(b, typeStop), start)
}

func (m *Dispatch) decodeField(d *decoder, fieldType byte, id uint16) (err error) {
	switch {
	case fieldType == typeMap && id == 1:
		m.Fields, err = d.fields()
	case fieldType == typeString && id == 2:
		m.Body, err = d.bytes()
	default:
		err = d.skip(fieldType, 0)
	}
	return err
}

// CancelRequest is the argument of a call of MethodCancelRequest, which has no reply.
type CancelRequest struct {
	TargetSeq int32 // field 1: of the dispatch call that is taken back
}

// Append appends a frame with the call.
func (m CancelRequest) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{MethodCancelRequest, Oneway, seq})
	b = appendI32(appendField(b, typeI32, 1), m.TargetSeq)
	return endFrame(append(b, typeStop), start)
}

func (m *CancelRequest) decodeField(d *decoder, fieldType byte, id uint16) (err error) {
	if fieldType == typeI32 && id == 1 {
		m.TargetSeq, err = d.i32()
		return err
	}
	return d.skip(fieldType, 0)
}

// Alive is a call of MethodAlive, whose argument says nothing.
type Alive struct{}

// Append appends a frame with the call.
func (Alive) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{MethodAlive, Call, seq})
	b = appendBool(appendField(b, typeBool, 1), false)
	return endFrame(append(b, typeStop), start)
}
