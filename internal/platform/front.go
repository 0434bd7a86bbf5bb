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
)

const (
	frameMost   = 128 << 10              // bytes of a message
	speakWithin = 2 * time.Second        // from connecting to the first whole message
	frameWithin = 2 * time.Second        // from a message's first byte to its last
	idleMost    = 15 * time.Second       // between messages; clients close after 4 s
	writeWithin = 2 * time.Second        // until a client takes what was written
	openMost    = 32                     // requests open on a connection (PROTOCOL)
	outMost     = 4 << 20                // bytes that wait for a client that doesn't read
	readStep    = 8 << 10                // a message grows by this, so that a told length alone costs nothing
	readAhead   = 1 << 10                // bytes read at once: mostly a whole message
	acceptPause = 10 * time.Millisecond  // after an accept that failed
	lingerFor   = 200 * time.Millisecond // for a last answer to be taken before a connection is closed
)

// ask is a client's request.
type ask struct {
	terms
	id    cresspass.QueryID
	seq   int32
	c     *client
	until time.Time
}

// client is a connection of a client.
type client struct {
	f   *front
	net net.Conn
	raw syscall.RawConn
	in  *bufio.Reader

	mu       sync.Mutex
	open     map[int32]*ask
	out      []byte
	flushing bool
	ending   bool // closed once out is written
	spoke    bool // a whole message came
	last     time.Time
}

// front takes clients' connections.
type front struct {
	s      *service
	ln     net.Listener
	budget *budget

	mu    sync.Mutex
	conns map[*client]struct{}
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
		cl := &client{f: f, net: c, in: bufio.NewReaderSize(c, readAhead), open: map[int32]*ask{},
			last: time.Now()}
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
		f.conns[cl] = struct{}{}
		f.budget.clients.Store(int32(len(f.conns)))
		f.mu.Unlock()
		go cl.read()
	}
}

// crowded closes a connection to make room. It reports whether there was one that could go.
func (f *front) crowded(muteFor time.Duration) bool {
	now := time.Now()
	f.mu.Lock()
	conns, states := make([]*client, 0, len(f.conns)), make([]seen, 0, len(f.conns))
	for c := range f.conns {
		c.mu.Lock()
		conns = append(conns, c)
		states = append(states, seen{c.busy() || c.ending, c.spoke, now.Sub(c.last)})
		c.mu.Unlock()
	}
	i := victim(states, muteFor)
	if i >= 0 {
		f.forget(conns[i])
	}
	f.mu.Unlock()
	if i < 0 {
		return false
	}
	f.s.shut.Add(1)
	conns[i].net.Close()
	return true
}

// forget takes a connection out of the books.
func (f *front) forget(c *client) {
	delete(f.conns, c)
	f.budget.clients.Store(int32(len(f.conns)))
}

// busy reports whether a request is open, or an answer on its way. Danger: what the flushing goroutine has
// taken to write stands in out no more.
func (c *client) busy() bool { return len(c.open) > 0 || c.flushing }

// closeIdle closes the connections on which nothing is open.
func (f *front) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		if !c.busy() {
			c.net.Close()
		}
		c.mu.Unlock()
	}
}

// closeAll closes all connections.
func (f *front) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.net.Close()
	}
}

func (f *front) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
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
	q, err := thrift.ParseRequest(frame)
	c.mu.Lock()
	c.spoke, c.last = true, time.Now()
	ending := c.ending
	c.mu.Unlock()
	switch {
	case err != nil && q.Name == "", ending:
		return false
	case err != nil:
		c.send(thrift.AppendException(nil, q.Name, q.Seq, 7, err.Error()))
		return false
	case q.Type != thrift.Call && q.Type != thrift.Oneway:
		return false
	}
	switch q.Name {
	case "dispatch":
		c.dispatch(&q)
	case "cancelRequest":
		c.takeBack(q.Number)
	case "alive":
		c.send(thrift.AppendAnswer(nil, q.Name, q.Seq, c.f.s.ready()))
	default:
		c.send(thrift.AppendException(nil, q.Name, q.Seq, 1, "unknown method"))
	}
	return true
}

