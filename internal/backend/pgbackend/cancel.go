package pgbackend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"cresspass/internal/protocol/pgwire"
)

// cancelAttempt asks the engine to cancel a withdrawn attempt. PostgreSQL's cancel request names a
// connection, not a query, and gets no reply: it cancels the query that runs there when the engine
// processes the request. Therefore the connection is not reused until the engine has closed the cancel
// request's own connection.
func (c *conn) cancelAttempt(a *Attempt) {
	c.mu.Lock()
	if c.current.Load() != a || c.closed || c.pendingCancels > 0 {
		c.mu.Unlock()
		return
	}
	c.pendingCancels++
	c.mu.Unlock()
	c.pool.spawn(func() { c.runCancel(a) })
}

// runCancel sends the cancel request and returns the connection to the pool if it may be reused. If the
// engine does not end the query within CancelTimeout, the connection is closed.
func (c *conn) runCancel(a *Attempt) {
	p := c.pool
	deadline := time.Now().Add(p.cfg.CancelTimeout)
	if err := sendCancel(p.dialer(), string(c.engine.id), c.pid, c.secret, deadline); err != nil {
		c.close() // it is unknown whether the engine will still process the request
		return
	}
	c.mu.Lock()
	c.pendingCancels--
	idle := c.awaitingCancel && c.pendingCancels == 0
	c.awaitingCancel = c.awaitingCancel && !idle
	c.mu.Unlock()
	switch {
	case idle && c.lease.Load() != nil:
		c.resumeSession()
		return
	case idle:
		p.putIdle(c)
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.stop:
	}
	if c.current.Load() == a {
		c.close()
	}
}

// sendCancel sends a cancel request on a separate connection and waits until the engine closes it: by then
// the engine has processed the request ("Canceling Requests in Progress").
func sendCancel(d *net.Dialer, addr string, pid uint32, secret []byte, deadline time.Time) error {
	netConn, err := d.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer netConn.Close()
	if err := netConn.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := netConn.Write(pgwire.AppendCancel(nil, pid, secret)); err != nil {
		return err
	}
	var b [1]byte
	switch _, err := netConn.Read(b[:]); {
	case err == nil:
		return errors.New("cancel request: the engine answered it")
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("cancel request: %w", err)
	}
	return nil
}
