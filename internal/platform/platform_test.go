package platform

import (
	"fmt"
	"net/http"
	"os"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/protocol/thrift"
	"cresspass/internal/wire"
)

// TestServesAllPages: what a client says reaches the compute node unchanged, and all pages come back in
// order.
func TestServesAllPages(t *testing.T) {
	r := newHarness(t, 256)
	r.node.pages = 4
	a := r.dial()
	a.conn.Write(thrift.AppendAlive(nil, 100))
	if h := a.receive(); h.kind != "answer" || h.seq != 100 {
		t.Fatalf("alive: %+v", h)
	}
	a.mustServe(1, 4)
	if h := r.node.headers; h.Get("X-Queue") != "quick" || h.Get("X-Ticket") != ticket(1) ||
		h.Get("Grant-Mb") == "" || h.Get("X-Max-Ms") == "" {
		t.Errorf("headers %v", h)
	}
	nonce := strings.Repeat("ab", 16)
	a.send(requestFields(ticket(2), "load", "8000", "unique", nonce))
	if h := a.receive(); h.kind != "answer" || r.node.headers.Get("X-Nonce") != nonce {
		t.Errorf("keyed: %+v, headers %v", h, r.node.headers)
	}
}

// TestOrderByKey: of queries of an ordered class with one key, one runs at a time, as they came; other keys,
// and no key, do not wait for it.
func TestOrderByKey(t *testing.T) {
	r := newHarness(t, 256)
	var mu sync.Mutex
	gates := map[string]chan struct{}{ticket(1): make(chan struct{}), ticket(2): make(chan struct{})}
	r.node.setHandler(func(_ http.ResponseWriter, _ *http.Request, call, id string) bool {
		mu.Lock()
		gate := gates[id]
		mu.Unlock()
		if gate != nil && call != "DELETE" {
			<-gate
		}
		return false
	})
	a := r.dial()
	for i, key := range []string{"k", "k", "k", "other", ""} {
		a.send(requestFields(ticket(i+1), "turn", "8000", "item", key, "team", "north"))
	}
	for range 2 {
		if h := a.receive(); h.kind != "answer" || h.seq != 4 && h.seq != 5 {
			t.Errorf("%+v while the first is held, want answers to 4 and 5", h)
		}
	}
	for i := 1; i <= 3; i++ {
		if gate := gates[ticket(i)]; gate != nil {
			eventually(t, "it is sent", func() bool { return r.node.callCount("POST "+ticket(i)) == 1 })
			if n := r.node.callCount("POST " + ticket(i+1)); n > 0 {
				t.Errorf("query %d was sent while the one before it ran", i+1)
			}
			close(gate)
		}
		if h := a.receive(); h.kind != "answer" || h.seq != int32(i) {
			t.Errorf("%+v, want an answer to %d", h, i)
		}
	}
}

// TestMalformedResponses: whatever a compute node spoils, the result is asked for again, by a query that was
// sent once, and nobody gets another's rows.
func TestMalformedResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	page := func(ticket string) string {
		text := row(ticket, 0)
		return fmt.Sprintf("%sPage-Count: 1\r\nContent-Length: %d\r\n\r\n%s", ok, len(text), text)
	}
	for name, spoil := range map[string]func(w http.ResponseWriter, ticket string){
		"reset": func(w http.ResponseWriter, ticket string) { resetConn(w) },
		"noise": func(w http.ResponseWriter, ticket string) { writeRaw(w, "\x01\x02\x03\r\n\r\n") },
		"cut":   func(w http.ResponseWriter, ticket string) { writeRaw(w, page(ticket)[:50]) },
		"noisy rows": func(w http.ResponseWriter, ticket string) {
			writeRaw(w, strings.ReplaceAll(page(ticket), "\t", "?"))
		},
		"second copy": func(w http.ResponseWriter, ticket string) { writeRaw(w, page(ticket)+page(ticket)) },
		"late copy":   func(w http.ResponseWriter, ticket string) { duplicateLater(w, page(ticket)) },
		"never":       func(w http.ResponseWriter, ticket string) { writeRaw(w, "") },
		"three GB": func(w http.ResponseWriter, ticket string) {
			writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		},
		"1xx before it": func(w http.ResponseWriter, t string) {
			writeRaw(w, "HTTP/1.1 102 P\r\n\r\n"+page(t))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 256)
			var n atomic.Int64
			r.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
				if n.Add(1)%3 != 1 {
					return false
				}
				spoil(w, ticket)
				return true
			})
			a := r.dial()
			for i := range 12 {
				a.mustServe(i+1, 1)
			}
			if got := r.node.callCount("POST"); got != 12 {
				t.Errorf("%d queries sent for 12 requests", got)
			}
		})
	}
}

