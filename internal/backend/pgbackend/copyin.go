package pgbackend

import (
	"time"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/protocol/pgwire"
)

// maxIdleCopyBuffer is the largest buffer, in bytes, that a copy keeps for its next data.
const maxIdleCopyBuffer = 1 << 20

// copyWriter writes the data of a copy-in to the engine. It runs in its own goroutine, because an engine that
// is slow to read the data must not delay the reading of its messages or other connections.
type copyWriter struct {
	pipe          *copyin.Pipe
	statementDone chan struct{} // closed when the engine has ended the statement
	stopped       chan struct{} // closed when the writer has ended

	// Owned by the writer; others may use them once stopped is closed.

	syncPending bool // a Sync must be sent after the end of the data
	failed      bool // a CopyFail was sent
}

// startCopyIn starts copy-in mode when the engine sends CopyInResponse. The client must receive that message
// at once, so from here on the response belongs to this attempt and the query cannot be attempted elsewhere.
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
	c.pool.background.Add(1) // safe: the reading goroutine is counted too, so the counter is not zero
	go func() {
		defer c.pool.background.Done()
		defer close(w.stopped)
		w.run(c, responseDone)
	}()
}

// run writes the data from the pipe to the engine until the data or the statement ends.
func (w *copyWriter) run(c *conn, responseDone <-chan struct{}) {
	var spare []byte
	for {
		b, end := w.pipe.Take(spare)
		if end == copyin.Abandoned {
			b = pgwire.AppendText(b[:0], 'f', "the copy's client is gone or was answered")
			w.failed = true
		}
		if end != copyin.Open && w.syncPending {
			// No Sync was sent with the request, and an engine ends a query of the extended protocol only
			// after it has read one.
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
			// Without an end of the data, the engine would wait forever for a client that is gone, and keep
			// all its locks.
			w.pipe.Abandon()
			responseDone = nil
		}
	}
}

// finishCopyIn stops the writer when the engine has ended the statement, so that no more copy data is sent on
// the connection. failed reports whether a CopyFail was sent, by the client or because the client is gone.
func (c *conn) finishCopyIn() (failed bool) {
	w := c.activeCopy
	if w == nil {
		return false
	}
	c.activeCopy = nil
	close(w.statementDone)
	// An engine that ended the copy early still reads and skips the rest of the data. The deadline stops the
	// writer if the engine does not. Setting it only fails on a closed connection, where writes fail at once.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.pool.cfg.CancelTimeout))
	<-w.stopped
	_ = c.netConn.SetWriteDeadline(time.Time{})
	w.pipe.Abandon()
	c.syncPending = w.syncPending
	return w.failed
}
