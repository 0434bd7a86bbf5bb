package platform

import (
	"bytes"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// TestMalformedClients checks that invalid input is answered with a fault or by closing the connection, is
// never forwarded, and does not affect other clients.
func TestMalformedClients(t *testing.T) {
	h := newHarness(t, 256)
	h.node.keepRunning(0, ticket(0xaa))
	usual := h.dial()
	held := usual.send(requestFields(ticket(0xaa), "quick", "60000"))
	eventually(t, "the usual query runs", func() bool { return h.node.callCount("POST "+ticket(0xaa)) == 1 })
	for name, f := range map[string]thrift.Fields{
		"no id":         {{Name: "verb", Value: "quick"}, {Name: "limit", Value: "100"}},
		"header in id":  requestFields("x\r\nA: b", "quick", "100"),
		"unknown class": requestFields(ticket(9), "nothing", "100"),
		"no number":     requestFields(ticket(9), "quick", "NaN"),
		"negative":      requestFields(ticket(9), "quick", "-5"),
		"endless":       requestFields(ticket(9), "quick", "1e300"),
		"infinite work": requestFields(ticket(9), "quick", "100", "cpu", "Inf"),
		"no key":        requestFields(ticket(9), "load", "100"),
		"open already":  requestFields(ticket(0xaa), "quick", "100"),
	} {
		client := h.dial()
		client.send(f)
		if got := client.receive(); got.kind != "fault" {
			t.Errorf("%s: %+v", name, got)
		}
	}
	for name, b := range map[string][]byte{
		"noise":      []byte("GET / HTTP/1.1\r\n\r\n"),
		"negative":   {0xff, 0xff, 0xff, 0xf0, 1},
		"empty":      {0, 0, 0, 0},
		"sixty MB":   {3, 0x93, 0x87, 0, 0x80, 1, 0, 1},
		"wrong form": {0, 0, 0, 4, 1, 2, 3, 4},
	} {
		client := h.dial()
		client.conn.Write(b)
		if got := client.receive(); got.kind != "closed" {
			t.Errorf("%s: %+v", name, got)
		}
	}
	duplicate := h.dial()
	duplicate.send(requestFields(ticket(0xab), "quick", "2000"))
	duplicate.lastSeq--
	duplicate.send(requestFields(ticket(0xac), "quick", "2000"))
	kinds := duplicate.receive().kind + " " + duplicate.receive().kind
	if kinds != "fault answer" && kinds != "answer fault" && kinds != "answer answer" {
		t.Errorf("two requests with the same sequence number: %s", kinds)
	}
	partial := h.dial()
	partial.conn.Write([]byte{0, 0, 1, 0, 0x80})
	silent := h.dial()
	if got := partial.receive(); got.kind != "closed" {
		t.Errorf("half a message: got %+v, want the end of the connection", got)
	}
	if got := silent.receive(); got.kind != "closed" {
		t.Errorf("no message: got %+v, want the end of the connection", got)
	}
	h.dial().mustServe(5, 1)
	if n, m := h.node.callCount("POST "+ticket(9)), h.node.callCount("POST "+ticket(0xaa)); n != 0 || m != 1 {
		t.Errorf("%d queries of invalid requests were sent, and the usual one %d times", n, m)
	}
	if n := h.node.callCount("GET 0 " + ticket(0xaa)); n > 400 {
		t.Errorf("one query was polled %d times in about 2 s", n)
	}
	usual.conn.Write(thrift.CancelRequest{TargetSeq: held}.Append(nil, usual.lastSeq+1))
}

// TestPipelinedRequests checks that requests are read whether many arrive in one segment or one arrives in
// single bytes.
func TestPipelinedRequests(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	var b []byte
	const requests = 20
	for i := range requests {
		call := thrift.Dispatch{Fields: requestFields(ticket(i+1), "quick", "5000"),
			Body: []byte("SELECT 1")}
		b = call.Append(b, int32(i+1))
	}
	client.conn.Write(b[:len(b)-7])
	for _, c := range b[len(b)-7:] {
		client.conn.Write([]byte{c})
	}
	seen := map[int32]bool{}
	for range requests {
		got := client.receive()
		if got.kind != "answer" || seen[got.seq] {
			t.Fatalf("got %+v, want an answer to a new request; received before: %v", got, seen)
		}
		seen[got.seq] = true
	}
}

// TestOpenRequestOutlivesIdleTimeout checks that a connection with an open request stays open although the
// client sends nothing for longer than the idle timeout, and that a connection without one is closed.
func TestOpenRequestOutlivesIdleTimeout(t *testing.T) {
	h := newHarness(t, 256)
	h.setTimeouts(50*time.Millisecond, clientWriteTimeout)
	silent, client := h.dial(), h.dial()
	silent.mustServe(1, 1)
	seq := h.sendHeld(client, 2)
	if got := silent.receive(); got.kind != "closed" {
		t.Fatalf("a silent connection: %+v", got)
	}
	time.Sleep(300 * time.Millisecond) // several idle timeouts
	h.node.setHandler(nil)
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Errorf("the open request: got %+v, want an answer", got)
	}
}