// appendFault adds the answer to a request that is itself at fault.
func appendFault(b []byte, seq int32, reason string) []byte {
	return thrift.AppendRaised(b, "dispatch", seq, thrift.Fault, [2]string{"reason", reason})
}

// dispatch takes a request, or says why it can't be taken.
func (c *client) dispatch(r *thrift.Request) {
	if err := c.admit(r); err != nil {
		c.f.s.unread.Add(1)
		c.send(appendFault(nil, r.Seq, err.Error()))
	}
}

func (c *client) admit(r *thrift.Request) error {
	s := c.f.s
	ev, t, err := s.reader.read(r)
	if err != nil {
		return err
	}
	q := &ask{terms: t, seq: r.Seq, c: c, until: time.Now().Add(ev.TimeLeft)}
	q.body = append([]byte(nil), t.body...)
	c.mu.Lock()
	switch {
	case c.open[r.Seq] != nil:
		err = errors.New("this number is open already")
	case len(c.open) >= openMost:
		err = errors.New("too many requests open on this connection")
	case !s.admit(q):
		err = errors.New("txn is open already")
	default:
		c.open[r.Seq] = q
	}
	c.mu.Unlock()
	if err != nil {
		return err
	}
	ev.Query = q.id
	s.loop.Post(ev)
	return nil
}

// claim takes the right to answer a request: it has one answer at most.
func (c *client) claim(q *ask) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[q.seq] != q {
		return false
	}
	delete(c.open, q.seq)
	return true
}

// takeAll takes the right to answer all that is open.
func (c *client) takeAll() (open []*ask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.open {
		open = append(open, q)
	}
	clear(c.open)
	return open
}

// takeBack ends a request for which its client waits no longer.
func (c *client) takeBack(seq int32) {
	c.mu.Lock()
	q := c.open[seq]
	delete(c.open, seq)
	c.mu.Unlock()
	if q != nil {
		c.f.s.gone(q)
	}
}

// send writes without waiting for the client.
func (c *client) send(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out)+len(b) > outMost {
		c.ending = true
		c.net.Close()
		return
	}
	c.last = time.Now()
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
	if !c.flushing && len(c.out) > 0 {
		c.flushing = true
		go c.flush()
	}
}

func (c *client) flush() {
	for {
		c.mu.Lock()
		b := c.out
		c.out = nil
		if len(b) == 0 {
			c.flushing = false
			ending := c.ending
			c.net.SetWriteDeadline(time.Time{})
			c.mu.Unlock()
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
	var b []byte
	for _, q := range c.takeAll() {
		b = appendFault(b, q.seq, "the connection can't be read")
		c.f.s.gone(q)
	}
	if len(b) > 0 {
		c.send(b)
	}
	time.Sleep(acceptPause) // for the last answer to leave
}

// over ends what is open on a connection that ended.
func (c *client) over() {
	c.f.mu.Lock()
	c.f.forget(c)
	c.f.mu.Unlock()
	open := c.takeAll()
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

// serve gives a request its result. It returns false where the request has ended already.
func (q *ask) serve(pages [][]byte) bool {
	if !q.c.claim(q) {
		return false
	}
	q.c.send(thrift.AppendAnswer(nil, "dispatch", q.seq, true, pages...))
	q.c.f.s.closed(q)
	return true
}

// raise ends a request without a result; later is the come-back time of a refusal, 0: none.
func (q *ask) raise(which uint16, later time.Duration) {
	if !q.c.claim(q) {
		return
	}
	var fields [][2]string
	if later > 0 {
		fields = append(fields, [2]string{"later", strconv.FormatInt(later.Milliseconds(), 10)})
	}
	q.c.send(thrift.AppendRaised(nil, "dispatch", q.seq, which, fields...))
	q.c.f.s.closed(q)
}
