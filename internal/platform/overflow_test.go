package platform

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// holdAccepts prevents dispatchers that the test starts later from accepting connections, as if the process
// were not scheduled, until release is called.
func holdAccepts(t *testing.T) (release func()) {
	gate := make(chan struct{})
	withSystem(t, func(s *system) {
		accept := s.accept
		s.accept = func(listener *net.TCPListener) (*net.TCPConn, error) {
			<-gate
			return accept(listener)
		}
	})
	return func() { close(gate) }
}

// runForEver makes all queries run until they are cancelled.
func (n *fakeNode) runForEver() {
	n.setHandler(func(w http.ResponseWriter, _ *http.Request, call, _ string) bool {
		if call != "DELETE" {
			w.WriteHeader(http.StatusAccepted)
		}
		return call != "DELETE"
	})
}

// sendFrom opens the given number of client connections and sends one request on each.
func (h *harness) sendFrom(clients int, limit string) (waiting []*testClient) {
	for n := range clients {
		client := h.dial()
		client.send(requestFields(ticket(n+1), "quick", limit))
		waiting = append(waiting, client)
	}
	return waiting
}

// TestRequestsBeyondCapacity guards against lost requests: when clients held all descriptors, further
// connections were accepted and closed without an answer to the request on them.
func TestRequestsBeyondCapacity(t *testing.T) {
	const clients, sockets = 60, 48
	release := holdAccepts(t)
	h := newHarness(t, sockets)
	h.node.runForEver()
	waiting := h.sendFrom(clients, "1500")
	check := h.dial()
	check.conn.Write(thrift.Alive{}.Append(nil, 1))
	slow := h.dial()
	message := requestMessage(clients+1, 1)
	slow.conn.Write(message[:len(message)/2])
	release()
	time.Sleep(100 * time.Millisecond)
	slow.conn.Write(message[len(message)/2:])
	for n, client := range waiting {
		if got := client.receive(); got.kind != "shed" && got.kind != "fault" {
			t.Errorf("request %d: %+v", n+1, got)
		}
	}
	if got := slow.receive(); got.kind != "shed" && got.kind != "fault" {
		t.Errorf("request sent in two halves: got %+v, want a rejection or a fault", got)
	}
	if got := check.receive(); got.kind != "answer" {
		t.Errorf("health check: got %+v, want an answer", got)
	}
}

// TestOverflowAtShutdown checks that requests beyond the capacity are answered even if SIGTERM arrives at the
// same time.
func TestOverflowAtShutdown(t *testing.T) {
	const clients, sockets = 60, 48
	release := holdAccepts(t)
	h := newHarness(t, sockets)
	h.node.runForEver()
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	waiting := h.sendFrom(clients, "1500")
	signals <- syscall.SIGTERM
	release()
	for n, client := range waiting {
		if got := client.receive(); got.kind != "shed" && got.kind != "fault" {
			t.Errorf("request %d: %+v", n+1, got)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestHalfMessagesHoldNoOverflow checks that clients which stop in the middle of a message do not keep
// another client from getting its answer.
func TestHalfMessagesHoldNoOverflow(t *testing.T) {
	const stuck, sockets = 60, 48
	release := holdAccepts(t)
	h := newHarness(t, sockets)
	for n := range stuck {
		message := requestMessage(n+1, 1)
		h.dial().conn.Write(message[:len(message)/2])
	}
	client := h.dial()
	client.send(requestFields(ticket(stuck+1), "quick", "5000"))
	release()
	if got := client.receive(); got.kind != "answer" && got.kind != "shed" {
		t.Errorf("got %+v, want an answer or a rejection", got)
	}
}

// TestOverflowOutlastsPause guards against lost requests: after a stall of the process, the time limit of a
// connection beyond the capacity had passed, and its request was not answered.
func TestOverflowOutlastsPause(t *testing.T) {
	const clients, sockets = 60, 48
	release := holdAccepts(t)
	h := newHarness(t, sockets)
	h.node.runForEver()
	h.sendFrom(clients, "60000")
	release()
	eventually(t, "the requests beyond the capacity are answered", func() bool {
		return h.frontend.openRequests() > 0 && h.evictedClients.Load() > 0 && len(h.frontend.overflow) == 0
	})
	message := requestMessage(clients+1, 1)
	h.frontend.mu.Lock() // the connection is not handled until the first half has arrived
	late := h.dial()
	late.conn.Write(message[:len(message)/2])
	time.Sleep(20 * time.Millisecond)
	h.frontend.mu.Unlock()
	eventually(t, "the connection is read", func() bool { return len(h.frontend.overflow) == 1 })
	h.frontend.mu.Lock()
	late.conn.Write(append(message[len(message)/2:], requestMessage(clients+2, 2)...))
	time.Sleep(overflowTimeout + 50*time.Millisecond)
	h.frontend.mu.Unlock()
	for range 2 {
		if got := late.receive(); got.kind != "shed" {
			t.Errorf("got %+v, want a rejection", got)
		}
	}
}
