// Package nodehttp encodes requests and decodes responses of HTTP/1.1 as compute nodes speak it: one call
// at a time on a connection. It owns the bytes of the protocol and their bounds; it opens no connection,
// sets no deadline and does not interpret the headers of a response beyond its framing.
//
// A response does not name the request that it belongs to. After a malformed response, or bytes that no
// request asked for, the next response on a connection could be another request's: the caller must close
// the connection.
package nodehttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	// MaxBodyBytes is the longest body that is read: a page has 6,000 bytes at most.
	MaxBodyBytes = 8 << 10

	maxHeadBytes     = 4 << 10 // of the status line and the headers together
	maxInformational = 8       // 1xx responses before the final one

	minStatus, maxStatus = 100, 599
	minFinalStatus       = 200
)

// Positions in a status line: "HTTP/1.1 200 OK".
const (
	statusVersion = "HTTP/1." // then the minor version
	statusMinor   = len(statusVersion)
	statusCode    = statusMinor + 2
	statusCodeEnd = statusCode + 3
)

// Response is a final response.
type Response struct {
	Status int
	Header map[string]string // names in lower case
	Body   []byte
	Close  bool // the compute node closes the connection after it
}

// ErrMalformed is wrapped by errors about bytes that are no acceptable response.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("nodehttp: "+format+": %w", append(args, ErrMalformed)...)
}

// ReadResponse reads one final response and discards 1xx responses before it. An error of the reader is
// returned unwrapped: io.EOF before the first byte, io.ErrUnexpectedEOF inside a response.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	for range maxInformational {
		resp, err := readHead(r)
		if err != nil {
			return nil, err
		}
		if resp.Status >= minFinalStatus {
			return resp, readBody(r, resp)
		}
		if resp.Status == http.StatusSwitchingProtocols {
			return nil, malformed("a change of protocol")
		}
	}
	return nil, malformed("more than %d 1xx responses", maxInformational)
}

// readLine reads a line of a head without its end, and subtracts its length from what is left for the head.
func readLine(r *bufio.Reader, left *int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > *left {
		return nil, malformed("a head of more than %d bytes", maxHeadBytes)
	}
	if err != nil {
		return nil, insideResponse(err)
	}
	*left -= len(line)
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// readHead reads the status line and the headers.
func readHead(r *bufio.Reader) (*Response, error) {
	left := maxHeadBytes
	line, err := readLine(r, &left)
	if err != nil {
		return nil, err
	}
	resp, err := parseStatusLine(string(line))
	if err != nil {
		return nil, err
	}
	for {
		line, err := readLine(r, &left)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return resp, nil
		}
		if err := resp.addHeader(line); err != nil {
			return nil, err
		}
	}
}

// parseStatusLine returns a response with the status of a line such as "HTTP/1.1 200 OK".
func parseStatusLine(line string) (*Response, error) {
	if len(line) < statusCodeEnd || line[:statusMinor] != statusVersion ||
		line[statusMinor] != '1' && line[statusMinor] != '0' || line[statusCode-1] != ' ' ||
		len(line) > statusCodeEnd && line[statusCodeEnd] != ' ' {
		return nil, malformed("status line %.40q", line)
	}
	code, err := strconv.Atoi(line[statusCode:statusCodeEnd])
	if err != nil || code < minStatus || code > maxStatus {
		return nil, malformed("status %.40q", line)
	}
	return &Response{Status: code, Header: map[string]string{}, Close: line[statusMinor] == '0'}, nil
}

// addHeader adds the header of a line. A header may come twice only with the same value.
func (resp *Response) addHeader(line []byte) error {
	rawName, rawValue, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(rawName) || !isFieldValue(rawValue) {
		return malformed("header %.40q", line)
	}
	name, value := strings.ToLower(string(rawName)), strings.TrimSpace(string(rawValue))
	if earlier, twice := resp.Header[name]; twice && earlier != value {
		return malformed("header %s twice, %.20q and %.20q", name, earlier, value)
	}
	resp.Header[name] = value
	if name == "connection" && strings.EqualFold(value, "close") {
		resp.Close = true
	}
	return nil
}

// isToken reports whether b can be a header's name: letters, digits, '-' and '_'.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// isFieldValue reports whether b can be a header's value: printable ASCII and tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

// readBody reads the body that the head announces.
func readBody(r *bufio.Reader, resp *Response) error {
	if resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified {
		return nil
	}
	length, hasLength := resp.Header["content-length"]
	if coding := resp.Header["transfer-encoding"]; coding != "" {
		if hasLength || !strings.EqualFold(coding, "chunked") {
			return malformed("transfer coding %.20q, length %.20q", coding, length)
		}
		return readChunks(r, resp)
	}
	if !hasLength {
		// HTTP lets such a body end with the connection. A connection that broke inside the body would then
		// look like a complete response.
		return malformed("a body without a length")
	}
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil || n > MaxBodyBytes {
		return malformed("a body of %.20q bytes, at most %d", length, MaxBodyBytes)
	}
	resp.Body = make([]byte, n)
	return readFull(r, resp.Body)
}

// readChunks reads a body in the chunked transfer coding. Trailers are malformed.
func readChunks(r *bufio.Reader, resp *Response) error {
	left := maxHeadBytes // of the lines between the chunks
	for {
		n, err := readChunkSize(r, &left, len(resp.Body))
		if err != nil {
			return err
		}
		if n > 0 {
			start := len(resp.Body)
			resp.Body = append(resp.Body, make([]byte, n)...)
			if err := readFull(r, resp.Body[start:]); err != nil {
				return err
			}
		}
		line, err := readLine(r, &left)
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return malformed("%.20q after a chunk", line)
		}
		if n == 0 {
			return nil
		}
	}
}

// readChunkSize reads the line before a chunk. The chunk must fit into a body that has some bytes already.
func readChunkSize(r *bufio.Reader, left *int, bodyBytes int) (int, error) {
	line, err := readLine(r, left)
	if err != nil {
		return 0, err
	}
	size, _, _ := strings.Cut(string(line), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 63)
	if err != nil || n > MaxBodyBytes || bodyBytes+int(n) > MaxBodyBytes {
		return 0, malformed("a chunk of %.20q bytes", size)
	}
	return int(n), nil
}

func readFull(r io.Reader, b []byte) error {
	_, err := io.ReadFull(r, b)
	return insideResponse(err)
}

// insideResponse turns an end of the stream into the error of one inside a response.
func insideResponse(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
