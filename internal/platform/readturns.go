package platform

import (
	"sync"
	"time"

	"cresspass/internal/dispatch"
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

const (
	// turnPauseFactor is how many times as long as a turn the pause after it is. It leaves most of the
	// processor's time to other clients.
	turnPauseFactor = 3
	// maxTurnPause limits the pause after a turn during which the process was not scheduled.
	maxTurnPause = 100 * time.Millisecond
)

// readTurns shares the reading of clients that send without a pause. Such a connection reads messages for one
// turn, and then waits for the next one: one connection at a time has a turn, in the order in which they
// began to wait, and each turn begins after a step of the core's loop. Without it the goroutines of a few
// such clients, and the events that they post, would delay the loop and all other clients.
type readTurns struct {
	loop *dispatch.Loop

	mu        sync.Mutex // guards the fields below
	waiting   []chan struct{}
	granted   time.Time // when the current turn began
	scheduled bool      // a turn was granted and is not over, or the next one will be granted
}

// await waits for a turn. It does not wait if the loop has ended. The caller must call end when the turn is
// over.
func (t *readTurns) await() {
	grant := make(chan struct{})
	t.mu.Lock()
	t.waiting = append(t.waiting, grant)
	idle := !t.scheduled
	t.scheduled = true
	t.mu.Unlock()
	if idle {
		t.loop.AfterStep(t.grant)
	}
	select {
	case <-grant:
	case <-t.loop.Done():
	}
}

// grant grants a turn to the connection that has waited longest. It is called in the loop's goroutine.
func (t *readTurns) grant() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.scheduled = len(t.waiting) > 0; !t.scheduled {
		return
	}
	t.granted = time.Now()
	close(t.waiting[0])
	t.waiting = append([]chan struct{}(nil), t.waiting[1:]...)
}

// end ends the current turn. The next one is granted after a pause.
func (t *readTurns) end() {
	t.mu.Lock()
	pause := min(turnPauseFactor*time.Since(t.granted), maxTurnPause)
	t.mu.Unlock()
	time.AfterFunc(pause, func() { t.loop.AfterStep(t.grant) })
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
	waitedBefore, begun := t.waited, time.Now()
	t.end()
	t.turns.await()
	t.granted, t.waited = true, waitedBefore+time.Since(begun)
	return true
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
		t.turns.end()
	}
	*t = turn{turns: t.turns}
}
