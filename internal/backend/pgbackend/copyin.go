package pgbackend

import (
	"time"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/protocol/pgwire"
)

// maxIdleCopyBuffer is the largest buffer that a copy keeps for the next data.
const maxIdleCopyBuffer = 1 << 20

// copyWriter writes the data of a copy-in to the engine. It has a goroutine of its own, as an engine that is
// slow to take the data must delay neither its own messages nor other connections.
type copyWriter struct {
	pipe          *copyin.Pipe
	statementDone chan struct{} // the engine has ended the statement
	stopped       chan struct{} // the writer has ended

	// The writer's; of others only once stopped is closed.

	syncPending bool // a Sync is to be sent after the end of the data
	failed      bool // a CopyFail was sent
}

// startCopyIn opens copy-in mode at the engine's CopyInResponse. The client must receive that at once, so the
// response belongs to this attempt from here on: nothing of it can be attempted elsewhere.
func (c *conn) startCopyIn(a *Attempt, m pgwire.Message) {
	c.forward(m)
	batch := c.batch
	c.batch = nil
	w := &copyWriter{
		pipe: copyin.New(c.pool.cfg.CopyBufferBytes, func() {
			if a.OnCopyCapacity != nil {
				a.OnCopyCapacity()
			}
		}),
		statementDone: make(chan struct{}), stopped: make(chan struct{}), syncPending: c.syncPending}
	c.activeCopy = w
	c.hadCopyIn = true
	if a.Response == nil || a.StartCopyIn == nil || !a.Response.WriteThrough(a.Number, batch) ||
		!a.StartCopyIn(w.pipe) {
		w.pipe.Abandon()
	}
	var responseDone <-chan struct{}
	if a.Response != nil {
		responseDone = a.Response.Done()
	}
	c.pool.background.Add(1) // the reading goroutine is counted too, so the count is not zero here
	go func() {
		defer c.pool.background.Done()
		defer close(w.stopped)
		w.run(c, responseDone)
	}()
}

// run writes what comes through the pipe until the data or the statement ends.
func (w *copyWriter) run(c *conn, responseDone <-chan struct{}) {
	var spare []byte
	for {
		b, end := w.pipe.Take(spare)
		if end == copyin.Abandoned {
			b = pgwire.AppendText(b[:0], 'f', "the copy's client is gone or was answered")
			w.failed = true
		}
		if end != copyin.Open && w.syncPending {
			// No Sync was sent with the request, and an engine does not end a query of the extended protocol
			// before it reads one.
			b = pgwire.AppendSync(b)
			w.syncPending = false
		}
		if len(b) > 0 {
			if _, err := c.netConn.Write(b); err != nil {
				w.pipe.Abandon()
				return // the reading goroutine sees the broken connection
			}
		}
		w.pipe.MarkSent()
		if end != copyin.Open {
			w.failed = w.failed || end == copyin.Failed
			return
		}
		if spare = b; cap(spare) > maxIdleCopyBuffer {
			spare = nil
		}
		select {
		case <-w.pipe.Ready():
		case <-w.statementDone:
			return
		case <-responseDone:
			// Without an end of the data, an engine waits for ever for a client that is gone, with all the
			// locks it holds.
			w.pipe.Abandon()
			responseDone = nil
		}
	}
}

// finishCopyIn stops the writer at the engine's end of the statement, so that nothing of the copy follows on
// the connection. failed says that a CopyFail was sent, by the client or because the client is gone.
func (c *conn) finishCopyIn() (failed bool) {
	w := c.activeCopy
	if w == nil {
		return false
	}
	c.activeCopy = nil
	close(w.statementDone)
	// An engine that ended the copy early reads on and skips what comes. To one that does not read on, the
	// writer must not go on writing. The deadline cannot be set on a closed connection only, where writes
	// fail at once.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.pool.cfg.CancelTimeout))
	<-w.stopped
	_ = c.netConn.SetWriteDeadline(time.Time{})
	w.pipe.Abandon()
	c.syncPending = w.syncPending
	return w.failed
}
