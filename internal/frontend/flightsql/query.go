package flightsql

import (
	"context"
	"errors"
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

// unknownCount stands for an unknown number of rows or bytes in a FlightInfo.
const unknownCount = -1

// description is an engine's description of a statement.
type description struct {
	rows           *arrowbatch.Schema // nil: the statement returns none
	params         *arrow.Schema
	parameterTypes string // OIDs of the parameters, 4 bytes each
}

// describe returns a statement's description, from the cache or from an engine.
func (s *Server) describe(ctx context.Context, sc *scope, text string) (*description, error) {
	st := statement{text: text, parsed: s.scan(text), kind: enginequery.DescribeStatement}
	switch len(st.parsed) {
	case 0:
		return &description{params: arrow.NewSchema(nil, nil)}, nil
	case 1:
	default:
		return nil, invalidCall(codes.InvalidArgument, "more than one statement in a query")
	}
	if st.parsed[0].Words[0] == "COPY" {
		return nil, errCopyNotSupported()
	}
	b := s.cachedDescription(sc, text)
	if b == nil {
		c, err := s.startStatement(ctx, sc, st)
		if err != nil {
			return nil, err
		}
		if _, b, err = c.readToEnd(ctx); err != nil {
			return nil, err
		}
	}
	d, err := parseDescription(b)
	if err != nil {
		return nil, invalidCall(codes.Unknown, "description of the statement: %v", err) // it was not run
	}
	return d, nil
}

// cachedDescription returns the messages that describe a statement, from the cache; nil: they are not cached.
// The cache is not used for a sticky scope, which may have tables that no other session sees.
func (s *Server) cachedDescription(sc *scope, text string) []byte {
	sc.mu.Lock()
	q := enginequery.Query{Text: text, Sticky: sc.affinity.Bound(), Settings: sc.affinity.Params.Desired()}
	sc.mu.Unlock()
	key, ok := q.DescriptionKey()
	if s.cfg.CachedDescription == nil || !ok {
		return nil
	}
	return s.cfg.CachedDescription(key)
}

// parseDescription reads the messages that describe a statement.
func parseDescription(b []byte) (*description, error) {
	d := &description{params: arrow.NewSchema(nil, nil)}
	err := forEachMessage(b, func(kind byte, body []byte) (err error) {
		switch kind {
		case 't': // ParameterDescription
			if d.params, err = arrowbatch.ParameterSchema(body); err == nil {
				d.parameterTypes = string(body[2:]) // after the parameter count
			}
		case 'T': // RowDescription
			d.rows, err = arrowbatch.NewSchema(body, true)
		}
		return err
	})
	return d, err
}

// arrowSchema returns the schema of the rows; an empty one if the statement returns none.
func (d *description) arrowSchema() *arrow.Schema {
	if d.rows == nil {
		return arrow.NewSchema(nil, nil)
	}
	return d.rows.Arrow
}

// issueTicket returns a FlightInfo with a signed ticket for a statement.
func (s *Server) issueTicket(ctx context.Context, sc *scope, text string, d *description, bindBody []byte,
	fd *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	sess := sessionOf(ctx)
	t := &ticket.Ticket{Nonce: s.nextID.Add(1), Session: sess.token, Transaction: sc.transactionID,
		Text: text, ParameterTypes: d.parameterTypes, BindBody: bindBody,
		ExpiresAt: s.now() + s.cfg.TicketLifetime}
	t.SingleUse = s.cfg.Idempotent == nil || !s.cfg.Idempotent(sess.client(ctx),
		&enginequery.Query{Kind: enginequery.Execute, Text: text, Parsed: s.scan(text)})
	handle, err := flightsql.CreateStatementQueryTicket(ticket.Seal(s.ticketKey, t))
	if err != nil {
		return nil, err
	}
	return &flight.FlightInfo{Schema: flight.SerializeSchema(d.arrowSchema(), s.mem), FlightDescriptor: fd,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: handle},
			ExpirationTime: timestamppb.New(time.Now().Add(s.cfg.TicketLifetime))}},
		TotalRecords: unknownCount, TotalBytes: unknownCount}, nil
}

