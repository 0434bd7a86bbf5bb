package sse

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxEventBytes is the longest event that is accepted.
const MaxEventBytes = 1 << 20

// byteOrderMark may stand before the first line of a stream.
const byteOrderMark = "\ufeff"

// ErrEventTooLong is the error of an event of more than MaxEventBytes.
var ErrEventTooLong = errors.New("discovery: an event that is too long")

// Event is a complete event. HasID is false where it had no id.
type Event struct {
	ID    uint64
	HasID bool
	Data  []byte
}

// Parser cuts a stream of server-sent events (WHATWG HTML, 9.2.6) into events. An event that the stream
// breaks off in is never handed out. The zero value is ready for the beginning of a stream.
type Parser struct {
	started   bool // the first line has come
	afterCR   bool // the last byte was a CR: an LF behind it ends no line
	line      []byte
	event     Event
	dataLines int
}

// Feed takes bytes and calls handle for each complete event; the event is valid until handle returns.
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

// endLine takes a complete line, without its end. An empty one ends the event.
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
