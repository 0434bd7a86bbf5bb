package pgbackend

import (
	"time"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/protocol/pgwire"
)

// copyWriter is a copy-in that runs on a connection: a goroutine of its own writes, as an engine that is
// slow to take the data must hold up neither its own answers nor anybody else.
type copyWriter struct {
	pipe        *copyin.Pipe
	stop        chan struct{} // the engine has ended the statement
	done        chan struct{} // the writer has ended
	syncPending bool          // a Sync is owed behind the end of the data; after done: it is owed yet
	failed      bool          // CopyFail went out; read after done
}

// startCopyIn opens copy-in mode at the engine's CopyInResponse. The client must hear of it at once, so its
// answer belongs to this attempt from here on; nothing of it can be tried elsewhere.
func (c *conn) startCopyIn(a *Attempt, m pgwire.Message) {
	c.forward(m)
	batch := c.batch
	c.batch = nil
	c.activeCopy = &copyWriter{pipe: copyin.New(c.pool.cfg.CopyBufferBytes, func() {
		if a.OnCopyCapacity != nil {
			a.OnCopyCapacity()
		}
	}), stop: make(chan struct{}), done: make(chan struct{}), syncPending: c.syncPending}
	in := c.activeCopy
	c.hadCopyIn = true
	if a.Response == nil || a.StartCopyIn == nil || !a.Response.WriteThrough(a.Number, batch) ||
		!a.StartCopyIn(in.pipe) {
		in.pipe.Abandon()
	}
	var ended <-chan struct{}
	if a.Response != nil {
		ended = a.Response.Done()
	}
	c.pool.background.Add(1) // this goroutine is among those counted, so the count is not zero
	go func() {
		defer c.pool.background.Done()
		defer close(in.done)
		in.write(c, ended)
	}()
}

func (in *copyWriter) write(c *conn, ended <-chan struct{}) {
	var spare []byte
	for {
		b, end := in.pipe.Take(spare)
		if end == copyin.Abandoned {
			b = pgwire.AppendText(b[:0], 'f', "the copy's client is gone or was answered")
			in.failed = true
		}
		if end != copyin.Open && in.syncPending {
			// Danger: an engine keeps its last word back until the Sync, which was not sent with the request.
			b = pgwire.AppendSync(b)
			in.syncPending = false
		}
		if len(b) > 0 {
			if _, err := c.netConn.Write(b); err != nil {
				in.pipe.Abandon()
				return // the reading goroutine sees it
			}
		}
		in.pipe.MarkSent()
		spare = b
		if end != copyin.Open {
			in.failed = in.failed || end == copyin.Failed
			return
		}
		if cap(spare) > 1<<20 {
			spare = nil
		}
		select {
		case <-in.pipe.Ready():
		case <-in.stop:
			return
		case <-ended:
			// Danger: an engine that waits for data of a client that is gone would wait for ever, with all
			// the locks it holds.
			in.pipe.Abandon()
			ended = nil
		}
	}
}

// finishCopyIn ends the writer at the engine's end of the statement, so that nothing of it follows on the
// connection. failed says that the client, or its going, had asked for the copy's failure.
func (c *conn) finishCopyIn() (failed bool) {
	in := c.activeCopy
	if in == nil {
		return false
	}
	c.activeCopy = nil
	close(in.stop)
	// An engine that ended the copy in the middle reads on and passes over what comes; one that does not is
	// no longer to be written to.
	c.netConn.SetWriteDeadline(time.Now().Add(c.pool.cfg.CancelTimeout))
	<-in.done
	c.netConn.SetWriteDeadline(time.Time{})
	in.pipe.Abandon()
	c.syncPending = in.syncPending
	return in.failed
}
