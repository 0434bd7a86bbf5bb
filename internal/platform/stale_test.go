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

// newRigWith is newRig with some text of its settings replaced.
func newRigWith(t *testing.T, sockets int, from, to string) *rig {
	t.Helper()
	r := &rig{t: t, node: newNode(t), board: newNotices(t), sockets: sockets,
		path: filepath.Join(t.TempDir(), "config.json")}
	r.board.add(true, "s-1", address(r.node.Server), "up")
	data := r.config(address(r.board.Server))
	if !bytes.Contains(data, []byte(from)) {
		t.Fatalf("the settings have no %s", from)
	}
	if err := os.WriteFile(r.path, bytes.Replace(data, []byte(from), []byte(to), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	r.serve()
	return r
}

// budgetOf is settings by which each request allows one further attempt for so long after it was taken.
func budgetOf(lookBack time.Duration) string {
	return fmt.Sprintf(`"grace-to-answer-us":5000,"free-resends":0,"further-ratio":1,"look-back-us":%d`,
		lookBack.Microseconds())
}

const noBudget = `"grace-to-answer-us":5000`

// TestBudgetWhenBegun: a further attempt that was within the budget when it was decided on, and then waits
// for a descriptor until the requests that allowed it have left the window, is not begun.
func TestBudgetWhenBegun(t *testing.T) {
	for lookBack, want := range map[time.Duration]int{100 * time.Millisecond: 1, 5 * time.Second: 2} {
		r := newRigWith(t, 256, noBudget, budgetOf(lookBack))
		var long []string
		for i := range nodesLeast {
			long = append(long, ticket(i+1))
		}
		last := ticket(nodesLeast + 1)
		r.node.withhold(250*time.Millisecond, long...)
		usual := r.node.answer
		r.node.set(func(w http.ResponseWriter, req *http.Request, call, id string) bool {
			if call == "POST" && id == last && r.node.count("POST "+last) == 1 {
				r.front.budget.clients.Store(1 << 20) // no more connections than the long queries hold
				w.Header().Set("Connection", "close")
				w.WriteHeader(500)
				return true
			}
			return usual(w, req, call, id)
		})
		a := r.dial()
		for _, id := range long {
			a.ask(fields(id, "quick", "5000"))
		}
		within(t, "the long queries run", func() bool { return r.node.count("POST") == nodesLeast })
		other := r.dial()
		other.served(99, 1)         // one request that was served allows one further attempt, for a while
		time.Sleep(3 * restFor / 2) // its connection is used again, so that no other is left
		seq := a.ask(fields(last, "quick", "5000"))
		h := a.hear()
		if kind := []string{"", "shed", "answer"}[want]; h.kind != kind || h.seq != seq {
			t.Errorf("with %v to look back: %+v", lookBack, h)
		}
		if n := r.node.count("POST " + last); n != want {
			t.Errorf("with %v to look back: %d attempts, want %d", lookBack, n, want)
		}
	}
}

// TestStrangersRaiseNoBudget: requests that are not served, as those of strangers, allow no further attempts.
func TestStrangersRaiseNoBudget(t *testing.T) {
	r := newRigWith(t, 256, noBudget, budgetOf(time.Minute))
	r.node.set(func(w http.ResponseWriter, _ *http.Request, call, _ string) bool {
		if call == "POST" {
			w.WriteHeader(500)
		}
		return call == "POST"
	})
	a := r.dial()
	for i := range 20 {
		a.ask(fields(ticket(i+1), "quick", "5000"))
		if h := a.hear(); h.kind != "shed" {
			t.Errorf("%+v", h)
		}
	}
	if n := r.node.count("POST"); n != 20 {
		t.Errorf("%d attempts for 20 requests of which none was served", n)
	}
}

// TestStartToldAgain: a compute node whose start is told again, in another list, has the same start; as a
// later one it would be taken for a new process, of which nothing is known.
func TestStartToldAgain(t *testing.T) {
	r := newRig(t, 256)
	w := newWatcher(r.service, "")
	started := time.Now().Add(-5 * time.Second).UnixMilli()
	var told []time.Duration
	for rev := range uint64(50) {
		var n sse.Notice
		n.Rev = rev + 1
		n.Pool = &sse.Pool{Full: rev%2 == 0, Servers: []sse.Server{{ID: "s-1", Addr: "a:1",
			State: "up", Started: started}}}
		ev, _, err := w.follower.Notice(n)
		if err != nil {
			t.Fatal(err)
		}
		told = append(told, ev.Engines[0].Started)
	}
	for i, at := range told {
		if at != told[0] {
			t.Fatalf("the start was %v when told first and %v when told for time %d", told[0], at, i+1)
		}
	}
}

// TestGuardsLetNothingThrough: what the books do not allow is not done: a request that comes outside the
// dispatcher's life is refused, and of two answers one is written.
func TestGuardsLetNothingThrough(t *testing.T) {
	r := newRig(t, 256)
	a := r.dial()
	a.served(1, 1)
	r.acts.serve(false)
	a.ask(fields(ticket(2), "quick", "2000"))
	if h := a.hear(); h.kind != "shed" {
		t.Errorf("outside life: %+v", h)
	}
	r.acts.serve(true)
	seq := r.held(a, 3)
	r.front.mu.Lock()
	q := r.front.state.OpenOn(r.only().id)[0]
	r.front.mu.Unlock()
	r.acts.end(q, true) // as by another hand
	if r.front.serve(q.ID, [][]byte{[]byte("a\tb\tc\n")}) {
		t.Error("a second answer went out")
	}
	a.net.Write(thrift.AppendCancel(nil, 99, seq))
	if n := r.node.count("POST " + ticket(2)); n != 0 {
		t.Errorf("%d queries sent outside life", n)
	}
	for _, name := range []invariant.Name{invariant.TakenOutsideLife, invariant.AnsweredTwice} {
		if n := r.acts.counter.Violations()[name]; n == 0 {
			t.Errorf("%s: not counted", name)
		}
	}
}

// TestReloadTellsWhatIsKnown: what a new configuration says of the notice board's events counts at once, also
// while the notice board at its new address does not answer.
func TestReloadTellsWhatIsKnown(t *testing.T) {
	r := newRig(t, 256)
	within(t, "discovery is asked", func() bool { return len(r.board.asked()) > 0 })
	away, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer away.Close() // it takes connections and says nothing
	first := r.board.list[0]
	second := strings.NewReplacer(`"rev":1`, `"rev":2`, `"full":true`, `"full":false`, `"state":"up"`,
		`"state":"draining"`).Replace(first)
	data := bytes.Replace(r.config(away.Addr().String()), []byte(first), []byte(first+","+second), 1)
	if err := os.WriteFile(r.path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if !r.reload() {
		t.Fatal("the configuration was not read")
	}
	if !r.watch.drains("s-1") {
		t.Error("the drain in the new configuration is not known")
	}
}
