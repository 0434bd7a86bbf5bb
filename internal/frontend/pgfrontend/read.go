package pgfrontend

import (
	"errors"
	"sync"
	"syscall"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/frontend"
)

const (
	readBufferSize = 32 << 10
	// maxReadsPerTurn is how often a client is read in one go. Then another goroutine goes on, so that the
	// polling one can serve the others.
	maxReadsPerTurn = 16
)

// readBuffers are held for the time of one call only.
var readBuffers = sync.Pool{New: func() any { b := make([]byte, readBufferSize); return &b }}

// readAvailable handles what the client has sent. Events tell of new bytes only, so it reads until there are
// none, or until a copy's pipe is full; whoever empties that calls it again.
func (c *client) readAvailable() {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	buf := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buf)
	for reads := 0; ; reads++ {
		if p := c.copyPipe.Load(); p != nil && p.Full() || c.pauseIfBacklogged() {
			return
		}
		if reads == maxReadsPerTurn {
			go c.readAvailable()
			return
		}
		n, err := c.netConn.Read(*buf)
		switch {
		case err == nil && n > 0:
			c.onData((*buf)[:n])
			if n < len(*buf) {
				return // what comes later is a new event
			}
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default:
			c.closeConn()
			return
		}
	}
}

// pauseIfBacklogged reports whether the client has sent so much ahead that it is left unread until its query
// ends or asks for a copy's data, which drivers send before they are asked.
func (c *client) pauseIfBacklogged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readPaused = c.session.Backlogged()
	return c.readPaused
}

// resumeReading reads a client on that was left unread. The caller holds c.mu.
func (c *client) resumeReading() {
	if c.readPaused {
		c.readPaused = false
		go c.readAvailable()
	}
}

// onData handles bytes of the client, in whatever goroutine reads it.
func (c *client) onData(b []byte) {
	c.mu.Lock()
	started := c.session.Started()
	c.session.Receive(b)
	if !started && c.session.Started() {
		if c.startupTimer != nil {
			c.startupTimer.Stop()
			c.startupTimer = nil
		}
		c.rejectIfUnservable()
	}
	c.feedCopyPipe()
	pending := c.session.TakeQuery()
	closing, cancel := c.session.Closing(), c.session.CancelRequest()
	q := c.newQuery(pending)
	if q == nil { // otherwise the output goes out with the query's response
		c.flushOutput()
	}
	c.mu.Unlock()
	if q != nil && c.rejectIfStickyLimit(q) {
		return
	}
	if cancel != nil {
		c.server.handleCancel(cancel)
	}
	if closing {
		c.closeConn()
		return
	}
	if q != nil {
		c.server.dispatcher.Submit(q)
	}
}

// startCopyIn opens a COPY's pipe to the client.
func (c *client) startCopyIn(q *frontend.Query, p *copyin.Pipe) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != q || c.closed || !c.session.StartCopyIn() {
		return false
	}
	c.copyPipe.Store(p)
	c.feedCopyPipe()
	c.resumeReading()
	return true
}

// feedCopyPipe puts copy data into the pipe. The caller holds c.mu.
func (c *client) feedCopyPipe() {
	if p := c.copyPipe.Load(); p != nil {
		if b, end := c.session.TakeCopyData(); len(b) > 0 {
			p.Put(b, end)
		}
	}
}
