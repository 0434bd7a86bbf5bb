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

// hasty has connections to come be given up after so much silence, or where nothing was taken for so long.
func (r *rig) hasty(idle, stall time.Duration) {
	r.front.mu.Lock()
	defer r.front.mu.Unlock()
	r.front.idle, r.front.stall = idle, stall
}

// held asks for a query that runs until the rig ends, and waits until its compute node has it.
func (r *rig) held(a *asker, n int) int32 {
	r.t.Helper()
	r.node.withhold(0, ticket(n))
	seq := a.ask(fields(ticket(n), "quick", "60000"))
	within(r.t, "the query is sent", func() bool { return r.node.count("POST "+ticket(n)) == 1 })
	return seq
}

// TestOpenRequestOutlivesSilence: a client that waits for an answer says nothing, for longer than a silent
// connection is kept; one with nothing open is closed.
func TestOpenRequestOutlivesSilence(t *testing.T) {
	r := newRig(t, 256)
	r.hasty(50*time.Millisecond, writeWithin)
	silent, a := r.dial(), r.dial()
	silent.served(1, 1)
	seq := r.held(a, 2)
	if h := silent.hear(); h.kind != "closed" {
		t.Fatalf("a silent connection: %+v", h)
	}
	time.Sleep(300 * time.Millisecond) // many times what a silent one has
	r.node.set(nil)
	if h := a.hear(); h.kind != "answer" || h.seq != seq {
		t.Errorf("the request that was open: %+v", h)
	}
}

// TestRequestComesAsItsConnectionIsClosed: a request that is there, unread, when unused connections are
// closed is taken and answered; one that comes after is not sent on, and its client sees an orderly end.
func TestRequestComesAsItsConnectionIsClosed(t *testing.T) {
	r := newRig(t, 256)
	a := r.dial()
	a.served(1, 1)
	within(t, "the connection is unused", func() bool { return len(r.unused()) == 1 })
	r.front.mu.Lock() // its reader can't tell the state of what comes
	seq := a.ask(fields(ticket(2), "quick", "2000"))
	for c := r.only(); !c.unread(); {
		time.Sleep(time.Millisecond)
	}
	r.front.closeUnused()
	victim := r.front.makeRoom(0)
	r.front.mu.Unlock()
	if victim {
		t.Error("it made room for another")
	}
	if h := a.hear(); h.kind != "answer" || h.seq != seq {
		t.Fatalf("the request that was there: %+v", h)
	}
	within(t, "the connection is unused", func() bool { return len(r.unused()) == 1 })
	r.front.closeIdle()
	a.ask(fields(ticket(3), "quick", "2000"))
	if h := a.hear(); h.kind != "closed" {
		t.Errorf("a request after the end: %+v", h)
	}
	within(t, "the connection is closed", func() bool { return r.front.size() == 0 })
	if n := r.node.count("POST"); n != 2 {
		t.Errorf("%d queries were sent on, want 2", n)
	}
}

func (r *rig) unused() []*client {
	r.front.mu.Lock()
	defer r.front.mu.Unlock()
	var list []*client
	for _, id := range r.front.state.Unused() {
		list = append(list, r.front.conns[id])
	}
	return list
}

// only returns the one connection; front.mu is held.
func (r *rig) only() *client {
	for _, c := range r.front.conns {
		return c
	}
	r.t.Fatal("no connection")
	return nil
}

// TestLastAnswersArrive: where a connection can't be read any further, what was open on it is answered, and
// the answers are not lost by a reset over bytes that nobody read; the same where a message stops half-way.
func TestLastAnswersArrive(t *testing.T) {
	for name, c := range map[string]struct{ first, then []byte }{
		"no length": {[]byte{0xff, 0xff, 0xff, 0xf0}, bytes.Repeat([]byte{1}, 1<<20)},
		"no message": {append(binary.BigEndian.AppendUint32(nil, 4), 1, 2, 3, 4),
			bytes.Repeat([]byte{2}, 1<<20)},
		"half a message": {[]byte{0, 0, 1, 0, 0x80}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 256)
			a := r.dial()
			seq := r.held(a, 1)
			a.net.Write(c.first)
			go a.net.Write(c.then)
			if h := a.hear(); h.kind != "fault" || h.seq != seq {
				t.Errorf("what was open: %+v", h)
			}
			if h := a.hear(); h.kind != "closed" {
				t.Errorf("after it: %+v", h)
			}
			within(t, "the query is given up", func() bool { return r.node.count("DELETE "+ticket(1)) > 0 })
		})
	}
}