// commandInfo returns a FlightInfo whose ticket is the command itself, as for catalog calls.
func (s *Server) commandInfo(fd *flight.FlightDescriptor, schema *arrow.Schema) (*flight.FlightInfo, error) {
	return &flight.FlightInfo{Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: fd.Cmd}}},
		FlightDescriptor: fd, Schema: flight.SerializeSchema(schema, s.mem), TotalRecords: unknownCount,
		TotalBytes: unknownCount}, nil
}

// describeStatement finds a statement's scope and describes the statement there.
func (s *Server) describeStatement(ctx context.Context, q flightsql.StatementQuery) (*scope, *description,
	error) {
	sc, err := sessionOf(ctx).scopeFor(q.GetTransactionId())
	if err != nil {
		return nil, nil, err
	}
	d, err := s.describe(ctx, sc, q.GetQuery())
	return sc, d, err
}

// GetFlightInfoStatement describes a statement and returns a signed ticket for it. Nothing of it runs.
func (s *Server) GetFlightInfoStatement(ctx context.Context, q flightsql.StatementQuery,
	fd *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	sc, d, err := s.describeStatement(ctx, q)
	if err != nil {
		return nil, err
	}
	bindBody, err := arrowbatch.AppendBind(nil, nil, 0, d.rows)
	if err != nil {
		return nil, err
	}
	return s.issueTicket(ctx, sc, q.GetQuery(), d, bindBody, fd)
}

// GetSchemaStatement returns the schema of a statement's rows. Nothing of it runs.
func (s *Server) GetSchemaStatement(ctx context.Context, q flightsql.StatementQuery,
	_ *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	_, d, err := s.describeStatement(ctx, q)
	if err != nil {
		return nil, err
	}
	return &flight.SchemaResult{Schema: flight.SerializeSchema(d.arrowSchema(), s.mem)}, nil
}

// DoGetStatement runs a ticket's statement, if this fetch may run it, and streams its rows.
func (s *Server) DoGetStatement(ctx context.Context,
	q flightsql.StatementQueryTicket) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	t, err := s.openTicket(q.GetStatementHandle())
	if err != nil {
		return nil, nil, err
	}
	sess := sessionOf(ctx)
	if err := s.beginFetch(t, sess); err != nil {
		return nil, nil, err
	}
	sc, err := sess.scopeFor([]byte(t.Transaction))
	if err != nil {
		s.endFetch(t, false)
		return nil, nil, err
	}
	st := statement{text: t.Text, parameterTypes: t.ParameterTypes, bindBody: t.BindBody,
		parsed: s.scan(t.Text), kind: enginequery.Execute}
	if len(st.parsed) == 0 {
		s.endFetch(t, true)
		chunks := make(chan flight.StreamChunk)
		close(chunks)
		return arrow.NewSchema(nil, nil), chunks, nil
	}
	c, err := s.startStatement(ctx, sc, st)
	if err != nil {
		s.endFetch(t, mayHaveRun(err))
		return nil, nil, err
	}
	s.addRunningFetch(t, c)
	return s.streamBatches(ctx, c, func(err error) {
		s.removeRunningFetch(t, c)
		s.endFetch(t, mayHaveRun(err))
	})
}

// openTicket decodes a ticket that a client sends.
func (s *Server) openTicket(handle []byte) (*ticket.Ticket, error) {
	t, err := ticket.Open(s.ticketKey, handle)
	if err != nil {
		return nil, invalidCall(codes.PermissionDenied, "%v", err)
	}
	return t, nil
}

// beginFetch decides whether a session may fetch a ticket now. endFetch must follow if the error is nil.
func (s *Server) beginFetch(t *ticket.Ticket, sess *session) error {
	s.mu.Lock()
	retryAfter, err := s.tickets.BeginFetch(s.now(), t, sess.token)
	s.mu.Unlock()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ticket.ErrLedgerFull):
		rejection := verdict.RejectOverLimit(err.Error())
		rejection.RetryAfter = retryAfter
		return verdictError(rejection)
	case errors.Is(err, ticket.ErrOtherSession):
		return invalidCall(codes.PermissionDenied, "%v", err)
	case errors.Is(err, ticket.ErrExpired):
		return invalidCall(codes.NotFound, "%v", err)
	}
	return invalidCall(codes.FailedPrecondition, "%v", err)
}

