package pgwire

import (
	"encoding/binary"
	"fmt"
)

// Startup is a packet of the startup phase: a StartupMessage, CancelRequest, SSLRequest or GSSENCRequest.
type Startup struct {
	Code       uint32 // a version, or one of the Code constants
	Parameters map[string]string
	PID        uint32 // of a CancelRequest
	Secret     []byte // of a CancelRequest: 4 bytes, or up to 256 from 3.2 on
}

// ParseStartup reads a packet of the startup phase ("Message Formats", "Cancel Requests in Progress").
func ParseStartup(b []byte) (s Startup, err error) {
	d := body{b: b}
	s.Code = uint32(d.int32())
	switch {
	case s.Code == CodeTLS || s.Code == CodeGSS:
	case s.Code == CodeCancel:
		s.PID = uint32(d.int32())
		if n := len(d.b); n < 4 || n > 256 {
			d.bad = true
		}
		s.Secret = append([]byte(nil), d.take(len(d.b))...)
	case s.Code>>16 == 3:
		s.Parameters = map[string]string{}
		for {
			name := d.text()
			if len(name) == 0 {
				break
			}
			s.Parameters[string(name)] = string(d.text())
		}
	default:
		return s, fmt.Errorf("pgwire: protocol version %d.%d is not served", s.Code>>16, s.Code&0xffff)
	}
	return s, d.end("startup packet")
}

// Parse is the message that names a statement ("Extended Query").
type Parse struct {
	Name, Text []byte
	Types      []byte // OIDs of parameters as sent, 4 bytes each
}

// ParseParse reads a Parse message.
func ParseParse(b []byte) (p Parse, err error) {
	d := body{b: b}
	p.Name, p.Text = d.text(), d.text()
	p.Types = d.take(4 * d.int16())
	return p, d.end("Parse")
}

// Bind is the message that makes a portal of a statement. Rest is all after the two names, as sent.
type Bind struct {
	Portal, Statement []byte
	Rest              []byte
	First             []byte // the first parameter's value; nil: none, or null
}

// ParseBind reads a Bind message and checks its shape.
func ParseBind(b []byte) (p Bind, err error) {
	d := body{b: b}
	p.Portal, p.Statement = d.text(), d.text()
	p.Rest = d.b
	formats := d.int16()
	d.take(2 * formats)
	values := d.int16()
	for i := 0; i < values && !d.bad; i++ {
		n := d.int32()
		if n < -1 {
			d.bad = true
		}
		if n >= 0 {
			if v := d.take(int(n)); i == 0 {
				p.First = v
			}
		}
	}
	results := d.int16()
	d.take(2 * results)
	if formats > 1 && formats != values {
		d.bad = true
	}
	return p, d.end("Bind")
}

// ParseQuery reads a Query message.
func ParseQuery(b []byte) (text []byte, err error) {
	d := body{b: b}
	text = d.text()
	return text, d.end("Query")
}

// ParseTarget reads a Describe or Close message: 'S' for a statement or 'P' for a portal, and its name.
func ParseTarget(b []byte) (kind byte, name []byte, err error) {
	d := body{b: b}
	kind, name = d.byte(), d.text()
	if kind != 'S' && kind != 'P' {
		d.bad = true
	}
	return kind, name, d.end("Describe or Close")
}

// ParseExecute reads an Execute message; rows 0 means all.
func ParseExecute(b []byte) (portal []byte, rows int32, err error) {
	d := body{b: b}
	portal, rows = d.text(), d.int32()
	return portal, rows, d.end("Execute")
}

// ParseStatus reads a ParameterStatus message.
func ParseStatus(b []byte) (name, value []byte, err error) {
	d := body{b: b}
	name, value = d.text(), d.text()
	return name, value, d.end("ParameterStatus")
}

// ParseKey reads a BackendKeyData message.
func ParseKey(b []byte) (pid uint32, secret []byte, err error) {
	d := body{b: b}
	pid = uint32(d.int32())
	if len(d.b) < 4 || len(d.b) > 256 {
		d.bad = true
	}
	secret = append([]byte(nil), d.take(len(d.b))...)
	return pid, secret, d.end("BackendKeyData")
}

// ParseTag reads a CommandComplete message.
func ParseTag(b []byte) (tag []byte, err error) {
	d := body{b: b}
	tag = d.text()
	return tag, d.end("CommandComplete")
}

// Fields are those of an ErrorResponse or NoticeResponse ("Error and Notice Message Fields").
type Fields struct {
	Severity, Code, Message, Detail, Hint string
	Others                                map[byte]string // by type: P p q W s t c d n F L R
}

// ParseFields reads an ErrorResponse or NoticeResponse.
func ParseFields(b []byte) (f Fields, err error) {
	d := body{b: b}
	for {
		kind := d.byte()
		if kind == 0 {
			break
		}
		v := string(d.text())
		switch kind {
		case 'S':
			if f.Severity == "" {
				f.Severity = v
			}
		case 'V':
			f.Severity = v // not localised, so it goes before S
		case 'C':
			f.Code = v
		case 'M':
			f.Message = v
		case 'D':
			f.Detail = v
		case 'H':
			f.Hint = v
		default:
			if f.Others == nil {
				f.Others = map[byte]string{}
			}
			f.Others[kind] = v
		}
	}
	return f, d.end("ErrorResponse or NoticeResponse")
}

