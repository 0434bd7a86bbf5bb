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

// TestServes: what a client says reaches the compute node unchanged, and all pages come back in order.
func TestServes(t *testing.T) {
	r := newRig(t, 256)
	r.node.pages = 4
	a := r.dial()
	a.net.Write(thrift.AppendAlive(nil, 100))
	if h := a.hear(); h.kind != "answer" || h.seq != 100 {
		t.Fatalf("alive: %+v", h)
	}
	a.served(1, 4)
	if h := r.node.headers; h.Get("X-Queue") != "quick" || h.Get("X-Ticket") != ticket(1) ||
		h.Get("Grant-Mb") == "" || h.Get("X-Max-Ms") == "" {
		t.Errorf("headers %v", h)
	}
	nonce := strings.Repeat("ab", 16)
	a.ask(fields(ticket(2), "load", "8000", "unique", nonce))
	if h := a.hear(); h.kind != "answer" || r.node.headers.Get("X-Nonce") != nonce {
		t.Errorf("keyed: %+v, headers %v", h, r.node.headers)
	}
}

// TestOrderByKey: of queries of an ordered class with one key, one runs at a time, as they came; other keys,
// and no key, do not wait for it.
func TestOrderByKey(t *testing.T) {
	r := newRig(t, 256)
	var mu sync.Mutex
	gates := map[string]chan struct{}{ticket(1): make(chan struct{}), ticket(2): make(chan struct{})}
	r.node.set(func(_ http.ResponseWriter, _ *http.Request, call, id string) bool {
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
		a.ask(fields(ticket(i+1), "turn", "8000", "item", key, "team", "north"))
	}
	for range 2 {
		if h := a.hear(); h.kind != "answer" || h.seq != 4 && h.seq != 5 {
			t.Errorf("%+v while the first is held, want answers to 4 and 5", h)
		}
	}
	for i := 1; i <= 3; i++ {
		if gate := gates[ticket(i)]; gate != nil {
			within(t, "it is sent", func() bool { return r.node.count("POST "+ticket(i)) == 1 })
			if n := r.node.count("POST " + ticket(i+1)); n > 0 {
				t.Errorf("query %d was sent while the one before it ran", i+1)
			}
			close(gate)
		}
		if h := a.hear(); h.kind != "answer" || h.seq != int32(i) {
			t.Errorf("%+v, want an answer to %d", h, i)
		}
	}
}

// TestSpoiltAnswers: whatever a compute node spoils, the result is asked for again, by a query that was
// sent once, and nobody gets another's rows.
func TestSpoiltAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	page := func(ticket string) string {
		text := row(ticket, 0)
		return fmt.Sprintf("%sPage-Count: 1\r\nContent-Length: %d\r\n\r\n%s", ok, len(text), text)
	}
	for name, spoil := range map[string]func(w http.ResponseWriter, ticket string){
		"reset": func(w http.ResponseWriter, ticket string) { reset(w) },
		"noise": func(w http.ResponseWriter, ticket string) { raw(w, "\x01\x02\x03\r\n\r\n") },
		"cut":   func(w http.ResponseWriter, ticket string) { raw(w, page(ticket)[:50]) },
		"noisy rows": func(w http.ResponseWriter, ticket string) {
			raw(w, strings.ReplaceAll(page(ticket), "\t", "?"))
		},
		"second copy": func(w http.ResponseWriter, ticket string) { raw(w, page(ticket)+page(ticket)) },
		"late copy":   func(w http.ResponseWriter, ticket string) { lateCopy(w, page(ticket)) },
		"never":       func(w http.ResponseWriter, ticket string) { raw(w, "") },
		"three GB": func(w http.ResponseWriter, ticket string) {
			raw(w, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		},
		"1xx before it": func(w http.ResponseWriter, t string) { raw(w, "HTTP/1.1 102 P\r\n\r\n"+page(t)) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 256)
			var n atomic.Int64
			r.node.set(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
				if n.Add(1)%3 != 1 {
					return false
				}
				spoil(w, ticket)
				return true
			})
			a := r.dial()
			for i := range 12 {
				a.served(i+1, 1)
			}
			if got := r.node.count("POST"); got != 12 {
				t.Errorf("%d queries sent for 12 requests", got)
			}
		})
	}
}

