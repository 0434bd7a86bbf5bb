package platform

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// setTimeouts has connections to come be given up after so much silence, or where nothing was taken for so
// long.
func (r *harness) setTimeouts(idle, stall time.Duration) {
	r.frontend.mu.Lock()
	defer r.frontend.mu.Unlock()
	r.frontend.idleTimeout, r.frontend.writeTimeout = idle, stall
}

// sendHeld asks for a query that runs until the rig ends, and waits until its compute node has it.
func (r *harness) sendHeld(a *testClient, n int) int32 {
	r.t.Helper()
	r.node.keepRunning(0, ticket(n))
	seq := a.send(requestFields(ticket(n), "quick", "60000"))
	eventually(r.t, "the query is sent", func() bool { return r.node.callCount("POST "+ticket(n)) == 1 })
	return seq
}

// TestOpenRequestOutlivesIdleTimeout: a client that waits for an answer says nothing, for longer than a
// silent connection is kept; one with nothing open is closed.
func TestOpenRequestOutlivesIdleTimeout(t *testing.T) {
	r := newHarness(t, 256)
	r.setTimeouts(50*time.Millisecond, clientWriteTimeout)
	silent, a := r.dial(), r.dial()
	silent.mustServe(1, 1)
	seq := r.sendHeld(a, 2)
	if h := silent.receive(); h.kind != "closed" {
		t.Fatalf("a silent connection: %+v", h)
	}
	time.Sleep(300 * time.Millisecond) // many times what a silent one has
	r.node.setHandler(nil)
	if h := a.receive(); h.kind != "answer" || h.seq != seq {
		t.Errorf("the request that was open: %+v", h)
	}
}

// TestRequestRacesClose: a request that is there, unread, when unused connections are
// closed is taken and answered; one that comes after is not sent on, and its client sees an orderly end.
func TestRequestRacesClose(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	a.mustServe(1, 1)
	eventually(t, "the connection is unused", func() bool { return len(r.unusedConns()) == 1 })
	r.frontend.mu.Lock() // its reader can't tell the state of what comes
	seq := a.send(requestFields(ticket(2), "quick", "2000"))
	for c := r.onlyConn(); !c.hasUnread(); {
		time.Sleep(time.Millisecond)
	}
	r.frontend.retireUnusedLocked()
	victim := r.frontend.evictLocked(0)
	r.frontend.mu.Unlock()
	if victim {
		t.Error("it made room for another")
	}
	if h := a.receive(); h.kind != "answer" || h.seq != seq {
		t.Fatalf("the request that was there: %+v", h)
	}
	eventually(t, "the connection is unused", func() bool { return len(r.unusedConns()) == 1 })
	r.frontend.retireUnused()
	a.send(requestFields(ticket(3), "quick", "2000"))
	if h := a.receive(); h.kind != "closed" {
		t.Errorf("a request after the end: %+v", h)
	}
	eventually(t, "the connection is closed", func() bool { return r.frontend.connCount() == 0 })
	if n := r.node.callCount("POST"); n != 2 {
		t.Errorf("%d queries were sent on, want 2", n)
	}
}

func (r *harness) unusedConns() []*clientConn {
	r.frontend.mu.Lock()
	defer r.frontend.mu.Unlock()
	var list []*clientConn
	for _, id := range r.frontend.state.UnusedConns() {
		list = append(list, r.frontend.conns[id])
	}
	return list
}

// onlyConn returns the one connection; front.mu is held.
func (r *harness) onlyConn() *clientConn {
	for _, c := range r.frontend.conns {
		return c
	}
	r.t.Fatal("no connection")
	return nil
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
			r := newHarness(t, 256)
			a := r.dial()
			seq := r.sendHeld(a, 1)
			a.conn.Write(c.first)
			go a.conn.Write(c.then)
			if h := a.receive(); h.kind != "fault" || h.seq != seq {
				t.Errorf("what was open: %+v", h)
			}
			if h := a.receive(); h.kind != "closed" {
				t.Errorf("after it: %+v", h)
			}
			eventually(
				t,
				"the query is given up",
				func() bool { return r.node.callCount("DELETE "+ticket(1)) > 0 },
			)
		})
	}
}

// TestBacklogServedAtShutdown: connections that the machine accepted, and the dispatcher not yet, are served
// after the last call.
func TestBacklogServedAtShutdown(t *testing.T) {
	r := newHarness(t, 256)
	r.frontend.mu.Lock() // the front takes one connection, and stops there
	var list []*testClient
	for i := range 5 {
		a := r.dial()
		a.send(requestFields(ticket(i+1), "quick", "2000"))
		list = append(list, a)
	}
	r.frontend.drainBacklog()
	r.frontend.mu.Unlock()
	for i, a := range list {
		if h := a.receive(); h.kind != "answer" {
			t.Errorf("connection %d: %+v", i, h)
		}
	}
	eventually(t, "the listener is closed", r.listenerClosed(t))
}

