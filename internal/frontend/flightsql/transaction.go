package flightsql

import (
	"context"
	"strings"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/flightsql/arrowbatch"
)

// preparedStatement is a statement under a handle.
type preparedStatement struct {
	scope       *scope
	text        string
	description *description
	boundBody   []byte // parameters bound last; nil: none were
}

// runStatement carries out a statement of ours in a lane, as BEGIN. It takes the ordinary path: it is
// admitted, placed and may be refused.
func (t *scope) runStatement(ctx context.Context, text string) error {
	bind, err := arrowbatch.AppendBind(nil, nil, 0, nil)
	if err != nil {
		return err
	}
	_, err = t.session.server.executeUpdate(
		ctx,
		t,
		statement{text: text, parsed: t.session.server.scan(text), bindBody: bind},
	)
	return err
}

// BeginTransaction opens a transaction on an engine of its own.
func (s *Server) BeginTransaction(ctx context.Context, _ flightsql.ActionBeginTransactionRequest) ([]byte,
	error) {
	if s.draining.Load() {
		return nil, verdictError(verdict.ShuttingDown(false))
	}
	v := sessionOf(ctx)
	v.defaultScope.mu.Lock()
	settings := v.defaultScope.affinity.Params.Desired()
	v.defaultScope.mu.Unlock()
	t := newScope(v, "tx-"+randomName(), settings)
	v.mu.Lock()
	open := 0
	for _, o := range v.transactions {
		if o.isSticky() {
			open++
		}
	}
	if most := s.cfg.MaxTransactions; most > 0 && open >= most {
		v.mu.Unlock()
		return nil, verdictError(verdict.RejectOverLimit("the session has too many open transactions"))
	}
	v.transactions[t.transactionID] = t
	v.transactionOrder = append(v.transactionOrder, t.transactionID)
	v.forgetEndedTransactions()
	v.mu.Unlock()
	if err := t.runStatement(ctx, "BEGIN"); err != nil {
		v.mu.Lock()
		delete(v.transactions, t.transactionID)
		v.mu.Unlock()
		t.terminate(
			&verdict.Verdict{Kind: verdict.InvalidRequest, Code: "25000", Message: "it did not begin"},
		)
		return nil, err
	}
	s.mu.Lock()
	gone := s.sessions[v.token] != v
	s.mu.Unlock()
	if gone { // Danger: the session ended as its transaction began; nobody else would end it
		t.terminate(
			&verdict.Verdict{Kind: verdict.Cancelled, Code: "57P01", Message: "the session has ended"},
		)
		return nil, invalidCall(codes.Unauthenticated, "the session has ended")
	}
	if ctx.Err() != nil {
		// Danger: its client will never have the id, and the transaction would stay open on its engine.
		t.terminate(
			&verdict.Verdict{Kind: verdict.Cancelled, Code: "57014", Message: "its client took it back"},
		)
		return nil, ctx.Err()
	}
	return []byte(t.transactionID), nil
}

// maxEndedTransactions is how many transactions that have ended a session remembers, to say why.
const maxEndedTransactions = 100

// forgetEndedTransactions drops the oldest transactions that have ended. The caller holds the session's lock.
func (v *session) forgetEndedTransactions() {
	for i := 0; i < len(v.transactionOrder) && len(v.transactionOrder) > maxEndedTransactions; {
		t := v.transactions[v.transactionOrder[i]]
		if t != nil && t.isSticky() {
			i++
			continue
		}
		delete(v.transactions, v.transactionOrder[i])
		v.transactionOrder = append(v.transactionOrder[:i], v.transactionOrder[i+1:]...)
	}
}

// EndTransaction commits or rolls back.
func (s *Server) EndTransaction(ctx context.Context, req flightsql.ActionEndTransactionRequest) error {
	if len(req.GetTransactionId()) == 0 {
		return invalidCall(codes.InvalidArgument, "no transaction is named")
	}
	t, err := sessionOf(ctx).scopeFor(req.GetTransactionId())
	if err != nil {
		return err
	}
	text := "ROLLBACK"
	switch req.GetAction() {
	case flightsql.EndTransactionCommit:
		text = "COMMIT"
	case flightsql.EndTransactionRollback:
	default:
		return invalidCall(codes.InvalidArgument, "neither commit nor rollback is asked for")
	}
	t.mu.Lock()
	failed := t.affinity.Status() == 'E'
	t.mu.Unlock()
	if err := t.runStatement(ctx, text); err != nil {
		return err
	}
	if failed && text == "COMMIT" {
		// Danger: PostgreSQL answers the COMMIT of a failed transaction by ROLLBACK, without an error.
		return invalidCall(codes.Aborted, "a statement of the transaction had failed: it was rolled back")
	}
	return nil
}

