package platform

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// fakeNode stands in for a compute node.
type fakeNode struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []string // "POST", "GET 0", ..., "DELETE", with the ticket behind
	headers http.Header
	handler func(w http.ResponseWriter, r *http.Request, call, ticket string) bool // false: the usual answer
	pages   int

	known map[string]bool // tickets of queries that came
}

func newFakeNode(t *testing.T) *fakeNode {
	n := &fakeNode{pages: 1, known: map[string]bool{}}
	n.Server = httptest.NewServer(n)
	t.Cleanup(n.Close)
	return n
}

func row(ticket string, page int) string { return fmt.Sprintf("%s\t%d\t;'\"\n", ticket, page) }

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.ReadAll(r.Body)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	call, ticket, page := r.Method, r.Header.Get("X-Ticket"), 0
	if len(parts) > 1 {
		ticket = parts[1]
	}
	if len(parts) > 2 {
		fmt.Sscan(parts[2], &page)
		call += " " + parts[2]
	}
	n.mu.Lock()
	n.calls = append(n.calls, call+" "+ticket)
	if r.Method == "POST" {
		n.headers, n.known[ticket] = r.Header, true
	}
	answer, pages, known := n.handler, n.pages, n.known[ticket]
	n.mu.Unlock()
	if r.Method == "GET" && len(parts) > 1 && !known { // nothing is made up for a query that never came
		w.WriteHeader(500)
		return
	}
	if answer != nil && answer(w, r, call, ticket) {
		return
	}
	switch {
	case r.Method == "DELETE":
		w.WriteHeader(204)
		return
	case page == 0:
		w.Header().Set("Page-Count", fmt.Sprint(pages))
	default:
		w.Header().Set("Page-No", fmt.Sprint(page))
	}
	io.WriteString(w, row(ticket, page))
}

func (n *fakeNode) setHandler(f func(w http.ResponseWriter, r *http.Request, call, ticket string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handler = f
}

// forget has a query not have come.
func (n *fakeNode) forget(ticket string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.known, ticket)
}

// keepRunning has queries of some tickets run on for ever: each question is answered without news, after a
// pause.
func (n *fakeNode) keepRunning(pause time.Duration, tickets ...string) {
	n.setHandler(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
		if call == "DELETE" || !slices.Contains(tickets, ticket) {
			return false
		}
		time.Sleep(pause)
		w.WriteHeader(202)
		return true
	})
}

// callCount tells how many calls began with some words.
func (n *fakeNode) callCount(words string) (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.calls {
		if strings.HasPrefix(c, words) {
			sum++
		}
	}
	return sum
}

func resetConn(w http.ResponseWriter) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func writeRaw(w http.ResponseWriter, text string) {
	c, b, _ := w.(http.Hijacker).Hijack()
	b.WriteString(text)
	b.Flush()
	time.AfterFunc(100*time.Millisecond, func() { c.Close() })
}

// fakeDiscovery stands in for a notice board: it tells what was added, from the number asked for.
type fakeDiscovery struct {
	*httptest.Server
	mu           sync.Mutex
	events       []string
	lastEventIDs []string
	truncate     int  // breaks off in the middle of the next event, so many times
	silent       bool // keeps open and says nothing
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	b := &fakeDiscovery{}
	b.Server = httptest.NewServer(b)
	t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	return b
}

func (b *fakeDiscovery) add(full bool, id, addr, state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, fmt.Sprintf(`{"rev":%d,"pool":{"version":1,"full":%v,"servers":[{"id":%q,`+
		`"addr":%q,"zone":"z","kind":"k","cell":0,"state":%q,"weight":1,"started_ms":0}]}}`,
		len(b.events)+1, full, id, addr, state))
}

func (b *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := 0
	fmt.Sscan(r.Header.Get("Last-Event-ID"), &from)
	b.mu.Lock()
	b.lastEventIDs = append(b.lastEventIDs, r.Header.Get("Last-Event-ID"))
	b.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	w.(http.Flusher).Flush()
	for i := 0; r.Context().Err() == nil; i++ {
		b.mu.Lock()
		list, mute, cut := b.events, b.silent, b.truncate
		if from < len(list) && cut > 0 {
			b.truncate--
		}
		b.mu.Unlock()
		for ; from < len(list) && !mute; from++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", from+1, list[from])
			if cut > 0 {
				io.WriteString(w, text[:len(text)/2])
				return
			}
			io.WriteString(w, text+text) // twice, as it may
		}
		if i%20 == 0 && !mute {
			io.WriteString(w, ": here\n\n")
		}
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *fakeDiscovery) polledFrom() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.lastEventIDs...)
}

// harness is a dispatcher with its stand-ins.
type harness struct {
	*service
	t         *testing.T
	node      *fakeNode
	discovery *fakeDiscovery
	path      string
	sockets   int
}

