package platform

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// restartNode starts a second fake compute node at the address of the first, whose listener it closes. The
// first one's connections and queries go on.
func (h *harness) restartNode() *fakeNode {
	h.t.Helper()
	addr := serverAddr(h.node.Server)
	h.node.Listener.Close()
	var listener net.Listener
	eventually(h.t, "the address is free", func() (free bool) {
		var err error
		listener, err = net.Listen("tcp", addr)
		return err == nil
	})
	second := &fakeNode{pages: 1, known: map[string]bool{}}
	second.Server = httptest.NewUnstartedServer(second)
	second.Listener.Close()
	second.Listener = listener
	second.Start()
	h.t.Cleanup(second.Close)
	return second
}

// TestNewNodeAtOldAddress guards against a new compute node that is taken for the one which had its address
// before: calls for a query of the old one went to the new one, which does not know it, and the query was
// sent again while it ran on.
func TestNewNodeAtOldAddress(t *testing.T) {
	const runsFor = 2 * time.Second // a query that is not asked for any more (PROTOCOL)
	for name, test := range map[string]struct {
		state, class string
		reset        bool // the connection is reset; else the old node does not answer any more
		waits        bool // the query must not be sent again while it may run
	}{
		"load, draining, reset":  {"draining", "load", true, true},
		"load, draining, silent": {"draining", "load", false, true},
		"load, removed, silent":  {"removed", "load", false, true},
		"load, removed, reset":   {"removed", "load", true, false}, // the old process has ended
		"read, draining, reset":  {"draining", "quick", true, false},
		"read, removed, silent":  {"removed", "quick", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 256)
			old := h.node
			lost := make(chan struct{}) // closed when the old node's connection is lost
			old.setHandler(func(w http.ResponseWriter, r *http.Request, call, _ string) bool {
				if call == "POST" {
					w.WriteHeader(202)
					return true
				}
				<-lost
				if test.reset {
					resetConn(w)
				} else {
					<-r.Context().Done()
				}
				return true
			})
			client := h.dial()
			client.send(requestFields(ticket(1), test.class, "8000", "unique", ticket(2)+ticket(3)))
			eventually(t, "the query runs", func() bool { return old.callCount("GET 0 "+ticket(1)) > 0 })
			h.discovery.add(false, "s-1", serverAddr(old.Server), test.state)
			second := h.restartNode()
			h.discovery.add(false, "s-2", serverAddr(second.Server), "up")
			eventually(t, "the new node is known", func() bool {
				return h.watcher.accepting("s-2", serverAddr(second.Server))
			})
			askedAt := time.Now()
			close(lost)
			client.receive()
			took := time.Since(askedAt)
			if sent := second.callCount("POST "+ticket(1)) > 0; sent && test.waits && took < runsFor {
				t.Errorf("the query was sent again %v after its connection was lost", took)
			}
			if calls := second.callsOf(ticket(1)); len(calls) > 0 && calls[0] != "POST "+ticket(1) {
				t.Errorf("the first call for the query at the new node is %s", calls[0])
			}
		})
	}
}
