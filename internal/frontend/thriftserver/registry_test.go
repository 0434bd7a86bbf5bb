package thriftserver

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
	"cresspass/internal/protocol/thrift"
)

var cfg = cresspass.Config{Classes: []cresspass.Class{{Name: "quick"},
	{Name: "load", Effect: cresspass.IdempotentWithKey}}}

var startOfTest = time.Unix(1e9, 0)

func ticket(n int) string { return fmt.Sprintf("%016x", n) }

// dispatchFrame returns a client's request as the Thrift codec of this repository writes it.
func dispatchFrame(seq int32, pairs ...string) []byte {
	call := thrift.Dispatch{Body: []byte("SELECT a FROM t_3.u")}
	for i := 0; i < len(pairs); i += 2 {
		call.Fields = append(call.Fields, thrift.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return call.Append(nil, seq)[thrift.FrameHeaderBytes:]
}

func cancelFrame(seq, target int32) []byte {
	return thrift.CancelRequest{TargetSeq: target}.Append(nil, seq)[thrift.FrameHeaderBytes:]
}

func aliveFrame(seq int32) []byte { return thrift.Alive{}.Append(nil, seq)[thrift.FrameHeaderBytes:] }

// registryModel simulates clients on a few connections, and checks the registry against the expected state.
type registryModel struct {
	t        *rapid.T
	registry *Registry
	now      time.Time
	open     map[cresspass.QueryID]ReplyTarget
	tickets  map[string]cresspass.QueryID // of the open requests
	conns    map[ConnID]*modelConn
}

// modelConn is the expected state of a connection.
type modelConn struct {
	alive, closing, midMessage bool
	unwritten                  int
}

func newRegistryModel(t *rapid.T) *registryModel {
	m := &registryModel{t: t, registry: New(&cfg), now: startOfTest, conns: map[ConnID]*modelConn{},
		open: map[cresspass.QueryID]ReplyTarget{}, tickets: map[string]cresspass.QueryID{}}
	for id := ConnID(1); id <= 3; id++ {
		m.conns[id] = &modelConn{}
	}
	return m
}

// step draws and carries out one action of a client, the frontend or the shutdown.
func (m *registryModel) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(m.t, "ms")) * time.Millisecond)
	id := ConnID(rapid.IntRange(1, 3).Draw(m.t, "conn"))
	switch rapid.IntRange(0, 12).Draw(m.t, "step") {
	case 0:
		if c := m.conns[id]; !c.alive {
			m.registry.AddConn(m.now, id)
			*c = modelConn{alive: true}
		}
	case 1, 2, 3, 4:
		m.message(id)
	case 5, 6:
		m.reply()
	case 7:
		if c := m.conns[id]; c.unwritten > 0 && c.alive {
			m.registry.RepliesWritten(m.now, id, c.unwritten)
			c.unwritten = 0
		}
	case 8:
		m.endConn(id)
	case 9:
		m.evict()
	case 10:
		m.beginMessage(id)
	case 11:
		m.readTimedOut(id)
	case 12:
		m.retire(id)
	}
	if m.registry.OpenRequests() != len(m.open) {
		m.t.Fatalf("%d open, want %d", m.registry.OpenRequests(), len(m.open))
	}
}

// frame draws a frame: a valid request, an invalid one, another method, or a malformed frame.
func (m *registryModel) frame() []byte {
	seq := int32(rapid.IntRange(1, 50).Draw(m.t, "seq"))
	txn := ticket(rapid.IntRange(1, 60).Draw(m.t, "txn"))
	target := int32(rapid.IntRange(1, 50).Draw(m.t, "target"))
	return rapid.SampledFrom([][]byte{
		dispatchFrame(seq, "verb", "quick", "limit", "100", "txn", txn),
		dispatchFrame(1, "verb", "load", "limit", "100", "txn", ticket(1)),
		dispatchFrame(2, "verb", "quick", "limit", "-1", "txn", ticket(2)),
		dispatchFrame(2, "verb", "quick", "limit", "NaN", "txn", ticket(2)),
		dispatchFrame(3, "verb", "none", "limit", "100", "txn", ticket(3)),
		dispatchFrame(4, "verb", "quick", "limit", "100", "txn", "x"),
		aliveFrame(9),
		cancelFrame(1, target),
		{0x80, 1, 0, 1, 0xff}, {},
	}).Draw(m.t, "frame")
}

