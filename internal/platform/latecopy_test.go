package platform

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// copyOnNextCall answers a call, and answers the next call on the same connection with a copy of the same
// bytes.
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

// rawPage returns a response with a page of a result. header holds the page number or the page count.
func rawPage(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// TestLateCopyOfNumberedPage guards against an answer with rows of another client's query: a late copy of a
// page was taken for the page with the same number of the next query on the connection.
func TestLateCopyOfNumberedPage(t *testing.T) {
	const rounds, queries, sockets = 8, 24, 32 // so few sockets that polls wait for connections in the pool
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
				continue // rejected, as some requests may be for lack of capacity
			}
			served++
			if own := row(ticket(int(got.seq)), 1); !strings.Contains(got.text, own) {
				t.Errorf("got %+v, want page 1 of the query's own result", got)
			}
		}
	}
	if served < rounds*queries/2 {
		t.Errorf("%d of %d queries served, want at least half", served, rounds*queries)
	}
}

// TestLateCopyOfRejection guards against a repeated effect: a late copy of a rejection or an error was taken
// for the response to the next query. That query ran, but counted as not run or as ended.
func TestLateCopyOfRejection(t *testing.T) {
	const rejectionForgotten = 1500 * time.Millisecond // after this time the compute node gets queries again
	for name, response := range map[string]string{
		"rejection": "HTTP/1.1 503 Full\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n",
		"late":      "HTTP/1.1 504 Late\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n",
		"error":     "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWith(t, 256, `"max-attempts":6`, `"max-attempts":1`)
			h.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, id string) bool {
				if id == ticket(1) {
					copyOnNextCall(w, response)
				}
				return id == ticket(1)
			})
			client := h.dial()
			client.send(requestFields(ticket(1), "quick", "2000"))
			if got := client.receive(); got.kind == "answer" {
				t.Fatalf("got %+v, want no answer", got)
			}
			time.Sleep(rejectionForgotten)
			client.send(requestFields(ticket(2), "load", "2000", "unique", strings.Repeat("ab", 16)))
			if got := client.receive(); got.kind != "answer" {
				t.Errorf("the next query, which ran: got %+v, want an answer", got)
			}
		})
	}
}
