package flightsql

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/flightsql/arrowbatch"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/sqlstate"
)

// preparedStatement is a statement that a client created and names by a handle.
type preparedStatement struct {
	scope       *scope
	text        string
	description *description
	boundBody   []byte // body of the Bind message of the parameters bound last; nil: none are bound
}

// CreatePreparedStatement describes a statement and returns a handle for it.
func (s *Server) CreatePreparedStatement(ctx context.Context,
	req flightsql.ActionCreatePreparedStatementRequest) (res flightsql.ActionCreatePreparedStatementResult,
	err error) {
	sess := sessionOf(ctx)
	sc, err := sess.scopeFor(req.GetTransactionId())
	if err != nil {
		return res, err
	}
	d, err := s.describe(ctx, sc, req.GetQuery())
	if err != nil {
		return res, err
	}
	handle := statementPrefix + newRandomID()
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if limit := s.cfg.MaxPrepared; limit > 0 && len(sess.prepared) >= limit {
		return res, verdictError(verdict.RejectOverLimit("the session has too many prepared statements"))
	}
	sess.prepared[handle] = &preparedStatement{scope: sc, text: req.GetQuery(), description: d}
	isUpdate := d.rows == nil
	return flightsql.ActionCreatePreparedStatementResult{Handle: []byte(handle),
		DatasetSchema: d.arrowSchema(), ParameterSchema: d.params, IsUpdate: &isUpdate}, nil
}

// ClosePreparedStatement removes a prepared statement. An unknown handle is no error.
func (s *Server) ClosePreparedStatement(ctx context.Context,
	req flightsql.ActionClosePreparedStatementRequest) error {
	sess := sessionOf(ctx)
	sess.mu.Lock()
	defer sess.mu.Unlock()
	delete(sess.prepared, string(req.GetPreparedStatementHandle()))
	return nil
}

// preparedByHandle returns a copy of a prepared statement.
func (sess *session) preparedByHandle(handle []byte) (preparedStatement, error) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if p := sess.prepared[string(handle)]; p != nil {
		return *p, nil
	}
	return preparedStatement{}, invalidCall(codes.NotFound,
		"the session has no prepared statement of this handle")
}

// bindBody returns the body of the Bind message for the parameters that are bound now.
func (p *preparedStatement) bindBody() ([]byte, error) {
	switch n := len(p.description.params.Fields()); {
	case p.boundBody != nil:
		return p.boundBody, nil
	case n > 0:
		return nil, invalidCall(codes.FailedPrecondition, "%d parameters of the statement are not bound", n)
	}
	return arrowbatch.AppendBind(nil, nil, 0, p.description.rows)
}

// bindRow returns the body of the Bind message for one row of parameters.
func (p *preparedStatement) bindRow(r arrow.RecordBatch, i int) ([]byte, error) {
	if want := len(p.description.params.Fields()); int(r.NumCols()) != want {
		return nil, invalidCall(codes.InvalidArgument, "%d parameters are bound, the statement has %d",
			r.NumCols(), want)
	}
	b, err := arrowbatch.AppendBind(nil, r, i, p.description.rows)
	if err != nil {
		return nil, invalidCall(codes.InvalidArgument, "%v", err)
	}
	return b, nil
}

// GetFlightInfoPreparedStatement returns a signed ticket for a prepared statement with its bound parameters.
func (s *Server) GetFlightInfoPreparedStatement(ctx context.Context, q flightsql.PreparedStatementQuery,
	fd *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	p, err := sessionOf(ctx).preparedByHandle(q.GetPreparedStatementHandle())
	if err != nil {
		return nil, err
	}
	bindBody, err := p.bindBody()
	if err != nil {
		return nil, err
	}
	return s.issueTicket(ctx, p.scope, p.text, p.description, bindBody, fd)
}

