package flightsql

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/timestamppb"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/flightsql/arrowbatch"
	"cresspass/internal/frontend/flightsql/ticket"
)

// How rows are gathered: a batch goes out at batchBytes or batchRows, or when no more came for lull.
const (
	batchBytes     = 512 << 10
	batchRows      = 64 << 10
	batchIdleFlush = 5 * time.Millisecond
)

// description is what an engine said of a statement.
type description struct {
	rows           *arrowbatch.Schema // nil: it returns none
	params         *arrow.Schema
	parameterTypes string // OIDs of the parameters, 4 bytes each
}

// describe has a statement described, by what is known of its text or by an engine.
func (s *Server) describe(ctx context.Context, t *scope, text string) (*description, error) {
	st := statement{text: text, parsed: s.scan(text), kind: enginequery.DescribeStatement}
	switch len(st.parsed) {
	case 0:
		return &description{params: arrow.NewSchema(nil, nil)}, nil
	case 1:
	default:
		return nil, invalidCall(codes.InvalidArgument, "more than one statement in a query")
	}
	if st.parsed[0].Words[0] == "COPY" {
		return nil, invalidCall(codes.Unimplemented, "COPY is not served over Flight SQL")
	}
	var b []byte
	t.mu.Lock()
	bound := t.affinity.Bound() // a table may be its session's own
	t.mu.Unlock()
	if s.cfg.CachedDescription != nil && !bound {
		b = s.cfg.CachedDescription((&enginequery.Query{Text: text}).PrepareKey())
	}
	if b == nil {
		c, err := s.startStatement(ctx, t, st)
		if err != nil {
			return nil, err
		}
		if _, b, err = c.readToEnd(ctx); err != nil {
			return nil, err
		}
	}
	out := &description{params: arrow.NewSchema(nil, nil)}
	err := forEachMessage(b, func(kind byte, body []byte) (err error) {
		switch kind {
		case 't':
			out.params, _, err = arrowbatch.ParameterSchema(body)
			out.parameterTypes = string(body[2:])
		case 'T':
			out.rows, err = arrowbatch.NewSchema(body, true)
		}
		return err
	})
	return out, err
}

// arrowSchema is the schema of the rows; of none where there are none.
func (h *description) arrowSchema() *arrow.Schema {
	if h.rows == nil {
		return arrow.NewSchema(nil, nil)
	}
	return h.rows.Arrow
}

// issueTicket makes a FlightInfo with a ticket for a statement.
func (s *Server) issueTicket(ctx context.Context, t *scope, text string, h *description, bind []byte,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	v := sessionOf(ctx)
	tk := &ticket.Ticket{
		Nonce:          s.nextID.Add(1),
		Session:        v.token,
		Transaction:    t.transactionID,
		Text:           text,
		ParameterTypes: h.parameterTypes,
		BindBody:       bind,
		ExpiresAt:      s.now() + s.cfg.TicketLifetime,
	}
	tk.SingleUse = s.cfg.Idempotent == nil ||
		!s.cfg.Idempotent(v.client(ctx), &enginequery.Query{Kind: enginequery.Execute, Text: text,
			Parsed: s.scan(text)})
	handle, err := flightsql.CreateStatementQueryTicket(ticket.Seal(s.ticketKey, tk))
	if err != nil {
		return nil, err
	}
	return &flight.FlightInfo{Schema: flight.SerializeSchema(h.arrowSchema(), s.mem), FlightDescriptor: d,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: handle},
			ExpirationTime: timestamppb.New(time.Now().Add(s.cfg.TicketLifetime))}},
		TotalRecords: -1, TotalBytes: -1}, nil
}

// describeStatement finds a statement's lane and has it described there.
func (s *Server) describeStatement(
	ctx context.Context,
	q flightsql.StatementQuery,
) (*scope, *description, error) {
	t, err := sessionOf(ctx).scopeFor(q.GetTransactionId())
	if err != nil {
		return nil, nil, err
	}
	h, err := s.describe(ctx, t, q.GetQuery())
	return t, h, err
}

// GetFlightInfoStatement has a statement described and signs a ticket for it. Nothing of it runs.
func (s *Server) GetFlightInfoStatement(ctx context.Context, q flightsql.StatementQuery,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	t, h, err := s.describeStatement(ctx, q)
	if err != nil {
		return nil, err
	}
	bind, err := arrowbatch.AppendBind(nil, nil, 0, h.rows)
	if err != nil {
		return nil, err
	}
	return s.issueTicket(ctx, t, q.GetQuery(), h, bind, d)
}

// GetSchemaStatement has a statement described.
func (s *Server) GetSchemaStatement(ctx context.Context, q flightsql.StatementQuery,
	_ *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	_, h, err := s.describeStatement(ctx, q)
	if err != nil {
		return nil, err
	}
	return &flight.SchemaResult{Schema: flight.SerializeSchema(h.arrowSchema(), s.mem)}, nil
}