// BeginSavepoint opens a savepoint in a transaction.
func (s *Server) BeginSavepoint(ctx context.Context, req flightsql.ActionBeginSavepointRequest) ([]byte,
	error) {
	v := sessionOf(ctx)
	if len(req.GetTransactionId()) == 0 || req.GetName() == "" {
		return nil, invalidCall(codes.InvalidArgument, "a savepoint needs a transaction and a name")
	}
	t, err := v.scopeFor(req.GetTransactionId())
	if err != nil {
		return nil, err
	}
	if err := t.runStatement(ctx, "SAVEPOINT "+quoteIdentifier(req.GetName())); err != nil {
		return nil, err
	}
	id := "sp-" + randomName()
	v.mu.Lock()
	if len(v.savepoints) >= 10000 {
		clear(v.savepoints)
	}
	v.savepoints[id] = savepoint{t.transactionID, req.GetName()}
	v.mu.Unlock()
	return []byte(id), nil
}

func quoteIdentifier(name string) string { return `"` + strings.ReplaceAll(name, `"`, `""`) + `"` }

// EndSavepoint releases a savepoint or goes back to it.
func (s *Server) EndSavepoint(ctx context.Context, req flightsql.ActionEndSavepointRequest) error {
	v := sessionOf(ctx)
	v.mu.Lock()
	p, ok := v.savepoints[string(req.GetSavepointId())]
	v.mu.Unlock()
	if !ok {
		return invalidCall(codes.NotFound, "the session has no savepoint of this id")
	}
	t, err := v.scopeFor([]byte(p.transaction))
	if err != nil {
		return err
	}
	switch req.GetAction() {
	case flightsql.EndSavepointRelease:
		if err := t.runStatement(ctx, "RELEASE SAVEPOINT "+quoteIdentifier(p.name)); err != nil {
			return err
		}
		v.mu.Lock()
		delete(v.savepoints, string(req.GetSavepointId()))
		v.mu.Unlock()
		return nil
	case flightsql.EndSavepointRollback:
		return t.runStatement(ctx, "ROLLBACK TO SAVEPOINT "+quoteIdentifier(p.name))
	}
	return invalidCall(codes.InvalidArgument, "neither release nor rollback is asked for")
}

// CreatePreparedStatement has a statement described and gives it a handle.
func (s *Server) CreatePreparedStatement(ctx context.Context,
	req flightsql.ActionCreatePreparedStatementRequest) (res flightsql.ActionCreatePreparedStatementResult,
	err error) {
	v := sessionOf(ctx)
	t, err := v.scopeFor(req.GetTransactionId())
	if err != nil {
		return res, err
	}
	h, err := s.describe(ctx, t, req.GetQuery())
	if err != nil {
		return res, err
	}
	handle := "ps-" + randomName()
	v.mu.Lock()
	defer v.mu.Unlock()
	if most := s.cfg.MaxPrepared; most > 0 && len(v.prepared) >= most {
		return res, verdictError(verdict.RejectOverLimit("the session has too many prepared statements"))
	}
	v.prepared[handle] = &preparedStatement{scope: t, text: req.GetQuery(), description: h}
	update := h.rows == nil
	return flightsql.ActionCreatePreparedStatementResult{
		Handle:          []byte(handle),
		DatasetSchema:   h.arrowSchema(),
		ParameterSchema: h.params,
		IsUpdate:        &update,
	}, nil
}

// ClosePreparedStatement forgets a handle.
func (s *Server) ClosePreparedStatement(ctx context.Context,
	req flightsql.ActionClosePreparedStatementRequest) error {
	v := sessionOf(ctx)
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.prepared, string(req.GetPreparedStatementHandle()))
	return nil
}

func (v *session) preparedByHandle(handle []byte) (preparedStatement, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.prepared[string(handle)]; p != nil {
		return *p, nil
	}
	return preparedStatement{}, invalidCall(
		codes.NotFound,
		"the session has no prepared statement of this handle",
	)
}

// bindBody is what a prepared statement's run binds.
func (p *preparedStatement) bindBody() ([]byte, error) {
	switch n := len(p.description.params.Fields()); {
	case p.boundBody != nil:
		return p.boundBody, nil
	case n > 0:
		return nil, invalidCall(codes.FailedPrecondition, "%d parameters of the statement are not bound", n)
	}
	return arrowbatch.AppendBind(nil, nil, 0, p.description.rows)
}

// bindRow binds one row of parameters.
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

