package sse

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxEventBytes is the largest size of an event that is accepted, in bytes.
const MaxEventBytes = 1 << 20

// byteOrderMark may precede the first line of a stream.
const byteOrderMark = "\ufeff"

// ErrEventTooLong is returned for an event of more than MaxEventBytes.
var ErrEventTooLong = errors.New("discovery: event is too long")

// Event is a complete server-sent event. HasID is false if the event has no valid id.
type Event struct {
	ID    uint64
	HasID bool
	Data  []byte
}

// Parser splits a stream of server-sent events (WHATWG HTML, 9.2.6) into events. An incomplete event at the
// end of a stream is never delivered. The zero value is ready for the beginning of a stream.
type Parser struct {
	started   bool // the first line was read
	afterCR   bool // the last byte was a CR: an LF that follows it belongs to the same line end
	line      []byte
	event     Event
	dataLines int
}

// Feed parses the next bytes of the stream and calls handle for each complete event. The event is valid until
// handle returns. A line or an event of more than MaxEventBytes is an error.
func (p *Parser) Feed(b []byte, handle func(Event)) error {
	for len(b) > 0 {
		if b[0] == '\n' && p.afterCR {
			p.afterCR, b = false, b[1:]
			continue
		}
		p.afterCR = false
		end := bytes.IndexAny(b, "\r\n")
		if end < 0 {
			p.line = append(p.line, b...)
			if len(p.line) > MaxEventBytes {
				return ErrEventTooLong
			}
			return nil
		}
		p.line = append(p.line, b[:end]...)
		p.afterCR = b[end] == '\r'
		b = b[end+1:]
		line := p.line
		if !p.started {
			p.started, line = true, bytes.TrimPrefix(line, []byte(byteOrderMark))
		}
		if err := p.endLine(line, handle); err != nil {
			return err
		}
		p.line = p.line[:0]
	}
	return nil
}

// endLine processes a complete line without its line end. An empty line ends the event.
func (p *Parser) endLine(line []byte, handle func(Event)) error {
	if len(line) == 0 {
		if p.dataLines > 0 {
			handle(p.event)
		}
		p.event, p.dataLines = Event{Data: p.event.Data[:0]}, 0
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.ParseUint(string(value), 10, 63); err == nil {
			p.event.ID, p.event.HasID = n, true
		}
	case "data":
		if p.dataLines > 0 {
			p.event.Data = append(p.event.Data, '\n')
		}
		p.event.Data = append(p.event.Data, value...)
		p.dataLines++
		if len(p.event.Data) > MaxEventBytes {
			return ErrEventTooLong
		}
	}
	return nil
}
