package nodehttp

import (
	"net/http"
	"strconv"
)

// AppendRequest appends an HTTP/1.1 request to b. The headers are alternating names and values; a header with
// an empty value is left out. Content-Length is added if body is not nil or the method is POST or PUT.
func AppendRequest(b []byte, method, path, host string, body []byte, headers ...string) []byte {
	return append(AppendHead(b, method, path, host, body, headers...), body...)
}

// AppendHead is AppendRequest without the body itself.
func AppendHead(b []byte, method, path, host string, body []byte, headers ...string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1"...)
	b = appendHeader(b, "Host", host)
	for i := 0; i+1 < len(headers); i += 2 {
		if name, value := headers[i], headers[i+1]; value != "" {
			b = appendHeader(b, name, value)
		}
	}
	if body != nil || method == http.MethodPost || method == http.MethodPut {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// appendHeader ends the previous line and appends a header without a line end of its own.
func appendHeader(b []byte, name, value string) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}
