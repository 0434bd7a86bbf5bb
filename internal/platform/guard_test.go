package platform

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cresspass/internal/discovery/sse"
	"cresspass/internal/invariant"
	"cresspass/internal/protocol/thrift"
)

// newHarnessWith is newHarness with some text of its settings replaced.
func newHarnessWith(t *testing.T, sockets int, from, to string) *harness {
	t.Helper()
	r := &harness{t: t, node: newFakeNode(t), discovery: newFakeDiscovery(t), sockets: sockets,
		path: filepath.Join(t.TempDir(), "config.json")}
	r.discovery.add(true, "s-1", serverAddr(r.node.Server), "up")
	data := r.config(serverAddr(r.discovery.Server))
	if !bytes.Contains(data, []byte(from)) {
		t.Fatalf("the settings have no %s", from)
	}
	if err := os.WriteFile(r.path, bytes.Replace(data, []byte(from), []byte(to), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	r.startService()
	return r
}

// retryBudgetSettings is settings by which each request allows one further attempt for so long after it was
// taken.
func retryBudgetSettings(lookBack time.Duration) string {
	return fmt.Sprintf(`"grace-to-answer-us":5000,"free-resends":0,"further-ratio":1,"look-back-us":%d`,
		lookBack.Microseconds())
}

const noRetryBudget = `"grace-to-answer-us":5000`

// TestRetryBudgetRecheckedAtSend: a further attempt that was within the budget when it was decided on, and
// then waits for a descriptor until the requests that allowed it have left the window, is not begun.
func TestRetryBudgetRecheckedAtSend(t *testing.T) {
	for lookBack, want := range map[time.Duration]int{100 * time.Millisecond: 1, 5 * time.Second: 2} {
		r := newHarnessWith(t, 256, noRetryBudget, retryBudgetSettings(lookBack))
		var long []string
		for i := range minNodeConns {
			long = append(long, ticket(i+1))
		}
		last := ticket(minNodeConns + 1)
		r.node.keepRunning(250*time.Millisecond, long...)
		usual := r.node.handler
		r.node.setHandler(func(w http.ResponseWriter, req *http.Request, call, id string) bool {
			if call == "POST" && id == last && r.node.callCount("POST "+last) == 1 {
				r.frontend.descriptors.clientConns.Store(
					1 << 20,
				) // no more connections than the long queries hold
				w.Header().Set("Connection", "close")
				w.WriteHeader(500)
				return true
			}
			return usual(w, req, call, id)
		})
		a := r.dial()
		for _, id := range long {
			a.send(requestFields(id, "quick", "5000"))
		}
		eventually(t, "the long queries run", func() bool { return r.node.callCount("POST") == minNodeConns })
		other := r.dial()
		other.mustServe(99, 1)         // one request that was served allows one further attempt, for a while
		time.Sleep(3 * reuseDelay / 2) // its connection is used again, so that no other is left
		seq := a.send(requestFields(last, "quick", "5000"))
		h := a.receive()
		if kind := []string{"", "shed", "answer"}[want]; h.kind != kind || h.seq != seq {
			t.Errorf("with %v to look back: %+v", lookBack, h)
		}
		if n := r.node.callCount("POST " + last); n != want {
			t.Errorf("with %v to look back: %d attempts, want %d", lookBack, n, want)
		}
	}
}

// TestUnservedRequestsAddNoRetryBudget: requests that are not served, as those of strangers, allow no
// further attempts.
func TestUnservedRequestsAddNoRetryBudget(t *testing.T) {
	r := newHarnessWith(t, 256, noRetryBudget, retryBudgetSettings(time.Minute))
	r.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, _ string) bool {
		if call == "POST" {
			w.WriteHeader(500)
		}
		return call == "POST"
	})
	a := r.dial()
	for i := range 20 {
		a.send(requestFields(ticket(i+1), "quick", "5000"))
		if h := a.receive(); h.kind != "shed" {
			t.Errorf("%+v", h)
		}
	}
	if n := r.node.callCount("POST"); n != 20 {
		t.Errorf("%d attempts for 20 requests of which none was served", n)
	}
}

// TestStartTimeStableAcrossLists: a compute node whose start is told again, in another list, has the same
// start; as a later one it would be taken for a new process, of which nothing is known.
func TestStartTimeStableAcrossLists(t *testing.T) {
	r := newHarness(t, 256)
	w := newWatcher(r.service, "")
	started := time.Now().Add(-5 * time.Second).UnixMilli()
	var told []time.Duration
	for rev := range uint64(50) {
		var n sse.WatchEvent
		n.Revision = rev + 1
		n.List = &sse.EndpointList{Full: rev%2 == 0, Endpoints: []sse.Endpoint{{ID: "s-1", Addr: "a:1",
			State: "up", StartedMs: started}}}
		ev, _, err := w.follower.ApplyWatchEvent(n)
		if err != nil {
			t.Fatal(err)
		}
		told = append(told, ev.Engines[0].StartedAt)
	}
	for i, at := range told {
		if at != told[0] {
			t.Fatalf("the start was %v when told first and %v when told for time %d", told[0], at, i+1)
		}
	}
}

// TestGuardRejectsInvalidOperations: what the books do not allow is not done: a request that comes outside
// the dispatcher's life is refused, and of two answers one is written.
func TestGuardRejectsInvalidOperations(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	a.mustServe(1, 1)
	r.guard.setServing(false)
	a.send(requestFields(ticket(2), "quick", "2000"))
	if h := a.receive(); h.kind != "shed" {
		t.Errorf("outside life: %+v", h)
	}
	r.guard.setServing(true)
	seq := r.sendHeld(a, 3)
	r.frontend.mu.Lock()
	q := r.frontend.state.OpenRequestsOn(r.onlyConn().id)[0]
	r.frontend.mu.Unlock()
	r.guard.complete(q, true) // as by another hand
	if r.frontend.respondResult(q.ID, [][]byte{[]byte("a\tb\tc\n")}) {
		t.Error("a second answer went out")
	}
	a.conn.Write(thrift.AppendCancel(nil, 99, seq))
	if n := r.node.callCount("POST " + ticket(2)); n != 0 {
		t.Errorf("%d queries sent outside life", n)
	}
	for _, name := range []invariant.Name{invariant.AcceptedWhileNotServing, invariant.AnsweredTwice} {
		if n := r.guard.counter.Violations()[name]; n == 0 {
			t.Errorf("%s: not counted", name)
		}
	}
}

// TestReloadAppliesKnownEvents: what a new configuration says of the notice board's events counts at once,
// also while the notice board at its new address does not answer.
func TestReloadAppliesKnownEvents(t *testing.T) {
	r := newHarness(t, 256)
	eventually(t, "discovery is asked", func() bool { return len(r.discovery.polledFrom()) > 0 })
	away, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer away.Close() // it takes connections and says nothing
	first := r.discovery.events[0]
	second := strings.NewReplacer(`"rev":1`, `"rev":2`, `"full":true`, `"full":false`, `"state":"up"`,
		`"state":"draining"`).Replace(first)
	data := bytes.Replace(r.config(away.Addr().String()), []byte(first), []byte(first+","+second), 1)
	if err := os.WriteFile(r.path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if !r.reload() {
		t.Fatal("the configuration was not read")
	}
	if !r.watcher.draining("s-1") {
		t.Error("the drain in the new configuration is not known")
	}
}