func serverAddr(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (r *harness) config(board string) []byte {
	settings := `{"classes":[{"name":"quick","aim-us":400000,"deadline-us":2000000,"importance":1.0,` +
		`"semantics":"safe","window-us":0},{"name":"load","aim-us":400000,"deadline-us":8000000,` +
		`"importance":5.0,"semantics":"keyed","key-scope":"all","window-us":9000000},{"name":"turn",` +
		`"aim-us":400000,"deadline-us":8000000,"importance":1.0,"semantics":"safe","window-us":0,` +
		`"in-turn":true}],` +
		`"shapes":["k"],"specifics":{"class-threads":[1,2,1],` +
		`"cpu-of-kind":[64],"kind-memory-mb":[65536.0],"takes-grants":true,"takes-priority":true,` +
		`"when-short":"wait","max-grant-share":0.4,"writes-tables":[false,true,false],` +
		`"yields-to-loads":[false,false,false]},` +
		`"feedback":{"columns":["load_share","depth"],"source":"probe"},` +
		`"limits":{"cancel":true,"may-probe":true,"max-attempts":6,"retry-after":true,` +
		`"max-retry-after-us":2000000,"connect-timeout-us":250000,"conn-idle-us":15000000},` +
		`"rules":{"grace-to-answer-us":5000,"stop-sending-within-us":2000000},"peers-total":1,"ordinal":0,` +
		`"tick-us":1000,"tenants":[],"zone":"z","membership-mode":"push"}`
	known := fmt.Sprintf(`{"rev":1,"notices":[%s]}`, r.discovery.events[0])
	data, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0",
		"seed":   "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": r.sockets},
		"board":  board,
		"known":  json.RawMessage(known), "settings": json.RawMessage(settings)})
	if err != nil {
		r.t.Fatal(err)
	}
	return data
}

func newHarness(t *testing.T, sockets int) *harness {
	r := &harness{t: t, node: newFakeNode(t), discovery: newFakeDiscovery(t), sockets: sockets}
	r.discovery.add(true, "s-1", serverAddr(r.node.Server), "up")
	r.path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(r.path, r.config(serverAddr(r.discovery.Server)), 0o600); err != nil {
		t.Fatal(err)
	}
	r.startService()
	return r
}

// startService starts the dispatcher by the rig's configuration.
func (r *harness) startService() {
	r.t.Helper()
	cfg, err := Load(r.path)
	if err != nil {
		r.t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if r.service, err = start(cfg, r.path, log); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(r.close)
}

// testClient is a client's connection.
type testClient struct {
	t       *testing.T
	conn    net.Conn
	reader  *bufio.Reader
	lastSeq int32
}

func (r *harness) dial() *testClient {
	c, err := net.Dial("tcp", r.frontend.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return newTestClient(r.t, c)
}

func newTestClient(t *testing.T, c net.Conn) *testClient {
	return &testClient{t: t, conn: c, reader: bufio.NewReader(c)}
}

func requestFields(ticket, class, limit string, more ...string) [][2]string {
	f := [][2]string{{"txn", ticket}, {"verb", class}, {"limit", limit}, {"cpu", "300.0"}, {"heap_mb", "64"}}
	for i := 0; i+1 < len(more); i += 2 {
		f = append(f, [2]string{more[i], more[i+1]})
	}
	return f
}

func ticket(n int) string { return fmt.Sprintf("%016x", n) }

// send sends a request and returns its number.
func (a *testClient) send(f [][2]string) int32 {
	a.lastSeq++
	b := thrift.AppendDispatch(nil, a.lastSeq, f, []byte("SELECT 1 FROM sales_3.t"))
	if _, err := a.conn.Write(b); err != nil {
		a.t.Fatal(err)
	}
	return a.lastSeq
}

// reply is an answer as a client reads it: "answer", "shed", "fault", "exception", or an error.
type reply struct {
	kind string
	seq  int32
	text string
}

func (a *testClient) receive() reply {
	var head [4]byte
	if _, err := io.ReadFull(a.reader, head[:]); err != nil {
		return reply{kind: "closed"}
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(a.reader, b); err != nil {
		return reply{kind: "cut"}
	}
	h, err := thrift.ParseRequest(b)
	if err != nil {
		a.t.Fatal(err)
	}
	at := 4 + 4 + len(h.Name) + 4
	out := reply{kind: "exception", seq: h.Seq, text: string(b[at:])}
	if h.Type == thrift.Reply {
		out.kind = map[byte]string{0: "answer", 1: "shed", 2: "fault"}[b[at+2]]
	}
	return out
}

// mustServe asks once and wants its own result of some pages.
func (a *testClient) mustServe(n, pages int) {
	a.t.Helper()
	id := ticket(n)
	seq := a.send(requestFields(id, "quick", "2000"))
	h := a.receive()
	if h.kind != "answer" || h.seq != seq {
		a.t.Fatalf("request %d: %s for %d: %q", n, h.kind, h.seq, h.text)
	}
	for p := range pages {
		if !strings.Contains(h.text, row(id, p)) {
			a.t.Fatalf("request %d has not its page %d: %q", n, p, h.text)
		}
	}
}

// eventually waits for something to become true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never: " + what)
}