// DoGetStatement runs a ticket's statement, if this fetch may.
func (s *Server) DoGetStatement(ctx context.Context,
	q flightsql.StatementQueryTicket) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	tk, err := ticket.Open(s.ticketKey, q.GetStatementHandle())
	if err != nil {
		return nil, nil, invalidCall(codes.PermissionDenied, "%v", err)
	}
	v := sessionOf(ctx)
	s.mu.Lock()
	wait, err := s.tickets.BeginFetch(s.now(), tk, v.token)
	s.mu.Unlock()
	switch err {
	case nil:
	case ticket.ErrLedgerFull:
		limit := verdict.RejectOverLimit(err.Error())
		limit.RetryAfter = wait
		return nil, nil, verdictError(limit)
	case ticket.ErrOtherSession:
		return nil, nil, invalidCall(codes.PermissionDenied, "%v", err)
	case ticket.ErrExpired:
		return nil, nil, invalidCall(codes.NotFound, "%v", err)
	default:
		return nil, nil, invalidCall(codes.FailedPrecondition, "%v", err)
	}
	done := func(ran bool) {
		s.mu.Lock()
		s.tickets.EndFetch(tk, ran)
		s.mu.Unlock()
	}
	t, err := v.scopeFor([]byte(tk.Transaction))
	if err != nil {
		done(false)
		return nil, nil, err
	}
	st := statement{
		text:           tk.Text,
		parameterTypes: tk.ParameterTypes,
		bindBody:       tk.BindBody,
		parsed:         s.scan(tk.Text),
		kind:           enginequery.Execute,
	}
	if len(st.parsed) == 0 {
		done(true)
		ch := make(chan flight.StreamChunk)
		close(ch)
		return arrow.NewSchema(nil, nil), ch, nil
	}
	c, err := s.startStatement(ctx, t, st)
	if err != nil {
		done(mayHaveRun(err))
		return nil, nil, err
	}
	s.mu.Lock()
	if s.runningFetches[tk.Nonce] == nil {
		s.runningFetches[tk.Nonce] = map[*call]struct{}{}
	}
	s.runningFetches[tk.Nonce][c] = struct{}{}
	s.mu.Unlock()
	over := func(err error) {
		s.mu.Lock()
		if delete(s.runningFetches[tk.Nonce], c); len(s.runningFetches[tk.Nonce]) == 0 {
			delete(s.runningFetches, tk.Nonce)
		}
		s.mu.Unlock()
		done(mayHaveRun(err))
	}
	return s.streamBatches(ctx, c, over)
}

// mayHaveRun reports whether what ended so may have run.
func mayHaveRun(err error) bool {
	e, ok := err.(*callError)
	return !ok || e.MayHaveRun
}

// streamBatches reads an answer's rows into record batches. It returns once their schema is known, or the
// query has ended without; over is called at the end.
func (s *Server) streamBatches(ctx context.Context, c *call,
	over func(error)) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	r := &batchReader{server: s, call: c, chunks: make(chan flight.StreamChunk)}
	var spare []byte
	for r.schema == nil {
		b, more, err := c.receive(ctx, spare, 0)
		if err == nil {
			err = r.handleMessages(b)
		}
		if err != nil {
			if r.builder != nil {
				r.builder.Release()
			}
			c.abandon()
			over(err)
			return nil, nil, err
		}
		if spare = b; !more {
			if r.schema == nil {
				r.schema = &arrowbatch.Schema{Arrow: arrow.NewSchema(nil, nil)}
			}
			r.complete = true
		}
	}
	go r.deliver(ctx, spare, over)
	return r.schema.Arrow, r.chunks, nil
}

// batchReader turns one answer into record batches.
type batchReader struct {
	server   *Server
	call     *call
	chunks   chan flight.StreamChunk
	schema   *arrowbatch.Schema
	builder  *arrowbatch.Builder
	complete bool // the answer is complete
	batches  []arrow.RecordBatch
}

// handleMessages takes an engine's messages.
func (r *batchReader) handleMessages(b []byte) error {
	return forEachMessage(b, func(kind byte, body []byte) (err error) {
		switch kind {
		case 'T':
			if r.schema, err = arrowbatch.NewSchema(body, false); err == nil {
				r.builder = arrowbatch.NewBuilder(r.schema, r.server.mem)
			}
		case 'n':
			r.schema = &arrowbatch.Schema{Arrow: arrow.NewSchema(nil, nil)}
		case 'D':
			if r.builder == nil {
				return invalidCall(codes.Unknown, "a row came before its description")
			}
			if err := r.builder.Row(body); err != nil {
				return invalidCall(codes.OutOfRange, "%v", err)
			}
			if r.builder.Bytes() >= batchBytes || r.builder.Rows() >= batchRows {
				r.batches = append(r.batches, r.builder.Batch())
			}
		case 'H', 'G', 'W':
			return invalidCall(codes.Unimplemented, "COPY is not served over Flight SQL")
		case 'E':
			return engineError(body)
		}
		return err
	})
}

