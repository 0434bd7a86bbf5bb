package pgfrontend

import (
	"errors"
	"sync"
	"syscall"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/frontend"
)

const (
	readBufferSize = 32 << 10 // bytes
	// bytesPerTurn is the number of bytes that are read from one client before it waits for its next turn.
	bytesPerTurn = 2 * readBufferSize
	// maxCopyReads is the number of reads of a copy's data before another goroutine continues, so that the
	// polling goroutine can serve other clients.
	maxCopyReads = 16
)

// readBuffers holds the read buffers. A buffer is in use only during one call of read.
var readBuffers = sync.Pool{New: func() any { b := make([]byte, readBufferSize); return &b }}

// readAvailable reads and handles what the client has sent, unless the client waits for its turn.
func (c *client) readAvailable() {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	if !c.awaitsTurn && c.read() {
		c.awaitsTurn = true
		c.server.turns.Request(func() { go c.readTurn() })
	}
}

// readTurn is readAvailable for a turn that was granted.
func (c *client) readTurn() {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	c.awaitsTurn = c.read()
	c.server.turns.End()
	if c.awaitsTurn {
		c.server.turns.Request(func() { go c.readTurn() })
	}
}

// read reads and handles what the client has sent. The poller is edge-triggered and reports new bytes only,
// so read continues until there are none, or until it pauses because a copy's pipe is full or the client has
// sent too much ahead; it is then called again once there is capacity. It returns true if there may be more
// bytes after those of a turn. The data of a copy takes no turns: its engine limits it. The caller holds
// c.readLock.
func (c *client) read() (turnOver bool) {
	buf := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buf)
	for bytes, copyReads := 0, 0; ; {
		p := c.copyPipe.Load()
		switch {
		case p != nil && p.Full() || c.pauseIfBacklogged():
			return false
		case bytes >= bytesPerTurn:
			return true
		case copyReads >= maxCopyReads:
			go c.readAvailable()
			return false
		}
		n, err := c.netConn.Read(*buf)
		switch {
		case err == nil && n > 0:
			c.onData((*buf)[:n])
			if n < len(*buf) {
				return false // bytes that arrive later cause a new event
			}
			if p != nil {
				copyReads++
			} else {
				bytes += n
			}
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return false
		default:
			c.closeConn()
			return false
		}
	}
}

// pauseIfBacklogged pauses reading if the client has sent too much ahead, and reports whether it did. Reading
// resumes when the running query ends or asks for a COPY's data, which drivers may send before they are
// asked.
func (c *client) pauseIfBacklogged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readPaused = c.session.Backlogged()
	return c.readPaused
}

// resumeReading continues reading if pauseIfBacklogged has paused it. The caller holds c.mu.
func (c *client) resumeReading() {
	if c.readPaused {
		c.readPaused = false
		go c.readAvailable()
	}
}

// onData handles bytes from the client. The caller holds c.readLock.
func (c *client) onData(b []byte) {
	c.mu.Lock()
	started := c.session.Started()
	c.session.Receive(b)
	if !started && c.session.Started() {
		if c.startupTimer != nil {
			c.startupTimer.Stop()
			c.startupTimer = nil
		}
		c.rejectIfOverLimit()
	}
	c.feedCopyPipe()
	c.reserveInput()
	c.failEngineTransaction()
	pending := c.session.TakeQuery()
	closing, cancel := c.session.Closing(), c.session.CancelRequest()
	q := c.newQuery(pending)
	if q == nil { // otherwise the output is sent with the query's response
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

// startCopyIn starts copy-in mode and feeds the client's data into the pipe. It returns false if q is no
// longer the client's query.
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

// feedCopyPipe moves the session's copy data into the pipe, if there is one. The caller holds c.mu.
func (c *client) feedCopyPipe() {
	if p := c.copyPipe.Load(); p != nil {
		if b, end := c.session.TakeCopyData(); len(b) > 0 {
			p.Put(b, end)
		}
	}
}