// TestRequestLostInTransit: where the connection breaks while a query comes, and its compute node never got
// it, the query is sent again, and the compute node does not count as one that fails.
func TestRequestLostInTransit(t *testing.T) {
	r := newHarness(t, 256)
	r.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
		if call != "POST" || r.node.callCount("POST "+ticket) > 1 {
			return false
		}
		r.node.forget(ticket)
		resetConn(w)
		return true
	})
	a := r.dial()
	for i := range 12 {
		a.mustServe(i+1, 1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range []cresspass.Outcome{cresspass.OutcomeConnectionReset, cresspass.OutcomeFailed,
		cresspass.OutcomeConnectFailed} {
		if r.outcomes[o] > 0 {
			t.Errorf("an attempt ended with %d", o)
		}
	}
}

// duplicateLater answers, and again a little later.
func duplicateLater(w http.ResponseWriter, text string) {
	c, b, _ := w.(http.Hijacker).Hijack()
	b.WriteString(text)
	b.Flush()
	time.AfterFunc(5*time.Millisecond, func() { b.WriteString(text); b.Flush() })
	time.AfterFunc(200*time.Millisecond, func() { c.Close() })
}

// TestStoppedAttemptWaitsForDelete: an attempt that is stopped is out until its compute node was told.
func TestStoppedAttemptWaitsForDelete(t *testing.T) {
	r := newHarness(t, 256)
	told := make(chan struct{})
	r.node.setHandler(func(w http.ResponseWriter, q *http.Request, call, ticket string) bool {
		if call == "DELETE" {
			<-told
			return false
		}
		w.WriteHeader(202)
		return true
	})
	a := r.dial()
	seq := a.send(requestFields(ticket(1), "quick", "2000"))
	eventually(t, "the query is sent", func() bool { return r.node.callCount("POST") == 1 })
	a.conn.Write(thrift.AppendCancel(nil, a.lastSeq+1, seq))
	eventually(t, "the compute node is told", func() bool { return r.node.callCount("DELETE") == 1 })
	running := func() (n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.attempts)
	}
	if running() != 1 {
		t.Error("the attempt ended before its compute node was told")
	}
	close(told)
	eventually(t, "the attempt ends", func() bool { return running() == 0 })
	if st := r.stats(); st.Abandoned != 1 || st.Open != 0 {
		t.Errorf("%+v", st)
	}
}

// TestMalformedClients: what can't be read gets an error or a close, is never sent on, and leaves others
// alone.
func TestMalformedClients(t *testing.T) {
	r := newHarness(t, 256)
	r.node.keepRunning(0, ticket(0xaa))
	usual := r.dial()
	held := usual.send(requestFields(ticket(0xaa), "quick", "60000"))
	eventually(t, "the usual query runs", func() bool { return r.node.callCount("POST "+ticket(0xaa)) == 1 })
	for name, f := range map[string][][2]string{
		"no id":         {{"verb", "quick"}, {"limit", "100"}},
		"header in id":  requestFields("x\r\nA: b", "quick", "100"),
		"unknown class": requestFields(ticket(9), "nothing", "100"),
		"no number":     requestFields(ticket(9), "quick", "NaN"),
		"negative":      requestFields(ticket(9), "quick", "-5"),
		"endless":       requestFields(ticket(9), "quick", "1e300"),
		"infinite work": requestFields(ticket(9), "quick", "100", "cpu", "Inf"),
		"no key":        requestFields(ticket(9), "load", "100"),
		"open already":  requestFields(ticket(0xaa), "quick", "100"),
	} {
		a := r.dial()
		a.send(f)
		if h := a.receive(); h.kind != "fault" {
			t.Errorf("%s: %+v", name, h)
		}
	}
	for name, b := range map[string][]byte{
		"noise":      []byte("GET / HTTP/1.1\r\n\r\n"),
		"negative":   {0xff, 0xff, 0xff, 0xf0, 1},
		"empty":      {0, 0, 0, 0},
		"sixty MB":   {3, 0x93, 0x87, 0, 0x80, 1, 0, 1},
		"wrong form": {0, 0, 0, 4, 1, 2, 3, 4},
	} {
		a := r.dial()
		a.conn.Write(b)
		if h := a.receive(); h.kind != "closed" {
			t.Errorf("%s: %+v", name, h)
		}
	}
	twice := r.dial()
	twice.send(requestFields(ticket(0xab), "quick", "2000"))
	twice.lastSeq--
	twice.send(requestFields(ticket(0xac), "quick", "2000"))
	kinds := twice.receive().kind + " " + twice.receive().kind
	if kinds != "fault answer" && kinds != "answer fault" && kinds != "answer answer" {
		t.Errorf("two requests under one number: %s", kinds)
	}
	half := r.dial()
	half.conn.Write([]byte{0, 0, 1, 0, 0x80})
	mute := r.dial()
	if h := half.receive(); h.kind != "closed" {
		t.Errorf("half a message: %+v", h)
	}
	if h := mute.receive(); h.kind != "closed" {
		t.Errorf("silence: %+v", h)
	}
	r.dial().mustServe(5, 1)
	if n, m := r.node.callCount("POST "+ticket(9)), r.node.callCount("POST "+ticket(0xaa)); n != 0 || m != 1 {
		t.Errorf("%d queries of bad clients were sent, and the usual one %d times", n, m)
	}
	if n := r.node.callCount("GET 0 " + ticket(0xaa)); n > 400 {
		t.Errorf("news of one query was asked for %d times in some 2 s", n)
	}
	usual.conn.Write(thrift.AppendCancel(nil, usual.lastSeq+1, held))
}