// begin starts a message; end fills in its length. at is what begin returned.
func begin(out []byte, kind byte) (b []byte, at int) {
	out = append(out, kind, 0, 0, 0, 0)
	return out, len(out) - 4
}

func end(out []byte, at int) []byte {
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at))
	return out
}

// Append appends a message with the body as it is.
func Append(out []byte, kind byte, body []byte) []byte {
	out, at := begin(out, kind)
	return end(append(out, body...), at)
}

// AppendText appends a message whose body is texts, each ended by a zero byte.
func AppendText(out []byte, kind byte, texts ...string) []byte {
	out, at := begin(out, kind)
	for _, s := range texts {
		out = append(append(out, s...), 0)
	}
	return end(out, at)
}

// AppendReady appends ReadyForQuery; status is 'I', 'T' or 'E'.
func AppendReady(out []byte, status byte) []byte { return append(out, 'Z', 0, 0, 0, 5, status) }

// AppendAuthOK appends AuthenticationOk.
func AppendAuthOK(out []byte) []byte { return append(out, 'R', 0, 0, 0, 8, 0, 0, 0, 0) }

// AppendKey appends BackendKeyData.
func AppendKey(out []byte, pid uint32, secret []byte) []byte {
	out, at := begin(out, 'K')
	out = binary.BigEndian.AppendUint32(out, pid)
	return end(append(out, secret...), at)
}

// AppendNegotiate appends NegotiateProtocolVersion: the newest minor version served, and the names of options
// that were not understood ("Message Flow", "Start-up").
func AppendNegotiate(out []byte, version uint32, unknown []string) []byte {
	out, at := begin(out, 'v')
	out = binary.BigEndian.AppendUint32(out, version)
	out = binary.BigEndian.AppendUint32(out, uint32(len(unknown)))
	for _, s := range unknown {
		out = append(append(out, s...), 0)
	}
	return end(out, at)
}

// AppendFields appends an ErrorResponse ('E') or NoticeResponse ('N').
func AppendFields(out []byte, kind byte, f *Fields) []byte {
	out, at := begin(out, kind)
	add := func(kind byte, v string) {
		if v != "" {
			out = append(append(append(out, kind), v...), 0)
		}
	}
	add('S', f.Severity)
	add('V', f.Severity)
	add('C', f.Code)
	add('M', f.Message)
	add('D', f.Detail)
	add('H', f.Hint)
	for _, kind := range "PpqWstcdnFLR" {
		add(byte(kind), f.Others[byte(kind)])
	}
	return end(append(out, 0), at)
}

// AppendStartup appends a StartupMessage of version 3.0.
func AppendStartup(out []byte, version uint32, parameters ...string) []byte {
	at := len(out)
	out = append(out, 0, 0, 0, 0)
	out = binary.BigEndian.AppendUint32(out, version)
	for _, s := range parameters {
		out = append(append(out, s...), 0)
	}
	return end(append(out, 0), at)
}

// AppendCancel appends a CancelRequest.
func AppendCancel(out []byte, pid uint32, secret []byte) []byte {
	at := len(out)
	out = append(out, 0, 0, 0, 0)
	out = binary.BigEndian.AppendUint32(out, CodeCancel)
	out = binary.BigEndian.AppendUint32(out, pid)
	return end(append(out, secret...), at)
}

// AppendParse appends a Parse message; types are OIDs, 4 bytes each.
func AppendParse(out []byte, name, text string, types []byte) []byte {
	out, at := begin(out, 'P')
	out = append(append(out, name...), 0)
	out = append(append(out, text...), 0)
	out = binary.BigEndian.AppendUint16(out, uint16(len(types)/4))
	return end(append(out, types...), at)
}

// AppendBind appends a Bind message; rest is as in Bind.
func AppendBind(out []byte, portal, statement string, rest []byte) []byte {
	out, at := begin(out, 'B')
	out = append(append(out, portal...), 0)
	out = append(append(out, statement...), 0)
	return end(append(out, rest...), at)
}

// AppendTarget appends a Describe ('D') or Close ('C') of a statement ('S') or portal ('P').
func AppendTarget(out []byte, kind, of byte, name string) []byte {
	out, at := begin(out, kind)
	out = append(out, of)
	return end(append(append(out, name...), 0), at)
}

// AppendExecute appends an Execute of at most so many rows; 0: all.
func AppendExecute(out []byte, portal string, rows int32) []byte {
	out, at := begin(out, 'E')
	out = append(append(out, portal...), 0)
	return end(binary.BigEndian.AppendUint32(out, uint32(rows)), at)
}

// AppendFlush appends a Flush.
func AppendFlush(out []byte) []byte { return append(out, 'H', 0, 0, 0, 4) }

// AppendSync appends a Sync.
func AppendSync(out []byte) []byte { return append(out, 'S', 0, 0, 0, 4) }