func (s *Server) endFetch(t *ticket.Ticket, mayHaveRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets.EndFetch(t, mayHaveRun)
}

// addRunningFetch records a call that runs for a ticket, so that CancelFlightInfo finds it.
func (s *Server) addRunningFetch(t *ticket.Ticket, c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runningFetches[t.Nonce] == nil {
		s.runningFetches[t.Nonce] = map[*call]struct{}{}
	}
	s.runningFetches[t.Nonce][c] = struct{}{}
}

func (s *Server) removeRunningFetch(t *ticket.Ticket, c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delete(s.runningFetches[t.Nonce], c); len(s.runningFetches[t.Nonce]) == 0 {
		delete(s.runningFetches, t.Nonce)
	}
}

// executeUpdate runs a statement and returns how many rows it changed.
func (s *Server) executeUpdate(ctx context.Context, sc *scope, st statement) (int64, error) {
	tag, err := s.executeToEnd(ctx, sc, st)
	return affectedRows(tag), err
}

// executeToEnd runs a statement and returns its command tag, or "" for an empty statement.
func (s *Server) executeToEnd(ctx context.Context, sc *scope, st statement) (tag string, err error) {
	st.kind = enginequery.Execute
	switch len(st.parsed) {
	case 0:
		return "", nil
	case 1:
	default:
		return "", invalidCall(codes.InvalidArgument, "more than one statement in an update")
	}
	c, err := s.startStatement(ctx, sc, st)
	if err != nil {
		return "", err
	}
	tag, _, err = c.readToEnd(ctx)
	return tag, err
}

// affectedRows returns the count in a command tag ("CommandComplete"); 0 for a tag without one.
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
	sc, err := sessionOf(ctx).scopeFor(q.GetTransactionId())
	if err != nil {
		return 0, err
	}
	bindBody, err := arrowbatch.AppendBind(nil, nil, 0, nil)
	if err != nil {
		return 0, err
	}
	return s.executeUpdate(ctx, sc,
		statement{text: q.GetQuery(), parsed: s.scan(q.GetQuery()), bindBody: bindBody})
}

// CancelFlightInfo cancels the statements that run for the tickets of a FlightInfo. Only the session that the
// tickets belong to may cancel them.
func (s *Server) CancelFlightInfo(ctx context.Context,
	req *flight.CancelFlightInfoRequest) (flight.CancelFlightInfoResult, error) {
	result := flight.CancelStatusNotCancellable
	sess := sessionOf(ctx)
	for _, endpoint := range req.GetInfo().GetEndpoint() {
		q, err := flightsql.GetStatementQueryTicket(endpoint.GetTicket())
		if err != nil {
			return flight.CancelFlightInfoResult{}, invalidCall(codes.InvalidArgument,
				"the ticket is no statement's")
		}
		t, err := s.openTicket(q.GetStatementHandle())
		if err != nil {
			return flight.CancelFlightInfoResult{}, err
		}
		if t.Session != sess.token {
			return flight.CancelFlightInfoResult{}, invalidCall(codes.PermissionDenied, "%v",
				ticket.ErrOtherSession)
		}
		if s.cancelTicket(t, sess) {
			result = flight.CancelStatusCancelled
		}
	}
	return flight.CancelFlightInfoResult{Status: result}, nil
}

// cancelTicket cancels the calls that run for a ticket. A single-use ticket that was not fetched yet counts
// as fetched and cancelled from then on. cancelTicket reports whether anything was cancelled.
func (s *Server) cancelTicket(t *ticket.Ticket, sess *session) (cancelled bool) {
	s.mu.Lock()
	var calls []*call
	for c := range s.runningFetches[t.Nonce] {
		calls = append(calls, c)
	}
	if len(calls) == 0 && t.SingleUse {
		if _, err := s.tickets.BeginFetch(s.now(), t, sess.token); err == nil {
			s.tickets.EndFetch(t, true)
			cancelled = true
		}
	}
	s.mu.Unlock()
	for _, c := range calls {
		if c.cancel(verdict.CancelledByClient()) {
			cancelled = true
		}
	}
	return cancelled
}
