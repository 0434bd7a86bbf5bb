package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/bytebudget"
	"cresspass/internal/dispatch"
)

// harness is a running dispatcher with a fake compute node and a fake discovery service.
type harness struct {
	*service
	t         *testing.T
	node      *fakeNode
	discovery *fakeDiscovery
	path      string
	sockets   int
}

// serverAddr returns the address at which a server listens.
func serverAddr(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// config returns a configuration in the platform's format. board is the address of the discovery service.
func (h *harness) config(board string) []byte {
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
	known := fmt.Sprintf(`{"rev":1,"notices":[%s]}`, h.discovery.events[0])
	data, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0",
		"seed":   "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": h.sockets},
		"board":  board,
		"known":  json.RawMessage(known), "settings": json.RawMessage(settings)})
	if err != nil {
		h.t.Fatal(err)
	}
	return data
}

// newHarness starts a dispatcher whose configuration limits its descriptors to sockets.
func newHarness(t *testing.T, sockets int) *harness {
	t.Helper()
	return newHarnessWith(t, sockets, "", "")
}

// newHarnessWith is newHarness with the text from in the configuration replaced by to.
func newHarnessWith(t *testing.T, sockets int, from, to string) *harness {
	t.Helper()
	h := prepareHarness(t, sockets)
	data := h.config(serverAddr(h.discovery.Server))
	if !bytes.Contains(data, []byte(from)) {
		t.Fatalf("the configuration does not contain %s", from)
	}
	h.writeConfig(bytes.Replace(data, []byte(from), []byte(to), 1))
	h.startService(io.Discard)
	return h
}

// prepareHarness returns a harness with one compute node. It writes no configuration file and starts no
// dispatcher.
func prepareHarness(t *testing.T, sockets int) *harness {
	t.Helper()
	h := &harness{t: t, node: newFakeNode(t), discovery: newFakeDiscovery(t), sockets: sockets,
		path: filepath.Join(t.TempDir(), "config.json")}
	h.discovery.add(true, "s-1", serverAddr(h.node.Server), "up")
	return h
}

// writeConfig writes the configuration file.
func (h *harness) writeConfig(data []byte) {
	h.t.Helper()
	if err := os.WriteFile(h.path, data, 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// startService starts the dispatcher with the configuration file. It logs to logTo.
func (h *harness) startService(logTo io.Writer) {
	h.t.Helper()
	cfg, err := Load(h.path)
	if err != nil {
		h.t.Fatal(err)
	}
	log := slog.New(slog.NewJSONHandler(logTo, nil))
	if h.service, err = start(cfg, h.path, log); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(h.close)
}

// dial connects a new client.
func (h *harness) dial() *testClient {
	c, err := net.Dial("tcp", h.frontend.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return newTestClient(h.t, c)
}

// setTimeouts sets the idle and the write timeout of new connections.
func (h *harness) setTimeouts(idle, write time.Duration) {
	h.frontend.mu.Lock()
	defer h.frontend.mu.Unlock()
	h.frontend.idleTimeout, h.frontend.writeTimeout = idle, write
}

// sendHeld sends a query that does not complete, and waits until its compute node has received it.
func (h *harness) sendHeld(client *testClient, n int) int32 {
	h.t.Helper()
	h.node.keepRunning(0, ticket(n))
	seq := client.send(requestFields(ticket(n), "quick", "60000"))
	eventually(h.t, "the query is sent", func() bool { return h.node.callCount("POST "+ticket(n)) == 1 })
	return seq
}

// pauseLoop blocks the core's loop until the function that it returns is called, or the test ends.
func (h *harness) pauseLoop() (resume func()) {
	paused, resumed := make(chan struct{}), make(chan struct{})
	go h.loop.Inspect(func(*dispatch.Core) { close(paused); <-resumed })
	<-paused
	resume = sync.OnceFunc(func() { close(resumed) })
	h.t.Cleanup(resume) // runs before the cleanup that closes the harness
	return resume
}

// attemptCount returns how many attempts have not ended.
func (h *harness) attemptCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.attempts)
}

// endedWith returns how many attempts ended with an outcome.
func (h *harness) endedWith(outcome cresspass.Outcome) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outcomes[outcome]
}

