package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/standin"
)

// TestClientDisconnects checks clients that disconnect or cancel while their query runs or waits. The engine
// stops working on the query, and the next query on that engine connection gets its own response. A query
// that still waits is not sent.
func TestClientDisconnects(t *testing.T) {
	r, s := startDispatcher(
		t,
		1,
		strings.Replace(baseSettings, `connect_timeout = "500ms"`, `connect_timeout = "500ms"
  max_connections = 2`, 1),
	)
	// The engine cancels late. If its connection were reused too early, the next query would be cancelled.
	r.Engines[0].SetFaults(standin.Faults{SlowCancel: 100 * time.Millisecond})
	runs := func() (running, cancelled int) {
		for _, v := range r.Engines[0].Runs() {
			switch v.Outcome {
			case "":
				running++
			case "cancelled":
				cancelled++
			}
		}
		return
	}
	for i, disconnect := range []func(c *wireClient){
		func(c *wireClient) { c.conn.Close() },
		func(c *wireClient) { c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
		func(c *wireClient) { c.send(&pgproto3.Terminate{}); c.conn.Close() },
	} {
		c := dialServer(t, s)
		c.send(&pgproto3.Query{String: "select 1 /*work_ms='60000'*/"})
		eventually(t, "query runs", func() bool { n, _ := runs(); return n == 1 })
		disconnect(c)
		other := dialServer(t, s) // at once, while the cancel is still in flight
		for n := range 5 {
			text := fmt.Sprintf("own-%d-%d", i, n)
			seen := other.query("select 1 /*work_ms='30',echo='" + text + "'*/")
			if countPrefix(seen, "D:"+text) != 1 || countPrefix(seen, "E") != 0 {
				t.Fatalf("disconnect %d: next query got %v, want its own row", i, seen)
			}
		}
		eventually(t, "work stops", func() bool { n, k := runs(); return n == 0 && k == i+1 })
	}
	// After a cancel request the client gets 57014 and its connection stays usable.
	c := connect(t, s, "")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		eventually(t, "query runs", func() bool { n, _ := runs(); return n == 1 })
		cancel()
	}()
	pc := c.PgConn()
	res := pc.Exec(context.Background(), "select 1 /*work_ms='60000'*/")
	<-ctx.Done()
	if err := pc.CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := res.ReadAll(); sqlState(err) != "57014" {
		t.Fatalf("cancelled query: %v, want 57014", err)
	}
	if n, err := queryRowCount(t, c, "select 1 /*rows='2'*/"); n != 2 || err != nil {
		t.Fatalf("query after the cancel: %d rows, %v", n, err)
	}
	// A query whose client disconnects while it is queued is never sent.
	c2 := dialServer(t, s)
	c2.send(&pgproto3.Query{String: "select 1 /*class='nowhere',id='held'*/"})
	time.Sleep(30 * time.Millisecond)
	c2.conn.Close()
	eventually(t, "all ended", func() bool { return s.Stats().Open == 0 })
	for _, v := range r.Engines[0].Runs() {
		if v.ID == "held" {
			t.Error("a query was sent after its client had left")
		}
	}
}

// TestPipelineSkipsAfterRejection checks a pipeline of ten queries whose third one is rejected. The client
// gets two responses and one error, the rest is skipped up to Sync, and the next query is served.
func TestPipelineSkipsAfterRejection(t *testing.T) {
	r, s := startDispatcher(t, 1, baseSettings)
	c := dialServer(t, s)
	var all []pgproto3.FrontendMessage
	for i := range 10 {
		class := "lookup"
		if i == 2 {
			class = "nowhere"
		}
		all = append(all, &pgproto3.Parse{Query: fmt.Sprintf("select $1::text /*class='%s'*/", class)},
			&pgproto3.Bind{Parameters: [][]byte{[]byte(fmt.Sprintf("p%d;work_ms=1", i))}},
			&pgproto3.Execute{})
	}
	c.send(append(all, &pgproto3.Sync{})...)
	if got := strings.Join(c.readUntil("Z"), " "); got != "1 2 D:"+strings.Repeat("v",
		20)+" C 1 2 D:"+strings.Repeat("v", 20)+
		" C 1 2 E:53000 Z" {
		t.Errorf("the pipeline got %s", got)
	}
	if n := len(r.Engines[0].Runs()); n != 2 {
		t.Errorf("the engine got %d queries, want 2", n)
	}
	if seen := c.query("select 1 /*echo='x'*/"); countPrefix(seen, "D:x") != 1 {
		t.Errorf("query after the pipeline: %v", seen)
	}
}