// message has the registry handle a message on a connection.
func (m *registryModel) message(id ConnID) {
	c := m.conns[id]
	result := m.registry.HandleMessage(m.now, id, m.registry.Decode(m.frame()))
	c.midMessage = false
	switch {
	case (!c.alive || c.closing) && !result.EndOfInput:
		m.t.Fatal("a message on an unregistered or closing connection was accepted")
	case result.Accepted != nil:
		m.accepted(&result)
	case result.Cancelled != nil:
		m.ended(result.Cancelled, "cancelled")
	case result.Invalid && result.Reply == nil:
		m.t.Fatal("an invalid request has no reply")
	}
	if result.Reply != nil {
		c.unwritten++
	}
}

// accepted checks a request that was accepted, and records it as open.
func (m *registryModel) accepted(result *MessageResult) {
	req := result.Accepted
	target := ReplyTarget{req.Conn, req.Seq}
	onConn := 0
	for other, at := range m.open {
		if at.Conn == req.Conn {
			onConn++
		}
		if other == req.ID || at == target {
			m.t.Fatalf("%+v was accepted although request %d is open at %+v", req, other, at)
		}
	}
	if _, twice := m.tickets[req.Ticket]; twice || onConn >= MaxOpenRequests ||
		result.Event.Query != req.ID || !req.Deadline.After(m.now) ||
		result.Event.RemainingDeadline <= 0 || result.Reply != nil {
		m.t.Fatalf("%+v was accepted; its ticket was open: %v, %d open on its connection, event %+v",
			req, twice, onConn, result.Event)
	}
	m.open[req.ID], m.tickets[req.Ticket] = target, req.ID
}

// ended checks that a request which ends was open, and removes it from the open ones.
func (m *registryModel) ended(req *Request, how string) {
	if at, ok := m.open[req.ID]; !ok || at != (ReplyTarget{req.Conn, req.Seq}) {
		m.t.Fatalf("request %d of connection %+v was %s; open: %v, at %+v", req.ID, req.Conn, how, ok, at)
	}
	delete(m.open, req.ID)
	delete(m.tickets, req.Ticket)
}

// reply claims the reply to a request, which may or may not be open.
func (m *registryModel) reply() {
	id := cresspass.QueryID(rapid.IntRange(1, 40).Draw(m.t, "reply"))
	at, isOpen := m.open[id]
	target, ok := m.registry.ClaimReply(m.now, id)
	if ok != isOpen || ok && target != at {
		m.t.Fatalf("reply to %d: claimed: %v at %+v, open: %v at %+v", id, ok, target, isOpen, at)
	}
	if !ok {
		return
	}
	m.conns[target.Conn].unwritten++
	for ticket, other := range m.tickets {
		if other == id {
			delete(m.tickets, ticket)
		}
	}
	delete(m.open, id)
}

// endConn ends a connection as malformed or removes it, and checks that no further message is accepted on it.
func (m *registryModel) endConn(id ConnID) {
	c := m.conns[id]
	var orphaned []*Request
	if rapid.Bool().Draw(m.t, "malformed") {
		orphaned = m.registry.EndMalformed(id)
		c.unwritten += len(orphaned)
		c.closing = c.alive
	} else {
		orphaned = m.registry.RemoveConn(id)
		c.alive = false
	}
	for _, req := range orphaned {
		m.ended(req, "orphaned")
	}
	late := m.registry.Decode(dispatchFrame(70, "verb", "quick", "limit", "9", "txn", ticket(99)))
	if result := m.registry.HandleMessage(m.now, id, late); !result.EndOfInput {
		m.t.Fatalf("a message after the end was handled: %+v", result)
	}
}

// evict checks that the candidate for eviction is not in use.
func (m *registryModel) evict() {
	id, ok := m.registry.EvictionCandidate(m.now, 500*time.Millisecond)
	if !ok {
		return
	}
	for _, at := range m.open {
		if at.Conn == id {
			m.t.Fatalf("connection %d would be evicted, but request %+v is open on it", id, at)
		}
	}
	if c := m.conns[id]; !c.alive || c.unwritten > 0 {
		m.t.Fatalf("connection %d would be evicted, but %d replies are not written", id, c.unwritten)
	}
}

func (m *registryModel) beginMessage(id ConnID) {
	c := m.conns[id]
	if ok := m.registry.BeginMessage(m.now, id); ok != (c.alive && !c.closing) {
		m.t.Fatalf("BeginMessage returned %v; alive %v, closing %v", ok, c.alive, c.closing)
	} else if ok {
		c.midMessage = true
	}
}