// unusedConns returns the connections that the registry lists as unused.
func (h *harness) unusedConns() []*clientConn {
	h.frontend.mu.Lock()
	defer h.frontend.mu.Unlock()
	var list []*clientConn
	for _, id := range h.frontend.registry.UnusedConns() {
		list = append(list, h.frontend.conns[id])
	}
	return list
}

// onlyConn returns the only connection. The caller holds frontend.mu.
func (h *harness) onlyConn() *clientConn {
	for _, c := range h.frontend.conns {
		return c
	}
	h.t.Fatal("no client connection is registered")
	return nil
}

// listenerClosed returns a function that reports whether the listener is closed.
func (h *harness) listenerClosed(t *testing.T) func() bool {
	raw, err := h.frontend.listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return func() bool { return raw.Control(func(uintptr) {}) != nil }
}

// serveLargeResults has all queries answered with eight large pages. It returns the number of bytes of rows
// in a result.
func (h *harness) serveLargeResults() int {
	rows := strings.Repeat(row(ticket(1), 0), 5900/len(row(ticket(1), 0)))
	h.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, _ string) bool {
		page, found := strings.CutPrefix(call, "GET ")
		switch {
		case call == "DELETE":
			return false
		case found && page != "0":
			w.Header().Set("Page-No", page)
		default:
			w.Header().Set("Page-Count", "8")
		}
		io.WriteString(w, rows)
		return true
	})
	return 8 * len(rows)
}

// dialSmallBuffers connects a new client and gives its connection small socket buffers at both ends, so that
// they hold little of a large result. No other client may connect meanwhile.
func (h *harness) dialSmallBuffers() *testClient {
	before := h.frontend.connCount()
	client := h.dial()
	client.conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	eventually(h.t, "the connection is registered", func() bool { return h.frontend.connCount() == before+1 })
	h.frontend.mu.Lock()
	defer h.frontend.mu.Unlock()
	for _, c := range h.frontend.conns {
		if err := c.conn.SetWriteBuffer(32 << 10); err != nil {
			h.t.Fatal(err)
		}
	}
	return client
}

// withSystem replaces system calls of the dispatchers that a test starts from then on.
func withSystem(t *testing.T, change func(s *system)) {
	t.Helper()
	original := newSystem
	t.Cleanup(func() { newSystem = original })
	newSystem = func() *system {
		s := realSystem()
		change(s)
		return s
	}
}

// missNextPeek replaces peek. After a call of arm, the next peek at a socket with input reports that there is
// no input, as on a busy core where the reader has not been scheduled since the input arrived. done reports
// whether such a peek has happened.
func missNextPeek(t *testing.T) (arm func(), done func() bool) {
	var toMiss atomic.Int32
	withSystem(t, func(s *system) {
		peek := s.peek
		s.peek = func(fd uintptr) (int, error) {
			if n, err := peek(fd); errors.Is(err, syscall.EAGAIN) || toMiss.Add(-1) < 0 {
				return n, err
			}
			return -1, syscall.EAGAIN
		}
	})
	return func() { toMiss.Store(1) }, func() bool { return toMiss.Load() <= 0 }
}

// eventually waits at most 10 s until ok returns true, and fails the test if it does not. what names the
// condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for this: " + what)
}

// heldBytes returns how many bytes the dispatcher holds for clients.
func (h *harness) heldBytes() (held int64) {
	for _, budget := range []*bytebudget.Budget{h.memory.longMessages, h.memory.shortMessages,
		h.memory.results, h.memory.output} {
		used, _ := budget.Stats()
		held += used
	}
	return held
}
