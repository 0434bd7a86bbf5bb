package thrift

import "fmt"

// Request is a message from a client. Only the arguments of the method in the header are set, and of those
// only the fields that the message has.
type Request struct {
	Header
	Dispatch Dispatch
	Cancel   CancelRequest
}

// ParseRequest decodes a complete frame without its length. If the arguments cannot be decoded, the header of
// the returned Request is still valid.
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

// ParseHeader decodes the header of a message from the beginning of its frame.
func ParseHeader(frame []byte) (Header, error) {
	d := decoder{data: frame}
	return d.header()
}

// decodeField reads an argument of a MethodDispatch or MethodCancelRequest message, and skips an argument of
// any other method.
func (r *Request) decodeField(d *decoder, fieldType byte, id uint16) error {
	switch r.Name {
	case MethodDispatch:
		return r.Dispatch.decodeField(d, fieldType, id)
	case MethodCancelRequest:
		return r.Cancel.decodeField(d, fieldType, id)
	}
	return d.skip(fieldType, 0)
}

// Fields is a map from strings to strings, as a list in the order of the message.
type Fields []Field

// Field is an entry of Fields.
type Field struct{ Name, Value string }

// Lookup returns the value of a name, and whether there is one. Of several values it returns the last one.
func (f Fields) Lookup(name string) (string, bool) {
	for i := len(f) - 1; i >= 0; i-- {
		if f[i].Name == name {
			return f[i].Value, true
		}
	}
	return "", false
}

// Get returns the value of a name, or "" if there is none.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Dispatch holds the arguments of a MethodDispatch call: a query.
type Dispatch struct {
	Fields Fields // field 1
	Body   []byte // field 2; after decoding it shares memory with the frame
}

// Append appends a frame with the call, with sequence id seq.
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

// CancelRequest holds the argument of a MethodCancelRequest call, which has no reply.
type CancelRequest struct {
	TargetSeq int32 // field 1: sequence id of the dispatch call to cancel
}

// Append appends a frame with the call, with sequence id seq.
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

// Alive is a MethodAlive call. Its argument has no meaning.
type Alive struct{}

// Append appends a frame with the call, with sequence id seq.
func (Alive) Append(b []byte, seq int32) []byte {
	start := len(b)
	b = beginFrame(b, Header{MethodAlive, Call, seq})
	b = appendBool(appendField(b, typeBool, 1), false)
	return endFrame(append(b, typeStop), start)
}
