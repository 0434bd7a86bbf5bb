package server_test

import (
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestInputMemoryLimit guards against memory that grows with what clients have sent: messages of which a part
// has arrived, prepared statements and portals. The connection of a client for whose input there is no room
// ends, others are served, and what a client held is free again when it has left.
func TestInputMemoryLimit(t *testing.T) {
	const limit, part, clients = 1_000_000, 150_000, 20
	long := strings.Repeat("x", part)
	encode := func(messages ...pgproto3.FrontendMessage) (b []byte) {
		for _, m := range messages {
			b, _ = m.Encode(b)
		}
		return b
	}
	whole := encode(&pgproto3.Query{String: "select 1 --" + long})
	for name, input := range map[string][]byte{
		"half sent": whole[:len(whole)-10],
		"prepared":  encode(&pgproto3.Parse{Name: "a", Query: "select 1 --" + long}, &pgproto3.Sync{}),
		"bound": encode(&pgproto3.Parse{Query: "select $1"}, &pgproto3.Bind{DestinationPortal: "p",
			Parameters: [][]byte{[]byte(long)}}, &pgproto3.Flush{}),
	} {
		t.Run(name, func(t *testing.T) {
			_, s := startDispatcher(t, 1, strings.Replace(baseSettings, "hold_back",
				"max_input_memory = 1000000\nhold_back", 1))
			usual := dialServer(t, s)
			var all []*wireClient
			for range clients {
				c := dialServer(t, s)
				c.conn.Write(input) // fails if the connection is closed meanwhile
				all = append(all, c)
			}
			eventually(t, "the clients over the limit are gone", func() bool {
				return s.Clients() <= 1+limit/part
			})
			if seen := usual.query("select 1"); countPrefix(seen, "C") != 1 {
				t.Errorf("a usual client got %v", seen)
			}
			for _, c := range all {
				_ = c.conn.(*net.TCPConn).CloseWrite() // fails if the connection has ended
				// A close over unread bytes resets the connection, and the error may be lost with it. Z
				// answers an accepted Sync.
				for _, got := range c.readToEnd() {
					if got != "E:53200" && got != "closed" && got != "Z" {
						t.Errorf("a client got %s, want 53200, an answer or the end of its connection", got)
					}
				}
				c.conn.Close()
			}
			eventually(t, "the others are gone", func() bool { return s.Clients() == 1 })
			for range clients {
				if seen := usual.query("select 1 --" + long); countPrefix(seen, "C") != 1 {
					t.Fatalf("a long statement, once there is room again: %v", seen)
				}
			}
		})
	}
}
