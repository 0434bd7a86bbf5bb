package flightsql

import (
	"context"
	"encoding/binary"
	"fmt"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql/grpcstatus"
	"cresspass/internal/frontend/flightsql/statementqueue"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
)

// callError is the error of a call, with what its client may do.
type callError struct{ *grpcstatus.Status }

func (e *callError) Error() string { return e.Status.Err().Error() }

// GRPCStatus is what the client gets.
func (e *callError) GRPCStatus() *status.Status { return e.Status.Status }

func verdictError(v *verdict.Verdict) error { return &callError{grpcstatus.FromVerdict(v)} }

func invalidCall(code codes.Code, format string, args ...any) error {
	return &callError{grpcstatus.InvalidCall(code, fmt.Sprintf(format, args...))}
}

// call is one query on its way, and the sink of its answer: an engine's messages are gathered in a buffer,
// which the call's own goroutine takes whole.
type call struct {
	server    *Server
	scope     *scope
	query     *frontend.Query
	id        statementqueue.StatementID
	exclusive bool

	mu          sync.Mutex
	buf         []byte
	done        bool
	failed      bool // the last message is an ErrorResponse
	verdict     *verdict.Verdict
	dataReady   chan struct{} // of one: there is something new
	bufferTaken chan struct{} // of one: the buffer was taken
}

// statement is what is to be run.
type statement struct {
	text, parameterTypes string
	parsed               []sqlscan.Statement
	bindBody             []byte
	kind                 enginequery.Kind
}

// scan reads a text. Functions that the settings call harmless are in no doubt.
func (s *Server) scan(text string) []sqlscan.Statement {
	all := sqlscan.Statements(text)
	for i := range all {
		if f := all[i].Function; f != "" && s.cfg.StatelessFunction != nil && s.cfg.StatelessFunction(f) {
			all[i].Function = ""
		}
	}
	return all
}

// client is the client of a call. Its time left is what grpc-timeout says; a call that gRPC or its client
// repeats says so by grpc-previous-rpc-attempts ("gRPC Retry Design").
func (v *session) client(ctx context.Context) classify.Client {
	v.mu.Lock()
	w := classify.Client{User: v.user, Database: v.database, Application: v.application}
	v.mu.Unlock()
	if at, ok := ctx.Deadline(); ok {
		w.Timeout = max(time.Until(at), time.Nanosecond)
	}
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		for _, n := range md.Get("grpc-previous-rpc-attempts") {
			if n, err := strconv.Atoi(n); err == nil && n > 0 {
				w.IsRetry = true
			}
		}
	}
	return w
}

// startStatement has a statement run in its lane, once its turn has come. The call must be read to its end,
// or given up.
func (s *Server) startStatement(ctx context.Context, t *scope, st statement) (*call, error) {
	c := &call{server: s, scope: t, dataReady: make(chan struct{}, 1), bufferTaken: make(chan struct{}, 1),
		exclusive: st.kind == enginequery.Execute && needsExclusive(st.parsed)}
	id, v := t.acquireTurn(ctx, c.exclusive)
	if v != nil {
		return nil, verdictError(v)
	}
	if s.draining.Load() && !t.isSticky() {
		t.releaseTurn(id)
		return nil, verdictError(verdict.ShuttingDown(false))
	}
	c.id = id
	k := &enginequery.Query{
		Kind:           st.kind,
		Text:           st.text,
		Parsed:         st.parsed,
		ParameterTypes: st.parameterTypes,
		BindBody:       st.bindBody,
		WithDescribe:   st.kind == enginequery.Execute,
	}
	q := &frontend.Query{
		Frontend:        Name,
		EngineQuery:     k,
		Client:          t.session.client(ctx),
		OnResponseEnded: func() { t.releaseTurn(id) },
	}
	q.Response = response.New(c, s.cfg.Budget, s.cfg.HoldBack)
	q.Throttle = c.awaitCapacity
	q.StartCopyIn = func(*copyin.Pipe) bool { return false } // data comes by other ways than COPY here
	q.OnCopyCapacity = func() {}
	q.Settle = func(end pgbackend.QueryEnd) pgbackend.Disposition { return t.settleQuery(c, end) }
	q.OnConnectionLost = func(sent bool) { t.onConnectionLost(c, sent) }
	c.query = q
	t.prepareQuery(c, k)
	if k.MayBecomeSticky && q.Lease.Engine() == "" {
		if why, ok := s.cfg.Registry.Allow(t.session.user); !ok {
			if q.Response.FinishWithVerdict(verdict.RejectOverLimit(why)) {
				q.OnResponseEnded()
			}
			return c, nil
		}
	}
	s.dispatcher.Submit(q)
	return c, nil
}

// WritePartial takes messages of the engine.
func (c *call) WritePartial(b []byte) {
	c.server.pendingBytes.Add(int64(len(b)))
	c.mu.Lock()
	c.buf = append(c.buf, b...)
	c.mu.Unlock()
	signal(c.dataReady)
}

