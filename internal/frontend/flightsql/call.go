package flightsql

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql/statementqueue"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/sqlstate"
)

// call is one query that a client waits for, and the sink of its response. The engine's messages collect in
// a buffer, which the call's own goroutine takes as a whole.
type call struct {
	server    *Server
	scope     *scope
	query     *frontend.Query
	id        statementqueue.StatementID
	exclusive bool

	mu          sync.Mutex
	buf         []byte
	done        bool
	verdict     *verdict.Verdict
	dataReady   chan struct{} // capacity 1: buf has grown, or the response has ended
	bufferTaken chan struct{} // capacity 1: buf has been taken
}

// statement is a statement to run or describe, with its bound parameters.
type statement struct {
	text, parameterTypes string
	parsed               []sqlscan.Statement
	bindBody             []byte
	kind                 enginequery.Kind
}

// scan parses a query text into statements.
func (s *Server) scan(text string) []sqlscan.Statement {
	return enginequery.ParseStatements(text, s.cfg.StatelessFunction)
}

// client returns the client of a call, for classification. Its timeout is what remains of the deadline that
// grpc-timeout set. A retry, by gRPC or by the client, has the header grpc-previous-rpc-attempts ("gRPC Retry
// Design").
func (sess *session) client(ctx context.Context) classify.Client {
	sess.mu.Lock()
	client := classify.Client{User: sess.user, Database: sess.database, Application: sess.application}
	sess.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		client.Timeout = max(time.Until(deadline), time.Nanosecond)
	}
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		for _, attempts := range md.Get(headerPreviousAttempts) {
			if n, err := strconv.Atoi(attempts); err == nil && n > 0 {
				client.IsRetry = true
			}
		}
	}
	return client
}

// startStatement waits for a statement's turn in its scope and submits it. The caller must read the call to
// its end or abandon it.
func (s *Server) startStatement(ctx context.Context, sc *scope, st statement) (*call, error) {
	c := &call{server: s, scope: sc, dataReady: make(chan struct{}, 1), bufferTaken: make(chan struct{}, 1),
		exclusive: st.kind == enginequery.Execute && needsExclusive(st.parsed)}
	id, v := sc.acquireTurn(ctx, c.exclusive)
	if v != nil {
		return nil, verdictError(v)
	}
	if s.draining.Load() && !sc.isSticky() {
		sc.releaseTurn(id)
		return nil, verdictError(verdict.ShuttingDown(false))
	}
	c.id = id
	q := c.newQuery(ctx, st)
	sc.prepareQuery(c, q.EngineQuery)
	if q.EngineQuery.MayBecomeSticky && q.Lease.Engine() == "" {
		if reason, ok := s.cfg.Registry.Allow(sc.session.user); !ok {
			if q.Response.FinishWithVerdict(verdict.RejectOverLimit(reason)) {
				q.OnResponseEnded()
			}
			return c, nil
		}
	}
	s.dispatcher.Submit(q)
	return c, nil
}

// newQuery creates the call's query for a statement.
func (c *call) newQuery(ctx context.Context, st statement) *frontend.Query {
	s, sc := c.server, c.scope
	q := &frontend.Query{Frontend: Name, Client: sc.session.client(ctx),
		EngineQuery: &enginequery.Query{Kind: st.kind, Text: st.text, Parsed: st.parsed,
			ParameterTypes: st.parameterTypes, BindBody: st.bindBody,
			WithDescribe: st.kind == enginequery.Execute},
		OnResponseEnded: func() { sc.releaseTurn(c.id) }}
	q.Response = response.New(c, s.cfg.Budget, int(s.holdBack.Load()))
	q.Throttle = c.awaitCapacity
	q.StartCopyIn = func(*copyin.Pipe) bool { return false } // COPY is not served over Flight SQL
	q.OnCopyCapacity = func() {}
	q.Settle = func(end pgbackend.QueryEnd) pgbackend.Disposition { return sc.settleQuery(c, end) }
	q.OnConnectionLost = func(sent bool) { sc.onConnectionLost(c, sent) }
	c.query = q
	return q
}

// WritePartial buffers messages of the engine.
func (c *call) WritePartial(b []byte) {
	c.server.pendingBytes.Add(int64(len(b)))
	c.mu.Lock()
	c.buf = append(c.buf, b...)
	c.mu.Unlock()
	notify(c.dataReady)
}

// WriteFinal buffers the last messages of the response.
func (c *call) WriteFinal(b []byte, _ bool) {
	c.scope.onAnswered(c)
	c.server.pendingBytes.Add(int64(len(b)))
	c.mu.Lock()
	c.buf = append(c.buf, b...)
	c.done = true
	c.mu.Unlock()
	notify(c.dataReady)
}

// WriteVerdict ends the response with a verdict. If the kind is Failed, the client first receives what the
// engine has sent. A verdict of any other kind reaches the client at once, and messages that the client has
// not taken are dropped.
func (c *call) WriteVerdict(v *verdict.Verdict) {
	v = c.scope.onAnsweredEarly(c, v)
	c.mu.Lock()
	if v.Kind != verdict.Failed {
		c.server.pendingBytes.Add(-int64(len(c.buf)))
		c.buf = nil
	}
	c.done, c.verdict = true, v
	c.mu.Unlock()
	notify(c.dataReady)
}

