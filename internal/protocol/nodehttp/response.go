// Package nodehttp writes requests and reads answers of HTTP/1.1 as compute nodes speak it: one call at a
// time on a connection. What comes is bounded before it is kept, and an answer that could be another's is
// an error: danger, nothing in an answer names its call, so a connection that once gave more than was asked
// for is never used again.
package nodehttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	// MaxBodyBytes is the longest body that is read, in bytes: a page holds 6,000 at most.
	MaxBodyBytes     = 8 << 10
	maxHeadBytes     = 4 << 10 // bytes of the status line and headers together
	maxInformational = 8       // 1xx answers before the final one
)

// Response is a final answer. Header's names are in lower case.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
	Close  bool // the connection ends with it
}

// ErrMalformed is wrapped by errors that tell of bytes which are no answer.
var ErrMalformed = errors.New("spoilt answer")

func malformed(format string, args ...any) error {
	return fmt.Errorf("nodehttp: "+format+": %w", append(args, ErrMalformed)...)
}

// AppendRequest adds a request with a body and headers, given in pairs; pairs without a value are left out.
func AppendRequest(b []byte, method, path, host string, body []byte, headers ...string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" {
			b = append(b, "\r\n"...)
			b = append(b, headers[i]...)
			b = append(b, ": "...)
			b = append(b, headers[i+1]...)
		}
	}
	if body != nil || method == "POST" || method == "PUT" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// ReadResponse reads one final answer; 1xx answers before it are passed over. An error of the reader itself
// is returned as it is, with io.ErrUnexpectedEOF for an end inside an answer and io.EOF before its first
// byte.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	for range maxInformational {
		a, err := readHead(r)
		if err != nil {
			return nil, err
		}
		if a.Status >= 200 {
			return a, readBody(r, a)
		}
		if a.Status == 101 {
			return nil, malformed("a change of protocol")
		}
	}
	return nil, malformed("more than %d 1xx answers", maxInformational)
}

// readLine reads a line of a head, without its end, and takes its length from what is left for the head.
func readLine(r *bufio.Reader, left *int) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull || len(b) > *left {
		return nil, malformed("a head of more than %d bytes", maxHeadBytes)
	}
	if err != nil {
		return nil, insideResponse(err)
	}
	*left -= len(b)
	return bytes.TrimSuffix(b[:len(b)-1], []byte("\r")), nil
}

func readHead(r *bufio.Reader) (*Response, error) {
	left := maxHeadBytes
	first, err := readLine(r, &left)
	if err != nil {
		return nil, err
	}
	status := string(first)
	if len(status) < 12 || status[:7] != "HTTP/1." || status[7] != '1' && status[7] != '0' ||
		status[8] != ' ' || len(status) > 12 && status[12] != ' ' {
		return nil, malformed("status line %.40q", status)
	}
	code, err := strconv.Atoi(status[9:12])
	if err != nil || code < 100 || code > 599 {
		return nil, malformed("status %.40q", status)
	}
	a := &Response{Status: code, Header: map[string]string{}, Close: status[7] == '0'}
	for {
		b, err := readLine(r, &left)
		if err != nil {
			return nil, err
		}
		if len(b) == 0 {
			return a, nil
		}
		name, value, ok := bytes.Cut(b, []byte(":"))
		if !ok || !isToken(name) || !isFieldValue(value) {
			return nil, malformed("header %.40q", b)
		}
		key, v := strings.ToLower(string(name)), strings.TrimSpace(string(value))
		if was, twice := a.Header[key]; twice && was != v {
			return nil, malformed("header %s twice, %.20q and %.20q", key, was, v)
		}
		a.Header[key] = v
		if key == "connection" && strings.EqualFold(v, "close") {
			a.Close = true
		}
	}
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return len(b) > 0
}

func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

func readBody(r *bufio.Reader, a *Response) error {
	if a.Status == 204 || a.Status == 304 {
		return nil
	}
	length, told := a.Header["content-length"]
	if coding := a.Header["transfer-encoding"]; coding != "" {
		if told || !strings.EqualFold(coding, "chunked") {
			return malformed("transfer coding %.20q, length %.20q", coding, length)
		}
		return readChunks(r, a)
	}
	if !told { // danger: a body up to the connection's end can be cut off unseen
		return malformed("a body without a length")
	}
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil || n > MaxBodyBytes {
		return malformed("a body of %.20q bytes, at most %d", length, MaxBodyBytes)
	}
	a.Body = make([]byte, n)
	return readFull(r, a.Body)
}

func readFull(r io.Reader, b []byte) error {
	_, err := io.ReadFull(r, b)
	return insideResponse(err)
}

// insideResponse is an error where an answer has begun.
func insideResponse(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readChunks(r *bufio.Reader, a *Response) error {
	left := maxHeadBytes
	for {
		b, err := readLine(r, &left)
		if err != nil {
			return err
		}
		size, _, _ := strings.Cut(string(b), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 63)
		if err != nil || n > MaxBodyBytes || len(a.Body)+int(n) > MaxBodyBytes {
			return malformed("a chunk of %.20q bytes", size)
		}
		if n > 0 {
			at := len(a.Body)
			a.Body = append(a.Body, make([]byte, n)...)
			if err := readFull(r, a.Body[at:]); err != nil {
				return err
			}
		}
		b, err = readLine(r, &left)
		if err != nil {
			return err
		}
		if n == 0 && len(b) == 0 {
			return nil
		}
		if len(b) != 0 {
			return malformed("%.20q after a chunk", b)
		}
	}
}