// WriteFinal takes the last of them.
func (c *call) WriteFinal(b []byte, failed bool) {
	c.scope.onResponseEnded(c)
	c.server.pendingBytes.Add(int64(len(b)))
	c.mu.Lock()
	c.buf = append(c.buf, b...)
	c.done, c.failed = true, failed
	c.mu.Unlock()
	signal(c.dataReady)
}

// WriteVerdict takes a verdict. What came before it and was not taken does not matter any more: the client
// is told at once.
func (c *call) WriteVerdict(v *verdict.Verdict) {
	c.scope.onResponseEnded(c)
	c.mu.Lock()
	c.server.pendingBytes.Add(-int64(len(c.buf)))
	c.buf, c.done, c.verdict = nil, true, v
	c.mu.Unlock()
	signal(c.dataReady)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// awaitCapacity waits until the client has taken what was read for it.
func (c *call) awaitCapacity() {
	for {
		c.mu.Lock()
		full := len(c.buf) > c.server.cfg.ClientBuffer && !c.done
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

// receive waits for more of the answer and returns it in a buffer in exchange for a spare one. It waits no
// longer than within, 0: as long as it takes. more is false at the end.
func (c *call) receive(ctx context.Context, spare []byte, within time.Duration) (b []byte, more bool,
	err error) {
	var late <-chan time.Time
	if within > 0 {
		t := time.NewTimer(within)
		defer t.Stop()
		late = t.C
	}
	for {
		c.mu.Lock()
		if len(c.buf) > 0 || c.done {
			if c.verdict != nil {
				c.mu.Unlock()
				return nil, false, verdictError(c.verdict)
			}
			b, c.buf = c.buf, spare[:0]
			done := c.done
			c.mu.Unlock()
			c.server.pendingBytes.Add(-int64(len(b)))
			signal(c.bufferTaken)
			return b, !done, nil
		}
		c.mu.Unlock()
		select {
		case <-c.dataReady:
		case <-late:
			return spare[:0], true, nil
		case <-ctx.Done():
			c.abandon()
			return nil, false, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// abandon tells that the client is gone. Nothing more goes out. A statement that has its lane alone takes
// what is kept with it: what it left there nobody would know.
func (c *call) abandon() {
	ours := c.query.Response.Abandon()
	c.mu.Lock()
	// Danger: of an answer that was complete and is not taken, these bytes would be counted for ever.
	c.server.pendingBytes.Add(-int64(len(c.buf)))
	c.buf = nil
	c.mu.Unlock()
	if !ours {
		return
	}
	c.scope.mu.Lock()
	kept := c.scope.current == c && c.scope.affinity.Bound()
	if c.scope.current == c {
		c.scope.current = nil
	}
	c.scope.mu.Unlock()
	c.server.dispatcher.Withdraw(c.query, kept)
	if kept {
		c.scope.terminate(&verdict.Verdict{Kind: verdict.Cancelled, Code: "57014",
			Message: "a statement in it was taken back", Detail: "What was not committed was rolled back."})
	}
	c.query.OnResponseEnded()
}

// cancel ends the query by a verdict, whatever it does.
func (c *call) cancel(v *verdict.Verdict) bool {
	if !c.query.Response.FinishWithVerdict(v) {
		return false
	}
	c.server.dispatcher.Withdraw(c.query, true)
	c.query.OnResponseEnded()
	return true
}

// forEachMessage calls f for each of an engine's messages in b.
func forEachMessage(b []byte, f func(kind byte, body []byte) error) error {
	for len(b) > 0 {
		if len(b) < 5 {
			return fmt.Errorf("message is cut")
		}
		n := int(binary.BigEndian.Uint32(b[1:])) + 1
		if n < 5 || n > len(b) {
			return fmt.Errorf("message of %d bytes in %d", n, len(b))
		}
		if err := f(b[0], b[5:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// engineError is an ErrorResponse as the call's error.
func engineError(body []byte) error {
	f, err := pgwire.ParseFields(body)
	if err != nil {
		return err
	}
	return &callError{grpcstatus.FromEngineError(&f)}
}

// readToEnd reads an answer to its end without its rows. It returns the tag and, of a description, its
// messages.
func (c *call) readToEnd(ctx context.Context) (tag string, shape []byte, err error) {
	var spare []byte
	for more := true; more; {
		var b []byte
		if b, more, err = c.receive(ctx, spare, 0); err != nil {
			return "", nil, err
		}
		err = forEachMessage(b, func(kind byte, body []byte) error {
			switch kind {
			case 'E':
				return engineError(body)
			case 'C':
				v, err := pgwire.ParseTag(body)
				tag = string(v)
				return err
			case 't', 'T', 'n':
				shape = pgwire.Append(shape, kind, body)
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
	return tag, shape, nil
}
