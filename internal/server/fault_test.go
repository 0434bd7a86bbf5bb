package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/config"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal"
	"cresspass/internal/rehearsal/rulecheck"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

// wireClient is a client that shows each message.
type wireClient struct {
	t        *testing.T
	conn     net.Conn
	frontend *pgproto3.Frontend

	pid    uint32
	secret []byte
}

func dialServer(t *testing.T, s *server.Server) *wireClient {
	t.Helper()
	return dialAddress(t, s.Addr())
}

func dialAddress(t *testing.T, addr string) *wireClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	r := &wireClient{t: t, conn: c, frontend: pgproto3.NewFrontend(c, c)}
	r.send(&pgproto3.StartupMessage{ProtocolVersion: 3 << 16, Parameters: map[string]string{"user": "u"}})
	r.readUntil("Z")
	return r
}

func (r *wireClient) send(all ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range all {
		r.frontend.Send(m)
	}
	if err := r.frontend.Flush(); err != nil {
		r.t.Fatal(err)
	}
}

// readUntil reads up to a message of a kind and returns all kinds in order, errors with their code.
func (r *wireClient) readUntil(kind string) (seen []string) {
	r.t.Helper()
	r.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	for {
		m, err := r.frontend.Receive()
		if err != nil {
			r.t.Fatalf("after %v: %v", seen, err)
		}
		k := ""
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			k = "Z"
		case *pgproto3.DataRow:
			k = "D:" + string(m.Values[1])
		case *pgproto3.ErrorResponse:
			k = "E:" + m.Code
		case *pgproto3.CommandComplete:
			k = "C"
		case *pgproto3.BackendKeyData:
			r.pid, r.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
			k = "K"
		case *pgproto3.BindComplete:
			k = "2"
		case *pgproto3.ParseComplete:
			k = "1"
		default:
			k = strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
		}
		if seen = append(seen, k); k == kind {
			return seen
		}
	}
}

func countPrefix(seen []string, prefix string) (n int) {
	for _, k := range seen {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func queryRowCount(t *testing.T, c *pgx.Conn, text string) (rows int, err error) {
	t.Helper()
	r, err := c.Query(context.Background(), text, pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	for r.Next() {
		rows++
	}
	return rows, r.Err()
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// An engine that dies before a byte of its answer went out costs the client nothing; after, it costs exactly
// one error.
func TestEngineDiesMidResponse(t *testing.T) {
	r, s := startDispatcher(t, 2, baseSettings)
	for _, e := range r.Engines {
		e.Set(standin.Faults{DieAfterRows: 5})
	}
	c := dialServer(t, s)
	// 5 rows of 20 bytes are held back, so the second engine may try, and dies too: then none is left.
	r.Engines[0].Set(standin.Faults{})
	c.send(&pgproto3.Query{String: "select 1 /*rows='20'*/"})
	if seen := c.readUntil("Z"); countPrefix(seen, "D") != 20 || countPrefix(seen, "E") != 0 {
		t.Fatalf("answer in spite of a death: %v", seen)
	}
	// Rows beyond what is held back have gone out when the engine dies.
	r.Engines[0].Set(standin.Faults{DieAfterRows: 50})
	if up, _ := r.Engines[1].Up(); up {
		r.Engines[1].Set(standin.Faults{DieAfterRows: 50})
	}
	before := s.Stats()
	c.send(&pgproto3.Query{String: "select 1 /*rows='100',row_bytes='500'*/"})
	seen := c.readUntil("Z")
	if n := countPrefix(seen, "D"); n == 0 || n > 50 || countPrefix(seen, "E") != 1 || countPrefix(seen,
		"E:08007") != 1 ||
		seen[len(seen)-2] != "E:08007" || countPrefix(seen, "C") != 0 {
		t.Fatalf("%d rows, then %v", n, seen[max(0, len(seen)-4):])
	}
	// The client has its answer a moment before the loop has the attempt's end.
	eventually(t, "the attempt's end", func() bool { return s.Stats().Open == 0 })
	if after := s.Stats(); after.Attempts != before.Attempts+1 || after.Failed != before.Failed+1 {
		t.Errorf("one failed attempt was to be booked: %+v, then %+v", before, after)
	}
}

// A client that goes, or cancels, while its query runs or waits: the engine's work stops, and the next query
// on that engine's connection gets its own answer.
func TestClientDisconnects(t *testing.T) {
	r, s := startDispatcher(
		t,
		1,
		strings.Replace(baseSettings, `connect_timeout = "500ms"`, `connect_timeout = "500ms"
  max_connections = 2`, 1),
	)
	// Canceled late, so that a connection put back too early would have its next query struck.
	r.Engines[0].Set(standin.Faults{SlowCancel: 100 * time.Millisecond})
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
		other := dialServer(t, s) // at once, while the cancel is still on its way
		for n := range 5 {
			text := fmt.Sprintf("own-%d-%d", i, n)
			other.send(&pgproto3.Query{String: "select 1 /*work_ms='30',echo='" + text + "'*/"})
			if seen := other.readUntil("Z"); countPrefix(seen, "D:"+text) != 1 ||
				countPrefix(seen, "E") != 0 {
				t.Fatalf("way %d: next query got %v", i, seen)
			}
		}
		eventually(t, "work stops", func() bool { n, k := runs(); return n == 0 && k == i+1 })
	}
	// Cancel by name: the client gets 57014 and goes on.
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
		t.Fatalf("cancelled query: %v", err)
	}
	if n, err := queryRowCount(t, c, "select 1 /*rows='2'*/"); n != 2 || err != nil {
		t.Fatalf("after the cancel: %d rows, %v", n, err)
	}
	// A client that goes while its query is held: nothing of it is ever sent.
	c2 := dialServer(t, s)
	c2.send(&pgproto3.Query{String: "select 1 /*class='nowhere',id='held'*/"})
	time.Sleep(30 * time.Millisecond)
	c2.conn.Close()
	eventually(t, "all ended", func() bool { return s.Stats().Open == 0 })
	for _, v := range r.Engines[0].Runs() {
		if v.ID == "held" {
			t.Error("a query was sent whose client had gone")
		}
	}
}

// A pipeline of ten whose third is refused: two answers, one error, the rest skipped up to Sync, and the next
// works.
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
		t.Errorf("pipeline answered by %s", got)
	}
	if n := len(r.Engines[0].Runs()); n != 2 {
		t.Errorf("%d queries came to the engine, want 2", n)
	}
	c.send(&pgproto3.Query{String: "select 1 /*echo='x'*/"})
	if seen := c.readUntil("Z"); countPrefix(seen, "D:x") != 1 {
		t.Errorf("after the pipeline: %v", seen)
	}
}

