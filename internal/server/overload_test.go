package server_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// TestResponseMemoryLimit checks that new queries are rejected while responses that clients do not read use
// up the memory for responses, and are served again once it is free.
func TestResponseMemoryLimit(t *testing.T) {
	_, s := startDispatcher(
		t,
		1,
		strings.Replace(baseSettings, "hold_back", "max_answer_memory = 100000\nhold_back", 1),
	)
	slow := dialServer(t, s)
	slow.conn.(*net.TCPConn).SetReadBuffer(4096)
	slow.send(&pgproto3.Query{String: "select 1 /*rows='100000',row_bytes='1000'*/"})
	c := dialServer(t, s)
	var seen []string
	eventually(t, "a rejection", func() bool {
		seen = c.query("select 1")
		return countPrefix(seen, "E:53000") == 1
	})
	slow.conn.Close()
	eventually(t, "capacity again", func() bool {
		return countPrefix(c.query("select 1"), "C") == 1
	})
}

// TestOverloadLimits checks that the dispatcher, at its own limits, rejects new queries and clients at once
// and with the reason, and serves those that it has already admitted.
func TestOverloadLimits(t *testing.T) {
	_, s := startDispatcher(
		t,
		1,
		strings.Replace(baseSettings, "hold_back", "max_held = 2\nmax_per_user = 4\nhold_back",
			1),
	)
	var running []*wireClient
	for range 2 {
		c := dialServer(t, s)
		c.send(&pgproto3.Query{String: "select 1 /*work_ms='400'*/"})
		running = append(running, c)
	}
	eventually(t, "both run", func() bool { return s.Stats().Running == 2 })
	third := connect(t, s, "")
	begin := time.Now()
	_, err := third.Exec(context.Background(), "select 1", pgx.QueryExecModeSimpleProtocol)
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != "53000" || !strings.Contains(e.Message, "2 queries wait") ||
		time.Since(begin) > time.Second {
		t.Errorf("a third query after %v: %v", time.Since(begin), err)
	}
	for _, c := range running {
		if seen := c.readUntil("Z"); countPrefix(seen, "C") != 1 {
			t.Errorf("a query admitted before got %v", seen)
		}
	}
	if _, err := third.Exec(context.Background(), "select 1", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Errorf("a query after the admitted ones have ended: %v", err)
	}
	dialServer(t, s)
	if _, err := pgx.Connect(context.Background(), connectionString(s, "")); sqlState(err) != "53300" ||
		!strings.Contains(err.Error(), `user "u" has 4 connections`) {
		t.Errorf("a fifth connection of a user: %v", err)
	}
	if c, err := pgx.Connect(context.Background(), strings.Replace(connectionString(s, ""), "u:p@", "other@",
		1)); err != nil {
		t.Errorf("another user: %v", err)
	} else {
		c.Close(context.Background())
	}
}
