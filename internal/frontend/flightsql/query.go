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
	batchBytes = 512 << 10
	batchRows  = 64 << 10
	lull       = 5 * time.Millisecond
)

// shape is what an engine said of a statement.
type shape struct {
	rows   *arrowbatch.Schema // nil: it returns none
	params *arrow.Schema
	types  string // OIDs of the parameters, 4 bytes each
}

// describe has a statement described, by what is known of its text or by an engine.
func (s *Server) describe(ctx context.Context, t *track, text string) (*shape, error) {
	st := statement{text: text, parsed: s.scan(text), kind: enginequery.DescribeStatement}
	switch len(st.parsed) {
	case 0:
		return &shape{params: arrow.NewSchema(nil, nil)}, nil
	case 1:
	default:
		return nil, fault(codes.InvalidArgument, "more than one statement in a query")
	}
	if st.parsed[0].Words[0] == "COPY" {
		return nil, fault(codes.Unimplemented, "COPY is not served over Flight SQL")
	}
	var b []byte
	t.mu.Lock()
	bound := t.pin.Bound() // a table may be its session's own
	t.mu.Unlock()
	if s.cfg.Described != nil && !bound {
		b = s.cfg.Described((&enginequery.Ask{Text: text}).Key())
	}
	if b == nil {
		c, err := s.start(ctx, t, st)
		if err != nil {
			return nil, err
		}
		if _, b, err = c.drain(ctx); err != nil {
			return nil, err
		}
	}
	out := &shape{params: arrow.NewSchema(nil, nil)}
	err := messages(b, func(kind byte, body []byte) (err error) {
		switch kind {
		case 't':
			out.params, _, err = arrowbatch.NewParameters(body)
			out.types = string(body[2:])
		case 'T':
			out.rows, err = arrowbatch.NewSchema(body, true)
		}
		return err
	})
	return out, err
}

// arrow is the schema of the rows; of none where there are none.
func (h *shape) arrow() *arrow.Schema {
	if h.rows == nil {
		return arrow.NewSchema(nil, nil)
	}
	return h.rows.Arrow
}

// issue makes a FlightInfo with a ticket for a statement.
func (s *Server) issue(ctx context.Context, t *track, text string, h *shape, bind []byte,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	v := sessionOf(ctx)
	tk := &ticket.Ticket{Nonce: s.nextID.Add(1), Session: v.token, Lane: t.id, Text: text, Types: h.types,
		Bind: bind, Until: s.now() + s.cfg.TicketLife}
	tk.Once = s.cfg.Safe == nil || !s.cfg.Safe(v.who(ctx), &enginequery.Ask{Kind: enginequery.Execute, Text: text,
		Parsed: s.scan(text)})
	handle, err := flightsql.CreateStatementQueryTicket(ticket.Seal(s.key, tk))
	if err != nil {
		return nil, err
	}
	return &flight.FlightInfo{Schema: flight.SerializeSchema(h.arrow(), s.mem), FlightDescriptor: d,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: handle},
			ExpirationTime: timestamppb.New(time.Now().Add(s.cfg.TicketLife))}},
		TotalRecords: -1, TotalBytes: -1}, nil
}

// described finds a statement's lane and has it described there.
func (s *Server) described(ctx context.Context, q flightsql.StatementQuery) (*track, *shape, error) {
	t, err := sessionOf(ctx).track(q.GetTransactionId())
	if err != nil {
		return nil, nil, err
	}
	h, err := s.describe(ctx, t, q.GetQuery())
	return t, h, err
}

// GetFlightInfoStatement has a statement described and signs a ticket for it. Nothing of it runs.
func (s *Server) GetFlightInfoStatement(ctx context.Context, q flightsql.StatementQuery,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	t, h, err := s.described(ctx, q)
	if err != nil {
		return nil, err
	}
	bind, err := arrowbatch.Bind(nil, nil, 0, h.rows)
	if err != nil {
		return nil, err
	}
	return s.issue(ctx, t, q.GetQuery(), h, bind, d)
}

// GetSchemaStatement has a statement described.
func (s *Server) GetSchemaStatement(ctx context.Context, q flightsql.StatementQuery,
	_ *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	_, h, err := s.described(ctx, q)
	if err != nil {
		return nil, err
	}
	return &flight.SchemaResult{Schema: flight.SerializeSchema(h.arrow(), s.mem)}, nil
}

