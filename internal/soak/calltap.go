package soak

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is an HTTP request from a dispatcher to a compute node, as the tap on their link sees it.
type call struct {
	method, ticket, class string
	page                  string        // the result page that a poll asks for
	limit                 time.Duration // time limit for the compute node, from the header X-Max-Ms
	firstByteAt           time.Time     // when the tap saw the first byte
	lastByteAt            time.Time     // when the tap saw the last byte
}

// callParser splits the bytes that a dispatcher writes on one connection into calls. It parses HTTP without
// the dispatcher's code.
type callParser struct {
	buffer      []byte
	firstByteAt time.Time
}

// feed adds bytes that were observed at the time now and returns the calls that they complete.
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
		c, bodyLength := parseHead(head)
		if len(rest) < bodyLength {
			return calls
		}
		c.firstByteAt, c.lastByteAt = p.firstByteAt, now
		calls = append(calls, c)
		p.buffer = append(p.buffer[:0], rest[bodyLength:]...)
		p.firstByteAt = now
	}
}

// parseHead parses a call's request line and headers, and returns the length of its body in bytes. A number
// that is missing or can't be parsed counts as 0.
func parseHead(head string) (c call, bodyLength int) {
	lines := strings.Split(head, "\r\n")
	requestLine := strings.Split(lines[0], " ")
	c.method = requestLine[0]
	if len(requestLine) > 1 {
		c.ticket, c.page = parsePath(requestLine[1])
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch http.CanonicalHeaderKey(name) {
		case "Content-Length":
			bodyLength, _ = strconv.Atoi(value)
		case headerTicket:
			c.ticket = value
		case headerClass:
			c.class = value
		case headerLimitMS:
			ms, _ := strconv.Atoi(value)
			c.limit = time.Duration(ms) * time.Millisecond
		}
	}
	return c, bodyLength
}

// parsePath returns the ticket of the query that a path names, and the page of its result. Each is empty if
// the path has none.
func parsePath(path string) (ticket, page string) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) > 1 {
		ticket = parts[1]
	}
	if len(parts) > 2 {
		page = parts[2]
	}
	return ticket, page
}