// TestMalformedClientMessages checks that a malformed message ends its own connection with FATAL 08P01 and
// affects no other connection.
func TestMalformedClientMessages(t *testing.T) {
	_, s := startDispatcher(t, 1, strings.Replace(baseSettings, "hold_back",
		"startup_timeout = \"3s\"\nhold_back", 1))
	good := dialServer(t, s)
	start, _ := (&pgproto3.StartupMessage{ProtocolVersion: 3 << 16,
		Parameters: map[string]string{"user": "u"}}).Encode(nil)
	for name, b := range map[string][]byte{
		"startup of 1 GB":  {0x40, 0, 0, 0, 0, 3, 0, 0},
		"short startup":    {0, 0, 0, 5, 1},
		"version 2":        {0, 0, 0, 8, 0, 2, 0, 0},
		"message of 1 GB":  append(append([]byte{}, start...), 'Q', 0x40, 0, 0, 0, 'x'),
		"unknown type":     append(append([]byte{}, start...), '!', 0, 0, 0, 4),
		"negative length":  append(append([]byte{}, start...), 'Q', 0xff, 0, 0, 0),
		"text without end": append(append([]byte{}, start...), 'Q', 0, 0, 0, 5, 'x'),
		"bind cut short":   append(append([]byte{}, start...), 'B', 0, 0, 0, 7, 0, 0, 9),
		"password unasked": append(append([]byte{}, start...), 'p', 0, 0, 0, 5, 0),
	} {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(b)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		got, err := io.ReadAll(c)
		if err != nil && !errors.Is(err, io.EOF) || !strings.Contains(string(got), "FATAL") ||
			!strings.Contains(string(got), "08P01") {
			t.Errorf("%s: got %q, %v, want FATAL 08P01", name, got, err)
		}
		c.Close()
	}
	// The rest of an incomplete startup packet is awaited no longer than startup_timeout.
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(start[:7])
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, _ := io.ReadAll(c); !strings.Contains(string(got), "no startup packet") {
		t.Errorf("incomplete startup packet: %q", got)
	}
	if seen := good.query("select 1 /*echo='still'*/"); countPrefix(seen, "D:still") != 1 {
		t.Errorf("query of the client that connected first: %v", seen)
	}
	eventually(t, "all other clients are gone", func() bool { return s.Clients() == 1 })
}

// TestClientLimit opens a thousand connections. It checks that no more than the limit are admitted, that
// those beyond it get 53300 or are closed, and that a client that connected before is served. The startup
// timeout is long, as on a busy machine a late startup packet would get the error of the timeout instead.
func TestClientLimit(t *testing.T) {
	_, s := startDispatcher(t, 1, strings.Replace(baseSettings, "hold_back",
		"startup_timeout = \"1m\"\nmax_clients = 500\nhold_back", 1))
	good := dialServer(t, s)
	start, _ := (&pgproto3.StartupMessage{ProtocolVersion: 3 << 16,
		Parameters: map[string]string{"user": "u"}}).Encode(nil)
	var open []net.Conn
	admitted, unexpected := 1, 0
	for range 1000 {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
		c.Write(start)
	}
	for _, c := range open {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		buf := make([]byte, 4096)
		switch n, _ := c.Read(buf); {
		case n > 0 && buf[0] == 'R':
			admitted++
		case n > 0 && !strings.Contains(string(buf[:n]), "53300"):
			unexpected++
			t.Logf("%q", buf[:n])
		}
	}
	for _, c := range open {
		c.Close()
	}
	if admitted != 500 || unexpected > 0 {
		t.Errorf("%d clients admitted with a limit of 500, %d got another error", admitted, unexpected)
	}
	if seen := good.query("select 1 /*echo='still'*/"); countPrefix(seen, "D:still") != 1 {
		t.Errorf("query of the client that connected first: %v", seen)
	}
	eventually(t, "all other clients are gone", func() bool { return s.Clients() == 1 })
}

// TestSlowReader checks that the dispatcher stops reading the response of a client that does not read it,
// that other clients are served meanwhile, and that the buffered bytes are bounded.
func TestSlowReader(t *testing.T) {
	r, s := startDispatcher(
		t,
		1,
		strings.Replace(baseSettings, "hold_back", "client_buffer = 65536\nhold_back", 1),
	)
	slow := dialServer(t, s)
	slow.conn.(*net.TCPConn).SetReadBuffer(4096)
	slow.send(&pgproto3.Query{String: "select 1 /*rows='200000',row_bytes='1000'*/"})
	time.Sleep(300 * time.Millisecond)
	other := dialServer(t, s)
	for range 20 {
		if seen := other.query("select 1"); countPrefix(seen, "C") != 1 {
			t.Fatalf("another client got %v", seen)
		}
	}
	if p := s.PendingBytes(); p > 2<<20 {
		t.Errorf("%d bytes buffered, want at most 2 MB: a client's limit is 64 kB and a message", p)
	}
	if n := r.Engines[0].Runs()[0]; n.Outcome != "" {
		t.Errorf("the engine has sent 200 MB for a client that does not read: %s", n.Outcome)
	}
	slow.conn.Close()
	eventually(t, "all ended", func() bool { return s.Stats().Open == 0 && s.Stats().Running == 0 })
}