// GetFlightInfoPreparedStatement signs a ticket for a prepared statement with what is bound to it now.
func (s *Server) GetFlightInfoPreparedStatement(ctx context.Context, q flightsql.PreparedStatementQuery,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	p, err := sessionOf(ctx).preparedByHandle(q.GetPreparedStatementHandle())
	if err != nil {
		return nil, err
	}
	bind, err := p.bindBody()
	if err != nil {
		return nil, err
	}
	return s.issueTicket(ctx, p.scope, p.text, p.description, bind, d)
}

// GetSchemaPreparedStatement returns a prepared statement's schema.
func (s *Server) GetSchemaPreparedStatement(ctx context.Context, q flightsql.PreparedStatementQuery,
	_ *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	p, err := sessionOf(ctx).preparedByHandle(q.GetPreparedStatementHandle())
	if err != nil {
		return nil, err
	}
	return &flight.SchemaResult{Schema: flight.SerializeSchema(p.description.arrowSchema(), s.mem)}, nil
}

// DoGetPreparedStatement is asked for by a ticket that is the handle itself. Danger: such a ticket has no
// name of its own, so that a second fetch could not be told from a second run.
func (s *Server) DoGetPreparedStatement(context.Context,
	flightsql.PreparedStatementQuery) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	return nil, nil, invalidCall(codes.InvalidArgument,
		"a prepared statement is run by the ticket that GetFlightInfo gives")
}

// DoPutPreparedStatementQuery binds parameters to a prepared statement.
func (s *Server) DoPutPreparedStatementQuery(ctx context.Context, q flightsql.PreparedStatementQuery,
	r flight.MessageReader, _ flight.MetadataWriter) ([]byte, error) {
	v := sessionOf(ctx)
	p, err := v.preparedByHandle(q.GetPreparedStatementHandle())
	if err != nil {
		return nil, err
	}
	var bind []byte
	for r.Next() {
		batch := r.RecordBatch()
		if batch.NumRows() == 0 {
			continue
		}
		if bind != nil || batch.NumRows() > 1 {
			return nil, invalidCall(codes.InvalidArgument, "a query takes one row of parameters")
		}
		if bind, err = p.bindRow(batch, 0); err != nil {
			return nil, err
		}
	}
	if err := r.Err(); err != nil {
		return nil, invalidCall(codes.InvalidArgument, "parameters: %v", err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if kept := v.prepared[string(q.GetPreparedStatementHandle())]; kept != nil {
		kept.boundBody = bind
	}
	return q.GetPreparedStatementHandle(), nil
}

// DoPutPreparedStatementUpdate runs a prepared statement once for each row of parameters, in order. Each run
// is a statement of its own; the rows before one that fails stand, unless they are of a transaction.
func (s *Server) DoPutPreparedStatementUpdate(ctx context.Context, q flightsql.PreparedStatementUpdate,
	r flight.MessageReader) (int64, error) {
	p, err := sessionOf(ctx).preparedByHandle(q.GetPreparedStatementHandle())
	if err != nil {
		return 0, err
	}
	parsed := s.scan(p.text)
	if len(p.description.params.Fields()) == 0 {
		bind, err := p.bindBody()
		if err != nil {
			return 0, err
		}
		return s.executeUpdate(
			ctx,
			p.scope,
			statement{text: p.text, parameterTypes: p.description.parameterTypes, parsed: parsed,
				bindBody: bind},
		)
	}
	total, runs := int64(0), 0
	for r.Next() {
		batch := r.RecordBatch()
		for i := range int(batch.NumRows()) {
			bind, err := p.bindRow(batch, i)
			if err != nil {
				return total, err
			}
			n, err := s.executeUpdate(
				ctx,
				p.scope,
				statement{text: p.text, parameterTypes: p.description.parameterTypes, parsed: parsed,
					bindBody: bind},
			)
			if err != nil {
				return total, afterEarlierRows(err, runs)
			}
			total, runs = total+n, runs+1
		}
	}
	if err := r.Err(); err != nil {
		return total, afterEarlierRows(invalidCall(codes.InvalidArgument, "parameters: %v", err), runs)
	}
	return total, nil
}

// afterEarlierRows is the error of a run that others of the same call came before. Danger: told as a
// refusal, it would say that trying the whole call again is harmless.
func afterEarlierRows(err error, runs int) error {
	if runs == 0 {
		return err
	}
	return verdictError(&verdict.Verdict{Kind: verdict.Failed, Code: "08007", MayHaveRun: true,
		Message: "a row of parameters failed", Detail: "Rows before it have run. " + err.Error()})
}