// TestManyClients: connections that say nothing make room for those that ask.
func TestManyClients(t *testing.T) {
	r := newHarness(t, 64)
	for range 100 {
		r.dial()
	}
	r.dial().mustServe(1, 1)
	if n, most := r.frontend.connCount(), r.frontend.descriptors.total-minNodeConns; n > most {
		t.Errorf("%d connections of clients, at most %d", n, most)
	}
}

// TestFewDescriptors: more queries run than there are descriptors for compute nodes; all are served, and
// who waits gets a connection that is there, so that handshakes stay few.
func TestFewDescriptors(t *testing.T) {
	r := newHarness(t, 64)
	const asks = 60
	var begun atomic.Int64
	started := make(chan struct{})
	r.node.setHandler(func(w http.ResponseWriter, q *http.Request, call, id string) bool {
		if begun.Add(1) == 8 {
			close(started)
		}
		<-started
		time.Sleep(20 * time.Millisecond)
		return false
	})
	a, b := r.dial(), r.dial()
	for i := range asks / 2 {
		a.send(requestFields(ticket(i+1), "quick", "20000"))
		b.send(requestFields(ticket(i+1000), "quick", "20000"))
	}
	for range asks / 2 {
		if h := a.receive(); h.kind != "answer" {
			t.Fatalf("%+v", h)
		}
		if h := b.receive(); h.kind != "answer" {
			t.Fatalf("%+v", h)
		}
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	most := r.pool.descriptors.maxNodeConns()
	if b := r.pool.state; b.OpenConns() > most || b.Waiting() != 0 || r.pool.counters.dials > asks*2/3 {
		t.Errorf("%d open of %d, %d wait, %d dials", b.OpenConns(), most, b.Waiting(), r.pool.counters.dials)
	}
}

// TestIdleConnectionReused: a connection is used again although the time of its last call is long over.
func TestIdleConnectionReused(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	a.mustServe(1, 1)
	time.Sleep(700 * time.Millisecond)
	a.mustServe(2, 1)
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if r.pool.counters.dials != 1 || r.pool.counters.reused != 1 {
		t.Errorf("%d dials, %d used again", r.pool.counters.dials, r.pool.counters.reused)
	}
}

// TestDiscoveryReconnects: a board that breaks off, falls silent or moves is asked again from the last whole
// event, and what it tells reaches the module.
func TestDiscoveryReconnects(t *testing.T) {
	r := newHarness(t, 256)
	second, third := newFakeNode(t), newFakeNode(t)
	r.discovery.mu.Lock()
	r.discovery.truncate = 2
	r.discovery.mu.Unlock()
	r.discovery.add(false, "s-2", serverAddr(second.Server), "up")
	eventually(
		t,
		"the second compute node is known",
		func() bool { return r.watcher.engineAddr("s-2") != "" },
	)
	if asked := r.discovery.polledFrom(); len(asked) < 3 || asked[0] != "1" || asked[1] != "1" {
		t.Errorf("asked from %v", asked)
	}
	r.discovery.add(false, "s-1", serverAddr(r.node.Server), "removed")
	eventually(t, "the first has left", func() bool { return r.watcher.engineAddr("s-1") == "" })
	a := r.dial()
	a.mustServe(1, 1)
	if r.node.callCount("POST") != 0 || second.callCount("POST") != 1 {
		t.Errorf("first %d, second %d", r.node.callCount("POST"), second.callCount("POST"))
	}
	moved := newFakeDiscovery(t)
	r.discovery.mu.Lock()
	moved.events = append([]string(nil), r.discovery.events...)
	r.discovery.silent = true
	r.discovery.mu.Unlock()
	moved.add(false, "s-3", serverAddr(third.Server), "up")
	if err := os.WriteFile(r.path, []byte("{half"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload() // it can't be read: all stays
	if err := os.WriteFile(r.path, r.config(serverAddr(moved.Server)), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload()
	eventually(t, "the third is known", func() bool { return r.watcher.engineAddr("s-3") != "" })
	if asked := moved.polledFrom(); asked[0] != "3" {
		t.Errorf("the new board was asked from %v", asked)
	}
	moved.mu.Lock()
	moved.silent = true
	moved.mu.Unlock()
	n := len(moved.polledFrom())
	eventually(t, "a silent board is asked again", func() bool { return len(moved.polledFrom()) > n })
}

// TestGracefulShutdown: after SIGTERM new connections are served for a while, what is open is answered, and
// then it ends.
func TestGracefulShutdown(t *testing.T) {
	r := newHarness(t, 256)
	r.node.keepRunning(0, ticket(1))
	signals := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- r.run(signals) }()
	a := r.dial()
	a.send(requestFields(ticket(1), "quick", "60000"))
	eventually(t, "the query is sent", func() bool { return r.node.callCount("POST") == 1 })
	signals <- syscall.SIGTERM
	eventually(t, "it is leaving", func() bool {
		r.frontend.mu.Lock()
		defer r.frontend.mu.Unlock()
		return r.frontend.state.Draining()
	})
	r.dial().mustServe(2, 1)
	if h := a.receive(); h.kind != "shed" {
		t.Errorf("the open request: %+v", h)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestSettingsMatchSimulatorWire: the simulator's pairs and the platform's JSON give the module the same
// settings.
func TestSettingsMatchSimulatorWire(t *testing.T) {
	r := &harness{t: t, discovery: &fakeDiscovery{}, sockets: 256}
	r.discovery.add(true, "s-1", "127.0.0.1:1", "up")
	cfg, err := Parse(r.config("127.0.0.1:2"))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := flattenSettings(cfg.Settings)
	if err != nil {
		t.Fatal(err)
	}
	line := "clock now-us=0\nprovision dispatcher=0 rng-seed=" + fmt.Sprint(cfg.Module.Seed)
	for _, s := range settings {
		line += " " + s.Path + "=" + strings.ReplaceAll(s.Value, " ", "_")
	}
	batch, err := wire.NewReader(strings.NewReader(line + "\neob\n")).Next()
	if err != nil {
		t.Fatal(err)
	}
	if sim := batch.Messages[0].Config; !reflect.DeepEqual(sim, cfg.Module) {
		t.Errorf("the simulator's wire gives\n%+v, the configuration\n%+v", sim, cfg.Module)
	}
	k := cfg.Module.Classes
	if len(k) != 3 || !k[2].OrderedByKey || k[0].OrderedByKey ||
		k[0].LatencyObjective != 400*time.Millisecond ||
		k[1].Effect != cresspass.IdempotentWithKey {
		t.Errorf("classes %+v", k)
	}
}

// TestConfigErrors: settings that contradict themselves, or are none, are errors that name what is wrong.
func TestConfigErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{`: "unexpected end", `{"listen":"a","board":"b","seed":"xyz"}`: "seed",
		`{"listen":"","board":"b"}`:                                                          "listen",
		`{"listen":"a","board":"b","seed":"1","settings":[]}`:                                "settings",
		`{"listen":"a","board":"b","seed":"1","settings":{"classes":[{"semantics":"odd"}]}}`: "semantics",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one of %q", text, err, want)
		}
	}
	v, ok := parseLoadReport("util:0.61;queue:3", []string{"load_share", "depth"})
	if !ok || v[0] != 0.61 || v[1] != 3 {
		t.Errorf("meter: %v, %v", v, ok)
	}
	if _, ok := parseLoadReport("util:NaN;queue:3", []string{"load_share", "depth"}); ok {
		t.Error("a report that is no number was taken")
	}
}
