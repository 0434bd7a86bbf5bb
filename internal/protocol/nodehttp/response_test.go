package nodehttp

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestReadResponse(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	const info = "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 H\r\nA: b\r\n\r\n"
	for name, c := range map[string]struct {
		in     string
		status int
		body   string
		err    error // nil: none; else ErrMalformed, io.EOF or io.ErrUnexpectedEOF
	}{
		"length":        {ok + "Content-Length: 3\r\nPage-Count: 1\r\n\r\nabc", 200, "abc", nil},
		"chunks":        {ok + chunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", 200, "abc", nil},
		"1xx before":    {info + "HTTP/1.1 204 No\r\n\r\n", 204, "", nil},
		"endless 1xx":   {strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 50), 0, "", ErrMalformed},
		"a duplicate":   {strings.Repeat("HTTP/1.1 202 A\r\nContent-Length: 0\r\n\r\n", 2), 202, "", nil},
		"noise":         {"\x00\xff\x13noise\r\n\r\n", 0, "", ErrMalformed},
		"three GB":      {ok + "Content-Length: 3221225472\r\n\r\nabc", 0, "", ErrMalformed},
		"chunk too big": {ok + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", 0, "", ErrMalformed},
		"negative":      {ok + "Content-Length: -1\r\n\r\n", 0, "", ErrMalformed},
		"two lengths":   {ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 0, "", ErrMalformed},
		"no length":     {"HTTP/1.1 200 OK\r\n\r\nabc", 0, "", ErrMalformed},
		"endless head":  {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4000), 0, "", ErrMalformed},
		"endless line":  {"HTTP/1.1 200 " + strings.Repeat("O", 9000), 0, "", ErrMalformed},
		"cut in body":   {ok + "Content-Length: 3\r\n\r\nab", 0, "", io.ErrUnexpectedEOF},
		"cut in head":   {"HTTP/1.1 200 OK\r\nConte", 0, "", io.ErrUnexpectedEOF},
		"nothing":       {"", 0, "", io.EOF},
	} {
		resp, err := ReadResponse(bufio.NewReader(strings.NewReader(c.in)))
		if c.err != nil {
			if !errors.Is(err, c.err) {
				t.Errorf("%s: error %v, want %v", name, err, c.err)
			}
			continue
		}
		if err != nil || resp.Status != c.status || string(resp.Body) != c.body {
			t.Errorf("%s: got %+v, error %v", name, resp, err)
		}
	}
}

// FuzzReadResponse checks that reading arbitrary bytes ends without a panic, and that no body is longer than
// MaxBodyBytes or than the input.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, err := ReadResponse(bufio.NewReaderSize(strings.NewReader(string(b)), 4096))
		if err == nil && (len(resp.Body) > MaxBodyBytes || len(resp.Body) > len(b)) {
			t.Errorf("body has %d bytes, more than allowed or more than the input", len(resp.Body))
		}
	})
}
