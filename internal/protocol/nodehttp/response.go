// Package nodehttp encodes requests to compute nodes and decodes their responses, in HTTP/1.1 with one call
// at a time on a connection. It handles the bytes of the protocol and their limits; it opens no connection,
// sets no deadline and interprets only those headers of a response that frame it.
//
// A response does not name the request that it belongs to. After a malformed response, or after bytes that no
// request asked for, the next response on the connection may belong to another request: the caller must close
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
	// MaxBodyBytes is the length of the longest body that is read, in bytes; a page has at most 6,000.
	MaxBodyBytes = 8 << 10

	maxHeadBytes     = 4 << 10 // for the status line and the headers together
	maxInformational = 8       // 1xx responses that are read while waiting for the final one

	minStatus, maxStatus = 100, 599
	minFinalStatus       = 200
)

// Offsets in a status line such as "HTTP/1.1 200 OK".
const (
	statusVersion = "HTTP/1." // followed by the minor version
	statusMinor   = len(statusVersion)
	statusCode    = statusMinor + 2
	statusCodeEnd = statusCode + 3
)

// Response is a final (not 1xx) response.
type Response struct {
	Status int
	Header map[string]string // names in lower case
	Body   []byte
	Close  bool // the compute node closes the connection after this response
}

// ErrMalformed is wrapped by errors about bytes that are not an acceptable response.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("nodehttp: "+format+": %w", append(args, ErrMalformed)...)
}

// ReadResponse reads one final response and discards the 1xx responses before it. An error of the reader is
// returned unchanged: io.EOF if no byte arrived. An io.EOF inside a response becomes io.ErrUnexpectedEOF.
// Errors about the bytes of the response wrap ErrMalformed.
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
			return nil, malformed("unexpected 101 Switching Protocols")
		}
	}
	return nil, malformed("more than %d 1xx responses", maxInformational)
}

// readLine returns the next line of a head without its line end, and subtracts its length from left, the
// number of bytes that the head may still have.
func readLine(r *bufio.Reader, left *int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > *left {
		return nil, malformed("response head is longer than %d bytes", maxHeadBytes)
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

// parseStatusLine returns a Response with the status of a line such as "HTTP/1.1 200 OK".
func parseStatusLine(line string) (*Response, error) {
	if len(line) < statusCodeEnd || line[:statusMinor] != statusVersion ||
		line[statusMinor] != '1' && line[statusMinor] != '0' || line[statusCode-1] != ' ' ||
		len(line) > statusCodeEnd && line[statusCodeEnd] != ' ' {
		return nil, malformed("invalid status line %.40q", line)
	}
	code, err := strconv.Atoi(line[statusCode:statusCodeEnd])
	if err != nil || code < minStatus || code > maxStatus {
		return nil, malformed("invalid status code in %.40q", line)
	}
	return &Response{Status: code, Header: map[string]string{}, Close: line[statusMinor] == '0'}, nil
}

// addHeader adds the header in a line. A header may be repeated only with the same value.
func (resp *Response) addHeader(line []byte) error {
	rawName, rawValue, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(rawName) || !isFieldValue(rawValue) {
		return malformed("invalid header line %.40q", line)
	}
	name, value := strings.ToLower(string(rawName)), strings.TrimSpace(string(rawValue))
	if earlier, repeated := resp.Header[name]; repeated && earlier != value {
		return malformed("header %s has two values, %.20q and %.20q", name, earlier, value)
	}
	resp.Header[name] = value
	if name == "connection" && strings.EqualFold(value, "close") {
		resp.Close = true
	}
	return nil
}

// isToken reports whether b is accepted as a header name: letters, digits, '-' and '_'.
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

// isFieldValue reports whether b is accepted as a header value: printable ASCII and tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

// readBody reads the body that the headers of resp announce.
func readBody(r *bufio.Reader, resp *Response) error {
	if resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified {
		return nil
	}
	length, hasLength := resp.Header["content-length"]
	if coding := resp.Header["transfer-encoding"]; coding != "" {
		if hasLength || !strings.EqualFold(coding, "chunked") {
			return malformed("unsupported transfer coding %.20q with content length %.20q", coding, length)
		}
		return readChunks(r, resp)
	}
	if !hasLength {
		// HTTP lets such a body end with the connection. A response that was cut off by a broken connection
		// would then look complete.
		return malformed("body has no content length")
	}
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil || n > MaxBodyBytes {
		return malformed("content length %.20q, want a number up to %d", length, MaxBodyBytes)
	}
	resp.Body = make([]byte, n)
	return readFull(r, resp.Body)
}

// readChunks reads a body in the chunked transfer coding. A response with trailers is malformed.
func readChunks(r *bufio.Reader, resp *Response) error {
	left := maxHeadBytes // for the lines between the chunks
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
			return malformed("unexpected %.20q after a chunk", line)
		}
		if n == 0 {
			return nil
		}
	}
}

// readChunkSize reads the line before a chunk and returns the size of the chunk. Together with the bodyBytes
// that were read before it, the chunk must not exceed MaxBodyBytes.
func readChunkSize(r *bufio.Reader, left *int, bodyBytes int) (int, error) {
	line, err := readLine(r, left)
	if err != nil {
		return 0, err
	}
	size, _, _ := strings.Cut(string(line), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 63)
	if err != nil || n > MaxBodyBytes || bodyBytes+int(n) > MaxBodyBytes {
		return 0, malformed("invalid or too large chunk size %.20q", size)
	}
	return int(n), nil
}

func readFull(r io.Reader, b []byte) error {
	_, err := io.ReadFull(r, b)
	return insideResponse(err)
}

// insideResponse converts io.EOF to io.ErrUnexpectedEOF and returns other errors as they are.
func insideResponse(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
