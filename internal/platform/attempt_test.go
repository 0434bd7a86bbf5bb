package platform

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/protocol/thrift"
)

// TestServesAllPages checks that a client's parameters reach the compute node unchanged, and that all pages
// of the result reach the client in order.
func TestServesAllPages(t *testing.T) {
	h := newHarness(t, 256)
	h.node.pages = 4
	client := h.dial()
	client.conn.Write(thrift.Alive{}.Append(nil, 100))
	if got := client.receive(); got.kind != "answer" || got.seq != 100 {
		t.Fatalf("alive: %+v", got)
	}
	client.mustServe(1, 4)
	if got := h.node.headers; got.Get("X-Queue") != "quick" || got.Get("X-Ticket") != ticket(1) ||
		got.Get("Grant-Mb") == "" || got.Get("X-Max-Ms") == "" {
		t.Errorf("headers %v", got)
	}
	nonce := strings.Repeat("ab", 16)
	client.send(requestFields(ticket(2), "load", "8000", "unique", nonce))
	if got := client.receive(); got.kind != "answer" || h.node.headers.Get("X-Nonce") != nonce {
		t.Errorf("request with an idempotency key: %+v, headers %v", got, h.node.headers)
	}
}

// TestOrderByKey checks that queries of an ordered class with the same key run one at a time, in the order of
// arrival. Queries with other keys, or without a key, do not wait for them.
func TestOrderByKey(t *testing.T) {
	h := newHarness(t, 256)
	var mu sync.Mutex
	gates := map[string]chan struct{}{ticket(1): make(chan struct{}), ticket(2): make(chan struct{})}
	h.node.setHandler(func(_ http.ResponseWriter, _ *http.Request, call, id string) bool {
		mu.Lock()
		gate := gates[id]
		mu.Unlock()
		if gate != nil && call != "DELETE" {
			<-gate
		}
		return false
	})
	client := h.dial()
	for i, key := range []string{"k", "k", "k", "other", ""} {
		client.send(requestFields(ticket(i+1), "turn", "8000", "item", key, "team", "north"))
	}
	for range 2 {
		if got := client.receive(); got.kind != "answer" || got.seq != 4 && got.seq != 5 {
			t.Errorf("got %+v while query 1 is held, want answers to 4 and 5", got)
		}
	}
	for i := 1; i <= 3; i++ {
		if gate := gates[ticket(i)]; gate != nil {
			eventually(t, "it is sent", func() bool { return h.node.callCount("POST "+ticket(i)) == 1 })
			if n := h.node.callCount("POST " + ticket(i+1)); n > 0 {
				t.Errorf("query %d was sent while the one before it ran", i+1)
			}
			close(gate)
		}
		if got := client.receive(); got.kind != "answer" || got.seq != int32(i) {
			t.Errorf("got %+v, want an answer to %d", got, i)
		}
	}
}

// TestMalformedResponses checks that after any kind of malformed response the result is fetched again and its
// query is not sent a second time, and that no client gets the rows of another query.
func TestMalformedResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	page := func(ticket string) string {
		text := row(ticket, 0)
		return fmt.Sprintf("%sPage-Count: 1\r\nContent-Length: %d\r\n\r\n%s", ok, len(text), text)
	}
	for name, garble := range map[string]func(w http.ResponseWriter, ticket string){
		"reset": func(w http.ResponseWriter, ticket string) { resetConn(w) },
		"noise": func(w http.ResponseWriter, ticket string) { writeRaw(w, "\x01\x02\x03\r\n\r\n") },
		"cut":   func(w http.ResponseWriter, ticket string) { writeRaw(w, page(ticket)[:50]) },
		"noisy rows": func(w http.ResponseWriter, ticket string) {
			writeRaw(w, strings.ReplaceAll(page(ticket), "\t", "?"))
		},
		"second copy": func(w http.ResponseWriter, ticket string) { writeRaw(w, page(ticket)+page(ticket)) },
		"late copy":   func(w http.ResponseWriter, ticket string) { duplicateLater(w, page(ticket)) },
		"never":       func(w http.ResponseWriter, ticket string) { writeRaw(w, "") },
		"three GB": func(w http.ResponseWriter, ticket string) {
			writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		},
		"1xx before it": func(w http.ResponseWriter, t string) {
			writeRaw(w, "HTTP/1.1 102 P\r\n\r\n"+page(t))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 256)
			var n atomic.Int64
			h.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
				if n.Add(1)%3 != 1 {
					return false
				}
				garble(w, ticket)
				return true
			})
			client := h.dial()
			for i := range 12 {
				client.mustServe(i+1, 1)
			}
			if got := h.node.callCount("POST"); got != 12 {
				t.Errorf("%d queries sent for 12 requests, want 12", got)
			}
		})
	}
}

