package platform

import (
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
	"cresspass/internal/tcptest"
)

// requestMessage returns the frame of the n-th request, with a sequence number.
func requestMessage(n int, seq int32) []byte {
	call := thrift.Dispatch{Fields: requestFields(ticket(n), "quick", "2000"), Body: []byte("SELECT 1")}
	return call.Append(nil, seq)
}

// TestEvictionOfReadMessage guards against a lost request: a connection was evicted for another one although
// its reader had read a complete message that it had not handled yet.
func TestEvictionOfReadMessage(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	message := requestMessage(1, 1)
	client.conn.Write(message[:len(message)/2])
	eventually(t, "the message has begun", func() bool {
		h.frontend.mu.Lock()
		defer h.frontend.mu.Unlock()
		return len(h.frontend.conns) == 1 && h.frontend.registry.MidMessage(h.onlyConn().id)
	})
	h.frontend.mu.Lock() // keeps the reader from handling what it has read
	client.conn.Write(message[len(message)/2:])
	time.Sleep(50 * time.Millisecond)
	evicted := h.frontend.evictLocked(noGrace)
	h.frontend.mu.Unlock()
	if evicted {
		t.Error("the connection was evicted")
	}
	if got := client.receive(); got.kind != "answer" {
		t.Errorf("got %+v, want an answer", got)
	}
}

// TestClosesSpareBufferedMessage guards against a lost request: a connection was retired or evicted although
// its reader had buffered a second message, which arrived in the same segment as the first.
func TestClosesSpareBufferedMessage(t *testing.T) {
	h := newHarness(t, 256)
	accepted, peer := tcptest.Pair(t)
	client, err := newClientConn(h.frontend, accepted)
	if err != nil {
		t.Fatal(err)
	}
	h.frontend.register(client)
	defer client.cleanUp()
	peer.Write(append(thrift.Alive{}.Append(nil, 1), requestMessage(1, 2)...))
	if err := client.waitReadable(); err != nil || !client.beginMessage() {
		t.Fatal("no message arrived", err)
	}
	if err := client.readMessage(); err != nil || client.reader.Buffered() == 0 {
		t.Fatal("the second message was not read with the first", err)
	}
	h.frontend.retireUnused()
	if h.frontend.evict(noGrace) {
		t.Error("the connection was evicted")
	}
	if !client.beginMessage() {
		t.Error("the second message is not accepted")
	}
}