// TestRequestRacesIdleTimeout checks that a request which is still unread at its connection's idle timeout is
// accepted and answered.
func TestRequestRacesIdleTimeout(t *testing.T) {
	arm, done := missNextPeek(t)
	h := newHarness(t, 256)
	h.setTimeouts(200*time.Millisecond, clientWriteTimeout)
	client := h.dial()
	client.mustServe(1, 1)
	arm()
	seq := client.send(requestFields(ticket(2), "quick", "2000"))
	eventually(t, "a peek has missed the input", done)
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Errorf("got %+v, want an answer", got)
	}
}

// TestRequestRacesClose checks that a request which is still unread when unused connections are closed is
// answered. A request that arrives after the close is not forwarded, and its client sees an orderly end of
// the connection.
func TestRequestRacesClose(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	client.mustServe(1, 1)
	eventually(t, "the connection is unused", func() bool { return len(h.unusedConns()) == 1 })
	h.frontend.mu.Lock() // keeps the reader from recording that a message has begun
	seq := client.send(requestFields(ticket(2), "quick", "2000"))
	for c := h.onlyConn(); !c.hasUnread(); {
		time.Sleep(time.Millisecond)
	}
	h.frontend.retireUnusedLocked()
	evicted := h.frontend.evictLocked(0)
	h.frontend.mu.Unlock()
	if evicted {
		t.Error("the connection was evicted")
	}
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Fatalf("the unread request: got %+v, want an answer", got)
	}
	eventually(t, "the connection is unused", func() bool { return len(h.unusedConns()) == 1 })
	h.frontend.retireUnused()
	client.send(requestFields(ticket(3), "quick", "2000"))
	if got := client.receive(); got.kind != "closed" {
		t.Errorf("a request after the close: got %+v, want the end of the connection", got)
	}
	eventually(t, "the connection is closed", func() bool { return h.frontend.connCount() == 0 })
	if n := h.node.callCount("POST"); n != 2 {
		t.Errorf("%d queries were forwarded, want 2", n)
	}
}

// TestFinalAnswersSurviveClose checks that the open requests of a connection are answered if its input is
// malformed or a message stops half-way, and that the answers are not lost by a reset due to unread bytes.
func TestFinalAnswersSurviveClose(t *testing.T) {
	for name, c := range map[string]struct{ first, then []byte }{
		"no length": {[]byte{0xff, 0xff, 0xff, 0xf0}, bytes.Repeat([]byte{1}, 1<<20)},
		"no message": {append(binary.BigEndian.AppendUint32(nil, 4), 1, 2, 3, 4),
			bytes.Repeat([]byte{2}, 1<<20)},
		"half a message": {[]byte{0, 0, 1, 0, 0x80}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 256)
			client := h.dial()
			seq := h.sendHeld(client, 1)
			client.conn.Write(c.first)
			go client.conn.Write(c.then)
			if got := client.receive(); got.kind != "fault" || got.seq != seq {
				t.Errorf("the open request: got %+v, want a fault", got)
			}
			if got := client.receive(); got.kind != "closed" {
				t.Errorf("after the fault: got %+v, want the end of the connection", got)
			}
			eventually(
				t,
				"the query is cancelled",
				func() bool { return h.node.callCount("DELETE "+ticket(1)) > 0 },
			)
		})
	}
}

// TestSlowReader checks that a client which reads slowly gets all its answers, however long that takes, and
// that one which reads nothing is disconnected.
func TestSlowReader(t *testing.T) {
	h := newHarness(t, 256)
	const writeTimeout, requests = 250 * time.Millisecond, 20
	h.setTimeouts(clientIdleTimeout, writeTimeout)
	size := requests * h.serveLargeResults()
	client, stuck := h.dialSmallBuffers(), h.dialSmallBuffers()
	for i := range requests {
		client.send(requestFields(ticket(i+1), "quick", "60000"))
		stuck.send(requestFields(ticket(i+1001), "quick", "60000"))
	}
	slow := make([]byte, 24<<10)
	begun := time.Now()
	for got := 0; got < size; {
		n, err := client.conn.Read(slow)
		if err != nil {
			t.Fatalf("after %d bytes: %v", got, err)
		}
		got += n
		time.Sleep(time.Duration(n) * 2 * writeTimeout / time.Duration(size)) // about two timeouts in all
	}
	if took := time.Since(begun); took < 2*writeTimeout*9/10 {
		t.Errorf("all answers were read in %v, which is too fast to prove anything", took)
	}
	eventually(t, "the client that reads nothing is disconnected", func() bool {
		return h.frontend.connCount() == 1
	})
}

