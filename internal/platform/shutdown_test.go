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

// TestGracefulShutdown: after SIGTERM new connections are served for a while, what is open is answered, and
// then it ends.
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
	eventually(t, "it is shutting down", func() bool {
		h.frontend.mu.Lock()
		defer h.frontend.mu.Unlock()
		return h.frontend.registry.Draining()
	})
	h.dial().mustServe(2, 1)
	if got := client.receive(); got.kind != "shed" {
		t.Errorf("the open request: %+v", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestShutdownWaitsForAcceptedConnection: a dispatcher does not end while a connection that it accepted is
// not registered yet, with a request on it.
func TestShutdownWaitsForAcceptedConnection(t *testing.T) {
	var slow atomic.Bool
	withSystem(t, func(s *system) {
		accept := s.accept
		s.accept = func(ln *net.TCPListener) (*net.TCPConn, error) {
			c, err := accept(ln)
			if err == nil && slow.Load() { // the core is full
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
			t.Errorf("%+v", got)
		}
	default:
		t.Error("it ended before it had answered")
	}
}

// TestShutdownWaitsForDeletes: a dispatcher that ends does not exit before its compute nodes know what was
// cancelled: the next process of its name would send the next query of a key beside one that runs on.
func TestShutdownWaitsForDeletes(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	seq := h.sendHeld(client, 1)
	usual := h.node.handler
	given := make(chan struct{})
	tell := sync.OnceFunc(func() { close(given) })
	h.node.setHandler(func(w http.ResponseWriter, q *http.Request, call, id string) bool {
		if call == "DELETE" {
			time.Sleep(acceptAfterTerm + 700*time.Millisecond) // longer than the rest of the end takes
			tell()
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
	case <-given:
		if err := <-ended; err != nil {
			t.Error(err)
		}
	case err := <-ended:
		t.Errorf("it ended before the query was cancelled: %v", err)
	case <-time.After(maxShutdownWait + exitMargin + time.Second):
		t.Error("it does not end")
	}
}

// TestBacklogServedAtShutdown: connections that the machine accepted, and the dispatcher not yet, are served
// while the backlog is drained.
func TestBacklogServedAtShutdown(t *testing.T) {
	h := newHarness(t, 256)
	h.frontend.mu.Lock() // the front takes one connection, and stops there
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
			t.Errorf("connection %d: %+v", i, got)
		}
	}
	eventually(t, "the listener is closed", h.listenerClosed(t))
}

// TestPendingAnswersWrittenAtShutdown: answers that wait for their client when SIGTERM comes are written
// before the dispatcher ends.
func TestPendingAnswersWrittenAtShutdown(t *testing.T) {
	h := newHarness(t, 256)
	const requests = 20
	size := h.serveLargeResults()
	client := h.dialSmallBuffers()
	for i := range requests {
		client.send(requestFields(ticket(i+1), "quick", "60000"))
	}
	eventually(t, "all are answered", func() bool { return h.stats().Served == requests })
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGTERM
	eventually(t, "the listener is closed", h.listenerClosed(t))
	for i := range requests {
		if got := client.receive(); got.kind != "answer" || len(got.text) < size {
			t.Fatalf("answer %d: %s of %d bytes", i, got.kind, len(got.text))
		}
	}
	if got := client.receive(); got.kind != "closed" {
		t.Errorf("after the last: %+v", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestOpenRequestsFailedAtExit: what is open when the dispatcher ends is answered, even where nothing else
// did.
func TestOpenRequestsFailedAtExit(t *testing.T) {
	h := newHarness(t, 256)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	client := h.dial()
	seq := h.sendHeld(client, 1)
	h.pauseLoop()
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGTERM
	if got := client.receive(); got.kind != "fault" || got.seq != seq {
		t.Errorf("the open request: %+v", got)
	}
	if got := client.receive(); got.kind != "closed" {
		t.Errorf("after it: %+v", got)
	}
}

// TestSigtermAfterManySighups: a signal to end is not lost behind many to reload, while one of them still
// waits for its file.
func TestSigtermAfterManySighups(t *testing.T) {
	h := newHarness(t, 256)
	all, stop := signals.Notify()
	defer stop()
	for range 16 { // nobody takes them yet
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	time.Sleep(10 * time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- h.run(all) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxShutdownWait + exitMargin + 3*time.Second):
		t.Error("it does not end")
	}
}

// TestRequestsDuringStallAtExit guards against lost requests: a process that did not run as its shutdown came
// to its end closed connections over requests that had come meanwhile.
func TestRequestsDuringStallAtExit(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	seq := h.sendHeld(client, 1) // its connection stays in use
	resume := h.pauseLoop()
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGTERM
	time.Sleep(maxShutdownWait + lastAnswerMargin/2)
	h.frontend.mu.Lock() // nothing goes on until the process should have ended
	late := client.send(requestFields(ticket(2), "quick", "5000"))
	time.Sleep(exitMargin)
	h.frontend.mu.Unlock()
	answered := map[int32]string{}
	for range 2 {
		got := client.receive()
		answered[got.seq] = got.kind
	}
	if kind := answered[late]; answered[seq] != "fault" || kind != "shed" && kind != "fault" {
		t.Errorf("%v, want a fault for %d, and a fault or a rejection for %d", answered, seq, late)
	}
	resume()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
