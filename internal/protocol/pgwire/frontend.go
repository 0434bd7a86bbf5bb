package pgwire

import "encoding/binary"

// ParseQuery parses the body of a Query message and returns its text. AppendText writes a Query message.
func ParseQuery(b []byte) (text []byte, err error) {
	d := bodyDecoder{b: b}
	text = d.text()
	return text, d.end("Query")
}

// Parse is the body of a Parse message, which creates a prepared statement ("Extended Query").
type Parse struct {
	Name, Text []byte
	Types      []byte // type OIDs of the parameters as sent, 4 bytes each
}

// ParseParse parses the body of a Parse message.
func ParseParse(b []byte) (p Parse, err error) {
	d := bodyDecoder{b: b}
	p.Name, p.Text = d.text(), d.text()
	p.Types = d.take(4 * d.int16())
	return p, d.end("Parse")
}

// AppendParse appends a Parse message. types holds the type OIDs of the parameters, 4 bytes each.
func AppendParse(out []byte, name, text string, types []byte) []byte {
	out, at := begin(out, 'P')
	out = appendText(out, name)
	out = appendText(out, text)
	out = binary.BigEndian.AppendUint16(out, uint16(len(types)/4))
	return end(append(out, types...), at)
}

// Bind is the body of a Bind message, which creates a portal from a prepared statement. Rest is everything
// after the two names, as sent.
type Bind struct {
	Portal, Statement []byte
	Rest              []byte
	First             []byte // the first parameter's value; nil: no parameter, or NULL
}

// ParseBind parses the body of a Bind message and checks that it is well formed.
func ParseBind(b []byte) (p Bind, err error) {
	d := bodyDecoder{b: b}
	p.Portal, p.Statement = d.text(), d.text()
	p.Rest = d.b
	formats := d.int16()
	d.take(2 * formats)
	values := d.int16()
	for i := 0; i < values && !d.malformed; i++ {
		n := d.int32()
		if n < -1 {
			d.malformed = true
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
		d.malformed = true
	}
	return p, d.end("Bind")
}

// AppendBind appends a Bind message. rest is what Bind.Rest holds.
func AppendBind(out []byte, portal, statement string, rest []byte) []byte {
	out, at := begin(out, 'B')
	out = appendText(out, portal)
	out = appendText(out, statement)
	return end(append(out, rest...), at)
}

// ParseTarget parses the body of a Describe or Close message: kind 'S' for a statement or 'P' for a portal,
// and its name.
func ParseTarget(b []byte) (kind byte, name []byte, err error) {
	d := bodyDecoder{b: b}
	kind, name = d.byte(), d.text()
	if kind != 'S' && kind != 'P' {
		d.malformed = true
	}
	return kind, name, d.end("Describe or Close")
}

// AppendTarget appends a message of kind Describe ('D') or Close ('C'). The target is a statement ('S') or a
// portal ('P').
func AppendTarget(out []byte, kind, target byte, name string) []byte {
	out, at := begin(out, kind)
	out = append(out, target)
	return end(appendText(out, name), at)
}

// ParseExecute parses the body of an Execute message. rows is the row limit; 0 means all rows.
func ParseExecute(b []byte) (portal []byte, rows int32, err error) {
	d := bodyDecoder{b: b}
	portal, rows = d.text(), d.int32()
	return portal, rows, d.end("Execute")
}

// AppendExecute appends an Execute message. rows is the row limit; 0 means all rows.
func AppendExecute(out []byte, portal string, rows int32) []byte {
	out, at := begin(out, 'E')
	out = appendText(out, portal)
	return end(binary.BigEndian.AppendUint32(out, uint32(rows)), at)
}

// AppendFlush appends a Flush message.
func AppendFlush(out []byte) []byte { return append(out, 'H', 0, 0, 0, 4) }

// AppendSync appends a Sync message.
func AppendSync(out []byte) []byte { return append(out, 'S', 0, 0, 0, 4) }
