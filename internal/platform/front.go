package platform

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/thrift"
	"cresspass/internal/thriftfront"
)

const (
	frameMost   = 128 << 10              // bytes of a message
	speakWithin = 2 * time.Second        // from connecting to the first whole message
	frameWithin = 2 * time.Second        // from a message's first byte to its last
	idleMost    = 15 * time.Second       // between messages; clients close after 4 s
	writeWithin = 2 * time.Second        // until a client takes what was written
	outMost     = 4 << 20                // bytes that wait for a client that doesn't read
	readStep    = 8 << 10                // a message grows by this, so that a told length alone costs nothing
	readAhead   = 1 << 10                // bytes read at once: mostly a whole message
	acceptPause = 10 * time.Millisecond  // after an accept that failed
	lingerFor   = 200 * time.Millisecond // for a last answer to be taken before a connection is closed
)

// client is a connection of a client: the shell of what thriftfront.Book knows of it.
type client struct {
	f   *front
	id  thriftfront.ConnID
	net net.Conn
	raw syscall.RawConn
	in  *bufio.Reader

	mu       sync.Mutex
	out      []byte
	messages int // in out, or being written
	flushing bool
	ending   bool // closed once out is written
}

// front takes clients' connections.
type front struct {
	s      *service
	ln     net.Listener
	budget *budget

	mu    sync.Mutex
	book  *thriftfront.Book
	conns map[thriftfront.ConnID]*client
	last  thriftfront.ConnID
}

func newFront(s *service, ln net.Listener, b *budget) *front {
	return &front{s: s, ln: ln, budget: b, book: thriftfront.New(&s.cfg.Module),
		conns: map[thriftfront.ConnID]*client{}}
}

func (f *front) run() {
	for {
		c, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptor left, or the client has gone again
			f.crowded(muteFor)
			time.Sleep(acceptPause)
			continue
		}
		cl := &client{f: f, net: c, in: bufio.NewReaderSize(c, readAhead)}
		if sc, ok := c.(syscall.Conn); ok {
			cl.raw, _ = sc.SyscallConn()
		}
		if f.size() >= f.budget.usual && !f.crowded(muteFor) && f.budget.full(f.s.pool.size()) &&
			!f.crowded(pressing) {
			f.s.shut.Add(1)
			c.Close()
			continue
		}
		f.mu.Lock()
		f.last++
		cl.id = f.last
		f.conns[cl.id] = cl
		f.book.Connect(time.Now(), cl.id)
		f.budget.clients.Store(int32(f.book.Size()))
		f.mu.Unlock()
		go cl.read()
	}
}

// crowded closes a connection to make room. It reports whether there was one that could go.
func (f *front) crowded(mute time.Duration) bool {
	f.mu.Lock()
	id, ok := f.book.Victim(time.Now(), mute)
	c := f.conns[id]
	if ok {
		f.forget(id)
	}
	f.mu.Unlock()
	if !ok {
		return false
	}
	f.s.shut.Add(1)
	c.net.Close()
	return true
}

// forget takes a connection out of the books and returns what was open on it. f.mu is held.
func (f *front) forget(id thriftfront.ConnID) []*thriftfront.Request {
	delete(f.conns, id)
	open := f.book.Closed(id)
	f.budget.clients.Store(int32(f.book.Size()))
	return open
}

// closeIdle closes the connections on which nothing is open.
func (f *front) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.book.Unused() {
		f.conns[id].net.Close()
	}
}

// closeAll closes all connections.
func (f *front) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.net.Close()
	}
}

func (f *front) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Size()
}

// open returns how many requests have no answer yet.
func (f *front) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Open()
}

// get returns a request that has no answer yet; nil: there is none of that id.
func (f *front) get(id cresspass.QueryID) *thriftfront.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Get(id)
}

