package platform

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"cresspass/internal/protocol/thrift"
)

// testClient is a client with one connection.
type testClient struct {
	t       *testing.T
	conn    net.Conn
	reader  *bufio.Reader
	lastSeq int32
}

func newTestClient(t *testing.T, conn net.Conn) *testClient {
	return &testClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// requestFields returns the fields of a request. more holds further fields as pairs of name and value.
func requestFields(ticket, class, limit string, more ...string) thrift.Fields {
	pairs := append([]string{"txn", ticket, "verb", class, "limit", limit, "cpu", "300.0", "heap_mb", "64"},
		more...)
	var fields thrift.Fields
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, thrift.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return fields
}

// ticket returns the ticket of the n-th request.
func ticket(n int) string { return fmt.Sprintf("%016x", n) }

// send sends a request and returns its sequence number.
func (c *testClient) send(fields thrift.Fields) int32 {
	c.lastSeq++
	b := thrift.Dispatch{Fields: fields, Body: []byte("SELECT 1 FROM sales_3.t")}.Append(nil, c.lastSeq)
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
	return c.lastSeq
}

// reply is what a client receives. Its kind is "answer", "shed", "fault" or "exception", or, if the
// connection ends, "closed" before a reply and "cut" within one.
type reply struct {
	kind string
	seq  int32
	text string
}

// receive reads the next reply.
func (c *testClient) receive() reply {
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return reply{kind: "closed"}
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c.reader, b); err != nil {
		return reply{kind: "cut"}
	}
	h, err := thrift.ParseRequest(b)
	if err != nil {
		c.t.Fatal(err)
	}
	at := 4 + 4 + len(h.Name) + 4
	out := reply{kind: "exception", seq: h.Seq, text: string(b[at:])}
	if h.Type == thrift.Reply {
		out.kind = map[byte]string{0: "answer", 1: "shed", 2: "fault"}[b[at+2]]
	}
	return out
}

// mustServe sends one request and expects its own result with that number of pages.
func (c *testClient) mustServe(n, pages int) {
	c.t.Helper()
	id := ticket(n)
	seq := c.send(requestFields(id, "quick", "2000"))
	got := c.receive()
	if got.kind != "answer" || got.seq != seq {
		c.t.Fatalf("request %d: got %s for sequence number %d: %q", n, got.kind, got.seq, got.text)
	}
	for p := range pages {
		if !strings.Contains(got.text, row(id, p)) {
			c.t.Fatalf("request %d: page %d is missing in the result %q", n, p, got.text)
		}
	}
}