// TestRequestLostInTransit checks that a query is sent again if its connection broke before the compute node
// received it, and that the loss does not count as a failure of the compute node.
func TestRequestLostInTransit(t *testing.T) {
	h := newHarness(t, 256)
	h.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, ticket string) bool {
		if call != "POST" || h.node.callCount("POST "+ticket) > 1 {
			return false
		}
		h.node.forget(ticket)
		resetConn(w)
		return true
	})
	client := h.dial()
	for i := range 12 {
		client.mustServe(i+1, 1)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range []cresspass.Outcome{cresspass.OutcomeConnectionReset, cresspass.OutcomeFailed,
		cresspass.OutcomeConnectFailed} {
		if h.outcomes[o] > 0 {
			t.Errorf("an attempt ended with outcome %d, which counts against the compute node", o)
		}
	}
}

// TestLateDuplicateResponse checks that a duplicate of a response that arrives after the reuse delay is not
// taken for the response to the next query's call.
func TestLateDuplicateResponse(t *testing.T) {
	h := newHarness(t, 256)
	h.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, id string) bool {
		if call != "POST" || id != ticket(1) {
			return false
		}
		c, b := hijack(w)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: %d\r\n\r\n%s",
			len(row(id, 0)), row(id, 0))
		writeNow(b, text)
		time.Sleep(3 * reuseDelay)
		writeNow(b, text)
		time.AfterFunc(time.Second, func() { c.Close() })
		return true
	})
	client := h.dial()
	client.mustServe(1, 1)
	time.Sleep(2 * reuseDelay)
	client.mustServe(2, 1)
}

// TestStoppedAttemptWaitsForDelete checks that a stopped attempt does not end before its compute node has
// answered the DELETE.
func TestStoppedAttemptWaitsForDelete(t *testing.T) {
	h := newHarness(t, 256)
	deleted := make(chan struct{})
	h.node.setHandler(func(w http.ResponseWriter, q *http.Request, call, ticket string) bool {
		if call == "DELETE" {
			<-deleted
			return false
		}
		w.WriteHeader(202)
		return true
	})
	client := h.dial()
	seq := client.send(requestFields(ticket(1), "quick", "2000"))
	eventually(t, "the query is sent", func() bool { return h.node.callCount("POST") == 1 })
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, client.lastSeq+1))
	eventually(t, "the compute node is sent a DELETE", func() bool { return h.node.callCount("DELETE") == 1 })
	running := func() (n int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.attempts)
	}
	if running() != 1 {
		t.Error("the attempt ended before its compute node answered the DELETE")
	}
	close(deleted)
	eventually(t, "the attempt ends", func() bool { return running() == 0 })
	if st := h.stats(); st.Abandoned != 1 || st.Open != 0 {
		t.Errorf("got %+v, want one abandoned request and none open", st)
	}
}

// startHeldAttempt returns a harness with one request whose attempt waits for a connection until the test
// unlocks pool.mu.
func startHeldAttempt(t *testing.T) (h *harness, client *testClient, seq int32) {
	t.Helper()
	h = newHarness(t, 256)
	h.pool.mu.Lock()
	client = h.dial()
	seq = client.send(requestFields(ticket(1), "quick", "2000"))
	eventually(t, "the attempt has started", func() bool { return h.attemptCount() == 1 })
	return h, client, seq
}

// TestCloseOrCancelBeforeSend checks that a query which waits for a connection is not sent after its client
// has closed or cancelled, even if the core does not know that yet.
func TestCloseOrCancelBeforeSend(t *testing.T) {
	for name, leave := range map[string]func(client *testClient, seq int32){
		"closes": func(client *testClient, _ int32) { client.conn.Close() },
		"cancels": func(client *testClient, seq int32) {
			client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, client, seq := startHeldAttempt(t)
			resume := h.pauseLoop()
			leave(client, seq)
			eventually(t, "the frontend knows", func() bool { return h.frontend.openRequests() == 0 })
			h.pool.mu.Unlock()
			eventually(t, "the attempt ends", func() bool { return h.attemptCount() == 0 })
			resume()
			if n := h.node.callCount("POST"); n != 0 {
				t.Errorf("%d queries sent for a client that had gone", n)
			}
		})
	}
}

