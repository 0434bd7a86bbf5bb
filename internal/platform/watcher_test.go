package platform

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
	"time"

	"cresspass/internal/discovery/sse"
)

// TestDiscoveryReconnects checks that the discovery service is polled again from the last complete event if
// its stream breaks off or falls silent or its address changes, and that its lists reach the core.
func TestDiscoveryReconnects(t *testing.T) {
	h := newHarness(t, 256)
	second, third := newFakeNode(t), newFakeNode(t)
	h.discovery.mu.Lock()
	h.discovery.truncate = 2
	h.discovery.mu.Unlock()
	h.discovery.add(false, "s-2", serverAddr(second.Server), "up")
	eventually(
		t,
		"the second compute node is known",
		func() bool { return h.watcher.engineAddr("s-2") != "" },
	)
	if asked := h.discovery.polledFrom(); len(asked) < 3 || asked[0] != "1" || asked[1] != "1" {
		t.Errorf("polled from %v", asked)
	}
	h.discovery.add(false, "s-1", serverAddr(h.node.Server), "removed")
	eventually(t, "the first is removed", func() bool { return h.watcher.engineAddr("s-1") == "" })
	client := h.dial()
	client.mustServe(1, 1)
	if h.node.callCount("POST") != 0 || second.callCount("POST") != 1 {
		t.Errorf("the first compute node got %d queries, the second %d", h.node.callCount("POST"),
			second.callCount("POST"))
	}
	moved := newFakeDiscovery(t)
	h.discovery.mu.Lock()
	moved.events = append([]string(nil), h.discovery.events...)
	h.discovery.silent = true
	h.discovery.mu.Unlock()
	moved.add(false, "s-3", serverAddr(third.Server), "up")
	if err := os.WriteFile(h.path, []byte("{half"), 0o600); err != nil {
		t.Fatal(err)
	}
	h.reload() // the file can't be parsed, so nothing changes
	if err := os.WriteFile(h.path, h.config(serverAddr(moved.Server)), 0o600); err != nil {
		t.Fatal(err)
	}
	h.reload()
	eventually(t, "the third is known", func() bool { return h.watcher.engineAddr("s-3") != "" })
	if asked := moved.polledFrom(); asked[0] != "3" {
		t.Errorf("the new address was polled from %v", asked)
	}
	moved.mu.Lock()
	moved.silent = true
	moved.mu.Unlock()
	n := len(moved.polledFrom())
	eventually(t, "a silent discovery service is polled again", func() bool {
		return len(moved.polledFrom()) > n
	})
}

// TestSlowDiscovery checks that events are received from a discovery service that always takes longer to
// answer than a call may take before it is overdue.
func TestSlowDiscovery(t *testing.T) {
	h := newHarness(t, 256)
	slow := newFakeDiscovery(t)
	slow.add(true, "s-1", serverAddr(h.node.Server), "up")
	slow.add(false, "s-2", serverAddr(h.node.Server), "up")
	at := slow.Config.Handler
	slow.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		select {
		case <-time.After(streamSilenceTimeout + 500*time.Millisecond):
			at.ServeHTTP(w, q)
		case <-q.Context().Done():
		}
	})
	h.watcher.redirect(serverAddr(slow.Server))
	eventually(t, "the list of the slow discovery service is known", func() bool {
		return h.watcher.engineAddr("s-2") != ""
	})
}

// TestRedirectDuringEvent checks that after a redirect the new address is polled from the last complete
// event, whether the old one had not answered or had stopped in the middle of an event. The partial event is
// dropped.
func TestRedirectDuringEvent(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":     "",
		"half an event": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: {\"rev\":2,",
	} {
		h := newHarness(t, 256)
		old, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer old.Close()
		h.watcher.redirect(old.Addr().String())
		c, err := old.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 16)); err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		moved := newFakeDiscovery(t)
		moved.add(true, "s-1", serverAddr(h.node.Server), "up")
		moved.add(false, "s-2", serverAddr(h.node.Server), "up")
		h.watcher.redirect(serverAddr(moved.Server))
		eventually(t, "the new list is known", func() bool { return h.watcher.engineAddr("s-2") != "" })
		if asked := moved.polledFrom(); asked[0] != "1" {
			t.Errorf("%s: the new address was polled from %v", name, asked)
		}
	}
}

