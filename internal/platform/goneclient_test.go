package platform

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// TestRequestsOfClosedConnectionAreNotSent guards against queries that are sent for a client that has gone:
// behind them, much was unread when it closed or reset its connection, and they were sent before all of that
// had been read. Other clients send without a pause, so that reading it takes a while.
func TestRequestsOfClosedConnectionAreNotSent(t *testing.T) {
	const requests, cancels, others = 10, 12_000, 2
	const allowed = 100 * time.Millisecond // an attempt that begins later is a break (STANDING)
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 256)
			var mu sync.Mutex
			var sent []time.Time
			h.node.setBodyHandler(func(string, []byte) {
				mu.Lock()
				defer mu.Unlock()
				sent = append(sent, time.Now())
			})
			for range others {
				go floodAlive(h.dial())
			}
			client := h.dial()
			var b []byte
			for seq := int32(1); seq <= requests; seq++ {
				fields := requestFields(ticket(int(seq)), "quick", "20000", "cpu", "1")
				b = thrift.Dispatch{Fields: fields, Body: []byte("SELECT 1")}.Append(b, seq)
			}
			for range cancels {
				b = thrift.CancelRequest{TargetSeq: requests + 1}.Append(b, requests+2) // of no request
			}
			client.conn.Write(b)
			if reset {
				client.conn.(*net.TCPConn).SetLinger(0)
			}
			client.conn.Close()
			closed := time.Now()
			time.Sleep(2 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			for _, at := range sent {
				if late := at.Sub(closed); late > allowed {
					t.Errorf("a query was sent %v after the close", late)
				}
			}
		})
	}
}

// floodAlive sends calls of alive without a pause, and reads the replies, until the connection ends.
func floodAlive(client *testClient) {
	go io.Copy(io.Discard, client.conn)
	calls := bytes.Repeat(thrift.Alive{}.Append(nil, 1), messagesPerTurn)
	for err := error(nil); err == nil; {
		_, err = client.conn.Write(calls)
	}
}

// TestTicketRunsOnce guards against a query that runs twice: its client left, or had its answer, and its id
// came again on another connection.
func TestTicketRunsOnce(t *testing.T) {
	for name, play := range map[string]func(h *harness, client *testClient, fields thrift.Fields){
		"client gone while it runs": func(h *harness, client *testClient, fields thrift.Fields) {
			h.node.keepRunning(50*time.Millisecond, ticket(1))
			client.send(fields)
			eventually(h.t, "the query runs", func() bool { return h.node.callCount("POST") == 1 })
			client.conn.Close()
			eventually(h.t, "the request has ended", func() bool { return h.frontend.openRequests() == 0 })
		},
		"client gone, attempt over": func(h *harness, client *testClient, fields thrift.Fields) {
			h.node.keepRunning(50*time.Millisecond, ticket(1))
			client.send(fields)
			eventually(h.t, "the query runs", func() bool { return h.node.callCount("POST") == 1 })
			client.conn.Close()
			eventually(h.t, "the attempt has ended", func() bool { return h.attemptCount() == 0 })
		},
		"cancelled": func(h *harness, client *testClient, fields thrift.Fields) {
			h.node.keepRunning(50*time.Millisecond, ticket(1))
			seq := client.send(fields)
			eventually(h.t, "the query runs", func() bool { return h.node.callCount("POST") == 1 })
			client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, seq+1))
			eventually(h.t, "the request has ended", func() bool { return h.frontend.openRequests() == 0 })
		},
		"answered": func(h *harness, client *testClient, fields thrift.Fields) {
			client.send(fields)
			if got := client.receive(); got.kind != "answer" {
				h.t.Fatalf("got %+v, want an answer", got)
			}
		},
	} {
		for _, class := range []string{"quick", "load"} {
			t.Run(name+", "+class, func(t *testing.T) {
				h := newHarness(t, 256)
				fields := requestFields(ticket(1), class, "5000", "unique", ticket(2)+ticket(3))
				play(h, h.dial(), fields)
				again := h.dial()
				again.send(fields)
				if got := again.receive(); got.kind != "fault" {
					t.Errorf("the id again: %+v, want a fault", got)
				}
				eventually(t, "the attempts have ended", func() bool { return h.attemptCount() == 0 })
				if n := h.node.callCount("POST"); n != 1 {
					t.Errorf("the query ran %d times, want once", n)
				}
				again.mustServe(9, 1)
			})
		}
	}
}

// TestTicketThatNeverRanMayComeAgain checks that an id whose query never ran is accepted again.
func TestTicketThatNeverRanMayComeAgain(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	client.send(requestFields(ticket(1), "quick", "1")) // too little time to send it
	if got := client.receive(); got.kind != "shed" {
		t.Fatalf("got %+v, want a rejection", got)
	}
	client.mustServe(1, 1)
}