// TestUnreadCloseOrCancelPreventsSend checks that a query is not written after its client has closed or
// cancelled, even if the close or cancel has not been read yet.
func TestUnreadCloseOrCancelPreventsSend(t *testing.T) {
	for name, leave := range map[string]func(client *testClient, seq int32){
		"closes": func(client *testClient, _ int32) { client.conn.Close() },
		"cancels": func(client *testClient, seq int32) {
			client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
		},
	} {
		t.Run(name, func(t *testing.T) {
			arm, done := missNextPeek(t)
			h, client, seq := startHeldAttempt(t)
			arm()
			leave(client, seq)
			eventually(t, "a peek has missed the input", done)
			h.pool.mu.Unlock()
			if name == "cancels" { // wakes the reader, which then reads the cancel
				client.conn.Write(thrift.Alive{}.Append(nil, 100))
			}
			eventually(t, "the attempt ends", func() bool { return h.attemptCount() == 0 })
			if n := h.node.callCount("POST"); n != 0 {
				t.Errorf("%d queries sent for a client that had gone", n)
			}
		})
	}
}

// TestCancelReadLatePreventsSend guards against a query that was sent although its cancel was in the client's
// socket: the dispatcher waited only 20 ms for the client's reader to read the cancel.
func TestCancelReadLatePreventsSend(t *testing.T) {
	arm, done := missNextPeek(t)
	h, client, seq := startHeldAttempt(t)
	arm()
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
	eventually(t, "a peek has missed the input", done)
	h.pool.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	client.conn.Write(thrift.Alive{}.Append(nil, 100)) // wakes the reader, which then reads both messages
	eventually(t, "the attempt ends", func() bool { return h.attemptCount() == 0 })
	if n := h.node.callCount("POST"); n != 0 {
		t.Errorf("%d queries sent for a client that had gone", n)
	}
}

// TestBusyClientIsServed checks that a client which writes without a pause is served, although there is
// always unread input in its socket.
func TestBusyClientIsServed(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	eventually(t, "the connection is registered", func() bool { return h.frontend.connCount() == 1 })
	h.frontend.mu.Lock()
	h.onlyConn().conn.SetReadBuffer(256 << 10) // so that few messages are queued before the request
	h.frontend.mu.Unlock()
	if err := client.conn.(*net.TCPConn).SetWriteBuffer(256 << 10); err != nil {
		t.Fatal(err)
	}
	var cancels []byte
	for range 4096 {
		cancels = thrift.CancelRequest{TargetSeq: 7}.Append(cancels, 8) // 7 is not open
	}
	const seq = 21
	request := thrift.Dispatch{Fields: requestFields(ticket(1), "quick", "15000"), Body: []byte("SELECT 1")}
	go func() {
		// One goroutine writes all: a second one would wait until this one pauses.
		_, err := client.conn.Write(request.Append(bytes.Clone(cancels), seq))
		for err == nil {
			_, err = client.conn.Write(cancels)
		}
	}()
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Errorf("got %+v, want an answer", got)
	}
}

// TestDrainBeforeSend checks that a query which waits for a connection is sent to another compute node if its
// own begins to drain in the meantime, and that this does not count as a failure of the draining one.
func TestDrainBeforeSend(t *testing.T) {
	h := newHarness(t, 256)
	h.pool.mu.Lock()
	client := h.dial()
	seq := client.send(requestFields(ticket(1), "quick", "5000"))
	eventually(t, "the attempt has started", func() bool { return h.attemptCount() == 1 })
	resume := h.pauseLoop()
	second := newFakeNode(t)
	h.discovery.add(false, "s-2", serverAddr(second.Server), "up")
	h.discovery.add(false, "s-1", serverAddr(h.node.Server), "draining")
	eventually(
		t,
		"the drain is known",
		func() bool { return !h.watcher.accepting("s-1", serverAddr(h.node.Server)) },
	)
	h.pool.mu.Unlock()
	eventually(t, "the attempt ends", func() bool { return h.attemptCount() == 0 })
	resume()
	if got := client.receive(); got.kind != "answer" || got.seq != seq {
		t.Errorf("got %+v, want an answer", got)
	}
	if n, m := h.node.callCount("POST"), second.callCount("POST"); n != 0 || m != 1 {
		t.Errorf("the draining compute node got %d queries, the other one %d", n, m)
	}
	if n := h.endedWith(cresspass.OutcomeConnectFailed); n != 0 {
		t.Errorf("%d attempts ended as failed connections", n)
	}
}