// TestFailedWritesAreCounted checks that a connection which the client resets while answers are written is
// counted as closed by the client, one on which the client reads nothing as not reading, and each only once.
func TestFailedWritesAreCounted(t *testing.T) {
	for reason, end := range map[closeReason]func(client *testClient){
		closedNotReading: func(*testClient) {},
		closedByClient: func(client *testClient) {
			client.conn.(*net.TCPConn).SetLinger(0)
			client.conn.Close()
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t, 256)
			const requests = 20
			h.setTimeouts(clientIdleTimeout, 300*time.Millisecond)
			h.serveLargeResults()
			client := h.dialSmallBuffers()
			for i := range requests {
				client.send(requestFields(ticket(i+1), "quick", "60000"))
			}
			eventually(t, "all requests are answered", func() bool { return h.stats().Served == requests })
			end(client)
			eventually(t, "the connection is closed", func() bool { return h.frontend.connCount() == 0 })
			h.frontend.mu.Lock()
			defer h.frontend.mu.Unlock()
			if counts := h.frontend.closedByReason; len(counts) != 1 || counts[reason] != 1 {
				t.Errorf("closed by reason: %v, want %s once", counts, reason)
			}
		})
	}
}

// TestPeekErrors checks that a peek which is interrupted, or fails for lack of memory, neither loses a
// request that has arrived nor closes the connection.
func TestPeekErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			var fails atomic.Int32
			withSystem(t, func(s *system) {
				peek := s.peek
				s.peek = func(fd uintptr) (int, error) {
					if n, err := peek(fd); n == 0 || err != nil || fails.Add(-1) < 0 {
						return n, err
					}
					return 0, errno
				}
			})
			h := newHarness(t, 256)
			client := h.dial()
			client.mustServe(1, 1)
			fails.Store(2)
			client.conn.SetDeadline(time.Now().Add(3 * time.Second))
			client.mustServe(2, 1)
		})
	}
}

// TestUnreadOutputIsLimitedInAll guards against output of several MB for each client that does not read: the
// output of all clients together is limited, and that of the clients with the most is dropped first.
func TestUnreadOutputIsLimitedInAll(t *testing.T) {
	const clients, chunkBytes = 16, 256 << 10
	const chunks = maxPendingBytes/chunkBytes - 1 // for a client; 60 MB in all
	const maxHeapBytes = 40 << 20                 // below the memory limit of 64 MB
	h := newHarness(t, 256)
	for range clients {
		h.dialSmallBuffers()
	}
	h.frontend.mu.Lock()
	conns := slices.Collect(maps.Values(h.frontend.conns))
	h.frontend.mu.Unlock()
	reading := h.dialSmallBuffers()
	chunk := make([]byte, chunkBytes)
	for range chunks {
		for _, client := range conns {
			client.send(chunk, 0)
		}
	}
	runtime.GC()
	if held := heapBytes(); held > maxHeapBytes {
		t.Errorf("the heap has %d MB, want at most %d", held>>20, maxHeapBytes>>20)
	}
	reading.mustServe(1, 1)
	h.frontend.mu.Lock()
	dropped := h.frontend.closedByReason[closedNotReading]
	h.frontend.mu.Unlock()
	if dropped == 0 || dropped > clients {
		t.Errorf("%d connections of clients that do not read were closed, want 1 to %d", dropped, clients)
	}
	h.frontend.closeAll()
	eventually(t, "all memory is released", func() bool { return h.heldBytes() == 0 })
}

// TestOutputOfSlowReaderIsWhole checks that a client which reads slowly gets all of its output unchanged,
// while more is added to what is pending.
func TestOutputOfSlowReaderIsWhole(t *testing.T) {
	const messages, messageBytes = 200, 20_000
	h := newHarness(t, 256)
	client := h.dialSmallBuffers()
	h.frontend.mu.Lock()
	conn := h.onlyConn()
	h.frontend.mu.Unlock()
	go func() {
		for n := range messages {
			conn.send(bytes.Repeat([]byte{byte(n)}, messageBytes), 0)
		}
	}()
	b := make([]byte, messageBytes)
	for n := range messages {
		_, err := io.ReadFull(client.reader, b)
		if want := bytes.Repeat([]byte{byte(n)}, messageBytes); err != nil || !bytes.Equal(b, want) {
			t.Fatalf("message %d is not the one that was sent; error %v", n, err)
		}
	}
	eventually(t, "all memory is released", func() bool { return h.heldBytes() == 0 })
}