// TestRequestLostOnItsWay: where the connection breaks while a query comes, and its compute node never got
// it, the query is sent again, and the compute node does not count as one that fails.
func TestRequestLostOnItsWay(t *testing.T) {
	r := newRig(t, 256)
	r.node.set(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
		if call != "POST" || r.node.count("POST "+ticket) > 1 {
			return false
		}
		r.node.forget(ticket)
		reset(w)
		return true
	})
	a := r.dial()
	for i := range 12 {
		a.served(i+1, 1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range []cresspass.Outcome{cresspass.Reset, cresspass.Failed, cresspass.ConnectFailed} {
		if r.outcomes[o] > 0 {
			t.Errorf("an attempt ended with %d", o)
		}
	}
}

// lateCopy answers, and again a little later.
func lateCopy(w http.ResponseWriter, text string) {
	c, b, _ := w.(http.Hijacker).Hijack()
	b.WriteString(text)
	b.Flush()
	time.AfterFunc(5*time.Millisecond, func() { b.WriteString(text); b.Flush() })
	time.AfterFunc(200*time.Millisecond, func() { c.Close() })
}

// TestGivenUpBeforeAnother: an attempt that is stopped is out until its compute node was told.
func TestGivenUpBeforeAnother(t *testing.T) {
	r := newRig(t, 256)
	told := make(chan struct{})
	r.node.set(func(w http.ResponseWriter, q *http.Request, call, ticket string) bool {
		if call == "DELETE" {
			<-told
			return false
		}
		w.WriteHeader(202)
		return true
	})
	a := r.dial()
	seq := a.ask(fields(ticket(1), "quick", "2000"))
	within(t, "the query is sent", func() bool { return r.node.count("POST") == 1 })
	a.net.Write(thrift.AppendCancel(nil, a.next+1, seq))
	within(t, "the compute node is told", func() bool { return r.node.count("DELETE") == 1 })
	running := func() (n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.attempts)
	}
	if running() != 1 {
		t.Error("the attempt ended before its compute node was told")
	}
	close(told)
	within(t, "the attempt ends", func() bool { return running() == 0 })
	if st := r.stats(); st.Gone != 1 || st.Open != 0 {
		t.Errorf("%+v", st)
	}
}

