package platform

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// TestTurnsOutliveConnections guards against a turn that is never over: connections that end while they have
// a turn, wait for one or linger must not keep others from being read.
func TestTurnsOutliveConnections(t *testing.T) {
	h := newHarness(t, 256)
	alive := bytes.Repeat(thrift.Alive{}.Append(nil, 1), 100*messagesPerTurn)
	malformed := append(bytes.Clone(alive), make([]byte, 1<<20)...)
	var clients sync.WaitGroup
	for n := range 12 {
		client := h.dial()
		clients.Go(func() {
			client.conn.Write([][]byte{alive, malformed}[n%2])
			time.Sleep(time.Duration(n) * time.Millisecond)
			client.conn.Close()
		})
	}
	clients.Wait()
	last := h.dial()
	go last.conn.Write(alive)
	for n := range 100 * messagesPerTurn {
		if got := last.receive(); got.kind != "answer" {
			t.Fatalf("call %d: %+v, want an answer", n, got)
		}
	}
	eventually(t, "no connection has a turn or waits for one", h.frontend.turns.queue.Idle)
}

// TestTurnsDeductWaits checks that the time for which a request waits for its connection's turn is deducted
// from its deadline.
func TestTurnsDeductWaits(t *testing.T) {
	const limit, wait = "400", 500 * time.Millisecond
	h := newHarness(t, 256)
	client := h.dial()
	resume := h.pauseLoop() // grants no turn
	b := bytes.Repeat(thrift.Alive{}.Append(nil, 1), messagesPerFirstTurn)
	request := thrift.Dispatch{Fields: requestFields(ticket(1), "quick", limit), Body: []byte("SELECT 1")}
	b = request.Append(b, 2)
	client.conn.Write(b)
	time.Sleep(wait)
	resume()
	for range messagesPerFirstTurn {
		client.receive()
	}
	if got := client.receive(); got.kind != "shed" {
		t.Errorf("a request whose time is over: %+v, want a rejection", got)
	}
	if n := h.node.callCount("POST"); n != 0 {
		t.Errorf("%d queries were sent after their deadline", n)
	}
}