// TestEmptyStreamsAreBackedOff guards against a discovery service that ends each stream at once and is polled
// again without a backoff.
func TestEmptyStreamsAreBackedOff(t *testing.T) {
	const polls = 8
	polled := make(chan time.Time, polls)
	empty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		select {
		case polled <- time.Now():
		default:
		}
	}))
	t.Cleanup(empty.Close)
	h := newHarness(t, 256)
	h.watcher.redirect(serverAddr(empty))
	var at []time.Time
	for range polls {
		at = append(at, <-polled)
	}
	// The last pause is at least maxReconnectDelay/2; without a backoff it would be at most
	// minReconnectDelay.
	if last := at[polls-1].Sub(at[polls-2]); last < maxReconnectDelay/4 {
		t.Errorf("polled again %v after the last empty stream", last)
	}
}

// TestRedirectInterruptsBackoff checks that a new address of the discovery service is polled at once, even
// during a backoff.
func TestRedirectInterruptsBackoff(t *testing.T) {
	h := newHarness(t, 256)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	w := newWatcher(h.service, dead.Addr().String())
	defer w.stop()
	w.backoff.Min, w.backoff.Max = time.Hour, time.Hour
	go w.run()
	eventually(t, "the dead address is polled", func() bool { return w.calls.Load() == 1 })
	asked := len(h.discovery.polledFrom())
	w.redirect(serverAddr(h.discovery.Server))
	eventually(t, "the new address is polled", func() bool { return len(h.discovery.polledFrom()) > asked })
}

// TestReconnectsAreSpread checks that dispatchers which lose the discovery service at the same time reconnect
// at different times, and that no pause exceeds the maximum.
func TestReconnectsAreSpread(t *testing.T) {
	const fleet, tries = 300, 6
	var at []time.Duration
	for i := range fleet {
		b := sse.Backoff{Min: minReconnectDelay, Max: maxReconnectDelay,
			Random: rand.New(rand.NewPCG(uint64(i), 0))}
		var sum time.Duration
		for range tries {
			d := b.Next()
			if d < minReconnectDelay/2 || d > maxReconnectDelay {
				t.Fatalf("a pause of %v is out of bounds", d)
			}
			sum += d
		}
		at = append(at, sum)
		if b.Reset(); b.Next() > minReconnectDelay {
			t.Error("Reset does not restart the backoff")
		}
	}
	slices.Sort(at)
	most := 0
	for i, from := range at { // in each interval of 20 ms
		n := 0
		for _, d := range at[i:] {
			if d-from < 20*time.Millisecond {
				n++
			}
		}
		most = max(most, n)
	}
	if most > fleet/5 {
		t.Errorf("%d of %d reconnect within the same 20 ms", most, fleet)
	}
}

// TestStartTimeStableAcrossLists checks that a compute node keeps its start time across lists. With a later
// start time it would be taken for a new process, of which nothing is known.
func TestStartTimeStableAcrossLists(t *testing.T) {
	h := newHarness(t, 256)
	w := newWatcher(h.service, "")
	started := time.Now().Add(-5 * time.Second).UnixMilli()
	var starts []time.Duration
	for rev := range uint64(50) {
		var n sse.WatchEvent
		n.Revision = rev + 1
		n.List = &sse.EndpointList{Full: rev%2 == 0, Endpoints: []sse.Endpoint{{ID: "s-1", Addr: "a:1",
			State: "up", StartedMs: started}}}
		ev, _, err := w.follower.ApplyWatchEvent(n)
		if err != nil {
			t.Fatal(err)
		}
		starts = append(starts, ev.Engines[0].StartedAt)
	}
	for i, at := range starts {
		if at != starts[0] {
			t.Fatalf("the start time was %v in the first list and %v in list %d", starts[0], at, i+1)
		}
	}
}
