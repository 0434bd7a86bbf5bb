package soak

import (
	"testing"
	"time"
)

// TestCallParser checks that the same calls are parsed wherever the stream is split between two reads.
func TestCallParser(t *testing.T) {
	text := "POST /x HTTP/1.1\r\nX-Ticket: t1\r\nX-Queue: once\r\nX-Max-Ms: 1500\r\n" +
		"Content-Length: 8\r\n\r\nSELECT 1" +
		"GET /x/t1/0 HTTP/1.1\r\n\r\n" + "DELETE /x/t1 HTTP/1.1\r\n\r\n"
	for cut := range len(text) {
		p, now := &callParser{}, time.Now()
		calls := append(p.feed(now, []byte(text[:cut])), p.feed(now, []byte(text[cut:]))...)
		if len(calls) != 3 || calls[0].ticket != "t1" || calls[0].class != "once" ||
			calls[0].limit != 1500*time.Millisecond || calls[1].page != "0" || calls[2].method != "DELETE" {
			t.Fatalf("split at %d: got calls %+v", cut, calls)
		}
	}
}
