package platform

import (
	"time"

	"cresspass/internal/dispatch"
	"cresspass/internal/frontend/readturns"
	"cresspass/internal/frontend/thriftserver"
)

// The limits of a turn, after which a connection waits for the next one. A client that sends all the requests
// that it may have open at once does not have to wait.
const (
	requestsPerTurn = thriftserver.MaxOpenRequests
	messagesPerTurn = 8 * requestsPerTurn // messages that open no request cost less
	bytesPerTurn    = 64 << 10

	// A first turn is not granted, so that many connections can have theirs at once: it is shorter.
	messagesPerFirstTurn = requestsPerTurn
	bytesPerFirstTurn    = 16 << 10
)

// readTurns grants turns to connections, each after a step of the core's loop, so that the events of one turn
// at most wait for a step.
type readTurns struct {
	loop  *dispatch.Loop
	queue *readturns.Queue
}

func newReadTurns(loop *dispatch.Loop) *readTurns {
	return &readTurns{loop: loop, queue: readturns.NewQueue(func(pause time.Duration, grant func()) {
		time.AfterFunc(pause, func() { loop.AfterStep(grant) })
	})}
}

// await waits for a turn. It does not wait if the loop has ended. The caller must call queue.End when the
// turn is over.
func (t *readTurns) await() {
	granted := make(chan struct{})
	t.queue.Request(func() { close(granted) })
	select {
	case <-granted:
	case <-t.loop.Done():
	}
}

// turn is a connection's share of the reading. It belongs to the goroutine that reads the connection, which
// must end it when the connection ends: until then no other connection is granted one.
type turn struct {
	turns    *readTurns
	granted  bool // by turns; the first turn after the socket was empty is not granted
	requests int  // since the turn began
	messages int  // including requests
	bytes    int
	waited   time.Duration // for turns, since the socket was last empty
}

// addRequest adds a request that was opened by the current message.
func (t *turn) addRequest() { t.requests++ }

// addMessage adds a message that was handled. If the turn is over, it waits for the next one and returns
// true.
func (t *turn) addMessage(bytes int) (waited bool) {
	t.messages++
	t.bytes += bytes
	if !t.over() {
		return false
	}
	t.wait()
	return true
}

// beginMessage waits for a turn if a message that was read is too long for the first one: hundreds of clients
// that each send one long message would delay all others.
func (t *turn) beginMessage(bytes int) {
	if !t.granted && t.bytes+bytes > bytesPerFirstTurn {
		t.wait()
	}
}

// wait waits for the next turn.
func (t *turn) wait() {
	waitedBefore, begun := t.waited, time.Now()
	t.end()
	t.turns.await()
	t.granted, t.waited = true, waitedBefore+time.Since(begun)
}

// over reports whether the turn has reached one of its limits.
func (t *turn) over() bool {
	if !t.granted {
		return t.messages >= messagesPerFirstTurn || t.bytes >= bytesPerFirstTurn
	}
	return t.requests >= requestsPerTurn || t.messages >= messagesPerTurn || t.bytes >= bytesPerTurn
}

// end ends the turn: the socket is empty, or the connection ends.
func (t *turn) end() {
	if t.granted {
		t.turns.queue.End()
	}
	*t = turn{turns: t.turns}
}