// TestBadClients: what can't be read gets an error or a close, is never sent on, and leaves others alone.
func TestBadClients(t *testing.T) {
	r := newRig(t, 256)
	r.node.withhold(0, ticket(0xaa))
	usual := r.dial()
	held := usual.ask(fields(ticket(0xaa), "quick", "60000"))
	within(t, "the usual query runs", func() bool { return r.node.count("POST "+ticket(0xaa)) == 1 })
	for name, f := range map[string][][2]string{
		"no id":         {{"verb", "quick"}, {"limit", "100"}},
		"header in id":  fields("x\r\nA: b", "quick", "100"),
		"unknown class": fields(ticket(9), "nothing", "100"),
		"no number":     fields(ticket(9), "quick", "NaN"),
		"negative":      fields(ticket(9), "quick", "-5"),
		"endless":       fields(ticket(9), "quick", "1e300"),
		"infinite work": fields(ticket(9), "quick", "100", "cpu", "Inf"),
		"no key":        fields(ticket(9), "load", "100"),
		"open already":  fields(ticket(0xaa), "quick", "100"),
	} {
		a := r.dial()
		a.ask(f)
		if h := a.hear(); h.kind != "fault" {
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
		a.net.Write(b)
		if h := a.hear(); h.kind != "closed" {
			t.Errorf("%s: %+v", name, h)
		}
	}
	twice := r.dial()
	twice.ask(fields(ticket(0xab), "quick", "2000"))
	twice.next--
	twice.ask(fields(ticket(0xac), "quick", "2000"))
	kinds := twice.hear().kind + " " + twice.hear().kind
	if kinds != "fault answer" && kinds != "answer fault" && kinds != "answer answer" {
		t.Errorf("two requests under one number: %s", kinds)
	}
	half := r.dial()
	half.net.Write([]byte{0, 0, 1, 0, 0x80})
	mute := r.dial()
	if h := half.hear(); h.kind != "closed" {
		t.Errorf("half a message: %+v", h)
	}
	if h := mute.hear(); h.kind != "closed" {
		t.Errorf("silence: %+v", h)
	}
	r.dial().served(5, 1)
	if n, m := r.node.count("POST "+ticket(9)), r.node.count("POST "+ticket(0xaa)); n != 0 || m != 1 {
		t.Errorf("%d queries of bad clients were sent, and the usual one %d times", n, m)
	}
	if n := r.node.count("GET 0 " + ticket(0xaa)); n > 400 {
		t.Errorf("news of one query was asked for %d times in some 2 s", n)
	}
	usual.net.Write(thrift.AppendCancel(nil, usual.next+1, held))
}

// TestManyClients: connections that say nothing make room for those that ask.
func TestManyClients(t *testing.T) {
	r := newRig(t, 64)
	for range 100 {
		r.dial()
	}
	r.dial().served(1, 1)
	if n, most := r.front.size(), r.front.budget.total-nodesLeast; n > most {
		t.Errorf("%d connections of clients, at most %d", n, most)
	}
}

// TestFewDescriptors: more queries run than there are descriptors for compute nodes; all are served, and
// who waits gets a connection that is there, so that handshakes stay few.
func TestFewDescriptors(t *testing.T) {
	r := newRig(t, 64)
	const asks = 60
	var begun atomic.Int64
	started := make(chan struct{})
	r.node.set(func(w http.ResponseWriter, q *http.Request, call, id string) bool {
		if begun.Add(1) == 8 {
			close(started)
		}
		<-started
		time.Sleep(20 * time.Millisecond)
		return false
	})
	a, b := r.dial(), r.dial()
	for i := range asks / 2 {
		a.ask(fields(ticket(i+1), "quick", "20000"))
		b.ask(fields(ticket(i+1000), "quick", "20000"))
	}
	for range asks / 2 {
		if h := a.hear(); h.kind != "answer" {
			t.Fatalf("%+v", h)
		}
		if h := b.hear(); h.kind != "answer" {
			t.Fatalf("%+v", h)
		}
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	most := r.pool.budget.nodes()
	if b := r.pool.state; b.Open() > most || b.Waiting() != 0 || r.pool.dials > asks*2/3 {
		t.Errorf("%d open of %d, %d wait, %d dials", b.Open(), most, b.Waiting(), r.pool.dials)
	}
}

// TestIdleConnectionLives: a connection is used again although the time of its last call is long over.
func TestIdleConnectionLives(t *testing.T) {
	r := newRig(t, 256)
	a := r.dial()
	a.served(1, 1)
	time.Sleep(700 * time.Millisecond)
	a.served(2, 1)
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if r.pool.dials != 1 || r.pool.reused != 1 {
		t.Errorf("%d dials, %d used again", r.pool.dials, r.pool.reused)
	}
}

// TestNoticeBoard: a board that breaks off, falls silent or moves is asked again from the last whole event,
// and what it tells reaches the module.
func TestNoticeBoard(t *testing.T) {
	r := newRig(t, 256)
	second, third := newNode(t), newNode(t)
	r.board.mu.Lock()
	r.board.cut = 2
	r.board.mu.Unlock()
	r.board.add(false, "s-2", address(second.Server), "up")
	within(t, "the second compute node is known", func() bool { return r.watch.addr("s-2") != "" })
	if asked := r.board.asked(); len(asked) < 3 || asked[0] != "1" || asked[1] != "1" {
		t.Errorf("asked from %v", asked)
	}
	r.board.add(false, "s-1", address(r.node.Server), "removed")
	within(t, "the first has left", func() bool { return r.watch.addr("s-1") == "" })
	a := r.dial()
	a.served(1, 1)
	if r.node.count("POST") != 0 || second.count("POST") != 1 {
		t.Errorf("first %d, second %d", r.node.count("POST"), second.count("POST"))
	}
	moved := newNotices(t)
	r.board.mu.Lock()
	moved.list = append([]string(nil), r.board.list...)
	r.board.mute = true
	r.board.mu.Unlock()
	moved.add(false, "s-3", address(third.Server), "up")
	if err := os.WriteFile(r.path, []byte("{half"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload() // it can't be read: all stays
	if err := os.WriteFile(r.path, r.config(address(moved.Server)), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload()
	within(t, "the third is known", func() bool { return r.watch.addr("s-3") != "" })
	if asked := moved.asked(); asked[0] != "3" {
		t.Errorf("the new board was asked from %v", asked)
	}
	moved.mu.Lock()
	moved.mute = true
	moved.mu.Unlock()
	n := len(moved.asked())
	within(t, "a silent board is asked again", func() bool { return len(moved.asked()) > n })
}

// TestLeaves: after SIGTERM new connections are served for a while, what is open is answered, and then it
// ends.
func TestLeaves(t *testing.T) {
	r := newRig(t, 256)
	r.node.withhold(0, ticket(1))
	signals := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- r.live(signals) }()
	a := r.dial()
	a.ask(fields(ticket(1), "quick", "60000"))
	within(t, "the query is sent", func() bool { return r.node.count("POST") == 1 })
	signals <- syscall.SIGTERM
	within(t, "it is leaving", func() bool {
		r.front.mu.Lock()
		defer r.front.mu.Unlock()
		return r.front.state.Leaving()
	})
	r.dial().served(2, 1)
	if h := a.hear(); h.kind != "shed" {
		t.Errorf("the open request: %+v", h)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestOneMappingOfSettings: the simulator's pairs and the platform's JSON give the module the same settings.
func TestOneMappingOfSettings(t *testing.T) {
	r := &rig{t: t, board: &notices{}, sockets: 256}
	r.board.add(true, "s-1", "127.0.0.1:1", "up")
	cfg, err := Parse(r.config("127.0.0.1:2"))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := flatten(cfg.Settings)
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
	if len(k) != 3 || !k[2].InOrder || k[0].InOrder || k[0].Aim != 400*time.Millisecond ||
		k[1].Effect != cresspass.Keyed {
		t.Errorf("classes %+v", k)
	}
}

// TestSettings: settings that contradict themselves, or are none, are errors that name what is wrong.
func TestSettings(t *testing.T) {
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
	v, ok := meter("util:0.61;queue:3", []string{"load_share", "depth"})
	if !ok || v[0] != 0.61 || v[1] != 3 {
		t.Errorf("meter: %v, %v", v, ok)
	}
	if _, ok := meter("util:NaN;queue:3", []string{"load_share", "depth"}); ok {
		t.Error("a report that is no number was taken")
	}
}
