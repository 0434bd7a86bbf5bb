package nodehttp

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a request with a body and headers, given as names and values in turn; a header
// without a value is left out. A request with a body, a POST and a PUT have a Content-Length.
func AppendRequest(b []byte, method, path, host string, body []byte, headers ...string) []byte {
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
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// appendHeader ends the line before and appends a header without its line end.
func appendHeader(b []byte, name, value string) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}
