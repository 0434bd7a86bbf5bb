package pgbackend

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"time"

	"cresspass"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/pgwire"
)

// Pauses between dials that fail because this machine is briefly out of ports, buffers or descriptors.
const (
	dialRetryPause = 10 * time.Millisecond // before the first retry; doubled for each further one
	dialRetryLimit = time.Second           // no more retries once the pauses add up to this
)

// startupBufferSize is the size in bytes of the read buffer during a connection's startup.
const startupBufferSize = 4096

// errorResponse is an engine's ErrorResponse as a Go error.
type errorResponse struct{ fields pgwire.Fields }

func (e *errorResponse) Error() string { return e.fields.Message }

// dialWithRetry connects to an engine. It retries errors caused by this machine.
func (p *Pool) dialWithRetry(addr string) (net.Conn, error) {
	for pause, waited := dialRetryPause, time.Duration(0); ; pause *= 2 {
		c, err := p.dialer().Dial("tcp", addr)
		if !oserr.IsLocal(err) || waited >= dialRetryLimit {
			return c, err
		}
		select {
		case <-time.After(pause):
		case <-p.stop:
			return nil, err
		}
		waited += pause
	}
}

func (p *Pool) dialer() *net.Dialer {
	return &net.Dialer{Timeout: p.cfg.ConnectTimeout, Control: p.cfg.Control}
}

// connect opens a connection and completes its startup. On failure the connection is nil and the result holds
// the reason.
func connect(p *Pool, e *engine) (*conn, Result) {
	netConn, err := p.dialWithRetry(string(e.id))
	switch {
	case oserr.IsLocal(err): // this machine's fault: the engine must not count as unreachable
		return nil, Result{Outcome: cresspass.OutcomeRejected, Message: err.Error()}
	case err != nil:
		return nil, Result{Outcome: cresspass.OutcomeConnectFailed, Message: err.Error()}
	}
	c := &conn{pool: p, engine: e, netConn: netConn, preparedByKey: map[string]*list.Element{},
		preparedLRU: list.New(), priority: unknownSetting}
	c.reader.Known, c.reader.Max = pgwire.BackendType, p.cfg.MaxMessage
	if err := c.startUp(); err != nil {
		c.close()
		return nil, connectResult(err)
	}
	return c, Result{}
}

// connectResult returns the result of an attempt whose connection failed during startup.
func connectResult(err error) Result {
	r := Result{Outcome: cresspass.OutcomeConnectFailed, Message: err.Error()}
	var response *errorResponse
	if errors.As(err, &response) {
		r.SQLState = response.fields.Code
		if provesNotRun(r.SQLState) {
			r.Outcome = cresspass.OutcomeRejected
		}
	}
	return r
}

// startUp sends the startup packet and waits until the engine is ready, at most ConnectTimeout.
func (c *conn) startUp() error {
	cfg := &c.pool.cfg
	c.setDeadline(time.Now().Add(cfg.ConnectTimeout))
	packet := pgwire.AppendStartup(nil, pgwire.Version30, "user", cfg.User, "database", cfg.Database,
		"application_name", cfg.Application)
	if _, err := c.netConn.Write(packet); err != nil {
		return err
	}
	err := c.receiveUntilReady(func(m pgwire.Message) (err error) {
		switch m.Type {
		case 'K': // BackendKeyData
			c.pid, c.secret, err = pgwire.ParseKey(m.Body)
		case 'R': // an authentication message
			if string(m.Body) != "\x00\x00\x00\x00" {
				err = fmt.Errorf("engine %s asks for authentication, which is not served", c.engine.id)
			}
		case 'E': // ErrorResponse; if it is malformed, the fields read so far are used
			f, _ := pgwire.ParseFields(m.Body)
			err = &errorResponse{f}
		}
		return err
	})
	c.setDeadline(time.Time{})
	return err
}

// receiveUntilReady passes messages to handle until a ReadyForQuery arrives. An error from handle ends it.
func (c *conn) receiveUntilReady(handle func(pgwire.Message) error) error {
	buf := make([]byte, startupBufferSize)
	for {
		n, err := c.netConn.Read(buf)
		if err != nil {
			return err
		}
		c.reader.Push(buf[:n])
		for {
			m, ok, err := c.reader.Next()
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			if m.Type == 'Z' {
				c.reader.Rest()
				return nil
			}
			if err := handle(m); err != nil {
				return err
			}
		}
		c.reader.Rest()
	}
}

// setDeadline limits reads and writes. The error is ignored: it only fails on a closed connection, where
// reads and writes fail too.
func (c *conn) setDeadline(t time.Time) { _ = c.netConn.SetDeadline(t) }