// listenerClosed tells whether the listener is closed.
func (r *harness) listenerClosed(t *testing.T) func() bool {
	raw, err := r.frontend.listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return func() bool { return raw.Control(func(uintptr) {}) != nil }
}

// serveLargeResults has all queries answered with eight pages, and connections that come hold little of that
// in the sockets. It returns how many bytes of rows a result has.
func (r *harness) serveLargeResults() int {
	rows := strings.Repeat(row(ticket(1), 0), 5900/len(row(ticket(1), 0)))
	r.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, _ string) bool {
		page, found := strings.CutPrefix(call, "GET ")
		switch {
		case call == "DELETE":
			return false
		case found && page != "0":
			w.Header().Set("Page-No", page)
		default:
			w.Header().Set("Page-Count", "8")
		}
		io.WriteString(w, rows)
		return true
	})
	return 8 * len(rows)
}

// dialSmallBuffers has a client's connection hold little at either end; it is the only one that waits for
// that.
func (r *harness) dialSmallBuffers() *testClient {
	was := r.frontend.connCount()
	a := r.dial()
	a.conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	eventually(r.t, "it is there", func() bool { return r.frontend.connCount() == was+1 })
	r.frontend.mu.Lock()
	defer r.frontend.mu.Unlock()
	for _, c := range r.frontend.conns {
		c.conn.SetWriteBuffer(32 << 10)
	}
	return a
}

// TestSlowReader: a client that takes its answers slowly gets all of them, however long that is, and one that
// takes nothing is cut off.
func TestSlowReader(t *testing.T) {
	r := newHarness(t, 256)
	const stall, asks = 250 * time.Millisecond, 20
	r.setTimeouts(clientIdleTimeout, stall)
	size := asks * r.serveLargeResults()
	a, mute := r.dialSmallBuffers(), r.dialSmallBuffers()
	for i := range asks {
		a.send(requestFields(ticket(i+1), "quick", "60000"))
		mute.send(requestFields(ticket(i+1001), "quick", "60000"))
	}
	slow := make([]byte, 24<<10)
	begun := time.Now()
	for got := 0; got < size; {
		n, err := a.conn.Read(slow)
		if err != nil {
			t.Fatalf("after %d bytes: %v", got, err)
		}
		got += n
		time.Sleep(time.Duration(n) * 2 * stall / time.Duration(size)) // some two stalls in all
	}
	if took := time.Since(begun); took < 2*stall*9/10 {
		t.Errorf("all were read in %v: too fast to show anything", took)
	}
	eventually(t, "who takes nothing is cut off", func() bool { return r.frontend.connCount() == 1 })
}

// TestPendingAnswersWrittenAtShutdown: answers that wait for their client when SIGTERM comes are written
// before the dispatcher ends.
func TestPendingAnswersWrittenAtShutdown(t *testing.T) {
	r := newHarness(t, 256)
	const asks = 20
	size := r.serveLargeResults()
	a := r.dialSmallBuffers()
	for i := range asks {
		a.send(requestFields(ticket(i+1), "quick", "60000"))
	}
	eventually(t, "all are answered", func() bool { return r.stats().Served == asks })
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- r.run(signals) }()
	signals <- syscall.SIGTERM
	eventually(t, "the listener is closed", r.listenerClosed(t))
	for i := range asks {
		if h := a.receive(); h.kind != "answer" || len(h.text) < size {
			t.Fatalf("answer %d: %s of %d bytes", i, h.kind, len(h.text))
		}
	}
	if h := a.receive(); h.kind != "closed" {
		t.Errorf("after the last: %+v", h)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestPipelinedRequests: requests that come in one segment, and in single bytes, are all read.
func TestPipelinedRequests(t *testing.T) {
	r := newHarness(t, 256)
	a := r.dial()
	var b []byte
	const asks = 20
	for i := range asks {
		b = thrift.AppendDispatch(
			b,
			int32(i+1),
			requestFields(ticket(i+1), "quick", "5000"),
			[]byte("SELECT 1"),
		)
	}
	a.conn.Write(b[:len(b)-7])
	for _, c := range b[len(b)-7:] {
		a.conn.Write([]byte{c})
	}
	seen := map[int32]bool{}
	for range asks {
		h := a.receive()
		if h.kind != "answer" || seen[h.seq] {
			t.Fatalf("%+v, heard before: %v", h, seen)
		}
		seen[h.seq] = true
	}
}