// DoGetStatement runs a ticket's statement, if this fetch may.
func (s *Server) DoGetStatement(ctx context.Context,
	q flightsql.StatementQueryTicket) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	tk, err := ticket.Open(s.key, q.GetStatementHandle())
	if err != nil {
		return nil, nil, fault(codes.PermissionDenied, "%v", err)
	}
	v := sessionOf(ctx)
	s.mu.Lock()
	wait, err := s.tickets.Fetch(s.now(), tk, v.token)
	s.mu.Unlock()
	switch err {
	case nil:
	case ticket.ErrNoRoom:
		limit := verdict.Limit(err.Error())
		limit.Wait = wait
		return nil, nil, ruled(limit)
	case ticket.ErrSession:
		return nil, nil, fault(codes.PermissionDenied, "%v", err)
	case ticket.ErrOld:
		return nil, nil, fault(codes.NotFound, "%v", err)
	default:
		return nil, nil, fault(codes.FailedPrecondition, "%v", err)
	}
	done := func(ran bool) {
		s.mu.Lock()
		s.tickets.Done(tk, ran)
		s.mu.Unlock()
	}
	t, err := v.track([]byte(tk.Lane))
	if err != nil {
		done(false)
		return nil, nil, err
	}
	st := statement{text: tk.Text, types: tk.Types, bind: tk.Bind, parsed: s.scan(tk.Text), kind: enginequery.Execute}
	if len(st.parsed) == 0 {
		done(true)
		ch := make(chan flight.StreamChunk)
		close(ch)
		return arrow.NewSchema(nil, nil), ch, nil
	}
	c, err := s.start(ctx, t, st)
	if err != nil {
		done(ran(err))
		return nil, nil, err
	}
	s.mu.Lock()
	if s.running[tk.Nonce] == nil {
		s.running[tk.Nonce] = map[*call]struct{}{}
	}
	s.running[tk.Nonce][c] = struct{}{}
	s.mu.Unlock()
	over := func(err error) {
		s.mu.Lock()
		if delete(s.running[tk.Nonce], c); len(s.running[tk.Nonce]) == 0 {
			delete(s.running, tk.Nonce)
		}
		s.mu.Unlock()
		done(ran(err))
	}
	return s.batches(ctx, c, over)
}

// ran reports whether what ended so may have run.
func ran(err error) bool {
	e, ok := err.(*ended)
	return !ok || e.Ran
}

// batches reads an answer's rows into record batches. It returns once their schema is known, or the query has
// ended without; over is called at the end.
func (s *Server) batches(ctx context.Context, c *call,
	over func(error)) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	r := &reader{s: s, c: c, out: make(chan flight.StreamChunk)}
	var spare []byte
	for r.schema == nil {
		b, more, err := c.take(ctx, spare, 0)
		if err == nil {
			err = r.messages(b)
		}
		if err != nil {
			if r.builder != nil {
				r.builder.Release()
			}
			c.giveUp()
			over(err)
			return nil, nil, err
		}
		if spare = b; !more {
			if r.schema == nil {
				r.schema = &arrowbatch.Schema{Arrow: arrow.NewSchema(nil, nil)}
			}
			r.last = true
		}
	}
	go r.run(ctx, spare, over)
	return r.schema.Arrow, r.out, nil
}

// reader turns one answer into record batches.
type reader struct {
	s       *Server
	c       *call
	out     chan flight.StreamChunk
	schema  *arrowbatch.Schema
	builder *arrowbatch.Builder
	last    bool // the answer is complete
	full    []arrow.RecordBatch
}

// messages takes an engine's messages.
func (r *reader) messages(b []byte) error {
	return messages(b, func(kind byte, body []byte) (err error) {
		switch kind {
		case 'T':
			if r.schema, err = arrowbatch.NewSchema(body, false); err == nil {
				r.builder = arrowbatch.NewBuilder(r.schema, r.s.mem)
			}
		case 'n':
			r.schema = &arrowbatch.Schema{Arrow: arrow.NewSchema(nil, nil)}
		case 'D':
			if r.builder == nil {
				return fault(codes.Unknown, "a row came before its description")
			}
			if err := r.builder.Row(body); err != nil {
				return fault(codes.OutOfRange, "%v", err)
			}
			if r.builder.Bytes() >= batchBytes || r.builder.Rows() >= batchRows {
				r.full = append(r.full, r.builder.Batch())
			}
		case 'H', 'G', 'W':
			return fault(codes.Unimplemented, "COPY is not served over Flight SQL")
		case 'E':
			return engineError(body)
		}
		return err
	})
}