// An answer that comes late meets that of a second attempt: the client gets one. So does one from an engine
// that has left the list, and an engine that came back under its old address serves.
func TestLateResponses(t *testing.T) {
	r, s := startDispatcher(t, 2, baseSettings)
	c := connect(t, s, "")
	for _, e := range r.Engines {
		e.Set(standin.Faults{Hang: true})
	}
	done := make(chan error, 1)
	go func() {
		n, err := queryRowCount(t, c, "select 1 /*rows='3',cost_ms='80',work_ms='50',id='late'*/")
		if err == nil && n != 3 {
			err = fmt.Errorf("%d rows", n)
		}
		done <- err
	}()
	attempts := func() (n int) {
		for _, e := range r.Engines {
			for _, v := range e.Runs() {
				if v.ID == "late" {
					n++
				}
			}
		}
		return n
	}
	eventually(t, "a second attempt", func() bool { return attempts() == 2 })
	for _, e := range r.Engines { // both answer now
		e.Set(standin.Faults{})
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if n, err := queryRowCount(t, c, "select 1 /*rows='7'*/"); n != 7 || err != nil {
		t.Fatalf("next query: %d rows, %v", n, err)
	}

	go func() {
		n, err := queryRowCount(t, c, "select 1 /*rows='4',cost_ms='500',work_ms='400',id='gone'*/")
		if err == nil && n != 4 {
			err = fmt.Errorf("%d rows", n)
		}
		done <- err
	}()
	eventually(t, "it runs", func() bool { return s.Stats().Running == 1 })
	for i := range r.Engines {
		r.Change(i, func(e *eds.Engine) { e.State = "" }) // off the list, still at work
	}
	if err := <-done; err != nil {
		t.Fatalf("answer of an engine that left the list: %v", err)
	}
	r.Engines[0].Die()
	if err := r.Engines[0].Restart(); err != nil {
		t.Fatal(err)
	}
	r.Change(0, func(e *eds.Engine) { e.State, e.Started = eds.StateActive, r.Engines[0].Started() })
	eventually(t, "the new process serves", func() bool {
		n, err := queryRowCount(t, c, "select 1 /*rows='2'*/")
		return n == 2 && err == nil
	})
}

// Bytes that are no protocol, from clients: each ends its own connection with FATAL 08P01 and nothing else.
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
			t.Errorf("%s: %q, %v", name, got, err)
		}
		c.Close()
	}
	// Half a startup packet is waited for no longer than the limit.
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(start[:7])
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, _ := io.ReadAll(c); !strings.Contains(string(got), "no startup packet") {
		t.Errorf("half a startup packet: %q", got)
	}
	good.send(&pgproto3.Query{String: "select 1 /*echo='still'*/"})
	if seen := good.readUntil("Z"); countPrefix(seen, "D:still") != 1 {
		t.Errorf("a client that was there all along: %v", seen)
	}
	eventually(t, "all have gone", func() bool { return s.Clients() == 1 })
}

