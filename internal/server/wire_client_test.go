package server_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/server"
)

// wireClient is a PostgreSQL client that returns each message that it receives.
type wireClient struct {
	t        *testing.T
	conn     net.Conn
	frontend *pgproto3.Frontend

	pid    uint32 // for cancel requests, like secret
	secret []byte
}

// dialServer connects to a dispatcher and starts a session.
func dialServer(t *testing.T, s *server.Server) *wireClient {
	t.Helper()
	return dialAddress(t, s.Addr())
}

// dialAddress connects to any PostgreSQL server and starts a session.
func dialAddress(t *testing.T, addr string) *wireClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c := &wireClient{t: t, conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	c.send(&pgproto3.StartupMessage{ProtocolVersion: 3 << 16, Parameters: map[string]string{"user": "u"}})
	c.readUntil("Z")
	return c
}

// send sends and flushes messages.
func (c *wireClient) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, m := range messages {
		c.frontend.Send(m)
	}
	if err := c.frontend.Flush(); err != nil {
		c.t.Fatal(err)
	}
}

// query sends a query over the simple protocol and reads up to its ReadyForQuery.
func (c *wireClient) query(text string) []string {
	c.t.Helper()
	c.send(&pgproto3.Query{String: text})
	return c.readUntil("Z")
}

// readUntil reads up to a message of a kind and returns the kinds of all messages in order. Z, K, C, 1 and 2
// are message types of the protocol, "D:" is followed by the value of a row's second column and "E:" by an
// error's code. Other messages are named by their Go type.
func (c *wireClient) readUntil(kind string) (seen []string) {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			c.t.Fatalf("after %v: %v", seen, err)
		}
		var seenKind string
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			seenKind = "Z"
		case *pgproto3.DataRow:
			seenKind = "D:" + string(m.Values[1])
		case *pgproto3.ErrorResponse:
			seenKind = "E:" + m.Code
		case *pgproto3.CommandComplete:
			seenKind = "C"
		case *pgproto3.BackendKeyData:
			c.pid, c.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
			seenKind = "K"
		case *pgproto3.BindComplete:
			seenKind = "2"
		case *pgproto3.ParseComplete:
			seenKind = "1"
		default:
			seenKind = strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
		}
		if seen = append(seen, seenKind); seenKind == kind {
			return seen
		}
	}
}

// readToEnd reads up to ReadyForQuery, a FATAL error or the end of the connection. It returns "C" for each
// completed command, the errors, and the end: "Z", the FATAL error or "closed".
func (c *wireClient) readToEnd() (seen []string) {
	c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	defer c.conn.SetReadDeadline(time.Time{})
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return append(seen, "closed")
		}
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			seen = append(seen, "C")
		case *pgproto3.ErrorResponse:
			if seen = append(seen, "E:"+m.Code); m.Severity == "FATAL" {
				return seen
			}
		case *pgproto3.ReadyForQuery:
			return append(seen, "Z")
		}
	}
}

// countPrefix returns the number of message kinds that begin with a prefix.
func countPrefix(seen []string, prefix string) (n int) {
	for _, kind := range seen {
		if strings.HasPrefix(kind, prefix) {
			n++
		}
	}
	return n
}
