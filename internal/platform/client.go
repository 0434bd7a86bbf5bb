package platform

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/thrift"
)

// Of a client's connection.
const (
	frameMost   = 128 << 10              // bytes of a message
	speakWithin = 2 * time.Second        // from connecting to the first whole message
	frameWithin = 2 * time.Second        // from a message's first byte to its last
	idleMost    = 15 * time.Second       // between messages; clients close after 4 s
	writeWithin = 2 * time.Second        // until a client takes some more of what is written
	writeStep   = 16 << 10               // bytes that are some more
	outMost     = 4 << 20                // bytes that wait for a client that doesn't read
	readStep    = 8 << 10                // a message grows by this, so that a told length alone costs nothing
	readAhead   = 1 << 10                // bytes read at once: mostly a whole message
	lingerFor   = 200 * time.Millisecond // for a client to close a connection that was shut for writing
	lookAgain   = time.Millisecond       // after a look at a socket that failed and tells nothing
	readerMost  = 20 * time.Millisecond  // for a reader to come to what lies in its socket
)

// closeReason says why we close a client's connection.
type closeReason string

// The reasons.
const (
	closedRoom     closeReason = "room for another"
	closedFull     closeReason = "no room"
	closedUnused   closeReason = "shutdown, unused"
	closedEnd      closeReason = "shutdown, last answers given"
	closedIdle     closeReason = "silent for too long"
	closedHalf     closeReason = "half a message for too long"
	closedSpoilt   closeReason = "can't be read"
	closedNoReader closeReason = "takes no answers"
	closedByClient closeReason = "closed by the client"
)

// outsideLife is the reason of a request that came before the start or after the end.
const outsideLife cresspass.Reason = "the dispatcher does not serve"

// client is a connection of a client: the shell of what thriftfront.State knows of it.
type client struct {
	f     *front
	id    thriftserver.ConnID
	idle  time.Duration // between messages
	stall time.Duration // until some more of what is written is taken
	late  time.Duration // what is read now may have come so long ago; the reader's alone
	empty time.Duration // nothing was there to be read then; the reader's alone
	net   *net.TCPConn
	raw   syscall.RawConn
	in    *bufio.Reader

	mu       sync.Mutex
	out      []byte
	messages int // in out, or being written
	flushing bool
	ending   bool // shut for writing once out is written; what comes is thrown away
}

// read takes the client's messages until its connection ends. It alone closes the connection, but for one
// that makes room.
func (c *client) read() {
	defer c.over()
	var frame []byte
	c.patience(speakWithin)
	for first := true; ; first = false {
		if err := c.await(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				if !c.overdue() {
					c.patience(c.idle)
					continue
				}
				c.drain()
			}
			return
		}
		if !c.begin() {
			c.drain()
			return
		}
		if !first {
			c.patience(frameWithin)
		}
		var err error
		if frame, err = c.frame(frame); err == nil && !c.take(frame) {
			err = errFrame
		}
		switch {
		case err == nil:
			c.patience(c.idle)
			continue
		case errors.Is(err, errFrame):
			c.f.s.unread.Add(1)
			c.spoilt("the connection can't be read", closedSpoilt)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.overdue()
		default: // its client has gone
			return
		}
		c.drain()
		return
	}
}

var errFrame = errors.New("no message")

// frame reads a message into a buffer, or into another one.
func (c *client) frame(frame []byte) ([]byte, error) {
	var head [thrift.FrameHeader]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return frame, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > frameMost {
		return frame, errFrame
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
			return frame, err
		}
		left -= step
	}
	return frame, nil
}

// await waits until something is there to be read, and leaves it there. Danger: bytes that were read out of
// the socket before the state knows of them would be lost with a connection that is closed as unused.
func (c *client) await() error {
	if c.in.Buffered() > 0 {
		return nil
	}
	for {
		var n int
		var got error
		err := c.raw.Read(func(fd uintptr) bool {
			n, got = c.f.s.system.peek(fd)
			if got == syscall.EAGAIN {
				c.late, c.empty = 0, c.f.s.clock()
			}
			return got != syscall.EAGAIN
		})
		switch {
		case err != nil:
			return err
		case oserr.Transient(got) && !mutated(brittleLook):
			// Danger: it tells nothing. Waiting for the poller instead, which tells only of what is new,
			// would leave what is there unread for good.
			time.Sleep(lookAgain)
		case got == nil && n == 0:
			return io.EOF
		default:
			return got
		}
	}
}

// lookResult is what a look at a socket shows.
type lookResult int

// The results.
const (
	lookSilent lookResult = iota // nothing is there to be read
	lookUnread                   // something is; where the look fails it may be so
	lookClosed                   // by the other side, or broken
)

// look looks at what is there to be read, without waiting.
func (c *client) look() lookResult {
	result := lookClosed
	c.raw.Control(func(fd uintptr) {
		switch n, err := c.f.s.system.peek(fd); {
		case err == nil && n > 0, oserr.Transient(err):
			result = lookUnread
		case errors.Is(err, syscall.EAGAIN):
			result = lookSilent
		}
	})
	return result
}

// unread reports whether something may be there to be read.
func (c *client) unread() bool { return !mutated(noUnreadLook) && c.look() == lookUnread }