// notify wakes the receiver of a channel of capacity 1, without blocking.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// awaitCapacity blocks while more than clientBuffer bytes wait for the client and the response goes on.
func (c *call) awaitCapacity() {
	for {
		c.mu.Lock()
		full := int64(len(c.buf)) > c.server.clientBuffer.Load() && !c.done
		c.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-c.bufferTaken:
		case <-c.query.Response.Done():
			return
		}
	}
}

// receive waits for more of the response and returns it; spare becomes the buffer of what follows. If nothing
// arrives within the given time, b is empty and more is true; a time of 0 means no limit. more is false at
// the end of the response. If ctx ends first, receive abandons the call and returns ctx's error as a gRPC
// status.
func (c *call) receive(ctx context.Context, spare []byte, within time.Duration) (b []byte, more bool,
	err error) {
	var timeout <-chan time.Time
	if within > 0 {
		timer := time.NewTimer(within)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		if b, more, ok, err := c.takeBuffer(spare); ok {
			return b, more, err
		}
		select {
		case <-c.dataReady:
		case <-timeout:
			return spare[:0], true, nil
		case <-ctx.Done():
			c.abandon()
			return nil, false, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// takeBuffer takes what has arrived of the response; spare becomes the buffer of what follows. ok is false if
// nothing has arrived.
func (c *call) takeBuffer(spare []byte) (b []byte, more, ok bool, err error) {
	c.mu.Lock()
	if len(c.buf) == 0 && !c.done {
		c.mu.Unlock()
		return nil, true, false, nil
	}
	if c.verdict != nil && len(c.buf) == 0 {
		c.mu.Unlock()
		return nil, false, true, verdictError(c.verdict)
	}
	b, c.buf = c.buf, spare[:0]
	done := c.done && c.verdict == nil
	c.mu.Unlock()
	c.server.pendingBytes.Add(-int64(len(b)))
	notify(c.bufferTaken)
	return b, !done, true, nil
}

// abandon ends a call whose client is gone or cannot be sent the rest of the response. Nothing more is sent.
// If the statement runs exclusively in a sticky scope, the scope is terminated: the state that the statement
// left there is unknown.
func (c *call) abandon() {
	abandoned := c.query.Response.Abandon()
	c.mu.Lock()
	// The buffer of a complete response is dropped too: it would count as pending forever.
	c.server.pendingBytes.Add(-int64(len(c.buf)))
	c.buf = nil
	c.mu.Unlock()
	if !abandoned {
		return
	}
	sc := c.scope
	sc.mu.Lock()
	sticky := sc.exclusiveCall == c && sc.affinity.Bound()
	if sc.exclusiveCall == c {
		sc.exclusiveCall = nil
	}
	sc.mu.Unlock()
	c.server.dispatcher.Withdraw(c.query, sticky)
	if sticky {
		sc.terminate(&verdict.Verdict{Kind: verdict.Cancelled, Code: sqlstate.QueryCanceled,
			Message: "a statement in it was taken back", Detail: "What was not committed was rolled back."})
	}
	c.query.OnResponseEnded()
}

// cancel ends the query with a verdict. It returns false if the query has already ended.
func (c *call) cancel(v *verdict.Verdict) bool {
	if !c.query.Response.FinishWithVerdict(v) {
		return false
	}
	c.server.dispatcher.Withdraw(c.query, true)
	c.query.OnResponseEnded()
	return true
}

// messageHeaderSize is the size in bytes of a message's type and length.
const messageHeaderSize = 5

// forEachMessage calls f for each of an engine's messages in b.
func forEachMessage(b []byte, f func(kind byte, body []byte) error) error {
	for len(b) > 0 {
		if len(b) < messageHeaderSize {
			return errors.New("message is cut")
		}
		n := int(binary.BigEndian.Uint32(b[1:])) + 1 // the length does not count the type
		if n < messageHeaderSize || n > len(b) {
			return fmt.Errorf("message of %d bytes in %d", n, len(b))
		}
		if err := f(b[0], b[messageHeaderSize:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// readToEnd reads a response to its end and skips its rows. It returns the command tag and the messages that
// describe the statement.
func (c *call) readToEnd(ctx context.Context) (tag string, description []byte, err error) {
	var spare []byte
	for more := true; more; {
		var b []byte
		if b, more, err = c.receive(ctx, spare, 0); err != nil {
			return "", nil, err
		}
		err = forEachMessage(b, func(kind byte, body []byte) error {
			switch kind {
			case 'E': // ErrorResponse
				return engineError(body)
			case 'C': // CommandComplete
				v, err := pgwire.ParseTag(body)
				tag = string(v)
				return err
			case 't', 'T', 'n': // ParameterDescription, RowDescription, NoData
				description = pgwire.Append(description, kind, body)
			}
			return nil
		})
		if err != nil && more {
			c.abandon()
		}
		if err != nil {
			return "", nil, err
		}
		spare = b
	}
	return tag, description, nil
}