// run hands batches on as they are taken. While nobody takes them nothing is read, the answer's buffer fills
// and the engine is no longer read.
func (r *reader) run(ctx context.Context, spare []byte, over func(error)) {
	defer close(r.out)
	var err error
	defer func() {
		for _, b := range r.full {
			b.Release()
		}
		if r.builder != nil {
			r.builder.Release()
		}
		if err != nil {
			r.c.giveUp()
		}
		over(err)
	}()
	for {
		if !r.send(ctx) {
			err = ctx.Err()
			return
		}
		if r.last {
			break
		}
		within := time.Duration(0)
		if r.builder != nil && r.builder.Rows() > 0 {
			within = lull
		}
		b, more, fail := r.c.take(ctx, spare, within)
		if fail == nil {
			fail = r.messages(b)
		}
		if fail != nil {
			// What was whole goes out before the error: the client has it or not, as it pleases.
			err = fail
			select {
			case r.out <- flight.StreamChunk{Err: fail}:
			case <-ctx.Done():
			}
			return
		}
		r.last = !more
		if spare = b; len(b) == 0 && more || !more {
			r.rest()
		}
	}
	r.rest()
	if !r.send(ctx) {
		err = ctx.Err()
	}
}

// rest makes a batch of what rows there are.
func (r *reader) rest() {
	if r.builder != nil && r.builder.Rows() > 0 {
		r.full = append(r.full, r.builder.Batch())
	}
}

func (r *reader) send(ctx context.Context) bool {
	for len(r.full) > 0 {
		select {
		case r.out <- flight.StreamChunk{Data: r.full[0]}:
			r.full = r.full[1:]
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// update runs a statement and returns how many rows it changed.
func (s *Server) update(ctx context.Context, t *track, st statement) (int64, error) {
	st.kind = enginequery.Execute
	switch len(st.parsed) {
	case 0:
		return 0, nil
	case 1:
	default:
		return 0, fault(codes.InvalidArgument, "more than one statement in an update")
	}
	c, err := s.start(ctx, t, st)
	if err != nil {
		return 0, err
	}
	tag, _, err := c.drain(ctx)
	if err != nil {
		return 0, err
	}
	return affected(tag), nil
}

// affected is the count of a command tag ("CommandComplete"); 0 for one that counts none.
func affected(tag string) int64 {
	n, err := strconv.ParseInt(tag[strings.LastIndexByte(tag, ' ')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// DoPutCommandStatementUpdate runs a statement that returns no rows.
func (s *Server) DoPutCommandStatementUpdate(ctx context.Context, q flightsql.StatementUpdate) (int64,
	error) {
	t, err := sessionOf(ctx).track(q.GetTransactionId())
	if err != nil {
		return 0, err
	}
	bind, err := arrowbatch.Bind(nil, nil, 0, nil)
	if err != nil {
		return 0, err
	}
	return s.update(ctx, t, statement{text: q.GetQuery(), parsed: s.scan(q.GetQuery()), bind: bind})
}

// CancelFlightInfo cancels what runs for the tickets of a FlightInfo. Only its own session may.
func (s *Server) CancelFlightInfo(ctx context.Context,
	req *flight.CancelFlightInfoRequest) (flight.CancelFlightInfoResult, error) {
	end := flight.CancelStatusNotCancellable
	v := sessionOf(ctx)
	for _, e := range req.GetInfo().GetEndpoint() {
		q, err := flightsql.GetStatementQueryTicket(e.GetTicket())
		if err != nil {
			return flight.CancelFlightInfoResult{}, fault(codes.InvalidArgument,
				"the ticket is no statement's")
		}
		tk, err := ticket.Open(s.key, q.GetStatementHandle())
		if err != nil {
			return flight.CancelFlightInfoResult{}, fault(codes.PermissionDenied, "%v", err)
		}
		if tk.Session != v.token {
			return flight.CancelFlightInfoResult{}, fault(codes.PermissionDenied, "%v", ticket.ErrSession)
		}
		s.mu.Lock()
		var calls []*call
		for c := range s.running[tk.Nonce] {
			calls = append(calls, c)
		}
		// One that is not fetched yet will not be.
		if len(calls) == 0 && tk.Once {
			if _, err := s.tickets.Fetch(s.now(), tk, v.token); err == nil {
				s.tickets.Done(tk, true)
				end = flight.CancelStatusCancelled
			}
		}
		s.mu.Unlock()
		for _, c := range calls {
			if c.cancel(verdict.Cancel()) {
				end = flight.CancelStatusCancelled
			}
		}
	}
	return flight.CancelFlightInfoResult{Status: end}, nil
}

// infoFor is a FlightInfo whose ticket is the command itself, as for catalog calls.
func (s *Server) infoFor(d *flight.FlightDescriptor, sc *arrow.Schema) (*flight.FlightInfo, error) {
	return &flight.FlightInfo{Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: d.Cmd}}},
		FlightDescriptor: d, Schema: flight.SerializeSchema(sc, s.mem), TotalRecords: -1, TotalBytes: -1}, nil
}
