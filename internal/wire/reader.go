// Package wire reads and writes the simulator's text protocol. It only parses and formats.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"cresspass"
)

// listCount is the number of engine lists that the protocol can refer to: their numbers are 0 to 15.
const listCount = 16

// MessageType is the type of a Message and determines which of its fields are set.
type MessageType int

// The types of message.
const (
	StartInstance MessageType = iota // an instance starts with the settings in Config
	StopInstance                     // the instance was killed
	EventMessage                     // an event for the instance, in Event
)

// Message is one line addressed to an instance. Its type determines whether Config, Event or neither is set.
type Message struct {
	Type     MessageType
	Instance int
	Config   cresspass.Config
	Event    cresspass.Event
}

// Batch holds the messages that arrive at one time of the simulator's clock.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	in     *bufio.Reader
	line   int
	lists  [listCount][]cresspass.EngineInfo
	batch  Batch
	fields []field
}

type field struct{ name, value string }

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// Next returns the next batch, valid until the following call, or io.EOF at the end of the input.
// Any other error names the line and the fault, unless it is a read error of the input.
func (r *Reader) Next() (*Batch, error) {
	name, p, err := r.readLine()
	if err != nil {
		return nil, err
	}
	if name != "clock" {
		return nil, r.errorf("%q where a batch should begin, expected clock", name)
	}
	r.batch.Now = p.duration("now-us", true)
	r.batch.Messages = r.batch.Messages[:0]
	if p.err != nil {
		return nil, p.err
	}
	for {
		name, p, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return nil, r.errorf("the input ended inside a batch, expected eob")
		}
		if err != nil {
			return nil, err
		}
		if name == "eob" {
			return &r.batch, nil
		}
		if err := r.parseMessage(name, p); err != nil {
			return nil, err
		}
	}
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

// readLine returns the name and the fields of the next line.
func (r *Reader) readLine() (string, *parser, error) {
	text, err := r.nextLine()
	if err != nil {
		return "", nil, err
	}
	return r.parseLine(text)
}

// nextLine returns the next line without its line end.
func (r *Reader) nextLine() (string, error) {
	text, err := r.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	r.line++
	if err != nil && err != io.EOF {
		return "", err
	}
	return strings.TrimRight(text, "\r\n"), nil
}

// parseLine returns the name and the fields of a line.
func (r *Reader) parseLine(text string) (string, *parser, error) {
	name, rest, _ := strings.Cut(text, " ")
	if name == "" || strings.Contains(name, "=") {
		return "", nil, r.errorf("%q where a name should stand, expected a message's name", name)
	}
	r.fields = r.fields[:0]
	for rest != "" {
		var part string
		part, rest, _ = strings.Cut(rest, " ")
		key, value, ok := strings.Cut(part, "=")
		if !ok || key == "" {
			return "", nil, r.errorf("%q is no field, expected name=value", part)
		}
		r.fields = append(r.fields, field{key, value})
	}
	return name, &parser{reader: r, fields: r.fields}, nil
}

// parseMessage adds the message of one line to the batch. Unknown names are ignored: they are events of a
// later version of the protocol.
func (r *Reader) parseMessage(name string, p *parser) error {
	m := Message{Type: EventMessage}
	switch name {
	case "roster":
		return r.readEngineList(p)
	case "provision":
		m.Type = StartInstance
		m.Config = p.config()
	case "retire":
		m.Type = StopInstance
	default:
		parse, known := eventParsers[name]
		if !known {
			return nil
		}
		parse(r, p, &m.Event)
	}
	m.Instance = int(p.unsigned("dispatcher", true))
	if p.err != nil {
		return p.err
	}
	r.batch.Messages = append(r.batch.Messages, m)
	return nil
}

// readEngineList reads an engine list, whose entries are on the following lines, and stores it by its number.
func (r *Reader) readEngineList(p *parser) error {
	number, count := p.unsigned("sheet", true), p.unsigned("elements", true)
	if number >= listCount {
		p.invalid("sheet", "a list number from 0 to 15")
	}
	if p.err != nil {
		return p.err
	}
	var list []cresspass.EngineInfo
	for range count {
		name, p, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return r.errorf("the input ended inside a roster of %d, expected entry", count)
		}
		if err != nil {
			return err
		}
		if name != "entry" {
			return r.errorf("%q inside a roster of %d, expected entry", name, count)
		}
		list = append(list, cresspass.EngineInfo{
			ID: cresspass.EngineID(p.required("node")),
			State: parseWord(p, "state", map[string]cresspass.EngineState{"on": cresspass.EngineActive,
				"fading": cresspass.EngineDraining, "off": cresspass.EngineRemoved}),
			Kind: p.text("flavor"), Zone: p.text("area"), Cell: int(p.unsigned("block", false)),
			Size: p.number("size"), StartedAt: p.duration("start-time-us", false),
		})
		if p.err != nil {
			return p.err
		}
	}
	r.lists[number] = list
	return nil
}
