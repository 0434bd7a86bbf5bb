package platform

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// TestMalformedClients: what can't be read gets an error or a close, is never forwarded, and leaves others
// alone.
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
	twice := h.dial()
	twice.send(requestFields(ticket(0xab), "quick", "2000"))
	twice.lastSeq--
	twice.send(requestFields(ticket(0xac), "quick", "2000"))
	kinds := twice.receive().kind + " " + twice.receive().kind
	if kinds != "fault answer" && kinds != "answer fault" && kinds != "answer answer" {
		t.Errorf("two requests under one number: %s", kinds)
	}
	half := h.dial()
	half.conn.Write([]byte{0, 0, 1, 0, 0x80})
	mute := h.dial()
	if got := half.receive(); got.kind != "closed" {
		t.Errorf("half a message: %+v", got)
	}
	if got := mute.receive(); got.kind != "closed" {
		t.Errorf("silence: %+v", got)
	}
	h.dial().mustServe(5, 1)
	if n, m := h.node.callCount("POST "+ticket(9)), h.node.callCount("POST "+ticket(0xaa)); n != 0 || m != 1 {
		t.Errorf("%d queries of bad clients were sent, and the usual one %d times", n, m)
	}
	if n := h.node.callCount("GET 0 " + ticket(0xaa)); n > 400 {
		t.Errorf("one query was polled %d times in some 2 s", n)
	}
	usual.conn.Write(thrift.CancelRequest{TargetSeq: held}.Append(nil, usual.lastSeq+1))
}

// TestPipelinedRequests: requests that come in one segment, and in single bytes, are all read.
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
			t.Fatalf("%+v, received before: %v", got, seen)
		}
		seen[got.seq] = true
	}
}

// TestOpenRequestOutlivesIdleTimeout: a client that waits for an answer says nothing, for longer than a
// silent connection is kept; one with nothing open is closed.
func TestOpenRequestOutlivesIdleTimeout(t *testing.T) {
	h := newHarness(t, 256)
	h.setTimeouts(50*time.Millisecond, clientWriteTimeout)
	silent, client := h.dial(), h.dial()
	silent.mustServe(1, 1)
	seq := h.sendHeld(client, 2)
	if got := silent.receive(); got.kind != "closed" {
		t.Fatalf("a silent connection: %+v", got)
	}
	time.Sleep(300 * time.Millisecond) // many times what a silent one has
	h.node.setHandler(nil)
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Errorf("the request that was open: %+v", got)
	}
}

// TestRequestRacesIdleTimeout: a request that is there, unread, when its connection has been silent for
// too long is taken and answered.
func TestRequestRacesIdleTimeout(t *testing.T) {
	blind, done := blindPeek(t)
	h := newHarness(t, 256)
	h.setTimeouts(200*time.Millisecond, clientWriteTimeout)
	client := h.dial()
	client.mustServe(1, 1)
	blind()
	seq := client.send(requestFields(ticket(2), "quick", "2000"))
	eventually(t, "the peek that sees nothing", done)
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Errorf("%+v", got)
	}
}

// TestRequestRacesClose: a request that is there, unread, when unused connections are
// closed is answered; one that comes after is not forwarded, and its client sees an orderly end.
func TestRequestRacesClose(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	client.mustServe(1, 1)
	eventually(t, "the connection is unused", func() bool { return len(h.unusedConns()) == 1 })
	h.frontend.mu.Lock() // its reader can't tell the state of what comes
	seq := client.send(requestFields(ticket(2), "quick", "2000"))
	for c := h.onlyConn(); !c.hasUnread(); {
		time.Sleep(time.Millisecond)
	}
	h.frontend.retireUnusedLocked()
	victim := h.frontend.evictLocked(0)
	h.frontend.mu.Unlock()
	if victim {
		t.Error("it was evicted")
	}
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Fatalf("the request that was there: %+v", got)
	}
	eventually(t, "the connection is unused", func() bool { return len(h.unusedConns()) == 1 })
	h.frontend.retireUnused()
	client.send(requestFields(ticket(3), "quick", "2000"))
	if got := client.receive(); got.kind != "closed" {
		t.Errorf("a request after the end: %+v", got)
	}
	eventually(t, "the connection is closed", func() bool { return h.frontend.connCount() == 0 })
	if n := h.node.callCount("POST"); n != 2 {
		t.Errorf("%d queries were forwarded, want 2", n)
	}
}

// TestFinalAnswersSurviveClose: where a connection can't be read any further, what was open on it is
// answered, and the answers are not lost by a reset over bytes that nobody read; the same where a message
// stops half-way.
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
				t.Errorf("what was open: %+v", got)
			}
			if got := client.receive(); got.kind != "closed" {
				t.Errorf("after it: %+v", got)
			}
			eventually(
				t,
				"the query is cancelled",
				func() bool { return h.node.callCount("DELETE "+ticket(1)) > 0 },
			)
		})
	}
}

// TestSlowReader: a client that takes its answers slowly gets all of them, however long that is, and one that
// takes nothing is cut off.
func TestSlowReader(t *testing.T) {
	h := newHarness(t, 256)
	const stall, requests = 250 * time.Millisecond, 20
	h.setTimeouts(clientIdleTimeout, stall)
	size := requests * h.serveLargeResults()
	client, mute := h.dialSmallBuffers(), h.dialSmallBuffers()
	for i := range requests {
		client.send(requestFields(ticket(i+1), "quick", "60000"))
		mute.send(requestFields(ticket(i+1001), "quick", "60000"))
	}
	slow := make([]byte, 24<<10)
	begun := time.Now()
	for got := 0; got < size; {
		n, err := client.conn.Read(slow)
		if err != nil {
			t.Fatalf("after %d bytes: %v", got, err)
		}
		got += n
		time.Sleep(time.Duration(n) * 2 * stall / time.Duration(size)) // some two stalls in all
	}
	if took := time.Since(begun); took < 2*stall*9/10 {
		t.Errorf("all were read in %v: too fast to show anything", took)
	}
	eventually(t, "the client that reads nothing is cut off", func() bool {
		return h.frontend.connCount() == 1
	})
}

// TestFailedWritesAreCounted: a client that resets its connection while answers are written counts as gone,
// one that takes nothing as not reading, and each once.
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
			eventually(t, "all are answered", func() bool { return h.stats().Served == requests })
			end(client)
			eventually(t, "it is closed", func() bool { return h.frontend.connCount() == 0 })
			h.frontend.mu.Lock()
			defer h.frontend.mu.Unlock()
			if counts := h.frontend.closedByReason; len(counts) != 1 || counts[reason] != 1 {
				t.Errorf("closed by reason: %v, want %s once", counts, reason)
			}
		})
	}
}

// TestPeekErrors: a peek that is interrupted, or fails for want of memory, proves nothing: a
// request that is there is read, and no connection is closed over it.
func TestPeekErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			var fails atomic.Int32
			withSystem(t, func(s *system) {
				look := s.peek
				s.peek = func(fd uintptr) (int, error) {
					if n, err := look(fd); n == 0 || err != nil || fails.Add(-1) < 0 {
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