// deliver hands batches on as they are taken. While nobody takes them nothing is read, the answer's buffer
// fills and the engine is no longer read.
func (r *batchReader) deliver(ctx context.Context, spare []byte, over func(error)) {
	defer close(r.chunks)
	var err error
	defer func() {
		for _, b := range r.batches {
			b.Release()
		}
		if r.builder != nil {
			r.builder.Release()
		}
		if err != nil {
			r.call.abandon()
		}
		over(err)
	}()
	for {
		if !r.sendBatches(ctx) {
			err = ctx.Err()
			return
		}
		if r.complete {
			break
		}
		within := time.Duration(0)
		if r.builder != nil && r.builder.Rows() > 0 {
			within = batchIdleFlush
		}
		b, more, fail := r.call.receive(ctx, spare, within)
		if fail == nil {
			fail = r.handleMessages(b)
		}
		if fail != nil {
			// What was whole goes out before the error: the client has it or not, as it pleases.
			err = fail
			select {
			case r.chunks <- flight.StreamChunk{Err: fail}:
			case <-ctx.Done():
			}
			return
		}
		r.complete = !more
		if spare = b; len(b) == 0 && more || !more {
			r.flushRows()
		}
	}
	r.flushRows()
	if !r.sendBatches(ctx) {
		err = ctx.Err()
	}
}

// flushRows makes a batch of what rows there are.
func (r *batchReader) flushRows() {
	if r.builder != nil && r.builder.Rows() > 0 {
		r.batches = append(r.batches, r.builder.Batch())
	}
}

func (r *batchReader) sendBatches(ctx context.Context) bool {
	for len(r.batches) > 0 {
		select {
		case r.chunks <- flight.StreamChunk{Data: r.batches[0]}:
			r.batches = r.batches[1:]
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// executeUpdate runs a statement and returns how many rows it changed.
func (s *Server) executeUpdate(ctx context.Context, t *scope, st statement) (int64, error) {
	st.kind = enginequery.Execute
	switch len(st.parsed) {
	case 0:
		return 0, nil
	case 1:
	default:
		return 0, invalidCall(codes.InvalidArgument, "more than one statement in an update")
	}
	c, err := s.startStatement(ctx, t, st)
	if err != nil {
		return 0, err
	}
	tag, _, err := c.readToEnd(ctx)
	if err != nil {
		return 0, err
	}
	return affectedRows(tag), nil
}

// affectedRows is the count of a command tag ("CommandComplete"); 0 for one that counts none.
func affectedRows(tag string) int64 {
	n, err := strconv.ParseInt(tag[strings.LastIndexByte(tag, ' ')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// DoPutCommandStatementUpdate runs a statement that returns no rows.
func (s *Server) DoPutCommandStatementUpdate(ctx context.Context, q flightsql.StatementUpdate) (int64,
	error) {
	t, err := sessionOf(ctx).scopeFor(q.GetTransactionId())
	if err != nil {
		return 0, err
	}
	bind, err := arrowbatch.AppendBind(nil, nil, 0, nil)
	if err != nil {
		return 0, err
	}
	return s.executeUpdate(
		ctx,
		t,
		statement{text: q.GetQuery(), parsed: s.scan(q.GetQuery()), bindBody: bind},
	)
}

// CancelFlightInfo cancels what runs for the tickets of a FlightInfo. Only its own session may.
func (s *Server) CancelFlightInfo(ctx context.Context,
	req *flight.CancelFlightInfoRequest) (flight.CancelFlightInfoResult, error) {
	end := flight.CancelStatusNotCancellable
	v := sessionOf(ctx)
	for _, e := range req.GetInfo().GetEndpoint() {
		q, err := flightsql.GetStatementQueryTicket(e.GetTicket())
		if err != nil {
			return flight.CancelFlightInfoResult{}, invalidCall(codes.InvalidArgument,
				"the ticket is no statement's")
		}
		tk, err := ticket.Open(s.ticketKey, q.GetStatementHandle())
		if err != nil {
			return flight.CancelFlightInfoResult{}, invalidCall(codes.PermissionDenied, "%v", err)
		}
		if tk.Session != v.token {
			return flight.CancelFlightInfoResult{}, invalidCall(
				codes.PermissionDenied,
				"%v",
				ticket.ErrOtherSession,
			)
		}
		s.mu.Lock()
		var calls []*call
		for c := range s.runningFetches[tk.Nonce] {
			calls = append(calls, c)
		}
		// One that is not fetched yet will not be.
		if len(calls) == 0 && tk.SingleUse {
			if _, err := s.tickets.BeginFetch(s.now(), tk, v.token); err == nil {
				s.tickets.EndFetch(tk, true)
				end = flight.CancelStatusCancelled
			}
		}
		s.mu.Unlock()
		for _, c := range calls {
			if c.cancel(verdict.CancelledByClient()) {
				end = flight.CancelStatusCancelled
			}
		}
	}
	return flight.CancelFlightInfoResult{Status: end}, nil
}

// commandInfo is a FlightInfo whose ticket is the command itself, as for catalog calls.
func (s *Server) commandInfo(d *flight.FlightDescriptor, sc *arrow.Schema) (*flight.FlightInfo, error) {
	return &flight.FlightInfo{Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: d.Cmd}}},
		FlightDescriptor: d, Schema: flight.SerializeSchema(sc, s.mem), TotalRecords: -1, TotalBytes: -1}, nil
}
