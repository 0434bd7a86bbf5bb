package soak

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
	"time"
)

// The soak's own reading of the protocols: what a client writes and reads, and what a tap on a link sees.

// appendText adds a string of Thrift's strict binary protocol.
func appendText(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// message builds a frame around arguments.
func message(kind byte, method string, seq int32, arguments []byte) []byte {
	body := appendText([]byte{0x80, 1, 0, kind}, method)
	body = binary.BigEndian.AppendUint32(body, uint32(seq))
	body = append(append(body, arguments...), 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// dispatchMessage is a request.
func dispatchMessage(seq int32, fields map[string]string, statement string) []byte {
	b := []byte{13, 0, 1, 11, 11}
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for name, value := range fields {
		b = appendText(appendText(b, name), value)
	}
	return message(1, "dispatch", seq, appendText(append(b, 11, 0, 2), statement))
}

// cancelMessage takes a request back.
func cancelMessage(seq, number int32) []byte {
	return message(4, "cancelRequest", seq, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(number)))
}

// aliveMessage asks whether a dispatcher is ready.
func aliveMessage(seq int32) []byte { return message(1, "alive", seq, []byte{2, 0, 1, 0}) }

// answerKind is what an answer says.
type answerKind string

// The kinds of answer.
const (
	answerServed  answerKind = "served"
	answerRefused answerKind = "refused"
	answerFailed  answerKind = "failed"
	answerError   answerKind = "exception"
)

// answer is an answer as a client reads it.
type answer struct {
	method string
	seq    int32
	kind   answerKind
	body   string
	alive  bool
}

var errAnswer = errors.New("soak: an answer that can't be read")

// frameReader reads values of Thrift's strict binary protocol.
type frameReader struct {
	b   []byte
	err error
}

func (r *frameReader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.err = errAnswer
		return make([]byte, max(min(n, 8), 0))
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *frameReader) u32() uint32  { return binary.BigEndian.Uint32(r.take(4)) }
func (r *frameReader) text() string { return string(r.take(int(int32(r.u32())))) }

// parseAnswer reads a whole frame, without its length.
func parseAnswer(frame []byte) (a answer, err error) {
	r := &frameReader{b: frame}
	head := r.u32()
	a.method, a.seq = r.text(), int32(r.u32())
	switch {
	case r.err != nil || head>>16 != 0x8001:
		return a, errAnswer
	case head&0xff == 3:
		a.kind = answerError
		return a, nil
	case head&0xff != 2:
		return a, errAnswer
	}
	kind, field := r.take(1)[0], binary.BigEndian.Uint16(r.take(2))
	if r.err != nil || kind != 12 || field > 2 {
		return a, errAnswer
	}
	a.kind = []answerKind{answerServed, answerRefused, answerFailed}[field]
	if a.kind != answerServed {
		return a, nil
	}
	for r.err == nil {
		kind := r.take(1)[0]
		if kind == 0 {
			break
		}
		switch field := binary.BigEndian.Uint16(r.take(2)); {
		case kind == 11 && field == 1:
			a.body = r.text()
		case kind == 2 && field == 3:
			a.alive = r.take(1)[0] == 1
		case kind == 13:
			r.take(2)
			for range r.u32() {
				if r.err != nil {
					break
				}
				r.text()
				r.text()
			}
		default:
			return a, errAnswer
		}
	}
	return a, r.err
}

// call is a call as a tap on a dispatcher's link to a compute node sees it.
type call struct {
	method, ticket, class   string
	page                    string
	limit                   time.Duration // X-Max-Ms
	firstByteAt, lastByteAt time.Time     // when its first and last byte left the dispatcher
}

// callParser cuts what a dispatcher writes on one connection into calls.
type callParser struct {
	buffer      []byte
	firstByteAt time.Time
}

// feed takes bytes and returns the calls that are whole.
func (p *callParser) feed(now time.Time, b []byte) (calls []call) {
	if len(p.buffer) == 0 {
		p.firstByteAt = now
	}
	p.buffer = append(p.buffer, b...)
	for {
		head, rest, ok := strings.Cut(string(p.buffer), "\r\n\r\n")
		if !ok {
			return calls
		}
		c, length := parseHead(head)
		if len(rest) < length {
			return calls
		}
		c.firstByteAt, c.lastByteAt = p.firstByteAt, now
		calls = append(calls, c)
		p.buffer = append(p.buffer[:0], rest[length:]...)
		p.firstByteAt = now
	}
}

// parseHead reads a call's head, and returns the length of its body too.
func parseHead(head string) (c call, length int) {
	lines := strings.Split(head, "\r\n")
	c.method, _, _ = strings.Cut(lines[0], " ")
	path := strings.Split(lines[0], " ")
	if len(path) > 1 {
		if parts := strings.Split(strings.Trim(path[1], "/"), "/"); len(parts) > 1 {
			c.ticket = parts[1]
			if len(parts) > 2 {
				c.page = parts[2]
			}
		}
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			length, _ = strconv.Atoi(value)
		case "x-ticket":
			c.ticket = value
		case "x-queue":
			c.class = value
		case "x-max-ms":
			ms, _ := strconv.Atoi(value)
			c.limit = time.Duration(ms) * time.Millisecond
		}
	}
	return c, length
}