func (m *registryModel) readTimedOut(id ConnID) {
	c := m.conns[id]
	wasUsed := m.used(id)
	orphaned, last := m.registry.ReadTimedOut(id)
	for _, req := range orphaned {
		m.ended(req, "overdue")
	}
	c.unwritten += len(orphaned)
	over := !c.alive || c.closing || c.midMessage || c.unwritten == 0 && !wasUsed
	if over != last {
		m.t.Fatalf("ReadTimedOut ends the connection: %v, want %v", last, over)
	}
	c.closing = c.alive && last
}

func (m *registryModel) retire(id ConnID) {
	c := m.conns[id]
	ok := m.registry.Retire(id)
	if want := c.alive && !c.closing && c.unwritten == 0 && !m.used(id); ok != want {
		m.t.Fatalf("Retire returned %v, want %v", ok, want)
	}
	c.closing = c.closing || ok
	for _, other := range m.registry.UnusedConns() {
		if c := m.conns[other]; c.closing || c.midMessage || c.unwritten > 0 || m.used(other) {
			m.t.Fatalf("connection %d is listed as unused", other)
		}
	}
}

// used reports whether a request is open on a connection.
func (m *registryModel) used(id ConnID) bool {
	for _, at := range m.open {
		if at.Conn == id {
			return true
		}
	}
	return false
}

// TestRequestEndsOnce checks that each accepted request ends exactly once, in any sequence of messages,
// cancels and broken connections: it is replied to on its connection, is cancelled, or ends with its
// connection. No two open requests share a ticket, or a sequence number on a connection, and no connection in
// use is evicted.
func TestRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRegistryModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step()
		}
	})
}

// TestHeaderOnlyMessages guards against a request that is accepted without its fields: where only the
// beginning of a frame was kept, a dispatch call is rejected, and any other call ends the input.
func TestHeaderOnlyMessages(t *testing.T) {
	const beginning = 40 // bytes, which hold the header
	r := New(&cfg)
	r.AddConn(startOfTest, 1)
	frame := dispatchFrame(7, "txn", ticket(1), "verb", "quick", "limit", "100")
	for name, handle := range map[string]func(time.Time, ConnID, Message) MessageResult{
		"HandleMessage": r.HandleMessage, "RejectRequest": r.RejectRequest,
	} {
		result := handle(startOfTest, 1, r.DecodeHeader(frame[:beginning]))
		want := thrift.DispatchException{Which: thrift.ShedException}.Append(nil, 7)
		if result.Accepted != nil || result.EndOfInput || !bytes.Equal(result.Reply, want) {
			t.Errorf("%s of a dispatch call: %+v, want a rejection", name, result)
		}
		for _, other := range [][]byte{aliveFrame(8), cancelFrame(8, 7), {1, 2, 3}} {
			result := handle(startOfTest, 1, r.DecodeHeader(other))
			if !result.EndOfInput || result.Reply != nil {
				t.Errorf("%s of %q: %+v, want the end of the input", name, other, result)
			}
		}
	}
	result := r.RejectRequest(startOfTest, 1, r.Decode(frame))
	if !result.Rejected || result.Ticket != ticket(1) {
		t.Errorf("a whole request without memory: %+v, want a rejection", result)
	}
	if n := r.OpenRequests(); n != 0 {
		t.Errorf("%d requests are open", n)
	}
}

// TestInvalidRequestIsShort guards against memory that grows with the ids of invalid requests, which are kept
// in the event log, and with the reasons, which repeat what is invalid.
func TestInvalidRequestIsShort(t *testing.T) {
	const longest = 256 // bytes of a reason: 40 bytes of the value, escaped, and words
	r := New(&cfg)
	r.AddConn(startOfTest, 1)
	long := strings.Repeat("\x00", 100_000)
	for _, name := range []string{"txn", "verb", "limit", "cpu", "heap_mb", "unique", "team", "item"} {
		pairs := []string{"txn", ticket(1), "verb", "quick", "limit", "100", name, long}
		result := r.HandleMessage(startOfTest, 1, r.Decode(dispatchFrame(1, pairs...)))
		if !result.Invalid || len(result.Ticket) > maxTicketBytes || len(result.Reason) > longest ||
			len(result.Reply) > 2*longest {
			t.Errorf("a long %s: invalid %v, an id of %d bytes, a reason of %d, a reply of %d", name,
				result.Invalid, len(result.Ticket), len(result.Reason), len(result.Reply))
		}
	}
}