// read takes the client's messages until its connection ends.
func (c *client) read() {
	defer c.over()
	var head [thrift.FrameHeader]byte
	var frame []byte
	c.net.SetReadDeadline(time.Now().Add(speakWithin))
	for first := true; ; first = false {
		if _, err := io.ReadFull(c.in, head[:1]); err != nil {
			return
		}
		if !first {
			c.net.SetReadDeadline(time.Now().Add(frameWithin))
		}
		if _, err := io.ReadFull(c.in, head[1:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n == 0 || n > frameMost {
			c.garbage()
			return
		}
		if cap(frame) > 2*readStep && n <= readStep {
			frame = nil
		}
		frame = frame[:0]
		for left := int(n); left > 0; {
			step := min(left, readStep)
			at := len(frame)
			frame = append(frame, make([]byte, step)...)
			if _, err := io.ReadFull(c.in, frame[at:]); err != nil {
				return
			}
			left -= step
		}
		if !c.take(frame) {
			c.garbage()
			return
		}
		c.net.SetReadDeadline(time.Now().Add(idleMost))
	}
}

// take handles a message. It returns false where the connection can't be read any further.
func (c *client) take(frame []byte) bool {
	s, m := c.f.s, c.f.book.Read(frame)
	c.f.mu.Lock()
	v := c.f.book.Message(time.Now(), c.id, m)
	if v.Taken != nil { // posted under the lock: what its client takes back at once must come after it
		s.loop.Post(v.Event)
	}
	c.f.mu.Unlock()
	if v.Bad {
		s.unread.Add(1)
	}
	if v.Say != nil {
		c.send(v.Say, 1)
	}
	if v.Back != nil {
		s.gone(v.Back)
	}
	return !v.End
}

// send writes so many messages without waiting for the client.
func (c *client) send(b []byte, messages int) {
	c.mu.Lock()
	c.messages += messages
	if len(c.out)+len(b) > outMost {
		c.ending = true
		c.net.Close()
		c.mu.Unlock()
		return
	}
	if !c.flushing && len(c.out) == 0 && c.raw != nil {
		// Danger: a writer's goroutine waits for the core behind all others, and answers come too late when
		// it is full. What the socket takes at once is written here.
		c.raw.Write(func(fd uintptr) bool {
			if n, err := syscall.Write(int(fd), b); err == nil && n > 0 {
				b = b[n:]
			}
			return true
		})
	}
	c.out = append(c.out, b...)
	written := 0
	switch {
	case c.flushing:
	case len(c.out) > 0:
		c.flushing = true
		go c.flush()
	default:
		written, c.messages = c.messages, 0
	}
	c.mu.Unlock()
	c.written(written)
}

// written tells the book of messages that have left.
func (c *client) written(n int) {
	if n > 0 {
		c.f.mu.Lock()
		c.f.book.Written(time.Now(), c.id, n)
		c.f.mu.Unlock()
	}
}

func (c *client) flush() {
	for {
		c.mu.Lock()
		b := c.out
		c.out = nil
		if len(b) == 0 {
			c.flushing = false
			ending, n := c.ending, c.messages
			c.messages = 0
			c.net.SetWriteDeadline(time.Time{})
			c.mu.Unlock()
			c.written(n)
			if ending {
				c.net.Close()
			}
			return
		}
		c.mu.Unlock()
		c.net.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := c.net.Write(b); err != nil {
			c.net.Close()
		}
	}
}

// garbage ends a connection whose bytes can't be read: what is open on it is answered first.
func (c *client) garbage() {
	c.f.s.unread.Add(1)
	c.f.mu.Lock()
	open := c.f.book.Spoilt(c.id)
	c.f.mu.Unlock()
	var b []byte
	for _, q := range open {
		b = append(b, thriftfront.Fault(q.Seq, "the connection can't be read")...)
		c.f.s.gone(q)
	}
	if len(open) > 0 {
		c.send(b, len(open))
	}
	time.Sleep(acceptPause) // for the last answer to leave
}

// over ends what is open on a connection that ended.
func (c *client) over() {
	c.f.mu.Lock()
	open := c.f.forget(c.id)
	c.f.mu.Unlock()
	c.mu.Lock()
	c.ending = true
	flushing := c.flushing
	c.mu.Unlock()
	if !flushing {
		c.net.Close()
	} else {
		time.AfterFunc(lingerFor, func() { c.net.Close() })
	}
	for _, q := range open {
		c.f.s.gone(q)
	}
}

// answer writes a request's one answer. It returns false where the request has ended already.
func (f *front) answer(id cresspass.QueryID, message func(seq int32) []byte) bool {
	f.mu.Lock()
	to, ok := f.book.Answer(time.Now(), id)
	c := f.conns[to.Conn]
	f.mu.Unlock()
	if ok {
		c.send(message(to.Seq), 1)
	}
	return ok
}

// serve gives a request its result.
func (f *front) serve(id cresspass.QueryID, pages [][]byte) bool {
	return f.answer(id, func(seq int32) []byte {
		return thrift.AppendAnswer(nil, "dispatch", seq, true, pages...)
	})
}

// raise ends a request without a result; later is the come-back time of a refusal, 0: none.
func (f *front) raise(id cresspass.QueryID, which uint16, later time.Duration) {
	f.answer(id, func(seq int32) []byte {
		var fields [][2]string
		if later > 0 {
			fields = append(fields, [2]string{"later", strconv.FormatInt(later.Milliseconds(), 10)})
		}
		return thrift.AppendRaised(nil, "dispatch", seq, which, fields...)
	})
}