// A thousand connections opened and left: no more than the limit are let in, and those beyond it are told
// 53300 or closed. A client that was there all along is served. The time for a startup packet is long here:
// on a busy machine one that came late would be told of that and not of the limit.
func TestClientLimit(t *testing.T) {
	_, s := startDispatcher(t, 1, strings.Replace(baseSettings, "hold_back",
		"startup_timeout = \"1m\"\nmax_clients = 500\nhold_back", 1))
	good := dialServer(t, s)
	start, _ := (&pgproto3.StartupMessage{ProtocolVersion: 3 << 16,
		Parameters: map[string]string{"user": "u"}}).Encode(nil)
	var open []net.Conn
	in, odd := 1, 0
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
			in++
		case n > 0 && !strings.Contains(string(buf[:n]), "53300"):
			odd++
			t.Logf("%q", buf[:n])
		}
	}
	for _, c := range open {
		c.Close()
	}
	if in != 500 || odd > 0 {
		t.Errorf("%d let in at a limit of 500, %d told something else", in, odd)
	}
	good.send(&pgproto3.Query{String: "select 1 /*echo='still'*/"})
	if seen := good.readUntil("Z"); countPrefix(seen, "D:still") != 1 {
		t.Errorf("a client that was there all along: %v", seen)
	}
	eventually(t, "all have gone", func() bool { return s.Clients() == 1 })
}

// Engines whose answers are no protocol, are cut off, fail or are full: each query still has one final
// answer, and the good engine's.
func TestFaultyEngines(t *testing.T) {
	r, s := startDispatcher(t, 4, baseSettings)
	r.Engines[0].Set(standin.Faults{Garbage: true})
	r.Engines[1].Set(standin.Faults{Cut: 1})
	r.Engines[2].Set(standin.Faults{Full: true})
	c := connect(t, s, "")
	served := 0
	for i := range 60 {
		n, err := queryRowCount(t, c, fmt.Sprintf("select 1 /*rows='4',id='b%d'*/", i))
		switch {
		case err == nil && n == 4:
			served++
		case sqlState(err) != "53000" && sqlState(err) != "08007":
			t.Fatalf("query %d: %d rows, %v", i, n, err)
		}
	}
	if served < 50 {
		t.Errorf("served %d of 60 with one good engine of four", served)
	}
	// What changes data is sent once, whatever comes of it, unless nothing ran.
	for i := range 20 {
		c.Exec(context.Background(), fmt.Sprintf("insert into t values (1) /*id='w%d'*/", i))
	}
	sent := map[string]int{}
	for _, e := range r.Engines {
		for _, v := range e.Runs() {
			if strings.HasPrefix(v.ID, "w") && v.Outcome != "full" {
				if sent[v.ID]++; sent[v.ID] > 1 {
					t.Errorf("%s may have run twice", v.ID)
				}
			}
		}
	}
}

// A client that does not read stops the reading of its own answer; others go on, and memory stays bounded.
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
		other.send(&pgproto3.Query{String: "select 1"})
		if seen := other.readUntil("Z"); countPrefix(seen, "C") != 1 {
			t.Fatalf("another client got %v", seen)
		}
	}
	if p := s.PendingBytes(); p > 2<<20 {
		t.Errorf("%d bytes wait for clients; a client's limit is 64 kB and a message", p)
	}
	if n := r.Engines[0].Runs()[0]; n.Outcome != "" {
		t.Errorf("the engine has sent 200 MB to a client that does not read: %s", n.Outcome)
	}
	slow.conn.Close()
	eventually(t, "all ended", func() bool { return s.Stats().Open == 0 && s.Stats().Running == 0 })
}

