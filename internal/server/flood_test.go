package server_test

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestFloodDelaysNobody guards against PostgreSQL clients that send small messages without a pause: with one
// processor, other clients got their answers late or never.
func TestFloodDelaysNobody(t *testing.T) {
	const floods, queries, inTime = 8, 15, 2 * time.Second
	encode := func(messages ...pgproto3.FrontendMessage) (b []byte) {
		for _, m := range messages {
			b, _ = m.Encode(b)
		}
		return b
	}
	for name, message := range map[string][]byte{
		"sync":              encode(&pgproto3.Sync{}),
		"parse":             encode(&pgproto3.Parse{Query: "select 1"}, &pgproto3.Sync{}),
		"answered locally":  encode(&pgproto3.Query{String: "show timezone"}),
		"unknown statement": encode(&pgproto3.Bind{PreparedStatement: "no"}, &pgproto3.Sync{}),
	} {
		t.Run(name, func(t *testing.T) {
			_, s := startDispatcher(t, 1, baseSettings)
			usual := dialServer(t, s)
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			many := bytes.Repeat(message, 200)
			for range floods {
				c := dialServer(t, s)
				defer c.conn.Close()
				go func() {
					for err := error(nil); err == nil; {
						_, err = c.conn.Write(many)
					}
				}()
				go io.Copy(io.Discard, c.conn)
			}
			for range queries {
				begun := time.Now()
				seen := usual.query("select 1")
				if took := time.Since(begun); countPrefix(seen, "C") != 1 || took > inTime {
					t.Errorf("a usual client got %v after %v", seen, took)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}
