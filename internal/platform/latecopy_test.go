package platform

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// copyOnNextCall answers a call, and the next one on the same connection with a copy of the same bytes.
func copyOnNextCall(w http.ResponseWriter, text string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	writeNow(buffered.Writer, text)
	go func() {
		defer conn.Close()
		if _, err := http.ReadRequest(buffered.Reader); err != nil {
			return // the dispatcher has closed the connection
		}
		writeNow(buffered.Writer, text)
		time.Sleep(100 * time.Millisecond)
	}()
}

// rawPage is a response with a page of a result; header says which one.
func rawPage(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// TestLateCopyOfNumberedPage guards against rows of another client's query: a late copy of a page was taken
// for the page of that number of the next query on the connection.
func TestLateCopyOfNumberedPage(t *testing.T) {
	const rounds, queries, sockets = 8, 24, 32 // so few connections that polls go through the pool
	h := newHarness(t, sockets)
	h.node.pages = 2
	h.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, id string) bool {
		if call != "GET 1" {
			return false
		}
		copyOnNextCall(w, rawPage("Page-No: 1", row(id, 1)))
		return true
	})
	client, served := h.dial(), 0
	for range rounds {
		for range queries {
			client.send(requestFields(ticket(int(client.lastSeq)+1), "quick", "10000"))
		}
		for range queries {
			got := client.receive()
			if got.kind != "answer" {
				continue // rejected, as one may be that finds no room
			}
			served++
			if own := row(ticket(int(got.seq)), 1); !strings.Contains(got.text, own) {
				t.Errorf("%+v, want page 1 of the query", got)
			}
		}
	}
	if served < rounds*queries/2 {
		t.Errorf("%d of %d queries served", served, rounds*queries)
	}
}