// Thousands of mixed requests over both query protocols, with engines that fail: relays on both sides count
// exactly one final answer for each, every rule is kept, and no load has its effect twice.
func TestThousandsOfRequests(t *testing.T) {
	total := 6000
	if testing.Short() {
		total = 600
	}
	cfg := make([]standin.EngineConfig, 4)
	for i := range cfg {
		cfg[i] = standin.EngineConfig{Kind: testbed.Kind(16, 8192), Window: 15 * time.Second, Seed: 5}
	}
	r, err := testbed.New(cfg...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	rec := rulecheck.NewRecorder()
	places := map[string]rulecheck.Endpoint{}
	var relays []*rulecheck.Relay
	for _, e := range r.Engines {
		relay, err := rec.NewRelay(rulecheck.Engines, "", e.Addr())
		if err != nil {
			t.Fatal(err)
		}
		relays = append(relays, relay)
		e.Entry.Address = relay.Addr()
		places[relay.Addr()] = rulecheck.Endpoint{Zone: "a", Kind: "std", Cores: 16}
	}
	r.Publish()
	s, err := r.Dispatch(strings.Replace(baseSettings, "engines {", "engines {\n  user = \"d0\"", 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	front, err := rec.NewRelay(rulecheck.Clients, "d0", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	listedAt := time.Now()
	r.Engines[1].Set(standin.Faults{Cut: 0.05, ErrorShare: 0.05})
	r.Engines[2].Set(standin.Faults{LoseShare: 0.02, SlowCancel: 30 * time.Millisecond})
	var wg sync.WaitGroup
	next := make(chan int)
	ends := map[string]int{}
	var mu sync.Mutex
	for range 48 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *pgx.Conn
			defer func() {
				if c != nil {
					c.Close(context.Background())
				}
			}()
			for i := range next {
				if c == nil || c.IsClosed() {
					var err error
					if c, err = pgx.Connect(context.Background(),
						"postgres://u@"+front.Addr()+"/db?sslmode=disable"); err != nil {
						t.Error(err)
						return
					}
				}
				err := runMixedRequest(c, i)
				mu.Lock()
				ends[sqlState(err)]++
				mu.Unlock()
			}
		}()
	}
	for i := range total {
		if i == total/2 {
			r.Engines[3].Die()
		}
		next <- i
	}
	close(next)
	wg.Wait()
	eventually(t, "all ended", func() bool { return s.Stats().Open == 0 })
	st := s.Stats()
	s.Close()
	front.Close()
	for _, v := range relays {
		v.Close()
	}
	log := rec.Stop(20 * time.Second)
	log.Notifications = []rulecheck.Notification{{At: listedAt, Dispatcher: "d0", Engines: places}}
	parsed, err := config.Parse("x", []byte(baseSettings+"\nroster { eds = \"127.0.0.1:1\" }"))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range rulecheck.Judge(rehearsal.ParametersFromConfig(&parsed.Module), log) {
		if !v.Judged || !v.Kept {
			t.Error(v)
		}
	}
	timeouts := 0 // of clients; some gave up before they had asked
	for end, n := range ends {
		if strings.HasPrefix(end, "timeout") {
			timeouts += n
		}
	}
	if len(log.Requests) > total || len(log.Requests) < total-timeouts || st.Overdue != 0 {
		t.Errorf("%d asks seen of %d, %d clients gave up; books %+v", len(log.Requests), total, timeouts, st)
	}
	if ends["<nil>"] < total*8/10 {
		t.Errorf("served %d of %d: %v", ends["<nil>"], total, ends)
	}
	for id, times := range r.Group.Ran() {
		if len(times) > 1 {
			t.Errorf("load %s had its effect %d times", id, len(times))
		}
	}
	t.Logf("ends %v, books %+v", ends, st)
}

// runMixedRequest puts request i: a lookup, a report, a load or a write, over the simple or the extended
// protocol; some clients give up early.
func runMixedRequest(c *pgx.Conn, i int) error {
	ctx := context.Background()
	class, head, more := "lookup", "select n, value from t where id = ", ",rows='3',work_ms='5'"
	switch i % 10 {
	case 6:
		more = ",rows='300',row_bytes='100',work_ms='20'"
	case 7, 8:
		class, head, more = "index-load", "insert into t select ",
			fmt.Sprintf(",loads='1',work_ms='10',key='k%d',tables='t%d'", i%7, i%7)
	case 9:
		class, head, more = "write", "insert into t select ", ",work_ms='5'"
	}
	if i%37 == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rand.IntN(8))*time.Millisecond)
		defer cancel()
	}
	tags := fmt.Sprintf("id='r%d',class='%s'%s", i, class, more)
	if i%2 == 0 {
		_, err := c.Exec(ctx, head+"1 /*"+tags+"*/", pgx.QueryExecModeSimpleProtocol)
		return err
	}
	key := ""
	if class == "index-load" {
		key = fmt.Sprintf(",key='k%d'", i%7)
	}
	parameter := strings.NewReplacer("','", ";", "',", ";", "='", "=", "'", "").Replace(tags)
	parameter = strings.TrimPrefix(parameter, "id=")
	_, err := c.Exec(ctx, head+"$1::text /*class='"+class+"'"+key+"*/", parameter)
	return err
}