// GetSchemaPreparedStatement returns the schema of a prepared statement's rows.
func (s *Server) GetSchemaPreparedStatement(ctx context.Context, q flightsql.PreparedStatementQuery,
	_ *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	p, err := sessionOf(ctx).preparedByHandle(q.GetPreparedStatementHandle())
	if err != nil {
		return nil, err
	}
	return &flight.SchemaResult{Schema: flight.SerializeSchema(p.description.arrowSchema(), s.mem)}, nil
}

// DoGetPreparedStatement rejects a ticket that is the handle itself. Such a ticket has no nonce, so a second
// fetch of the same run could not be distinguished from the first fetch of a second run.
func (s *Server) DoGetPreparedStatement(context.Context,
	flightsql.PreparedStatementQuery) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return nil, nil, invalidCall(codes.InvalidArgument,
		"a prepared statement is run by the ticket that GetFlightInfo gives")
}

// DoPutPreparedStatementQuery binds parameters to a prepared statement.
func (s *Server) DoPutPreparedStatementQuery(ctx context.Context, q flightsql.PreparedStatementQuery,
	r flight.MessageReader, _ flight.MetadataWriter) ([]byte, error) {
	sess := sessionOf(ctx)
	handle := q.GetPreparedStatementHandle()
	p, err := sess.preparedByHandle(handle)
	if err != nil {
		return nil, err
	}
	var bound []byte
	for r.Next() {
		batch := r.RecordBatch()
		if batch.NumRows() == 0 {
			continue
		}
		if bound != nil || batch.NumRows() > 1 {
			return nil, invalidCall(codes.InvalidArgument, "a query takes one row of parameters")
		}
		if bound, err = p.bindRow(batch, 0); err != nil {
			return nil, err
		}
	}
	if err := r.Err(); err != nil {
		return nil, invalidCall(codes.InvalidArgument, "parameters: %v", err)
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if original := sess.prepared[string(handle)]; original != nil {
		original.boundBody = bound
	}
	return handle, nil
}

// DoPutPreparedStatementUpdate runs a prepared statement once for each row of parameters, in order. Each run
// is a statement of its own: if a row fails, the effects of the rows before it stay, except in a transaction.
func (s *Server) DoPutPreparedStatementUpdate(ctx context.Context, q flightsql.PreparedStatementUpdate,
	r flight.MessageReader) (int64, error) {
	p, err := sessionOf(ctx).preparedByHandle(q.GetPreparedStatementHandle())
	if err != nil {
		return 0, err
	}
	parsed := s.scan(p.text)
	if len(p.description.params.Fields()) == 0 {
		bindBody, err := p.bindBody()
		if err != nil {
			return 0, err
		}
		return s.executeUpdate(ctx, p.scope, p.statement(parsed, bindBody))
	}
	total, runs := int64(0), 0
	for r.Next() {
		batch := r.RecordBatch()
		for i := range int(batch.NumRows()) {
			bindBody, err := p.bindRow(batch, i)
			if err != nil {
				return total, partialUpdateError(err, runs)
			}
			n, err := s.executeUpdate(ctx, p.scope, p.statement(parsed, bindBody))
			if err != nil {
				return total, partialUpdateError(err, runs)
			}
			total, runs = total+n, runs+1
		}
	}
	if err := r.Err(); err != nil {
		return total, partialUpdateError(invalidCall(codes.InvalidArgument, "parameters: %v", err), runs)
	}
	return total, nil
}

func (p *preparedStatement) statement(parsed []sqlscan.Statement, bindBody []byte) statement {
	return statement{text: p.text, parameterTypes: p.description.parameterTypes, parsed: parsed,
		bindBody: bindBody}
}

// partialUpdateError returns the error of a call in which a row of parameters failed after the given number
// of rows had run. If any had run, the error is a failure: a rejection would mean to the client that a retry
// of the whole call is harmless.
func partialUpdateError(err error, runs int) error {
	if runs == 0 {
		return err
	}
	return verdictError(&verdict.Verdict{Kind: verdict.Failed, Code: sqlstate.TransactionResolutionUnknown,
		MayHaveRun: true, Message: "a row of parameters failed",
		Detail: "Rows before it have run. " + err.Error()})
}
