package platform

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/daemon/signals"
	"cresspass/internal/protocol/thrift"
)

// TestGracefulShutdown checks that after SIGTERM new connections are served for a while, open requests are
// answered, and the dispatcher then ends.
func TestGracefulShutdown(t *testing.T) {
	h := newHarness(t, 256)
	h.node.keepRunning(0, ticket(1))
	signals := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	client := h.dial()
	client.send(requestFields(ticket(1), "quick", "60000"))
	eventually(t, "the query is sent", func() bool { return h.node.callCount("POST") == 1 })
	signals <- syscall.SIGTERM
	eventually(t, "the dispatcher is shutting down", func() bool {
		h.frontend.mu.Lock()
		defer h.frontend.mu.Unlock()
		return h.frontend.registry.Draining()
	})
	h.dial().mustServe(2, 1)
	if got := client.receive(); got.kind != "shed" {
		t.Errorf("open request: got %+v, want a rejection", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestShutdownWaitsForAcceptedConnection checks that a dispatcher does not end while an accepted connection
// with a request on it is not registered yet.
func TestShutdownWaitsForAcceptedConnection(t *testing.T) {
	var slow atomic.Bool
	withSystem(t, func(s *system) {
		accept := s.accept
		s.accept = func(ln *net.TCPListener) (*net.TCPConn, error) {
			c, err := accept(ln)
			if err == nil && slow.Load() { // as on a busy core
				time.Sleep(300 * time.Millisecond)
			}
			return c, err
		}
	})
	h := newHarness(t, 256)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	slow.Store(true)
	signals <- syscall.SIGTERM
	time.Sleep(acceptAfterTerm - 100*time.Millisecond)
	client := h.dial()
	client.send(requestFields(ticket(1), "quick", "2000"))
	answers := make(chan reply, 1)
	go func() { answers <- client.receive() }()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	select {
	case got := <-answers:
		if got.kind != "answer" {
			t.Errorf("got %+v, want an answer", got)
		}
	default:
		t.Error("the dispatcher ended before it answered the request")
	}
}

// TestShutdownWaitsForDeletes checks that a dispatcher does not exit before its compute nodes have answered
// the DELETEs of cancelled queries. Otherwise the next process of its name could send the next query of a key
// while a query of that key still runs.
func TestShutdownWaitsForDeletes(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	seq := h.sendHeld(client, 1)
	usual := h.node.handler
	deleted := make(chan struct{})
	markDeleted := sync.OnceFunc(func() { close(deleted) })
	h.node.setHandler(func(w http.ResponseWriter, q *http.Request, call, id string) bool {
		if call == "DELETE" {
			time.Sleep(acceptAfterTerm + 700*time.Millisecond) // longer than the rest of the shutdown takes
			markDeleted()
			return false
		}
		return usual(w, q, call, id)
	})
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGTERM
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
	client.conn.Close()
	select {
	case <-deleted:
		if err := <-ended; err != nil {
			t.Error(err)
		}
	case err := <-ended:
		t.Errorf("the dispatcher ended before the query was cancelled: %v", err)
	case <-time.After(maxShutdownWait + exitMargin + time.Second):
		t.Error("the dispatcher does not end")
	}
}

// TestBacklogServedAtShutdown checks that connections which are in the listener's backlog when it is drained
// are served.
func TestBacklogServedAtShutdown(t *testing.T) {
	h := newHarness(t, 256)
	h.frontend.mu.Lock() // the frontend accepts one connection and then blocks
	var list []*testClient
	for i := range 5 {
		client := h.dial()
		client.send(requestFields(ticket(i+1), "quick", "2000"))
		list = append(list, client)
	}
	h.frontend.drainBacklog()
	h.frontend.mu.Unlock()
	for i, client := range list {
		if got := client.receive(); got.kind != "answer" {
			t.Errorf("connection %d: got %+v, want an answer", i, got)
		}
	}
	eventually(t, "the listener is closed", h.listenerClosed(t))
}

// TestPendingAnswersWrittenAtShutdown checks that answers which their client has not read yet at SIGTERM are
// written before the dispatcher ends.
func TestPendingAnswersWrittenAtShutdown(t *testing.T) {
	h := newHarness(t, 256)
	const requests = 20
	size := h.serveLargeResults()
	client := h.dialSmallBuffers()
	for i := range requests {
		client.send(requestFields(ticket(i+1), "quick", "60000"))
	}
	eventually(t, "all requests are answered", func() bool { return h.stats().Served == requests })
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGTERM
	eventually(t, "the listener is closed", h.listenerClosed(t))
	for i := range requests {
		if got := client.receive(); got.kind != "answer" || len(got.text) < size {
			t.Fatalf("reply %d: %s of %d bytes, want a complete answer", i, got.kind, len(got.text))
		}
	}
	if got := client.receive(); got.kind != "closed" {
		t.Errorf("after the last answer: got %+v, want the end of the connection", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestOpenRequestsFailedAtExit checks that requests which are still open at the end of a shutdown are
// answered with a fault, even if the core does nothing.
func TestOpenRequestsFailedAtExit(t *testing.T) {
	h := newHarness(t, 256)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	client := h.dial()
	seq := h.sendHeld(client, 1)
	h.pauseLoop()
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGTERM
	if got := client.receive(); got.kind != "fault" || got.seq != seq {
		t.Errorf("open request: got %+v, want a fault", got)
	}
	if got := client.receive(); got.kind != "closed" {
		t.Errorf("after the fault: got %+v, want the end of the connection", got)
	}
}

// TestSigtermAfterManySighups checks that a SIGTERM which arrives after many unhandled SIGHUPs is not lost.
func TestSigtermAfterManySighups(t *testing.T) {
	h := newHarness(t, 256)
	sigs, stop := signals.Notify()
	defer stop()
	for range 16 { // not handled yet
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	time.Sleep(10 * time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- h.run(sigs) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxShutdownWait + exitMargin + 3*time.Second):
		t.Error("the dispatcher does not end")
	}
}

// TestRequestsDuringStallAtExit guards against lost requests: a process that stalled at the end of its
// shutdown then closed connections without answering requests that had arrived during the stall.
func TestRequestsDuringStallAtExit(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	seq := h.sendHeld(client, 1) // keeps the connection in use
	resume := h.pauseLoop()
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGTERM
	time.Sleep(maxShutdownWait + lastAnswerMargin/2)
	h.frontend.mu.Lock() // blocks the frontend until the process should have ended
	late := client.send(requestFields(ticket(2), "quick", "5000"))
	time.Sleep(exitMargin)
	h.frontend.mu.Unlock()
	answered := map[int32]string{}
	for range 2 {
		got := client.receive()
		answered[got.seq] = got.kind
	}
	if kind := answered[late]; answered[seq] != "fault" || kind != "shed" && kind != "fault" {
		t.Errorf("replies %v, want a fault for %d, and a fault or a rejection for %d", answered, seq, late)
	}
	resume()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
