package pgbackend

import (
	"time"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/protocol/pgwire"
)

// copying is a copy-in that runs on a connection: a goroutine of its own writes, as an engine that is slow to
// take the data must hold up neither its own answers nor anybody else.
type copying struct {
	pipe *copyin.Pipe
	stop chan struct{} // the engine has ended the statement
	done chan struct{} // the writer has ended
	sync bool          // a Sync is owed behind the end of the data; after done: it is owed yet
	fail bool          // CopyFail went out; read after done
}

// copyIn opens copy-in mode at the engine's CopyInResponse. The client must hear of it at once, so its answer
// belongs to this attempt from here on; nothing of it can be tried elsewhere.
func (c *conn) copyIn(a *Attempt, m pgwire.Message) {
	c.forward(m)
	batch := c.batch
	c.batch = nil
	c.in = &copying{pipe: copyin.New(c.pool.cfg.CopyAhead, func() {
		if a.Room != nil {
			a.Room()
		}
	}), stop: make(chan struct{}), done: make(chan struct{}), sync: c.syncOwed}
	in := c.in
	c.copied = true
	if a.Answer == nil || a.Copy == nil || !a.Answer.Stream(a.Number, batch) || !a.Copy(in.pipe) {
		in.pipe.Cut()
	}
	var ended <-chan struct{}
	if a.Answer != nil {
		ended = a.Answer.Ended()
	}
	c.pool.work.Add(1) // this goroutine is among those counted, so the count is not zero
	go func() {
		defer c.pool.work.Done()
		defer close(in.done)
		in.write(c, ended)
	}()
}

func (in *copying) write(c *conn, ended <-chan struct{}) {
	var spare []byte
	for {
		b, end := in.pipe.Take(spare)
		if end == copyin.Cut {
			b = pgwire.AppendText(b[:0], 'f', "the copy's client is gone or was answered")
			in.fail = true
		}
		if end != copyin.Open && in.sync {
			// Danger: an engine keeps its last word back until the Sync, which was not sent with the request.
			b = pgwire.AppendSync(b)
			in.sync = false
		}
		if len(b) > 0 {
			if _, err := c.nc.Write(b); err != nil {
				in.pipe.Cut()
				return // the reading goroutine sees it
			}
		}
		in.pipe.Sent()
		spare = b
		if end != copyin.Open {
			in.fail = in.fail || end == copyin.Failed
			return
		}
		if cap(spare) > 1<<20 {
			spare = nil
		}
		select {
		case <-in.pipe.More():
		case <-in.stop:
			return
		case <-ended:
			// Danger: an engine that waits for data of a client that is gone would wait for ever, with all
			// the locks it holds.
			in.pipe.Cut()
			ended = nil
		}
	}
}

// copyOver ends the writer at the engine's end of the statement, so that nothing of it follows on the
// connection. failed says that the client, or its going, had asked for the copy's failure.
func (c *conn) copyOver() (failed bool) {
	in := c.in
	if in == nil {
		return false
	}
	c.in = nil
	close(in.stop)
	// An engine that ended the copy in the middle reads on and passes over what comes; one that does not is
	// no longer to be written to.
	c.nc.SetWriteDeadline(time.Now().Add(c.pool.cfg.CancelTimeout))
	<-in.done
	c.nc.SetWriteDeadline(time.Time{})
	in.pipe.Cut()
	c.syncOwed = in.sync
	return in.fail
}