// TestBacklogAtLastCall: connections that the machine accepted, and the dispatcher not yet, are served after
// the last call.
func TestBacklogAtLastCall(t *testing.T) {
	r := newRig(t, 256)
	r.front.mu.Lock() // the front takes one connection, and stops there
	var list []*asker
	for i := range 5 {
		a := r.dial()
		a.ask(fields(ticket(i+1), "quick", "2000"))
		list = append(list, a)
	}
	r.front.lastCall()
	r.front.mu.Unlock()
	for i, a := range list {
		if h := a.hear(); h.kind != "answer" {
			t.Errorf("connection %d: %+v", i, h)
		}
	}
	within(t, "the listener is closed", r.deaf(t))
}

// deaf tells whether the listener is closed.
func (r *rig) deaf(t *testing.T) func() bool {
	raw, err := r.front.ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return func() bool { return raw.Control(func(uintptr) {}) != nil }
}

// bulky has all queries answered with eight pages, and connections that come hold little of that in the
// sockets. It returns how many bytes of rows a result has.
func (r *rig) bulky() int {
	rows := strings.Repeat(row(ticket(1), 0), 5900/len(row(ticket(1), 0)))
	r.node.set(func(w http.ResponseWriter, _ *http.Request, call, _ string) bool {
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

// narrow has a client's connection hold little at either end; it is the only one that waits for that.
func (r *rig) narrow() *asker {
	was := r.front.size()
	a := r.dial()
	a.net.(*net.TCPConn).SetReadBuffer(32 << 10)
	within(r.t, "it is there", func() bool { return r.front.size() == was+1 })
	r.front.mu.Lock()
	defer r.front.mu.Unlock()
	for _, c := range r.front.conns {
		c.net.SetWriteBuffer(32 << 10)
	}
	return a
}

// TestSlowReader: a client that takes its answers slowly gets all of them, however long that is, and one that
// takes nothing is cut off.
func TestSlowReader(t *testing.T) {
	r := newRig(t, 256)
	const stall, asks = 250 * time.Millisecond, 20
	r.hasty(idleMost, stall)
	size := asks * r.bulky()
	a, mute := r.narrow(), r.narrow()
	for i := range asks {
		a.ask(fields(ticket(i+1), "quick", "60000"))
		mute.ask(fields(ticket(i+1001), "quick", "60000"))
	}
	slow := make([]byte, 24<<10)
	begun := time.Now()
	for got := 0; got < size; {
		n, err := a.net.Read(slow)
		if err != nil {
			t.Fatalf("after %d bytes: %v", got, err)
		}
		got += n
		time.Sleep(time.Duration(n) * 2 * stall / time.Duration(size)) // some two stalls in all
	}
	if took := time.Since(begun); took < 2*stall*9/10 {
		t.Errorf("all were read in %v: too fast to show anything", took)
	}
	within(t, "who takes nothing is cut off", func() bool { return r.front.size() == 1 })
}

// TestAnswersUnwrittenAtTheEnd: answers that wait for their client when SIGTERM comes are written before the
// dispatcher ends.
func TestAnswersUnwrittenAtTheEnd(t *testing.T) {
	r := newRig(t, 256)
	const asks = 20
	size := r.bulky()
	a := r.narrow()
	for i := range asks {
		a.ask(fields(ticket(i+1), "quick", "60000"))
	}
	within(t, "all are answered", func() bool { return r.stats().Served == asks })
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- r.live(signals) }()
	signals <- syscall.SIGTERM
	within(t, "the listener is closed", r.deaf(t))
	for i := range asks {
		if h := a.hear(); h.kind != "answer" || len(h.text) < size {
			t.Fatalf("answer %d: %s of %d bytes", i, h.kind, len(h.text))
		}
	}
	if h := a.hear(); h.kind != "closed" {
		t.Errorf("after the last: %+v", h)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestPipelined: requests that come in one segment, and in single bytes, are all read.
func TestPipelined(t *testing.T) {
	r := newRig(t, 256)
	a := r.dial()
	var b []byte
	const asks = 20
	for i := range asks {
		b = thrift.AppendDispatch(b, int32(i+1), fields(ticket(i+1), "quick", "5000"), []byte("SELECT 1"))
	}
	a.net.Write(b[:len(b)-7])
	for _, c := range b[len(b)-7:] {
		a.net.Write([]byte{c})
	}
	seen := map[int32]bool{}
	for range asks {
		h := a.hear()
		if h.kind != "answer" || seen[h.seq] {
			t.Fatalf("%+v, heard before: %v", h, seen)
		}
		seen[h.seq] = true
	}
}