// begin tells the state that a message has begun to come.
func (c *client) begin() bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return c.f.state.Begin(time.Now(), c.id)
}

// patience is how long the client may take. It returns false where the connection was retired.
func (c *client) patience(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.net.SetReadDeadline(time.Now().Add(d))
	}
	return !c.ending
}

// overdue has the state judge a connection on which nothing more came in time. It reports whether it ends.
func (c *client) overdue() bool {
	c.f.mu.Lock()
	if !c.f.state.Partly(c.id) && c.unread() {
		c.f.mu.Unlock() // its reader only had not come to it
		return false
	}
	why := closedIdle
	if c.f.state.Partly(c.id) {
		why = closedHalf
	}
	open, end := c.f.state.Overdue(c.id)
	if end {
		c.f.close(why)
	}
	c.f.mu.Unlock()
	c.fault(open, "the request did not come whole in time")
	return end
}

// spoilt ends a connection on which nothing further is read.
func (c *client) spoilt(reason string, why closeReason) {
	c.f.mu.Lock()
	open := c.f.state.Spoilt(c.id)
	c.f.close(why)
	c.f.mu.Unlock()
	c.fault(open, reason)
}

// fault answers and gives up what was open on a connection that ends.
func (c *client) fault(open []*thriftserver.Request, reason string) {
	var b []byte
	for _, q := range open {
		b = append(b, thriftserver.Fault(q.Seq, reason)...)
		c.f.s.clientGone(q, reason)
	}
	if len(open) > 0 {
		c.send(b, len(open))
	}
}

// retire has a connection end on which the state takes nothing more: it is shut for writing once all answers
// are written, and what still comes is thrown away until the client closes. Danger: a close over unread bytes
// resets the connection, and the last answers are lost with it.
func (c *client) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return
	}
	c.ending = true
	if !c.flushing {
		c.shut()
	} else {
		c.net.SetReadDeadline(time.Now().Add(idleMost)) // flush shuts it before that
	}
}

// shut ends the writing side, and the reading side some time later. c.mu is held.
func (c *client) shut() {
	if mutated(noLinger) {
		c.net.Close()
		return
	}
	c.net.CloseWrite()
	c.net.SetReadDeadline(time.Now().Add(lingerFor))
}

// drain retires the connection and reads until its client closes it, for some time at most.
func (c *client) drain() {
	c.retire()
	b := make([]byte, readAhead)
	for {
		if _, err := c.net.Read(b); err != nil {
			return
		}
	}
}

// take handles a message. It returns false where the connection can't be read any further.
func (c *client) take(frame []byte) bool {
	s, m := c.f.s, c.f.state.Read(frame)
	c.f.mu.Lock()
	// Danger: asked earlier, a stall since then would not count.
	c.late = max(c.late, s.stalls.waited(c.empty))
	v := c.f.state.Message(time.Now().Add(-c.late), c.id, m)
	v.Event.TimeLeft -= c.late
	if mutated(noOrder) {
		v.Event.Key = ""
	}
	refused := false
	if v.Taken != nil {
		if refused = !s.acts.take(v.Taken, v.Event.Key); !refused {
			s.loop.Post(v.Event) // under the lock: what its client takes back at once must come after it
		}
	}
	c.f.mu.Unlock()
	if refused {
		c.f.replyError(v.Taken.ID, thrift.Shed, 0, outsideLife)
	}
	if v.Bad {
		s.unread.Add(1)
		s.events.Add(eventlog.Event{What: eventlog.Rejected, Request: v.Ticket, Attempt: -1, Why: v.Why})
	}
	if v.Say != nil {
		c.send(v.Say, 1)
	}
	if v.Back != nil && !mutated(lostCancel) {
		s.clientGone(v.Back, "cancelled")
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
		c.f.noReader()
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

// written tells the state of messages that have left.
func (c *client) written(n int) {
	if n > 0 {
		c.f.mu.Lock()
		c.f.state.Written(time.Now(), c.id, n)
		c.f.mu.Unlock()
	}
}

func (c *client) flush() {
	for {
		c.mu.Lock()
		b := c.out
		c.out = nil
		if len(b) == 0 {
			n := c.messages
			c.flushing, c.messages = false, 0
			c.net.SetWriteDeadline(time.Time{})
			if c.ending {
				c.shut()
			}
			c.mu.Unlock()
			c.written(n)
			return
		}
		c.mu.Unlock()
		// Danger: a client that reads slowly, and has asked for much, would be cut off in the middle of its
		// answers if all of them had one deadline.
		for err := error(nil); len(b) > 0 && err == nil; {
			step := b[:min(len(b), writeStep)]
			b = b[len(step):]
			c.net.SetWriteDeadline(time.Now().Add(c.stall))
			if _, err = c.net.Write(step); err != nil {
				c.net.Close()
				c.f.noReader()
			}
		}
	}
}

// over ends what is open on a connection that ended, and closes it.
func (c *client) over() {
	c.f.mu.Lock()
	if c.f.state.PhaseOf(c.id) == thriftserver.Serving {
		c.f.close(closedByClient)
	}
	open := c.f.forget(c.id)
	c.f.mu.Unlock()
	c.net.Close()
	for _, q := range open {
		c.f.s.clientGone(q, "its connection ended")
	}
}