// TestStartDeadlinePassed checks that an attempt is not sent after its startBy time, which for a retry with
// an idempotency key is the end of the window.
func TestStartDeadlinePassed(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	seq := h.sendHeld(client, 1)
	h.frontend.mu.Lock()
	q := *h.frontend.registry.Lookup(1)
	h.frontend.mu.Unlock()
	q.Ticket = ticket(2)
	before := h.node.callCount("POST")
	late := &attempt{
		service:        h.service,
		request:        &q,
		number:         7,
		engine:         "s-1",
		addr:           serverAddr(h.node.Server),
		clientDeadline: q.Deadline,
		decidedAt:      time.Now(),
		startBy:        time.Now(),
	}
	late.ctx, late.cancel = t.Context(), func() {}
	late.run()
	if n, full := h.node.callCount("POST"), h.endedWith(cresspass.OutcomeRejected); n != before || full != 1 {
		t.Errorf("%d queries were sent, want 0; %d attempts were rejected, want 1", n-before, full)
	}
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
}

// TestCancelInSameSegment checks that a request that is cancelled in its own segment gets no answer, and that
// cancels of sequence numbers that are not open have no effect.
func TestCancelInSameSegment(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	b := thrift.CancelRequest{TargetSeq: 7}.Append(nil, 1)
	call := thrift.Dispatch{Fields: requestFields(ticket(1), "quick", "2000"), Body: []byte("SELECT 1")}
	b = call.Append(b, 7)
	b = thrift.CancelRequest{TargetSeq: 7}.Append(b, 8)
	client.conn.Write(thrift.CancelRequest{TargetSeq: 7}.Append(b, 9))
	client.lastSeq = 20
	client.mustServe(2, 1) // the first reply that is received
	client.conn.Write(thrift.CancelRequest{TargetSeq: client.lastSeq}.Append(nil, 30))
	client.mustServe(3, 1)
	eventually(t, "all have ended", func() bool { return h.attemptCount() == 0 && h.stats().Open == 0 })
	if st := h.stats(); st.Abandoned != 1 || st.Served != 2 {
		t.Errorf("got %+v, want one abandoned and two served requests", st)
	}
}

// TestRefusedDeleteKeepsAttemptOpen checks that an attempt whose DELETE is refused stays open until it has
// not been polled for 2 s: a compute node that accepts no more connections still runs the queries that it
// has.
func TestRefusedDeleteKeepsAttemptOpen(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	seq := h.sendHeld(client, 1)
	h.node.Listener.Close()
	begun := time.Now()
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
	eventually(t, "the attempt ends", func() bool { return h.attemptCount() == 0 })
	if took := time.Since(begun); took < 1900*time.Millisecond {
		t.Errorf("ended after %v without an answer of its compute node", took)
	}
	if n := h.node.callCount("DELETE"); n != 0 {
		t.Errorf("%d DELETEs arrived, although the connection should have been refused", n)
	}
}

// TestLongStatementIsForwardedUnchanged guards against a long statement that is forwarded spoilt or rejected:
// a usual client's statement of 100 kB is read in steps, and written apart from the head of its call.
func TestLongStatementIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t, 256)
	var received []byte
	h.node.setBodyHandler(func(_ string, body []byte) { received = body })
	for _, length := range []int{1, freeMessageBytes, maxCopiedBody, maxCopiedBody + 1, 100_000} {
		statement := bytes.Repeat([]byte("SELECT 1 -- ;'\x00\xff\r\n"), length)[:length]
		client := h.dial()
		client.conn.Write(thrift.Dispatch{Fields: requestFields(ticket(length), "quick", "2000"),
			Body: statement}.Append(nil, 1))
		if got := client.receive(); got.kind != "answer" || !strings.Contains(got.text, ticket(length)) {
			t.Errorf("a statement of %d bytes: %s %q", length, got.kind, got.text)
		}
		if !bytes.Equal(received, statement) {
			t.Errorf("statement of %d bytes: the compute node got %d other bytes", length, len(received))
		}
	}
	eventually(t, "all memory is released", func() bool { return h.heldBytes() == 0 })
}
